//! The kit's open-loop client against a scripted server on loopback. No verdict hangs on how fast the machine is.

use gradepin_testkit::load::{Proxy, ProxyBehavior, Records, Repeats, RequestRecord, Retry, StaticServers};
use gradepin_testkit::thrift;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// What the scripted server does with its requests.
#[derive(Clone, Copy)]
enum Script {
    /// Refuses all, and asks to stay away for so many milliseconds.
    Refuse(u64),
    /// Reads nothing for so long, then serves everything.
    Stall(Duration),
}

/// A server on a loopback address; threads of its own end with their connections.
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

fn play(address: SocketAddr, habit: ProxyBehavior, seconds: f64) -> Records {
    let list = StaticServers { all: vec![address], turn: 0 };
    let proxy = Proxy::start(1, 11, habit, Box::new(list)).expect("a proxy");
    thread::sleep(Duration::from_secs_f64(seconds));
    proxy.stop()
}

/// Guards against a patient habit that hurries, and an unlimited one that stops: with advice of 200 ms a caller that
/// waits 1,450 ms at the most has room for eight tries, and one that ignores advice makes many more.
#[test]
fn a_patient_proxy_waits_as_told_and_an_unlimited_one_never_does() {
    let tries = |retry| {
        let (address, calls) = server(Script::Refuse(200));
        let habit = ProxyBehavior {
            rate: 20.0,
            retry,
            honors_retry_after: false,
            scgi_share: 0.0,
            repeats: Repeats::default(),
        };
        let books = play(address, habit, 1.0);
        assert!(books.requests.iter().all(|asked| asked.took_ms.is_none()));
        let (tries, requests) = (books.tries.len(), books.requests.len());
        assert!(requests > 0 && calls.load(Ordering::SeqCst) >= tries);
        (tries, requests)
    };
    let (listed, requests) = tries(Retry::Listed(1));
    assert_eq!(listed, requests);
    let (patient, requests) = tries(Retry::Patient);
    assert!(patient > requests && patient <= 8 * requests, "{patient} tries of {requests}");
    let (unlimited, requests) = tries(Retry::Unlimited);
    assert!(unlimited > 8 * requests, "{unlimited} tries of {requests}");
}

/// Guards against omitted waits: a server that stalls for half a second is charged for each request that the schedule
/// has come meanwhile, and the sender doesn't wait for answers before it sends the next.
#[test]
fn a_stall_is_charged_to_every_request_that_was_to_come_in_it() {
    let (address, _) = server(Script::Stall(Duration::from_millis(500)));
    let books = play(address, ProxyBehavior::thrift(200.0, 1, false), 0.7);
    let begun = books.requests.iter().map(|asked| asked.arrived_ms).min().expect("requests");
    let early: Vec<&RequestRecord> =
        books.requests.iter().filter(|asked| asked.arrived_ms < begun + 250).collect();
    assert!(early.len() >= 20, "{} came in the first 250 ms", early.len());
    let waited = early.iter().filter(|asked| asked.took_ms.is_some_and(|ms| ms >= 200)).count();
    assert_eq!(waited, early.len(), "each of them waited for the end of the stall");
}
