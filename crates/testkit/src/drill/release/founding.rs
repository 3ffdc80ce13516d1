//! Founding the consensus group at the start of the drill: asked again while the answer is lost, late or a refusal that passes,
//! and explained by the answers and the servers' logs where it fails.

use super::session::Session;
use crate::harness::play::call;
use std::io;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// How long the founding is asked for, and how long all servers may take to be heard after it.
const PATIENCE: Duration = Duration::from_secs(20);
/// Lines of each server's log that a failure shows, the latest.
const LOG_LINES: usize = 8;
/// Words of log lines that tell of the founding.
const WORDS: [&str; 7] = ["found", "council", "consensus", "voter", "leader", "WARN", "ERRO"];

/// The answers so far.
#[derive(Debug, Default)]
struct Answers {
    /// Those that are no success, each once, with how often each came.
    others: Vec<(String, u32)>,
}

impl Answers {
    /// Takes an answer, none where it was lost or late; whether the group is founded. A group that is founded with the same voters
    /// already answers as the first time, so an answer that was lost is asked for again.
    fn take(&mut self, answer: Option<(u16, String)>) -> bool {
        let text = match answer {
            Some((200, _)) => return true,
            Some((status, text)) => format!("{status}: {text}"),
            None => "no answer".to_string(),
        };
        match self.others.iter_mut().find(|(known, _)| *known == text) {
            Some((_, times)) => *times += 1,
            None => self.others.push((text, 1)),
        }
        false
    }

    fn summary(&self) -> String {
        let each = self.others.iter().map(|(text, times)| format!("{times} x '{text}'"));
        each.collect::<Vec<String>>().join(", ")
    }
}

/// The latest lines of a log that tell of the founding.
fn excerpt(name: &str, log: &str) -> Vec<String> {
    let lines: Vec<&str> = log.lines().filter(|line| WORDS.iter().any(|word| line.contains(word))).collect();
    let latest = &lines[lines.len().saturating_sub(LOG_LINES)..];
    latest.iter().map(|line| format!("  {name}: {line}")).collect()
}

impl Session<'_> {
    /// Founds the group at the first voter, and waits until all servers are heard.
    pub(super) fn found(&mut self) -> io::Result<()> {
        let mut answers = Answers::default();
        let door = self.fleet.nodes[0].admin();
        let founded = self.until(PATIENCE, |_| answers.take(call(door, "POST", "/fleet/found", "")))?;
        if !founded {
            let why = format!("the group was not founded within 20 s; answers: {}", answers.summary());
            return Err(self.explained(why));
        }
        let mut unheard = Vec::new();
        let whole = self.until(PATIENCE, |session| {
            unheard = session.unheard();
            unheard.is_empty()
        })?;
        if !whole {
            let why = format!("founded, but within 20 s no leader heard {} ready", unheard.join(", "));
            return Err(self.explained(why));
        }
        Ok(())
    }

    /// Servers that the group's view doesn't hold to be ready.
    fn unheard(&self) -> Vec<String> {
        let status = self.status().unwrap_or_default();
        let servers = status["servers"].as_array().cloned().unwrap_or_default();
        let ready =
            |name: &str| servers.iter().any(|server| server["name"] == name && server["ready"] == true);
        self.fleet.nodes.iter().map(|node| node.name.clone()).filter(|name| !ready(name)).collect()
    }

    /// The error with what the logs say.
    fn explained(&self, why: String) -> io::Error {
        let mut lines = vec![why];
        for node in &self.fleet.nodes {
            lines.extend(excerpt(&node.name, &node.log()));
        }
        io::Error::other(lines.join("\n"))
    }
}
