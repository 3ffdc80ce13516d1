use super::*;

const MS: u64 = 1_000_000;

fn id(n: usize) -> RequestId {
    RequestId::new(&format!("{n:016x}"))
}

/// Guards against a memory of ids that grows with the rate of runs.
#[test]
fn the_oldest_ids_are_forgotten_beyond_the_memory_limit() {
    let mut runs = StartedRuns::new(100 * ID_BYTES);
    (0..1_000).for_each(|n| runs.add(&id(n), Time(n as u64), Span(u64::MAX)));
    assert_eq!(runs.len(), 100);
    assert!(runs.contains(&id(999)) && runs.contains(&id(900)) && !runs.contains(&id(899)));
    runs.add(&id(999), Time(1_000), Span(u64::MAX));
    assert!(runs.contains(&id(900)), "an id that is there takes no other one's place");
}

/// Guards against ids that stay for as long as the process: each addition forgets expired ones.
#[test]
fn ids_are_forgotten_after_their_retention() {
    let mut runs = StartedRuns::new(1 << 20);
    for n in 0..500 {
        runs.add(&id(n), Time(n as u64 * 10 * MS), Span(1_000 * MS));
        assert!(runs.contains(&id(n)) && runs.contains(&id(n.saturating_sub(99))));
        assert!(runs.len() <= 101, "{}", runs.len());
    }
}
