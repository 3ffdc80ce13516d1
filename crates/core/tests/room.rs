//! Which connection gives way to a newcomer near the limit, whatever it said last.

mod support;

use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ClientRequest, Effect, Input, RequestError};
use support::{MS, reducer, step};

/// Of 128 descriptors 96 may be connections; from seven eighths of those on one gives way.
const ROOM: u64 = 84;

/// Guards against a connection that holds its place unseen: one whose last word was a cancel of what isn't open, nonsense
/// or a health check must be found when it rested longest, or a table full of such ones has no room for usual callers.
#[test]
fn whatever_it_said_last_the_longest_rested_gives_way() {
    let last_words: [fn(u64) -> Input; 3] = [
        |conn| Input::Cancel { connection: conn, sequence: 7 },
        |conn| Input::InvalidRequest {
            connection: conn,
            sequence: 7,
            error: RequestError::Malformed,
            text: "nonsense".into(),
        },
        |conn| Input::HealthCheck { connection: conn, sequence: 7 },
    ];
    for word in last_words {
        let mut reducer = reducer();
        step(&mut reducer, 1_000, vec![Input::ConnectionOpened(1), word(1)]);
        for conn in 2..=ROOM {
            step(
                &mut reducer,
                1_000 + conn,
                vec![Input::ConnectionOpened(conn), Input::HealthCheck { connection: conn, sequence: 1 }],
            );
        }
        let effects = step(&mut reducer, 2_000, vec![Input::ConnectionOpened(ROOM + 1)]);
        let closed: Vec<_> = effects
            .iter()
            .filter_map(|effect| {
                if let Effect::CloseIdleConnection { connection: conn, messages_received: taken } = effect {
                    Some((*conn, *taken))
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(closed, [(1, 1)]);
    }
}

/// Guards health and what callers are told against a flood: what a connection wrote while its own pace held it back did
/// not wait for this server. Told as waiting unread, a dozen such requests a day turned health bad.
#[test]
fn what_a_paced_connection_wrote_meanwhile_did_not_wait_unread() {
    // How often health goes bad while a connection's requests of a second ago are read, paced or not.
    let bad = |paced: bool| {
        let mut reducer = reducer();
        let pool = BufferPool::new(4);
        step(
            &mut reducer,
            9_000,
            vec![Input::LinkUp { link: 1, cold: false, age: Span(0) }, Input::ConnectionOpened(1)],
        );
        if paced {
            step(
                &mut reducer,
                9_010,
                vec![Input::ConnectionThrottled { connection: 1, duration: Span(1_190 * MS) }],
            );
        }
        let mut effects = Vec::new();
        for n in 0..12 {
            let call = ClientRequest {
                id: RequestId::new(&format!("{n:016x}")),
                class: 0.into(),
                tenant: None,
                client_proxy: 1,
                arrived_unix_ms: 9_000,
                budget_ms: 4_000,
                retry: false,
                size_kb: 20.0,
                precedence: 0.5,
                idempotency_key: None,
                has_subject: false,
                body: pool.copy(b"in").expect("it fits"),
            };
            effects.extend(step(
                &mut reducer,
                10_200 + n,
                vec![Input::Request { connection: 1, sequence: n as i32 + 1, request: Box::new(call) }],
            ));
        }
        for ms in (10_210..10_600).step_by(10) {
            effects.extend(step(&mut reducer, ms, Vec::new()));
        }
        effects.iter().filter(|e| matches!(e, Effect::Log { text, .. } if text == "health is bad")).count()
    };
    assert_eq!((bad(false), bad(true)), (1, 0));
}
