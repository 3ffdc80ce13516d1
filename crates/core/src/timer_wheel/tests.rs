use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;

fn all(wheel: &mut TimerWheel<u64>, now: Time) -> Vec<u64> {
    let mut out = Vec::new();
    loop {
        match wheel.next_due(now, &mut 7) {
            DueEntry::Entry(entry) => out.push(entry),
            DueEntry::Later => {}
            DueEntry::None => return out,
        }
    }
}

/// Guards against an entry that is lost, comes out early, or later than a tick, by comparison with an ordered set; whatever the
/// steps of time, also over more than one turn.
#[test]
fn due_entries_come_out_and_no_others() {
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
            assert!(due.contains(entry), "{entry} came early");
        }
        let overdue = expected.iter().filter(|(due, _)| due + TICK.0 <= now).map(|(_, n)| *n);
        for entry in overdue {
            assert!(returned.binary_search(&entry).is_ok(), "{entry} didn't come");
        }
        expected.retain(|(_, n)| returned.binary_search(n).is_err());
        assert_eq!(wheel.len(), expected.len());
    }
}

/// Guards against a pause that grows with the entries that are due at once.
#[test]
fn look_is_bounded_by_its_budget() {
    let mut wheel = TimerWheel::default();
    (0..100_000_u64).for_each(|n| wheel.insert(Time(1), n));
    let (mut budget, mut returned) = (256, 0);
    while let DueEntry::Entry(_) = wheel.next_due(Time(u64::MAX / 2), &mut budget) {
        returned += 1;
    }
    assert!(budget == 0 && returned <= 256 && wheel.len() == 100_000 - returned);
}
