//! The memory account of the server in kilobytes: open requests and the table of idempotency keys.
//!
//! Reservations are exact. Memory that the gauge shows beyond them (connections, the program itself) is
//! estimated and kept free, because a server that exceeds its memory fails.

/// Fraction of the memory that reservations and unaccounted memory together may fill.
const USABLE_SHARE: f64 = 0.96;
/// Factor applied to the estimate of unaccounted memory per sampling period while the gauge shows less.
const UNACCOUNTED_DECAY: f64 = 0.9;

/// The memory that is reserved, and an estimate of the other memory in use.
#[derive(Debug, Default)]
pub(crate) struct MemoryAccount {
    reserved_kb: f64,
    unaccounted_kb: f64,
}

impl MemoryAccount {
    /// Reserves memory. The caller has checked that it fits.
    pub(crate) fn reserve(&mut self, kb: f64) {
        self.reserved_kb += kb;
    }

    /// Releases memory that was reserved before.
    pub(crate) fn release(&mut self, kb: f64) {
        self.reserved_kb -= kb;
    }

    /// Replaces the sum of all reservations, after the sizes of requests or keys have changed.
    pub(crate) fn set_reserved(&mut self, kb: f64) {
        self.reserved_kb = kb;
    }

    /// Updates the estimate from the gauge, if present. Returns the memory utilization, which may exceed 1.
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

    /// Upper bound of all reservations, in kilobytes; below 0 if unaccounted memory fills the usable memory.
    pub(crate) fn reservable_kb(&self, memory_kb: f64) -> f64 {
        memory_kb * USABLE_SHARE - self.unaccounted_kb
    }

    /// Kilobytes that may still be reserved; may be below 0.
    pub(crate) fn free_kb(&self, memory_kb: f64) -> f64 {
        memory_kb * USABLE_SHARE - self.reserved_kb - self.unaccounted_kb
    }

    /// Whether the reservations and `more_kb` together exceed the bound.
    pub(crate) fn exceeds(&self, bound_kb: f64, more_kb: f64) -> bool {
        self.reserved_kb + more_kb > bound_kb
    }
}
