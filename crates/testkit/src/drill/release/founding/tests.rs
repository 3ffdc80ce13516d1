//! Responses to the founding call, without servers.

use super::*;

#[test]
fn lost_or_rejected_responses_are_retried_until_the_founding_succeeds() {
    let mut answers = Answers::default();
    let refused = |text: &str| Some((409, text.to_string()));
    assert!(!answers.record(None));
    assert!(!answers.record(refused("n1 isn't heard")));
    assert!(!answers.record(Some((503, "the server did not answer in time".into()))));
    assert!(!answers.record(None));
    assert!(answers.record(Some((200, "a council of n0, n1, n2 is founded".into()))));
}

#[test]
fn failure_summary_counts_each_distinct_response() {
    let mut answers = Answers::default();
    for _ in 0..3 {
        assert!(!answers.record(Some((409, "n1 belongs to another group".into()))));
    }
    answers.record(None);
    assert_eq!(answers.summary(), "3 x '409: n1 belongs to another group', 1 x 'no answer'");
}

#[test]
fn excerpt_shows_the_latest_log_lines_about_the_founding() {
    let mut log = "INFO listens on 127.0.0.1:1\n".to_string();
    (0..20).for_each(|n| log.push_str(&format!("INFO council: line {n}\nINFO another thing\n")));
    let lines = excerpt("n0", &log);
    assert_eq!((lines.len(), lines[7].as_str()), (LOG_LINES, "  n0: INFO council: line 19"));
    assert!(excerpt("n0", "").is_empty());
}
