//! Periodic work: readiness reports to the control plane, sweeps, and the timers of the admission module.

use super::processor_link::MAX_GAUGES_WAIT;
use super::{MS, Reducer};
use crate::messages::Effect;
use crate::timestamp::Timestamp;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeSet;

/// Interval between readiness reports. The control plane forgets a server after 3 s without one.
const REPORT_INTERVAL: Span = Span(400 * MS);
/// Number of times that a change is reported, as a report may be lost.
const REPORTS_PER_CHANGE: u32 = 3;
/// Interval between the reports of a change.
const CHANGE_REPORT_INTERVAL: Span = Span(60 * MS);
/// Interval between sweeps of classes, idempotency keys and connections.
const SWEEP_INTERVAL: Span = Span(250 * MS);

/// The times at which periodic work is due.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    next_report: Time,
    /// Number of reports of the latest change that remain to be sent.
    change_reports: u32,
    next_sweep: Time,
    /// Pending timers of the admission module.
    timers: BTreeSet<Time>,
}

impl Schedule {
    /// Schedules the reports of a change of readiness or of the control plane.
    pub(super) fn report_change(&mut self, now: Time) {
        self.change_reports = REPORTS_PER_CHANGE;
        self.next_report = now;
    }

    /// Adds a timer of the admission module.
    pub(super) fn set_timer(&mut self, at: Time) {
        self.timers.insert(at);
    }

    /// Returns the first timer if it is due.
    pub(super) fn due_timer(&self, now: Time) -> Option<Time> {
        self.timers.first().copied().filter(|due| *due <= now)
    }

    /// Removes and returns the first timer if it is due.
    pub(super) fn take_due_timer(&mut self, now: Time) -> Option<Time> {
        self.due_timer(now)?;
        self.timers.pop_first()
    }

    /// Whether the admission module must be called without an event: a timer is due, or none is set at all.
    pub(super) fn admission_is_due(&self, now: Time) -> bool {
        self.timers.first().is_none_or(|due| *due <= now)
    }

    /// Returns when the first timer fires. A due timer waits for the gauges if a reading is pending since
    /// `reading_since`.
    pub(super) fn timer_due_at(&self, now: Time, reading_since: Option<Time>) -> Option<Time> {
        self.timers.first().map(|&due| match reading_since {
            Some(since) if due <= now => time_after(since, MAX_GAUGES_WAIT),
            _ => due,
        })
    }

    /// Returns when the next report or sweep is due.
    pub(super) fn wake_at(&self) -> Time {
        self.next_sweep.min(self.next_report)
    }

    /// Returns whether a report is due; if so, schedules the next one.
    fn take_due_report(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_report;
        if is_due {
            self.change_reports = self.change_reports.saturating_sub(1);
            let interval = if self.change_reports > 0 { CHANGE_REPORT_INTERVAL } else { REPORT_INTERVAL };
            self.next_report = time_after(now, interval);
        }
        is_due
    }
}

impl Reducer {
    /// Reports the readiness at once and a few more times, after a change of the readiness or of the control plane.
    pub(super) fn report_change(&mut self) {
        self.schedule.report_change(self.timestamp.now);
    }

    /// Performs the periodic part of a step.
    pub(super) fn periodic_step(&mut self) {
        let now = self.timestamp.now;
        self.report_readiness();
        if now >= self.schedule.next_sweep {
            self.sweep();
        }
        self.persist();
        if self.registration.drain_is_due(now) {
            self.begin_shutdown();
        }
        let grace_ends = time_after(self.drain.notified_or(now), self.settings.rules.drain_grace);
        let is_drained = self.drain.is_draining() && self.requests.is_empty() && now > grace_ends;
        let wall = Timestamp { now, unix_ms: self.wall_unix_ms };
        self.registration.step(wall, is_drained, &mut self.effects);
        self.shutdown_step();
    }

    fn report_readiness(&mut self) {
        let is_due = self.schedule.take_due_report(self.timestamp.now);
        if is_due && self.controller.is_some() && self.drain.shutdown.reports_readiness() {
            let is_out_of_service =
                self.registration.is_out_of_service() || self.operator_drain.draining_since().is_some();
            self.effects.push(Effect::ReportReadiness { ready: self.healthy && !is_out_of_service });
        }
    }

    /// Sweeps a limited part; if more is due, the next step follows at once.
    fn sweep(&mut self) {
        let now = self.timestamp.now;
        let more_classes = self.release_class_slots();
        let more_keys = self.idempotency_table.sweep(now);
        let more_connections = self.drain_idle_connections();
        let more = more_classes || more_keys || more_connections;
        self.schedule.next_sweep = if more { now } else { time_after(now, SWEEP_INTERVAL) };
        self.connections.drop_stale_entries();
    }
}
