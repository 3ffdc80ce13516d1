use super::*;

const MS: u64 = 1_000_000;

fn at(ms: u64) -> Time {
    Time(ms * MS)
}

/// A request sent at 100, readable at 110, read at 300, taken at 320, in its run from 330 on.
fn timeline(due_ms: u64) -> RequestTimeline {
    let receipt = Receipt { unread_since: Some(at(110)), read_at: Some(at(300)), wait: ReadWait::RateLimit };
    let mut timeline = RequestTimeline::new(receipt, at(100), at(320), at(due_ms));
    timeline.enter(Stage::RunStart, at(330));
    timeline.enter(Stage::Run, at(340));
    timeline.enter(Stage::Run, at(400));
    timeline
}

#[test]
fn names_the_stage_in_which_the_response_was_due() {
    let stages = [105, 110, 299, 300, 320, 335, 340, 900].map(|due_ms| timeline(due_ms).stage_when_due());
    let unread = Stage::Unread(ReadWait::RateLimit);
    let queue = Stage::InputQueue;
    let expected =
        [Stage::Sending, unread, unread, queue, Stage::Decision, Stage::RunStart, Stage::Run, Stage::Run];
    assert_eq!(stages, expected);
}

#[test]
fn a_request_did_not_wait_before_it_was_sent_or_without_a_receipt() {
    let receipt = Receipt { unread_since: Some(at(10)), read_at: Some(at(150)), wait: ReadWait::Turn };
    assert_eq!(RequestTimeline::new(receipt, at(100), at(160), at(500)).read_wait(), Span(50 * MS));
    let unknown = RequestTimeline::new(Receipt::default(), at(100), at(160), at(500));
    assert_eq!((unknown.read_wait(), unknown.lateness(at(500))), (Span(0), None));
    assert_eq!(unknown.lateness(at(501)), Some(Span(MS)));
}

#[test]
fn shows_each_stage_with_its_length() {
    let shown = timeline(500).to_string();
    let expected = "sending 10.0, unread, connection paused 190.0, input queue 20.0, decision 10.0, \
                    start of the run 10.0, run";
    assert_eq!(shown, expected);
}
