//! A figure with its budget: what was measured, what the fit says of the planned size, and whether that is within the budget.

use super::fit::{Fit, Point, Refusal};

/// What the capacity page says of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// It holds; where it doesn't, the command ends with status 1.
    Holds,
    /// It is known to fail, and the page says by which factor.
    Fails,
}

/// Which side of the limit is the good one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The limit and less.
    AtMost,
    /// The limit and more.
    AtLeast,
}

/// What a figure may come to at the planned size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// In the figure's unit.
    pub limit: f64,
    /// Which side of it is good.
    pub side: Side,
    /// What the page claims.
    pub claim: Claim,
}

/// A budget beside a figure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// Whether it holds.
    pub holds: bool,
    /// By which factor it holds or fails, 1 or more.
    pub factor: f64,
}

impl Budget {
    /// No more than so much.
    pub fn at_most(limit: f64, claim: Claim) -> Self {
        Self { limit, side: Side::AtMost, claim }
    }

    /// No less than so much.
    pub fn at_least(limit: f64, claim: Claim) -> Self {
        Self { limit, side: Side::AtLeast, claim }
    }

    /// Whether a value is within it, and by which factor.
    pub fn judge(&self, value: f64) -> Verdict {
        let ratio = match self.side {
            Side::AtMost => value / self.limit,
            Side::AtLeast => self.limit / value,
        };
        let holds = ratio <= 1.0;
        Verdict { holds, factor: if holds { 1.0 / ratio } else { ratio } }
    }
}

/// What one command measured of one thing.
#[derive(Debug, Clone)]
pub struct Figure {
    /// Its name, as the page has it.
    pub id: &'static str,
    /// What it is, in words.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// At each size.
    pub points: Vec<Point>,
    /// What it may come to, if that is limited.
    pub budget: Option<Budget>,
}

impl Figure {
    /// One without points yet.
    pub fn new(id: &'static str, what: &'static str, unit: &'static str) -> Self {
        Self { id, what, unit, points: Vec::new(), budget: None }
    }

    /// The same with a budget.
    pub fn within(mut self, budget: Budget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// It came to so much at a size.
    pub fn add(&mut self, size: u64, value: f64) {
        self.points.push(Point { size: size as f64, value });
    }

    /// What it comes to at the planned size: as measured there, or by the fit.
    pub fn at_target(&self, target: f64) -> Result<Told, Refusal> {
        if let Some(point) = self.points.iter().find(|point| point.size == target) {
            return Ok(Told { value: point.value, measured: true });
        }
        Ok(Told { value: Fit::of(&self.points)?.extrapolate(target)?, measured: false })
    }

    /// Whether the page's claim stands: the budget holds, or is said to fail, or there is none. A claim without a figure doesn't.
    pub fn keeps_claim(&self, target: f64) -> bool {
        let Some(budget) = self.budget.filter(|budget| budget.claim == Claim::Holds) else { return true };
        self.at_target(target).is_ok_and(|told| budget.judge(told.value).holds)
    }
}

/// A figure at the planned size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Told {
    /// What it comes to.
    pub value: f64,
    /// Whether that size was measured.
    pub measured: bool,
}

#[cfg(test)]
mod tests;
