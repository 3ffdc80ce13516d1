//! Slow start: the speed of cores that were started recently.
//!
//! Cold cores start at a fraction of their full speed and reach full speed within a time that the settings
//! bound. The slowest warm-up that the settings allow is assumed, because a cold server would otherwise admit
//! more than it survives.

use crate::settings::Settings;
use crate::time::{Time, seconds_until, span_seconds};

/// Lower bound of the warm-up time; avoids a division by 0.
const MIN_WARMING_SECONDS: f64 = 1e-9;

/// The start time of the cores. Whether they were cold is in the settings (`specifics.just_started`).
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    cores_started_at: Time,
}

impl SlowStart {
    /// Restarts the warm-up for cores that started at the given time.
    pub(crate) fn restart(&mut self, at: Time) {
        self.cores_started_at = at;
    }

    /// Guaranteed speed of the cores as a fraction of their full speed; 1 when they are warm.
    pub(crate) fn speed_share(&self, now: Time, settings: &Settings) -> f64 {
        let rules = &settings.rules;
        let warming_seconds = span_seconds(rules.warm_up_time).max(MIN_WARMING_SECONDS);
        let warmed = (seconds_until(self.cores_started_at, now) / warming_seconds).clamp(0.0, 1.0);
        let warmed = if settings.specifics.cold_start { warmed } else { 1.0 };
        rules.cold_capacity + (1.0 - rules.cold_capacity) * warmed
    }
}
