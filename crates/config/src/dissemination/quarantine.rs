//! Quarantine of peers whose data failed a check. Its duration doubles with each further failure.

use crate::change::Name;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// Maximum number of peers tracked. When it is reached, peers whose quarantine has ended are forgotten, and if there are none the
/// new peer is not added.
const MAX_SOURCES: usize = 256;
/// Maximum number of times that the duration doubles.
const MAX_DOUBLINGS: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct QuarantinedSource {
    ends_at: Time,
    /// Number of times that the peer has been quarantined.
    count: u32,
}

/// Peers that are or were quarantined.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Name, QuarantinedSource>,
    total: u64,
}

impl Quarantine {
    /// Quarantines a peer: for `base` the first time, doubled each further time. A quarantine that has not ended is not
    /// extended.
    pub fn add(&mut self, now: Time, name: &Name, base: Span) {
        if self.entries.len() >= MAX_SOURCES && !self.entries.contains_key(name) {
            self.entries.retain(|_, entry| now < entry.ends_at);
            if self.entries.len() >= MAX_SOURCES {
                return;
            }
        }
        let entry = self.entries.entry(name.clone()).or_insert(QuarantinedSource { ends_at: now, count: 0 });
        if now < entry.ends_at {
            return;
        }
        entry.ends_at = time_after(now, Span(base.0 << entry.count.min(MAX_DOUBLINGS)));
        entry.count += 1;
        self.total += 1;
    }

    /// Ends the quarantine of a peer and forgets its failures, because its data turned out to be valid.
    pub fn release(&mut self, name: &Name) {
        self.entries.remove(name);
    }

    /// Whether a peer is quarantined at `now`.
    pub fn contains(&self, now: Time, name: &str) -> bool {
        self.entries.get(name).is_some_and(|entry| now < entry.ends_at)
    }

    /// Number of times that any peer was quarantined.
    pub fn total(&self) -> u64 {
        self.total
    }
}
