//! Throttling by memory utilization.

use crate::common::*;
use gradepin_admission::{Outcome, throttling_percent};

#[test]
fn control_function_matches_the_memlimiter_values() {
    assert!((throttling_percent(0.5) - 2.0).abs() < 1e-9);
    assert!((throttling_percent(0.9) - 10.0).abs() < 1e-9);
    assert!((throttling_percent(0.95) - 20.0).abs() < 1e-9);
    assert_eq!(throttling_percent(0.995), 100.0);
    assert_eq!(throttling_percent(1.0), 100.0);
    assert_eq!(throttling_percent(1.7), 100.0);
}

/// Number of rejections among 600 arrivals at a constant memory utilization. Runs end at once, so that nothing but
/// throttling rejects requests.
fn rejections_at_utilization(utilization: f64) -> usize {
    let mut c = started_controller(base());
    for tick in 1..40 {
        at(&mut c, tick * 100, vec![timer(utilization)]);
    }
    let mut count = 0;
    for n in 0..600_u64 {
        let name = format!("r{n}");
        let out = arrive(&mut c, 4000 + n * 5, vec![read(&name)]);
        count += rejected(&out).len();
        at(&mut c, 4001 + n * 5, vec![timer(utilization), completed(&name, Outcome::Success)]);
    }
    count
}

#[test]
fn throttles_only_in_the_danger_zone() {
    assert_eq!(rejections_at_utilization(0.5), 0);
    assert_eq!(rejections_at_utilization(0.9), 0);
    let share = rejections_at_utilization(0.93) as f64 / 600.0;
    assert!((0.09..0.20).contains(&share), "expected a share of about 0.143, got {share}");
}
