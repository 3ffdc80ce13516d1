use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

fn all(wheel: &mut TimerWheel<u64>, now: Time) -> Vec<u64> {
    let mut out = Vec::new();
    loop {
        match wheel.next_due(now, &mut 7) {
            DueEntry::Entry(entry) => out.push(entry),
            DueEntry::BudgetUsedUp => {}
            DueEntry::None => return out,
        }
    }
}

/// Compares the wheel with an ordered set, for any steps of time, including more than one turn. Guards against entries
/// that are lost, returned early, or returned more than one tick late.
#[test]
fn exactly_the_due_entries_are_returned() {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(5);
    println!("SEED={seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut wheel, mut expected) = (TimerWheel::default(), BTreeSet::new());
    let mut now = 0_u64;
    for n in 0..20_000_u64 {
        for _ in 0..rng.next_u64() % 4 {
            let due = now + rng.next_u64() % (TICK.0 * SLOTS as u64 * 3);
            wheel.insert(Time(due), n << 3 | expected.len() as u64 & 7);
            expected.insert((due, n << 3 | expected.len() as u64 & 7));
        }
        let step = if n % 500 == 0 { TICK.0 * SLOTS as u64 * 2 } else { TICK.0 };
        now += rng.next_u64() % step;
        let mut returned = all(&mut wheel, Time(now));
        returned.sort_unstable();
        let due: Vec<u64> = expected.iter().filter(|(due, _)| *due <= now).map(|(_, n)| *n).collect();
        for entry in &returned {
            assert!(due.contains(entry), "entry {entry} was returned early");
        }
        let overdue = expected.iter().filter(|(due, _)| due + TICK.0 <= now).map(|(_, n)| *n);
        for entry in overdue {
            assert!(returned.binary_search(&entry).is_ok(), "entry {entry} was not returned in time");
        }
        expected.retain(|(_, n)| returned.binary_search(n).is_err());
        assert_eq!(wheel.len(), expected.len());
    }
}

/// Guards against a pause that grows with the number of entries due at the same time.
#[test]
fn search_is_limited_by_its_budget() {
    let mut wheel = TimerWheel::default();
    (0..100_000_u64).for_each(|n| wheel.insert(Time(1), n));
    let (mut budget, mut returned) = (256, 0);
    while let DueEntry::Entry(_) = wheel.next_due(Time(u64::MAX / 2), &mut budget) {
        returned += 1;
    }
    assert!(budget == 0 && returned <= 256 && wheel.len() == 100_000 - returned);
}
