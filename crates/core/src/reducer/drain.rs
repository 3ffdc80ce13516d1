//! Leaving: the notice, a planned leave, a hand-over at an upgrade, and the end of the process.
//! Not here: what a drain does to held requests, which is the module's.

use super::{MS, Reducer};
use crate::handover::{Handover, RemainingWork};
use crate::messages::{Effect, earliest};
use gradepin_admission::{Event, Span, Time, time_after, time_before};
use slog::Level;

/// How much sooner than told the module is to be done when the process will be stopped: the notice and the
/// last answers take their time to cross.
const STOP_MARGIN: Span = Span(100 * MS);
/// After the told stop: the end of a process that nobody stopped.
const STOP_OVERDUE: Span = Span(2_000 * MS);
/// How long that end may take: no more is accepted, what was accepted is answered, and what rests is closed.
const CLOSE_DOWN: Span = Span(1_500 * MS);

/// Whether and how the process leaves.
#[derive(Debug)]
pub(super) struct Drain {
    /// When the notice to leave came.
    notified_at: Option<Time>,
    /// When the process closes down if nobody stops it; then, when it ends whatever stands.
    exit_at: Option<Time>,
    /// From the notice to the stop.
    pub(super) stop_after: Span,
    /// Where the listener is shared with a successor: what SIGTERM means then.
    pub(super) handover: Handover,
}

impl Drain {
    pub(super) fn new(stop_after: Span) -> Self {
        Self { notified_at: None, exit_at: None, stop_after, handover: Handover::default() }
    }

    /// Whether the notice to leave has come.
    pub(super) fn is_draining(&self) -> bool {
        self.notified_at.is_some()
    }

    /// When it is due though nothing comes in.
    pub(super) fn wake_at(&self) -> Option<Time> {
        // Until the end is told; a hand-over's last moment is past after it.
        earliest(self.exit_at, self.exit_at.and(self.handover.wake_at()))
    }

    /// When the notice came; now, if it didn't.
    pub(super) fn notified_or(&self, now: Time) -> Time {
        self.notified_at.unwrap_or(now)
    }
}

impl Reducer {
    pub(super) fn begin_shutdown(&mut self) {
        if self.drain.is_draining() {
            return;
        }
        self.drain.notified_at = Some(self.timestamp.now);
        self.drain.exit_at =
            Some(time_after(time_after(self.timestamp.now, self.drain.stop_after), STOP_OVERDUE));
        if self.drain.handover.begin(self.timestamp.now, self.drain.stop_after) {
            self.effects.push(Effect::StopAccepting);
            self.log(Level::Info, "handing over: the process after this one accepts from now on".into());
        }
        self.registration.leave(self.timestamp.now);
        if self.controller.is_some() {
            self.notify_admission_of_shutdown();
        }
        for conn in self.connections.ids() {
            self.request_drain(conn);
        }
    }

    /// Out of service for all who list this server, while callers may still think otherwise; then the drain.
    pub(super) fn take_out_of_service(&mut self) {
        if self.drain.is_draining() || !self.registration.take_out(self.timestamp.now) {
            return;
        }
        self.report_change();
        self.log(Level::Info, "taken out of service, draining later".into());
    }

    pub(super) fn return_to_service(&mut self) {
        if self.drain.is_draining() || !self.registration.take_in() {
            return;
        }
        self.report_change();
        self.log(Level::Info, "taken back into service".into());
    }

    /// Tells the module how long it has, a margin less than is left until the stop.
    pub(super) fn notify_admission_of_shutdown(&mut self) {
        let spent = Span(STOP_OVERDUE.0 + STOP_MARGIN.0);
        let end = self.drain.exit_at.map_or(self.timestamp.now, |exit| time_before(exit, spent));
        self.events.push(Event::ShutdownNotice(Span(end.0.saturating_sub(self.timestamp.now.0))));
    }

    /// What keeps a process that hands over or closes down: requests owed an answer, and connections. Those that rest after
    /// they were asked to drain are closed where nothing of them is unread.
    pub(super) fn remaining_work(&mut self) -> RemainingWork {
        let now = self.timestamp.now;
        let handover = &self.drain.handover;
        let rested = self.connections.idle_where(now, |draining, last| handover.closes(now, draining, last));
        for conn in rested {
            self.close_if_idle(conn);
        }
        RemainingWork { open: self.requests.count_owed(), connections: self.connections.len() }
    }

    /// Ends the process when its time is up, or all is handed over. It closes down first: a request that came in the
    /// last instant is answered, and its connection closed as any other, not reset by the end of the process.
    pub(super) fn exit_when_done(&mut self) {
        let now = self.timestamp.now;
        let due = self.drain.exit_at.is_some_and(|at| now >= at);
        if due && self.drain.handover.close_down(now, CLOSE_DOWN) {
            self.drain.exit_at = Some(time_after(now, CLOSE_DOWN));
            self.effects.push(Effect::StopAccepting);
            return;
        }
        let handed = self.drain.handover.is_under_way() && {
            let left = self.remaining_work();
            self.drain.handover.may_leave(now, left)
        };
        if self.drain.exit_at.take_if(|at| now >= *at || handed).is_some() {
            self.announce_departure();
            self.effects.push(Effect::Exit);
        }
    }
}
