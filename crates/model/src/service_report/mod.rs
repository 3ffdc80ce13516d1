//! The account of the brief: worth served within its aim over worth asked for, retries folded into the first try, and the
//! four rules, checked at every event.
//!
//! Whoever plays a fleet (a model, a rehearsal, a report) tells what happened; [`service::ServiceCounter`] counts and
//! [`rules::RuleChecker`] checks. Neither knows where its events come from.

pub mod rules;
pub mod service;
pub mod slow_start;

use serde::{Deserialize, Serialize};

/// A moment, in milliseconds of the world that is played.
pub type Ms = u64;

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// As `label-save`.
    pub name: String,
    /// Of a request that is answered within its aim.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The part of it that an answer after the aim earns, while the caller waits.
    #[serde(rename = "late")]
    pub late_value: f64,
    /// From the first try on.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: Ms,
    /// How long callers wait.
    pub deadline_ms: Ms,
    /// How long after it ran it must not run again at the same server; none where it is safe to repeat.
    pub window_ms: Option<Ms>,
}

/// An office and its share of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// As `etela-kasvio`.
    pub name: String,
    /// From 0 to 1; all together are 1.
    pub share: f64,
}

/// What counts, and for how much.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The classes; events name them by their place.
    pub classes: Vec<Class>,
    /// The offices; events name them by their place.
    #[serde(rename = "offices")]
    pub tenants: Vec<Tenant>,
    /// First tries a second that the whole fleet can serve: a share is a part of this.
    pub capacity: f64,
    /// What traffic beyond a share is worth, as a part of the usual.
    #[serde(rename = "beyond")]
    pub over_quota_weight: f64,
    /// Weights of the whole, the worst window, the worst class and the worst office; together 1.
    pub weights: [f64; 4],
    /// The length of the worst window.
    pub window_ms: Ms,
    /// Points in 100 off for all failing only after the aim, and for as much wasted work as was asked for.
    pub deductions: [f64; 2],
}

/// Why terms can't be counted by.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TermsError {
    /// There is nothing to count.
    #[error("expected at least one class and one tenant")]
    Empty,
    /// Parts that don't make a whole.
    #[error("expected {what} to be 1 together, got {sum}")]
    Sum {
        /// Which.
        what: &'static str,
        /// What they are.
        sum: f64,
    },
    /// A figure out of its range.
    #[error("expected {what}, got {value}")]
    Range {
        /// What was expected.
        what: &'static str,
        /// What there is.
        value: f64,
    },
}

impl Terms {
    /// Those of the brief, for a fleet that can serve so many first tries a second. Times are whole; a model at another scale
    /// divides them.
    pub fn brief(capacity: f64) -> Self {
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

    /// Whether they make sense.
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
