//! Cooldowns of peers that failed a request. Until its cooldown ends, a peer is not selected or is ranked last.

use crate::change::Name;
use gradepin_admission::Time;
use std::collections::BTreeMap;

/// Peers that are cooling down, each with the end of its cooldown.
#[derive(Debug, Default)]
pub struct Cooldowns {
    ends: BTreeMap<Name, Time>,
}

impl Cooldowns {
    /// Starts or replaces the cooldown of a peer, which lasts until `end`. Has no effect if `max_peers` are already cooling down.
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
