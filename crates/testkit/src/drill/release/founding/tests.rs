//! Answers of the founding that are lost, late or refused, without servers.

use super::*;

#[test]
fn a_lost_answer_is_asked_for_again_and_the_same_success_is_taken() {
    let mut answers = Answers::default();
    let refused = |text: &str| Some((409, text.to_string()));
    assert!(!answers.take(None));
    assert!(!answers.take(refused("n1 isn't heard")));
    assert!(!answers.take(Some((503, "the server did not answer in time".into()))));
    assert!(!answers.take(None));
    assert!(answers.take(Some((200, "a council of n0, n1, n2 is founded".into()))));
}

#[test]
fn a_failure_tells_each_answer_and_how_often_it_came() {
    let mut answers = Answers::default();
    for _ in 0..3 {
        assert!(!answers.take(Some((409, "n1 belongs to another group".into()))));
    }
    answers.take(None);
    assert_eq!(answers.summary(), "3 x '409: n1 belongs to another group', 1 x 'no answer'");
}

#[test]
fn a_failure_shows_the_latest_lines_that_tell_of_it() {
    let mut log = "INFO listens on 127.0.0.1:1\n".to_string();
    (0..20).for_each(|n| log.push_str(&format!("INFO council: line {n}\nINFO another thing\n")));
    let lines = excerpt("n0", &log);
    assert_eq!((lines.len(), lines[7].as_str()), (LOG_LINES, "  n0: INFO council: line 19"));
    assert!(excerpt("n0", "").is_empty());
}
