//! Service report: the priority weight served within its latency objective as a fraction of the weight requested, with
//! retries counted as part of their first attempt, and the four rules of the specification, checked at every event.
//!
//!
//! The caller (a model, a drill or a report) passes in the events; [`service::ServiceCounter`] counts and
//! [`rules::RuleChecker`] checks. Neither depends on the source of the events.

pub mod rules;
pub mod service;
pub mod slow_start;

use serde::{Deserialize, Serialize};

/// Time in milliseconds on the caller's clock.
pub type Ms = u64;

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Class name, for example `label-save`.
    pub name: String,
    /// Priority weight earned by an answer within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Fraction of the priority weight earned by an answer after the latency objective but before the deadline.
    #[serde(rename = "late")]
    pub late_value: f64,
    /// Latency objective, measured from the first attempt.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: Ms,
    /// Time after which the client gives up, measured from the first attempt.
    pub deadline_ms: Ms,
    /// Time after a run during which the same server must not run the request again; `None` if the class is
    /// idempotent.
    pub window_ms: Option<Ms>,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Tenant name, for example `etela-kasvio`.
    pub name: String,
    /// Fraction of the fleet's capacity, from 0 to 1; the shares of all tenants add up to 1.
    pub share: f64,
}

/// Parameters of the score.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; events refer to them by index.
    #[serde(rename = "offices")]
    pub tenants: Vec<Tenant>,
    /// First attempts per second that the whole fleet can serve; tenant shares are fractions of it.
    pub capacity: f64,
    /// Priority weight of a request over its tenant's quota, as a fraction of the usual weight.
    #[serde(rename = "beyond")]
    pub over_quota_weight: f64,
    /// Weights of the total, the worst window, the worst class and the worst tenant in the score; they add up to 1.
    pub weights: [f64; 4],
    /// Length of the window in which the worst service is searched for.
    pub window_ms: Ms,
    /// Points out of 100 deducted if every request were answered late, and if as much work were wasted as was
    /// requested.
    pub deductions: [f64; 2],
}

/// Error for parameters that no score can be computed from.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TermsError {
    /// There are no classes or no tenants.
    #[error("expected at least one class and one tenant")]
    Empty,
    /// Fractions that don't add up to 1.
    #[error("expected {what} to be 1 together, got {sum}")]
    Sum {
        /// Which fractions.
        what: &'static str,
        /// Their sum.
        sum: f64,
    },
    /// A value out of range.
    #[error("expected {what}, got {value}")]
    Range {
        /// The expected range.
        what: &'static str,
        /// The value found.
        value: f64,
    },
}

impl Terms {
    /// Parameters of the specification for a fleet that serves `capacity` first attempts per second. Times are
    /// unscaled; a model on another time scale divides them.
    pub fn specified(capacity: f64) -> Self {
        let class =
            |name: &str, priority_weight, late_value, latency_objective_ms, deadline_ms, window_ms| Class {
                name: name.to_string(),
                priority_weight,
                late_value,
                latency_objective_ms,
                deadline_ms,
                window_ms,
            };
        let tenant = |name: &str, share| Tenant { name: name.to_string(), share };
        Self {
            classes: vec![
                class("sheet-view", 1.0, 0.0, 1_600, 4_000, None),
                class("deep-zoom", 1.0, 0.0, 2_200, 5_800, None),
                class("label-read", 2.0, 0.0, 1_600, 4_000, None),
                class("label-save", 4.0, 0.2, 1_600, 4_000, Some(12_075)),
            ],
            tenants: vec![
                tenant("etela-kasvio", 0.42),
                tenant("lansi-kasvio", 0.26),
                tenant("ita-kasvio", 0.18),
                tenant("pohjois-kasvio", 0.14),
            ],
            capacity,
            over_quota_weight: 0.05,
            weights: [0.4, 0.3, 0.2, 0.1],
            window_ms: 10_000,
            deductions: [8.3, 8.0],
        }
    }

    /// Checks ranges and sums.
    pub fn check(&self) -> Result<(), TermsError> {
        if self.classes.is_empty() || self.tenants.is_empty() {
            return Err(TermsError::Empty);
        }
        let near = |sum: f64| (sum - 1.0).abs() < 1e-6;
        let shares = self.tenants.iter().map(|tenant| tenant.share).sum();
        let weights = self.weights.iter().sum();
        for (what, sum) in [("the shares of the tenants", shares), ("the weights", weights)] {
            if !near(sum) {
                return Err(TermsError::Sum { what, sum });
            }
        }
        let range =
            |what, value: f64, ok: bool| if ok { Ok(()) } else { Err(TermsError::Range { what, value }) };
        range("a capacity above 0", self.capacity, self.capacity > 0.0 && self.capacity.is_finite())?;
        range(
            "a priority weight over quota from 0 to 1",
            self.over_quota_weight,
            (0.0..=1.0).contains(&self.over_quota_weight),
        )?;
        range("a window above 0", self.window_ms as f64, self.window_ms > 0)?;
        for class in &self.classes {
            range(
                "a priority weight above 0",
                class.priority_weight,
                class.priority_weight > 0.0 && class.priority_weight.is_finite(),
            )?;
            range("a late value from 0 to 1", class.late_value, (0.0..=1.0).contains(&class.late_value))?;
            range(
                "a deadline no shorter than the latency objective",
                class.deadline_ms as f64,
                class.deadline_ms >= class.latency_objective_ms,
            )?;
        }
        Ok(())
    }
}
