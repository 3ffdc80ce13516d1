//! Graceful shutdown: the shutdown notice, a shutdown planned by an operator, the hand-over of an upgrade, and the exit
//! of the process.
//!
//! The admission module decides which requests still run during the drain; the rules of a hand-over are in
//! [`crate::handover`].

use super::{MS, Reducer};
use crate::handover::{Handover, RemainingWork};
use crate::lifecycle_counters::CloseReason;
use crate::messages::{Effect, Response, earliest};
use crate::stop_times::{Ending, StopTimes};
use gradepin_admission::{Event, Span, Time, time_after};
use slog::Level;

/// Delay after which a process that was not stopped when it was due to be closes down by itself.
const MISSED_STOP_DELAY: Span = Span(2_000 * MS);
/// Time limit of closing down: no more connections are accepted, received requests are answered, and idle connections
/// are closed.
const CLOSE_DOWN_TIMEOUT: Span = Span(1_500 * MS);

/// Progress of the shutdown.
#[derive(Debug)]
pub(super) struct Drain {
    /// The times of the shutdown, once its notice has arrived.
    times: Option<StopTimes>,
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
        Self { times: None, exit_at: None, stop_after, handover: Handover::default() }
    }

    /// Whether the shutdown notice has arrived.
    pub(super) fn is_draining(&self) -> bool {
        self.times.is_some()
    }

    /// Next time at which a step is due without input.
    pub(super) fn wake_at(&self) -> Option<Time> {
        // Without `exit_at` the process either does not shut down or has exited, so the hand-over has nothing due.
        earliest(self.exit_at, self.exit_at.and(self.handover.wake_at()))
    }

    /// When the shutdown notice arrived, or `now` if it has not.
    pub(super) fn notified_or(&self, now: Time) -> Time {
        self.times.map_or(now, |times| times.notified_at())
    }
}

impl Reducer {
    /// Starts the shutdown at SIGTERM, or when one planned by an operator is due. A second notice has no effect.
    pub(super) fn begin_shutdown(&mut self) {
        if self.drain.is_draining() {
            return;
        }
        let now = self.timestamp.now;
        let ending = if self.drain.handover.is_shared() { Ending::HandedOver } else { Ending::Stopped };
        let times = StopTimes::new(now, self.drain.stop_after, ending);
        self.drain.times = Some(times);
        self.drain.exit_at = Some(time_after(times.stop_at(), MISSED_STOP_DELAY));
        if self.drain.handover.begin(times.latest_end()) {
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

    /// Tells the admission module by when it must have answered all requests.
    pub(super) fn notify_admission_of_shutdown(&mut self) {
        let Some(times) = self.drain.times else { return };
        let now = self.timestamp.now;
        let time_left = Span(times.answers_due_at().0.saturating_sub(now.0));
        let stop_ms = times.stop_at().0.saturating_sub(now.0) / MS;
        let text = format!("the stop is due in {stop_ms} ms, all answers in {} ms", time_left.0 / MS);
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
            self.close_if_idle(connection, CloseReason::Shutdown);
        }
        RemainingWork { open: self.requests.count_owed(), connections: self.connections.len() }
    }

    /// Exits once everything is handed over or the time is up. Before the time is up the process closes down, so that a
    /// request that arrives at the last moment is answered and its connection closed normally, rather than reset by the
    /// exit of the process.
    pub(super) fn exit_when_done(&mut self) {
        let now = self.timestamp.now;
        let is_due = self.drain.exit_at.is_some_and(|at| now >= at);
        let latest_exit = time_after(now, CLOSE_DOWN_TIMEOUT);
        if is_due && self.drain.handover.close_down(latest_exit) {
            self.drain.exit_at = Some(latest_exit);
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
            self.fail_owed_requests();
            self.effects.push(Effect::Exit);
        }
    }

    /// Fails all requests that are still owed a response at the exit. Guards against a request that is never answered
    /// because the process was paused or busy when its answer was due.
    fn fail_owed_requests(&mut self) {
        for id in self.requests.owed_ids() {
            self.respond(&id, Response::Failed { timed_out: self.is_past_deadline(&id) });
        }
    }

    /// Logs what the process leaves behind at its exit, and when the platform would have stopped it.
    fn log_exit(&mut self) {
        let (owed, connections) = (self.requests.count_owed(), self.connections.len());
        let stop_at = self.drain.times.map_or(self.timestamp.now, |times| times.stop_at());
        let early_ms = stop_at.0.saturating_sub(self.timestamp.now.0) / MS;
        let level = if owed > 0 { Level::Warning } else { Level::Info };
        let text = format!(
            "exiting {early_ms} ms before the stop time; requests that fail at the exit: {owed}, open connections: \
             {connections}"
        );
        self.log(level, text);
    }
}
