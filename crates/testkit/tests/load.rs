//! The open-loop client proxy against a scripted server on loopback. No result depends on the speed of the machine.

use gradepin_testkit::load::{Proxy, ProxyBehavior, Records, Repeats, RequestRecord, Retry, StaticServers};
use gradepin_testkit::thrift;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Behavior of the scripted server.
#[derive(Clone, Copy)]
enum Script {
    /// Rejects every request with this Retry-After time in milliseconds.
    Refuse(u64),
    /// Reads nothing for this time, then serves everything.
    Stall(Duration),
}

/// Starts a scripted server; returns its address and its count of received calls.
fn server(script: Script) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    let calls = Arc::<AtomicUsize>::default();
    let counts = Arc::clone(&calls);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counts = Arc::clone(&counts);
            thread::spawn(move || answer(stream, script, &counts));
        }
    });
    (address, calls)
}

fn answer(mut stream: TcpStream, script: Script, calls: &AtomicUsize) {
    if let Script::Stall(time) = script {
        thread::sleep(time);
    }
    let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
    while let Ok(len @ 1..) = stream.read(&mut chunk) {
        bytes.extend_from_slice(&chunk[..len]);
        while let Ok(Some(len)) = thrift::frame(&bytes) {
            if let Ok(call) = thrift::read_call(&bytes[4..len]) {
                calls.fetch_add(1, Ordering::SeqCst);
                let result = [&b"result of "[..], &call.body].concat();
                let frame = match script {
                    Script::Refuse(ms) => thrift::refused(call.seq, ms),
                    Script::Stall(_) => thrift::served(call.seq, &result),
                };
                let _ = stream.write_all(&frame);
            }
            bytes.drain(..len);
        }
    }
}

fn play(address: SocketAddr, behavior: ProxyBehavior, seconds: f64) -> Records {
    let list = StaticServers { all: vec![address], turn: 0 };
    let proxy = Proxy::start(1, 11, behavior, Box::new(list)).expect("a proxy");
    thread::sleep(Duration::from_secs_f64(seconds));
    proxy.stop()
}

/// With a Retry-After time of 200 ms, a patient client that waits at most 1,450 ms makes no more than eight attempts per
/// request, and a client that ignores it makes many more.
#[test]
fn patient_client_honors_retry_after_and_unlimited_client_ignores_it() {
    let attempts = |retry| {
        let (address, calls) = server(Script::Refuse(200));
        let behavior = ProxyBehavior {
            rate: 20.0,
            retry,
            honors_retry_after: false,
            scgi_share: 0.0,
            repeats: Repeats::default(),
        };
        let records = play(address, behavior, 1.0);
        assert!(records.requests.iter().all(|request| request.took_ms.is_none()));
        let (attempts, requests) = (records.tries.len(), records.requests.len());
        assert!(requests > 0 && calls.load(Ordering::SeqCst) >= attempts);
        (attempts, requests)
    };
    let (listed, requests) = attempts(Retry::Listed(1));
    assert_eq!(listed, requests);
    let (patient, requests) = attempts(Retry::Patient);
    assert!(patient > requests && patient <= 8 * requests, "{patient} tries of {requests}");
    let (unlimited, requests) = attempts(Retry::Unlimited);
    assert!(unlimited > 8 * requests, "{unlimited} tries of {requests}");
}

/// Guards against coordinated omission: a stall of half a second counts for every request scheduled during it, because the
/// client doesn't wait for answers before it sends the next request.
#[test]
fn stall_counts_for_every_request_scheduled_during_it() {
    let (address, _) = server(Script::Stall(Duration::from_millis(500)));
    let records = play(address, ProxyBehavior::thrift(200.0, 1, false), 0.7);
    let first_ms = records.requests.iter().map(|request| request.arrived_ms).min().expect("requests");
    let early: Vec<&RequestRecord> =
        records.requests.iter().filter(|request| request.arrived_ms < first_ms + 250).collect();
    assert!(early.len() >= 20, "{} came in the first 250 ms", early.len());
    let waited = early.iter().filter(|request| request.took_ms.is_some_and(|ms| ms >= 200)).count();
    assert_eq!(waited, early.len(), "each of them waited for the end of the stall");
}
