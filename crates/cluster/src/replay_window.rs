//! Replay protection: a datagram that is tagged is taken once, not after too long a delay, and not from an earlier
//! incarnation of its sender.
//!
//! Numbers are held in a sliding bitmap, as in IPsec (RFC 4303, 3.4.3). No wall clock is used, as one may jump by an hour.
//! A datagram says when it left by its sender's own clock; the least offset to the own clock that was seen lately is the
//! baseline, and what is later than that by more than a bound was under way for too long, or waited unread while this
//! process was stopped.

use crate::MS;
use crate::authentication::{DropReason, Header};
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_after};
use std::collections::HashMap;
use std::sync::Arc;

/// What is later than a quick datagram by more than this is dropped.
pub const MAX_DELAY: Span = Span(3_000 * MS);
/// Numbers behind the highest that are tracked; an older one counts as a replay.
const WINDOW_NUMBERS: u64 = 1_024;
/// Words of the bitmap.
const WINDOW_WORDS: usize = (WINDOW_NUMBERS / 64) as usize;
/// For so long the least difference is taken before the next one counts: clocks drift by a few ms in that time.
const BASELINE_SPAN: Span = Span(10_000 * MS);
/// If everything is too late for so long, the way has grown longer, or the sender's clock has stood still.
const REBASE_AFTER: Span = Span(20_000 * MS);
/// The greatest time of sending that is taken, in microseconds: 285 years. No process runs for so long, and differences of
/// times up to it fit their type, whatever a sender says.
const MAX_SENT_US: u64 = 1 << 53;
/// Senders remembered; with more, the one that was silent for longest goes.
const MAX_SENDERS: usize = 8_192;

/// A period in which every datagram of a sender arrived too late.
#[derive(Debug, Clone, Copy)]
struct DelayedPeriod {
    since: Time,
    min_offset_us: i64,
}

/// One sender's numbers and clock.
#[derive(Debug)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// A bit for each of the numbers up to the highest.
    seen: [u64; WINDOW_WORDS],
    last_received: Time,
    /// The least own time less sender's time, in microseconds: in force, and in the span that runs.
    baseline_us: i64,
    next_baseline_us: i64,
    /// When the span that runs began.
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
    /// Whether a datagram is taken, and how much later it came than a quick one would have.
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
        sender.take(header.number);
        sender.last_received = now;
        Ok(delay)
    }

    /// The last known incarnation of a server.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        self.senders.get(name).map(|sender| sender.incarnation)
    }

    /// How many senders are remembered.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Whether no sender is known yet.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

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
        let back = self.highest - number;
        back < WINDOW_NUMBERS && self.seen[(number % WINDOW_NUMBERS / 64) as usize] & 1 << (number % 64) == 0
    }

    fn take(&mut self, number: u64) {
        if number > self.highest {
            // The numbers in between were not seen; past the length of the window all old bits are cleared.
            let from = self.highest.max(number.saturating_sub(WINDOW_NUMBERS)) + 1;
            for between in from..=number {
                self.seen[(between % WINDOW_NUMBERS / 64) as usize] &= !(1 << (between % 64));
            }
            self.highest = number;
        }
        self.seen[(number % WINDOW_NUMBERS / 64) as usize] |= 1 << (number % 64);
    }

    /// How much later than a quick datagram one is with this offset of clocks.
    fn delay(&mut self, now: Time, offset_us: i64) -> Span {
        if now >= time_after(self.since, BASELINE_SPAN) {
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
