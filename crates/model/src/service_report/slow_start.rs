//! Budget of a server in slow start, and the moving averages that are compared with it. What is counted, over which
//! time, and what the specification leaves open is described in `docs/design/slow-start.md`.

use std::collections::VecDeque;

/// From this allowance on the wider margin, which covers chance at small counts, no longer applies.
const MANY: f64 = 30.0;

/// Largest number of concurrent runs for a server in slow start whose average may be `allowed`: the allowance plus a
/// margin for chance. It applies to the load from all senders together.
pub fn budget(allowed: f64) -> f64 {
    let allowed = allowed.max(0.0);
    let (roots, more) = if allowed < MANY { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + roots * allowed.sqrt() + more
}

/// Average number of concurrent runs that a server sustains at a fraction of its full speed (rule 4 of the wire
/// specification).
pub fn sustained_concurrency(cores: f64, max_concurrency_per_core: f64, share: f64) -> f64 {
    (1.0 + (max_concurrency_per_core - 1.0) * share) * cores
}

#[derive(Debug, Clone, Copy)]
struct Step {
    at: u64,
    /// Number from `at` on, and the integral of the number over time up to `at`.
    count: f64,
    area: f64,
}

/// Average of a quantity over the most recent `span`; the quantity is 0 before the first update. Times can have any unit
/// and must not decrease.
#[derive(Debug, Clone)]
pub struct MeanOver {
    span: u64,
    steps: VecDeque<Step>,
}

impl MeanOver {
    /// Creates an average over `span`; with a span of 0, the mean is the current value.
    pub fn new(span: u64) -> Self {
        Self { span, steps: VecDeque::new() }
    }

    /// Sets the value from `at` on.
    pub fn set(&mut self, at: u64, count: f64) {
        let area = self.steps.back().map_or(0.0, |last| last.area + last.count * (at - last.at) as f64);
        self.steps.push_back(Step { at, count, area });
        while self.steps.get(1).is_some_and(|next| next.at + self.span <= at) {
            self.steps.pop_front();
        }
    }

    /// Average over the span that ends at `at`.
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

    /// Removes all updates.
    pub fn clear(&mut self) {
        self.steps.clear();
    }
}

#[cfg(test)]
mod tests;
