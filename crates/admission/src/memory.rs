//! The memory account of the server: what its requests and the table of idempotency keys take, in kilobytes.
//!
//! What this module reserves is known exactly. What the gauge shows beyond it (connections, the program
//! itself) is estimated and kept free: a server that needs more than its memory dies.

/// Share of the memory that reservations and the unaccounted part may fill.
const USABLE_SHARE: f64 = 0.96;
/// Per sampling period; by which the estimate of the unaccounted part falls while the gauge shows less.
const UNACCOUNTED_DECAY: f64 = 0.9;

/// What is reserved, and the estimate of what else is in use.
#[derive(Debug, Default)]
pub(crate) struct MemoryAccount {
    reserved_kb: f64,
    unaccounted_kb: f64,
}

impl MemoryAccount {
    /// Reserves memory; whether it fits was asked before.
    pub(crate) fn reserve(&mut self, kb: f64) {
        self.reserved_kb += kb;
    }

    /// Releases as much as was reserved before.
    pub(crate) fn release(&mut self, kb: f64) {
        self.reserved_kb -= kb;
    }

    /// Replaces the sum of all reservations, after the sizes that it is made of have changed.
    pub(crate) fn set_reserved(&mut self, kb: f64) {
        self.reserved_kb = kb;
    }

    /// Takes in the gauge of one sampling period, where there is one, and returns the utilization from 0 up.
    pub(crate) fn sample(&mut self, gauge_share: Option<f64>, memory_kb: f64) -> f64 {
        let reserved_share = self.reserved_kb / memory_kb;
        let utilization = gauge_share.unwrap_or(reserved_share);
        let beyond_reserved = ((utilization - reserved_share) * memory_kb).max(0.0);
        self.unaccounted_kb = if beyond_reserved > self.unaccounted_kb {
            beyond_reserved
        } else {
            self.unaccounted_kb * UNACCOUNTED_DECAY
        };
        utilization
    }

    /// Kilobytes that all reservations together may come to; below 0 when the unaccounted part takes it all.
    pub(crate) fn reservable_kb(&self, memory_kb: f64) -> f64 {
        memory_kb * USABLE_SHARE - self.unaccounted_kb
    }

    /// Kilobytes that may still be reserved.
    pub(crate) fn free_kb(&self, memory_kb: f64) -> f64 {
        memory_kb * USABLE_SHARE - self.reserved_kb - self.unaccounted_kb
    }

    /// Whether what is reserved and so much more exceeds a bound.
    pub(crate) fn exceeds(&self, bound_kb: f64, more_kb: f64) -> bool {
        self.reserved_kb + more_kb > bound_kb
    }
}
