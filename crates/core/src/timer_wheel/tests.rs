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

/// Guards against an entry that is lost, comes early, or comes later than a tick: beside an ordered set, whatever
/// the steps of time, more than one turn ahead included.
#[test]
fn due_entries_come_out_and_no_others() {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(5);
    println!("SEED={seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut wheel, mut plain) = (TimerWheel::default(), BTreeSet::new());
    let mut now = 0_u64;
    for n in 0..20_000_u64 {
        for _ in 0..rng.next_u64() % 4 {
            let due = now + rng.next_u64() % (TICK.0 * SLOTS as u64 * 3);
            wheel.insert(Time(due), n << 3 | plain.len() as u64 & 7);
            plain.insert((due, n << 3 | plain.len() as u64 & 7));
        }
        let step = if n % 500 == 0 { TICK.0 * SLOTS as u64 * 2 } else { TICK.0 };
        now += rng.next_u64() % step;
        let mut came = all(&mut wheel, Time(now));
        came.sort_unstable();
        let due: Vec<u64> = plain.iter().filter(|(due, _)| *due <= now).map(|(_, n)| *n).collect();
        for entry in &came {
            assert!(due.contains(entry), "{entry} came early");
        }
        let overdue = plain.iter().filter(|(due, _)| due + TICK.0 <= now).map(|(_, n)| *n);
        for entry in overdue {
            assert!(came.binary_search(&entry).is_ok(), "{entry} didn't come");
        }
        plain.retain(|(_, n)| came.binary_search(n).is_err());
        assert_eq!(wheel.len(), plain.len());
    }
}

/// Guards against a pause that grows with what is due at once.
#[test]
fn look_is_bounded_by_its_budget() {
    let mut wheel = TimerWheel::default();
    (0..100_000_u64).for_each(|n| wheel.insert(Time(1), n));
    let (mut budget, mut came) = (256, 0);
    while let DueEntry::Entry(_) = wheel.next_due(Time(u64::MAX / 2), &mut budget) {
        came += 1;
    }
    assert!(budget == 0 && came <= 256 && wheel.len() == 100_000 - came);
}
