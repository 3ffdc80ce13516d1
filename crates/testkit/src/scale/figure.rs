//! Figures with budgets: measured points, the value at the planned size, and whether it is within the budget.

use super::fit::{Fit, FitError, Point};

/// Statement of the capacity page about a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// The budget holds; if it doesn't, the command ends with status 1.
    Holds,
    /// The budget is known to fail; the page states the factor.
    Fails,
}

/// Direction of a limit. The names go into the JSON report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Values up to the limit are acceptable.
    AtMost,
    /// Values from the limit on are acceptable.
    AtLeast,
}

/// Limit on a figure at the planned size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Limit in the unit of the figure.
    pub limit: f64,
    /// Direction of the limit.
    pub side: Side,
    /// Statement of the capacity page.
    pub claim: Claim,
}

/// Comparison of a value with its budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// Whether the value is within the budget.
    pub holds: bool,
    /// Factor by which the budget holds or fails, at least 1.
    pub factor: f64,
}

impl Budget {
    /// Budget with an upper limit.
    pub fn at_most(limit: f64, claim: Claim) -> Self {
        Self { limit, side: Side::AtMost, claim }
    }

    /// Budget with a lower limit.
    pub fn at_least(limit: f64, claim: Claim) -> Self {
        Self { limit, side: Side::AtLeast, claim }
    }

    /// Compares a value with the budget; NaN fails.
    pub fn judge(&self, value: f64) -> Verdict {
        let ratio = match self.side {
            Side::AtMost => value / self.limit,
            Side::AtLeast => self.limit / value,
        };
        let holds = ratio <= 1.0;
        Verdict { holds, factor: if holds { 1.0 / ratio } else { ratio } }
    }
}

/// One measured quantity by size.
#[derive(Debug, Clone)]
pub struct Figure {
    /// Identifier, as on the capacity page.
    pub id: &'static str,
    /// Description for the report.
    pub what: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Measured values by size.
    pub points: Vec<Point>,
    /// Budget at the planned size, if there is one.
    pub budget: Option<Budget>,
}

impl Figure {
    /// Creates a figure without points or budget.
    pub fn new(id: &'static str, what: &'static str, unit: &'static str) -> Self {
        Self { id, what, unit, points: Vec::new(), budget: None }
    }

    /// Sets the budget.
    pub fn within(mut self, budget: Budget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Adds the measured value of a size.
    pub fn add(&mut self, size: u64, value: f64) {
        self.points.push(Point { size: size as f64, value });
    }

    /// Value at the planned size: measured there, or extrapolated by the fit.
    pub fn at_target(&self, target: f64) -> Result<TargetValue, FitError> {
        if let Some(point) = self.points.iter().find(|point| point.size == target) {
            return Ok(TargetValue { value: point.value, measured: true });
        }
        Ok(TargetValue { value: Fit::of(&self.points)?.extrapolate(target)?, measured: false })
    }

    /// Whether the claim of the page stands: the budget holds, is stated to fail, or doesn't exist. Without a value at the
    /// planned size, a claim that the budget holds is not kept.
    pub fn keeps_claim(&self, target: f64) -> bool {
        let Some(budget) = self.budget.filter(|budget| budget.claim == Claim::Holds) else { return true };
        self.at_target(target).is_ok_and(|target_value| budget.judge(target_value.value).holds)
    }
}

/// Value of a figure at the planned size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetValue {
    /// The value.
    pub value: f64,
    /// Whether the value was measured rather than extrapolated.
    pub measured: bool,
}

#[cfg(test)]
mod tests;
