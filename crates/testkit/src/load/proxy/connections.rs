//! Connections of a proxy over Thrift, with several open requests each, and over SCGI, with one request each.

use super::{CONNECT_TIMEOUT, Event, MAX_OPEN_REQUESTS, Open, State};
use crate::fleet::scgi_of;
use crate::thrift::{self, Answer, Message};
use gradepin_node::frontend::scgi::codec::ScgiResponse;
use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

pub(super) struct Conn {
    /// Whether the connection carries a single request, as over SCGI.
    pub(super) once: bool,
    pub(super) id: u64,
    pub(super) stream: TcpStream,
    pub(super) next_seq: i32,
    pub(super) open: HashMap<i32, Open>,
    pub(super) draining: bool,
}

impl State {
    /// Returns a Thrift connection with capacity for another request, a new one if necessary.
    pub(super) fn connection(&mut self, server: SocketAddr) -> Option<&mut Conn> {
        let conns = self.conns.entry(server).or_default();
        let usable = |conn: &Conn| !conn.once && !conn.draining && conn.open.len() < MAX_OPEN_REQUESTS;
        if !conns.iter().any(usable) {
            let stream = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
            let mut read_half = stream.try_clone().ok()?;
            self.next_conn += 1;
            let (id, events) = (self.next_conn, self.sender.clone());
            let receive = move || {
                let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
                'conn: while let Ok(len @ 1..) = read_half.read(&mut chunk) {
                    bytes.extend_from_slice(&chunk[..len]);
                    loop {
                        match thrift::frame(&bytes) {
                            Ok(Some(len)) => {
                                let Ok(message) = thrift::decode(&bytes[4..len]) else { break 'conn };
                                bytes.drain(..len);
                                let _ = events.send(Event::Frame(id, message));
                            }
                            Ok(None) => break,
                            Err(_) => break 'conn,
                        }
                    }
                }
                let _ = events.send(Event::Ended(id));
            };
            thread::Builder::new().name("proxy-conn".into()).stack_size(128 * 1024).spawn(receive).ok()?;
            conns.push(Conn { once: false, id, stream, next_seq: 0, open: HashMap::new(), draining: false });
        }
        conns.iter_mut().find(|conn| usable(conn))
    }

    /// Opens an SCGI connection for one request.
    pub(super) fn scgi_connection(&mut self, server: SocketAddr) -> Option<&mut Conn> {
        let address = self.scgi_addresses.get(&server).copied().unwrap_or_else(|| scgi_of(server));
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
        let mut read_half = stream.try_clone().ok()?;
        self.next_conn += 1;
        let (id, events) = (self.next_conn, self.sender.clone());
        let receive = move || {
            let mut bytes = Vec::new();
            let _ = read_half.read_to_end(&mut bytes);
            if let Some(answer) = ScgiResponse::read(&bytes).map(to_thrift_answer) {
                let _ = events.send(Event::Frame(id, Message::Answer(1, answer)));
            }
            let _ = events.send(Event::Ended(id));
        };
        thread::Builder::new().name("proxy-scgi".into()).stack_size(128 * 1024).spawn(receive).ok()?;
        let conns = self.conns.entry(server).or_default();
        conns.push(Conn { once: true, id, stream, next_seq: 0, open: HashMap::new(), draining: false });
        conns.last_mut()
    }
}

/// Converts an SCGI response to the Thrift answer type.
fn to_thrift_answer(response: ScgiResponse) -> Answer {
    let number = |name: &str| response.header(name).and_then(|text| text.parse::<f64>().ok());
    match response.status {
        200 => Answer::Served(response.body, HashMap::new()),
        503 => Answer::Refused {
            backoff_ms: number("x-gradepin-retry-after-ms").unwrap_or(0.0) as u64,
            last: response.header("x-gradepin-final") == Some("1"),
            hint: number("x-gradepin-hint"),
        },
        _ => Answer::Failed(None),
    }
}
