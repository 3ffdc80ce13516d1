//! The settings of the leader's controller.

use super::NANOS_PER_MS;
use crate::regression::Cell;
use crate::replicated_state::Limits;
use gradepin_admission::Span;
use std::collections::BTreeMap;

/// What an operator sets of the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerSettings {
    /// How much may be out of service at a time.
    pub limits: Limits,
    /// How long a server must have been ready before its permit ends.
    pub stabilization: Span,
    /// A server whose last report is older than this counts as out of service.
    pub fresh_for: Span,
    /// The largest deviation of a clock's rate, in parts per million.
    pub max_drift_ppm: u64,
    /// For drills alone: the leader checks no limits.
    pub ignore_limits: bool,
    /// The names of the cells that service is counted by, for log lines.
    pub cell_names: BTreeMap<Cell, String>,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            stabilization: Span(3_000 * NANOS_PER_MS),
            fresh_for: Span(2_000 * NANOS_PER_MS),
            max_drift_ppm: 10_000,
            ignore_limits: false,
            cell_names: BTreeMap::new(),
        }
    }
}
