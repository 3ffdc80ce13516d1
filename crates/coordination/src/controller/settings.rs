//! The settings of the leader's controller.

use super::NANOS_PER_MS;
use crate::regression::Cell;
use crate::replicated_state::Limits;
use gradepin_admission::Span;
use std::collections::BTreeMap;

/// Settings of the controller, from the operator's settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerSettings {
    /// Limits that the leader proposes for the replicated state.
    pub limits: Limits,
    /// Time for which a server must have been ready before its permit ends.
    pub stabilization: Span,
    /// Maximum age of a report; a server without a younger one counts as out of service.
    pub fresh_for: Span,
    /// Maximum deviation of any server's clock rate, in parts per million.
    pub max_drift_ppm: u64,
    /// Only for drills: the leader grants permits without checking limits.
    pub ignore_limits: bool,
    /// Names of the cells by which service is counted, for log lines and halt reasons.
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
