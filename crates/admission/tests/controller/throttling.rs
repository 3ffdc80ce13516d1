//! Throttling by memory utilization.

use crate::common::*;
use gradepin_admission::{Outcome, throttling_percent};

#[test]
fn control_function_gives_the_figures_of_its_source() {
    assert!((throttling_percent(0.5) - 2.0).abs() < 1e-9);
    assert!((throttling_percent(0.9) - 10.0).abs() < 1e-9);
    assert!((throttling_percent(0.95) - 20.0).abs() < 1e-9);
    assert_eq!(throttling_percent(0.995), 100.0);
    assert_eq!(throttling_percent(1.0), 100.0);
    assert_eq!(throttling_percent(1.7), 100.0);
}

/// Refusals among 600 arrivals under a steady gauge; runs end at once, so nothing else refuses.
fn rejections_at_utilization(heap: f64) -> usize {
    let mut c = started(base());
    for tick in 1..40 {
        at(&mut c, tick * 100, vec![timer(heap)]);
    }
    let mut count = 0;
    for n in 0..600_u64 {
        let name = format!("r{n}");
        let out = arrive(&mut c, 4000 + n * 5, vec![read(&name)]);
        count += refused(&out).len();
        at(&mut c, 4001 + n * 5, vec![timer(heap), done(&name, Outcome::Success)]);
    }
    count
}

#[test]
fn throttles_past_the_danger_zone_only() {
    assert_eq!(rejections_at_utilization(0.5), 0);
    assert_eq!(rejections_at_utilization(0.9), 0);
    let share = rejections_at_utilization(0.93) as f64 / 600.0;
    assert!((0.09..0.20).contains(&share), "share {share} of 0.143 expected");
}
