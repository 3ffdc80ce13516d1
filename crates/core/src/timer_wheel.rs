//! A hashed timing wheel with one level (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 6):
//! what is due is found without looking at what isn't.
//!
//! Slots are ticks of [`TICK`]; what is due later than one turn stays in its slot for as many turns as it takes. Nothing
//! is moved from a coarser level to a finer one, which would be a pause that grows with the number of entries. Nothing
//! is removed before its time either: whoever put an entry in looks, when it is due, whether that still holds.

use gradepin_admission::{Span, Time};

/// The width of a slot. Whatever is kept here may come so much late.
pub const TICK: Span = Span(1 << 27);
/// Slots; a power of two. One turn takes 137 s, longer than anything is kept by default.
const SLOTS: usize = 1024;

/// Entries by the time at which they are due.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// The tick up to which all that was due is out; entries of its own slot may remain.
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

/// What a look for due entries came to.
#[derive(Debug, PartialEq, Eq)]
pub enum DueEntry<T> {
    /// This one is due.
    Entry(T),
    /// Nothing more is due now.
    None,
    /// So much was looked at that others should have their turn; there may be more.
    Later,
}

impl<T> TimerWheel<T> {
    /// Entries in it.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Puts an entry in; one that is due already comes out with the next look.
    pub fn insert(&mut self, due: Time, entry: T) {
        let tick = due.0.div_ceil(TICK.0).max(self.tick);
        self.slots[(tick % SLOTS as u64) as usize].push((tick, entry));
        self.count += 1;
    }

    /// The next due entry. Each look at an entry or a slot takes one from `budget`, which bounds the pause; with
    /// [`DueEntry::Later`] the next look goes on where this one stopped.
    pub fn next_due(&mut self, now: Time, budget: &mut usize) -> DueEntry<T> {
        let last = now.0 / TICK.0;
        if self.count == 0 {
            // Nothing to look through: a server that was idle for long must not walk through all its ticks.
            (self.tick, self.place) = (self.tick.max(last), 0);
            return DueEntry::None;
        }
        loop {
            if self.tick > last {
                return DueEntry::None;
            }
            if *budget == 0 {
                return DueEntry::Later;
            }
            *budget -= 1;
            let slot = &mut self.slots[(self.tick % SLOTS as u64) as usize];
            match slot.get(self.place) {
                Some((tick, _)) if *tick <= self.tick => {
                    self.count -= 1;
                    return DueEntry::Entry(slot.swap_remove(self.place).1);
                }
                // Due in a later turn.
                Some(_) => self.place += 1,
                None => {
                    // A slot that once held many gives its memory back.
                    if slot.is_empty() && slot.capacity() > 64 {
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
