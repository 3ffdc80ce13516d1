//! What is known of the processor's notices across links: the last one that was read, which the next `hello` names, and
//! whether the processor that greets is the one that sent them.
//!
//! Invariant: `last_notice` is a notice of the processor that is known now, or 0.

use gradepin_admission::{Span, Time};
use gradepin_core::processor_identity::ProcessorIdentity;
use std::time::Instant;

/// The time at which this process began, on the scale of [`ProcessorIdentity`]. It leaves room before it for a processor
/// that started long ago.
const ORIGIN: u64 = 1 << 62;

/// The notices that were read so far.
pub(super) struct NoticeProgress {
    /// The last notice that was read on this link or an earlier one; 0 before the first.
    last_notice: u64,
    /// The last notice that was read before a replay was requested; 0 while there is no replay.
    before_replay: u64,
    identity: ProcessorIdentity,
    started: Instant,
}

/// Which processor greets on a link.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Greeting {
    /// The one that sent the notices so far, or the first one.
    Known,
    /// Another one, which sends all its notices on this link.
    Another,
    /// Another one, but the `hello` named a notice of the one before: it leaves out notices on this link.
    AnotherWithGap,
}

impl NoticeProgress {
    /// Before the first link.
    pub(super) fn new() -> Self {
        let (identity, started) = (ProcessorIdentity::default(), Instant::now());
        Self { last_notice: 0, before_replay: 0, identity, started }
    }

    /// The present, on the scale of [`ProcessorIdentity`].
    pub(super) fn now(&self) -> Time {
        Time(ORIGIN.saturating_add(u64::try_from(self.started.elapsed().as_nanos()).unwrap_or(u64::MAX)))
    }

    /// The last notice that was read; 0 where none was.
    pub(super) fn last_notice(&self) -> u64 {
        self.last_notice
    }

    /// The number for the `hello` of the next link; 0 asks for all notices again.
    pub(super) fn start_link(&mut self, replay: bool) -> u64 {
        if replay {
            self.before_replay = std::mem::take(&mut self.last_notice);
        }
        self.last_notice
    }

    /// Records a notice that was read.
    pub(super) fn record(&mut self, notice: u64) {
        self.last_notice = self.last_notice.max(notice);
    }

    /// Records that the processor sent something that was read now.
    pub(super) fn record_activity(&mut self) {
        self.identity.message_read(self.now());
    }

    /// Ends a link. Notices that were read before a replay stay read where the replay was cut short.
    pub(super) fn end_link(&mut self) {
        let before = std::mem::take(&mut self.before_replay);
        self.record(before);
    }

    /// Identifies a processor that started `age` ago and greets on a link that began to be made at `connecting`.
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
