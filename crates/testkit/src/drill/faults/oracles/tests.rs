use super::super::record::Record;
use super::*;
use std::time::{Duration, Instant};

/// Guards against a verdict that hangs on who is quicker: a client may see the end of a killed server's connection before the
/// drill knows that the process has ended; and against a check that a server owes after its new start and that is excused.
#[test]
fn a_health_check_of_a_killed_server_is_excused_whenever_its_end_is_told() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let closed = || Err("closed with no answer".to_string());
    let record = Record::default();
    record.entries().kills.push(at(10));
    record.check_on(at(11), "a health check", closed());
    let (failures, _) = answers("n1", &record.entries());
    assert_eq!(failures.len(), 1, "the process may have ended by then");
    record.entries().kills.push(at(12));
    let (failures, _) = answers("n1", &record.entries());
    assert!(failures.is_empty(), "{failures:?}");
    record.check_on(at(13), "a health check", closed());
    record.check("the operators' call", closed());
    let (failures, _) = answers("n1", &record.entries());
    assert_eq!(failures.len(), 2, "{failures:?}");
}
