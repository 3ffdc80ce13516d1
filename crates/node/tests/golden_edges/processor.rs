//! Golden lines in both directions on the link to the processor.

use super::assert_golden;
use crossbeam_channel::{Receiver, bounded};
use gradepin_admission::RequestId;
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{Input, RunEnd};
use gradepin_node::processor::Processor;
use slog::{Discard, Logger, o};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const MAX_WAIT: Duration = Duration::from_secs(20);

/// Every kind of line that the processor sends. Its start is a day ago, so that only a delay of that length could make
/// the second greeting look like one of another processor.
const PROCESSOR_LINES: &[u8] = b"hi WARM 86400000.25\r\n\
    complete 1 r1 OK 12.5 6\r\ntile\r\n\r\n\
    complete 2 r2 ERROR 0 0\r\n\r\n\
    complete 3 r3 STOPPED 7 1\r\n\xff\r\n\
    complete 4 r4 MOOT 7 0\r\n\r\n\
    ask 5 r5 4\r\nform\r\n\
    used 9 0.5 - 3e2\r\n\
    reject begin r6\r\n\
    reject interrupt r7\r\n\
    remark 6 any \xff thing\r\n\
    hi COLD 86400000.25\r\n";

/// Starts a stand-in processor's listener and a link to it; returns both with the queue of the server's inputs.
fn start() -> (TcpListener, Processor, Receiver<Input>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (inputs, received) = bounded(64);
    let address = listener.local_addr().expect("an address");
    let processor = Processor::connect(address, inputs, BufferPool::new(8), Logger::root(Discard, o!()));
    (listener, processor.expect("a link thread"), received)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (socket, _) = listener.accept().expect("a link");
    socket.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
    socket
}

/// Checks that exactly these bytes come next on the link.
fn assert_sent(socket: &mut TcpStream, expected: &[u8]) {
    let mut sent = vec![0; expected.len()];
    socket.read_exact(&mut sent).expect("the expected number of bytes");
    assert_eq!(sent.escape_ascii().to_string(), expected.escape_ascii().to_string());
}

/// Formats an input as a line of a golden file.
fn described(input: Input) -> String {
    let ended = |end| match end {
        RunEnd::Ok => "ok",
        RunEnd::Failed => "error",
        RunEnd::Stopped => "stopped",
        RunEnd::NotStarted => "moot",
    };
    match input {
        Input::LinkUp { link, cold, age } => format!("link {link}: cold {cold}, started {} ns ago\n", age.0),
        Input::RunCompleted { notice, id, end, took, result } => {
            let (end, result) = (ended(end), result.escape_ascii());
            format!("notice {notice}: {} ended {end} after {} ns with '{result}'\n", id.0, took.0)
        }
        Input::UpstreamCallRequested { notice, id, body } => {
            format!("notice {notice}: {} calls with '{}'\n", id.0, body.escape_ascii())
        }
        Input::GaugesRead { number, values } => format!("gauges {number}: {values:?}\n"),
        Input::RunNotStarted(id) => format!("{} not begun\n", id.0),
        Input::LinkDown => "link down\n".to_string(),
        _ => "another input\n".to_string(),
    }
}

#[test]
fn commands_match_golden_bytes() {
    let (listener, processor, received) = start();
    let mut socket = accept(&listener);
    assert_sent(&mut socket, b"hello 0\r\n");
    socket.write_all(b"hi COLD 0\r\ncomplete 40 r0 OK 1 0\r\n\r\n").expect("written");
    for _ in 0..2 {
        received.recv_timeout(MAX_WAIT).expect("an input");
    }
    let id = RequestId::new("00000000000000ab");
    processor.begin(1, &id, "label-save", b"in \x00\r\n");
    processor.begin(1, &id, "label-save", b"");
    processor.answer(1, &id, b"posted \xff");
    processor.interrupt(1, &id);
    processor.usage(1, 18_446_744_073_709_551_615);
    processor.flush();
    let expected = b"begin 00000000000000ab label-save 6\r\nin \x00\r\n\r\n\
        begin 00000000000000ab label-save 0\r\n\r\n\
        answer 00000000000000ab 8\r\nposted \xff\r\n\
        interrupt 00000000000000ab\r\n\
        usage 18446744073709551615\r\n";
    assert_sent(&mut socket, expected);
    drop(socket);
    assert_sent(&mut accept(&listener), b"hello 40\r\n");
}

#[test]
fn notices_match_golden_text() {
    let (listener, _processor, received) = start();
    let mut socket = accept(&listener);
    assert_sent(&mut socket, b"hello 0\r\n");
    socket.write_all(PROCESSOR_LINES).expect("written");
    drop(socket);
    let mut text = String::new();
    while !text.ends_with("link down\n") {
        text += &described(received.recv_timeout(MAX_WAIT).expect("an input"));
    }
    assert_golden("processor_notices.txt", text.as_bytes());
    assert_sent(&mut accept(&listener), b"hello 6\r\n");
}
