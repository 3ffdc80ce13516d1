//! What is due by the clock: reports to the control plane, sweeps, and the module's timers.

use super::link::GAUGES_WAIT;
use super::{MS, Reducer};
use crate::messages::Effect;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeSet;

/// Between reports to the control plane, which forgets a server after 3 s.
const REPORT_EVERY: Span = Span(400 * MS);
/// A change of state is reported this many times in a row, so often: reports get lost.
const REPORTS_OF_A_CHANGE: u32 = 3;
const REPORT_AGAIN: Span = Span(60 * MS);
/// Between sweeps through connections and keys.
const SWEEP_EVERY: Span = Span(250 * MS);

/// When what is due.
#[derive(Debug, Default)]
pub(super) struct Duties {
    next_report: Time,
    /// Reports still to come soon of the last change.
    changes: u32,
    next_sweep: Time,
    /// Those that the module asked for.
    timers: BTreeSet<Time>,
}

impl Duties {
    /// What is reported has changed, or where to: it is told at once, and some times more.
    pub(super) fn changed(&mut self, now: Time) {
        self.changes = REPORTS_OF_A_CHANGE;
        self.next_report = now;
    }

    /// The module wants to be called then.
    pub(super) fn remind(&mut self, at: Time) {
        self.timers.insert(at);
    }

    /// The first of its timers, if it is due.
    pub(super) fn due(&self, now: Time) -> Option<Time> {
        self.timers.first().copied().filter(|due| *due <= now)
    }

    /// Takes the next of its timers that is due.
    pub(super) fn take_due(&mut self, now: Time) -> Option<Time> {
        self.due(now)?;
        self.timers.pop_first()
    }

    /// Whether the module has a turn though nothing came in: a timer is due, or none is set at all.
    pub(super) fn has_turn(&self, now: Time) -> bool {
        self.timers.first().is_none_or(|due| *due <= now)
    }

    /// When its first timer fires, where a question for the gauges is open since then.
    pub(super) fn timer_at(&self, now: Time, asked: Option<Time>) -> Option<Time> {
        self.timers.first().map(|&due| match asked {
            Some(since) if due <= now => time_after(since, GAUGES_WAIT),
            _ => due,
        })
    }

    /// When the next report or sweep is due.
    pub(super) fn wake_at(&self) -> Time {
        self.next_sweep.min(self.next_report)
    }

    /// Whether a report is due; the next one is set.
    fn report_due(&mut self, now: Time) -> bool {
        let due = now >= self.next_report;
        if due {
            self.changes = self.changes.saturating_sub(1);
            self.next_report = time_after(now, if self.changes > 0 { REPORT_AGAIN } else { REPORT_EVERY });
        }
        due
    }
}

impl Reducer {
    /// What is reported has changed, or where to.
    pub(super) fn changed(&mut self) {
        self.duties.changed(self.moment.now);
    }

    pub(super) fn housekeeping(&mut self) {
        let now = self.moment.now;
        if self.duties.report_due(now) && self.controller.is_some() && self.drain.handover.reports() {
            let ready = self.active && !self.registration.is_out() && self.door.draining_since().is_none();
            self.effects.push(Effect::ReportReadiness { ready });
        }
        if now >= self.duties.next_sweep {
            // What is left of a sweep has its turn with the next step, which comes at once.
            let more = self.settle_classes() | self.keys.sweep(now) | self.close_idle();
            self.duties.next_sweep = if more { now } else { time_after(now, SWEEP_EVERY) };
            self.conns.tidy();
        }
        self.keep();
        if self.registration.drain_is_due(now) {
            self.terminate();
        }
        let grace = time_after(self.drain.since(now), self.settings.rules.drain_grace);
        let answered = self.drain.is_told() && self.requests.is_empty() && now > grace;
        self.registration.step(self.moment, answered, &mut self.effects);
        self.end();
    }
}
