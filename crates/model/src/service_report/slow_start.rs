//! The budget of a server in slow start, and the means over time that it is held against. What is counted, over which
//! time, and what the pages leave open is in `docs/design/slow-start.md`.

use std::collections::VecDeque;

/// From so many on the wider margin, which guards small counts against chance, is not given any more.
const MANY: f64 = 30.0;

/// The most that a server in slow start may be given at once, where the settings let it have `allowed` in the mean: `allowed`
/// and what chance adds to it. It counts what all senders together give it.
pub fn budget(allowed: f64) -> f64 {
    let allowed = allowed.max(0.0);
    let (roots, more) = if allowed < MANY { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + roots * allowed.sqrt() + more
}

/// Runs that a server survives on its cores in the mean, at a share of its full speed: rule 4 of the wire page.
pub fn survived(cores: f64, max_concurrency_per_core: f64, share: f64) -> f64 {
    (1.0 + (max_concurrency_per_core - 1.0) * share) * cores
}

#[derive(Debug, Clone, Copy)]
struct Step {
    at: u64,
    /// How many there are from then on, and the sum of how many there were, times how long, until then.
    count: f64,
    area: f64,
}

/// How many there are of something, in the mean of the span that ends now. Before the first word there were none. Times are
/// in any unit, and don't go backwards.
#[derive(Debug, Clone)]
pub struct MeanOver {
    span: u64,
    steps: VecDeque<Step>,
}

impl MeanOver {
    /// Over this span; one of 0 tells what there is now.
    pub fn new(span: u64) -> Self {
        Self { span, steps: VecDeque::new() }
    }

    /// From now on there are so many.
    pub fn set(&mut self, at: u64, count: f64) {
        let area = self.steps.back().map_or(0.0, |last| last.area + last.count * (at - last.at) as f64);
        self.steps.push_back(Step { at, count, area });
        while self.steps.get(1).is_some_and(|next| next.at + self.span <= at) {
            self.steps.pop_front();
        }
    }

    /// The mean over the span that ends at this time.
    pub fn mean(&self, at: u64) -> f64 {
        let Some(last) = self.steps.back() else { return 0.0 };
        if self.span == 0 {
            return last.count;
        }
        let area = |step: &Step, until: u64| step.area + step.count * (until - step.at) as f64;
        let from = at.saturating_sub(self.span);
        let known = self.steps.partition_point(|step| step.at <= from).checked_sub(1);
        let before = known.map_or(self.steps[0].area, |place| area(&self.steps[place], from));
        (area(last, at) - before) / self.span as f64
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.steps.clear();
    }
}

#[cfg(test)]
mod tests;
