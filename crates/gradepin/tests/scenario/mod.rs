//! The scenario language of the server's tests. A scenario is a text; each line is one of
//!
//! - `send CONN call SEQ [field=value ..]`, `send CONN cancel SEQ`, `send CONN health SEQ`, `send CONN hex BYTES`,
//!   `send processor LINE`, `send server TERM|OUT|IN` and `send server HUP HOW`: something reaches the
//!   server. `OUT` and `IN` are an operator's orders. `HOW` is `moved` or one of the kinds of [`changed`].
//!   A move gives it another processor and another control plane, `processor2` and `control2` on sockets; a
//!   broken configuration is no JSON. A connection opens when it is first named. Fields have defaults; `rid` is a plain number and `t0` counts from now. `+` before `call` holds
//!   the message back until the next one, so that both arrive together.
//! - `send ledger RID 200 REPLY` and `send ledger RID untouched|500|504|refused|broken`: how a call to the ledger
//!   ended, on the virtual stage; the call itself is the event `ledger call RID BODY LIMIT_MS`, and a reply that
//!   reaches the run `processor answer RID REPLY`.
//! - `send admin health|stats|fail|ok`: a call at the operators' door. Its response is an event for each line of the
//!   body that is no comment: `admin STATUS LINE`, such as `admin 503 not ready: drained` or
//!   `admin 200 server_relayed_total 1`.
//! - `until admin CALL STATUS LINE`: the call is made again and again until its response has that line.
//! - `expect EVENT`: an event that begins with these words has come or comes now; `expect no EVENT`: none has.
//!   Events are `CONN SEQ served BODY`, `CONN SEQ refused|failed|invalid|good|bad [fields]`, `CONN draining`,
//!   `CONN closed`, `processor hello|begin ..`, `control Ready|NotReady`, `exit`, and on the virtual stage
//!   `stop accepting` and
//!   `settings CLASS ..`, the classes in force in their places.
//! - On the virtual stage a call to the ledger that did not deliver is told as `log a call to the ledger for ..`, as in the log.
//! - `send claims RID ours|unsure|failed|served ..`: whose a keyed run is, where two processes of an upgrade share them;
//!   asked for as `claim RID TOKEN`, its end told as `claim-ended TOKEN served|failed|void`.
//! - `open CONN`: a connection opens, and nothing is sent on it.
//! - `close CONN` and `close processor`: a peer ends its connection, both ways at once.
//! - `late CONN`: the reader found that no message of it is whole in its time; on the virtual stage alone.
//! - `half-close CONN`: it sends nothing more, and still reads. `reset CONN`: it is gone, and what is unread with it; on
//!   sockets alone, as are the next three.
//! - `hold CONN` reads nothing of a connection that is not open yet, until `release CONN`. `flood CONN COUNT health` and
//!   `flood CONN COUNT hex BYTES` send the same so many times, as fast as the server reads it; `flood CONN COUNT call RID`
//!   so many calls, with ids that count on from there.
//! - `send processor half LINE`: the first half of a line of the processor; on sockets alone.
//! - `trickle CONN call SEQ ..`: sends a call byte by byte, each once the one before has left.
//! - `send CONN half call SEQ ..` and `send CONN rest`: the first half of a call, and what is left of it.
//! - `freeze` and `thaw`: the server stops and goes on, so that what is sent in between, signals too, comes to it in one
//!   instant; on sockets alone, as are `close control` and `open control`: nobody takes its reports for a while.
//! - `wait MS`: time passes; on the virtual stage no real time does.
//!
//! The processor answers every `usage` by itself, unless it was sent `mute`.
#![allow(dead_code)]

#[path = "../../../admission/tests/common/mod.rs"]
pub mod common;
pub mod scripted;
pub mod sockets;
pub mod thrift;
pub mod virtually;

use gradepin_core::admin::AdminRequest;
use serde_json::{Value, json};

/// Where a scenario is played.
pub trait Stage {
    /// A frame of a client connection.
    fn client(&mut self, conn: &str, bytes: &[u8], more: bool);
    /// A line of the processor.
    fn processor(&mut self, line: &str);
    /// The notice to leave.
    fn terminate(&mut self);
    /// An operator's order: out of service, or back in.
    fn order(&mut self, out: bool);
    /// The configuration is read again, with what became of it: moved or broken.
    fn reload(&mut self, how: &str);
    /// A call at the operators' door.
    fn admin(&mut self, call: AdminRequest);
    /// How a call to the ledger ended: `RID 200 REPLY`, `RID untouched|500|504|refused|broken`.
    fn ledger(&mut self, line: &str) {
        panic!("this stage has no ledger: {line}");
    }
    /// Whose a keyed run is, where two processes share them: `RID ours|unsure|failed` or `RID served RESULT`.
    fn claims(&mut self, line: &str) {
        panic!("this stage shares no runs: {line}");
    }
    fn open(&mut self, conn: &str);
    fn close(&mut self, peer: &str);
    fn half_close(&mut self, conn: &str);
    fn late(&mut self, conn: &str) {
        panic!("this stage's reader finds by itself what is late: {conn}");
    }
    fn reset(&mut self, conn: &str) {
        panic!("this stage resets no connection: {conn}");
    }
    fn hold(&mut self, conn: &str, holds: bool) {
        panic!("this stage holds no connection: {conn} {holds}");
    }
    fn flood(&mut self, conn: &str, bytes: &[u8]) {
        panic!("this stage has no floods: {conn} of {}", bytes.len());
    }
    fn trickle(&mut self, conn: &str, bytes: &[u8]) {
        panic!("this stage sends whole messages alone: {conn} of {}", bytes.len());
    }
    fn freeze(&mut self, stops: bool) {
        panic!("this stage stops at no instant: {stops}");
    }
    fn control(&mut self, stands: bool) {
        panic!("this stage's control plane always stands: {stands}");
    }
    /// The half of a call that is still to be sent.
    fn rest_of(&mut self, conn: &str) -> &mut Vec<u8> {
        panic!("this stage sends whole messages alone: {conn}");
    }
    fn wait(&mut self, ms: u64);
    /// The Unix clock, in ms.
    fn unix_ms(&self) -> u64;
    /// Waits for an event that begins with the words and takes it; or says what came instead.
    fn take(&mut self, words: &str) -> Result<String, Vec<String>>;
    /// What has come and was not taken.
    fn rest(&mut self) -> Vec<String>;
}

/// Whether an event begins with all these words.
pub fn begins(event: &str, words: &str) -> bool {
    event.strip_prefix(words).is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
}

/// The configuration of the server under test: two classes, four cores.
pub fn config(listen: &str, processor: &str, control: &str) -> Value {
    let mut settings = common::base();
    settings["specifics"]["below"] = json!("off");
    settings["specifics"]["gauges"] = json!(["core_use", "on_cores", "heap_share", "links"]);
    settings["customers"] = json!([{"name": "acme", "quota_rps": 100.0, "portion": 1.0}]);
    json!({"name": "n1", "listen": listen, "processor": processor, "control": control, "seed": "8c1f30d27a5be964",
           "stop_ms": 2000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings})
}

/// The text of a configuration file after a change of some kind to the one in force. `retuned` keeps `read` with a
/// longer deadline, drops `claim` and adds `view`; `calling` has runs call the ledger; `unkeyed` has `claim` safe to repeat, and `rekeyed` keyed again with a
/// short window; the others are broken in one way each and must be turned down.
pub fn changed(config: &Value, how: &str) -> String {
    let mut config = config.clone();
    let deadline = &mut config["settings"]["profiles"][0]["deadline"];
    match how {
        "retuned" => {
            *deadline = json!(5_000_000_000_u64);
            let view = json!({"name": "view", "promise": 500_000_000, "deadline": 2_000_000_000_u64,
                              "effect": "repeatable", "worth": 1.0});
            let read = config["settings"]["profiles"][0].clone();
            config["settings"]["profiles"] = json!([view, read]);
        }
        "unkeyed" => config["settings"]["profiles"][1]["effect"] = json!("repeatable"),
        "rekeyed" => {
            config["settings"]["profiles"][1]["effect"] = json!("by_key");
            config["settings"]["profiles"][1]["window"] = json!(2_000_000_000_u64);
        }
        "calling" => config["settings"]["specifics"]["below"] = json!("shared"),
        "empty" => return String::new(),
        "cut" => {
            let text = config.to_string();
            return text[..text.len() / 2].to_string();
        }
        "keyless" => drop(config["settings"]["profiles"][0].as_object_mut().map(|p| p.remove("deadline"))),
        "zero-deadline" => *deadline = json!(0),
        "negative-deadline" => *deadline = json!(-1000),
        "word-deadline" => *deadline = json!("soon"),
        "broken" => return "{".to_string(),
        _ => panic!("no change of the configuration: {how}"),
    }
    config.to_string()
}

pub fn call(words: &[&str], unix_ms: u64) -> Vec<u8> {
    let field = |name: &str| words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    let number = |name: &str| field(name).map(|text| text.parse::<i64>().expect("a number"));
    let t0 = i64::try_from(unix_ms).expect("a time") + number("t0").unwrap_or(0);
    let mut fields = vec![
        ("method", field("method").unwrap_or("read").to_string()),
        ("rid", format!("{:016x}", number("rid").unwrap_or(1))),
        ("t0", t0.to_string()),
        ("peer", "4".to_string()),
        ("mem", field("mem").unwrap_or("20.5").to_string()),
        ("prio", "0.6250".to_string()),
    ];
    // Without a budget it is written as one of "-".
    fields.extend(
        Some(field("budget").unwrap_or("4000"))
            .filter(|budget| *budget != "-")
            .map(|ms| ("budget", ms.into())),
    );
    // A request of no tenant is written as one of "-".
    fields.extend(
        Some(field("acct").unwrap_or("acme")).filter(|acct| *acct != "-").map(|acct| ("acct", acct.into())),
    );
    fields.extend(field("again").map(|again| ("again", again.to_string())));
    fields.extend(field("token").map(|token| ("token", token.to_string())));
    thrift::call(words[0].parse().expect("a number"), &fields, field("body").unwrap_or("in").as_bytes())
}

/// Calls made by `until` before it gives up: some seconds on sockets.
const UNTIL_TRIES: usize = 500;

fn admin_call(word: &str, at: &str) -> AdminRequest {
    match word {
        "health" => AdminRequest::Health,
        "stats" => AdminRequest::Stats,
        "fail" => AdminRequest::StartDrain,
        "ok" => AdminRequest::EndDrain,
        _ => panic!("{at}: no call at the door"),
    }
}

/// Plays a scenario.
pub fn play(stage: &mut impl Stage, text: &str) {
    for (number, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let at = format!("line {}: {}", number + 1, line.trim());
        let seq = |n: usize| words[n].parse::<i32>().expect("a number");
        match words[..] {
            [] => {}
            ["send", "processor", ..] => stage.processor(&words[2..].join(" ")),
            ["send", "ledger", ..] => stage.ledger(&words[2..].join(" ")),
            ["send", "claims", ..] => stage.claims(&words[2..].join(" ")),
            ["send", "server", "TERM"] => stage.terminate(),
            ["send", "server", order @ ("OUT" | "IN")] => stage.order(order == "OUT"),
            ["send", "server", "HUP", how] => stage.reload(how),
            ["send", "admin", call] => stage.admin(admin_call(call, &at)),
            ["send", conn, "half", "call", ..] => {
                let mut first = call(&words[4..], stage.unix_ms());
                *stage.rest_of(conn) = first.split_off(first.len() / 2);
                stage.client(conn, &first, false);
            }
            ["send", conn, "rest"] => {
                let rest = std::mem::take(stage.rest_of(conn));
                assert!(!rest.is_empty(), "{at}: no half was sent");
                stage.client(conn, &rest, false);
            }
            ["send", conn, "call", ..] => stage.client(conn, &call(&words[3..], stage.unix_ms()), false),
            ["send", conn, "+", "call", ..] => stage.client(conn, &call(&words[4..], stage.unix_ms()), true),
            ["send", conn, "cancel", _] => stage.client(conn, &thrift::cancel(seq(3)), false),
            ["send", conn, "health", _] => stage.client(conn, &thrift::health(seq(3)), false),
            ["send", conn, "hex", bytes] => stage.client(conn, &thrift::unhex(bytes), false),
            ["until", "admin", call, ..] => {
                // Asks again until the line comes: a signal on sockets takes its time.
                let line = format!("admin {}", words[3..].join(" "));
                let found = (0..UNTIL_TRIES).any(|_| {
                    stage.admin(admin_call(call, &at));
                    // The response is here by now: nothing to wait for.
                    let came = stage.rest().iter().any(|event| begins(event, &line));
                    let found = came && stage.take(&line).is_ok();
                    stage.wait(if found { 0 } else { 20 });
                    found
                });
                assert!(found, "{at}: never came, there is only {:?}", stage.rest());
            }
            ["expect", "no", ..] => {
                let (words, rest) = (words[2..].join(" "), stage.rest());
                assert!(!rest.iter().any(|event| begins(event, &words)), "{at}: came, in {rest:?}");
            }
            ["expect", ..] => {
                let taken = stage.take(&words[1..].join(" "));
                assert!(taken.is_ok(), "{at}: there is only {:?}", taken.err());
            }
            ["open", "control"] => stage.control(true),
            ["close", "control"] => stage.control(false),
            ["open", conn] => stage.open(conn),
            ["close", peer] => stage.close(peer),
            ["freeze"] => stage.freeze(true),
            ["thaw"] => stage.freeze(false),
            ["half-close", conn] => stage.half_close(conn),
            ["late", conn] => stage.late(conn),
            ["reset", conn] => stage.reset(conn),
            ["hold", conn] => stage.hold(conn, true),
            ["release", conn] => stage.hold(conn, false),
            ["trickle", conn, "call", ..] => stage.trickle(conn, &call(&words[3..], stage.unix_ms())),
            ["flood", conn, _, "health"] => {
                stage.flood(conn, &(1..=seq(2)).flat_map(thrift::health).collect::<Vec<u8>>())
            }
            ["flood", conn, _, "call", first] => {
                let (first, now) = (first.parse::<i32>().expect("a number"), stage.unix_ms());
                let one = |n: i32| {
                    let rid = format!("rid={}", first + n);
                    call(&[&n.to_string(), &rid, "budget=60000", "mem=1"], now)
                };
                stage.flood(conn, &(1..=seq(2)).flat_map(one).collect::<Vec<u8>>())
            }
            ["flood", conn, _, "hex", bytes] => {
                stage.flood(conn, &thrift::unhex(bytes).repeat(seq(2) as usize))
            }
            ["wait", ms] => stage.wait(ms.parse().expect("milliseconds")),
            _ => panic!("{at}: not in the scenario language"),
        }
    }
}
