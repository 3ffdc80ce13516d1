use super::*;
use std::io::Read;
use std::net::TcpListener;

/// Guards against a link that is made later and later because the ones before it were only quiet.
#[test]
fn only_links_that_fell_young_and_brought_nothing_lengthen_the_pause() {
    let young = Duration::from_millis(3);
    assert_eq!(next_pause(RETRY, false, young), RETRY * 2);
    assert_eq!(next_pause(MOST_RETRY, false, young), MOST_RETRY);
    assert_eq!(next_pause(MOST_RETRY, false, STOOD), RETRY);
    assert_eq!(next_pause(MOST_RETRY, true, young), RETRY);
}

/// Takes the processor's end of a link, and what `hello` it began with.
fn accepted(listener: &TcpListener) -> TcpStream {
    let (mut socket, _) = listener.accept().unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut hello = [0; 9];
    socket.read_exact(&mut hello).unwrap();
    assert_eq!(&hello, b"hello 0\r\n");
    socket
}

/// Guards against commands that are cut, doubled or overtake one another: whatever their lengths, in steps of any size
/// and with a socket that is full, and against commands of a link that has ended on the one after it.
#[test]
fn commands_of_any_length_leave_whole_in_their_order_on_their_own_link() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (inputs, _came) = bounded(64);
    let log = Logger::root(slog::Discard, slog::o!());
    let (address, pool) = (listener.local_addr().unwrap(), BufferPool::new(8));
    let processor = Processor::connect(address, inputs, pool, log).unwrap();
    let mut first = accepted(&listener);
    // The link can be used once it stands here too; a command for it before that would be dropped.
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
    let mut came = vec![0; expected.len()];
    first.read_exact(&mut came).unwrap();
    assert!(came == expected, "another command than was given");
    processor.begin(1, &RequestId::new("late"), "c", b"never flushed");
    drop(first);
    let mut second = accepted(&listener);
    while processor.target.lock().unwrap().link.as_ref().is_none_or(|link| link.number != 2) {
        thread::yield_now();
    }
    processor.begin(1, &RequestId::new("late"), "c", b"of the link before");
    processor.usage(2, 7);
    processor.flush();
    let mut came = [0; 9];
    second.read_exact(&mut came).unwrap();
    assert_eq!(&came, b"usage 7\r\n");
}

/// Guards against results lost of a processor that takes the place of another while that one was to tell all again: it
/// was greeted with a number of the one before.
#[test]
fn a_retelling_that_another_processor_answers_leaves_no_number_of_the_one_before() {
    let up = Span(10_000_000_000);
    for another in [false, true] {
        let mut progress = Progress::new();
        assert_eq!(progress.greeted(progress.now(), up), Greeted::Known);
        progress.read(40);
        progress.ended();
        assert_eq!(progress.hello(true), 0);
        let (age, expected, last) = match another {
            true => (Span(0), Greeted::Another, 3),
            false => (Span(up.0 * 2), Greeted::Known, 40),
        };
        assert_eq!(progress.greeted(progress.now(), age), expected);
        progress.read(3);
        progress.ended();
        assert_eq!(progress.hello(false), last);
    }
    let mut progress = Progress::new();
    assert_eq!(progress.greeted(progress.now(), up), Greeted::Known);
    progress.read(40);
    assert_eq!(progress.greeted(progress.now(), Span(0)), Greeted::AnotherUnread);
    progress.ended();
    assert_eq!(progress.hello(false), 0);
}
