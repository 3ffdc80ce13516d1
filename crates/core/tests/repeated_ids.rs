//! A request without an idempotency key that comes again under its id, after its connection ended or at the other process of
//! an upgrade (review, picture c).

mod support;

use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::keyed_run::RunOutcome;
use gradepin_core::messages::{ClientRequest, Effect, Input, RecordedRun, Response, RunClaim, RunEnd};
use gradepin_core::reducer::Reducer;
use serde_json::json;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Slots of the classes: one that may be repeated and one that must run at most once.
const READ: usize = 0;
const ONCE: usize = 1;

struct Server {
    reducer: Reducer,
    now_ms: u64,
    notices: u64,
    connection: u64,
}

impl Server {
    fn start(share: bool) -> Self {
        let mut settings = support::settings();
        settings["profiles"][ONCE]["effect"] = json!("once");
        let reducer = support::reducer_with(settings);
        let reducer = if share { reducer.sharing_runs(Some(7)) } else { reducer };
        let mut server = Self { reducer, now_ms: 9_000, notices: 0, connection: 0 };
        server.step(vec![Input::LinkUp { link: 1, cold: false, age: Span(0) }]);
        server.reconnect();
        server
    }

    fn step(&mut self, inputs: Vec<Input>) -> Vec<Effect> {
        self.now_ms += 10;
        support::step(&mut self.reducer, self.now_ms, inputs)
    }

    /// Replaces the connection of the client.
    fn reconnect(&mut self) {
        self.connection += 1;
        let (old, new) = (self.connection - 1, self.connection);
        self.step(vec![Input::ConnectionClosed(old), Input::ConnectionOpened(new)]);
    }

    fn send(&mut self, class: usize, id: u64, budget_ms: u64) -> Vec<Effect> {
        let request = ClientRequest { class: class.into(), budget_ms, ..support::read(id, self.now_ms) };
        let connection = self.connection;
        self.step(vec![Input::Request { connection, sequence: id as i32, request: Box::new(request) }])
    }

    fn end_run(&mut self, id: u64) -> Vec<Effect> {
        self.notices += 1;
        let result = BufferPool::new(0).exact(b"out").expect("fits");
        let (notice, id) = (self.notices, request_id(id));
        self.step(vec![Input::RunCompleted { notice, id, end: RunEnd::Ok, took: Span(10 * MS), result }])
    }
}

fn request_id(id: u64) -> RequestId {
    RequestId::new(&format!("{id:016x}"))
}

fn starts(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::StartRun { .. })).count()
}

fn response(effects: &[Effect]) -> Option<&Response> {
    effects.iter().find_map(|effect| match effect {
        Effect::Respond { response, .. } => Some(response),
        _ => None,
    })
}

/// Guards against a second run under an id whose client has left: the connection's end made the server forget it.
#[test]
fn a_request_that_comes_again_after_its_client_left_is_not_run_again() {
    for class in [READ, ONCE] {
        let mut server = Server::start(false);
        assert_eq!(starts(&server.send(class, 1, 3_000)), 1);
        server.reconnect();
        server.end_run(1);
        for _ in 0..3 {
            let effects = server.send(class, 1, 3_000);
            assert_eq!(starts(&effects), 0, "{effects:?}");
            assert!(matches!(response(&effects), Some(Response::OutcomeUnknown)), "{effects:?}");
            server.reconnect();
        }
        assert_eq!(starts(&server.send(class, 2, 3_000)), 1, "another id runs");
    }
}

/// Guards against a refusal, which promises that nothing ran, of a request whose id has run: also if it would be refused
/// before its id is looked at.
#[test]
fn a_request_that_comes_again_is_not_refused() {
    let mut server = Server::start(false);
    assert_eq!(starts(&server.send(ONCE, 1, 3_000)), 1);
    server.end_run(1);
    server.reconnect();
    // A sequence number that is in use has all further requests of the connection refused.
    server.send(READ, 100, 3_000);
    server.send(READ, 100, 3_000);
    let effects = server.send(ONCE, 1, 3_000);
    assert!(matches!(response(&effects), Some(Response::OutcomeUnknown)), "{effects:?}");
    let effects = server.send(ONCE, 2, 3_000);
    assert!(
        matches!(response(&effects), Some(Response::Rejected { .. })),
        "another id never ran: {effects:?}"
    );
}

/// Guards against an id that is kept for ever: it is forgotten once its request can't come again.
#[test]
fn an_id_is_forgotten_after_its_longest_budget_and_the_latest_read() {
    let mut server = Server::start(false);
    assert_eq!(starts(&server.send(READ, 1, 3_000)), 1);
    server.end_run(1);
    server.now_ms += 2 * 4_000 + 30_000;
    server.reconnect();
    // The next start forgets expired ids.
    assert_eq!(starts(&server.send(READ, 2, 3_000)), 1);
    assert_eq!(starts(&server.send(READ, 1, 3_000)), 1);
}

/// Guards against a second run at the other process of an upgrade, in a class that must run at most once.
#[test]
fn a_run_that_must_not_repeat_is_claimed_by_its_id() {
    let mut server = Server::start(true);
    let effects = server.send(ONCE, 1, 3_000);
    let claim = effects.iter().find_map(|effect| match effect {
        Effect::ClaimRun { key, .. } => Some(Arc::clone(key)),
        _ => None,
    });
    let claimed = claim.expect("a claim");
    assert!(claimed.len() > 64 && claimed.ends_with("0000000000000001"), "{claimed}");
    assert_eq!(starts(&effects), 0);
    let effects = server.step(vec![Input::RunClaimed { id: request_id(1), claim: RunClaim::Ours }]);
    assert_eq!(starts(&effects), 1);
    let effects = server.end_run(1);
    let is_released = |effect: &Effect| matches!(effect, Effect::ReleaseClaim { key, outcome: Some(RunOutcome::Served(_)), .. } if *key == claimed);
    assert!(effects.iter().any(is_released), "{effects:?}");

    server.send(ONCE, 2, 3_000);
    let ended = RunClaim::Ended(RunOutcome::Failed);
    let effects = server.step(vec![Input::RunClaimed { id: request_id(2), claim: ended }]);
    assert_eq!(starts(&effects), 0);
    assert!(matches!(response(&effects), Some(Response::Failed { .. })), "{effects:?}");
    assert_eq!(starts(&server.send(READ, 3, 3_000)), 1, "a class that may be repeated is not claimed");
}

/// Guards against a refusal of a request that the other process ran.
#[test]
fn a_request_that_must_not_repeat_is_looked_up_before_it_is_refused() {
    let mut server = Server::start(true);
    let effects = server.send(ONCE, 1, 0);
    let lookup = effects.iter().find_map(|effect| match effect {
        Effect::LookUpRun { lookup, .. } => Some(*lookup),
        _ => None,
    });
    let lookup = lookup.expect("a look-up");
    assert!(response(&effects).is_none(), "{effects:?}");
    let effects = server.step(vec![Input::RunLookedUp { lookup, run: RecordedRun::InProgress }]);
    assert!(matches!(response(&effects), Some(Response::Failed { .. })), "{effects:?}");
}
