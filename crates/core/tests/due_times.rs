//! Responses by their due times, whatever other clients do.

mod support;

use gradepin_admission::Span;
use gradepin_core::messages::{ClientRequest, Effect, Input, Response};
use std::sync::Arc;
use support::{read, reducer, step};

const BAD_CLIENT: u64 = 1;
const CLIENT: u64 = 2;
/// When the requests of the test were sent, and when they are read.
const SENT_MS: u64 = 10_000;
const READ_MS: u64 = 11_300;
const BUDGET_MS: u64 = 2_500;

/// Guards against answers after their due time because of another client's time stamp: one request that seemed to have expired
/// before its connection existed had its clock used for all clients, and moved the due times of requests that were written
/// slowly (review, stale stamp).
#[test]
fn an_old_stamp_of_one_client_moves_no_due_time_of_another() {
    let mut reducer = reducer();
    let opened = vec![Input::LinkUp { link: 1, cold: false, age: Span(0) }, Input::ConnectionOpened(CLIENT)];
    step(&mut reducer, SENT_MS, opened);
    step(&mut reducer, READ_MS - 20, vec![Input::ConnectionOpened(BAD_CLIENT)]);
    let request = |connection, request: ClientRequest| Input::Request {
        connection,
        sequence: 1,
        request: Box::new(request),
    };
    let stale = ClientRequest { budget_ms: 1, ..read(1, SENT_MS) };
    step(&mut reducer, READ_MS - 10, vec![request(BAD_CLIENT, stale)]);
    // Its run never ends.
    let slowly_written = ClientRequest { budget_ms: BUDGET_MS, ..read(2, SENT_MS) };
    step(&mut reducer, READ_MS, vec![request(CLIENT, slowly_written)]);
    let due_ms = SENT_MS + BUDGET_MS;
    let failed_at = (READ_MS..).step_by(10).find(|ms| {
        step(&mut reducer, *ms, Vec::new()).iter().any(|effect| {
            matches!(effect, Effect::Respond { connection: CLIENT, response: Response::Failed { .. }, .. })
        })
    });
    assert!(failed_at.is_some_and(|ms| ms <= due_ms + 20), "due at {due_ms}, answered at {failed_at:?}");
}

/// Guards against a refusal that spends the slack of its due time on a look-up: the folder that the two processes of an upgrade
/// share does not answer, and the caller has stopped waiting.
#[test]
fn a_lookup_before_a_refusal_ends_soon_after_its_caller_stopped_waiting() {
    const KEYED: usize = 1;
    let answered_after_ms = |budget_ms| {
        let mut reducer = reducer().sharing_runs(Some(7));
        step(&mut reducer, SENT_MS, vec![Input::ConnectionOpened(CLIENT)]);
        let request = ClientRequest {
            class: KEYED.into(),
            idempotency_key: Some(Arc::from("key")),
            budget_ms,
            ..read(1, SENT_MS)
        };
        let sent = Input::Request { connection: CLIENT, sequence: 1, request: Box::new(request) };
        let effects = step(&mut reducer, SENT_MS, vec![sent]);
        assert!(effects.iter().any(|effect| matches!(effect, Effect::LookUpRun { .. })), "{effects:?}");
        (1..).find(|ms| {
            let effects = step(&mut reducer, SENT_MS + ms, Vec::new());
            effects.iter().any(|effect| matches!(effect, Effect::Respond { .. }))
        })
    };
    assert_eq!([1, 30, 500].map(answered_after_ms), [Some(10), Some(30), Some(50)]);
}
