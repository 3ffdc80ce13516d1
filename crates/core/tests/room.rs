//! Which connection gives way to a newcomer near the limit, whatever it said last.

#[path = "../../decisions/tests/common/mod.rs"]
mod common;

use gradepin_core::config::Config;
use gradepin_core::messages::{Effect, Input, Misuse};
use gradepin_core::moment::Moment;
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_decisions::Time;
use serde_json::json;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Of 128 descriptors 96 may be connections; from seven eighths of those on one gives way.
const ROOM: u64 = 84;

fn step(reducer: &mut Reducer, ms: u64, inputs: Vec<Input>) -> Vec<Effect> {
    let mut effects = Vec::new();
    reducer.step(Moment { now: Time(ms * MS), unix_ms: ms }, inputs, &mut effects);
    effects
}

/// Guards against a connection that holds its place unseen: one whose last word was a cancel of what isn't open, nonsense
/// or a health check must be found when it rested longest, or a table full of such ones has no room for usual callers.
#[test]
fn whatever_it_said_last_the_longest_rested_gives_way() {
    let last_words: [fn(u64) -> Input; 3] = [
        |conn| Input::Cancel(conn, 7),
        |conn| Input::Invalid(conn, 7, Misuse::Request, "nonsense".into()),
        |conn| Input::Health(conn, 7),
    ];
    for word in last_words {
        let mut settings = common::base();
        settings["specifics"]["below"] = json!("off");
        let address = "127.0.0.1:1";
        let config = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
            "stop_ms": 2000, "limits": {"cores": 1.0, "sockets": 128}, "settings": settings});
        let config = Config::parse(&config.to_string()).expect("a whole configuration");
        let settings = Arc::new(config.settings.clone());
        let mut reducer = Reducer::new(&config, settings, Registration::default()).expect("whole");
        step(&mut reducer, 1_000, vec![Input::Opened(1), word(1)]);
        for conn in 2..=ROOM {
            step(&mut reducer, 1_000 + conn, vec![Input::Opened(conn), Input::Health(conn, 1)]);
        }
        let effects = step(&mut reducer, 2_000, vec![Input::Opened(ROOM + 1)]);
        let closed: Vec<_> = effects
            .iter()
            .filter_map(|effect| {
                if let Effect::CloseResting(conn, taken) = effect { Some((*conn, *taken)) } else { None }
            })
            .collect();
        assert_eq!(closed, [(1, 1)]);
    }
}
