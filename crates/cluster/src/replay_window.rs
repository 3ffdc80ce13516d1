//! Replay protection: an authenticated datagram is accepted once, not after too long a delay, and not from an
//! earlier incarnation of its sender.
//!
//! Sequence numbers are tracked in a sliding bitmap, as in IPsec (RFC 4303, 3.4.3). Wall clocks are not used,
//! because one may jump by an hour. A datagram holds its send time by the sender's monotonic clock. The
//! minimum recent offset between the receiver's and the sender's clock is the baseline; a datagram whose
//! offset exceeds it by more than a bound was delayed on the network, or waited unread while this process was
//! stopped.

use crate::MS;
use crate::authentication::{DropReason, Header};
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_after};
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum delay of a datagram beyond the fastest recent one of its sender; later ones are dropped.
pub const MAX_DELAY: Span = Span(3_000 * MS);
/// Number of sequence numbers that are tracked, up to the highest; an older one counts as a replay.
const WINDOW_NUMBERS: u64 = 1_024;
/// Length of the bitmap in words.
const WINDOW_WORDS: usize = (WINDOW_NUMBERS / 64) as usize;
/// How long the baseline is in force before it is replaced by the minimum offset of this period. Clocks drift
/// by a few ms in that time.
const BASELINE_PERIOD: Span = Span(10_000 * MS);
/// Once all datagrams of a sender have been late for this time, the baseline is set anew, because the network
/// path has become slower or the sender's clock stood still.
const REBASE_AFTER: Span = Span(20_000 * MS);
/// Maximum accepted send time, in microseconds: 285 years. No process runs for that long, and the differences
/// between accepted send times can't overflow, whatever a sender claims.
const MAX_SENT_US: u64 = 1 << 53;
/// Maximum number of senders that are remembered; beyond it the one that was silent for the longest time is
/// evicted.
const MAX_SENDERS: usize = 8_192;

/// A period in which every datagram of a sender arrived too late.
#[derive(Debug, Clone, Copy)]
struct DelayedPeriod {
    since: Time,
    min_offset_us: i64,
}

/// The sequence numbers and clock offsets of one sender.
#[derive(Debug)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// One bit for each of the last [`WINDOW_NUMBERS`] sequence numbers up to the highest, set if it was
    /// received.
    seen: [u64; WINDOW_WORDS],
    last_received: Time,
    /// The baseline in force: the minimum of the own time less the send time, in microseconds.
    baseline_us: i64,
    /// The same minimum over the current period.
    next_baseline_us: i64,
    /// Start of the current period of [`BASELINE_PERIOD`].
    since: Time,
    /// Set while all datagrams of the sender arrive too late.
    delayed: Option<DelayedPeriod>,
}

/// The sequence numbers and clock offsets of all known senders, at most [`MAX_SENDERS`].
#[derive(Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<Arc<str>, Sender>,
}

impl ReplayWindow {
    /// Accepts or drops a datagram; returns its delay beyond the baseline.
    pub fn check(&mut self, now: Time, header: &Header<'_>) -> Result<Span, DropReason> {
        if header.sent_us > MAX_SENT_US {
            return Err(DropReason::MalformedContent);
        }
        let offset_us = (now.0 / 1_000) as i64 - header.sent_us as i64;
        let new_sender = || Sender {
            incarnation: header.incarnation,
            highest: 0,
            seen: [0; WINDOW_WORDS],
            last_received: now,
            baseline_us: offset_us,
            next_baseline_us: offset_us,
            since: now,
            delayed: None,
        };
        if !self.senders.contains_key(header.name) {
            self.evict_oldest();
            self.senders.insert(Arc::from(header.name), new_sender());
        }
        let Some(sender) = self.senders.get_mut(header.name) else {
            return Err(DropReason::EarlierIncarnation);
        };
        if header.incarnation < sender.incarnation {
            return Err(DropReason::EarlierIncarnation);
        }
        if header.incarnation > sender.incarnation {
            *sender = new_sender();
        }
        if !sender.is_new(header.number) {
            return Err(DropReason::Replay);
        }
        let delay = sender.delay(now, offset_us);
        if delay > MAX_DELAY {
            return Err(DropReason::Delayed);
        }
        sender.mark_received(header.number);
        sender.last_received = now;
        Ok(delay)
    }

    /// The last incarnation of which a datagram was received from this server.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        self.senders.get(name).map(|sender| sender.incarnation)
    }

    /// The number of senders that are remembered.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Whether no sender is remembered.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    /// Evicts the sender that was silent for the longest time, if there is no room for another one.
    fn evict_oldest(&mut self) {
        if self.senders.len() >= MAX_SENDERS {
            let oldest =
                self.senders.iter().min_by_key(|(name, sender)| (sender.last_received, Arc::clone(name)));
            if let Some(name) = oldest.map(|(name, _)| Arc::clone(name)) {
                self.senders.remove(&name);
            }
        }
    }
}

impl Sender {
    fn is_new(&self, number: u64) -> bool {
        if number > self.highest {
            return true;
        }
        let distance = self.highest - number;
        distance < WINDOW_NUMBERS
            && self.seen[(number % WINDOW_NUMBERS / 64) as usize] & 1 << (number % 64) == 0
    }

    fn mark_received(&mut self, number: u64) {
        if number > self.highest {
            // The numbers in between were not received. A jump beyond the window clears all bits.
            let from = self.highest.max(number.saturating_sub(WINDOW_NUMBERS)) + 1;
            for between in from..=number {
                self.seen[(between % WINDOW_NUMBERS / 64) as usize] &= !(1 << (between % 64));
            }
            self.highest = number;
        }
        self.seen[(number % WINDOW_NUMBERS / 64) as usize] |= 1 << (number % 64);
    }

    /// The delay beyond the baseline of a datagram with this clock offset; updates the baseline.
    fn delay(&mut self, now: Time, offset_us: i64) -> Span {
        if now >= time_after(self.since, BASELINE_PERIOD) {
            self.rebase(now, self.next_baseline_us.min(offset_us), offset_us);
        }
        self.next_baseline_us = self.next_baseline_us.min(offset_us);
        self.baseline_us = self.baseline_us.min(offset_us);
        let delay = self.delay_beyond_baseline(offset_us);
        if delay <= MAX_DELAY {
            self.delayed = None;
            return delay;
        }
        // Otherwise the delayed datagrams would become the baseline of the next period.
        self.next_baseline_us = self.next_baseline_us.min(self.baseline_us);
        let mut delayed = self.delayed.unwrap_or(DelayedPeriod { since: now, min_offset_us: offset_us });
        delayed.min_offset_us = delayed.min_offset_us.min(offset_us);
        self.delayed = Some(delayed);
        if now < time_after(delayed.since, REBASE_AFTER) {
            return delay;
        }
        self.delayed = None;
        self.rebase(now, delayed.min_offset_us, offset_us);
        self.delay_beyond_baseline(offset_us)
    }

    fn rebase(&mut self, now: Time, baseline_us: i64, offset_us: i64) {
        self.baseline_us = baseline_us;
        self.next_baseline_us = offset_us;
        self.since = now;
    }

    fn delay_beyond_baseline(&self, offset_us: i64) -> Span {
        Span(((offset_us - self.baseline_us) as u64).saturating_mul(1_000))
    }
}

#[cfg(test)]
mod tests;
