//! Eviction of idle connections near the limit, and the queueing time of requests on throttled connections.

mod support;

use gradepin_admission::Span;
use gradepin_core::messages::{ClientRequest, Effect, Input, RequestError};
use support::{MS, reducer, step};

/// With 128 descriptors, 96 connections are allowed; from seven eighths of those on, a new connection evicts an idle
/// one.
const EVICT_FROM: u64 = 84;

/// Guards against a connection that can't be evicted because its last message was a cancellation of an unknown request,
/// an invalid request or a health check: a table full of such connections would have no capacity for others.
#[test]
fn longest_idle_connection_is_evicted_whatever_it_sent_last() {
    let last_messages: [fn(u64) -> Input; 3] = [
        |connection| Input::Cancel { connection, sequence: 7 },
        |connection| Input::InvalidRequest {
            connection,
            sequence: 7,
            error: RequestError::Malformed,
            text: "nonsense".into(),
        },
        |connection| Input::HealthCheck { connection, sequence: 7 },
    ];
    for last_message in last_messages {
        let mut reducer = reducer();
        step(&mut reducer, 1_000, vec![Input::ConnectionOpened(1), last_message(1)]);
        for connection in 2..=EVICT_FROM {
            step(
                &mut reducer,
                1_000 + connection,
                vec![Input::ConnectionOpened(connection), Input::HealthCheck { connection, sequence: 1 }],
            );
        }
        let effects = step(&mut reducer, 2_000, vec![Input::ConnectionOpened(EVICT_FROM + 1)]);
        let closed: Vec<_> = effects
            .iter()
            .filter_map(|effect| {
                if let Effect::CloseIdleConnection { connection, messages_received } = effect {
                    Some((*connection, *messages_received))
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(closed, [(1, 1)]);
    }
}

/// Guards health against a flood: requests that a client wrote while its connection was throttled did not wait for this
/// server. Counted as queueing time, about a dozen of them per day made the server unhealthy.
#[test]
fn time_throttled_does_not_count_as_queueing() {
    // Counts how often health turns bad while requests that are about 1 s old are read from a connection, throttled or
    // not.
    let count_bad_health = |throttled: bool| {
        let mut reducer = reducer();
        step(
            &mut reducer,
            9_000,
            vec![Input::LinkUp { link: 1, cold: false, age: Span(0) }, Input::ConnectionOpened(1)],
        );
        if throttled {
            step(
                &mut reducer,
                9_010,
                vec![Input::ConnectionThrottled { connection: 1, duration: Span(1_190 * MS) }],
            );
        }
        let mut effects = Vec::new();
        for n in 0..12 {
            let request = ClientRequest { budget_ms: 4_000, size_kb: 20.0, ..support::read(n, 9_000) };
            effects.extend(step(
                &mut reducer,
                10_200 + n,
                vec![Input::Request { connection: 1, sequence: n as i32 + 1, request: Box::new(request) }],
            ));
        }
        for ms in (10_210..10_600).step_by(10) {
            effects.extend(step(&mut reducer, ms, Vec::new()));
        }
        effects.iter().filter(|e| matches!(e, Effect::Log { text, .. } if text == "health is bad")).count()
    };
    assert_eq!((count_bad_health(false), count_bad_health(true)), (1, 0));
}
