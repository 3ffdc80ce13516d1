//! Settings that determine how quickly the fleet detects a failure.

use crate::MS;
use gradepin_admission::Span;

/// The period and timeouts of SWIM's failure detector.
#[derive(Debug, Clone, PartialEq)]
pub struct FailureDetection {
    /// Interval between probes of one member each.
    pub probe_period: Span,
    /// Time without a reply to a probe after which other members are asked to probe.
    pub probe_timeout: Span,
    /// Time in which a suspected member must refute the suspicion, otherwise it is declared dead.
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
