//! New commits that wait to be pushed to peers.

use crate::change::Revision;
use gradepin_admission::{Span, Time, time_after};

/// Commits that wait. Peers fetch what is not pushed.
const MAX_QUEUED: usize = 64;
/// How long pushes pause after one was cut short by the bound on bytes, so that more commits share a datagram.
const PAUSE: Span = Span(400_000_000);

/// The revisions to push, and when.
#[derive(Debug)]
pub(super) struct PushQueue {
    revisions: Vec<Revision>,
    due_at: Time,
    paused_until: Time,
}

impl PushQueue {
    /// An empty queue.
    pub(super) fn new(now: Time) -> Self {
        Self { revisions: Vec::new(), due_at: now, paused_until: now }
    }

    /// Adds a revision, which waits for `delay` so that others are pushed with it. Dropped where the queue is full.
    pub(super) fn add(&mut self, now: Time, revision: Revision, delay: Span) {
        if self.revisions.is_empty() {
            self.due_at = time_after(now, delay).max(self.paused_until);
        }
        if self.revisions.len() < MAX_QUEUED {
            self.revisions.push(revision);
        }
    }

    /// Whether a push is due.
    pub(super) fn is_due(&self, now: Time) -> bool {
        !self.revisions.is_empty() && now >= self.due_at
    }

    /// Takes all revisions.
    pub(super) fn take(&mut self) -> Vec<Revision> {
        std::mem::take(&mut self.revisions)
    }

    /// Delays the next push: the bytes of this one were used up before all peers had it.
    pub(super) fn pause(&mut self, now: Time) {
        self.paused_until = time_after(now, PAUSE);
    }

    /// Drops all revisions: a snapshot was installed.
    pub(super) fn clear(&mut self) {
        self.revisions.clear();
    }

    /// When the next push is due, if there is one.
    pub(super) fn due_at(&self) -> Option<Time> {
        if self.revisions.is_empty() { None } else { Some(self.due_at) }
    }
}
