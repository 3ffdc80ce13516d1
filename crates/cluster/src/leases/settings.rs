//! The operator's settings of leases, and how long a lender holds back what it lent.

use crate::MS;
use gradepin_admission::Span;

/// The duration and bounds of leases.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseSettings {
    /// How long the borrower may use the slots, counted from when it sent the request.
    pub duration: Span,
    /// Maximum duration of a call that uses a borrowed slot.
    pub max_call: Span,
    /// How long the upstream may go on with a call after the caller has closed the connection.
    pub upstream_linger: Span,
    /// Maximum deviation of a server's clock rate, in millionths.
    pub max_drift_ppm: u64,
    /// The fraction of the own share that may be lent, in thousandths.
    pub lendable_permille: u32,
    /// For drills only: uses leases past their expiry and holds nothing back after a restart. This violates
    /// the bound on slots in use, which shows that the drill detects a violation.
    pub ignore_expiry: bool,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Span(2_000 * MS),
            max_call: Span(1_500 * MS),
            upstream_linger: Span(200 * MS),
            max_drift_ppm: 10_000,
            lendable_permille: 700,
            ignore_expiry: false,
        }
    }
}

impl LeaseSettings {
    /// How long an amount counts as lent, by the lender's clock: the duration of the lease, of the last call
    /// and of its linger, scaled for the slowest permitted borrower's clock and the fastest permitted
    /// lender's clock.
    pub fn hold(&self) -> Span {
        if self.ignore_expiry {
            return self.duration;
        }
        let parts = [self.duration, self.max_call, self.upstream_linger];
        let total: u128 = parts.into_iter().map(|part| u128::from(part.0)).sum();
        let fast = 1_000_000 + self.max_drift_ppm;
        let slow = 1_000_000 - self.max_drift_ppm.min(999_999);
        nanos((total * u128::from(fast)).div_ceil(u128::from(slow)))
    }

    /// How long an abandoned call occupies its slot, by this server's clock, which may run fast.
    pub(super) fn linger(&self) -> Span {
        let linger = u128::from(self.upstream_linger.0);
        nanos(linger + linger * u128::from(self.max_drift_ppm) / 1_000_000 + 1)
    }

    /// The duration of a lease in ms, for the grant message.
    pub(super) fn duration_ms(&self) -> u32 {
        (self.duration.0 / MS) as u32
    }
}

/// A span of at most `u64::MAX` nanoseconds, since the platform's file doesn't bound the upstream linger.
fn nanos(nanos: u128) -> Span {
    Span(u64::try_from(nanos).unwrap_or(u64::MAX))
}
