//! Graceful shutdown: the shutdown notice, a shutdown planned by an operator, the hand-over of an upgrade, and the exit
//! of the process.
//!
//! The admission module decides which requests still run during the drain; the order of the steps is in
//! [`crate::shutdown`].

use super::{MS, Reducer};
use crate::lifecycle_counters::CloseReason;
use crate::messages::{Effect, Response};
use crate::shutdown::{RemainingWork, Shutdown, ShutdownStep};
use crate::stop_times::{StopTimes, time_to_stop};
use gradepin_admission::{Event, Span, Time};
use slog::Level;

/// Progress of the shutdown.
#[derive(Debug)]
pub(super) struct Drain {
    /// The steps of the shutdown.
    pub(super) shutdown: Shutdown,
    /// Configured time from the notice to the stop of the process.
    pub(super) configured_stop: Span,
}

impl Drain {
    /// Creates the state of a process that is stopped `configured_stop` after the notice at the latest.
    pub(super) fn new(configured_stop: Span) -> Self {
        Self { shutdown: Shutdown::default(), configured_stop }
    }

    /// Whether the shutdown notice has arrived.
    pub(super) fn is_draining(&self) -> bool {
        self.shutdown.times().is_some()
    }

    /// When the shutdown notice arrived, or `now` if it has not.
    pub(super) fn notified_or(&self, now: Time) -> Time {
        self.shutdown.times().map_or(now, |times| times.notified_at())
    }
}

impl Reducer {
    /// Starts the shutdown at SIGTERM, or when one planned by an operator is due. A second notice has no effect.
    pub(super) fn begin_shutdown(&mut self) {
        if self.drain.is_draining() {
            return;
        }
        let now = self.timestamp.now;
        self.drain.shutdown.begin(StopTimes::new(now, self.time_to_stop()));
        if self.drain.shutdown.is_handing_over() {
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

    /// Returns the time from a shutdown notice to the stop of the process.
    fn time_to_stop(&self) -> Span {
        time_to_stop(self.drain.configured_stop, self.classes.longest_deadline())
    }

    /// Brings the stop of a shutdown in progress forward if settings with shorter deadlines are in force.
    pub(super) fn bring_stop_forward(&mut self) {
        let stop_after = self.time_to_stop();
        if self.drain.shutdown.bring_forward(stop_after) && self.controller.is_some() {
            self.notify_admission_of_shutdown();
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
        let Some(times) = self.drain.shutdown.times() else { return };
        let now = self.timestamp.now;
        let time_left = Span(times.answers_due_at().0.saturating_sub(now.0));
        let stop_ms = times.stop_at().0.saturating_sub(now.0) / MS;
        let text = format!("the stop is due in {stop_ms} ms, all answers in {} ms", time_left.0 / MS);
        self.log(Level::Info, text);
        self.events.push(Event::ShutdownNotice(time_left));
    }

    /// Returns what keeps the process from exiting, after closing the connections that may be closed because they are idle.
    fn remaining_work(&mut self) -> RemainingWork {
        let now = self.timestamp.now;
        let shutdown = &self.drain.shutdown;
        let may_close = |draining, last| shutdown.may_close_idle(now, draining, last);
        for connection in self.connections.idle_where(now, may_close) {
            self.close_if_idle(connection, CloseReason::Shutdown);
        }
        RemainingWork { open: self.requests.count_owed(), connections: self.connections.len() }
    }

    /// Takes the steps of the shutdown that are due.
    pub(super) fn shutdown_step(&mut self) {
        if !self.drain.is_draining() {
            return;
        }
        loop {
            let remaining = self.remaining_work();
            match self.drain.shutdown.next_step(self.timestamp.now, remaining) {
                None => return,
                Some(ShutdownStep::StopAccepting) => self.effects.push(Effect::StopAccepting),
                Some(ShutdownStep::StopReading) => self.effects.push(Effect::StopReading),
                Some(ShutdownStep::CloseConnections) => self.close_all_connections(),
                Some(ShutdownStep::Exit) => self.exit(),
            }
        }
    }

    /// Notes that the shell reads no more messages and has passed on every message that it read before.
    pub(super) fn reading_stopped(&mut self) {
        self.guard.all_reading_ended();
        self.drain.shutdown.reading_stopped();
    }

    /// Closes all connections after their last answers. No more messages come from them.
    fn close_all_connections(&mut self) {
        let owed = self.requests.count_owed();
        let connections = self.connections.len();
        let level = if owed > 0 { Level::Warning } else { Level::Info };
        let text = format!(
            "reading has ended; requests that fail now: {owed}, connections that are closed: {connections}"
        );
        self.log(level, text);
        self.fail_owed_requests();
        for connection in self.connections.ids() {
            self.close_now(connection, CloseReason::Shutdown);
        }
    }

    fn exit(&mut self) {
        self.announce_departure();
        self.fail_owed_requests();
        self.log_exit();
        let exit = self.guard.exit();
        self.is_allowed(exit);
        self.effects.push(Effect::Exit);
    }

    /// Fails all requests that are still owed a response. Guards against a request that is never answered because the
    /// process was paused or busy when its answer was due.
    fn fail_owed_requests(&mut self) {
        for id in self.requests.owed_ids() {
            self.respond(&id, Response::Failed { timed_out: self.is_past_deadline(&id) });
        }
    }

    /// Logs what the process leaves behind at its exit, and when the platform would have stopped it.
    fn log_exit(&mut self) {
        let stop_at = self.drain.shutdown.times().map_or(self.timestamp.now, |times| times.stop_at());
        let early_ms = stop_at.0.saturating_sub(self.timestamp.now.0) / MS;
        let connections = self.connections.len();
        let text = format!(
            "exiting {early_ms} ms before the stop time; connections that their peers have not closed: {connections}"
        );
        self.log(Level::Info, text);
    }
}
