//! Golden tests of both front ends: the bytes of every kind of response, decoded requests, and the responses to invalid
//! requests.

use super::{assert_golden, line};
use gradepin_admission::{Settings, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{RequestError, Response};
use gradepin_node::frontend::scgi::Scgi;
use gradepin_node::frontend::scgi::codec::encode;
use gradepin_node::frontend::scgi::routes::Routes;
use gradepin_node::frontend::thrift::Thrift;
use gradepin_node::frontend::{DecodedFrame, DecodedMessage, Protocol};
use gradepin_node::settings::{ActiveSettings, OperatorSettings};
use std::sync::Arc;

const SCGI_BLOCK: &str = r#"scgi {
    listen "127.0.0.1:9001"
    route "/sheets/{id}" method="GET" class="view"
    route "/labels/{id}" method="PUT" class="save"
    health "/health"
    headers {
        tenant "HTTP_X_A"; caller "HTTP_X_B"; wait-ms "HTTP_X_C"; retry "HTTP_X_D"
        rank "HTTP_X_E"; memory-kb "HTTP_X_F"; id "HTTP_X_G"; token "HTTP_X_H"
    }
    memory-kb 17.5
    rank 0.375
}"#;

fn active_settings() -> ActiveSettings {
    let settings = serde_json::json!({
        "granularity": 1, "customers": [{"name": "acme", "portion": 1.0, "quota_rps": 1.0}],
        "profiles": [{"name": "view", "promise": 1, "deadline": 4_000_000_000_u64, "effect": "repeatable", "worth": 1.0},
                     {"name": "save", "promise": 1, "deadline": 5_000_000_000_u64, "effect": "by_key", "worth": 1.0}],
        "rules": {"fall": 1, "tip_multiple": 4.0, "drain_grace": 1},
        "specifics": {"n_cores": 1, "memory_kb": 1.0, "run_factor": 1.0}
    });
    ActiveSettings::new(&serde_json::from_value::<Settings>(settings).expect("settings"))
}

fn thrift() -> impl Protocol {
    Thrift::new(active_settings())
}

fn scgi() -> impl Protocol {
    let settings = OperatorSettings::parse(SCGI_BLOCK).expect("settings").scgi.expect("a block");
    Scgi::new(Routes::new(&settings, active_settings(), |_| true).expect("routes"), 7)
}

/// Each kind of response, with its label in the golden files.
fn answers() -> Vec<(&'static str, Response)> {
    let served = |bytes: &[u8]| {
        Response::Served(Arc::new(BufferPool::new(1).exact(bytes).expect("it fits in a buffer")))
    };
    let rejected =
        |retry_after, no_failover| Response::Rejected { retry_after: Span(retry_after), no_failover };
    let invalid = |error| Response::Invalid { error, text: "why not".into() };
    vec![
        ("served", served(b"tile \x00\xff\r\n")),
        ("served empty", served(b"")),
        ("rejected", rejected(0, false)),
        ("rejected with retry-after", rejected(1_200_000_001, false)),
        ("rejected with retry-after, final", rejected(250_000_000, true)),
        ("rejected, final", rejected(0, true)),
        ("failed", Response::Failed { timed_out: false }),
        ("failed late", Response::Failed { timed_out: true }),
        ("unknown outcome", Response::OutcomeUnknown),
        ("invalid request", invalid(RequestError::Malformed)),
        ("invalid not found", invalid(RequestError::NotFound)),
        ("invalid not allowed", invalid(RequestError::MethodNotAllowed)),
        ("invalid conflict", invalid(RequestError::Conflict)),
        ("invalid no length", invalid(RequestError::LengthRequired)),
        ("invalid too large", invalid(RequestError::BodyTooLarge)),
        ("invalid head too large", invalid(RequestError::HeaderTooLarge)),
        ("health good", Response::Health { healthy: true, store: None }),
        ("health bad", Response::Health { healthy: false, store: None }),
        ("health good with a store", Response::Health { healthy: true, store: Some("good") }),
        ("health bad with a store", Response::Health { healthy: false, store: Some("failed") }),
    ]
}

/// Encodes all responses: without and with a capacity hint, and while the server drains.
fn encoded(protocol: &impl Protocol) -> String {
    let pool = BufferPool::new(1);
    let mut text = String::new();
    for (label, answer) in answers() {
        for (suffix, hint, draining) in
            [("", None, false), (", hint", Some(0.625), false), (", draining", Some(3.0), true)]
        {
            let bytes = protocol.encode(-2, &answer, hint, draining, &pool).expect("it fits in a buffer");
            text += &line(&format!("{label}{suffix}"), &bytes);
        }
    }
    for (label, bytes) in [
        ("draining", protocol.drain_request(&pool)),
        ("malformed", protocol.malformed_response("no message", &pool)),
    ] {
        text += &bytes.map_or(format!("{label} is empty\n"), |bytes| line(label, &bytes));
    }
    text
}

/// Formats the first message decoded from these bytes; for an invalid one, the bytes of the response to it.
fn decoded(protocol: &impl Protocol, bytes: &[u8]) -> String {
    let pool = BufferPool::new(1);
    let message = match protocol.decoder().decode(bytes, &pool) {
        Ok(Some(DecodedFrame { message, .. })) => message,
        Ok(None) => return "incomplete".to_string(),
        Err(malformed) => return format!("malformed: {malformed}"),
    };
    match message {
        DecodedMessage::Request { sequence: seq, request: call } => {
            // SCGI requests have no arrival time of their own, so it is the time at which they are read.
            let t0 = if call.arrived_unix_ms == 17 { "17" } else { "now" };
            let times = format!("t0 {t0}, budget {}, retry {}", call.budget_ms, call.retry);
            let sizes = format!("size {}, rank {}, key {}", call.size_kb, call.precedence, call.has_subject);
            format!(
                "{seq}: id {}, class {}, tenant {:?}, caller {}, {times}, {sizes}, token {:?}, body {}",
                call.id.0,
                call.class.slot(),
                call.tenant.map(|tenant| tenant.slot()),
                call.client_proxy,
                call.idempotency_key.as_deref(),
                call.body.escape_ascii()
            )
        }
        DecodedMessage::HealthCheck { sequence: seq } => format!("{seq}: health"),
        DecodedMessage::Cancel { sequence: seq } => format!("{seq}: cancel"),
        DecodedMessage::Invalid { sequence: seq, invalid } => {
            let answer = protocol.encode(
                seq,
                &Response::Invalid { error: invalid.error, text: invalid.text },
                None,
                false,
                &pool,
            );
            answer.expect("it fits in a buffer").escape_ascii().to_string()
        }
        DecodedMessage::Unsupported => "skipped".to_string(),
        DecodedMessage::Incomplete => "incomplete".to_string(),
    }
}

fn string(text: &[u8]) -> Vec<u8> {
    [&(text.len() as u32).to_be_bytes()[..], text].concat()
}

/// A Thrift frame of this message kind with the sequence number 9.
fn frame(kind: u8, name: &str, arguments: &[u8]) -> Vec<u8> {
    let message =
        [&[0x80, 1, 0, kind][..], &string(name.as_bytes()), &[0, 0, 0, 9], arguments, &[0]].concat();
    string(&message)
}

/// A Thrift call with every field, some of them changed or omitted.
fn call(changes: &[(&str, Option<&str>)], body: &[u8]) -> Vec<u8> {
    let mut fields = vec![
        ("method", "save"),
        ("rid", "00000000000000ab"),
        ("t0", "17"),
        ("peer", "23"),
        ("acct", "acme"),
        ("budget", "480"),
        ("again", "1"),
        ("mem", "24.5"),
        ("prio", "0.625"),
        ("token", "k1"),
        ("obj", "sheet"),
    ];
    for (name, value) in changes {
        fields.retain(|(known, _)| known != name);
        fields.extend(value.map(|value| (*name, value)));
    }
    let count = (fields.len() as u32).to_be_bytes();
    let pairs: Vec<u8> = fields
        .iter()
        .flat_map(|(name, value)| [string(name.as_bytes()), string(value.as_bytes())].concat())
        .collect();
    let arguments = [&[13, 0, 1, 11, 11][..], &count, &pairs, &[11, 0, 2], &string(body)].concat();
    frame(1, "call", &arguments)
}

/// An SCGI request with every header, some of them changed or omitted.
fn request(changes: &[(&str, Option<&str>)], body: &[u8]) -> Vec<u8> {
    let mut headers = vec![
        ("REQUEST_METHOD", "PUT"),
        ("DOCUMENT_URI", "/labels/1?x=2"),
        ("HTTP_X_A", "acme"),
        ("HTTP_X_B", "23"),
        ("HTTP_X_C", "480"),
        ("HTTP_X_D", "1"),
        ("HTTP_X_E", "0.625"),
        ("HTTP_X_F", "24.5"),
        ("HTTP_X_G", "00000000000000ab"),
        ("HTTP_X_H", "\"k1\""),
    ];
    for (name, value) in changes {
        headers.retain(|(known, _)| known != name);
        headers.extend(value.map(|value| (*name, value)));
    }
    encode(&headers, body)
}

#[test]
fn thrift_answers_match_golden_bytes() {
    assert_golden("thrift_answers.txt", encoded(&thrift()).as_bytes());
}

#[test]
fn scgi_answers_match_golden_bytes() {
    assert_golden("scgi_answers.txt", encoded(&scgi()).as_bytes());
}

/// Formats the decoded message of each case.
fn outcomes<const N: usize>(protocol: &impl Protocol, cases: [(&str, Vec<u8>); N]) -> String {
    cases.iter().map(|(label, bytes)| format!("{label}: {}\n", decoded(protocol, bytes))).collect()
}

#[test]
fn thrift_requests_and_answers_to_invalid_ones_match_golden_bytes() {
    let with = |name: &'static str, value: &'static str| call(&[(name, Some(value))], b"in");
    let without = |name: &'static str| call(&[(name, None)], b"in");
    let optional = ["peer", "acct", "budget", "again", "prio", "token", "obj"].map(|name| (name, None));
    let cases = [
        ("every field", call(&[], b"in \x00\xff")),
        ("required fields alone", call(&[&optional[..], &[("method", Some("view"))]].concat(), b"")),
        ("health", frame(1, "health", b"")),
        ("cancel", frame(4, "cancel", &[8, 0, 1, 0, 0, 0, 5])),
        ("unknown oneway message", frame(4, "hello", b"")),
        ("no such message", frame(1, "hello\n", b"")),
        ("incomplete", call(&[], b"in")[..50].to_vec()),
        ("a reply", frame(2, "call", b"")),
        ("no method", without("method")),
        ("unknown method", with("method", "draw\n")),
        ("unknown tenant", with("acct", "nobody")),
        ("no id", without("rid")),
        ("odd id", with("rid", "begin")),
        ("no t0", without("t0")),
        ("no memory", without("mem")),
        ("too much memory", with("mem", "2000")),
        ("odd rank", with("prio", "1")),
        ("odd caller", with("peer", "x")),
        ("odd budget", with("budget", "-1")),
        ("no token in a keyed class", without("token")),
        ("body too long", call(&[], &[b'x'; 2049])),
    ];
    assert_golden("thrift_requests.txt", outcomes(&thrift(), cases).as_bytes());
}

#[test]
fn scgi_requests_and_answers_to_invalid_ones_match_golden_bytes() {
    let with = |name: &'static str, value: &'static str| request(&[(name, Some(value))], b"in");
    let without = |name: &'static str| request(&[(name, None)], b"in");
    let optional = ["HTTP_X_A", "HTTP_X_B", "HTTP_X_C", "HTTP_X_D", "HTTP_X_E", "HTTP_X_F", "HTTP_X_H"]
        .map(|name| (name, None));
    let view = [("REQUEST_METHOD", Some("GET")), ("DOCUMENT_URI", Some("/sheets/9"))];
    let cases = [
        ("every field", request(&[], b"in \x00\xff")),
        ("required fields alone", request(&[&optional[..], &view[..]].concat(), b"")),
        ("health", request(&[view[0], ("DOCUMENT_URI", Some("/health"))], b"")),
        ("incomplete", request(&[], b"in")[..50].to_vec()),
        ("no netstring", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("head too long", b"16385:".to_vec()),
        ("no headers", b"3:abc,".to_vec()),
        ("no length", b"7:SCGI\x001\x00,".to_vec()),
        ("odd length", b"17:CONTENT_LENGTH\x00x\x00,".to_vec()),
        ("no version", b"17:CONTENT_LENGTH\x000\x00,".to_vec()),
        ("a header twice", b"34:CONTENT_LENGTH\x000\x00CONTENT_LENGTH\x000\x00,".to_vec()),
        ("body too long", request(&[], &[b'x'; 2049])),
        ("no method", without("REQUEST_METHOD")),
        ("no path", without("DOCUMENT_URI")),
        ("no such path", with("DOCUMENT_URI", "/nothing")),
        ("another method", with("REQUEST_METHOD", "DELETE")),
        ("unknown tenant", with("HTTP_X_A", "nobody")),
        ("odd caller", with("HTTP_X_B", "x")),
        ("odd wait", with("HTTP_X_C", "-1")),
        ("odd rank", with("HTTP_X_E", "1.0")),
        ("odd memory", with("HTTP_X_F", "1e9")),
        ("odd id", with("HTTP_X_G", "123")),
        ("control bytes", with("HTTP_X_G", "forged\r\nbegin")),
        ("no token in a keyed class", without("HTTP_X_H")),
    ];
    assert_golden("scgi_requests.txt", outcomes(&scgi(), cases).as_bytes());
}
