//! Stand-in for the ledger that all servers share: HTTP/1.1 with `POST /post`, and a separate address for each server, which
//! identifies the caller. It answers after a random time, ends a call when the caller hangs up or the limit in the request
//! has passed, and records the start and end of each call in the history.

use super::history::{History, Observation};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a call checks whether its caller has hung up.
const HANGUP_CHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Largest request head and body, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;

struct Shared {
    mean: Duration,
    /// Factor on the time of each call.
    slowdown: AtomicU32,
    /// Servers whose calls are dropped.
    closed: Mutex<Vec<usize>>,
    rng: Mutex<Pcg64Mcg>,
    ends: AtomicBool,
    history: Arc<History>,
}

/// Running stand-in ledger; ends when dropped.
pub struct Ledger {
    shared: Arc<Shared>,
    /// Address of the ledger for each server.
    pub addresses: Vec<SocketAddr>,
}

impl Ledger {
    /// Starts a ledger for `servers` servers. Each call takes between 0.5 and 1.5 times `mean`.
    pub fn start(servers: usize, mean: Duration, seed: u64, history: &Arc<History>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            mean,
            slowdown: AtomicU32::new(1),
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

    /// Drops the calls of these servers from now on: their connections end without an answer. Replaces the previous list.
    pub fn close(&self, servers: &[usize]) {
        *self.shared.closed.lock().unwrap_or_else(PoisonError::into_inner) = servers.to_vec();
    }

    /// Multiplies the time of each call by `times`.
    pub fn slow(&self, times: u32) {
        self.shared.slowdown.store(times.max(1), Ordering::Relaxed);
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

    fn call_time(&self) -> Duration {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let unit = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let times = (0.5 + unit) * f64::from(self.slowdown.load(Ordering::Relaxed));
        self.mean.mul_f64(times)
    }
}

/// Serves the calls of one connection until it ends.
fn serve(mut stream: TcpStream, server: usize, shared: &Shared) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        let Some((id, limit)) = request(&mut stream, &mut bytes, shared)? else { return Ok(()) };
        if shared.is_closed(server) {
            return Ok(());
        }
        let begun = shared.history.write(server, Observation::CallBegan(id.clone()));
        let (since, call_time) = (Instant::now(), shared.call_time());
        let until = call_time.min(limit);
        let mut hung_up_early = false;
        while since.elapsed() < until && !hung_up_early && !shared.ends.load(Ordering::Relaxed) {
            thread::sleep(HANGUP_CHECK_INTERVAL.min(until.saturating_sub(since.elapsed())));
            hung_up_early = hung_up(&stream);
        }
        shared.history.write(server, Observation::CallEnded(begun));
        if hung_up_early {
            return Ok(());
        }
        let answer: &[u8] = if call_time <= limit {
            b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nrecorded"
        } else {
            b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n"
        };
        stream.write_all(answer)?;
    }
}

/// Whether the peer has visibly closed the connection.
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

/// Reads a complete call and returns its request ID and time limit; `None` at the end of the connection.
fn request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    shared: &Shared,
) -> io::Result<Option<(String, Duration)>> {
    let bad = |message: &str| io::Error::new(ErrorKind::InvalidData, message.to_string());
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
                body.filter(|body| *body <= MAX_BODY_BYTES).ok_or_else(|| bad("expected Content-Length"))?;
            let id = header("x-txn-ref").unwrap_or_default().to_string();
            let limit = header("x-limit-ms").and_then(|text| text.parse().ok()).unwrap_or(60_000);
            if bytes.len() >= length + body {
                bytes.drain(..length + body);
                return Ok(Some((id, Duration::from_millis(limit))));
            }
        } else if bytes.len() > MAX_HEAD_BYTES {
            return Err(bad("request head exceeds the maximum of 8 KiB"));
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
