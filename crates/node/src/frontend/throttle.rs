//! A token bucket per connection that limits the rate of messages that break the protocol.
//!
//! Invariant: messages that keep to the protocol take no tokens, so the connection of a client that keeps to it is never
//! paused. While a connection is paused its requests wait unread and may be answered late, which its client brought about.

use gradepin_core::messages::ProtocolViolation;
use std::time::{Duration, Instant};

/// Tokens that a connection gains per second.
const TOKENS_PER_SECOND: f64 = 2000.0;
/// Capacity of a bucket.
const MAX_BURST_TOKENS: f64 = 1000.0;
/// Tokens that a health check takes; each should arrive on a connection of its own.
pub(super) const HEALTH_CHECK_TOKENS: usize = 2;
/// Tokens that a message takes which is skipped, as no such message exists.
pub(super) const UNSUPPORTED_MESSAGE_TOKENS: usize = 51;

/// Tokens that a violation takes.
pub(super) fn violation_tokens(violation: ProtocolViolation) -> usize {
    match violation {
        ProtocolViolation::InvalidMessage | ProtocolViolation::ReusedSequence => 51,
        ProtocolViolation::TooManyOpenRequests => 11,
        ProtocolViolation::SurplusCancel => 2,
    }
}

/// Limits clients that send messages at full speed and break the protocol: reading, answering and logging them would use up
/// the CPU time of all other clients. Reading from the connection pauses; no message is dropped.
#[derive(Debug)]
pub(super) struct TokenBucket {
    /// Negative after a message that took more than was left.
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(now: Instant) -> Self {
        Self { tokens: MAX_BURST_TOKENS, updated_at: now }
    }

    /// Takes tokens; if the balance becomes negative, returns the pause until it is 0 again.
    pub(super) fn take(&mut self, tokens: usize, now: Instant) -> Option<Duration> {
        if tokens == 0 {
            return None;
        }
        let gained = now.saturating_duration_since(self.updated_at).as_secs_f64() * TOKENS_PER_SECOND;
        self.tokens = (self.tokens + gained).min(MAX_BURST_TOKENS) - tokens as f64;
        self.updated_at = now;
        (self.tokens < 0.0).then(|| Duration::from_secs_f64(-self.tokens / TOKENS_PER_SECOND))
    }
}

#[cfg(test)]
mod tests;
