//! How quickly the fleet notices a failure.

use crate::MS;
use gradepin_admission::Span;

/// The periods of SWIM's failure detector.
#[derive(Debug, Clone, PartialEq)]
pub struct FailureDetection {
    /// Between probes, of one member each.
    pub probe_period: Span,
    /// How long an answer may take before others are asked to probe.
    pub probe_timeout: Span,
    /// How long a suspect has to refute the suspicion.
    pub suspicion_timeout: Span,
}

impl Default for FailureDetection {
    fn default() -> Self {
        Self {
            probe_period: Span(1_000 * MS),
            probe_timeout: Span(400 * MS),
            suspicion_timeout: Span(4_000 * MS),
        }
    }
}
