use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

/// Starts a stand-in upstream that sends the next of these replies to each call; `None` sends no reply.
fn upstream(replies: Vec<Option<&'static str>>) -> SocketAddr {
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
    let (inputs, received) = bounded(4);
    let pool = BufferPool::new(4);
    let log = Logger::root(slog::Discard, slog::o!());
    let client = UpstreamClient::start(address, 4, inputs, pool, log).unwrap();
    assert!(
        client
            .call((RequestId::new("00000000000000a1"), 1), b"form", Span(limit_ms * 1_000_000), None)
            .is_ok()
    );
    match received.recv_timeout(Duration::from_secs(10)).unwrap() {
        Input::UpstreamCallEnded { outcome, reply, .. } => (outcome, reply.map(|reply| reply.to_vec())),
        _ => panic!("another input"),
    }
}

/// Guards the mapping of replies to outcomes: which ones prove that the call never ran, which ones may have had an
/// effect, and the body that is delivered to the run.
#[test]
fn maps_each_reply_to_its_outcome() {
    let replies = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Outcome::Success),
        ("HTTP/1.1 503 Busy\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n", Outcome::Rejected),
        ("HTTP/1.1 409 Conflict\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n", Outcome::Rejected),
        ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome::Failure),
        ("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", Outcome::Failure),
        ("HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", Outcome::TimedOut),
        // Truncated in the head, in the body or before the first byte, or no HTTP at all: the call may have had its
        // effect, and nothing is delivered to the run.
        ("HTTP/1.1 200 OK\r\nContent-Le", Outcome::Aborted),
        ("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf", Outcome::Aborted),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", Outcome::Aborted),
        ("", Outcome::Aborted),
        ("nonsense\r\n\r\n", Outcome::Aborted),
    ];
    for (reply, expected) in replies {
        let (outcome, body) = outcome(upstream(vec![Some(reply)]), 2_000);
        assert_eq!(outcome, expected, "{reply}");
        assert_eq!(body.is_some(), expected == Outcome::Success, "{reply}");
    }
    assert_eq!(outcome(upstream(vec![Some(replies[0].0)]), 2_000).1.as_deref(), Some(&b"ok"[..]));
    // No reply within the timeout: the call is cancelled and may have had its effect.
    assert_eq!(outcome(upstream(vec![None]), 200).0, Outcome::TimedOut);
    // No listener: the call never ran.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(outcome(closed, 2_000).0, Outcome::ConnectFailed);
}

/// Guards against an oversized reply that is delivered truncated, or buffered without a bound.
#[test]
fn drops_a_reply_longer_than_a_result() {
    let reply = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        BUFFER_BYTES * 4,
        "x".repeat(BUFFER_BYTES * 4)
    );
    let reply: &'static str = Box::leak(reply.into_boxed_str());
    assert_eq!(outcome(upstream(vec![Some(reply)]), 2_000), (Outcome::Aborted, None));
}

/// Guards against a deadlock: the thread that queues calls also empties the inputs, so the end of a rejected call must
/// not be sent to a full queue of inputs.
#[test]
fn returns_a_rejected_call_while_the_queue_of_inputs_is_full() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (inputs, _unread) = bounded(1);
    inputs.send(Input::LinkDown).unwrap();
    let log = Logger::root(slog::Discard, slog::o!());
    let address = silent.local_addr().unwrap();
    let client = UpstreamClient::start(address, 4, inputs, BufferPool::new(4), log).unwrap();
    let (done, results) = bounded(1);
    thread::spawn(move || {
        let rejected = (0..QUEUE_CAPACITY + 4 + 1).filter_map(|n| {
            client.call((RequestId::new(&format!("{n:016x}")), 1), b"form", Span(60_000_000_000), None).err()
        });
        let all = rejected.collect::<Vec<_>>();
        done.send(all).unwrap();
    });
    let rejected = results.recv_timeout(Duration::from_secs(20)).expect("no call waits for the inputs");
    assert!(!rejected.is_empty());
    let is_rejected = |input: &Input| {
        matches!(input, Input::UpstreamCallEnded { outcome: Outcome::Rejected, reply: None, .. })
    };
    assert!(rejected.iter().all(is_rejected));
}

/// Guards against a call that fails with an unknown effect only because the upstream closed the idle connection: the
/// close is detected before anything is written, and another connection is made.
#[test]
fn uses_another_connection_if_the_idle_one_was_closed() {
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
    let (inputs, received) = bounded(4);
    let log = Logger::root(slog::Discard, slog::o!());
    let client = UpstreamClient::start(address, 4, inputs, BufferPool::new(4), log).unwrap();
    for n in 0..2 {
        let id = RequestId::new(&format!("{n:016x}"));
        assert!(client.call((id, n), b"form", Span(10_000_000_000), None).is_ok());
        let ended = received.recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(matches!(ended, Input::UpstreamCallEnded { outcome: Outcome::Success, .. }), "call {n}");
        closes.recv_timeout(Duration::from_secs(10)).unwrap();
    }
}

/// Pseudo-random numbers that depend on the seed alone, so that failures are reproducible.
struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, bound: usize) -> usize {
        // Knuth's linear congruential generator (MMIX), of which only the high bits are random enough.
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}

/// A reply with some bytes changed, removed, inserted, truncated or duplicated.
fn corrupted(complete: &[u8], rng: &mut SeededRng) -> Vec<u8> {
    let mut reply = complete.to_vec();
    for _ in 0..=rng.below(4) {
        let at = rng.below(reply.len().max(1));
        match rng.below(5) {
            0 if !reply.is_empty() => reply[at] = rng.below(256) as u8,
            1 if !reply.is_empty() => drop(reply.remove(at)),
            2 => reply.insert(at, b"\r\n :0f;\0\xff"[rng.below(9)]),
            3 => reply.truncate(at.max(1)),
            _ => reply.extend_from_slice(&complete[at % complete.len()..]),
        }
    }
    reply
}

/// Guards against calls that never end, end twice or panic their thread, and against truncated replies that are taken
/// for complete ones: replies are cut at every byte or randomly corrupted.
#[test]
fn ends_each_call_once_whatever_the_reply() {
    let complete: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\nhello\r\n\r\nyou",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n\r\n\r\nyou\r\n0\r\n\r\n",
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 503 Busy\r\nX-Untouched: 1\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nbye",
    ];
    let (seed, mut replies) = (11, Vec::new());
    let mut rng = SeededRng(seed);
    replies.extend((0..complete[0].len()).map(|cut| complete[0][..cut].to_vec()));
    let cuts = replies.len();
    replies.extend((0..400).map(|n| corrupted(complete[n % 4], &mut rng)));
    replies.extend((0..8).map(|_| complete[0].to_vec()));
    let (count, sent) = (replies.len(), replies.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for socket in listener.incoming() {
            let (mut socket, replies) = (socket.unwrap(), replies.clone());
            thread::spawn(move || {
                let (mut head, mut byte) = (Vec::new(), [0]);
                while !head.ends_with(b"\r\n\r\nform") && socket.read(&mut byte).unwrap_or(0) == 1 {
                    head.push(byte[0]);
                }
                let text = String::from_utf8_lossy(&head).to_lowercase();
                if let Some((_, id)) = text.split_once("x-txn-ref: ") {
                    let _ = socket.write_all(&replies[usize::from_str_radix(&id[..16], 16).unwrap()]);
                }
            });
        }
    });
    let (inputs, received) = bounded(count);
    let log = Logger::root(slog::Discard, slog::o!());
    let client = UpstreamClient::start(address, 4, inputs, BufferPool::new(4), log).unwrap();
    let mut ends = vec![None; count];
    for n in 0..count {
        let id = RequestId::new(&format!("{n:016x}"));
        // The timeout is long enough for a slow machine: the test doesn't depend on the duration of a call.
        assert!(client.call((id, n as u64), b"form", Span(60_000_000_000), None).is_ok(), "seed {seed}, {n}");
        let Input::UpstreamCallEnded { call: number, outcome, reply, .. } =
            received.recv_timeout(Duration::from_secs(30)).unwrap_or_else(|_| {
                panic!(
                    "seed {seed}: call {n} never ended after the reply {:?}",
                    String::from_utf8_lossy(&sent[n])
                )
            })
        else {
            panic!("another input");
        };
        assert_eq!(number, n as u64, "seed {seed}");
        assert_eq!(reply.is_some(), outcome == Outcome::Success, "seed {seed}, {n}");
        let end = (outcome, reply.map(|reply| reply.to_vec()));
        assert!(ends[n].replace(end).is_none(), "seed {seed}: call {n} ended twice");
    }
    assert!(received.try_recv().is_err(), "a call ended twice");
    for (n, end) in ends.iter().flatten().enumerate() {
        if n < cuts {
            assert_eq!(*end, (Outcome::Aborted, None), "reply truncated at byte {n}");
        } else if n >= count - 8 {
            assert_eq!(
                *end,
                (Outcome::Success, Some(b"hello\r\n\r\nyou".to_vec())),
                "a calling thread has ended"
            );
        }
    }
}
