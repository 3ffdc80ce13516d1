//! A token bucket per connection that limits the rate of its messages by their cost to the server.

use gradepin_core::messages::Response;
use std::time::{Duration, Instant};

/// Tokens that a connection gains per second. A served request costs one token when it is read and one when it is
/// answered, so normal client proxies stay far below the limit.
const TOKENS_PER_SECOND: f64 = 2000.0;
/// Capacity of a bucket.
const MAX_BURST_TOKENS: f64 = 1000.0;

/// The outcome of a message, which determines its cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageOutcome {
    /// A result was sent, or a health check answered.
    Served,
    /// The request was rejected, or its run failed.
    Failed,
    /// The message was invalid.
    Invalid,
}

impl MessageOutcome {
    /// The outcome of the request that a response answers.
    pub(super) fn of(response: &Response) -> Self {
        match response {
            Response::Served(_) | Response::Health { .. } => Self::Served,
            Response::Rejected { .. } | Response::Failed { .. } | Response::OutcomeUnknown => Self::Failed,
            Response::Invalid { .. } => Self::Invalid,
        }
    }

    /// Cost in tokens, in addition to the one token for reading the message.
    pub(super) fn cost(self) -> usize {
        match self {
            Self::Served => 1,
            Self::Failed => 10,
            Self::Invalid => 50,
        }
    }
}

/// Limits clients that send rejected or invalid messages at full speed: reading, answering and logging them would use
/// up the CPU time of all other clients. Reading from the connection pauses; no message is dropped.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Negative after a message that cost more than was left.
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(now: Instant) -> Self {
        Self { tokens: MAX_BURST_TOKENS, updated_at: now }
    }

    /// Takes tokens; if the balance becomes negative, returns the pause until it is 0 again.
    pub(super) fn take(&mut self, cost: usize, now: Instant) -> Option<Duration> {
        let gained = now.saturating_duration_since(self.updated_at).as_secs_f64() * TOKENS_PER_SECOND;
        self.tokens = (self.tokens + gained).min(MAX_BURST_TOKENS) - cost as f64;
        self.updated_at = now;
        (self.tokens < 0.0).then(|| Duration::from_secs_f64(-self.tokens / TOKENS_PER_SECOND))
    }
}

#[cfg(test)]
mod tests;
