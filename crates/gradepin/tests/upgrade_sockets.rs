//! Upgrades with two real processes on one inherited listener.

mod scenario;
mod upgrade_platform;

use scenario::{call, thrift};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use upgrade_platform::{Platform, RUN_DURATION, STOP, answer, request, terminate, unix_ms};

/// Counters of a client proxy: requests sent, answers received, and answers still owed when a connection ended.
#[derive(Default, Debug)]
struct ProxyCounts {
    sent: u64,
    answered: u64,
    lost: u64,
    connections: u64,
}

/// Sends requests on a connection until the server asks it to drain, then waits for the answers and opens another
/// connection.
fn proxy(address: SocketAddr, first_rid: u64, stop: &AtomicBool) -> ProxyCounts {
    let mut counts = ProxyCounts::default();
    let mut rid = first_rid;
    while !stop.load(Ordering::SeqCst) {
        let mut socket = TcpStream::connect(address).expect("the test keeps the listener open");
        counts.connections += 1;
        let (mut open, mut seq, mut draining) = (0_u64, 0, false);
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
        let mut frames = Vec::new();
        loop {
            if !draining && !stop.load(Ordering::SeqCst) && open < 4 {
                (seq, rid) = (seq + 1, rid + 1);
                let words = [seq.to_string(), format!("rid={rid}"), "body=tile".to_string()];
                let words: Vec<&str> = words.iter().map(String::as_str).collect();
                if socket.write_all(&call(&words, unix_ms())).is_err() {
                    counts.lost += open;
                    break;
                }
                (open, counts.sent) = (open + 1, counts.sent + 1);
            }
            let mut chunk = [0; 4096];
            match socket.read(&mut chunk) {
                Ok(0) => {
                    counts.lost += open;
                    break;
                }
                Ok(n) => frames.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => {
                    counts.lost += open;
                    break;
                }
            }
            while frames.len() >= 4 {
                let len = u32::from_be_bytes(frames[..4].try_into().expect("four bytes")) as usize;
                let Some(frame) = frames.get(4..4 + len) else { break };
                let event = thrift::event(frame);
                frames.drain(..4 + len);
                if event == "draining" {
                    draining = true;
                } else {
                    (open, counts.answered) = (open - 1, counts.answered + 1);
                }
            }
            if (draining || stop.load(Ordering::SeqCst)) && open == 0 {
                break;
            }
        }
    }
    counts
}

#[test]
fn a_keyed_request_that_ran_in_the_old_process_is_answered_by_the_new_one_without_a_run() {
    // Guards idempotency across an upgrade, where both processes count as one server. The stand-in processors
    // count the runs they begin, which would reveal a second run.
    let platform = Platform::new("shared", RUN_DURATION);
    let old = platform.start_old();
    let mut before = platform.connect();
    assert_eq!(request(&mut before, 1, "rid=1 method=claim token=t body=mine"), "1 served mine");
    let _new = platform.start_new();
    // A request that is still running in the old process when the new one receives its retry.
    let running = call(&["2", "rid=2", "method=claim", "token=u", "body=yours"], unix_ms());
    before.write_all(&running).expect("it takes bytes");
    platform.wait_for_keyed_runs(2);
    platform.hand_over(&old);
    const CONFLICT: &str = "3 invalid the token came before with another body or class";
    let mut after = platform.connect();
    let runs = platform.keyed_runs.load(Ordering::SeqCst);
    assert_eq!(request(&mut after, 1, "rid=3 method=claim token=u body=yours"), "1 served yours");
    assert_eq!(request(&mut after, 2, "rid=4 method=claim token=t body=mine"), "2 served mine");
    assert_eq!(request(&mut after, 3, "rid=5 method=claim token=t body=other"), CONFLICT);
    assert_eq!(platform.keyed_runs.load(Ordering::SeqCst), runs, "a request ran a second time");
    assert_eq!(request(&mut after, 4, "rid=6 method=claim token=new body=new"), "4 served new");
    assert_eq!(platform.keyed_runs.load(Ordering::SeqCst), runs + 1);
}

#[test]
fn a_keyed_request_is_not_refused_by_the_new_process_while_the_old_one_has_the_store() {
    // Guards against a refusal by a process that can't know (review, case 7): the old process has the store, and the new
    // one refused what the old one had run.
    let platform = Platform::with_store("store-refusal", RUN_DURATION);
    let old = platform.start_old();
    let mut before = platform.connect();
    assert_eq!(request(&mut before, 1, "rid=1 method=claim token=t body=mine"), "1 served mine");
    // Keeps the old process until its stop.
    let running = call(&["2", "rid=2", "body=tile"], unix_ms());
    let _new = platform.start_new();
    before.write_all(&running).expect("it takes bytes");
    platform.hand_over(&old);
    let mut after = platform.connect();
    let runs = platform.keyed_runs.load(Ordering::SeqCst);
    let retry = request(&mut after, 1, "rid=3 method=claim token=t body=mine again=1");
    // The store may have been taken over by now.
    assert!(
        ["1 unknown", "1 failed", "1 served mine"].iter().any(|answer| retry.starts_with(answer)),
        "{retry}"
    );
    assert_eq!(platform.keyed_runs.load(Ordering::SeqCst), runs, "a request ran a second time");
    let read = request(&mut after, 2, "rid=4 body=tile");
    assert_eq!(read, "2 served tile");
}

#[test]
fn a_try_without_time_left_is_not_refused_by_the_new_process_if_the_old_one_ran_it() {
    // Guards against a caller that takes a request which ran to another server: the new process would refuse a try
    // that has too little time to run, without having asked whether the old one ran the request.
    let platform = Platform::new("refusal", RUN_DURATION);
    let old = platform.start_old();
    let mut before = platform.connect();
    assert_eq!(request(&mut before, 1, "rid=1 method=claim token=t body=mine"), "1 served mine");
    let _new = platform.start_new();
    platform.hand_over(&old);
    let mut after = platform.connect();
    let retry = request(&mut after, 1, "rid=2 method=claim token=t body=mine budget=1 again=1");
    // A slow look-up may fail the try, which promises nothing.
    assert!(["1 served mine", "1 failed"].contains(&retry.as_str()), "{retry}");
    let new = request(&mut after, 2, "rid=3 method=claim token=new body=new budget=1");
    assert!(["2 refused", "2 failed"].iter().any(|answer| new.starts_with(answer)), "{new}");
}

#[test]
fn an_upgrade_on_an_inherited_listener_loses_no_request_in_flight() {
    // Guards the hand-over: the new process reports ready once it can serve, the old one stops accepting at
    // SIGTERM, answers everything it has read and exits before SIGKILL; no request goes unanswered.
    let platform = Platform::new("upgrade", RUN_DURATION);
    let mut old = platform.start_old();
    let stop = Arc::new(AtomicBool::new(false));
    let proxies: Vec<_> = (0..4)
        .map(|n| {
            let (address, stop) = (platform.address, Arc::clone(&stop));
            thread::spawn(move || proxy(address, n * 1_000_000, &stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let _new = platform.start_new();
    terminate(&old);
    let (took, status) = old.wait_for_exit();
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let counts: Vec<ProxyCounts> = proxies.into_iter().map(|proxy| proxy.join().expect("a proxy")).collect();
    assert!(status.success(), "the old process exited with {status:?}");
    assert!(took < STOP, "the old process took {took:?}");
    let (sent, answered, lost) =
        counts.iter().fold((0, 0, 0), |(s, a, l), p| (s + p.sent, a + p.answered, l + p.lost));
    assert!(counts.iter().all(|proxy| proxy.connections >= 2), "some proxy did not reconnect: {counts:?}");
    assert_eq!((lost, answered), (0, sent), "{counts:?}");
}

#[test]
fn the_old_process_answers_a_run_that_outlasts_the_stop() {
    // Guards against a connection that ends without an answer: the old process would exit before its admission module
    // had given up on what still runs.
    let platform = Platform::new("outlasting", STOP * 2);
    let mut old = platform.start_old();
    let mut before = platform.connect();
    before.write_all(&call(&["1", "rid=1", "body=tile"], unix_ms())).expect("it takes bytes");
    let _new = platform.start_new();
    terminate(&old);
    assert_eq!(answer(&mut before), "1 failed");
    let (took, status) = old.wait_for_exit();
    assert!(status.success(), "the old process exited with {status:?}");
    assert!(took < STOP, "the old process took {took:?} after its answer");
}
