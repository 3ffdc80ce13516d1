//! A stand-in for the shared dependency: HTTP/1.1, `POST /post`, one thread per connection, with scripted faults in
//! the replies. It records the calls read and the complete replies sent.

use super::plan::DependencyFault;
use super::random::Random;
use super::record::{Payload, Record};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval between checks for new connections, and whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Read timeout, after which a connection checks whether to stop.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Interval between bytes that are sent one at a time.
const BYTE_INTERVAL: Duration = Duration::from_micros(100);
/// Maximum length of a usual reply, in bytes.
const MAX_USUAL_REPLY_BYTES: usize = 200;

struct Shared {
    record: Arc<Record>,
    random: Mutex<Random>,
    fault: Mutex<Option<DependencyFault>>,
    stopping: AtomicBool,
}

impl Shared {
    fn fault(&self) -> Option<DependencyFault> {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in; it stops when this is dropped.
pub struct Dependency {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Dependency {
    /// Starts a dependency for one server on its own loopback address.
    pub fn start(record: &Arc<Record>, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            record: Arc::clone(record),
            random: Mutex::new(Random::new(seed, 8)),
            fault: Mutex::default(),
            stopping: AtomicBool::new(false),
        });
        let mine = Arc::clone(&shared);
        thread::Builder::new().name("dependency".into()).spawn(move || accept(listener, address, &mine))?;
        Ok(Self { shared, address })
    }

    /// The address for calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the following replies; `None` for none.
    pub fn set(&self, fault: Option<DependencyFault>) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Drop for Dependency {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    while !shared.stopping.load(Ordering::SeqCst) {
        if shared.fault() == Some(DependencyFault::Refused) {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        if let Some(open) = &listener {
            let _ = open.set_nonblocking(true);
            while let Ok((stream, _)) = open.accept() {
                let shared = Arc::clone(shared);
                let serve = move || serve(stream, &shared);
                let _ = thread::Builder::new().name("dependency-call".into()).spawn(serve);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut bytes = Vec::new();
    while let Some(call) = next_call(&mut stream, &mut bytes, shared) {
        shared.record.entries().received_calls.push(call.clone());
        if !answer(&mut stream, &call, shared) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Reads the next complete call; `None` when the connection closes or the stand-in stops.
fn next_call(stream: &mut TcpStream, bytes: &mut Vec<u8>, shared: &Shared) -> Option<Payload> {
    let mut chunk = [0; 4 * 1024];
    while !shared.stopping.load(Ordering::SeqCst) {
        match parse_call(bytes) {
            Ok(Some((length, call))) => {
                bytes.drain(..length);
                return Some(call);
            }
            Ok(None) => {}
            Err(why) => {
                let shown = bytes[..bytes.len().min(100)].escape_ascii();
                shared.record.unattributed(format!("{why} to the dependency: '{shown}'"));
                return None;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(len) => bytes.extend_from_slice(&chunk[..len]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return None,
        }
    }
    None
}

fn parse_call(bytes: &[u8]) -> Result<Option<(usize, Payload)>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err("bytes that are not an HTTP request"),
    };
    if (head.method, head.path) != (Some("POST"), Some("/post")) {
        return Err("a request other than POST /post");
    }
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let body = header("content-length").and_then(|text| text.parse::<usize>().ok());
    let body = body.ok_or("a request without Content-Length")?;
    let rid = header("x-txn-ref").ok_or("a request without an id")?.to_string();
    let Some(body) = bytes.get(length..length + body) else { return Ok(None) };
    Ok(Some((length + body.len(), Payload { rid, bytes: body.to_vec() })))
}

/// Answers a call as the fault says; returns whether the connection stays open.
fn answer(stream: &mut TcpStream, call: &Payload, shared: &Shared) -> bool {
    let fault = shared.fault();
    let reply = {
        let mut random = shared.random.lock().unwrap_or_else(PoisonError::into_inner);
        let length = match fault {
            Some(DependencyFault::ReplyLength(length)) => length,
            _ => random.count(1..=MAX_USUAL_REPLY_BYTES),
        };
        random.bytes(length)
    };
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    let whole = [head(reply.len()), reply.clone()].concat();
    let record_reply = || {
        let payload = Payload { rid: call.rid.clone(), bytes: reply.clone() };
        shared.record.entries().sent_replies.push(payload);
    };
    match fault {
        None | Some(DependencyFault::ReplyLength(_) | DependencyFault::Refused) => {
            record_reply();
            stream.write_all(&whole).is_ok()
        }
        Some(DependencyFault::ByteByByte) => {
            record_reply();
            whole.iter().all(|byte| {
                thread::sleep(BYTE_INTERVAL);
                stream.write_all(std::slice::from_ref(byte)).is_ok()
            })
        }
        Some(DependencyFault::CutReply(after)) => {
            let _ = stream.write_all(&whole[..after.min(whole.len() - 1)]);
            false
        }
        Some(DependencyFault::CloseUnanswered) => false,
        Some(DependencyFault::LengthTooLarge) => {
            let _ = stream.write_all(&[head(reply.len() + 7), reply].concat());
            false
        }
        Some(DependencyFault::LengthTooSmall) => {
            // Bytes beyond the announced length are not part of the reply.
            record_reply();
            let _ = stream.write_all(&[whole, b"more bytes than were told".to_vec()].concat());
            false
        }
        Some(DependencyFault::Garbage) => {
            let garbage = shared.random.lock().unwrap_or_else(PoisonError::into_inner).bytes(300);
            let _ = stream.write_all(&garbage);
            false
        }
        Some(DependencyFault::Silent) => {
            // Waits until the caller closes the connection.
            let mut byte = [0];
            while !shared.stopping.load(Ordering::SeqCst) {
                match stream.read(&mut byte) {
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    _ => break,
                }
            }
            false
        }
        Some(DependencyFault::Status(status)) => {
            let text = format!("HTTP/1.1 {status} No\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).is_ok()
        }
    }
}
