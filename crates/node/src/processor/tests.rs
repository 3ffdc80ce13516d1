use super::*;
use gradepin_admission::Span;
use gradepin_core::buffer_pool::BUFFER_BYTES;
use std::io::Read;
use std::net::TcpListener;

/// Guards against growing reconnect pauses after long links that merely had no notices.
#[test]
fn lengthens_the_pause_only_after_short_links_without_notices() {
    let short = Duration::from_millis(3);
    assert_eq!(next_pause(MIN_RECONNECT_PAUSE, false, short), MIN_RECONNECT_PAUSE * 2);
    assert_eq!(next_pause(MAX_RECONNECT_PAUSE, false, short), MAX_RECONNECT_PAUSE);
    assert_eq!(next_pause(MAX_RECONNECT_PAUSE, false, STABLE_LINK_DURATION), MIN_RECONNECT_PAUSE);
    assert_eq!(next_pause(MAX_RECONNECT_PAUSE, true, short), MIN_RECONNECT_PAUSE);
}

/// Accepts a link at the processor's end and reads its `hello 0`.
fn accept_link(listener: &TcpListener) -> TcpStream {
    let (mut socket, _) = listener.accept().unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut hello = [0; 9];
    socket.read_exact(&mut hello).unwrap();
    assert_eq!(&hello, b"hello 0\r\n");
    socket
}

/// Guards against commands that are truncated, repeated or reordered, whatever their length and the size of a step,
/// with a full socket too; and against commands of an ended link that are sent on the next one.
#[test]
fn sends_commands_of_any_length_in_order_on_their_own_link() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (inputs, _received) = bounded(64);
    let log = Logger::root(slog::Discard, slog::o!());
    let (address, pool) = (listener.local_addr().unwrap(), BufferPool::new(8));
    let processor = Processor::connect(address, inputs, pool, log).unwrap();
    let mut first = accept_link(&listener);
    // Commands are dropped until this side has installed the link too.
    while processor.target.lock().unwrap().link.is_none() {
        thread::yield_now();
    }
    let mut expected = Vec::new();
    for n in 0..3_000_usize {
        let id = RequestId::new(&format!("{n:016x}"));
        let (body, class) = (vec![b'b'; n * 7 % 2_049], "c".repeat(1 + n % 3 * 2_300));
        processor.begin(1, &id, &class, &body);
        expected.extend_from_slice(format!("begin {} {class} {}\r\n", id.0, body.len()).as_bytes());
        expected.extend_from_slice(&[&body[..], b"\r\n"].concat());
        if n % 5 == 0 {
            let reply = vec![b'r'; n * 13 % (BUFFER_BYTES + 1)];
            processor.answer(1, &id, &reply);
            expected.extend_from_slice(format!("answer {} {}\r\n", id.0, reply.len()).as_bytes());
            expected.extend_from_slice(&[&reply[..], b"\r\n"].concat());
        }
        if n % 3 == 0 {
            processor.flush();
        }
        processor.usage(2, 999);
    }
    processor.flush();
    let mut received = vec![0; expected.len()];
    first.read_exact(&mut received).unwrap();
    assert!(received == expected, "the received commands differ from the sent ones");
    processor.begin(1, &RequestId::new("late"), "c", b"never flushed");
    drop(first);
    let mut second = accept_link(&listener);
    while processor.target.lock().unwrap().link.as_ref().is_none_or(|link| link.number != 2) {
        thread::yield_now();
    }
    processor.begin(1, &RequestId::new("late"), "c", b"of the link before");
    processor.usage(2, 7);
    processor.flush();
    let mut received = [0; 9];
    second.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"usage 7\r\n");
}

/// Guards against lost results if a new processor answers a replay: it would omit notices up to the number in the
/// `hello`, which is one of its predecessor.
#[test]
fn forgets_the_last_notice_when_another_processor_answers_a_replay() {
    let up = Span(10_000_000_000);
    for another in [false, true] {
        let mut progress = NoticeProgress::new();
        assert_eq!(progress.greet(progress.now(), up), Greeting::Known);
        progress.record(40);
        progress.end_link();
        assert_eq!(progress.start_link(true), 0);
        let (age, expected, last) = match another {
            true => (Span(0), Greeting::Another, 3),
            false => (Span(up.0 * 2), Greeting::Known, 40),
        };
        assert_eq!(progress.greet(progress.now(), age), expected);
        progress.record(3);
        progress.end_link();
        assert_eq!(progress.start_link(false), last);
    }
    let mut progress = NoticeProgress::new();
    assert_eq!(progress.greet(progress.now(), up), Greeting::Known);
    progress.record(40);
    assert_eq!(progress.greet(progress.now(), Span(0)), Greeting::AnotherWithGap);
    progress.end_link();
    assert_eq!(progress.start_link(false), 0);
}
