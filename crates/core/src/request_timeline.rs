//! When a request passed each stage on its way through the server, and in which stage it was when its response was due.
//!
//! The front end states when it read a request and what the request waited for before ([`Receipt`]); the reducer adds the
//! later times. All times are of the monotonic clock. A response is due when its caller stops waiting, plus the slack of
//! the settings.

use gradepin_admission::{Span, Time};
use std::fmt::{self, Display};

/// Why a request was not read as soon as its bytes had arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadWait {
    /// Other connections and earlier messages of its own were read first.
    #[default]
    Turn,
    /// Its connection was not read for a while, as too many messages on it broke the protocol.
    RateLimit,
    /// Its connection was not read until its client had taken some of the responses.
    UnsentResponses,
}

impl ReadWait {
    /// All causes, in the order in which they are published.
    pub const ALL: [Self; 3] = [Self::Turn, Self::RateLimit, Self::UnsentResponses];
}

/// When a front end read a request. The default says nothing: the request counts as read when the reducer gets it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Receipt {
    /// Since when bytes of its connection waited to be read.
    pub unread_since: Option<Time>,
    /// When it was complete and decoded.
    pub read_at: Option<Time>,
    /// Why its connection was not read before.
    pub wait: ReadWait,
}

/// What a request waits for at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It has not reached this server, or was not complete.
    Sending,
    /// It waits to be read, for this reason.
    Unread(ReadWait),
    /// It waits in the queue of inputs.
    InputQueue,
    /// It waits for a decision.
    Decision,
    /// It waits for the outcome of another attempt's run.
    OtherRun,
    /// Its run waits for a claim, for its durable intent or for the link.
    RunStart,
    /// It runs.
    Run,
    /// Its refusal waits for the record of the other process's runs.
    LookUp,
}

impl Stage {
    /// All stages, in the order in which they are published.
    pub const ALL: [Self; 10] = [
        Self::Sending,
        Self::Unread(ReadWait::Turn),
        Self::Unread(ReadWait::RateLimit),
        Self::Unread(ReadWait::UnsentResponses),
        Self::InputQueue,
        Self::Decision,
        Self::OtherRun,
        Self::RunStart,
        Self::Run,
        Self::LookUp,
    ];
}

impl Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Sending => "sending",
            Self::Unread(ReadWait::Turn) => "unread",
            Self::Unread(ReadWait::RateLimit) => "unread, connection paused",
            Self::Unread(ReadWait::UnsentResponses) => "unread, responses not taken",
            Self::InputQueue => "input queue",
            Self::Decision => "decision",
            Self::OtherRun => "another attempt's run",
            Self::RunStart => "start of the run",
            Self::Run => "run",
            Self::LookUp => "look-up before a refusal",
        })
    }
}

/// The times of one request. The stages after the decision are entered in any order, each at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTimeline {
    receipt: Receipt,
    /// When its caller sent it, by its time stamp.
    sent_at: Time,
    /// When the reducer got it.
    taken_at: Time,
    /// Latest time of its response.
    due_at: Time,
    /// The stages after the queue of inputs with the times at which they began; the last one is the present one.
    stages: [Option<(Stage, Time)>; RequestTimeline::MAX_STAGES],
}

impl RequestTimeline {
    /// One place for each stage from [`Stage::Decision`] on.
    const MAX_STAGES: usize = 5;

    /// Creates the timeline of a request that the reducer gets now.
    pub fn new(receipt: Receipt, sent_at: Time, now: Time, due_at: Time) -> Self {
        let mut stages = [None; Self::MAX_STAGES];
        stages[0] = Some((Stage::Decision, now));
        Self { receipt, sent_at, taken_at: now, due_at, stages }
    }

    /// Notes that a stage begins. A stage that was entered before is not noted again.
    pub fn enter(&mut self, stage: Stage, now: Time) {
        let is_known = self.stages.iter().flatten().any(|(known, _)| *known == stage);
        if !is_known && let Some(free) = self.stages.iter_mut().find(|place| place.is_none()) {
            *free = Some((stage, now));
        }
    }

    /// How long the request waited to be read: since its connection had unread bytes, but not before it was sent.
    pub fn read_wait(&self) -> Span {
        let Some(unread_since) = self.unread_since() else { return Span(0) };
        Span(self.read_at().0.saturating_sub(unread_since.0))
    }

    /// Why the request was not read before.
    pub fn read_wait_cause(&self) -> ReadWait {
        self.receipt.wait
    }

    /// By how much a response that is sent now is late; `None` if it is in time.
    pub fn lateness(&self, now: Time) -> Option<Span> {
        now.0.checked_sub(self.due_at.0).filter(|late| *late > 0).map(Span)
    }

    /// The stage that the request was in when its response was due.
    pub fn stage_when_due(&self) -> Stage {
        if self.unread_since().is_none_or(|since| self.due_at < since) && self.due_at < self.read_at() {
            return Stage::Sending;
        }
        if self.due_at < self.read_at() {
            return Stage::Unread(self.receipt.wait);
        }
        if self.due_at < self.taken_at {
            return Stage::InputQueue;
        }
        let begun = self.stages.iter().flatten().rev().find(|(_, since)| *since <= self.due_at);
        begun.map_or(Stage::Decision, |(stage, _)| *stage)
    }

    fn unread_since(&self) -> Option<Time> {
        self.receipt.unread_since.map(|since| since.max(self.sent_at))
    }

    fn read_at(&self) -> Time {
        self.receipt.read_at.unwrap_or(self.taken_at)
    }
}

impl Display for RequestTimeline {
    /// Writes each stage with its length up to the next one, in ms; the last one has none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |from: Time, to: Time| to.0.saturating_sub(from.0) as f64 / 1e6;
        let unread_since = self.unread_since().unwrap_or(self.read_at());
        let unread = Stage::Unread(self.receipt.wait);
        write!(f, "{} {:.1}", Stage::Sending, ms(self.sent_at, unread_since))?;
        write!(f, ", {unread} {:.1}", ms(unread_since, self.read_at()))?;
        write!(f, ", {} {:.1}", Stage::InputQueue, ms(self.read_at(), self.taken_at))?;
        for (index, (stage, since)) in self.stages.iter().flatten().enumerate() {
            match self.stages.get(index + 1).copied().flatten() {
                Some((_, until)) => write!(f, ", {stage} {:.1}", ms(*since, until))?,
                None => write!(f, ", {stage}")?,
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
