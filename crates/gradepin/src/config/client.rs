//! Client of the configuration's admin paths. Reads go to the first server that answers; changes are retried under
//! one request id until a final answer arrives.

use super::ConfigError;
use crate::admin_client::{self, ClientError, Response};
use gradepin_config::admin::{AdminError, ApplyReply, query};
use gradepin_config::change::Name;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between polls for the outcome of a pending change.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before the next server is tried.
const NEXT_SERVER_PAUSE: Duration = Duration::from_millis(300);
/// Upper bound of the retry delay that a server may request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Calls the configured servers in turn.
pub(super) struct ConfigClient<'a> {
    /// Admin endpoints, in the order in which they are tried.
    pub addresses: &'a [SocketAddr],
    /// Time limit for a change, including all retries.
    pub timeout: Duration,
}

/// Interpretation of one server's answer to a change.
enum Outcome {
    /// A final answer.
    Reply(ApplyReply),
    /// A final rejection: nothing was changed.
    Rejected(AdminError),
    /// No final answer; another attempt may succeed.
    Retry { after: Duration, may_be_committed: bool, why: String },
}

impl ConfigClient<'_> {
    /// Reads at the first server that answers.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str, query: &str) -> Result<T, ConfigError> {
        let separator = if query.is_empty() { "" } else { "?" };
        let path = format!("{path}{separator}{query}");
        let mut why = Vec::new();
        for &address in self.addresses {
            match admin_client::call(address, "GET", &path, "") {
                Ok(response) if response.status == 200 => return read(&response.body),
                Ok(response) => return Err(rejection(&response).into()),
                Err(error) => why.push(error.to_string()),
            }
        }
        Err(ConfigError::NotAccepted(why.join("; ")))
    }

    /// Posts a change to each server in turn, under its request id, until an answer is final or the timeout expires.
    pub(super) fn commit(
        &self,
        path: &str,
        body: &str,
        request_id: &Name,
    ) -> Result<ApplyReply, ConfigError> {
        let deadline = Instant::now() + self.timeout;
        let mut may_have_committed = false;
        for &address in self.addresses.iter().cycle() {
            match self.propose(address, path, body, request_id, deadline) {
                Outcome::Reply(reply) => return Ok(reply),
                Outcome::Rejected(rejection) => return Err(rejection.into()),
                Outcome::Retry { after, may_be_committed, why } => {
                    may_have_committed |= may_be_committed;
                    if Instant::now() + after >= deadline {
                        let request_id = request_id.clone();
                        return Err(if may_have_committed {
                            ConfigError::OutcomeUnknown { request_id, why }
                        } else {
                            ConfigError::NotAccepted(why)
                        });
                    }
                    thread::sleep(after);
                }
            }
        }
        Err(ConfigError::NotAccepted("no server was named".into()))
    }

    fn propose(
        &self,
        address: SocketAddr,
        path: &str,
        body: &str,
        request_id: &Name,
        deadline: Instant,
    ) -> Outcome {
        let mut answer = admin_client::call(address, "POST", path, body);
        let mut pending = false;
        loop {
            match outcome(answer, pending) {
                Outcome::Reply(ApplyReply::Pending { .. }) if Instant::now() + POLL_INTERVAL < deadline => {}
                Outcome::Reply(ApplyReply::Pending { .. }) => {
                    let why = format!("still under way at {address}");
                    return Outcome::Retry { after: POLL_INTERVAL, may_be_committed: true, why };
                }
                other => return other,
            }
            pending = true;
            thread::sleep(POLL_INTERVAL);
            let path = format!("/config/apply?{}", query::request_query(request_id));
            answer = admin_client::call(address, "GET", &path, "");
        }
    }
}

/// Classifies an answer to a change. `pending` is true if this server has accepted the change before.
fn outcome(answer: Result<Response, ClientError>, pending: bool) -> Outcome {
    let response = match answer {
        Ok(response) => response,
        Err(error) => {
            let may_be_committed = pending || !matches!(error, ClientError::Connect { .. });
            return Outcome::Retry { after: NEXT_SERVER_PAUSE, may_be_committed, why: error.to_string() };
        }
    };
    if matches!(response.status, 200 | 202) {
        return match read(&response.body) {
            Ok(reply) => Outcome::Reply(reply),
            Err(why) => {
                Outcome::Retry { after: NEXT_SERVER_PAUSE, may_be_committed: true, why: why.to_string() }
            }
        };
    }
    let rejection = rejection(&response);
    if !rejection.is_transient() {
        return Outcome::Rejected(rejection);
    }
    let after = match &rejection {
        AdminError::TooBusy { retry_ms } => Duration::from_millis(*retry_ms).min(MAX_RETRY_AFTER),
        _ => NEXT_SERVER_PAUSE,
    };
    Outcome::Retry { after, may_be_committed: pending, why: rejection.to_string() }
}

/// Extracts the error from an unsuccessful response. The admin endpoint itself answers in plain text when the server
/// responds too late.
fn rejection(response: &Response) -> AdminError {
    let text = response.body.trim();
    serde_json::from_str(text).unwrap_or_else(|_| match response.status {
        408 | 503 => AdminError::NoLeader { reason: text.to_string() },
        status => AdminError::BadCall { reason: format!("status {status}: {text}") },
    })
}

fn read<T: DeserializeOwned>(body: &str) -> Result<T, ConfigError> {
    serde_json::from_str(body)
        .map_err(|why| ConfigError::Invalid(format!("invalid answer of the server: {why}")))
}
