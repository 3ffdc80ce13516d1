//! Calls of the configuration's admin endpoints: reads at the first server that answers, and changes that are asked for again
//! under one request id until an answer is final.

use super::ConfigError;
use crate::admin_client::{self, ClientError, Response};
use gradepin_config::admin::{AdminError, ApplyReply, query};
use gradepin_config::change::Name;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Between two questions what became of a change.
const POLL: Duration = Duration::from_millis(200);
/// Before the next server is asked.
const NEXT: Duration = Duration::from_millis(300);
/// A server's own word on when to ask again is taken up to this.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Servers that are asked in turn, and for how long a change is asked for.
pub struct ConfigClient<'a> {
    pub doors: &'a [SocketAddr],
    pub wait: Duration,
}

/// What one server's answer to a change means.
enum Outcome {
    /// It is final.
    Reply(ApplyReply),
    /// It is final: nothing was changed.
    Refused(AdminError),
    /// Another try may do better.
    Again { after: Duration, may_be_committed: bool, why: String },
}

impl ConfigClient<'_> {
    /// A read, at the first server that answers.
    pub fn get<T: DeserializeOwned>(&self, path: &str, query: &str) -> Result<T, ConfigError> {
        let separator = if query.is_empty() { "" } else { "?" };
        let path = format!("{path}{separator}{query}");
        let mut why = Vec::new();
        for &door in self.doors {
            match admin_client::call(door, "GET", &path, "") {
                Ok(response) if response.status == 200 => return read(&response.body),
                Ok(response) => return Err(refusal(&response).into()),
                Err(error) => why.push(error.to_string()),
            }
        }
        Err(ConfigError::NotTaken(why.join("; ")))
    }

    /// A change: posted to each server in turn, under its request id, until an answer is final or the time is up.
    pub fn commit(&self, path: &str, body: &str, request_id: &Name) -> Result<ApplyReply, ConfigError> {
        let until = Instant::now() + self.wait;
        let mut unsure = false;
        for &door in self.doors.iter().cycle() {
            match self.propose(door, path, body, request_id, until) {
                Outcome::Reply(reply) => return Ok(reply),
                Outcome::Refused(refusal) => return Err(refusal.into()),
                Outcome::Again { after, may_be_committed, why } => {
                    unsure |= may_be_committed;
                    if Instant::now() + after >= until {
                        let request_id = request_id.clone();
                        return Err(if unsure {
                            ConfigError::Unknown { request_id, why }
                        } else {
                            ConfigError::NotTaken(why)
                        });
                    }
                    thread::sleep(after);
                }
            }
        }
        Err(ConfigError::NotTaken("no server was named".into()))
    }

    fn propose(
        &self,
        door: SocketAddr,
        path: &str,
        body: &str,
        request_id: &Name,
        until: Instant,
    ) -> Outcome {
        let mut answer = admin_client::call(door, "POST", path, body);
        let mut pending = false;
        loop {
            match outcome(answer, pending) {
                Outcome::Reply(ApplyReply::Pending { .. }) if Instant::now() + POLL < until => {}
                Outcome::Reply(ApplyReply::Pending { .. }) => {
                    let why = format!("still under way at {door}");
                    return Outcome::Again { after: POLL, may_be_committed: true, why };
                }
                other => return other,
            }
            pending = true;
            thread::sleep(POLL);
            let path = format!("/config/apply?{}", query::request_query(request_id));
            answer = admin_client::call(door, "GET", &path, "");
        }
    }
}

/// What an answer means; `pending`: the change was taken by this server before.
fn outcome(answer: Result<Response, ClientError>, pending: bool) -> Outcome {
    let response = match answer {
        Ok(response) => response,
        Err(error) => {
            let may_be_committed = pending || !matches!(error, ClientError::Connect { .. });
            return Outcome::Again { after: NEXT, may_be_committed, why: error.to_string() };
        }
    };
    if matches!(response.status, 200 | 202) {
        return match read(&response.body) {
            Ok(reply) => Outcome::Reply(reply),
            Err(why) => Outcome::Again { after: NEXT, may_be_committed: true, why: why.to_string() },
        };
    }
    let refusal = refusal(&response);
    if !refusal.is_transient() {
        return Outcome::Refused(refusal);
    }
    let after = match &refusal {
        AdminError::TooBusy { retry_ms } => Duration::from_millis(*retry_ms).min(MAX_RETRY),
        _ => NEXT,
    };
    Outcome::Again { after, may_be_committed: pending, why: refusal.to_string() }
}

/// The refusal of a response that is none of the taken ones. The endpoint itself answers in plain text where the server is late.
fn refusal(response: &Response) -> AdminError {
    let text = response.body.trim();
    serde_json::from_str(text).unwrap_or_else(|_| match response.status {
        408 | 503 => AdminError::NoLeader { reason: text.to_string() },
        status => AdminError::BadCall { reason: format!("status {status}: {text}") },
    })
}

fn read<T: DeserializeOwned>(body: &str) -> Result<T, ConfigError> {
    serde_json::from_str(body)
        .map_err(|why| ConfigError::Unusable(format!("an answer that is not understood: {why}")))
}
