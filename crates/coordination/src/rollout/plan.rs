//! The rollout plan that an operator submits, and its checks.

use crate::ids::MAX_TEXT_BYTES;
use gradepin_admission::Span;
use serde::{Deserialize, Serialize};

const NANOS_PER_MS: u64 = 1_000_000;
/// Maximum batches of a plan.
pub const MAX_BATCHES: usize = 32;

/// Kind of artifact that is rolled out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseKind {
    /// A program; a command that the operator configures replaces the process.
    Program,
    /// Settings; staged and fully checked on each server, then activated like a reload on SIGHUP.
    Settings,
}

/// A batch of servers that are updated before service is watched for a pause.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Fraction of all servers that are updated at the end of the batch, from 0 to 1; at least one more than after the last
    /// batch.
    pub share: f64,
    /// Time for which service is watched after the batch, in ms.
    pub pause_ms: u64,
}

impl Batch {
    /// Time for which service is watched after the batch.
    pub fn pause(&self) -> Span {
        span_of_millis(self.pause_ms)
    }
}

/// Converts a time of a plan to a span. Values too large for nanoseconds saturate, so such a time never passes.
fn span_of_millis(millis: u64) -> Span {
    Span(millis.saturating_mul(NANOS_PER_MS))
}

/// The plan of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// Name of the rollout. Starting the same name with the same plan again has no effect.
    pub name: String,
    /// Kind of artifact that changes.
    pub kind: ReleaseKind,
    /// Target version, as servers report it; for settings the digest of the staged text.
    pub version: String,
    /// Batches in order; the last one has a share of 1.
    #[serde(rename = "waves")]
    pub batches: Vec<Batch>,
    /// Whether servers are updated zone after zone, rather than one server of each zone in turn.
    pub zone_by_zone: bool,
    /// Maximum time for a server to be ready with the target version, in ms.
    #[serde(rename = "ready_ms")]
    pub ready_timeout_ms: u64,
    /// Time for which a server must have been ready with the target version to count as updated, in ms.
    #[serde(rename = "steady_ms")]
    pub stabilization_ms: u64,
    /// Maximum fall of the served fraction that doesn't stop the rollout, from 0 to 1.
    #[serde(rename = "worse")]
    pub tolerated_regression: f64,
    /// Whether the rollout is rolled back, rather than halted, when a fault stops it.
    #[serde(rename = "goes_back")]
    pub rolls_back: bool,
}

/// Reason for rejecting a plan.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The name or the version is empty or too long.
    #[error("expected a name and a version of 1 to {MAX_TEXT_BYTES} bytes")]
    TextLength,
    /// There are no batches or too many.
    #[error("expected 1 to {MAX_BATCHES} waves, got {got}")]
    BatchCount {
        /// Number of batches in the plan.
        got: usize,
    },
    /// A share isn't a fraction, or is less than the one before.
    #[error("expected shares from 0 to 1 in ascending order, got {got:?}")]
    Shares {
        /// Shares of the plan, in order.
        got: Vec<f64>,
    },
    /// The last batch leaves out some servers.
    #[error("expected the last wave to have a share of 1")]
    LastShare,
    /// The tolerated regression isn't a fraction.
    #[error("expected worse from 0 to 1, got {got}")]
    ToleratedRegression {
        /// Tolerated regression of the plan.
        got: f64,
    },
    /// The ready timeout or the stabilization period is zero.
    #[error("expected ready and steady to be above 0 ms")]
    ZeroTime,
}

impl RolloutPlan {
    /// Maximum time for a server to be ready with the target version.
    pub fn ready_timeout(&self) -> Span {
        span_of_millis(self.ready_timeout_ms)
    }

    /// Time for which a server must have been ready with the target version to count as updated.
    pub fn stabilization(&self) -> Span {
        span_of_millis(self.stabilization_ms)
    }

    /// Checks the plan without regard to the fleet; returns the first error.
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
