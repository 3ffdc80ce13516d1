//! Ids that come again in the very batch in which the request that had them before leaves the books.

mod support;

use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ClientRequest, Effect, Input, Response, RunClaim};
use std::sync::Arc;
use support::step;

/// The class of the settings that is keyed.
const KEYED: usize = 1;

fn keyed(conn: u64, seq: i32, rid: u64, token: &str, ms: u64, retry: bool) -> Input {
    let call = ClientRequest {
        id: RequestId::new(&format!("{rid:016x}")),
        class: KEYED.into(),
        tenant: None,
        client_proxy: conn,
        arrived_unix_ms: ms,
        budget_ms: 3_000,
        retry,
        size_kb: 1.0,
        precedence: 0.5,
        idempotency_key: Some(Arc::from(token)),
        has_subject: false,
        body: BufferPool::new(0).exact(b"body").expect("fits"),
    };
    Input::Request { connection: conn, sequence: seq, request: Box::new(call) }
}

/// Guards against a request that nobody answers: its id was that of a repeat that left in the same batch, and it was
/// forgotten in the place of that one.
#[test]
fn a_request_keeps_its_place_though_one_with_its_id_left_in_its_batch() {
    // It shares its keyed runs with another process, so that a run that was begun may yet never run.
    let mut reducer = support::reducer().sharing_runs(Some(7));
    let begun = vec![
        Input::LinkUp { link: 1, cold: false, age: Span(0) },
        Input::ConnectionOpened(1),
        Input::ConnectionOpened(2),
        keyed(1, 1, 1, "t", 9_000, false),
    ];
    step(&mut reducer, 9_000, begun);
    step(&mut reducer, 9_010, vec![keyed(2, 1, 2, "t", 9_010, true)]);
    let again = vec![
        Input::Cancel { connection: 2, sequence: 1 },
        Input::RunClaimed { id: RequestId::new(&format!("{:016x}", 1)), claim: RunClaim::Unknown },
        keyed(2, 2, 2, "u", 9_020, false),
    ];
    let mut effects = step(&mut reducer, 9_020, again);
    let claimed =
        effects.iter().any(|effect| matches!(effect, Effect::ClaimRun { key: token, .. } if &**token == "u"));
    assert!(claimed, "it is to run: {effects:?}");
    effects.extend(step(
        &mut reducer,
        9_030,
        vec![Input::RunClaimed { id: RequestId::new(&format!("{:016x}", 2)), claim: RunClaim::Unknown }],
    ));
    let answers = effects.iter().filter(|effect| {
        matches!(
            effect,
            Effect::Respond { connection: 2, sequence: 2, response: Response::Rejected { .. }, .. }
        )
    });
    assert_eq!(answers.count(), 1, "{effects:?}");
}
