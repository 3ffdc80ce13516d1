//! A token bucket that limits bytes per second.

use gradepin_admission::{Span, Time, span_seconds};

/// Fraction of the capacity above which the bucket counts as full, so that a rounding error doesn't block a large message.
const FULL_FRACTION: f64 = 0.999;

/// A token bucket whose tokens are bytes.
#[derive(Debug, Clone)]
pub struct Budget {
    bytes_per_second: f64,
    capacity_bytes: f64,
    available_bytes: f64,
    refilled_at: Time,
}

impl Budget {
    /// A full bucket whose capacity is the bytes of `burst_seconds` at its rate.
    pub fn new(bytes_per_second: f64, burst_seconds: f64, now: Time) -> Self {
        let capacity_bytes = bytes_per_second * burst_seconds;
        Self { bytes_per_second, capacity_bytes, available_bytes: capacity_bytes, refilled_at: now }
    }

    fn refill(&mut self, now: Time) {
        if now > self.refilled_at {
            let refill = self.bytes_per_second * span_seconds(Span(now.0 - self.refilled_at.0));
            self.available_bytes = (self.available_bytes + refill).min(self.capacity_bytes);
            self.refilled_at = now;
        }
    }

    /// Takes `bytes` if at least `reserve`, a fraction of the capacity, remains available. Less urgent traffic leaves a reserve
    /// for more urgent traffic. Returns whether the bytes were taken.
    pub fn take(&mut self, now: Time, bytes: usize, reserve: f64) -> bool {
        self.refill(now);
        let is_available = self.available_bytes - bytes as f64 >= reserve * self.capacity_bytes;
        // A message larger than the capacity could otherwise never be sent: it is allowed when the bucket is full, and leaves
        // the bucket with a negative balance.
        let exceeds_capacity = bytes as f64 > self.capacity_bytes * (1.0 - reserve);
        let is_full = self.available_bytes >= self.capacity_bytes * FULL_FRACTION;
        let taken = is_available || exceeds_capacity && is_full;
        if taken {
            self.available_bytes -= bytes as f64;
        }
        taken
    }

    /// Returns bytes that were taken and not used, up to the capacity.
    pub fn give_back(&mut self, bytes: usize) {
        self.available_bytes = (self.available_bytes + bytes as f64).min(self.capacity_bytes);
    }
}
