//! `gradepin config` against scripted admin servers: requests sent, output printed, and exit status. The calls of a
//! script must arrive in order; nothing depends on timing.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{self, JoinHandle};

/// Reaction of the stand-in to one call.
enum Step {
    /// Answers with this status and body.
    Answer(u16, &'static str),
    /// Reads the call and closes the connection, so that the answer is lost.
    DropConnection,
}

/// Starts an admin server that executes one step per call; its thread returns head line and body of each call.
fn start_admin_server(script: Vec<Step>) -> (SocketAddr, JoinHandle<Vec<(String, String)>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let play = move || {
        let take = |step: Step| {
            let (mut stream, _) = listener.accept().unwrap();
            let call = read(&mut stream);
            if let Step::Answer(status, body) = step {
                let length = body.len();
                let head =
                    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
                stream.write_all((head + body).as_bytes()).unwrap();
            }
            call
        };
        script.into_iter().map(take).collect()
    };
    (address, thread::spawn(play))
}

fn read(stream: &mut TcpStream) -> (String, String) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).unwrap();
    (head.lines().next().unwrap().into(), String::from_utf8(body).unwrap())
}

fn gradepin(addresses: &[SocketAddr], words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gradepin"));
    command.arg("config").args(words);
    addresses.iter().for_each(|address| {
        command.arg("--door").arg(address.to_string());
    });
    command.output().unwrap()
}

fn apply(addresses: &[SocketAddr], more: &[&str]) -> Output {
    // Tests run concurrently in one process, so each call gets its own file.
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let number = CALLS.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("gradepin-config-{}-{number}.json", std::process::id()));
    std::fs::write(&file, r#"{"tenants": [{"name": "osm", "portion": 0.2}], "remove_classes": ["old"]}"#)
        .unwrap();
    let file = file.to_str().unwrap().to_string();
    let words = ["apply", &file, "--why", "more for osm", "--author", "kaisa", "--request-id", "r-1"];
    gradepin(addresses, &[&words, more].concat())
}

fn outcome(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

const COMMITTED: &str = r#"{"state":"committed","revision":42,"repeated":false}"#;
const COMMITTED_BEFORE: &str = r#"{"state":"committed","revision":42,"repeated":true}"#;
const PENDING: &str = r#"{"state":"pending","request_id":"r-1"}"#;

#[test]
fn apply_posts_a_change_and_polls_until_it_is_committed() {
    let (address, calls) = start_admin_server(vec![
        Step::Answer(202, PENDING),
        Step::Answer(202, PENDING),
        Step::Answer(200, COMMITTED),
    ]);
    let output = apply(&[address], &["--expected", "41"]);
    assert_eq!(outcome(&output), (Some(0), "committed as revision 42".into(), String::new()));
    let calls = calls.join().unwrap();
    assert_eq!(calls[0].0, "POST /config/apply HTTP/1.1");
    assert_eq!(calls[2].0, "GET /config/apply?request-id=r-1 HTTP/1.1");
    let body: serde_json::Value = serde_json::from_str(&calls[0].1).unwrap();
    let proposal = &body["proposal"];
    assert_eq!((&proposal["expected"], &proposal["author"]), (&41.into(), &"kaisa".into()));
    assert_eq!(proposal["transaction"]["changes"].as_array().unwrap().len(), 2);
}

/// The leader fails between commit and answer: the same body and id go to the next server, which returns the revision
/// that was committed.
#[test]
fn a_lost_answer_is_requested_from_the_next_server_under_the_same_id() {
    let (first, first_calls) = start_admin_server(vec![Step::DropConnection]);
    let (second, second_calls) = start_admin_server(vec![Step::Answer(200, COMMITTED_BEFORE)]);
    let output = apply(&[first, second], &[]);
    assert_eq!(outcome(&output), (Some(0), "was committed as revision 42 before".into(), String::new()));
    assert_eq!(first_calls.join().unwrap(), second_calls.join().unwrap());
}

/// The server accepted the request and has forgotten it by the next poll: the change is posted there again.
#[test]
fn a_request_unknown_to_its_server_is_posted_again() {
    let unknown = r#"{"refused":"unknown_request","request_id":"r-1"}"#;
    let (address, calls) = start_admin_server(vec![
        Step::Answer(202, PENDING),
        Step::Answer(404, unknown),
        Step::Answer(200, COMMITTED_BEFORE),
    ]);
    assert_eq!(apply(&[address], &[]).status.code(), Some(0));
    let calls = calls.join().unwrap();
    assert_eq!(calls[0], calls[2]);
}

#[test]
fn each_rejection_has_its_message_and_exit_status() {
    let cases = [
        (
            409,
            r#"{"refused":"stale","expected":41,"in_force":43}"#,
            3,
            "expected revision 41 to be in force, revision 43 is",
        ),
        (
            422,
            r#"{"refused":"invalid","path":"changes[0].portion","expected":"at most 1","came":"1.2"}"#,
            1,
            "changes[0].portion: expected at most 1, got 1.2",
        ),
        (404, r#"{"refused":"off"}"#, 1, "the configuration service is off at this server"),
    ];
    for (status, body, code, text) in cases {
        let (address, calls) = start_admin_server(vec![Step::Answer(status, body)]);
        let output = apply(&[address], &[]);
        assert_eq!(outcome(&output), (Some(code), String::new(), format!("gradepin: refused: {text}")));
        calls.join().unwrap();
    }
}

/// Without time for a retry, a change that was never accepted is distinguished from one that may have been committed.
#[test]
fn a_change_not_accepted_and_an_unknown_outcome_have_different_exit_statuses() {
    let busy = r#"{"refused":"too_busy","retry_ms":500}"#;
    let (address, calls) = start_admin_server(vec![Step::Answer(429, busy)]);
    let output = apply(&[address], &["--wait", "0"]);
    assert_eq!(
        outcome(&output),
        (Some(4), String::new(), "gradepin: not taken: too busy, ask again in 500 ms".into())
    );
    calls.join().unwrap();

    let (address, calls) = start_admin_server(vec![Step::DropConnection]);
    let (code, _, text) = outcome(&apply(&[address], &["--wait", "0"]));
    assert_eq!(code, Some(5));
    assert!(text.contains("ask again with --request-id r-1"), "{text}");
    calls.join().unwrap();

    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(apply(&[closed], &["--wait", "0"]).status.code(), Some(4));
}

#[test]
fn a_rollback_as_dry_run_sends_revision_and_flag() {
    let (address, calls) =
        start_admin_server(vec![Step::Answer(200, r#"{"state":"valid","against":41,"changes":3}"#)]);
    let words = ["rollback", "38", "--why", "tiles late", "--dry-run"];
    let (code, text, _) = outcome(&gradepin(&[address], &words));
    let expected = "valid against revision 41: 3 entries would change; nothing was proposed";
    assert_eq!((code, text.as_str()), (Some(0), expected));
    let calls = calls.join().unwrap();
    assert_eq!(calls[0].0, "POST /config/rollback HTTP/1.1");
    let body: serde_json::Value = serde_json::from_str(&calls[0].1).unwrap();
    assert_eq!((&body["to"], &body["dry_run"]), (&38.into(), &true.into()));
}

#[test]
fn status_shows_revisions_and_lagging_servers() {
    let reply = r#"{"server": "n1", "revision": 42, "digest": "9f", "newest": 42, "leader": "n2", "age_s": 0.8, "stale": true,
        "source": "fleet", "cannot_apply": null, "revisions": [{"revision": 42, "proposed_at_ms": 1, "servers": 1098,
        "of_servers": 1100, "zones": 14, "of_zones": 15, "p50_ms": 900, "p99_ms": 4100}], "lagging": [{"server": "n7",
        "zone": "lahti-1", "revision": 40, "since_s": 61.0, "reachable": false, "cannot_apply": null}], "lagging_servers": 2}"#;
    let (address, calls) = start_admin_server(vec![Step::Answer(200, reply)]);
    let (code, text, _) = outcome(&gradepin(&[address], &["status"]));
    assert_eq!(code, Some(0));
    for part in [
        "STALE",
        "1098/1100",
        "14/15",
        "0.9 s",
        "4.1 s",
        "n7 in lahti-1: revision 40, for 61 s, not heard now",
        "and 1 more",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    calls.join().unwrap();
}

#[test]
fn show_reads_all_pages() {
    let page = r#"{"revision": 4, "digest": "9f", "classes": 1, "tenants": 2, "rules": [],
        "entries": [{"tenant": {"name": "a b", "quota_rps": 0.0, "portion": 0.1}}], "next": "a b"}"#;
    let last = r#"{"revision": 4, "digest": "9f", "classes": 1, "tenants": 2, "rules": [],
        "entries": [{"tenant": {"name": "c", "quota_rps": 0.0, "portion": 0.2}}], "next": null}"#;
    let (address, calls) = start_admin_server(vec![Step::Answer(200, page), Step::Answer(200, last)]);
    let (code, text, _) = outcome(&gradepin(&[address], &["show", "--tenants"]));
    assert_eq!((code, text.lines().count()), (Some(0), 2), "{text}");
    assert_eq!(calls.join().unwrap()[1].0, "GET /config/show?kind=tenants&limit=500&after=a%20b HTTP/1.1");
}

#[test]
fn an_invalid_document_is_never_sent() {
    let file = std::env::temp_dir().join(format!("gradepin-config-bad-{}.kdl", std::process::id()));
    std::fs::write(&file, "tenants 3\nsurprise 1\n").unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (code, _, text) = outcome(&gradepin(&[closed], &["apply", file.to_str().unwrap(), "--why", "x"]));
    assert_eq!(code, Some(1));
    assert!(text.contains(".kdl:") && !text.contains("admin endpoint"), "{text}");
}

#[test]
fn the_example_document_is_sent_completely() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/config.kdl");
    let (address, calls) = start_admin_server(vec![Step::Answer(200, COMMITTED)]);
    let output = gradepin(&[address], &["apply", example, "--why", "a share for osm", "--request-id", "r-1"]);
    assert_eq!(outcome(&output).0, Some(0), "{output:?}");
    let body: serde_json::Value = serde_json::from_str(&calls.join().unwrap()[0].1).unwrap();
    assert_eq!(body["proposal"]["transaction"]["changes"].as_array().unwrap().len(), 6);
}
