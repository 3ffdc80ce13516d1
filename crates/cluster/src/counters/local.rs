//! The counts of this server by cell, over a sliding window.

use super::row::{CellId, CounterCell, WorkCount};
use super::{MAX_CELLS, WINDOW};
use crate::MS;
use gradepin_admission::{Span, Time, time_after};
use std::collections::{BTreeMap, VecDeque};

/// The step by which the window moves.
const STEP: Span = Span(500 * MS);
/// The cell that counts all work beyond the maximum number of cells.
const OVERFLOW: CellId = CellId(0);

#[derive(Debug)]
struct WindowStep {
    since: Time,
    work: WorkCount,
}

/// The count of one cell: the sum over the window, and the steps that it consists of.
#[derive(Debug, Default)]
struct WindowedCount {
    steps: VecDeque<WindowStep>,
    sum: WorkCount,
}

impl WindowedCount {
    fn add(&mut self, now: Time, work: WorkCount) {
        match self.steps.back_mut() {
            Some(last) if now < time_after(last.since, STEP) => last.work.add(&work),
            _ => self.steps.push_back(WindowStep { since: now, work }),
        }
        self.sum.add(&work);
    }

    fn expire(&mut self, now: Time) {
        while let Some(expired) = self.steps.pop_front_if(|step| time_after(step.since, WINDOW) <= now) {
            self.sum.subtract(&expired.work);
        }
    }
}

/// All cells of this server, at most [`MAX_CELLS`].
#[derive(Debug, Default)]
pub(super) struct LocalCounters {
    cells: BTreeMap<CellId, WindowedCount>,
}

impl LocalCounters {
    /// Counts work in its cell, or in [`OVERFLOW`] if there is no room for another cell.
    pub(super) fn count(&mut self, now: Time, cell: CellId, work: WorkCount) {
        let has_capacity = self.cells.contains_key(&cell) || self.cells.len() < MAX_CELLS - 1;
        let cell = if has_capacity { cell } else { OVERFLOW };
        self.cells.entry(cell).or_default().add(now, work);
    }

    /// The cells with their sums over the window; cells without work in the window are dropped.
    pub(super) fn cells(&mut self, now: Time) -> Vec<CounterCell> {
        self.cells.values_mut().for_each(|count| count.expire(now));
        self.cells.retain(|_, count| !count.steps.is_empty());
        self.cells.iter().map(|(id, count)| CounterCell { id: *id, work: count.sum }).collect()
    }

    /// Sums the wanted cells.
    pub(super) fn sum(&self, wanted: impl Fn(CellId) -> bool) -> WorkCount {
        let mut sum = WorkCount::default();
        self.cells.iter().filter(|(id, _)| wanted(**id)).for_each(|(_, count)| sum.add(&count.sum));
        sum
    }

    /// Sums the cells of each key on this server; `key_of` maps a cell to its key.
    pub(super) fn sums<K: Ord>(&self, key_of: impl Fn(CellId) -> Option<K>) -> BTreeMap<K, WorkCount> {
        let mut sums = BTreeMap::<K, WorkCount>::new();
        for (id, count) in &self.cells {
            if let Some(key) = key_of(*id) {
                sums.entry(key).or_default().add(&count.sum);
            }
        }
        sums
    }
}
