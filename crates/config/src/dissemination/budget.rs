//! Bytes a second, as a token bucket.

use gradepin_admission::{Span, Time, span_from_seconds, span_seconds, time_after};

/// A bucket of bytes.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: f64,
    most: f64,
    left: f64,
    at: Time,
}

impl Budget {
    /// A full bucket: `rate` bytes a second, `seconds` of them at once at the most.
    pub fn new(rate: f64, seconds: f64, now: Time) -> Self {
        Self { rate, most: rate * seconds, left: rate * seconds, at: now }
    }

    fn refill(&mut self, now: Time) {
        if now > self.at {
            self.left = (self.left + self.rate * span_seconds(Span(now.0 - self.at.0))).min(self.most);
            self.at = now;
        }
    }

    /// Takes so many bytes, if a part of the bucket stays: what can wait leaves some for what can't.
    pub fn take(&mut self, now: Time, bytes: usize, reserve: f64) -> bool {
        self.refill(now);
        let fits = self.left - bytes as f64 >= reserve * self.most;
        // One message that is larger than the bucket goes when the bucket is full, and is paid for after.
        let large = bytes as f64 > self.most * (1.0 - reserve) && self.left >= self.most * 0.999;
        if fits || large {
            self.left -= bytes as f64;
        }
        fits || large
    }

    /// Gives back what was taken for something that came to less.
    pub fn give_back(&mut self, bytes: usize) {
        self.left = (self.left + bytes as f64).min(self.most);
    }

    /// When so many bytes can be taken.
    pub fn ready_at(&self, bytes: usize, reserve: f64) -> Time {
        let missing = bytes as f64 + reserve * self.most - self.left;
        if missing <= 0.0 || self.rate <= 0.0 {
            self.at
        } else {
            time_after(self.at, span_from_seconds(missing / self.rate))
        }
    }
}
