//! The admin endpoint: readiness, manual drain and metrics, on the virtual clock and on sockets.

mod scenario;
use scenario::play;
use scenario::socket_stage::SocketStage;
use scenario::virtual_stage::VirtualStage;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn a_new_process_is_ready_only_after_its_processor_greeted() {
    // Guards upgrades: the old process is stopped once the new one is ready, so ready must mean that it can serve.
    play(
        &mut VirtualStage::new(),
        "send admin health
         expect admin 503 not ready: no processor
         send processor hi COLD 0
         send admin health
         expect admin 200 ready
         send server TERM
         send admin health
         expect admin 503 not ready: leaving",
    );
}

#[test]
fn a_manual_drain_and_its_end_change_readiness_at_once_while_requests_are_served() {
    // Guards the manual drain: no positive readiness after the call, requests that still arrive are served, the
    // process keeps running, and readiness returns with the end of the drain without delay.
    play(
        &mut VirtualStage::ready(),
        "expect control Ready
         send admin fail
         expect admin 200 draining
         expect control NotReady
         send admin health
         expect admin 503 not ready: drained
         send a health 1
         expect a 1 bad
         send a call 2 rid=1 body=tile
         expect processor begin 1 read tile
         send processor complete 1 1 OK out
         expect a 2 served out
         wait 5000
         expect no exit
         send admin health
         expect admin 503 not ready: drained
         expect no control Ready
         send admin ok
         expect admin 200 serving
         expect control Ready
         send admin health
         expect admin 200 ready
         send a health 3
         expect a 3 good",
    );
}

#[test]
fn the_metrics_match_a_scripted_run() {
    // Guards each metric against a scripted run: two requests served, one rejected before the processor greeted, one
    // failed, the runs forwarded, and the request still open.
    play(
        &mut VirtualStage::new(),
        "send a call 1 rid=9
         expect a 1 refused
         send processor hi WARM 0
         send a call 2 rid=1
         send a call 3 rid=2
         send a call 4 rid=3
         expect processor begin 1
         expect processor begin 2
         expect processor begin 3
         send processor complete 1 1 OK one
         send processor complete 2 2 OK two
         send processor complete 3 3 ERROR
         expect a 2 served one
         expect a 3 served two
         expect a 4 failed
         send a call 5 rid=4
         expect processor begin 4
         send admin stats
         expect admin 200 server_operations_total{priority=\"read\",status=\"fulfilled\"} 2
         expect admin 200 server_operations_total{priority=\"read\",status=\"throttled\"} 1
         expect admin 200 server_operations_total{priority=\"read\",status=\"faulted\"} 1
         expect admin 200 server_relayed_total 4
         expect admin 200 server_open_requests 1
         expect admin 200 server_cfg_accepted_total 0
         expect admin 200 server_cfg_invalid_total 0",
    );
}

#[test]
fn the_admin_endpoint_answers_on_sockets_as_on_the_virtual_stage() {
    play(
        &mut SocketStage::start("door"),
        "expect processor hello 0
         expect control Ready
         send admin health
         expect admin 200 ready
         send admin fail
         expect admin 200 draining
         send admin health
         expect admin 503 not ready: drained
         send a call 1 rid=1 body=tile
         expect processor begin 1 read tile
         send processor complete 1 1 OK out
         expect a 1 served out
         send admin ok
         expect admin 200 serving
         send admin stats
         expect admin 200 server_operations_total{priority=\"read\",status=\"fulfilled\"} 1
         expect admin 200 server_relayed_total 1",
    );
}

/// Sends one complete request to the admin endpoint; returns the response time and the full response.
fn call(address: &str, request: &str) -> (Duration, String) {
    let start = Instant::now();
    let mut socket = TcpStream::connect(address).expect("the admin endpoint listens");
    socket.write_all(request.as_bytes()).expect("the admin endpoint reads");
    let mut response = String::new();
    socket.read_to_string(&mut response).expect("a response");
    (start.elapsed(), response)
}

#[test]
fn the_admin_endpoint_answers_in_time_beside_slow_callers_and_a_client_flood() {
    // Guards the response time of the admin endpoint: one second, while 50 callers each hold half a request and
    // clients flood the server. The bound is ten times the response time on a slow machine.
    let stage = SocketStage::start("door-busy");
    let admin = {
        let address: std::net::SocketAddr = stage.address().parse().unwrap();
        std::net::SocketAddr::new(address.ip(), address.port() + 1).to_string()
    };
    let (took, first) = loop {
        match TcpStream::connect(&admin) {
            Ok(_) => break call(&admin, "GET /healthcheck HTTP/1.1\r\n\r\n"),
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    assert!(first.starts_with("HTTP/1.1 "), "{first} after {took:?}");
    let slow: Vec<TcpStream> = (0..50)
        .map(|_| {
            let mut socket = TcpStream::connect(&admin).expect("the admin endpoint listens");
            socket.write_all(b"GET /stats HTTP/1.1\r\nHost: a").expect("the admin endpoint reads");
            socket
        })
        .collect();
    let flood: Vec<u8> = (1..=2000).flat_map(scenario::thrift::health).collect();
    let mut clients: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(stage.address()).unwrap()).collect();
    for client in &mut clients {
        client.write_all(&flood).expect("the flood fits the socket buffers");
    }
    for (request, status) in [
        ("GET /stats HTTP/1.1\r\n\r\n", "HTTP/1.1 200 "),
        ("GET /healthcheck HTTP/1.1\r\n\r\n", "HTTP/1.1 200 "),
        ("GET /nowhere HTTP/1.1\r\n\r\n", "HTTP/1.1 404 "),
        ("PUT /stats HTTP/1.1\r\n\r\n", "HTTP/1.1 405 "),
        ("\u{1}\u{2}\r\n\r\n", "HTTP/1.1 400 "),
    ] {
        let (took, response) = call(&admin, request);
        assert!(response.starts_with(status), "{request:?}: {response}");
        assert!(took < Duration::from_secs(1), "{request:?} took {took:?}");
    }
    // Slow callers are timed out with a response of their own instead of keeping their slots.
    for mut socket in slow {
        let mut response = String::new();
        socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let _ = socket.read_to_string(&mut response);
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 408 "), "{response}");
    }
}

/// Guards against admin callers that take more descriptors than are reserved for them: while clients held every
/// connection slot, callers were dropped without an answer, and anything else that needed a descriptor failed, such
/// as a new processor link.
#[test]
fn admin_callers_take_no_more_descriptors_than_are_reserved_for_them() {
    const CALLERS: usize = 32;
    let mut stage = SocketStage::with("door-descriptors", 128, |_| ());
    play(
        &mut stage,
        "expect processor hello 0\nexpect control Ready\nsend admin health\nexpect admin 200 ready",
    );
    for n in 0..150 {
        play(&mut stage, &format!("open i{n}"));
    }
    let address: std::net::SocketAddr = stage.address().parse().unwrap();
    let admin = std::net::SocketAddr::new(address.ip(), address.port() + 1).to_string();
    let slow: Vec<TcpStream> = (0..CALLERS)
        .map(|_| {
            let mut socket = TcpStream::connect(&admin).expect("the admin endpoint listens");
            socket.write_all(b"GET /stats HTTP/1.1\r\nHost: a").expect("the admin endpoint reads");
            socket
        })
        .collect();
    for (n, mut socket) in slow.into_iter().enumerate() {
        let mut response = String::new();
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let read = socket.read_to_string(&mut response);
        assert!(read.is_ok() && response.starts_with("HTTP/1.1 408 "), "caller {n}: {read:?} {response}");
    }
    assert!(stage.descriptor_count() <= 128);
    play(&mut stage, "send admin health\nexpect admin 200 ready");
}
