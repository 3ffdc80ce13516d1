//! The end of an old process that clients go on using until it goes, with real processes on one inherited listener.

mod scenario;
mod upgrade_platform;

use rustix::process::Signal;
use scenario::{call, thrift};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use upgrade_platform::{Platform, STOP, TIMEOUT, request, signal, terminate, unix_ms};

/// A request that was written at most this long before its connection ended may have crossed the close, and is sent
/// again by its client.
const CROSSING: Duration = Duration::from_millis(50);

/// Requests that a busy client keeps open on its connection.
const MAX_OPEN: usize = 4;

/// What a client saw that uses its connection until the connection ends.
#[derive(Default)]
struct BusyClient {
    answered: usize,
    /// Time from the last byte of each unanswered request to the end of the connection.
    unanswered: Vec<Duration>,
}

/// Keeps [`MAX_OPEN`] requests open, whatever the server asks for, until the connection ends.
fn use_until_the_end(mut socket: TcpStream, first_rid: u64) -> BusyClient {
    let mut client = BusyClient::default();
    let (mut frames, mut written) = (Vec::new(), Vec::new());
    let mut chunk = [0; 4096];
    loop {
        while written.len() < client.answered + MAX_OPEN {
            let (seq, rid) =
                ((written.len() + 1).to_string(), format!("rid={}", first_rid + written.len() as u64));
            // The server may have closed the connection; answers that it sent before are still read.
            let _ = socket.write_all(&call(&[&seq, &rid, "body=tile"], unix_ms()));
            written.push(Instant::now());
        }
        match socket.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(n) => frames.extend_from_slice(&chunk[..n]),
        }
        while frames.len() >= 4 {
            let len = u32::from_be_bytes(frames[..4].try_into().expect("four bytes")) as usize;
            let Some(frame) = frames.get(4..4 + len) else { break };
            client.answered += usize::from(thrift::event(frame) != "draining");
            frames.drain(..4 + len);
        }
    }
    client.unanswered = written[client.answered..].iter().map(Instant::elapsed).collect();
    client
}

#[test]
fn requests_that_are_read_until_the_exit_of_the_old_process_are_answered() {
    // Guards against requests that the reading thread has read and the exiting process never handles: the exit was decided
    // while it went on reading.
    let platform = Platform::new("reading", Duration::from_millis(1));
    let mut old = platform.start_old();
    let sockets: Vec<TcpStream> = (0..48).map(|_| platform.connect()).collect();
    let clients: Vec<_> = sockets
        .into_iter()
        .zip(1_u64..)
        .map(|(socket, n)| thread::spawn(move || use_until_the_end(socket, n * 1_000_000)))
        .collect();
    let _new = platform.start_new();
    terminate(&old);
    let (_, status) = old.wait_for_exit();
    assert!(status.success(), "the old process exited with {status:?}");
    let clients: Vec<BusyClient> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let lost = clients.iter().flat_map(|client| &client.unanswered).filter(|age| **age > CROSSING).count();
    let log = platform.old_log();
    let unhandled: Vec<&str> = log.lines().filter(|line| line.contains("read and not handled")).collect();
    assert!(unhandled.is_empty(), "{unhandled:?}");
    assert_eq!(lost, 0, "of {} answered", clients.iter().map(|client| client.answered).sum::<usize>());
}

#[test]
fn requests_that_arrive_while_the_old_process_is_stopped_over_its_exit_are_answered() {
    // Guards against requests that end unanswered although time is left: a process that was stopped over its latest exit
    // exited in its first step, with what had arrived meanwhile unread in its sockets.
    let platform = Platform::new("stopped", Duration::from_millis(1));
    let old = platform.start_old();
    let mut sockets: Vec<TcpStream> = (0..8).map(|_| platform.connect()).collect();
    for (socket, rid) in sockets.iter_mut().zip(1..) {
        assert_eq!(request(socket, 1, &format!("rid={rid} body=tile")), "1 served tile");
    }
    let _new = platform.start_new();
    terminate(&old);
    // The clients stay in use, so that their connections are not closed as idle.
    let busy_until = Instant::now() + STOP - Duration::from_millis(500);
    for seq in 2_u64.. {
        for (socket, n) in sockets.iter_mut().zip(1_u64..) {
            request(socket, seq, &format!("rid={} body=tile", seq * 1000 + n));
        }
        if Instant::now() > busy_until {
            signal(&old, Signal::STOP);
            break;
        }
    }
    for (socket, rid) in sockets.iter_mut().zip(100..) {
        let words = ["9999".to_string(), format!("rid={rid}"), "body=tile".to_string()];
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        socket.write_all(&call(&words, unix_ms())).expect("it takes bytes");
    }
    thread::sleep(Duration::from_millis(450));
    signal(&old, Signal::CONT);
    let answered =
        sockets.iter_mut().filter_map(read_answer).filter(|answer| answer.starts_with("9999 ")).count();
    assert_eq!(answered, 8, "log of the old process:\n{}", platform.old_log());
}

/// Reads the next answer; `None` if the connection ends without one.
fn read_answer(socket: &mut TcpStream) -> Option<String> {
    socket.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    loop {
        let mut len = [0; 4];
        socket.read_exact(&mut len).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(len) as usize];
        socket.read_exact(&mut frame).ok()?;
        let event = thrift::event(&frame);
        if event != "draining" {
            return Some(event);
        }
    }
}
