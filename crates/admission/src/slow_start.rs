//! Slow start: the speed of cores that were started a short while ago.
//!
//! Cold cores begin at a share of their full speed and are fully warm after a time that the settings bound.
//! The slowest warming that the settings allow is assumed, or a cold server would take on what it does not
//! survive.

use crate::settings::Settings;
use crate::time::{Time, seconds_until, span_seconds};

/// Seconds; the least warming time, so that nothing is divided by 0.
const MIN_WARMING_SECONDS: f64 = 1e-9;

/// When the cores started. Whether they were cold then is in the settings (`specifics.just_started`).
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    cores_started_at: Time,
}

impl SlowStart {
    /// Begins anew, as the cores started at a time.
    pub(crate) fn restart(&mut self, at: Time) {
        self.cores_started_at = at;
    }

    /// Share of the cores' full speed that they have at least, 1 when warm.
    pub(crate) fn speed_share(&self, now: Time, settings: &Settings) -> f64 {
        let rules = &settings.rules;
        let warming_seconds = span_seconds(rules.warm_up_time).max(MIN_WARMING_SECONDS);
        let warmed = (seconds_until(self.cores_started_at, now) / warming_seconds).clamp(0.0, 1.0);
        let warmed = if settings.specifics.cold_start { warmed } else { 1.0 };
        rules.cold_capacity + (1.0 - rules.cold_capacity) * warmed
    }
}
