//! A hashed timing wheel with one level (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 6): due
//! entries are found without a look at those that aren't.
//!
//! Slots are ticks of [`TICK`]. An entry that is due later than one turn of the wheel stays in its slot for several turns.
//! Nothing is moved between levels, which would be a pause that grows with the number of entries. Nothing is removed before its
//! time either: whoever inserted an entry checks, when it is due, whether it still holds.

use gradepin_admission::{Span, Time};

/// The width of a slot. An entry may come out so much late.
pub const TICK: Span = Span(1 << 27);
/// Slots; a power of two. One turn takes 137 s, longer than anything is kept by default.
const SLOTS: usize = 1024;
/// An empty slot with more capacity than this gives its memory back.
const MAX_IDLE_SLOT_CAPACITY: usize = 64;

/// An entry in its slot.
#[derive(Debug)]
struct ScheduledEntry<T> {
    /// The tick in which it is due; it may be turns ahead.
    tick: u64,
    entry: T,
}

/// Entries by the time at which they are due.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<ScheduledEntry<T>>>,
    /// All that was due before this tick is out; entries of its own slot may remain.
    tick: u64,
    /// How far the slot of `tick` was looked through.
    place: usize,
    count: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        Self { slots: (0..SLOTS).map(|_| Vec::new()).collect(), tick: 0, place: 0, count: 0 }
    }
}

/// The result of a look for due entries.
#[derive(Debug, PartialEq, Eq)]
pub enum DueEntry<T> {
    /// This one is due.
    Entry(T),
    /// Nothing more is due now.
    None,
    /// The budget is used up; more may be due.
    Later,
}

impl<T> TimerWheel<T> {
    /// How many entries it holds.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds an entry; one that is due already comes out at the next look.
    pub fn insert(&mut self, due: Time, entry: T) {
        let tick = due.0.div_ceil(TICK.0).max(self.tick);
        self.slots[(tick % SLOTS as u64) as usize].push(ScheduledEntry { tick, entry });
        self.count += 1;
    }

    /// The next due entry. Each look at an entry or a slot takes one from `budget`, which bounds the pause. After
    /// [`DueEntry::Later`] the next look goes on where this one stopped.
    pub fn next_due(&mut self, now: Time, budget: &mut usize) -> DueEntry<T> {
        let last_due_tick = now.0 / TICK.0;
        if self.count == 0 {
            // A server that was idle for long must not walk through all its ticks.
            (self.tick, self.place) = (self.tick.max(last_due_tick), 0);
            return DueEntry::None;
        }
        loop {
            if self.tick > last_due_tick {
                return DueEntry::None;
            }
            if *budget == 0 {
                return DueEntry::Later;
            }
            *budget -= 1;
            let slot = &mut self.slots[(self.tick % SLOTS as u64) as usize];
            match slot.get(self.place) {
                Some(scheduled) if scheduled.tick <= self.tick => {
                    self.count -= 1;
                    return DueEntry::Entry(slot.swap_remove(self.place).entry);
                }
                // Due in a later turn.
                Some(_) => self.place += 1,
                None => {
                    if slot.is_empty() && slot.capacity() > MAX_IDLE_SLOT_CAPACITY {
                        *slot = Vec::new();
                    }
                    (self.tick, self.place) = (self.tick + 1, 0);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
