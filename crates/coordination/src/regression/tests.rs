//! Simulated rollouts: equal versions are rarely halted, and regressions are detected after the expected number of attempts.

use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Simulates reports of three servers with the new version and six with the old one, and returns the attempts with the new
/// version until a regression is detected. Each server's served fraction is offset by up to `uneven`.
fn attempts_until_detection(seed: u64, old: f64, new: f64, uneven: f64, reports: u32) -> Option<u64> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut uniform = move || (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    let mut detector = RegressionDetector::default();
    let mut totals = [ServiceTotal::default(); 9];
    let offsets: Vec<f64> = (0..9).map(|_| (uniform() - 0.5) * 2.0 * uneven).collect();
    for _ in 0..reports {
        for n in 0..9 {
            let served_fraction = if n < 3 { new } else { old } + offsets[n];
            for _ in 0..10 {
                totals[n].received += 1;
                totals[n].served += u32::from(uniform() < served_fraction);
            }
            detector.record_totals(
                &Arc::from(format!("n{n}")),
                1,
                Some(if n < 3 { Version::New } else { Version::Old }),
                &[(5, totals[n])],
            );
        }
        if let Some(worst) = detector.worst_regression(0.02) {
            assert_eq!(worst.cell, 5);
            return Some(worst.attempts);
        }
    }
    None
}

/// Guards against halts of rollouts without a regression: versions of equal service are compared 300 times per rollout, also
/// with servers that differ among themselves.
#[test]
fn equal_versions_are_rarely_halted() {
    let false_halts: usize =
        (0..200).filter(|seed| attempts_until_detection(*seed, 0.93, 0.93, 0.0, 300).is_some()).count();
    assert!(false_halts <= 1, "{false_halts} of 200");
    let false_halts: usize =
        (0..100).filter(|seed| attempts_until_detection(*seed, 0.9, 0.9, 0.02, 300).is_some()).count();
    assert!(false_halts <= 2, "{false_halts} of 100 where servers differ by 2%");
}

/// A class that isn't served at all is detected after tens of attempts, a fall by 5% after thousands: within a factor of 4 of
/// what [`attempts_needed`] predicts.
#[test]
fn detects_falls_after_about_the_attempts_needed() {
    let median_attempts = |new: f64| {
        let mut attempts: Vec<u64> = (0..21)
            .map(|seed| attempts_until_detection(seed, 0.97, new, 0.0, 2_000).unwrap_or(u64::MAX))
            .collect();
        attempts.sort_unstable();
        attempts[10]
    };
    let not_served = median_attempts(0.0);
    assert!((10..=60).contains(&not_served), "{not_served} attempts for one that serves nothing");
    let slight = median_attempts(0.92);
    let expected = attempts_needed(0.97, 0.05, 0.02).expect("it can be detected");
    assert!(slight > expected / 4 && slight < expected * 4, "{slight} attempts, {expected} expected");
    assert_eq!(attempts_needed(0.97, 0.02, 0.02), None);
    assert!(attempts_needed(0.97, 0.97, 0.02).is_some_and(|attempts| attempts < 60));
}

/// Guards against subtracting the totals of an earlier incarnation, and against counting attempts that belong to no version.
#[test]
fn counts_of_an_earlier_incarnation_are_not_subtracted() {
    let mut detector = RegressionDetector::default();
    let name: Name = Arc::from("n0");
    let total = |received, served| [(1, ServiceTotal { received, served })];
    detector.record_totals(&name, 1, Some(Version::Old), &total(1_000, 900));
    detector.record_totals(&name, 1, None, &total(2_000, 900));
    detector.record_totals(&name, 2, Some(Version::New), &total(30, 30));
    let sums = &detector.servers[&name].sums;
    assert_eq!(sums[&(Version::Old, 1)], AttemptSum { received: 1_000.0, served: 900.0 });
    assert_eq!(sums[&(Version::New, 1)], AttemptSum { received: 30.0, served: 30.0 });
}

/// Service that falls on all servers is reported as a fall of the fleet, although there is no version to compare.
#[test]
fn detects_a_fall_of_service_in_the_whole_fleet() {
    let mut detector = RegressionDetector::default();
    let name: Name = Arc::from("n0");
    let (mut received, mut served) = (0, 0);
    for step in 0..6 {
        detector.next_interval();
        (received, served) = (received + 500, served + if step < 4 { 480 } else { 330 });
        detector.record_totals(&name, 1, Some(Version::Old), &[(1, ServiceTotal { received, served })]);
        let falls = detector.fleet_fall(0.05);
        assert_eq!(falls.is_some(), step == 5, "step {step}: {falls:?}");
    }
    assert_eq!(detector.worst_regression(0.02), None, "there is no new version to compare");
}
