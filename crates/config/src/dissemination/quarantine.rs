//! Sources whose data failed a check, left out for a time.

use crate::change::Name;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// Sources remembered, at the most.
const MOST: usize = 256;
/// The time doubles so many times at the most.
const MOST_DOUBLINGS: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct Entry {
    until: Time,
    times: u32,
}

/// Who is left out until when.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Name, Entry>,
    total: u64,
}

impl Quarantine {
    /// Leaves a source out from now on.
    pub fn add(&mut self, now: Time, name: &Name, length: Span) {
        if self.entries.len() >= MOST && !self.entries.contains_key(name) {
            self.entries.retain(|_, entry| now < entry.until);
            if self.entries.len() >= MOST {
                return;
            }
        }
        let entry = self.entries.entry(name.clone()).or_insert(Entry { until: now, times: 0 });
        if now < entry.until {
            return;
        }
        entry.until = time_after(now, Span(length.0 << entry.times.min(MOST_DOUBLINGS)));
        entry.times += 1;
        self.total += 1;
    }

    /// The source was right after all.
    pub fn release(&mut self, name: &Name) {
        self.entries.remove(name);
    }

    /// Whether it is left out.
    pub fn holds(&self, now: Time, name: &str) -> bool {
        self.entries.get(name).is_some_and(|entry| now < entry.until)
    }

    /// Times that a source was left out.
    pub fn total(&self) -> u64 {
        self.total
    }
}
