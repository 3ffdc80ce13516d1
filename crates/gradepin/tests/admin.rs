//! The operators' door: readiness, the drain by hand and the figures, on the virtual clock and on sockets.

mod scenario;
use scenario::play;
use scenario::sockets::Sockets;
use scenario::virtually::Virtually;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn a_new_process_says_it_is_ready_only_once_its_processor_greeted() {
    // Guards the upgrade: the old process is stopped once the new one says yes, which must mean it can serve.
    play(
        &mut Virtually::new(),
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
fn a_drain_says_no_at_once_serves_what_comes_and_its_end_says_yes_at_once() {
    // Guards the rule on draining: no good answer after the call, what still comes is served, the process stays,
    // and the good answer is back with the end of the drain, not seconds later.
    play(
        &mut Virtually::up(),
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
fn the_figures_count_what_the_peers_saw() {
    // Guards each figure against a scripted run: two served, one turned away before the processor, one failed, the
    // runs handed over, and what is open now.
    play(
        &mut Virtually::new(),
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
fn the_door_answers_on_sockets_what_it_answers_virtually() {
    play(
        &mut Sockets::up("door"),
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

/// One whole call at the door, and how long its response took; the status line and the body.
fn call(address: &str, request: &str) -> (Duration, String) {
    let start = Instant::now();
    let mut socket = TcpStream::connect(address).expect("the door listens");
    socket.write_all(request.as_bytes()).expect("the door reads");
    let mut response = String::new();
    socket.read_to_string(&mut response).expect("a response");
    (start.elapsed(), response)
}

#[test]
fn the_door_answers_in_time_beside_slow_callers_and_a_flood_of_clients() {
    // Guards the door's promise: an answer within a second, while 50 callers each hold half a request and the
    // clients' front takes all it can. The bound is ten times what the door needs on a slow machine.
    let stage = Sockets::up("door-busy");
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
            let mut socket = TcpStream::connect(&admin).expect("the door listens");
            socket.write_all(b"GET /stats HTTP/1.1\r\nHost: a").expect("the door reads");
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
    // The slow ones are cut off with a response of their own, not left to hold their places.
    for mut socket in slow {
        let mut response = String::new();
        socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let _ = socket.read_to_string(&mut response);
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 408 "), "{response}");
    }
}

/// Guards against a door whose callers take more descriptors than are kept back for them: beside clients that hold every
/// place, callers were dropped unanswered, and so was whatever else needed a descriptor, such as a new link.
#[test]
fn callers_take_no_more_descriptors_than_are_kept_back_for_them() {
    const CALLERS: usize = 32;
    let mut stage = Sockets::with("door-descriptors", 128, |_| ());
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
            let mut socket = TcpStream::connect(&admin).expect("the door listens");
            socket.write_all(b"GET /stats HTTP/1.1\r\nHost: a").expect("the door reads");
            socket
        })
        .collect();
    for (n, mut socket) in slow.into_iter().enumerate() {
        let mut response = String::new();
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let read = socket.read_to_string(&mut response);
        assert!(read.is_ok() && response.starts_with("HTTP/1.1 408 "), "caller {n}: {read:?} {response}");
    }
    assert!(stage.descriptors() <= 128);
    play(&mut stage, "send admin health\nexpect admin 200 ready");
}
