//! Golden bytes of requests to the shared upstream and of readiness reports to the control plane.

use super::assert_golden;
use crossbeam_channel::bounded;
use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::Input;
use gradepin_node::control::Control;
use gradepin_node::upstream_client::UpstreamClient;
use slog::{Discard, Logger, o};
use std::io::{Read, Write};
use std::net::{TcpListener, UdpSocket};
use std::time::Duration;

const MAX_WAIT: Duration = Duration::from_secs(20);

#[test]
fn upstream_calls_match_golden_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, log) = (listener.local_addr().expect("an address"), Logger::root(Discard, o!()));
    let (inputs, received) = bounded(4);
    let client = UpstreamClient::start(address, 1, inputs, BufferPool::new(4), log).expect("a client");
    let id = RequestId::new("00000000000000a1");
    let limit = Span(20_001_999_999);
    client.call((id, 7), b"form \x00\xff", limit, None).map_err(drop).expect("a queued call");
    let (mut socket, _) = listener.accept().expect("a connection");
    socket.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
    let mut request = Vec::new();
    while !request.ends_with(b"form \x00\xff") {
        let mut byte = [0];
        socket.read_exact(&mut byte).expect("a complete request");
        request.push(byte[0]);
    }
    socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("written");
    let ended = received.recv_timeout(MAX_WAIT).expect("the end of the call");
    assert!(matches!(ended, Input::UpstreamCallEnded { call: 7, .. }));
    // The port differs between runs and the version between releases.
    let (address, agent) = (address.to_string(), format!("gradepin/{}", env!("CARGO_PKG_VERSION")));
    let text = request.escape_ascii().to_string();
    let text = text.replace(&address, "ADDRESS").replace(&agent, "gradepin/VERSION");
    assert_golden("shared_dependency_call.txt", format!("{text}\n").as_bytes());
}

#[test]
fn readiness_reports_match_golden_bytes() {
    let plane = UdpSocket::bind("127.0.0.1:0").expect("a port");
    plane.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
    let (listen, to) = ("127.0.0.1:0".parse().expect("an address"), plane.local_addr().expect("an address"));
    let control = Control::new("n7", listen, to).expect("a socket");
    for (ready, expected) in [(true, "lease n7 Ready"), (false, "lease n7 NotReady")] {
        control.report(ready).expect("a sent report");
        let mut datagram = [0; 64];
        let length = plane.recv(&mut datagram).expect("a report");
        assert_eq!(datagram[..length].escape_ascii().to_string(), expected);
    }
}
