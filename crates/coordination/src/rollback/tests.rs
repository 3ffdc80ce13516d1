//! Sound versions are kept, worse ones are seen.

use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Plays so many reports of three new and six old servers; when the halt came, in tries of the new ones.
fn play(seed: u64, old: f64, new: f64, uneven: f64, reports: u32) -> Option<u64> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut unit = move || (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    let mut watch = RegressionDetector::default();
    let mut totals = [ServiceTotal::default(); 9];
    let own: Vec<f64> = (0..9).map(|_| (unit() - 0.5) * 2.0 * uneven).collect();
    for _ in 0..reports {
        for n in 0..9 {
            let share = if n < 3 { new } else { old } + own[n];
            for _ in 0..10 {
                totals[n].came += 1;
                totals[n].served += u32::from(unit() < share);
            }
            watch.told(&Arc::from(format!("n{n}")), 1, Some(n < 3), &[(5, totals[n])]);
        }
        if let Some(worse) = watch.worse(0.02) {
            assert_eq!(worse.cell, 5);
            return Some(worse.tries);
        }
    }
    None
}

/// Guards sound releases: looked at a thousand times each, few are halted in vain, also where servers differ among
/// themselves.
#[test]
fn sound_versions_are_hardly_ever_halted() {
    let vain: usize = (0..200).filter(|seed| play(*seed, 0.93, 0.93, 0.0, 300).is_some()).count();
    assert!(vain <= 1, "{vain} of 200");
    let vain: usize = (0..100).filter(|seed| play(*seed, 0.9, 0.9, 0.02, 300).is_some()).count();
    assert!(vain <= 2, "{vain} of 100 where servers differ by 2%");
}

/// Guards the other side: a class that is turned away is seen after some ten to twenty tries, one that is served 5% worse after
/// some thousand; about as `needed` says.
#[test]
fn falls_are_seen_after_as_many_tries_as_told() {
    let middle = |new: f64| {
        let mut tries: Vec<u64> =
            (0..21).map(|seed| play(seed, 0.97, new, 0.0, 2_000).unwrap_or(u64::MAX)).collect();
        tries.sort_unstable();
        tries[10]
    };
    let away = middle(0.0);
    assert!((10..=60).contains(&away), "{away} tries for one that serves nothing");
    let slight = middle(0.92);
    let told = needed(0.97, 0.05, 0.02).expect("it can be seen");
    assert!(slight > told / 4 && slight < told * 4, "{slight} tries, {told} told");
    assert_eq!(needed(0.97, 0.02, 0.02), None);
    assert!(needed(0.97, 0.97, 0.02).is_some_and(|tries| tries < 60));
}

/// Guards against counts of an earlier life, and against those that no version can be told of.
#[test]
fn a_new_life_counts_from_nothing() {
    let mut watch = RegressionDetector::default();
    let name: Name = Arc::from("n0");
    let total = |came, served| [(1, ServiceTotal { came, served })];
    watch.told(&name, 1, Some(false), &total(1_000, 900));
    watch.told(&name, 1, None, &total(2_000, 900));
    watch.told(&name, 2, Some(true), &total(30, 30));
    let sums = &watch.servers[&name].sums;
    assert_eq!(sums[&(false, 1)], Sum { came: 1_000.0, served: 900.0 });
    assert_eq!(sums[&(true, 1)], Sum { came: 30.0, served: 30.0 });
}

/// Guards the fleet: service that falls everywhere halts whoever is at fault.
#[test]
fn a_fall_of_the_whole_fleet_is_seen() {
    let mut watch = RegressionDetector::default();
    let name: Name = Arc::from("n0");
    let (mut came, mut served) = (0, 0);
    for step in 0..6 {
        watch.next_step();
        (came, served) = (came + 500, served + if step < 4 { 480 } else { 330 });
        watch.told(&name, 1, Some(false), &[(1, ServiceTotal { came, served })]);
        let falls = watch.fleet_falls(0.05);
        assert_eq!(falls.is_some(), step == 5, "step {step}: {falls:?}");
    }
    assert_eq!(watch.worse(0.02), None, "there is nothing to hold it against");
}
