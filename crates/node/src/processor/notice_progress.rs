//! Tracks the processor's notices across links: the last one read, whose number the next `hello` sends, and whether the
//! processor that greets is the one that sent it.
//!
//! Invariant: `last_notice` is 0 or a notice of the processor that greeted last.

use gradepin_admission::{Span, Time};
use gradepin_core::processor_identity::ProcessorIdentity;
use std::time::Instant;

/// Start of this process on the time scale of [`ProcessorIdentity`], in nanoseconds. Large enough to represent the
/// start of a processor that started long before.
const ORIGIN: u64 = 1 << 62;

/// The progress of reading notices.
pub(super) struct NoticeProgress {
    /// The last notice read on this link or an earlier one; 0 before the first.
    last_notice: u64,
    /// The last notice read before a replay was requested; 0 if no replay is in progress.
    before_replay: u64,
    identity: ProcessorIdentity,
    started: Instant,
}

/// Identity of the processor that greets on a link.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Greeting {
    /// The processor that sent the notices so far, or the first one.
    Known,
    /// A new processor, which sends all its notices on this link.
    Another,
    /// A new processor that omits notices on this link, because the `hello` had a notice number of its predecessor.
    AnotherWithGap,
}

impl NoticeProgress {
    /// Creates the state before the first link.
    pub(super) fn new() -> Self {
        let (identity, started) = (ProcessorIdentity::default(), Instant::now());
        Self { last_notice: 0, before_replay: 0, identity, started }
    }

    /// The current time on the scale of [`ProcessorIdentity`].
    pub(super) fn now(&self) -> Time {
        Time(ORIGIN.saturating_add(u64::try_from(self.started.elapsed().as_nanos()).unwrap_or(u64::MAX)))
    }

    /// The last notice read; 0 if there is none.
    pub(super) fn last_notice(&self) -> u64 {
        self.last_notice
    }

    /// Returns the number for the `hello` of the next link; 0 asks for all notices again, as a replay does.
    pub(super) fn start_link(&mut self, replay: bool) -> u64 {
        if replay {
            self.before_replay = std::mem::take(&mut self.last_notice);
        }
        self.last_notice
    }

    /// Records that a notice was read.
    pub(super) fn record(&mut self, notice: u64) {
        self.last_notice = self.last_notice.max(notice);
    }

    /// Records that a message of the processor was just read.
    pub(super) fn record_activity(&mut self) {
        self.identity.message_read(self.now());
    }

    /// Ends a link. If it interrupts a replay, the notices read before that replay still count as read.
    pub(super) fn end_link(&mut self) {
        let before = std::mem::take(&mut self.before_replay);
        self.record(before);
    }

    /// Identifies a processor that started `age` ago and greets on a link whose connect started at `connecting`.
    pub(super) fn greet(&mut self, connecting: Time, age: Span) -> Greeting {
        if !self.identity.greeted(connecting, self.now(), age) {
            return Greeting::Known;
        }
        self.before_replay = 0;
        match std::mem::take(&mut self.last_notice) {
            0 => Greeting::Another,
            _ => Greeting::AnotherWithGap,
        }
    }
}
