//! A refusal promises that nothing ran. Each state of the store is tried with a key that nobody is known to have run.

mod support;

use gradepin_admission::Span;
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::idempotency_log::{IdempotencyLog, RecoveredRuns, SavedOutcome, SavedRun};
use gradepin_core::messages::{ClientRequest, Effect, Input, Response};
use gradepin_core::reducer::Reducer;
use std::sync::Arc;
use support::{MS, step};

/// Slots of the classes in the settings.
const READ: usize = 0;
const KEYED: usize = 1;

/// A server with a store, its first client connection, and its clock.
struct Server {
    reducer: Reducer,
    now_ms: u64,
    requests: i32,
}

impl Server {
    fn with_store() -> Self {
        let log = IdempotencyLog::opening(Span(250 * MS));
        let reducer = support::reducer().with_store(log, BufferPool::new(0));
        let mut server = Self { reducer, now_ms: 9_000, requests: 0 };
        server.step(vec![Input::ConnectionOpened(1)]);
        server
    }

    fn with_processor() -> Self {
        let mut server = Self::with_store();
        server.step(vec![Input::LinkUp { link: 1, cold: false, age: Span(0) }]);
        server
    }

    fn step(&mut self, inputs: Vec<Input>) -> Vec<Effect> {
        self.now_ms += 10;
        step(&mut self.reducer, self.now_ms, inputs)
    }

    fn recover(&mut self, recovered: RecoveredRuns) {
        self.step(vec![Input::StoreRecovered(Box::new(recovered))]);
    }

    /// Sends a request, and returns its response if it gets one at once.
    fn request(&mut self, class: usize, key: Option<&str>) -> Option<Response> {
        self.requests += 1;
        let sequence = self.requests;
        let request = ClientRequest {
            class: class.into(),
            idempotency_key: key.map(Arc::from),
            ..support::read(sequence as u64, self.now_ms)
        };
        let effects = self.step(vec![Input::Request { connection: 1, sequence, request: Box::new(request) }]);
        effects.into_iter().find_map(|effect| match effect {
            Effect::Respond { sequence: of, response, .. } if of == sequence => Some(response),
            _ => None,
        })
    }

    fn save(&mut self, key: &str) -> Option<Response> {
        self.request(KEYED, Some(key))
    }
}

fn is_unknown(response: &Option<Response>) -> bool {
    matches!(response, Some(Response::OutcomeUnknown))
}

fn is_refused(response: &Option<Response>) -> bool {
    matches!(response, Some(Response::Rejected { .. }))
}

/// Guards against a refusal while the old process of an upgrade, or the one before a crash, may have run the key (review,
/// case 7). Other classes are served.
#[test]
fn a_keyed_request_is_not_refused_before_the_store_is_read() {
    let mut server = Server::with_processor();
    let response = server.save("t");
    assert!(is_unknown(&response), "{response:?}");
    assert!(server.request(READ, None).is_none(), "it runs");
    server.step(vec![Input::StoreFailed { number: 0, reason: "another server uses this folder".into() }]);
    let response = server.save("t");
    assert!(is_unknown(&response), "the store can't be opened: {response:?}");
    server.recover(RecoveredRuns::default());
    assert!(server.save("t").is_none(), "its intent is written");
}

/// Guards against a refusal for want of a processor, which says nothing about an earlier process.
#[test]
fn a_keyed_request_without_a_processor_is_refused_only_if_all_runs_are_known() {
    let mut server = Server::with_store();
    let response = server.save("t");
    assert!(is_unknown(&response), "{response:?}");
    let read = server.request(READ, None);
    assert!(is_refused(&read), "{read:?}");
    server.recover(RecoveredRuns::default());
    let response = server.save("t");
    assert!(is_refused(&response), "{response:?}");
}

/// Guards against a refusal while records of the store can't be read, so that any key may have run.
#[test]
fn a_keyed_request_is_not_refused_while_records_are_missing() {
    let mut server = Server::with_processor();
    server.recover(RecoveredRuns { incomplete_for: Some(Span(5_000 * MS)), ..RecoveredRuns::default() });
    let response = server.save("t");
    assert!(is_unknown(&response), "{response:?}");
    server.step(vec![Input::StoreFailed { number: 1, reason: "No space left".into() }]);
    let response = server.save("t");
    assert!(is_unknown(&response), "the store has failed too: {response:?}");
    server.now_ms += 5_000;
    server.step(Vec::new());
    let response = server.save("t");
    assert!(is_refused(&response), "no record is missing any more: {response:?}");
}

/// Guards the other way: a server that knows all runs refuses, so that callers can go elsewhere while its disk fails.
#[test]
fn a_keyed_request_is_refused_while_a_store_that_was_read_fails() {
    let mut server = Server::with_processor();
    server.recover(RecoveredRuns::default());
    server.step(vec![Input::StoreFailed { number: 1, reason: "No space left".into() }]);
    let response = server.save("t");
    assert!(is_refused(&response), "{response:?}");
}

/// Guards against a repeat that is refused, or said to have failed, although an earlier process began its run and nobody
/// knows the end.
#[test]
fn a_repeat_of_a_run_without_a_known_end_has_an_unknown_outcome() {
    let mut server = Server::with_store();
    let run = SavedRun {
        key: "t".into(),
        fingerprint: 0,
        id: "a".into(),
        window_left: Span(5_000 * MS),
        outcome: SavedOutcome::Unknown,
    };
    server.recover(RecoveredRuns { runs: vec![run], ..RecoveredRuns::default() });
    let response = server.save("t");
    assert!(is_unknown(&response), "{response:?}");
}
