//! Which messages a connection is charged for: those that break the protocol, and no others. A charged connection is not
//! read for a while, so its requests may be answered late.

mod support;

use gradepin_admission::Span;
use gradepin_core::messages::{Effect, Input, ProtocolViolation, RequestError};
use gradepin_core::reducer::Reducer;
use support::{read, reducer, step};

/// Requests that the protocol page allows to be open on a connection.
const MAX_OPEN: i32 = 32;
const CONNECTION: u64 = 1;

/// A server and the clock of its steps.
struct Server {
    reducer: Reducer,
    now_ms: u64,
}

impl Server {
    fn start(has_processor: bool) -> Self {
        let mut server = Self { reducer: reducer(), now_ms: 9_000 };
        if has_processor {
            server.step(Input::LinkUp { link: 1, cold: false, age: Span(0) });
        }
        server.step(Input::ConnectionOpened(CONNECTION));
        server
    }

    /// Takes a step; returns the violations that the connection is charged for, and the number of responses.
    fn step(&mut self, input: Input) -> (Vec<ProtocolViolation>, usize) {
        self.now_ms += 1;
        let effects = step(&mut self.reducer, self.now_ms, vec![input]);
        let responses = effects.iter().filter(|effect| matches!(effect, Effect::Respond { .. })).count();
        let charged = effects.into_iter().filter_map(|effect| match effect {
            Effect::ChargeConnection { violation, .. } => Some(violation),
            _ => None,
        });
        (charged.collect(), responses)
    }

    fn request(&mut self, sequence: i32) -> (Vec<ProtocolViolation>, usize) {
        let request = Box::new(read(sequence as u64, self.now_ms));
        self.step(Input::Request { connection: CONNECTION, sequence, request })
    }

    fn cancel(&mut self, sequence: i32) -> Vec<ProtocolViolation> {
        self.step(Input::Cancel { connection: CONNECTION, sequence }).0
    }
}

/// Guards against requests that wait unread until they are late (report 862027), because earlier ones of their connection
/// were refused.
#[test]
fn refused_requests_charge_nothing() {
    let mut server = Server::start(false);
    for sequence in 1..=1_000 {
        assert_eq!(server.request(sequence), (Vec::new(), 1), "request {sequence}");
    }
}

/// Guards against the same by cancellations, also of requests that were answered meanwhile.
#[test]
fn a_cancellation_of_each_request_charges_nothing_and_a_surplus_one_does() {
    let mut server = Server::start(false);
    for sequence in 1..=500 {
        assert_eq!(server.request(2 * sequence).0, []);
        assert_eq!(server.cancel(2 * sequence), []);
    }
    assert_eq!(server.cancel(1_000), [ProtocolViolation::SurplusCancel]);
    assert_eq!(server.request(1_001).0, []);
    assert_eq!(server.cancel(1_001), []);
}

#[test]
fn requests_beyond_the_open_ones_that_are_allowed_charge_their_connection() {
    let mut server = Server::start(true);
    for sequence in 1..=MAX_OPEN {
        assert_eq!(server.request(sequence).0, []);
    }
    assert_eq!(server.request(MAX_OPEN + 1), (vec![ProtocolViolation::TooManyOpenRequests], 1));
    server.cancel(1);
    assert_eq!(server.request(MAX_OPEN + 2).0, [], "a place is free");
    assert_eq!(server.request(MAX_OPEN + 2), (vec![ProtocolViolation::ReusedSequence], 0));
}

#[test]
fn invalid_messages_charge_their_connection() {
    let mut server = Server::start(true);
    let (error, text) = (RequestError::NotFound, "unknown method".to_string());
    let invalid = Input::InvalidRequest { connection: CONNECTION, sequence: 1, error, text };
    assert_eq!(server.step(invalid), (vec![ProtocolViolation::InvalidMessage], 1));
}
