use super::*;

/// A run with a late host or lost datagrams isn't scored, and the reason has the measured value.
#[test]
fn run_with_a_late_host_is_not_scored() {
    let late = |p99_ms| Lateness { p50_ms: 0.1, p99_ms, most_ms: 900.0 };
    assert_eq!(not_scored(late(MAX_LATE_MS), 0.0), None, "one late turn in many is the machine's");
    let why = not_scored(late(41.5), 0.0).unwrap();
    assert!(why.starts_with("the host was late by 41.5 ms"), "{why}");
    let why = not_scored(late(1.0), 0.05).unwrap();
    assert!(why.contains("5.0% of the datagrams were lost"), "{why}");
}

/// A value above its budget fails.
#[test]
fn budget_holds_up_to_its_limit() {
    assert!(BudgetCheck::new("bytes", 4_000.0, 4_000.0).holds());
    assert!(!BudgetCheck::new("bytes", 4_000.1, 4_000.0).holds());
}
