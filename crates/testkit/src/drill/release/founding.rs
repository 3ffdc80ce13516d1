//! Founding of the consensus group at the start of the drill. The call is repeated while its response is lost, late
//! or a temporary rejection; a failure is reported with the responses and excerpts of the servers' logs.

use super::session::Session;
use crate::harness::play::call;
use std::io;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Time limit of the founding, and of the wait until the leader sees all servers ready.
const FOUNDING_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of log lines per server in a failure; the latest are shown.
const LOG_LINES: usize = 8;
/// Texts of log lines that concern the founding.
const LOG_KEYWORDS: [&str; 7] = ["found", "council", "consensus", "voter", "leader", "WARN", "ERRO"];

/// The unsuccessful responses so far.
#[derive(Debug, Default)]
struct Answers {
    /// Each distinct response, with its count.
    failures: Vec<(String, u32)>,
}

impl Answers {
    /// Records a response, `None` if it was lost or late; returns whether the group is founded. Founding with the
    /// same voters is idempotent, so the call can be repeated after a lost response.
    fn record(&mut self, answer: Option<(u16, String)>) -> bool {
        let text = match answer {
            Some((200, _)) => return true,
            Some((status, text)) => format!("{status}: {text}"),
            None => "no answer".to_string(),
        };
        match self.failures.iter_mut().find(|(known, _)| *known == text) {
            Some((_, times)) => *times += 1,
            None => self.failures.push((text, 1)),
        }
        false
    }

    fn summary(&self) -> String {
        let each = self.failures.iter().map(|(text, times)| format!("{times} x '{text}'"));
        each.collect::<Vec<String>>().join(", ")
    }
}

/// The latest log lines that concern the founding.
fn excerpt(name: &str, log: &str) -> Vec<String> {
    let lines: Vec<&str> =
        log.lines().filter(|line| LOG_KEYWORDS.iter().any(|word| line.contains(word))).collect();
    let latest = &lines[lines.len().saturating_sub(LOG_LINES)..];
    latest.iter().map(|line| format!("  {name}: {line}")).collect()
}

impl Session<'_> {
    /// Founds the group through the first voter, and waits until the leader sees all servers ready.
    pub(super) fn found_group(&mut self) -> io::Result<()> {
        let mut answers = Answers::default();
        let admin = self.fleet.nodes[0].admin();
        let founded =
            self.until(FOUNDING_TIMEOUT, |_| answers.record(call(admin, "POST", "/fleet/found", "")))?;
        if !founded {
            let why = format!("the group was not founded within 20 s; answers: {}", answers.summary());
            return Err(self.error_with_logs(why));
        }
        let mut not_ready = Vec::new();
        let all_ready = self.until(FOUNDING_TIMEOUT, |session| {
            not_ready = session.not_ready();
            not_ready.is_empty()
        })?;
        if !all_ready {
            let why = format!("founded, but within 20 s no leader heard {} ready", not_ready.join(", "));
            return Err(self.error_with_logs(why));
        }
        Ok(())
    }

    /// Names of the servers that the group doesn't see as ready.
    fn not_ready(&self) -> Vec<String> {
        let status = self.status().unwrap_or_default();
        let servers = status["servers"].as_array().cloned().unwrap_or_default();
        let ready =
            |name: &str| servers.iter().any(|server| server["name"] == name && server["ready"] == true);
        self.fleet.nodes.iter().map(|node| node.name.clone()).filter(|name| !ready(name)).collect()
    }

    /// An error with the reason and excerpts of the servers' logs.
    fn error_with_logs(&self, why: String) -> io::Error {
        let mut lines = vec![why];
        for node in &self.fleet.nodes {
            lines.extend(excerpt(&node.name, &node.log()));
        }
        io::Error::other(lines.join("\n"))
    }
}
