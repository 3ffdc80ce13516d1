//! Points in time on the server's clock, lengths of time, and their arithmetic, all in nanoseconds.
//!
//! Sums and differences saturate at the start and the end of the clock.

use crate::numbers::whole_part;
use serde::{Deserialize, Deserializer, Serialize};

/// A point in time on the server's clock, in nanoseconds. The clock starts at any value and never goes back.
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

/// A length of time in seconds.
pub fn span_seconds(span: Span) -> f64 {
    span.0 as f64 / 1e9
}
/// The length of time of the given seconds; a negative number counts as 0.
pub fn span_from_seconds(seconds: f64) -> Span {
    Span((seconds.max(0.0) * 1e9) as u64)
}
/// The point in time that is later by the given length.
pub fn time_after(time: Time, span: Span) -> Time {
    Time(time.0.saturating_add(span.0))
}
/// The point in time that is earlier by the given length.
pub fn time_before(time: Time, span: Span) -> Time {
    Time(time.0.saturating_sub(span.0))
}
/// Seconds from one point in time to another; negative if `to` is earlier than `from`.
pub fn seconds_until(from: Time, to: Time) -> f64 {
    (to.0 as f64 - from.0 as f64) / 1e9
}
