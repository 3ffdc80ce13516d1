//! The old process's part in an upgrade. Where the clients' listening socket is inherited, the platform holds it and
//! a new process accepts on it beside this one; SIGTERM then means: hand over. It is no notice to drain the server,
//! whose place in the list the new process keeps.
//!
//! So from SIGTERM on the old process accepts nothing more, tells the control plane nothing more (a `NotReady` of
//! its own would take the server off the list while the new one says `Ready`), asks its connections to drain, and
//! answers all it read. Connections that rest [`IDLE_AFTER_DRAIN`] after they were asked to drain are closed where
//! the shell finds nothing unread on them. It leaves once the shell has said that it accepts no more (so that no
//! accepted connection is still on its way), nothing is open and no connection stands; at the latest a margin
//! before SIGKILL, which resets whatever stands. Not here: the drain of the module, which goes on as at any SIGTERM.

use gradepin_admission::{Span, Time, time_after, time_before};

/// How long a connection asked to drain may rest with nothing open before it no longer keeps the process: its
/// proxy closes it once all is answered, and one that crossed the notice is sent again within 50 ms.
pub const IDLE_AFTER_DRAIN: Span = Span(300_000_000);
/// How long before SIGKILL the process leaves whatever stands.
pub const KILL_MARGIN: Span = Span(150_000_000);

/// What the reducer tells of its connections when it asks whether the old process may leave.
#[derive(Debug, Clone, Copy)]
pub struct RemainingWork {
    /// Requests owed an answer.
    pub open: usize,
    /// Client connections that stand.
    pub connections: usize,
}

/// Whether the listener is shared with a successor, and the hand-over once SIGTERM came.
#[derive(Debug, Default)]
pub struct Handover {
    shared: bool,
    /// When SIGTERM came, and when SIGKILL follows.
    since: Option<(Time, Time)>,
    /// Whether the shell has stopped accepting: what it accepted before is known by then.
    stopped: bool,
}

impl Handover {
    /// For a process whose listener is inherited, and shared with the process after it.
    pub fn shared() -> Self {
        Self { shared: true, ..Self::default() }
    }

    /// Whether SIGTERM means a hand-over here.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// SIGTERM came; SIGKILL follows after `stop`. Whether a hand-over begins: then nothing more is accepted.
    pub fn begin(&mut self, now: Time, stop: Span) -> bool {
        if !self.shared || self.since.is_some() {
            return false;
        }
        self.since = Some((now, time_after(now, stop)));
        true
    }

    /// The time of a process whose listener is its own is up, and nobody stopped it: it leaves as after a hand-over, in
    /// so much time. Not if it does that already.
    pub fn close_down(&mut self, now: Time, patience: Span) -> bool {
        if self.since.is_some() {
            return false;
        }
        self.since = Some((now, time_after(time_after(now, patience), KILL_MARGIN)));
        true
    }

    /// The shell accepts no more; every connection it accepted was told before this.
    pub fn accepting_stopped(&mut self) {
        self.stopped = true;
    }

    /// Whether the control plane is to hear from this process: not once it hands over.
    pub fn reports_readiness(&self) -> bool {
        self.since.is_none()
    }

    /// Whether a connection that was asked to drain then and last spoke then has rested long enough to be closed,
    /// during a hand-over.
    pub fn may_close_idle(&self, now: Time, draining: Option<Time>, last: Time) -> bool {
        let rested = |since| time_after(since, IDLE_AFTER_DRAIN) <= now;
        self.since.is_some() && draining.is_some_and(rested) && rested(last)
    }

    /// Whether the process may leave now.
    pub fn may_leave(&self, now: Time, left: RemainingWork) -> bool {
        let Some((_, kill)) = self.since else { return false };
        now >= time_before(kill, KILL_MARGIN) || (self.stopped && left.open == 0 && left.connections == 0)
    }

    /// Whether a hand-over is under way.
    pub fn is_under_way(&self) -> bool {
        self.since.is_some()
    }

    /// When to look again whether it may leave, though nothing comes in.
    pub fn wake_at(&self) -> Option<Time> {
        self.since.map(|(_, kill)| time_before(kill, KILL_MARGIN))
    }
}

#[cfg(test)]
mod tests;
