use super::super::record::Record;
use super::*;
use std::time::{Duration, Instant};

/// A client may see a killed server's connection close before the drill knows that the process has ended; the verdict
/// must not depend on this order. A check after the restart is owed an answer.
#[test]
fn health_check_of_a_killed_server_is_excused_whenever_the_kill_is_recorded() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let closed = || Err("closed with no answer".to_string());
    let record = Record::default();
    record.entries().kills.push(at(10));
    record.check_on(at(11), "a health check", closed());
    let (failures, _) = answers("n1", &record.entries());
    assert_eq!(failures.len(), 1, "the connection was opened after the recorded kill");
    record.entries().kills.push(at(12));
    let (failures, _) = answers("n1", &record.entries());
    assert!(failures.is_empty(), "{failures:?}");
    record.check_on(at(13), "a health check", closed());
    record.check("the operators' call", closed());
    let (failures, _) = answers("n1", &record.entries());
    assert_eq!(failures.len(), 2, "{failures:?}");
}
