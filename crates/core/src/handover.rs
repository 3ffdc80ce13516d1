//! The old process's part in an upgrade. Where the clients' listening socket is inherited, the platform holds it and a new
//! process accepts on it beside this one. SIGTERM then means a hand-over: not a notice to drain the server, whose place in the
//! list the new process keeps.
//!
//! From SIGTERM on the old process accepts nothing more, reports nothing more to the control plane (a `NotReady` would take the
//! server off the list while the new process says `Ready`), asks its connections to drain, and answers all requests that it
//! read. Connections that are idle for [`IDLE_AFTER_DRAIN`] since they were asked to drain are closed where the shell finds
//! nothing unread on them. It exits once the shell has stopped accepting (so that no accepted connection is on its way), no
//! response is owed and no connection is left; at the latest [`KILL_MARGIN`] before SIGKILL, which resets all connections. Not
//! here: how the admission module drains, which is as at any SIGTERM.

use gradepin_admission::{Span, Time, time_after, time_before};

/// A connection that was asked to drain and is idle for so long no longer keeps the process: its client closes it once all is
/// answered, and a request that crossed the notice is sent again within 50 ms.
pub const IDLE_AFTER_DRAIN: Span = Span(300_000_000);
/// The process exits so long before SIGKILL, whatever is left.
pub const KILL_MARGIN: Span = Span(150_000_000);

/// What keeps the old process.
#[derive(Debug, Clone, Copy)]
pub struct RemainingWork {
    /// Requests that are owed a response.
    pub open: usize,
    /// Client connections.
    pub connections: usize,
}

/// A hand-over that is under way, or the close-down of a process that was not stopped in time.
#[derive(Debug)]
struct Progress {
    /// When SIGKILL follows.
    kill_at: Time,
}

impl Progress {
    /// When the process exits, whatever is left.
    fn latest_exit(&self) -> Time {
        time_before(self.kill_at, KILL_MARGIN)
    }
}

/// Whether the listener is shared with a successor, and the hand-over once SIGTERM came.
#[derive(Debug, Default)]
pub struct Handover {
    shared: bool,
    progress: Option<Progress>,
    /// Whether the shell has stopped accepting: it has reported all that it accepted before.
    accepting_stopped: bool,
}

impl Handover {
    /// For a process whose listener is inherited, and shared with its successor.
    pub fn shared() -> Self {
        Self { shared: true, ..Self::default() }
    }

    /// Whether SIGTERM means a hand-over.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// SIGTERM came; SIGKILL follows after `stop`. Returns whether a hand-over begins: then nothing more must be accepted.
    pub fn begin(&mut self, now: Time, stop: Span) -> bool {
        if !self.shared || self.progress.is_some() {
            return false;
        }
        self.progress = Some(Progress { kill_at: time_after(now, stop) });
        true
    }

    /// The time of a process whose listener is its own is up, and it was not stopped: it exits as after a hand-over, within
    /// `timeout`. Returns false if it does that already.
    pub fn close_down(&mut self, now: Time, timeout: Span) -> bool {
        if self.progress.is_some() {
            return false;
        }
        self.progress = Some(Progress { kill_at: time_after(time_after(now, timeout), KILL_MARGIN) });
        true
    }

    /// The shell accepts no more; it reported every connection that it accepted before this.
    pub fn accepting_stopped(&mut self) {
        self.accepting_stopped = true;
    }

    /// Whether the control plane gets reports of this process: not once it hands over.
    pub fn reports_readiness(&self) -> bool {
        self.progress.is_none()
    }

    /// Whether an idle connection may be closed during a hand-over, by when it was asked to drain and when it was last used.
    pub fn may_close_idle(&self, now: Time, draining_since: Option<Time>, last_used: Time) -> bool {
        let is_over = |since| time_after(since, IDLE_AFTER_DRAIN) <= now;
        self.progress.is_some() && draining_since.is_some_and(is_over) && is_over(last_used)
    }

    /// Whether the process may exit now.
    pub fn may_leave(&self, now: Time, remaining: RemainingWork) -> bool {
        let Some(progress) = &self.progress else { return false };
        let is_done = self.accepting_stopped && remaining.open == 0 && remaining.connections == 0;
        now >= progress.latest_exit() || is_done
    }

    /// Whether a hand-over or a close-down is under way.
    pub fn is_under_way(&self) -> bool {
        self.progress.is_some()
    }

    /// When the process exits at the latest, if a hand-over or a close-down is under way.
    pub fn wake_at(&self) -> Option<Time> {
        self.progress.as_ref().map(Progress::latest_exit)
    }
}

#[cfg(test)]
mod tests;
