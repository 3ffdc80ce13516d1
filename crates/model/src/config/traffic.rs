//! Counts the bytes sent by servers and checks them against the rate limit.

use super::{Bytes, Spec};
use crate::queue::At;
use gradepin_config::dissemination::SentCounters;

/// Tolerance in bytes for a burst: a single message may exceed what is left of the limit.
const MESSAGE_BYTES: f64 = 40_000.0;
/// Burst size in seconds of the rate limit.
const BURST_S: f64 = 4.0;
const SECOND: At = 1_000_000_000;

#[derive(Debug, Clone, Copy, Default)]
struct Sender {
    total: u64,
    second: At,
    this_second: u64,
    most: u64,
    level: f64,
    at: At,
}

/// Bytes sent by all servers.
#[derive(Debug)]
pub struct TrafficCounter {
    senders: Vec<Sender>,
    rate: f64,
    over: u64,
    up_ns: Vec<u64>,
    sent: SentCounters,
}

impl TrafficCounter {
    /// Creates a counter without traffic.
    pub fn new(spec: &Spec) -> Self {
        let rate = spec.settings.message_bytes_per_second + spec.settings.snapshot_bytes_per_second;
        Self {
            senders: vec![Sender::default(); spec.servers],
            rate,
            over: 0,
            up_ns: vec![0; spec.servers],
            sent: SentCounters::default(),
        }
    }

    /// Counts bytes sent by a server.
    pub fn sent(&mut self, now: At, n: usize, bytes: usize) {
        let sender = &mut self.senders[n];
        if now / SECOND != sender.second {
            (sender.second, sender.this_second) = (now / SECOND, 0);
        }
        sender.total += bytes as u64;
        sender.this_second += bytes as u64;
        sender.most = sender.most.max(sender.this_second);
        // A token bucket independent of the sender's own.
        let passed = (now - sender.at) as f64 / SECOND as f64;
        sender.level = (sender.level - passed * self.rate).max(0.0) + bytes as f64;
        sender.at = now;
        self.over += u64::from(sender.level > BURST_S * self.rate + MESSAGE_BYTES);
    }

    /// Adds the uptime and the sent bytes of a process that ends.
    pub fn ended(&mut self, n: usize, up: At, sent: SentCounters) {
        self.up_ns[n] += up;
        self.sent.control_bytes += sent.control_bytes;
        self.sent.commit_bytes += sent.commit_bytes;
        self.sent.snapshot_bytes += sent.snapshot_bytes;
    }

    /// Computes the totals.
    pub fn sum_up(&self, voters: usize) -> Bytes {
        let seconds = |up: &[u64]| up.iter().sum::<u64>().max(1) as f64 / SECOND as f64;
        let total = |senders: &[Sender]| senders.iter().map(|sender| sender.total).sum::<u64>() as f64;
        let most = |senders: &[Sender]| senders.iter().map(|sender| sender.most).max().unwrap_or(0) as f64;
        let all = seconds(&self.up_ns);
        Bytes {
            mean_s: total(&self.senders) / all,
            small_s: self.sent.control_bytes as f64 / all,
            commits_s: self.sent.commit_bytes as f64 / all,
            snapshots_s: self.sent.snapshot_bytes as f64 / all,
            most_s: most(&self.senders),
            voters_s: total(&self.senders[..voters]) / seconds(&self.up_ns[..voters]),
            voters_most_s: most(&self.senders[..voters]),
            limit: BURST_S * self.rate,
            over_limit: self.over,
        }
    }
}
