//! Graceful shutdown: the shutdown notice, a shutdown planned by an operator, the hand-over of an upgrade, and the exit
//! of the process.
//!
//! The admission module decides which requests still run during the drain; the rules of a hand-over are in
//! [`crate::handover`].

use super::{MS, Reducer};
use crate::handover::{Handover, RemainingWork};
use crate::messages::{Effect, earliest};
use gradepin_admission::{Event, Span, Time, time_after, time_before};
use slog::Level;

/// The admission module must finish this long before the process is stopped, which leaves time for the shutdown notice
/// and the last responses to arrive.
const STOP_MARGIN: Span = Span(100 * MS);
/// Delay after which a process that was not stopped when it was due to be closes down by itself.
const MISSED_STOP_DELAY: Span = Span(2_000 * MS);
/// Time limit of closing down: no more connections are accepted, received requests are answered, and idle connections
/// are closed.
const CLOSE_DOWN_TIMEOUT: Span = Span(1_500 * MS);

/// Progress of the shutdown.
#[derive(Debug)]
pub(super) struct Drain {
    /// When the shutdown notice arrived.
    notified_at: Option<Time>,
    /// When the process closes down if it is not stopped; while it closes down, when it exits at the latest.
    exit_at: Option<Time>,
    /// Time from the notice to the stop of the process.
    pub(super) stop_after: Span,
    /// The hand-over to a successor, if the listening socket is shared with one.
    pub(super) handover: Handover,
}

impl Drain {
    /// Creates the state of a process that is stopped `stop_after` the notice.
    pub(super) fn new(stop_after: Span) -> Self {
        Self { notified_at: None, exit_at: None, stop_after, handover: Handover::default() }
    }

    /// Whether the shutdown notice has arrived.
    pub(super) fn is_draining(&self) -> bool {
        self.notified_at.is_some()
    }

    /// Next time at which a step is due without input.
    pub(super) fn wake_at(&self) -> Option<Time> {
        // Without `exit_at` the process either does not shut down or has exited, so the hand-over has nothing due.
        earliest(self.exit_at, self.exit_at.and(self.handover.wake_at()))
    }

    /// When the shutdown notice arrived, or `now` if it has not.
    pub(super) fn notified_or(&self, now: Time) -> Time {
        self.notified_at.unwrap_or(now)
    }
}

impl Reducer {
    /// Starts the shutdown at SIGTERM, or when one planned by an operator is due. A second notice has no effect.
    pub(super) fn begin_shutdown(&mut self) {
        if self.drain.is_draining() {
            return;
        }
        let now = self.timestamp.now;
        self.drain.notified_at = Some(now);
        self.drain.exit_at = Some(time_after(time_after(now, self.drain.stop_after), MISSED_STOP_DELAY));
        if self.drain.handover.begin(now, self.drain.stop_after) {
            self.effects.push(Effect::StopAccepting);
            self.log(
                Level::Info,
                "handing over: the successor process accepts new connections from now on".into(),
            );
        }
        self.registration.leave(now);
        if self.controller.is_some() {
            self.notify_admission_of_shutdown();
        }
        for connection in self.connections.ids() {
            self.request_drain(connection);
        }
    }

    /// Takes the server out of service for an operator: at once, or once the consensus group has granted a permit.
    pub(super) fn operator_takes_out(&mut self) {
        if !self.request_permit_to_leave() {
            self.take_out_of_service();
        }
    }

    /// Returns the server to service for an operator, and withdraws a pending request for a permit.
    pub(super) fn operator_returns(&mut self) {
        self.withdraw_permit_request();
        self.return_to_service();
    }

    /// Publishes that the server is out of service. It continues to serve for a while, as clients may not know yet, and
    /// then drains.
    pub(super) fn take_out_of_service(&mut self) {
        if self.drain.is_draining() || !self.registration.take_out_of_service(self.timestamp.now) {
            return;
        }
        self.report_change();
        self.log(Level::Info, "taken out of service; the drain starts once clients may know".into());
    }

    /// Publishes that the server is in service again, unless it was in service or is already draining.
    pub(super) fn return_to_service(&mut self) {
        if self.drain.is_draining() || !self.registration.return_to_service() {
            return;
        }
        self.report_change();
        self.log(Level::Info, "taken back into service".into());
    }

    /// Tells the admission module how much time it has to finish: [`STOP_MARGIN`] less than the time to the stop.
    pub(super) fn notify_admission_of_shutdown(&mut self) {
        let now = self.timestamp.now;
        let margin = Span(MISSED_STOP_DELAY.0 + STOP_MARGIN.0);
        let end = self.drain.exit_at.map_or(now, |exit| time_before(exit, margin));
        let time_left = Span(end.0.saturating_sub(now.0));
        let stop_ms = self.drain.stop_after.0 / MS;
        let text = format!(
            "the stop is due {stop_ms} ms after the notice, all answers within {} ms",
            time_left.0 / MS
        );
        self.log(Level::Info, text);
        self.events.push(Event::ShutdownNotice(time_left));
    }

    /// Returns what keeps a process that hands over or closes down from exiting: requests that are owed a response, and
    /// connections. Closes connections that have been idle since their peers were asked to drain them.
    fn remaining_work(&mut self) -> RemainingWork {
        let now = self.timestamp.now;
        let handover = &self.drain.handover;
        let may_close = |draining, last| handover.may_close_idle(now, draining, last);
        for connection in self.connections.idle_where(now, may_close) {
            self.close_if_idle(connection);
        }
        RemainingWork { open: self.requests.count_owed(), connections: self.connections.len() }
    }

    /// Exits once everything is handed over or the time is up. Before the time is up the process closes down, so that a
    /// request that arrives at the last moment is answered and its connection closed normally, rather than reset by the
    /// exit of the process.
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
            self.drain.handover.may_exit(now, remaining)
        };
        if self.drain.exit_at.take_if(|at| now >= *at || is_handed_over).is_some() {
            self.announce_departure();
            self.log_exit();
            self.effects.push(Effect::Exit);
        }
    }

    /// Logs what the process leaves behind at its exit, and when the platform would have stopped it.
    fn log_exit(&mut self) {
        let (owed, connections) = (self.requests.count_owed(), self.connections.len());
        let stop_at = time_after(self.drain.notified_or(self.timestamp.now), self.drain.stop_after);
        let early_ms = stop_at.0.saturating_sub(self.timestamp.now.0) / MS;
        let level = if owed > 0 { Level::Warning } else { Level::Info };
        let text = format!(
            "exiting {early_ms} ms before the stop time; requests without an answer: {owed}, open connections: \
             {connections}"
        );
        self.log(level, text);
    }
}
