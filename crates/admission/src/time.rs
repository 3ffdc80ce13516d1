//! Points on the server's clock and lengths of time, both in nanoseconds, and the arithmetic of them.
//!
//! Sums saturate: a point before the clock's start, or past its end, is the start or the end.

use crate::numbers::whole_part;
use serde::{Deserialize, Deserializer, Serialize};

/// A point on the server's clock, in nanoseconds. The clock begins at any value and never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A length of time in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
#[serde(transparent)]
pub struct Span(pub u64);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        whole_part(deserializer).map(Span)
    }
}

/// Seconds of a length of time.
pub fn span_seconds(span_from_seconds: Span) -> f64 {
    span_from_seconds.0 as f64 / 1e9
}
/// A length of time from seconds; negative ones count as 0.
pub fn span_from_seconds(span_seconds: f64) -> Span {
    Span((span_seconds.max(0.0) * 1e9) as u64)
}
/// The point in time that lies so much later.
pub fn time_after(t: Time, s: Span) -> Time {
    Time(t.0.saturating_add(s.0))
}
/// The point in time that lies so much earlier.
pub fn time_before(t: Time, s: Span) -> Time {
    Time(t.0.saturating_sub(s.0))
}
/// Seconds from one point in time to another; below 0 if the other is the earlier.
pub fn seconds_until(from: Time, to: Time) -> f64 {
    (to.0 as f64 - from.0 as f64) / 1e9
}
