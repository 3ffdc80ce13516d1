//! A stand-in for the ledger that all servers share: HTTP/1.1, `POST /post`, an address for each server, so that it knows who
//! calls. It answers after a drawn time, ends a call whose caller hung up or whose told limit is over, and writes down
//! each call's begin and end: by that history, calls under way are counted.

use super::history::{History, What};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Between looks at a caller that may have hung up.
const LOOK: Duration = Duration::from_millis(4);
/// The largest head and body that are read.
const MOST_HEAD: usize = 8 * 1024;
const MOST_BODY: usize = 64 * 1024;

struct Shared {
    mean: Duration,
    /// Times longer than usual.
    slow: AtomicU32,
    /// Servers whose calls are refused.
    closed: Mutex<Vec<usize>>,
    rng: Mutex<Pcg64Mcg>,
    ends: AtomicBool,
    history: Arc<History>,
}

/// A running stand-in; it ends when this is dropped.
pub struct Ledger {
    shared: Arc<Shared>,
    /// Where each server reaches it.
    pub addresses: Vec<SocketAddr>,
}

impl Ledger {
    /// For so many servers, with calls of half of this to half as much again.
    pub fn start(servers: usize, mean: Duration, seed: u64, history: &Arc<History>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            mean,
            slow: AtomicU32::new(1),
            closed: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            ends: AtomicBool::new(false),
            history: Arc::clone(history),
        });
        let mut addresses = Vec::new();
        for server in 0..servers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            listener.set_nonblocking(true)?;
            let shared = Arc::clone(&shared);
            let accept = move || {
                while !shared.ends.load(Ordering::Relaxed) {
                    match listener.accept() {
                        Ok((stream, _)) => {
                            let shared = Arc::clone(&shared);
                            let serve = move || drop(serve(stream, server, &shared));
                            let _ = thread::Builder::new().name("ledger-call".into()).spawn(serve);
                        }
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                }
            };
            thread::Builder::new().name(format!("ledger-{server}")).spawn(accept)?;
        }
        Ok(Self { shared, addresses })
    }

    /// Takes no calls of these from now on: their connections end unanswered.
    pub fn close(&self, servers: &[usize]) {
        *self.shared.closed.lock().unwrap_or_else(PoisonError::into_inner) = servers.to_vec();
    }

    /// Takes so many times as long.
    pub fn slow(&self, times: u32) {
        self.shared.slow.store(times.max(1), Ordering::Relaxed);
    }
}

impl Drop for Ledger {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn is_closed(&self, server: usize) -> bool {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner).contains(&server)
    }

    fn takes(&self) -> Duration {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let unit = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let times = (0.5 + unit) * f64::from(self.slow.load(Ordering::Relaxed));
        self.mean.mul_f64(times)
    }
}

/// One connection: call after call until it ends.
fn serve(mut stream: TcpStream, server: usize, shared: &Shared) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        let Some((id, limit)) = request(&mut stream, &mut bytes, shared)? else { return Ok(()) };
        if shared.is_closed(server) {
            return Ok(());
        }
        let begun = shared.history.write(server, What::CallBegan(id.clone()));
        let (since, takes) = (Instant::now(), shared.takes());
        let until = takes.min(limit);
        let mut gone = false;
        while since.elapsed() < until && !gone && !shared.ends.load(Ordering::Relaxed) {
            thread::sleep(LOOK.min(until.saturating_sub(since.elapsed())));
            gone = hung_up(&stream);
        }
        shared.history.write(server, What::CallEnded(begun));
        if gone {
            return Ok(());
        }
        let answer: &[u8] = if takes <= limit {
            b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nrecorded"
        } else {
            b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n"
        };
        stream.write_all(answer)?;
    }
}

/// Whether the other side has closed, as far as can be seen.
fn hung_up(stream: &TcpStream) -> bool {
    let mut byte = [0_u8];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let seen = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match seen {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Reads a whole call: its id and the limit that it tells; none at the end of the connection.
fn request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    shared: &Shared,
) -> io::Result<Option<(String, Duration)>> {
    let bad = |what: &str| io::Error::new(ErrorKind::InvalidData, what.to_string());
    stream.set_read_timeout(Some(Duration::from_millis(200)))?;
    let mut chunk = [0_u8; 2_048];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(length)) = head.parse(bytes) {
            let header = |name: &str| {
                let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
                std::str::from_utf8(found.value).ok().map(str::trim)
            };
            if (head.method, head.path) != (Some("POST"), Some("/post")) {
                return Err(bad("expected POST /post"));
            }
            let body = header("content-length").and_then(|text| text.parse::<usize>().ok());
            let body =
                body.filter(|body| *body <= MOST_BODY).ok_or_else(|| bad("expected Content-Length"))?;
            let id = header("x-txn-ref").unwrap_or_default().to_string();
            let limit = header("x-limit-ms").and_then(|text| text.parse().ok()).unwrap_or(60_000);
            if bytes.len() >= length + body {
                bytes.drain(..length + body);
                return Ok(Some((id, Duration::from_millis(limit))));
            }
        } else if bytes.len() > MOST_HEAD {
            return Err(bad("expected a head of 8 kB at the most"));
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(length) => bytes.extend_from_slice(&chunk[..length]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if shared.ends.load(Ordering::Relaxed) {
                    return Ok(None);
                }
            }
            Err(e) => return Err(e),
        }
    }
}
