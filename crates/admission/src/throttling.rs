//! Request throttling by memory utilization, as in the `nextgc` controller of MemLimiter.
//!
//! Each sampling period, the memory utilization gives `Kp = Cp / (1 - utilization)`, saturated to 0..100 per
//! cent and smoothed by an exponential average. While the utilization is in the danger zone, that percentage
//! of the arriving requests, chosen at random, is rejected on arrival.
//!
//! Source: "MemLimiter: library to limit memory consumption of Go services", the control function and
//! `DangerZoneThrottling`.

use crate::random::RandomSource;

/// The coefficient `Cp`, in per cent: 10 % of requests are throttled at a utilization of 0.9, all at 0.99.
const PROPORTIONAL_COEFFICIENT: f64 = 1.0;
/// Utilization above which requests are throttled (`DangerZoneThrottling`).
const DANGER_ZONE_UTILIZATION: f64 = 0.9;
/// Weight of a new sample in the exponential average, which spans about three sampling periods.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Output of the control function for a memory utilization, in per cent of the arriving requests and without
/// regard to the danger zone. A utilization of 1 or more gives 100.
pub fn throttling_percent(utilization: f64) -> f64 {
    if utilization >= 1.0 {
        100.0
    } else {
        (PROPORTIONAL_COEFFICIENT / (1.0 - utilization)).clamp(0.0, 100.0)
    }
}

/// Smooths the control function and chooses the requests to reject.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    /// Exponential average of the control function's output, in per cent.
    smoothed_output: f64,
    /// Percentage of the arriving requests to reject; 0 outside the danger zone.
    rejected_percent: f64,
}

impl Throttle {
    /// Updates the throttle with the utilization of a sampling period. Returns whether throttling starts.
    pub(crate) fn sample(&mut self, utilization: f64) -> bool {
        self.smoothed_output += SAMPLE_WEIGHT * (throttling_percent(utilization) - self.smoothed_output);
        let in_danger_zone = utilization > DANGER_ZONE_UTILIZATION;
        let rejected_percent = if in_danger_zone { self.smoothed_output } else { 0.0 };
        let starts = rejected_percent > 0.0 && self.rejected_percent == 0.0;
        self.rejected_percent = rejected_percent;
        starts
    }

    /// Whether to reject an arriving request. Draws a random number only while throttling.
    pub(crate) fn picks_request(&self, random: &mut RandomSource) -> bool {
        self.rejected_percent > 0.0 && random.unit_interval() * 100.0 < self.rejected_percent
    }
}
