//! The steps of a shutdown, from its notice to the exit of the process, and their order.
//!
//! 1. From the notice on, peers are asked to drain their connections, and all requests are served as far as time allows.
//!    A process that shares its listening socket hands over: it accepts no more connections and reports nothing to the
//!    control plane, where a `NotReady` would remove the server from the list while its successor reports `Ready`. Its
//!    connections are closed once they have been idle for [`IDLE_AFTER_DRAIN`].
//! 2. From [`StopTimes::answers_due_at`] on, every process accepts no more connections, what still arrives is refused, and
//!    each connection is closed as soon as it is idle.
//! 3. At [`StopTimes::reading_ends_at`] the reading of the remaining connections ends. The shell reads what has arrived,
//!    passes it on and then reports the end of reading, so that no request is read that nobody answers.
//! 4. Only then are all open requests answered and the connections closed: our half after the last byte is written, the
//!    rest once the peer has closed its half. What arrives meanwhile is discarded; it was sent over a closed connection.
//! 5. The process exits once no connection is left, or when it is about to be stopped.
//!
//! Each step waits for the one before it, however late that is: a process that was paused over all of these times still
//! takes them in order.

use crate::stop_times::StopTimes;
use gradepin_admission::{Span, Time, time_after};

const MS: u64 = 1_000_000;
/// Idle time after which a process that hands over closes a drained connection. Its client closes it once everything is
/// answered, and resends a request that crossed the drain request within 50 ms.
pub const IDLE_AFTER_DRAIN: Span = Span(300 * MS);
/// Minimum time that peers have to close their halves before the process exits.
const MIN_CLOSE_TIME: Span = Span(150 * MS);

/// Work that keeps the process from exiting.
#[derive(Debug, Clone, Copy)]
pub struct RemainingWork {
    /// Number of requests that are owed a response.
    pub open: usize,
    /// Number of client connections that are not fully closed.
    pub connections: usize,
}

/// Whether the shell still does something that a shutdown ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
enum Activity {
    /// It does.
    #[default]
    Running,
    /// It was asked to stop.
    Stopping,
    /// It has reported that it stopped, after everything that it did before.
    Stopped,
}

/// The next step of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Accept no more connections.
    StopAccepting,
    /// Read no more messages.
    StopReading,
    /// Answer all open requests and close all connections.
    CloseConnections,
    /// Exit.
    Exit,
}

/// The progress of a shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Shutdown {
    shares_listener: bool,
    /// The times of the shutdown, once its notice has arrived.
    times: Option<StopTimes>,
    accepting: Activity,
    reading: Activity,
    /// When the connections were closed that were in use until the end of reading.
    connections_closed_at: Option<Time>,
    exited: bool,
}

impl Shutdown {
    /// Creates the state of a process whose listening socket is inherited and shared with its successor.
    pub fn sharing_listener() -> Self {
        Self { shares_listener: true, ..Self::default() }
    }

    /// Starts the shutdown. A second notice has no effect.
    pub fn begin(&mut self, times: StopTimes) {
        self.times.get_or_insert(times);
    }

    /// Brings the stop forward, to `stop_after` the notice. Returns whether it is earlier than before.
    pub fn bring_forward(&mut self, stop_after: Span) -> bool {
        self.times.as_mut().is_some_and(|times| times.bring_forward(stop_after))
    }

    /// The times of the shutdown, once its notice has arrived.
    pub fn times(&self) -> Option<StopTimes> {
        self.times
    }

    /// Whether the notice has arrived and the listening socket is shared with a successor.
    pub fn is_handing_over(&self) -> bool {
        self.shares_listener && self.times.is_some()
    }

    /// Notes that the shell accepts no more connections and has reported every connection that it accepted before.
    pub fn accepting_stopped(&mut self) {
        self.accepting = Activity::Stopped;
    }

    /// Notes that the shell reads no more messages and has passed on every message that it read before.
    pub fn reading_stopped(&mut self) {
        self.reading = Activity::Stopped;
    }

    /// Whether this process reports to the control plane.
    pub fn reports_readiness(&self) -> bool {
        !self.is_handing_over() && self.accepting == Activity::Running
    }

    /// Whether an idle connection may be closed now, by the time at which its peer was asked to drain it and the time of
    /// its last use.
    pub fn may_close_idle(&self, now: Time, draining_since: Option<Time>, last_used: Time) -> bool {
        let Some(times) = self.times else { return false };
        if now >= times.answers_due_at() {
            return true;
        }
        let is_over = |since| time_after(since, IDLE_AFTER_DRAIN) <= now;
        self.shares_listener && draining_since.is_some_and(is_over) && is_over(last_used)
    }

    /// Takes and returns the next step, if one is due.
    pub fn next_step(&mut self, now: Time, remaining: RemainingWork) -> Option<ShutdownStep> {
        let times = self.times.filter(|_| !self.exited)?;
        if self.accepting == Activity::Running {
            let is_due = self.shares_listener || now >= times.answers_due_at();
            return is_due.then(|| self.stop_accepting());
        }
        if self.is_done(remaining) || self.exit_at().is_some_and(|at| now >= at) {
            self.exited = true;
            return Some(ShutdownStep::Exit);
        }
        match self.reading {
            Activity::Running if now >= times.reading_ends_at() => {
                self.reading = Activity::Stopping;
                Some(ShutdownStep::StopReading)
            }
            Activity::Stopped if self.connections_closed_at.is_none() => {
                self.connections_closed_at = Some(now);
                Some(ShutdownStep::CloseConnections)
            }
            _ => None,
        }
    }

    fn stop_accepting(&mut self) -> ShutdownStep {
        self.accepting = Activity::Stopping;
        ShutdownStep::StopAccepting
    }

    /// Whether nothing is left that could be read or answered.
    fn is_done(&self, remaining: RemainingWork) -> bool {
        self.accepting == Activity::Stopped && remaining.open == 0 && remaining.connections == 0
    }

    /// When the process exits, whatever remains; `None` until all connections are closed, which waits for the end of reading.
    /// There is no limit to that wait: it would pass in a process that is paused meanwhile, whose reading thread is paused
    /// too.
    fn exit_at(&self) -> Option<Time> {
        Some(self.times?.stop_at().max(time_after(self.connections_closed_at?, MIN_CLOSE_TIME)))
    }

    /// Returns when the next step is due without input, if a shutdown is in progress.
    pub fn wake_at(&self, now: Time) -> Option<Time> {
        let times = self.times.filter(|_| !self.exited)?;
        match self.reading {
            Activity::Running if now < times.answers_due_at() => Some(times.answers_due_at()),
            Activity::Running => Some(times.reading_ends_at()),
            Activity::Stopping | Activity::Stopped => self.exit_at(),
        }
    }
}

#[cfg(test)]
mod tests;
