//! The old process's part in an upgrade. If the listening socket for clients is inherited, the platform holds it, and a
//! new process accepts on it while this one still runs. SIGTERM then means a hand-over rather than a drain of the
//! server, because the new process keeps the server's entry in the list.
//!
//! From SIGTERM on the old process accepts no connections and reports nothing to the control plane: a `NotReady` would
//! remove the server from the list while the new process reports `Ready`. It asks its peers to drain their connections
//! and answers all requests that it has read. Connections that have been idle for [`IDLE_AFTER_DRAIN`] since then are
//! closed if the shell finds nothing unread on them. The process exits once the shell has stopped accepting (so that no
//! accepted connection is unreported), no response is owed and no connection is left, but at the latest at the time in
//! [`crate::stop_times`], by which the admission module has answered everything.

use gradepin_admission::{Span, Time, time_after};

/// Idle time after which a drained connection no longer keeps the process from exiting. Its client closes it once
/// everything is answered, and resends a request that crossed the drain request within 50 ms.
pub const IDLE_AFTER_DRAIN: Span = Span(300_000_000);

/// Work that keeps the old process from exiting.
#[derive(Debug, Clone, Copy)]
pub struct RemainingWork {
    /// Number of requests that are owed a response.
    pub open: usize,
    /// Number of open client connections.
    pub connections: usize,
}

/// A hand-over in progress, or the close-down of a process that was not stopped in time.
#[derive(Debug)]
struct Progress {
    /// When the process exits, whatever remains.
    latest_exit: Time,
}

/// Whether the listening socket is shared with a successor, and the progress of the hand-over after SIGTERM.
#[derive(Debug, Default)]
pub struct Handover {
    shared: bool,
    progress: Option<Progress>,
    /// Whether the shell has stopped accepting and has reported all connections that it accepted before.
    accepting_stopped: bool,
}

impl Handover {
    /// Creates the state of a process whose listening socket is inherited and shared with its successor.
    pub fn shared() -> Self {
        Self { shared: true, ..Self::default() }
    }

    /// Whether SIGTERM means a hand-over.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// Handles SIGTERM, after which the process exits at `latest_exit`, whatever remains. Returns whether a hand-over
    /// begins, in which case no more connections must be accepted.
    pub fn begin(&mut self, latest_exit: Time) -> bool {
        self.shared && self.close_down(latest_exit)
    }

    /// Starts the close-down of a process that owns its listening socket and was not stopped in time. It exits as after
    /// a hand-over. Returns false if a hand-over or close-down is already in progress.
    pub fn close_down(&mut self, latest_exit: Time) -> bool {
        if self.progress.is_some() {
            return false;
        }
        self.progress = Some(Progress { latest_exit });
        true
    }

    /// Notes that the shell accepts no more connections and has reported every connection that it accepted before.
    pub fn accepting_stopped(&mut self) {
        self.accepting_stopped = true;
    }

    /// Whether this process reports to the control plane, which it doesn't once it hands over.
    pub fn reports_readiness(&self) -> bool {
        self.progress.is_none()
    }

    /// Whether an idle connection may be closed during a hand-over, by the time at which its peer was asked to drain it
    /// and the time of its last use.
    pub fn may_close_idle(&self, now: Time, draining_since: Option<Time>, last_used: Time) -> bool {
        let is_over = |since| time_after(since, IDLE_AFTER_DRAIN) <= now;
        self.progress.is_some() && draining_since.is_some_and(is_over) && is_over(last_used)
    }

    /// Whether the process may exit now.
    pub fn may_exit(&self, now: Time, remaining: RemainingWork) -> bool {
        let Some(progress) = &self.progress else { return false };
        let is_done = self.accepting_stopped && remaining.open == 0 && remaining.connections == 0;
        now >= progress.latest_exit || is_done
    }

    /// Whether a hand-over or a close-down is in progress.
    pub fn is_under_way(&self) -> bool {
        self.progress.is_some()
    }

    /// Returns when the process exits at the latest, if a hand-over or a close-down is in progress.
    pub fn wake_at(&self) -> Option<Time> {
        self.progress.as_ref().map(|progress| progress.latest_exit)
    }
}

#[cfg(test)]
mod tests;
