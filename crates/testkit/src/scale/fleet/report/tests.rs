use super::*;

/// Guards against a figure of a host that couldn't keep up: it says by how much it was late, and isn't scored.
#[test]
fn a_late_host_is_not_scored_and_says_why() {
    let late = |p99_ms| Lateness { p50_ms: 0.1, p99_ms, most_ms: 900.0 };
    assert_eq!(not_scored(late(MOST_LATE_MS), 0.0), None, "one late turn in many is the machine's");
    let why = not_scored(late(41.5), 0.0).unwrap();
    assert!(why.starts_with("the host was late by 41.5 ms"), "{why}");
    let why = not_scored(late(1.0), 0.05).unwrap();
    assert!(why.contains("5.0% of the datagrams were lost"), "{why}");
}

/// Guards the budget: what is over it fails.
#[test]
fn a_budget_holds_up_to_its_bound() {
    assert!(Held::new("bytes", 4_000.0, 4_000.0).holds());
    assert!(!Held::new("bytes", 4_000.1, 4_000.0).holds());
}
