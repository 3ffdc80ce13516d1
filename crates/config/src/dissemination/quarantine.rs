//! Sources whose data failed a check. They are left out for a time that doubles with each further failure.

use crate::change::Name;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// Sources remembered. Past this bound, sources that are no longer left out are forgotten first.
const MAX_SOURCES: usize = 256;
/// Doublings of the quarantine time.
const MAX_DOUBLINGS: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct QuarantinedSource {
    ends_at: Time,
    /// How often the source was quarantined so far.
    times: u32,
}

/// Which sources are left out, and until when.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Name, QuarantinedSource>,
    total: u64,
}

impl Quarantine {
    /// Leaves a source out from now on: for `base` the first time, doubled each time after. One that is left out already stays
    /// so until the same time as before.
    pub fn add(&mut self, now: Time, name: &Name, base: Span) {
        if self.entries.len() >= MAX_SOURCES && !self.entries.contains_key(name) {
            self.entries.retain(|_, entry| now < entry.ends_at);
            if self.entries.len() >= MAX_SOURCES {
                return;
            }
        }
        let entry = self.entries.entry(name.clone()).or_insert(QuarantinedSource { ends_at: now, times: 0 });
        if now < entry.ends_at {
            return;
        }
        entry.ends_at = time_after(now, Span(base.0 << entry.times.min(MAX_DOUBLINGS)));
        entry.times += 1;
        self.total += 1;
    }

    /// Takes a source back and forgets its failures: its data turned out to be right.
    pub fn release(&mut self, name: &Name) {
        self.entries.remove(name);
    }

    /// Whether a source is left out now.
    pub fn contains(&self, now: Time, name: &str) -> bool {
        self.entries.get(name).is_some_and(|entry| now < entry.ends_at)
    }

    /// How often any source was left out.
    pub fn total(&self) -> u64 {
        self.total
    }
}
