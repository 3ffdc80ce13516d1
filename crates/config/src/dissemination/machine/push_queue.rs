//! The queue of new commits to push to peers.

use crate::change::Revision;
use gradepin_admission::{Span, Time, time_after};

/// Maximum number of queued commits. Commits beyond this are not pushed; peers fetch them.
const MAX_QUEUED: usize = 64;
/// Pause after a push that used up the byte budget, so that more commits share a datagram.
const PAUSE_AFTER_CUT_PUSH: Span = Span(400_000_000);

/// The revisions to push, and when the next push is due.
#[derive(Debug)]
pub(super) struct PushQueue {
    revisions: Vec<Revision>,
    due_at: Time,
    paused_until: Time,
}

impl PushQueue {
    /// An empty queue that is not paused.
    pub(super) fn new(now: Time) -> Self {
        Self { revisions: Vec::new(), due_at: now, paused_until: now }
    }

    /// Adds a revision, or drops it if the queue is full. The push is delayed by `delay` so that it includes later commits.
    pub(super) fn add(&mut self, now: Time, revision: Revision, delay: Span) {
        if self.revisions.is_empty() {
            self.due_at = time_after(now, delay).max(self.paused_until);
        }
        if self.revisions.len() < MAX_QUEUED {
            self.revisions.push(revision);
        }
    }

    /// Whether the queue is not empty and its push is due.
    pub(super) fn is_due(&self, now: Time) -> bool {
        !self.revisions.is_empty() && now >= self.due_at
    }

    /// Takes all revisions, in the order in which they were added.
    pub(super) fn take(&mut self) -> Vec<Revision> {
        std::mem::take(&mut self.revisions)
    }

    /// Delays the next push, after the byte budget was used up before this one had been sent to all peers.
    pub(super) fn pause(&mut self, now: Time) {
        self.paused_until = time_after(now, PAUSE_AFTER_CUT_PUSH);
    }

    /// Drops all revisions, after a snapshot replaced the state.
    pub(super) fn clear(&mut self) {
        self.revisions.clear();
    }

    /// When the next push is due; `None` if the queue is empty.
    pub(super) fn due_at(&self) -> Option<Time> {
        if self.revisions.is_empty() { None } else { Some(self.due_at) }
    }
}
