//! Graceful shutdown: the notice, an operator's planned one, the hand-over of an upgrade, and the end of the process.
//!
//! Not here: which requests still run while the server drains, which the admission module decides, and the terms of a hand-over
//! ([`crate::handover`]).

use super::{MS, Reducer};
use crate::handover::{Handover, RemainingWork};
use crate::messages::{Effect, earliest};
use gradepin_admission::{Event, Span, Time, time_after, time_before};
use slog::Level;

/// The admission module is to be done this much before the process is stopped: the notice and the last responses take time to
/// cross.
const STOP_MARGIN: Span = Span(100 * MS);
/// A process that was not stopped closes down this long after the stop was due.
const STOP_OVERDUE: Span = Span(2_000 * MS);
/// How long closing down may take: no more is accepted, what was accepted is answered, and idle connections are closed.
const CLOSE_DOWN_TIMEOUT: Span = Span(1_500 * MS);

/// Whether and how the process shuts down.
#[derive(Debug)]
pub(super) struct Drain {
    /// When the notice came.
    notified_at: Option<Time>,
    /// When the process closes down if it is not stopped; while it closes down, when it exits in any case.
    exit_at: Option<Time>,
    /// From the notice to the stop.
    pub(super) stop_after: Span,
    /// The hand-over to a successor, where the listener is shared with one.
    pub(super) handover: Handover,
}

impl Drain {
    /// For a process that is stopped so long after the notice.
    pub(super) fn new(stop_after: Span) -> Self {
        Self { notified_at: None, exit_at: None, stop_after, handover: Handover::default() }
    }

    /// Whether the notice has come.
    pub(super) fn is_draining(&self) -> bool {
        self.notified_at.is_some()
    }

    /// When something is due though nothing comes in.
    pub(super) fn wake_at(&self) -> Option<Time> {
        // Without a time to exit the process has exited: the hand-over's last time is over then.
        earliest(self.exit_at, self.exit_at.and(self.handover.wake_at()))
    }

    /// When the notice came; `now`, if it didn't.
    pub(super) fn notified_or(&self, now: Time) -> Time {
        self.notified_at.unwrap_or(now)
    }
}

impl Reducer {
    /// Starts the shutdown at SIGTERM, or once a planned one is due. A second notice changes nothing.
    pub(super) fn begin_shutdown(&mut self) {
        if self.drain.is_draining() {
            return;
        }
        let now = self.timestamp.now;
        self.drain.notified_at = Some(now);
        self.drain.exit_at = Some(time_after(time_after(now, self.drain.stop_after), STOP_OVERDUE));
        if self.drain.handover.begin(now, self.drain.stop_after) {
            self.effects.push(Effect::StopAccepting);
            self.log(Level::Info, "handing over: the process after this one accepts from now on".into());
        }
        self.registration.leave(now);
        if self.controller.is_some() {
            self.notify_admission_of_shutdown();
        }
        for connection in self.connections.ids() {
            self.request_drain(connection);
        }
    }

    /// An operator takes the server out of service: at once, or once the consensus group has granted a permit.
    pub(super) fn operator_takes_out(&mut self) {
        if !self.request_permit_to_leave() {
            self.take_out_of_service();
        }
    }

    /// An operator returns the server to service.
    pub(super) fn operator_returns(&mut self) {
        self.withdraw_permit_request();
        self.return_to_service();
    }

    /// Publishes that the server is out of service; it serves on for a while, as clients may not know, and then drains.
    pub(super) fn take_out_of_service(&mut self) {
        if self.drain.is_draining() || !self.registration.take_out(self.timestamp.now) {
            return;
        }
        self.report_change();
        self.log(Level::Info, "taken out of service, draining later".into());
    }

    /// Publishes that the server is in service again, if it was out and doesn't drain yet.
    pub(super) fn return_to_service(&mut self) {
        if self.drain.is_draining() || !self.registration.take_in() {
            return;
        }
        self.report_change();
        self.log(Level::Info, "taken back into service".into());
    }

    /// Tells the admission module how long it has: [`STOP_MARGIN`] less than the time to the stop.
    pub(super) fn notify_admission_of_shutdown(&mut self) {
        let now = self.timestamp.now;
        let margin = Span(STOP_OVERDUE.0 + STOP_MARGIN.0);
        let end = self.drain.exit_at.map_or(now, |exit| time_before(exit, margin));
        self.events.push(Event::ShutdownNotice(Span(end.0.saturating_sub(now.0))));
    }

    /// What keeps a process that hands over or closes down: requests that are owed a response, and connections. Closes those
    /// that are idle since they were asked to drain.
    fn remaining_work(&mut self) -> RemainingWork {
        let now = self.timestamp.now;
        let handover = &self.drain.handover;
        let may_close = |draining, last| handover.may_close_idle(now, draining, last);
        for connection in self.connections.idle_where(now, may_close) {
            self.close_if_idle(connection);
        }
        RemainingWork { open: self.requests.count_owed(), connections: self.connections.len() }
    }

    /// Exits when all is handed over or the time is up. Before that the process closes down: a request that arrived in the last
    /// moment is answered and its connection closed as any other, not reset by the end of the process.
    pub(super) fn exit_when_done(&mut self) {
        let now = self.timestamp.now;
        let is_due = self.drain.exit_at.is_some_and(|at| now >= at);
        if is_due && self.drain.handover.close_down(now, CLOSE_DOWN_TIMEOUT) {
            self.drain.exit_at = Some(time_after(now, CLOSE_DOWN_TIMEOUT));
            self.effects.push(Effect::StopAccepting);
            return;
        }
        let is_handed_over = self.drain.handover.is_under_way() && {
            let remaining = self.remaining_work();
            self.drain.handover.may_leave(now, remaining)
        };
        if self.drain.exit_at.take_if(|at| now >= *at || is_handed_over).is_some() {
            self.announce_departure();
            self.effects.push(Effect::Exit);
        }
    }
}
