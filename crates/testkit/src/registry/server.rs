//! HTTP server of the stand-in registry: routes over [`super::state`], replication to peers, and faults.

use super::faults::{Fault, Script};
use super::state::{Outcome, Registry, RegistrySettings, Replicated};
use base64::Engine;
use crossbeam_channel::{Receiver, Sender, unbounded};
use gradepin_registry::instance::{Instance, InstanceStatus};
use gradepin_registry::wire::{self, Format};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of concurrent connections; more are closed.
const MAX_CONNECTIONS: usize = 4096;
/// Largest request body and head, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Read timeout of idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the script, expired leases and due replication are processed.
const TICK: Duration = Duration::from_millis(10);
/// Body size of [`Fault::Huge`], in bytes.
const HUGE_BODY_BYTES: usize = 100 << 20;

/// Current time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Settings of the stand-in registry.
#[derive(Debug, Clone, Default)]
pub struct ServerSettings {
    /// Registration and cache rules.
    pub rules: RegistrySettings,
    /// User and password, if requests must authenticate.
    pub login: Option<(String, String)>,
    /// Replication delay to peers.
    pub peer_delay: Duration,
    /// Scripted faults.
    pub script: Script,
}

struct Shared {
    registry: Mutex<Registry>,
    fault: Mutex<Fault>,
    set: ServerSettings,
    peers: Mutex<Vec<Sender<(Instant, Replicated)>>>,
    requests: AtomicU64,
    connections: AtomicUsize,
    ended: AtomicBool,
    started: Instant,
}

impl Shared {
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> Fault {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_fault(&self, fault: Fault) {
        let now = unix_ms();
        let lasting = match fault {
            Fault::RestartEmpty => {
                *self.registry() = Registry::new(self.set.rules.clone(), now);
                Fault::None
            }
            Fault::Forget(app, id) => {
                let mut registry = self.registry();
                let all: Vec<String> = registry.instances().map(|i| i.id.clone()).collect();
                let which = if id == "*" { all.into_iter().next() } else { Some(id) };
                which.into_iter().for_each(|id| registry.forget(&app, &id));
                Fault::None
            }
            other => other,
        };
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = lasting;
    }

    fn replicate_to_peers(&self, change: &Replicated) {
        if self.fault() == Fault::Apart {
            return;
        }
        let due = Instant::now() + self.set.peer_delay;
        for peer in self.peers.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = peer.send((due, change.clone()));
        }
    }
}

/// Running stand-in registry; ends when dropped.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    from_peers: Sender<(Instant, Replicated)>,
}

impl Server {
    /// Starts a registry that listens at `address`; port 0 picks a free port.
    pub fn start(address: SocketAddr, set: ServerSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            registry: Mutex::new(Registry::new(set.rules.clone(), unix_ms())),
            fault: Mutex::default(),
            set,
            peers: Mutex::default(),
            requests: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
            started: Instant::now(),
        });
        let (from_peers, change) = unbounded();
        let for_ticks = Arc::clone(&shared);
        thread::Builder::new().name("registry-tick".into()).spawn(move || tick(&for_ticks, &change))?;
        let accepts = Arc::clone(&shared);
        thread::Builder::new().name("registry".into()).spawn(move || accept(address, listener, &accepts))?;
        Ok(Self { shared, address, from_peers })
    }

    /// Address that the registry listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Service URL of the registry.
    pub fn url(&self) -> String {
        format!("http://{}/eureka/v2", self.address)
    }

    /// Replicates changes of `other` to this registry from now on.
    pub fn follows(&self, other: &Server) {
        let mut peers = other.shared.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.push(self.from_peers.clone());
    }

    /// Switches to a fault, until the script or another call changes it.
    pub fn fail(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Number of requests received so far.
    pub fn requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Current record of an instance, bypassing the response caches.
    pub fn instance(&self, app: &str, id: &str) -> Option<Instance> {
        self.shared.registry().instance(app, id).cloned()
    }

    /// One-line summary of the registrations and the fault.
    pub fn summary(&self) -> String {
        let registry = self.shared.registry();
        let code = gradepin_registry::instance::hash_code(registry.instances().map(|i| i.status));
        let preserving = if registry.preserving() { ", preserving" } else { "" };
        format!("{code} requests {}{preserving}, fault {}", self.requests(), self.shared.fault())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        // Unblocks the accepting thread.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

fn tick(shared: &Shared, change: &Receiver<(Instant, Replicated)>) {
    let mut scripted = None;
    let mut delayed: Vec<(Instant, Replicated)> = Vec::new();
    while !shared.ended.load(Ordering::Relaxed) {
        let step = shared.set.script.at(shared.started.elapsed()).cloned();
        if step != scripted {
            shared.set_fault(step.clone().unwrap_or_default());
            scripted = step;
        }
        delayed.extend(change.try_iter());
        let apart = shared.fault() == Fault::Apart;
        let mut registry = shared.registry();
        delayed.retain(|(due, change)| {
            let is_due = *due <= Instant::now();
            if is_due && !apart {
                registry.replicate(change.clone(), unix_ms());
            }
            !is_due
        });
        registry.evict(unix_ms());
        drop(registry);
        thread::sleep(TICK);
    }
}

fn accept(address: SocketAddr, first: TcpListener, shared: &Arc<Shared>) {
    let mut listener = Some(first);
    while !shared.ended.load(Ordering::Relaxed) {
        if shared.fault() == Fault::Refuse {
            // Connections are refused only while no listener is open.
            listener = None;
            thread::sleep(TICK);
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).ok();
            thread::sleep(TICK);
            continue;
        };
        if open.set_nonblocking(true).is_err() {
            return;
        }
        match open.accept() {
            Ok((stream, _)) => {
                if shared.connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                    continue;
                }
                shared.connections.fetch_add(1, Ordering::Relaxed);
                let (mine, theirs) = (Arc::clone(shared), Arc::clone(shared));
                let small = thread::Builder::new().name("registry-conn".into());
                let serves = small.spawn(move || {
                    let _ = serve(stream, &mine);
                    mine.connections.fetch_sub(1, Ordering::Relaxed);
                });
                if serves.is_err() {
                    theirs.connections.fetch_sub(1, Ordering::Relaxed);
                }
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

/// A complete HTTP request.
struct Request {
    method: String,
    path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn dirty_ms(&self) -> Option<u64> {
        self.query("lastDirtyTimestamp").and_then(|text| text.parse().ok())
    }
}

/// Decodes percent escapes, and `+` as a space.
fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let mut rest = bytes.clone();
        let hex = |digit: Option<u8>| digit.and_then(|d| (d as char).to_digit(16));
        match (byte, hex(rest.next()), hex(rest.next())) {
            (b'%', Some(high), Some(low)) => {
                out.push((high * 16 + low) as u8);
                bytes = rest;
            }
            (b'+', ..) => out.push(b' '),
            _ => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves the requests of one connection until it ends.
fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let mut bytes = Vec::new();
    while !shared.ended.load(Ordering::Relaxed) {
        let Some(request) = read(&mut stream, &mut bytes)? else { return Ok(()) };
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let fault = shared.fault();
        match fault {
            Fault::Hang => {
                // Waits until the fault ends, then closes the connection without an answer.
                while shared.fault() == Fault::Hang && !shared.ended.load(Ordering::Relaxed) {
                    thread::sleep(TICK);
                }
                return Ok(());
            }
            Fault::Refuse => return Ok(()),
            Fault::Delay(by) => thread::sleep(by),
            Fault::Garbage => {
                stream.write_all(b"\x00\xffno such protocol\r\n\r\n")?;
                return Ok(());
            }
            Fault::Huge => {
                stream.write_all(
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {HUGE_BODY_BYTES}\r\n\r\n").as_bytes(),
                )?;
                let piece = vec![b' '; 64 * 1024];
                for _ in 0..HUGE_BODY_BYTES / piece.len() {
                    stream.write_all(&piece)?;
                }
                continue;
            }
            Fault::Status(status) => {
                answer(&mut stream, &request, status, Format::Json, b"")?;
                continue;
            }
            _ => {}
        }
        let format = Format::of(request.header("accept"));
        let (status, body) = route(&request, format, shared);
        if fault == Fault::Cut {
            let head = format!("HTTP/1.1 {status} OK\r\nContent-Length: {}\r\n\r\n", body.len() + 10);
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body[..body.len() / 2])?;
            return Ok(());
        }
        answer(&mut stream, &request, status, format, &body)?;
        if request.header("connection").eq_ignore_ascii_case("close") {
            return Ok(());
        }
    }
    Ok(())
}

fn read(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let bad = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why.to_string());
    let mut chunk = [0; 4096];
    loop {
        let mut slots = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Request::new(&mut slots);
        let parsed = head.parse(bytes).map_err(|e| bad(&e.to_string()))?;
        if let httparse::Status::Complete(len) = parsed {
            let header =
                |h: &httparse::Header| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned());
            let (path, query) =
                head.path.unwrap_or("/").split_once('?').unwrap_or((head.path.unwrap_or("/"), ""));
            let mut request = Request {
                method: head.method.unwrap_or("").to_string(),
                path: path.to_string(),
                query: query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .map(|(k, v)| (unescape(k), unescape(v)))
                    .collect(),
                headers: head.headers.iter().map(header).collect(),
                body: Vec::new(),
            };
            let length: usize = request.header("content-length").parse().unwrap_or(0);
            if length > MAX_BODY_BYTES {
                return Err(bad("request body exceeds the limit"));
            }
            while bytes.len() < len + length {
                match stream.read(&mut chunk)? {
                    0 => return Err(bad("connection closed in the middle of a request body")),
                    n => bytes.extend_from_slice(&chunk[..n]),
                }
            }
            request.body = bytes[len..len + length].to_vec();
            bytes.drain(..len + length);
            return Ok(Some(request));
        }
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(bad("request head exceeds the limit"));
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => bytes.extend_from_slice(&chunk[..n]),
        }
    }
}

fn answer(
    stream: &mut TcpStream,
    request: &Request,
    status: u16,
    format: Format,
    body: &[u8],
) -> io::Result<()> {
    let zip = body.len() > 200 && request.header("accept-encoding").contains("gzip");
    let zipped = if zip {
        let mut encoder = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
        encoder.write_all(body)?;
        encoder.finish()?
    } else {
        Vec::new()
    };
    let body = if zip { &zipped[..] } else { body };
    let reason = match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        503 => "Service Unavailable",
        _ => "Something",
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {}\r\n", format.media_type());
    if status != 204 {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    if zip {
        head.push_str("Content-Encoding: gzip\r\n");
    }
    if status == 401 {
        head.push_str("WWW-Authenticate: Basic realm=\"registry\"\r\n");
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Executes a request; returns the status and body of the answer.
fn route(request: &Request, format: Format, shared: &Shared) -> (u16, Vec<u8>) {
    if let Some((user, password)) = &shared.set.login {
        let token = base64::engine::general_purpose::STANDARD.encode(format!("{user}:{password}"));
        if request.header("authorization") != format!("Basic {token}") {
            return (401, Vec::new());
        }
    }
    let Some(path) =
        request.path.strip_prefix("/eureka/v2/").or_else(|| request.path.strip_prefix("/eureka/"))
    else {
        return (404, Vec::new());
    };
    let segments: Vec<String> = path.split('/').filter(|word| !word.is_empty()).map(unescape).collect();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let now = unix_ms();
    let mut registry = shared.registry();
    let ok = |bytes: Vec<u8>| (200, bytes);
    let found = |bytes: Option<Vec<u8>>| bytes.map_or((404, Vec::new()), ok);
    let several = |registry: &Registry, is: &dyn Fn(&Instance) -> bool| {
        let instances: Vec<Instance> = registry.instances().filter(|i| is(i)).cloned().collect();
        let hash_code = gradepin_registry::instance::hash_code(instances.iter().map(|i| i.status));
        let all = gradepin_registry::instance::Applications { version: "1".into(), hash_code, instances };
        if all.instances.is_empty() { None } else { Some(wire::write_applications(&all, format)) }
    };
    let status_of = |outcome: Outcome| (if outcome == Outcome::Done { 200 } else { 404 }, Vec::new());
    let (result, change) = match (request.method.as_str(), &segments[..]) {
        ("GET", ["apps"]) => (ok(wire::write_applications(registry.full(now), format)), None),
        ("GET", ["apps", "delta"]) => (ok(wire::write_applications(registry.delta(now), format)), None),
        ("GET", ["apps", app]) => {
            let instances: Vec<Instance> =
                registry.instances().filter(|i| i.app.eq_ignore_ascii_case(app)).cloned().collect();
            (found(wire::write_application(&app.to_uppercase(), &instances, format)), None)
        }
        ("GET", ["apps", app, id]) => {
            (found(registry.instance(app, id).map(|i| wire::write_instance(i, format))), None)
        }
        ("GET", ["instances", id]) => {
            let one = registry.instances().find(|i| i.id == *id).map(|i| wire::write_instance(i, format));
            (found(one), None)
        }
        ("GET", ["vips", vip]) => (found(several(&registry, &|i| i.vip == *vip)), None),
        ("GET", ["svips", vip]) => (found(several(&registry, &|i| i.secure_vip == *vip)), None),
        ("POST", ["apps", app]) => {
            let sent = Format::of(request.header("content-type"));
            match wire::read_instance(&request.body, sent) {
                Ok(instance) if instance.app.eq_ignore_ascii_case(app) => {
                    registry.register(instance.clone(), false, now);
                    ((204, Vec::new()), Some(Replicated::Register(Box::new(instance))))
                }
                Ok(_) => ((400, b"the application differs from that in the path".to_vec()), None),
                Err(why) => ((400, why.to_string().into_bytes()), None),
            }
        }
        ("PUT", ["apps", app, id]) => {
            let outcome = registry.renew(app, id, request.dirty_ms(), now);
            let dirty = request.dirty_ms().unwrap_or(0);
            (status_of(outcome), Some(Replicated::Renew(app.to_string(), id.to_string(), dirty)))
        }
        ("DELETE", ["apps", app, id]) => (
            status_of(registry.cancel(app, id, now)),
            Some(Replicated::Cancel(app.to_string(), id.to_string())),
        ),
        ("PUT", ["apps", app, id, "status"]) => {
            let status = request.query("value").unwrap_or("").parse::<InstanceStatus>().unwrap_or_default();
            if status == InstanceStatus::Unknown {
                return (400, b"expected a state as value".to_vec());
            }
            let dirty = request.dirty_ms().unwrap_or(0);
            let outcome = registry.override_status(app, id, status, dirty, now);
            (status_of(outcome), Some(Replicated::Override(app.to_string(), id.to_string(), status, dirty)))
        }
        ("DELETE", ["apps", app, id, "status"]) => {
            let status = request.query("value").unwrap_or("").parse::<InstanceStatus>().unwrap_or_default();
            let dirty = request.dirty_ms().unwrap_or(0);
            let outcome = registry.clear_override(app, id, status, dirty, now);
            (
                status_of(outcome),
                Some(Replicated::ClearOverride(app.to_string(), id.to_string(), status, dirty)),
            )
        }
        ("PUT", ["apps", app, id, "metadata"]) => {
            (status_of(registry.metadata(app, id, &request.query, now)), None)
        }
        ("GET" | "POST" | "PUT" | "DELETE", _) => ((404, Vec::new()), None),
        _ => ((405, Vec::new()), None),
    };
    drop(registry);
    if let Some(change) = change.filter(|_| result.0 < 300) {
        shared.replicate_to_peers(&change);
    }
    result
}
