use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

/// A stand-in ledger that answers each call with the next of these replies, or holds it without one.
fn ledger(replies: Vec<Option<&'static str>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (reply, socket) in replies.into_iter().zip(listener.incoming()) {
            let mut socket = socket.unwrap();
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && socket.read(&mut byte).unwrap_or(0) == 1 {
                head.push(byte[0]);
            }
            let text = String::from_utf8_lossy(&head).to_lowercase();
            assert!(text.starts_with("post /post http/1.1\r\n"), "{text}");
            assert!(
                text.contains("x-txn-ref: 00000000000000a1\r\n") && text.contains("x-limit-ms: "),
                "{text}"
            );
            let mut body = [0; 4];
            socket.read_exact(&mut body).unwrap();
            assert_eq!(&body, b"form");
            match reply {
                Some(reply) => socket.write_all(reply.as_bytes()).unwrap(),
                None => thread::sleep(Duration::from_secs(2)),
            }
        }
    });
    address
}

fn outcome(address: SocketAddr, limit_ms: u64) -> (Outcome, Option<Vec<u8>>) {
    let (inputs, came) = bounded(4);
    let pool = Pool::new(4);
    let log = Logger::root(slog::Discard, slog::o!());
    let ledger = SharedLedger::start(address, 4, inputs, pool, log).unwrap();
    assert!(
        ledger
            .call((RequestId::new("00000000000000a1"), 1), b"form", Span(limit_ms * 1_000_000), None)
            .is_ok()
    );
    match came.recv_timeout(Duration::from_secs(10)).unwrap() {
        Input::Called { outcome, reply, .. } => (outcome, reply.map(|reply| reply.to_vec())),
        _ => panic!("another input"),
    }
}

/// Guards each reply's meaning for the module: which prove that the call never ran, which may have had an
/// effect, and the body that goes to the run.
#[test]
fn replies_of_the_ledger_say_what_became_of_a_call() {
    let replies = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Outcome::Delivered),
        ("HTTP/1.1 503 Busy\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n", Outcome::Shed),
        ("HTTP/1.1 409 Conflict\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n", Outcome::Shed),
        ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome::AppError),
        ("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", Outcome::AppError),
        ("HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", Outcome::Expired),
        // It breaks off: in the head, in the body, before a byte. It is longer than a reply may be, or none at all. Each
        // may have had its effect, and none of it goes to the run.
        ("HTTP/1.1 200 OK\r\nContent-Le", Outcome::Dropped),
        ("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf", Outcome::Dropped),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", Outcome::Dropped),
        ("", Outcome::Dropped),
        ("nonsense\r\n\r\n", Outcome::Dropped),
    ];
    for (reply, expected) in replies {
        let (outcome, body) = outcome(ledger(vec![Some(reply)]), 2_000);
        assert_eq!(outcome, expected, "{reply}");
        assert_eq!(body.is_some(), expected == Outcome::Delivered, "{reply}");
    }
    assert_eq!(outcome(ledger(vec![Some(replies[0].0)]), 2_000).1.as_deref(), Some(&b"ok"[..]));
    // No reply within the limit: the call is given up, and may have had its effect.
    assert_eq!(outcome(ledger(vec![None]), 200).0, Outcome::Expired);
    // Nobody listens: it never ran.
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(outcome(gone, 2_000).0, Outcome::DialFailed);
}

/// Guards against a reply longer than a result may be, taken for a whole one or kept in memory as it comes.
#[test]
fn a_reply_that_is_too_long_never_reaches_the_run() {
    let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", SIZE * 4, "x".repeat(SIZE * 4));
    let reply: &'static str = Box::leak(reply.into_boxed_str());
    assert_eq!(outcome(ledger(vec![Some(reply)]), 2_000), (Outcome::Dropped, None));
}

/// Guards against a deadlock: the thread that makes calls is the one that empties the inputs, so a call that finds no
/// room must not be told to a queue that is full.
#[test]
fn a_call_without_room_is_given_back_though_the_inputs_are_full() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (inputs, _came) = bounded(1);
    inputs.send(Input::LinkDown).unwrap();
    let log = Logger::root(slog::Discard, slog::o!());
    let address = silent.local_addr().unwrap();
    let ledger = SharedLedger::start(address, 4, inputs, Pool::new(4), log).unwrap();
    let (told, tells) = bounded(1);
    thread::spawn(move || {
        let turned_away = (0..QUEUE + 4 + 1).filter_map(|n| {
            ledger.call((RequestId::new(&format!("{n:016x}")), 1), b"form", Span(60_000_000_000), None).err()
        });
        let all = turned_away.collect::<Vec<_>>();
        told.send(all).unwrap();
    });
    let turned_away = tells.recv_timeout(Duration::from_secs(20)).expect("no call waits for the inputs");
    assert!(!turned_away.is_empty());
    let shed = |input: &Input| matches!(input, Input::Called { outcome: Outcome::Shed, reply: None, .. });
    assert!(turned_away.iter().all(shed));
}

/// Guards against a call that breaks, and may have run as far as anyone knows, only because its connection was closed
/// as idle before: that is seen before anything is written, and another connection is made.
#[test]
fn a_call_whose_connection_was_closed_idle_takes_another() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, closes) = bounded(2);
    thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\nform") && socket.read(&mut byte).unwrap_or(0) == 1 {
                head.push(byte[0]);
            }
            socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
            drop(socket);
            closed.send(()).unwrap();
        }
    });
    let (inputs, came) = bounded(4);
    let log = Logger::root(slog::Discard, slog::o!());
    let ledger = SharedLedger::start(address, 4, inputs, Pool::new(4), log).unwrap();
    for n in 0..2 {
        let id = RequestId::new(&format!("{n:016x}"));
        assert!(ledger.call((id, n), b"form", Span(10_000_000_000), None).is_ok());
        let came = came.recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(matches!(came, Input::Called { outcome: Outcome::Delivered, .. }), "call {n}");
        closes.recv_timeout(Duration::from_secs(10)).unwrap();
    }
}
