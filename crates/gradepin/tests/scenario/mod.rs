//! The scenario language of the server's tests. A scenario is a text with one instruction per line.
//!
//! Stages: a scenario runs on sockets (`SocketStage`), on a virtual clock (`VirtualStage`), or on both. Instructions marked
//! [sockets] or [virtual] exist on that stage only.
//!
//! Input to the server:
//! - `send CONN call SEQ [field=value ..]`: a request. The connection `CONN` opens when it is first named. Omitted fields have
//!   defaults; `rid` is a plain number and `t0` an offset in ms from now. With `+` before `call` the message is buffered and
//!   arrives together with the next one.
//! - `send CONN cancel SEQ`, `send CONN health SEQ`, `send CONN hex BYTES`: a cancel, a health check, raw bytes.
//! - `send CONN half call SEQ ..`, then `send CONN rest`: the first half of a request, then the remainder.
//! - `trickle CONN call SEQ ..`: a request sent byte by byte, each in its own write. [sockets]
//! - `flood CONN COUNT health`, `flood CONN COUNT hex BYTES`: the same message `COUNT` times, as fast as the server reads it;
//!   `flood CONN COUNT call RID`: `COUNT` requests with consecutive ids from `RID`. [sockets]
//! - `send processor LINE`: a line of the processor; `send processor half LINE`: only its first half. [sockets]
//! - `send server TERM`: SIGTERM. `send server OUT|IN`: an operator takes the server out of service, or returns it.
//! - `send server HUP HOW`: the configuration is reloaded. `HOW` is `moved` or one of the kinds of [`changed_config`]. `moved`
//!   names another processor and another control plane, `processor2` and `control2` on sockets.
//! - `send admin health|stats|fail|ok`: a request to the admin endpoint. Each line of the response body that is not a comment
//!   is an event `admin STATUS LINE`, such as `admin 503 not ready: drained` or `admin 200 server_relayed_total 1`.
//! - `send ledger RID 200 REPLY`, `send ledger RID untouched|500|504|refused|broken`: the outcome of an upstream call. The
//!   call is the event `ledger call RID BODY LIMIT_MS`; a reply that reaches the run is `processor answer RID REPLY`. [virtual]
//! - `send claims RID ours|full|unsure|failed|served ..`: the outcome of claiming a keyed run that two processes of an
//!   upgrade share; `full` is a free key that can't be claimed. The claim is the event `claim RID TOKEN`, its release
//!   `claim-ended TOKEN served|failed|void`. [virtual]
//! - `send lookups TOKEN none|running|unsure|failed|served ..`: what the two processes have recorded about a key, in answer to
//!   its oldest look-up, which is the event `lookup TOKEN`. [virtual]
//!
//! Connections and links:
//! - `open CONN`: opens a connection without sending. `close CONN`, `close processor`: the peer closes both directions.
//! - `half-close CONN`: the peer stops sending but still reads. `reset CONN`: the peer resets the connection and loses unread
//!   data. [sockets: `reset`]
//! - `late CONN`: the reader found no complete message within the time limit. [virtual]
//! - `hold CONN`: opens a connection whose peer reads nothing until `release CONN`. [sockets]
//! - `close control`, `open control`: the control plane stops and resumes receiving reports. [sockets]
//! - `freeze`, `thaw`: the server process is stopped and continued, so that everything sent in between, signals included,
//!   arrives at one instant. [sockets]
//!
//! Time and expectations:
//! - `wait MS`: time passes; no real time does on the virtual stage.
//! - `expect EVENT`: an event that begins with these words has occurred or occurs now. `expect no EVENT`: none has occurred.
//! - `until admin CALL STATUS LINE`: repeats the request until its response contains the line.
//!
//! Events are `CONN SEQ served BODY`, `CONN SEQ refused|failed|invalid|good|bad [fields]`, `CONN draining`, `CONN closed`,
//! `processor hello|begin ..`, `control Ready|NotReady`, `exit`. The virtual stage adds `stop accepting`, `settings CLASS ..`
//! (the active classes in slot order) and `log a call to the ledger for ..` for an upstream call that delivered nothing.
//!
//! The processor answers every `usage` automatically, unless it was sent `mute`.
#![allow(dead_code)]

#[path = "../../../admission/tests/common/mod.rs"]
pub mod common;
pub mod scripted_processor;
pub mod socket_stage;
pub mod thrift;
pub mod virtual_stage;

use gradepin_core::admin::AdminRequest;
use serde_json::{Value, json};

/// An environment in which a scenario is executed.
pub trait Stage {
    /// Sends a frame on a client connection; with `more` it is buffered until the next one.
    fn send_frame(&mut self, conn: &str, bytes: &[u8], more: bool);
    /// Sends a line of the processor to the server.
    fn send_processor_line(&mut self, line: &str);
    /// Sends SIGTERM.
    fn terminate(&mut self);
    /// Takes the server out of service, or returns it to service.
    fn set_out_of_service(&mut self, out: bool);
    /// Reloads the configuration after the change named by `how`: `moved`, or a kind of [`changed_config`].
    fn reload(&mut self, how: &str);
    /// Sends a request to the admin endpoint and records the response as events.
    fn send_admin_request(&mut self, call: AdminRequest);
    /// Ends an upstream call: `RID 200 REPLY` or `RID untouched|500|504|refused|broken`.
    fn end_upstream_call(&mut self, line: &str) {
        panic!("this stage has no upstream: {line}");
    }
    /// Resolves the claim of a keyed run: `RID ours|full|unsure|failed` or `RID served RESULT`.
    fn resolve_claim(&mut self, line: &str) {
        panic!("this stage shares no keyed runs: {line}");
    }
    /// Answers the oldest look-up of a key: `TOKEN none|running|unsure|failed` or `TOKEN served RESULT`.
    fn resolve_lookup(&mut self, line: &str) {
        panic!("this stage shares no keyed runs: {line}");
    }
    fn open(&mut self, conn: &str);
    fn close(&mut self, peer: &str);
    fn half_close(&mut self, conn: &str);
    fn mark_late(&mut self, conn: &str) {
        panic!("this stage detects late connections itself: {conn}");
    }
    fn reset(&mut self, conn: &str) {
        panic!("this stage cannot reset a connection: {conn}");
    }
    fn set_reading_paused(&mut self, conn: &str, paused: bool) {
        panic!("this stage cannot pause reading: {conn} {paused}");
    }
    fn flood(&mut self, conn: &str, bytes: &[u8]) {
        panic!("this stage cannot flood a connection: {conn}, {} bytes", bytes.len());
    }
    fn trickle(&mut self, conn: &str, bytes: &[u8]) {
        panic!("this stage only sends complete messages: {conn}, {} bytes", bytes.len());
    }
    fn set_frozen(&mut self, frozen: bool) {
        panic!("this stage cannot be frozen: {frozen}");
    }
    fn set_control_plane_up(&mut self, up: bool) {
        panic!("this stage's control plane is always up: {up}");
    }
    /// The half of a request that has not been sent yet.
    fn unsent_half(&mut self, conn: &str) -> &mut Vec<u8> {
        panic!("this stage only sends complete messages: {conn}");
    }
    fn wait(&mut self, ms: u64);
    /// Unix time in ms.
    fn unix_ms(&self) -> u64;
    /// Waits for an event that begins with the words and removes it; otherwise returns the pending events.
    fn take_event(&mut self, words: &str) -> Result<String, Vec<String>>;
    /// Events that have occurred and were not taken.
    fn pending_events(&mut self) -> Vec<String>;
}

/// True if the event begins with all these words.
pub fn matches_words(event: &str, words: &str) -> bool {
    event.strip_prefix(words).is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
}

/// Configuration of the server under test: two classes, four cores.
pub fn config(listen: &str, processor: &str, control: &str) -> Value {
    let mut settings = common::base();
    settings["specifics"]["below"] = json!("off");
    settings["specifics"]["gauges"] = json!(["core_use", "on_cores", "heap_share", "links"]);
    settings["customers"] = json!([{"name": "acme", "quota_rps": 100.0, "portion": 1.0}]);
    json!({"name": "n1", "listen": listen, "processor": processor, "control": control, "seed": "8c1f30d27a5be964",
           "stop_ms": 2000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings})
}

/// Text of a configuration file after one change to the active one. Valid changes: `retuned` keeps `read` with a
/// longer deadline, drops `claim` and adds `view`; `calling` enables upstream calls; `unkeyed` makes `claim`
/// repeatable; `rekeyed` makes it keyed again with a short window; `hurried` shortens all deadlines to 1 s. Each of the others has one defect and must be
/// rejected.
pub fn changed_config(config: &Value, how: &str) -> String {
    let mut config = config.clone();
    let deadline = &mut config["settings"]["profiles"][0]["deadline"];
    match how {
        "retuned" => {
            *deadline = json!(5_000_000_000_u64);
            let view = json!({"name": "view", "promise": 500_000_000, "deadline": 2_000_000_000_u64,
                              "effect": "repeatable", "late_value": 0.0, "worth": 1.0});
            let read = config["settings"]["profiles"][0].clone();
            config["settings"]["profiles"] = json!([view, read]);
        }
        "hurried" => {
            for profile in config["settings"]["profiles"].as_array_mut().expect("classes") {
                profile["deadline"] = json!(1_000_000_000_u64);
            }
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
        "windowless" => drop(config["settings"]["profiles"][1].as_object_mut().map(|p| p.remove("window"))),
        "zero-window" => config["settings"]["profiles"][1]["window"] = json!(0),
        "costless" => drop(config["settings"]["specifics"].as_object_mut().map(|s| s.remove("kb_per_key"))),
        "keyless" => drop(config["settings"]["profiles"][0].as_object_mut().map(|p| p.remove("deadline"))),
        "zero-deadline" => *deadline = json!(0),
        "negative-deadline" => *deadline = json!(-1000),
        "word-deadline" => *deadline = json!("soon"),
        "broken" => return "{".to_string(),
        _ => panic!("unknown change of the configuration: {how}"),
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
    // `-` omits the budget.
    fields.extend(
        Some(field("budget").unwrap_or("4000"))
            .filter(|budget| *budget != "-")
            .map(|ms| ("budget", ms.into())),
    );
    // `-` omits the tenant.
    fields.extend(
        Some(field("acct").unwrap_or("acme")).filter(|acct| *acct != "-").map(|acct| ("acct", acct.into())),
    );
    fields.extend(field("again").map(|again| ("again", again.to_string())));
    fields.extend(field("token").map(|token| ("token", token.to_string())));
    thrift::call(words[0].parse().expect("a number"), &fields, field("body").unwrap_or("in").as_bytes())
}

/// Attempts of `until` before it fails; several seconds on sockets.
const MAX_UNTIL_ATTEMPTS: usize = 500;

fn admin_request(word: &str, at: &str) -> AdminRequest {
    match word {
        "health" => AdminRequest::Health,
        "stats" => AdminRequest::Stats,
        "fail" => AdminRequest::StartDrain,
        "ok" => AdminRequest::EndDrain,
        _ => panic!("{at}: unknown admin request"),
    }
}

/// Executes a scenario.
pub fn play(stage: &mut impl Stage, text: &str) {
    for (number, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let at = format!("line {}: {}", number + 1, line.trim());
        let seq = |n: usize| words[n].parse::<i32>().expect("a number");
        match words[..] {
            [] => {}
            ["send", "processor", ..] => stage.send_processor_line(&words[2..].join(" ")),
            ["send", "ledger", ..] => stage.end_upstream_call(&words[2..].join(" ")),
            ["send", "claims", ..] => stage.resolve_claim(&words[2..].join(" ")),
            ["send", "lookups", ..] => stage.resolve_lookup(&words[2..].join(" ")),
            ["send", "server", "TERM"] => stage.terminate(),
            ["send", "server", order @ ("OUT" | "IN")] => stage.set_out_of_service(order == "OUT"),
            ["send", "server", "HUP", how] => stage.reload(how),
            ["send", "admin", call] => stage.send_admin_request(admin_request(call, &at)),
            ["send", conn, "half", "call", ..] => {
                let mut first = call(&words[4..], stage.unix_ms());
                *stage.unsent_half(conn) = first.split_off(first.len() / 2);
                stage.send_frame(conn, &first, false);
            }
            ["send", conn, "rest"] => {
                let rest = std::mem::take(stage.unsent_half(conn));
                assert!(!rest.is_empty(), "{at}: no half was sent");
                stage.send_frame(conn, &rest, false);
            }
            ["send", conn, "call", ..] => stage.send_frame(conn, &call(&words[3..], stage.unix_ms()), false),
            ["send", conn, "+", "call", ..] => {
                stage.send_frame(conn, &call(&words[4..], stage.unix_ms()), true)
            }
            ["send", conn, "cancel", _] => stage.send_frame(conn, &thrift::cancel(seq(3)), false),
            ["send", conn, "health", _] => stage.send_frame(conn, &thrift::health(seq(3)), false),
            ["send", conn, "hex", bytes] => stage.send_frame(conn, &thrift::unhex(bytes), false),
            ["until", "admin", call, ..] => {
                // Repeats the request: on sockets a signal takes a while to have its effect.
                let line = format!("admin {}", words[3..].join(" "));
                let found = (0..MAX_UNTIL_ATTEMPTS).any(|_| {
                    stage.send_admin_request(admin_request(call, &at));
                    // The response has arrived by now, so `take_event` does not wait.
                    let occurred = stage.pending_events().iter().any(|event| matches_words(event, &line));
                    let found = occurred && stage.take_event(&line).is_ok();
                    stage.wait(if found { 0 } else { 20 });
                    found
                });
                assert!(found, "{at}: did not occur; pending events: {:?}", stage.pending_events());
            }
            ["expect", "no", ..] => {
                let (words, pending) = (words[2..].join(" "), stage.pending_events());
                assert!(
                    !pending.iter().any(|event| matches_words(event, &words)),
                    "{at}: occurred, in {pending:?}"
                );
            }
            ["expect", ..] => {
                let taken = stage.take_event(&words[1..].join(" "));
                assert!(taken.is_ok(), "{at}: pending events: {:?}", taken.err());
            }
            ["open", "control"] => stage.set_control_plane_up(true),
            ["close", "control"] => stage.set_control_plane_up(false),
            ["open", conn] => stage.open(conn),
            ["close", peer] => stage.close(peer),
            ["freeze"] => stage.set_frozen(true),
            ["thaw"] => stage.set_frozen(false),
            ["half-close", conn] => stage.half_close(conn),
            ["late", conn] => stage.mark_late(conn),
            ["reset", conn] => stage.reset(conn),
            ["hold", conn] => stage.set_reading_paused(conn, true),
            ["release", conn] => stage.set_reading_paused(conn, false),
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
            _ => panic!("{at}: unknown instruction"),
        }
    }
}
