//! A token bucket for each connection that bounds the rate of its messages, by what they cost the server.

use gradepin_core::messages::Response;
use std::time::{Duration, Instant};

/// Tokens that a connection gains per second. A served request costs one when it is read and one when it is answered,
/// so usual client proxies stay far below.
const TOKENS_PER_SECOND: f64 = 2000.0;
/// Tokens that a bucket holds at most.
const MAX_BURST_TOKENS: f64 = 1000.0;

/// What became of a message, for its cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageOutcome {
    /// It was served.
    Served,
    /// It was rejected, or its run failed.
    Failed,
    /// It was no valid message.
    Invalid,
}

impl MessageOutcome {
    /// The outcome that a response states for its request.
    pub(super) fn of(response: &Response) -> Self {
        match response {
            Response::Served(_) | Response::Health { .. } => Self::Served,
            Response::Rejected { .. } | Response::Failed { .. } | Response::OutcomeUnknown => Self::Failed,
            Response::Invalid { .. } => Self::Invalid,
        }
    }

    /// Cost in tokens, beside the one token for reading the message.
    pub(super) fn cost(self) -> usize {
        match self {
            Self::Served => 1,
            Self::Failed => 10,
            Self::Invalid => 50,
        }
    }
}

/// Guards against a client that sends rejected or invalid messages at full speed: reading, answering and logging them
/// would take the core from all other clients. Reading from the connection pauses; nothing that it sent is dropped.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Below 0 after a message that cost more than was left.
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn new(now: Instant) -> Self {
        Self { tokens: MAX_BURST_TOKENS, updated_at: now }
    }

    /// Takes tokens; if none are left, returns how long to pause until there are.
    pub(super) fn take(&mut self, cost: usize, now: Instant) -> Option<Duration> {
        let gained = now.saturating_duration_since(self.updated_at).as_secs_f64() * TOKENS_PER_SECOND;
        self.tokens = (self.tokens + gained).min(MAX_BURST_TOKENS) - cost as f64;
        self.updated_at = now;
        (self.tokens < 0.0).then(|| Duration::from_secs_f64(-self.tokens / TOKENS_PER_SECOND))
    }
}

#[cfg(test)]
mod tests;
