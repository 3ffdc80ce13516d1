use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

/// A stand-in upstream that answers each call with the next of these replies, or never where there is none.
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

/// Guards each reply's meaning for the module: which prove that the call never ran, which may have had an
/// effect, and the body that goes to the run.
#[test]
fn maps_each_reply_to_its_outcome() {
    let replies = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Outcome::Success),
        ("HTTP/1.1 503 Busy\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n", Outcome::Rejected),
        ("HTTP/1.1 409 Conflict\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n", Outcome::Rejected),
        ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome::Failure),
        ("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", Outcome::Failure),
        ("HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", Outcome::TimedOut),
        // It breaks off: in the head, in the body, before a byte. It is longer than a reply may be, or none at all. Each
        // may have had its effect, and none of it goes to the run.
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
    // No reply within the limit: the call is given up, and may have had its effect.
    assert_eq!(outcome(upstream(vec![None]), 200).0, Outcome::TimedOut);
    // Nobody listens: it never ran.
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(outcome(gone, 2_000).0, Outcome::ConnectFailed);
}

/// Guards against a reply longer than a result may be, taken for a whole one or kept in memory as it comes.
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

/// Guards against a deadlock: the thread that makes calls is the one that empties the inputs, so a call that finds no
/// room must not be told to a queue that is full.
#[test]
fn returns_a_call_that_finds_the_queue_full_while_inputs_are_full() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (inputs, _came) = bounded(1);
    inputs.send(Input::LinkDown).unwrap();
    let log = Logger::root(slog::Discard, slog::o!());
    let address = silent.local_addr().unwrap();
    let client = UpstreamClient::start(address, 4, inputs, BufferPool::new(4), log).unwrap();
    let (told, tells) = bounded(1);
    thread::spawn(move || {
        let rejected = (0..QUEUE_CAPACITY + 4 + 1).filter_map(|n| {
            client.call((RequestId::new(&format!("{n:016x}")), 1), b"form", Span(60_000_000_000), None).err()
        });
        let all = rejected.collect::<Vec<_>>();
        told.send(all).unwrap();
    });
    let rejected = tells.recv_timeout(Duration::from_secs(20)).expect("no call waits for the inputs");
    assert!(!rejected.is_empty());
    let shed = |input: &Input| {
        matches!(input, Input::UpstreamCallEnded { outcome: Outcome::Rejected, reply: None, .. })
    };
    assert!(rejected.iter().all(shed));
}

/// Guards against a call that breaks, and may have run as far as anyone knows, only because its connection was closed
/// as idle before: that is seen before anything is written, and another connection is made.
#[test]
fn uses_another_connection_where_the_idle_one_was_closed() {
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
        let came = received.recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(matches!(came, Input::UpstreamCallEnded { outcome: Outcome::Success, .. }), "call {n}");
        closes.recv_timeout(Duration::from_secs(10)).unwrap();
    }
}

/// Numbers that a seed gives, the same on each machine.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: usize) -> usize {
        // Knuth's generator (MMIX); the high bits are the good ones.
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}

/// A reply with some bytes of it changed, left out, doubled or put in.
fn spoilt(whole: &[u8], draws: &mut Draws) -> Vec<u8> {
    let mut reply = whole.to_vec();
    for _ in 0..=draws.below(4) {
        let at = draws.below(reply.len().max(1));
        match draws.below(5) {
            0 if !reply.is_empty() => reply[at] = draws.below(256) as u8,
            1 if !reply.is_empty() => drop(reply.remove(at)),
            2 => reply.insert(at, b"\r\n :0f;\0\xff"[draws.below(9)]),
            3 => reply.truncate(at.max(1)),
            _ => reply.extend_from_slice(&whole[at % whole.len()..]),
        }
    }
    reply
}

/// Guards against a call that never ends, ends twice or takes its thread along, and against a reply cut short that is taken
/// for a whole one, whatever the upstream sends and wherever that breaks off.
#[test]
fn ends_each_call_once_whatever_the_reply() {
    let whole: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\nhello\r\n\r\nyou",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n\r\n\r\nyou\r\n0\r\n\r\n",
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 503 Busy\r\nX-Untouched: 1\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nbye",
    ];
    let (seed, mut replies) = (11, Vec::new());
    let mut draws = Draws(seed);
    replies.extend((0..whole[0].len()).map(|cut| whole[0][..cut].to_vec()));
    let cuts = replies.len();
    replies.extend((0..400).map(|n| spoilt(whole[n % 4], &mut draws)));
    replies.extend((0..8).map(|_| whole[0].to_vec()));
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
        // In time, however slow the machine: no verdict here hangs on how long a call takes.
        assert!(client.call((id, n as u64), b"form", Span(60_000_000_000), None).is_ok(), "seed {seed}, {n}");
        let Input::UpstreamCallEnded { call: number, outcome, reply, .. } =
            received.recv_timeout(Duration::from_secs(30)).unwrap_or_else(|_| {
                panic!(
                    "seed {seed}: call {n} never ends, answered with {:?}",
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
            assert_eq!(*end, (Outcome::Aborted, None), "cut at byte {n}");
        } else if n >= count - 8 {
            assert_eq!(*end, (Outcome::Success, Some(b"hello\r\n\r\nyou".to_vec())), "a thread is gone");
        }
    }
}
