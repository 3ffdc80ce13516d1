//! How the leader's controller goes by what it hears.

use super::MS;
use crate::replicated_state::Limits;
use crate::rollback::Cell;
use gradepin_admission::Span;
use std::collections::BTreeMap;

/// What an operator sets of the controller.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerSettings {
    /// The most that may be out.
    pub limits: Limits,
    /// How long a server must have been ready before its permit is over.
    pub stabilization: Span,
    /// A server that wasn't heard for so long counts as out.
    pub fresh_for: Span,
    /// How far a clock may be off its rate, in millionths.
    pub max_drift_ppm: u64,
    /// For drills alone: everybody may always be out.
    pub ignore_limits: bool,
    /// What cells of the counts are called.
    pub cell_names: BTreeMap<Cell, String>,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            stabilization: Span(3_000 * MS),
            fresh_for: Span(2_000 * MS),
            max_drift_ppm: 10_000,
            ignore_limits: false,
            cell_names: BTreeMap::new(),
        }
    }
}
