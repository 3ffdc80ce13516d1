//! What an operator sets of leases, and how long a lender holds back what it lent.

use crate::MS;
use gradepin_admission::Span;

/// How leases are made.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseSettings {
    /// How long the borrower may use what it borrowed, counted from when it sent the request.
    pub duration: Span,
    /// How long one call may take that is made with a borrowed slot.
    pub max_call: Span,
    /// How long the upstream goes on with a call whose caller has hung up.
    pub upstream_linger: Span,
    /// How far a clock may be off its rate, in millionths.
    pub max_drift_ppm: u64,
    /// The part of the own share that may be lent, in thousandths.
    pub lendable_permille: u32,
    /// For drills alone: leases are used past their expiry, and what was lent before a restart is not held back. It
    /// shows what the rules are for, and must break the bound.
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
    /// How long a lender counts what it lent as spent, on its own clock: the duration, the last call and its linger,
    /// stretched from a borrower's slowest clock to a lender's fastest.
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

    /// How long an abandoned call holds its slot here, by a clock that may be fast.
    pub(super) fn linger(&self) -> Span {
        let linger = u128::from(self.upstream_linger.0);
        nanos(linger + linger * u128::from(self.max_drift_ppm) / 1_000_000 + 1)
    }

    /// The duration as it is written into a grant, in ms.
    pub(super) fn duration_ms(&self) -> u32 {
        (self.duration.0 / MS) as u32
    }
}

/// A span, capped at the longest that fits: the platform's file may name an upstream linger of any length.
fn nanos(nanos: u128) -> Span {
    Span(u64::try_from(nanos).unwrap_or(u64::MAX))
}
