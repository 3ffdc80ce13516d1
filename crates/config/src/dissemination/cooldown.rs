//! Peers that failed to answer and are not asked again, or asked last, until a time.

use crate::change::Name;
use gradepin_admission::Time;
use std::collections::BTreeMap;

/// Peers that are cooling down, each until its own time.
#[derive(Debug, Default)]
pub struct Cooldowns {
    ends: BTreeMap<Name, Time>,
}

impl Cooldowns {
    /// Adds a peer until `end`, replacing an earlier end. Nothing is added where `max_peers` are cooling down already.
    pub fn add(&mut self, now: Time, peer: Name, end: Time, max_peers: usize) {
        self.remove_expired(now);
        if self.ends.len() < max_peers {
            self.ends.insert(peer, end);
        }
    }

    /// Whether a peer is cooling down.
    pub fn contains(&self, now: Time, peer: &str) -> bool {
        self.ends.get(peer).is_some_and(|end| now < *end)
    }

    fn remove_expired(&mut self, now: Time) {
        self.ends.retain(|_, end| now < *end);
    }
}
