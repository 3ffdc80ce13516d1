//! A hashed timing wheel with one level (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 6).
//! It finds due entries without checking the others.
//!
//! Each slot is one tick of [`TICK`]. An entry that is due later than one turn of the wheel stays in its slot for
//! several turns. Entries are never moved between levels, since that would cause a pause that grows with their number,
//! and never removed before they are due: the owner of a due entry checks whether it is still valid.

use gradepin_admission::{Span, Time};

/// Width of a slot, and the maximum delay with which an entry is returned.
pub const TICK: Span = Span(1 << 27);
/// Number of slots; a power of two. One turn takes 137 s, longer than any entry lasts by default.
const SLOTS: usize = 1024;
/// Maximum capacity that an empty slot retains; a larger one is freed.
const MAX_IDLE_SLOT_CAPACITY: usize = 64;

/// An entry with its tick.
#[derive(Debug)]
struct ScheduledEntry<T> {
    /// Tick in which the entry is due, possibly several turns ahead.
    tick: u64,
    entry: T,
}

/// Entries ordered by due time.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<ScheduledEntry<T>>>,
    /// Current tick: all entries of earlier ticks were returned, and some of its own may remain.
    tick: u64,
    /// Position in the slot of `tick` from which on entries were not checked.
    position: usize,
    count: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        Self { slots: (0..SLOTS).map(|_| Vec::new()).collect(), tick: 0, position: 0, count: 0 }
    }
}

/// The result of a search for a due entry.
#[derive(Debug, PartialEq, Eq)]
pub enum DueEntry<T> {
    /// A due entry, which is removed from the wheel.
    Entry(T),
    /// No further entry is due.
    None,
    /// The budget is used up; further entries may be due.
    BudgetUsedUp,
}

impl<T> TimerWheel<T> {
    /// Number of entries, due or not.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds an entry. One that is already due is returned by the next search.
    pub fn insert(&mut self, due: Time, entry: T) {
        let tick = due.0.div_ceil(TICK.0).max(self.tick);
        self.slots[(tick % SLOTS as u64) as usize].push(ScheduledEntry { tick, entry });
        self.count += 1;
    }

    /// Removes and returns the next due entry. Each check of an entry or a slot takes one from `budget`, which limits
    /// the pause. After [`DueEntry::BudgetUsedUp`] the next search continues where this one stopped.
    pub fn next_due(&mut self, now: Time, budget: &mut usize) -> DueEntry<T> {
        let last_due_tick = now.0 / TICK.0;
        if self.count == 0 {
            // After a long idle time the search must not go through all the ticks.
            (self.tick, self.position) = (self.tick.max(last_due_tick), 0);
            return DueEntry::None;
        }
        loop {
            if self.tick > last_due_tick {
                return DueEntry::None;
            }
            if *budget == 0 {
                return DueEntry::BudgetUsedUp;
            }
            *budget -= 1;
            let slot = &mut self.slots[(self.tick % SLOTS as u64) as usize];
            match slot.get(self.position) {
                Some(scheduled) if scheduled.tick <= self.tick => {
                    self.count -= 1;
                    return DueEntry::Entry(slot.swap_remove(self.position).entry);
                }
                // Due in a later turn of the wheel.
                Some(_) => self.position += 1,
                None => {
                    if slot.is_empty() && slot.capacity() > MAX_IDLE_SLOT_CAPACITY {
                        *slot = Vec::new();
                    }
                    (self.tick, self.position) = (self.tick + 1, 0);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
