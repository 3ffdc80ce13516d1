//! What of the tagged datagrams is fresh: no replay, not under way for too long, and of no earlier life of its sender.
//!
//! No wall clock is used, as one may jump by an hour. A datagram tells when it left by its sender's own clock; the least
//! difference to the own clock that was seen lately stands for a quick way, and what is later than that by more than a
//! bound was under way for too long, or waited unread while this process was stopped.

use crate::MS;
use crate::peer::Life;
use crate::seal::{Dropped, Head};
use gradepin_decisions::{Span, Time, after};
use std::collections::HashMap;
use std::sync::Arc;

/// What is later than a quick datagram by more than this is dropped.
pub const TOO_LATE: Span = Span(3_000 * MS);
/// Numbers behind the highest that are told apart; what is older counts as a replay.
const WINDOW: u64 = 1_024;
const WORDS: usize = (WINDOW / 64) as usize;
/// For so long the least difference is taken before the next one counts: clocks drift by a few ms in that time.
const BASE_FOR: Span = Span(10_000 * MS);
/// If everything is too late for so long, the way has grown longer, or the sender's clock has stood still.
const LATE_FOR: Span = Span(20_000 * MS);
/// Senders remembered; with more, the one not heard for longest goes.
const MOST_SENDERS: usize = 8_192;

/// One sender's numbers and clock.
#[derive(Debug)]
struct Sender {
    life: Life,
    highest: u64,
    /// A bit for each of the numbers up to the highest.
    seen: [u64; WORDS],
    heard: Time,
    /// The least own time less sender's time, in microseconds: in force, and in the span that runs.
    base_us: i64,
    next_us: i64,
    since: Time,
    /// Since when all is too late, and the least difference since then.
    late: Option<(Time, i64)>,
}

/// The senders that were heard.
#[derive(Debug, Default)]
pub struct Fresh {
    senders: HashMap<Arc<str>, Sender>,
}

impl Fresh {
    /// Whether a datagram is fresh, and how much later it came than a quick one would have.
    pub fn check(&mut self, now: Time, head: &Head<'_>) -> Result<Span, Dropped> {
        let differs = (now.0 / 1_000) as i64 - head.sent_us as i64;
        let fresh = || Sender {
            life: head.life,
            highest: 0,
            seen: [0; WORDS],
            heard: now,
            base_us: differs,
            next_us: differs,
            since: now,
            late: None,
        };
        if !self.senders.contains_key(head.name) {
            self.make_room();
            self.senders.insert(Arc::from(head.name), fresh());
        }
        let Some(sender) = self.senders.get_mut(head.name) else { return Err(Dropped::EarlierLife) };
        if head.life < sender.life {
            return Err(Dropped::EarlierLife);
        }
        if head.life > sender.life {
            *sender = fresh();
        }
        if !sender.is_new(head.number) {
            return Err(Dropped::Replay);
        }
        let excess = sender.excess(now, differs);
        if excess > TOO_LATE {
            return Err(Dropped::Late);
        }
        sender.take(head.number);
        sender.heard = now;
        Ok(excess)
    }

    /// The life in which a server was heard last.
    pub fn life(&self, name: &str) -> Option<Life> {
        self.senders.get(name).map(|sender| sender.life)
    }

    /// How many senders are remembered.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Whether nobody was heard yet.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn make_room(&mut self) {
        if self.senders.len() >= MOST_SENDERS {
            let oldest = self.senders.iter().min_by_key(|(name, sender)| (sender.heard, Arc::clone(name)));
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
        back < WINDOW && self.seen[(number % WINDOW / 64) as usize] & 1 << (number % 64) == 0
    }

    fn take(&mut self, number: u64) {
        if number > self.highest {
            // What lies between wasn't seen; past a whole window nothing of the old bits counts.
            let from = self.highest.max(number.saturating_sub(WINDOW)) + 1;
            for between in from..=number {
                self.seen[(between % WINDOW / 64) as usize] &= !(1 << (between % 64));
            }
            self.highest = number;
        }
        self.seen[(number % WINDOW / 64) as usize] |= 1 << (number % 64);
    }

    /// How much later than a quick datagram one is with this difference of clocks.
    fn excess(&mut self, now: Time, differs: i64) -> Span {
        if now >= after(self.since, BASE_FOR) {
            (self.base_us, self.next_us, self.since) = (self.next_us.min(differs), differs, now);
        }
        self.next_us = self.next_us.min(differs);
        self.base_us = self.base_us.min(differs);
        let excess = Span((differs - self.base_us) as u64 * 1_000);
        if excess <= TOO_LATE {
            self.late = None;
            return excess;
        }
        // Without this, what is late would be the base of the next span.
        self.next_us = self.next_us.min(self.base_us);
        let (since, least) = self.late.unwrap_or((now, differs));
        self.late = Some((since, least.min(differs)));
        if now >= after(since, LATE_FOR) {
            (self.base_us, self.next_us, self.since, self.late) = (least.min(differs), differs, now, None);
            return Span((differs - self.base_us) as u64 * 1_000);
        }
        excess
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(life: u64, number: u64, sent_ms: u64) -> Head<'static> {
        Head { name: "n1", life: Life(life), to: Life(0), number, sent_us: sent_ms * 1_000 }
    }

    fn ms(ms: u64) -> Time {
        Time(ms * MS)
    }

    /// Guards against a datagram that is recorded and sent again, in whatever order the first ones came.
    #[test]
    fn each_number_is_taken_once_in_any_order() {
        let mut fresh = Fresh::default();
        for number in [5, 2, 9, 3, 1_000, 700, 701, 1_001] {
            assert!(fresh.check(ms(1_000), &head(1, number, 0)).is_ok(), "{number}");
        }
        for number in [5, 2, 9, 3, 1_000, 700, 701, 1_001] {
            assert_eq!(fresh.check(ms(1_001), &head(1, number, 0)), Err(Dropped::Replay), "{number}");
        }
        assert!(fresh.check(ms(1_002), &head(1, 4, 0)).is_ok(), "a hole is still open");
        assert!(fresh.check(ms(1_002), &head(1, 9_000, 0)).is_ok());
        assert_eq!(fresh.check(ms(1_002), &head(1, 6, 0)), Err(Dropped::Replay), "out of the window");
        assert_eq!(fresh.check(ms(1_002), &head(1, 9_000, 0)), Err(Dropped::Replay));
        assert!(fresh.check(ms(1_002), &head(1, 8_500, 0)).is_ok(), "not mistaken for an old bit");
    }

    /// Guards against what a stopped process finds in its socket, and against what a relay held back.
    #[test]
    fn what_was_under_way_for_too_long_is_dropped() {
        let mut fresh = Fresh::default();
        // The sender's clock began elsewhere.
        for n in 0..50 {
            assert_eq!(fresh.check(ms(10_000 + 100 * n), &head(1, n + 1, 500_000 + 100 * n)), Ok(Span(0)));
        }
        assert_eq!(fresh.check(ms(15_400), &head(1, 60, 505_000)), Ok(Span(400 * MS)));
        assert_eq!(fresh.check(ms(20_000), &head(1, 61, 505_000)), Err(Dropped::Late));
        assert_eq!(
            fresh.check(ms(20_000), &head(1, 62, 510_000)),
            Ok(Span(0)),
            "the next one is quick again"
        );
    }

    /// Guards against a sender cut off for ever because its clock stood still with its machine, and against clocks that
    /// drift by a hundredth for hours.
    #[test]
    fn a_clock_may_stand_still_or_drift() {
        let mut fresh = Fresh::default();
        assert!(fresh.check(ms(0), &head(1, 1, 0)).is_ok());
        // The machine slept for a minute, and its clock with it.
        let mut dropped = 0;
        for n in 0..300 {
            dropped += u64::from(fresh.check(ms(60_000 + 100 * n), &head(1, 2 + n, 100 * n)).is_err());
        }
        assert!((190..=210).contains(&dropped), "{dropped}");
        let mut drifting = Fresh::default();
        for n in 0..72_000 {
            let sent = 100 * n - n;
            assert!(drifting.check(ms(100 * n), &head(1, n + 1, sent)).is_ok(), "after {n}");
        }
    }

    /// Guards against a datagram of an earlier life that arrives after the restart.
    #[test]
    fn an_earlier_life_is_over_once_a_later_one_was_heard() {
        let mut fresh = Fresh::default();
        assert!(fresh.check(ms(0), &head(4, 90, 90)).is_ok());
        assert!(fresh.check(ms(10), &head(5, 1, 0)).is_ok(), "numbers and clock begin anew");
        assert_eq!(fresh.check(ms(20), &head(4, 91, 100)), Err(Dropped::EarlierLife));
        assert_eq!(fresh.life("n1"), Some(Life(5)));
    }

    #[test]
    fn senders_are_bounded() {
        let mut fresh = Fresh::default();
        for n in 0..MOST_SENDERS + 5 {
            let name = format!("n{n}");
            let head = Head { name: &name, life: Life(1), to: Life(0), number: 1, sent_us: 0 };
            assert!(fresh.check(ms(n as u64), &head).is_ok());
        }
        assert_eq!((fresh.len(), fresh.is_empty()), (MOST_SENDERS, false));
    }
}
