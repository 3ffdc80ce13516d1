//! A request to a peer whose response is awaited.

use crate::change::Name;
use gradepin_admission::Time;

/// A request in flight, without its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlight {
    /// The peer that the request was sent to.
    pub peer: Name,
    /// The request fails if no response is received before this time.
    pub deadline: Time,
}

impl InFlight {
    /// Whether the request was sent to this peer.
    pub fn is_to(&self, name: &str) -> bool {
        self.peer.as_ref() == name
    }

    /// Whether the deadline has passed.
    pub fn has_expired(&self, now: Time) -> bool {
        now >= self.deadline
    }
}
