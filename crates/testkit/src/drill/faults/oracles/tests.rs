use super::super::record::{Pause, Record};
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

/// The time in which a process was stopped is not counted against an answer, and no other pause excuses it.
#[test]
fn an_answer_is_late_by_its_due_time_and_the_pauses_since_its_request() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let late_ms = |pauses: &[(u64, u64)]| {
        let record = Record::default();
        let mut entries = record.entries();
        entries.request(Request {
            rid: "1".into(),
            class: settings::READ,
            body: Vec::new(),
            token: None,
            connected: at(0),
            written: Some(at(1_000)),
            due: Duration::from_millis(100),
            owed: true,
            answers: vec![(at(1_150), Answer::Bad)],
            ended: None,
            hang: None,
            sent_again: false,
        });
        let pauses = pauses.iter().map(|&(from, until)| Pause { from: at(from), until: at(until) });
        entries.pauses.extend(pauses);
        answers("n1", &entries).1.max_delay.as_millis()
    };
    assert_eq!(late_ms(&[]), 50);
    assert_eq!(late_ms(&[(0, 900), (1_200, 3_000)]), 50, "pauses before and after");
    assert_eq!(late_ms(&[(900, 1_020)]), 30);
    assert_eq!(late_ms(&[(1_010, 1_060)]), 0);
}
