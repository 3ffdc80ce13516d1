//! Request ids that are reused in the same step in which the previous request with the id is removed.

mod support;

use gradepin_admission::{RequestId, Span};
use gradepin_core::messages::{ClientRequest, Effect, Input, Response, RunClaim};
use std::sync::Arc;
use support::step;

/// Slot of the keyed class in the settings.
const KEYED: usize = 1;

fn keyed_request(connection: u64, sequence: i32, id: u64, key: &str, ms: u64, retry: bool) -> Input {
    let request = ClientRequest {
        class: KEYED.into(),
        client_proxy: connection,
        retry,
        idempotency_key: Some(Arc::from(key)),
        ..support::read(id, ms)
    };
    Input::Request { connection, sequence, request: Box::new(request) }
}

/// Guards against a request that is never answered. It reused the id of a repeat that was removed in the same step, and
/// was removed in its place.
#[test]
fn request_stays_open_when_another_with_its_id_is_removed_in_the_same_step() {
    // The server shares its keyed runs with another process, so that a started run can still be rejected.
    let mut reducer = support::reducer().sharing_runs(Some(7));
    let first = vec![
        Input::LinkUp { link: 1, cold: false, age: Span(0) },
        Input::ConnectionOpened(1),
        Input::ConnectionOpened(2),
        keyed_request(1, 1, 1, "t", 9_000, false),
    ];
    step(&mut reducer, 9_000, first);
    step(&mut reducer, 9_010, vec![keyed_request(2, 1, 2, "t", 9_010, true)]);
    let reusing = vec![
        Input::Cancel { connection: 2, sequence: 1 },
        Input::RunClaimed { id: RequestId::new(&format!("{:016x}", 1)), claim: RunClaim::Unavailable },
        keyed_request(2, 2, 2, "u", 9_020, false),
    ];
    let mut effects = step(&mut reducer, 9_020, reusing);
    let claimed =
        effects.iter().any(|effect| matches!(effect, Effect::ClaimRun { key, .. } if &**key == "u"));
    assert!(claimed, "the run must be claimed: {effects:?}");
    effects.extend(step(
        &mut reducer,
        9_030,
        vec![Input::RunClaimed { id: RequestId::new(&format!("{:016x}", 2)), claim: RunClaim::Unavailable }],
    ));
    let responses = effects.iter().filter(|effect| {
        matches!(
            effect,
            Effect::Respond { connection: 2, sequence: 2, response: Response::Rejected { .. }, .. }
        )
    });
    assert_eq!(responses.count(), 1, "{effects:?}");
}
