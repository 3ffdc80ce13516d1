//! What is rolled out, and how: the plan that an operator submits, and its checks.

use crate::ids::MAX_TEXT_BYTES;
use gradepin_admission::Span;
use serde::{Deserialize, Serialize};

const NANOS_PER_MS: u64 = 1_000_000;
/// Batches of a plan at most.
pub const MAX_BATCHES: usize = 32;

/// What is rolled out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseKind {
    /// A program: a command of the operators replaces the process.
    Program,
    /// Settings: staged on each server, checked there in full, and activated as by SIGHUP.
    Settings,
}

/// Servers that are changed before service is compared again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The fraction of all servers that is updated at its end, from 0 to 1; at least one server more than before.
    pub share: f64,
    /// How long service is watched after it, in ms.
    pub pause_ms: u64,
}

impl Batch {
    /// How long service is watched after it.
    pub fn pause(&self) -> Span {
        span_of_millis(self.pause_ms)
    }
}

/// A time of a plan; one that is too long to be represented never passes.
fn span_of_millis(millis: u64) -> Span {
    Span(millis.saturating_mul(NANOS_PER_MS))
}

/// What is rolled out, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// Its name: the same name with the same plan is the same rollout.
    pub name: String,
    /// What changes.
    pub kind: ReleaseKind,
    /// The version, as servers report it; of settings the digest of the staged text.
    pub version: String,
    /// The batches, in order; the last one has a share of 1.
    #[serde(rename = "waves")]
    pub batches: Vec<Batch>,
    /// Whether a batch takes zone after zone, rather than one server of each zone by turns.
    pub zone_by_zone: bool,
    /// How long an updated server may take to be ready, in ms.
    #[serde(rename = "ready_ms")]
    pub ready_timeout_ms: u64,
    /// How long it must have been ready to count as updated, in ms.
    #[serde(rename = "steady_ms")]
    pub stabilization_ms: u64,
    /// By how much the served fraction may fall without a halt, from 0 to 1.
    #[serde(rename = "worse")]
    pub tolerated_regression: f64,
    /// Whether an automatic halt rolls back.
    #[serde(rename = "goes_back")]
    pub rolls_back: bool,
}

/// What is wrong with a plan.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The name or the version is empty or too long.
    #[error("expected a name and a version of 1 to {MAX_TEXT_BYTES} bytes")]
    TextLength,
    /// There are no batches or too many.
    #[error("expected 1 to {MAX_BATCHES} waves, got {got}")]
    BatchCount {
        /// The number of batches.
        got: usize,
    },
    /// A share is no fraction, or less than the one before.
    #[error("expected shares from 0 to 1 that grow, got {got:?}")]
    Shares {
        /// The shares.
        got: Vec<f64>,
    },
    /// The last batch leaves servers out.
    #[error("expected the last wave to have a share of 1")]
    LastShare,
    /// The tolerated regression is no fraction.
    #[error("expected worse from 0 to 1, got {got}")]
    ToleratedRegression {
        /// The value.
        got: f64,
    },
    /// The ready timeout or the stabilization period is zero.
    #[error("expected ready and steady of more than 0 ms")]
    ZeroTime,
}

impl RolloutPlan {
    /// How long an updated server may take to be ready.
    pub fn ready_timeout(&self) -> Span {
        span_of_millis(self.ready_timeout_ms)
    }

    /// How long it must have been ready to count as updated.
    pub fn stabilization(&self) -> Span {
        span_of_millis(self.stabilization_ms)
    }

    /// Checks the plan by itself: the first thing that is wrong.
    pub fn check(&self) -> Result<(), PlanError> {
        let has_valid_length = |text: &String| (1..=MAX_TEXT_BYTES).contains(&text.len());
        if !has_valid_length(&self.name) || !has_valid_length(&self.version) {
            return Err(PlanError::TextLength);
        }
        if !(1..=MAX_BATCHES).contains(&self.batches.len()) {
            return Err(PlanError::BatchCount { got: self.batches.len() });
        }
        let shares: Vec<f64> = self.batches.iter().map(|batch| batch.share).collect();
        if !shares.iter().all(|share| (0.0..=1.0).contains(share)) || !shares.is_sorted() {
            return Err(PlanError::Shares { got: shares });
        }
        if shares.last() != Some(&1.0) {
            return Err(PlanError::LastShare);
        }
        if !(0.0..=1.0).contains(&self.tolerated_regression) {
            return Err(PlanError::ToleratedRegression { got: self.tolerated_regression });
        }
        if self.ready_timeout_ms == 0 || self.stabilization_ms == 0 {
            return Err(PlanError::ZeroTime);
        }
        Ok(())
    }
}
