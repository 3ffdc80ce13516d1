//! Stand-ins for the cases: the processor, the control plane's port, client proxies over Thrift, stations over SCGI, and the
//! platform that starts and signals tile servers. Standard library only.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

/// Linux: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A reason why a case could not run.
pub type Outcome<T> = Result<T, String>;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static IDS: AtomicU64 = AtomicU64::new(0);

pub fn open_record(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Writes one line to `record.txt`, with the seconds since the start.
pub fn record(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let line = format!("{:8.3} {text}\n", start.elapsed().as_secs_f64());
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(unix: u64) {
    sleep_ms(unix.saturating_sub(unix_ms()));
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// 16 hex digits, new with each call.
pub fn new_id() -> String {
    let n = IDS.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (unix_ms() << 20).wrapping_add(n))
}

pub fn signal(pid: u32, signal: i32) {
    let name = match signal {
        SIGKILL => "SIGKILL",
        SIGCONT => "SIGCONT",
        SIGSTOP => "SIGSTOP",
        _ => "signal",
    };
    record(&format!("platform: {name} to process {pid}"));
    // SAFETY: plain system call on a process that this program started.
    unsafe { kill(pid as i32, signal) };
}

/// Ends all processes that were started, and waits until they have ended.
pub fn kill_children() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        // SAFETY: as above; the status is not asked for.
        unsafe {
            kill(pid, SIGKILL);
            waitpid(pid, std::ptr::null_mut(), 0);
        }
    }
}

// ---------------------------------------------------------------- processor

/// How long a run takes.
const RUN_MS: u64 = 20;

struct Run {
    id: String,
    class: String,
    body: Vec<u8>,
    unix_ms: u64,
}

#[derive(Default)]
struct ProcessorState {
    notices: Vec<Vec<u8>>,
    link: Option<TcpStream>,
    links: u64,
    running: HashSet<String>,
    runs: Vec<Run>,
}

/// A processor as PROTOCOL describes it: always up, always warm; every begun request runs for a fixed time and succeeds.
#[derive(Clone)]
pub struct Processor {
    pub port: u16,
    name: &'static str,
    started: Instant,
    state: Arc<Mutex<ProcessorState>>,
}

impl Processor {
    pub fn start(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let processor = Self { port, name, started: Instant::now(), state: Arc::default() };
        let accepting = processor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        processor
    }

    /// Number of runs with this body.
    pub fn runs_of(&self, body: &str) -> usize {
        self.state.lock().unwrap().runs.iter().filter(|run| run.body == body.as_bytes()).count()
    }

    /// Writes all runs with this body to the record.
    pub fn record_runs_of(&self, body: &str) {
        for run in self.state.lock().unwrap().runs.iter().filter(|run| run.body == body.as_bytes()) {
            record(&format!(
                "{}: '{body}' was run as {} of class {}, begun at Unix time {} ms",
                self.name, run.id, run.class, run.unix_ms
            ));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        let mut link = 0;
        let mut chunk = [0_u8; 16384];
        loop {
            while let Some((words, body, used)) = command(&bytes) {
                bytes.drain(..used);
                if !self.command(&words, &body, &stream, &mut link) {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            }
        }
        let mut state = self.state.lock().unwrap();
        if state.links == link {
            state.link = None;
        }
    }

    fn command(&self, words: &[String], body: &[u8], stream: &TcpStream, link: &mut u64) -> bool {
        let mut state = self.state.lock().unwrap();
        match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["hello", last] => {
                let Ok(last) = last.parse::<usize>() else { return false };
                if let Some(before) = state.link.replace(stream.try_clone().unwrap()) {
                    let _ = before.shutdown(std::net::Shutdown::Both);
                }
                state.links += 1;
                *link = state.links;
                let mut out = format!("hi WARM {}\r\n", self.started.elapsed().as_millis()).into_bytes();
                for notice in state.notices.iter().skip(last) {
                    out.extend_from_slice(notice);
                }
                write_link(&mut state, &out);
            }
            ["begin", id, class, _] => {
                if !state.running.insert(id.to_string()) {
                    return true;
                }
                let run = Run { id: id.into(), class: class.into(), body: body.to_vec(), unix_ms: unix_ms() };
                if !body.starts_with(b"warm-up") {
                    let text = String::from_utf8_lossy(body).into_owned();
                    record(&format!("{}: begin {id} {class}, body '{text}'", self.name));
                }
                state.runs.push(run);
                let (processor, id) = (self.clone(), id.to_string());
                thread::spawn(move || {
                    sleep_ms(RUN_MS);
                    processor.complete(&id);
                });
            }
            ["usage", tag] => {
                let running = state.running.len();
                let share = (running as f64 / 6.0).min(1.0);
                let line = format!("used {tag} {share:.3} {running} 0.05 8\r\n");
                write_link(&mut state, line.as_bytes());
            }
            _ => return false,
        }
        true
    }

    fn complete(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.running.remove(id);
        let number = state.notices.len() + 1;
        let result = format!("result of {id}");
        let notice = format!("complete {number} {id} OK {RUN_MS} {}\r\n{result}\r\n", result.len()).into_bytes();
        write_link(&mut state, &notice);
        state.notices.push(notice);
    }
}

fn write_link(state: &mut ProcessorState, bytes: &[u8]) {
    if state.link.as_mut().is_some_and(|link| link.write_all(bytes).is_err()) {
        state.link = None;
    }
}

/// The first whole command of the bytes: its words, its body and its length.
fn command(bytes: &[u8]) -> Option<(Vec<String>, Vec<u8>, usize)> {
    let end = bytes.windows(2).position(|two| two == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let words: Vec<String> = line.split(' ').map(String::from).collect();
    if words[0] != "begin" {
        return Some((words, Vec::new(), end + 2));
    }
    let length: usize = words.last()?.parse().ok()?;
    let body = bytes.get(end + 2..end + 2 + length)?.to_vec();
    bytes.get(end + 2 + length..end + 4 + length)?;
    Some((words, body, end + 4 + length))
}

// ---------------------------------------------------------------- control plane

/// The control plane's port. Reports are read and dropped.
pub fn start_control() -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let port = socket.local_addr().unwrap().port();
    thread::spawn(move || {
        let mut bytes = [0_u8; 512];
        while socket.recv(&mut bytes).is_ok() {}
    });
    port
}

// ---------------------------------------------------------------- Thrift client

/// What a client proxy got for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed(String),
    Nothing(String),
}

/// A request of the class `label-save`, or of another one without a token.
#[derive(Clone)]
pub struct Try {
    pub class: &'static str,
    pub token: Option<String>,
    pub body: String,
    pub budget_ms: u64,
    pub again: bool,
}

pub struct Client {
    stream: TcpStream,
    seq: i32,
}

impl Client {
    pub fn connect(port: u16) -> Outcome<Self> {
        let stream = TcpStream::connect(("127.0.0.1", port)).map_err(|e| format!("connect: {e}"))?;
        let _ = stream.set_nodelay(true);
        Ok(Self { stream, seq: 0 })
    }

    /// Sends a try; returns its `t0`.
    pub fn send(&mut self, attempt: &Try) -> Outcome<u64> {
        self.seq += 1;
        let (id, t0) = (new_id(), unix_ms());
        let mut fields: Vec<(&str, String)> = vec![
            ("method", attempt.class.into()),
            ("rid", id.clone()),
            ("t0", t0.to_string()),
            ("peer", "1".into()),
            ("acct", "etela-kasvio".into()),
            ("budget", attempt.budget_ms.to_string()),
            ("mem", "16".into()),
            ("prio", "0.9".into()),
        ];
        if attempt.again {
            fields.push(("again", "1".into()));
        }
        if let Some(token) = &attempt.token {
            fields.push(("token", token.clone()));
        }
        let mut message = header(1, "call", self.seq);
        message.extend([13, 0, 1, 11, 11]);
        message.extend((fields.len() as i32).to_be_bytes());
        for (name, value) in &fields {
            string(&mut message, name.as_bytes());
            string(&mut message, value.as_bytes());
        }
        message.extend([11, 0, 2]);
        string(&mut message, attempt.body.as_bytes());
        message.push(0);
        if !attempt.body.starts_with("warm-up") {
            let (class, body, again) = (attempt.class, &attempt.body, if attempt.again { ", again" } else { "" });
            record(&format!("client over Thrift: {class} rid {id} t0 {t0}{again}, body '{body}'"));
        }
        self.write(&message)?;
        Ok(t0)
    }

    pub fn call(&mut self, attempt: &Try, wait_ms: u64) -> Outcome<(u64, Answer)> {
        let t0 = self.send(attempt)?;
        let answer = self.answer(wait_ms);
        if !attempt.body.starts_with("warm-up") {
            record(&format!("client over Thrift: answer {answer:?}"));
        }
        Ok((t0, answer))
    }

    fn write(&mut self, message: &[u8]) -> Outcome<()> {
        let mut frame = (message.len() as i32).to_be_bytes().to_vec();
        frame.extend(message);
        self.stream.write_all(&frame).map_err(|e| format!("write: {e}"))
    }

    /// The next answer; `draining` messages are passed over.
    pub fn answer(&mut self, wait_ms: u64) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut length = [0_u8; 4];
            if let Err(e) = self.read(&mut length, deadline) {
                return Answer::Nothing(e);
            }
            let mut message = vec![0_u8; i32::from_be_bytes(length) as usize];
            if let Err(e) = self.read(&mut message, deadline) {
                return Answer::Nothing(e);
            }
            match parse(&message) {
                Some(Answer::Nothing(_)) => {}
                Some(answer) => return answer,
                None => return Answer::Nothing("an answer that can't be read".into()),
            }
        }
    }

    fn read(&mut self, into: &mut [u8], deadline: Instant) -> Result<(), String> {
        let mut done = 0;
        while done < into.len() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err("no answer in time".into());
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut into[done..]) {
                Ok(0) => return Err("connection closed".into()),
                Ok(n) => done += n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
                Err(e) => return Err(e.to_string()),
            }
        }
        Ok(())
    }
}

fn header(kind: u8, name: &str, seq: i32) -> Vec<u8> {
    let mut out = vec![0x80, 0x01, 0, kind];
    string(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    out
}

fn string(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as i32).to_be_bytes());
    out.extend(bytes);
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }

    fn i16(&mut self) -> Option<i16> {
        Some(i16::from_be_bytes(self.take(2)?.try_into().ok()?))
    }

    fn i32(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn text(&mut self) -> Option<String> {
        let length = usize::try_from(self.i32()?).ok()?;
        Some(String::from_utf8_lossy(self.take(length)?).into_owned())
    }

    /// The texts of a struct of texts, bools, numbers and maps of texts, by field id.
    fn structure(&mut self) -> Option<HashMap<i16, String>> {
        let mut texts = HashMap::new();
        loop {
            let kind = self.u8()?;
            if kind == 0 {
                return Some(texts);
            }
            let id = self.i16()?;
            match kind {
                2 => drop(self.u8()?),
                8 => drop(self.i32()?),
                11 => drop(texts.insert(id, self.text()?)),
                13 => {
                    let (_, _, count) = (self.u8()?, self.u8()?, self.i32()?);
                    for _ in 0..count {
                        let (_, _) = (self.text()?, self.text()?);
                    }
                }
                _ => return None,
            }
        }
    }
}

fn parse(message: &[u8]) -> Option<Answer> {
    let mut reader = Reader(message);
    let kind = (reader.i32()? & 0xff) as u8;
    let name = reader.text()?;
    let _ = reader.i32()?;
    match kind {
        4 => Some(Answer::Nothing(name)),
        3 => Some(Answer::Failed(reader.structure()?.remove(&1).unwrap_or_default())),
        _ => {
            let (_, id) = (reader.u8()?, reader.i16()?);
            let mut texts = reader.structure()?;
            match id {
                0 => Some(Answer::Served(texts.remove(&1).unwrap_or_default())),
                1 => Some(Answer::Refused),
                _ => Some(Answer::Failed("Aborted".into())),
            }
        }
    }
}

// ---------------------------------------------------------------- SCGI client

/// A request over SCGI that has been written but not answered.
pub struct ScgiRequest(TcpStream);

/// Writes a whole request over SCGI on a new connection.
pub fn scgi_send(port: u16, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Outcome<ScgiRequest> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).map_err(|e| format!("connect: {e}"))?;
    let mut block = format!("CONTENT_LENGTH\0{}\0SCGI\x001\0REQUEST_METHOD\0{method}\0REQUEST_URI\0{path}\0", body.len());
    for (name, value) in headers {
        block.push_str(&format!("{name}\0{value}\0"));
    }
    let request = format!("{}:{block},{body}", block.len());
    stream.write_all(request.as_bytes()).map_err(|e| format!("write: {e}"))?;
    record(&format!("client over SCGI: {method} {path} {headers:?}, body '{body}', written at Unix time {} ms", unix_ms()));
    Ok(ScgiRequest(stream))
}

impl ScgiRequest {
    /// The status and the body of the answer.
    pub fn answer(mut self, wait_ms: u64) -> Outcome<(u16, String)> {
        let _ = self.0.set_read_timeout(Some(Duration::from_millis(wait_ms)));
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.strip_prefix("Status: ").and_then(|rest| rest.get(..3)).and_then(|code| code.parse().ok());
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_string();
        record(&format!("client over SCGI: answer with status {status:?}, body '{body}'"));
        Ok((status.unwrap_or(0), body))
    }
}

// ---------------------------------------------------------------- HTTP of the operators' door

/// One call at the operators' door; the status, or `None` without an answer.
pub fn door(port: u16, call: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let request = format!("{call} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).split(' ').nth(1)?.parse().ok()
}

// ---------------------------------------------------------------- tile servers

/// What a configuration file says beside the figures that all cases share.
#[derive(Clone)]
pub struct Config {
    pub listen: u16,
    pub processor: u16,
    pub control: u16,
    pub admin: u16,
    /// `window` of `label-save`, in milliseconds; `None` leaves the key out.
    pub window_ms: Option<u64>,
}

impl Config {
    /// The file: the settings of the kasvio-tiles example of WIRE.
    pub fn text(&self) -> String {
        let Self { listen, processor, control, admin, .. } = self;
        let window = self.window_ms.map_or(String::new(), |ms| format!(r#""window": {}, "#, ms * 1_000_000));
        let class = |name: &str, promise: u64, deadline: u64, worth: f64| {
            format!(
                r#"{{"deadline": {deadline}000000, "effect": "repeatable", "late_value": 0.0, "name": "{name}", "promise": {promise}000000, "window": 5000000000, "worth": {worth}}}"#
            )
        };
        let (view, zoom) = (class("sheet-view", 1600, 4000, 1.0), class("deep-zoom", 2200, 5800, 1.0));
        let read = class("label-read", 1600, 4000, 2.0);
        let save = format!(
            r#"{{"deadline": 4000000000, "effect": "by_key", "late_value": 0.2, "name": "label-save", "promise": 1600000000, {window}"worth": 4.0}}"#
        );
        format!(
            r#"{{"name": "n1", "listen": "127.0.0.1:{listen}", "processor": "127.0.0.1:{processor}", "control": "127.0.0.1:{control}",
 "admin_addr": "127.0.0.1:{admin}", "seed": "{}", "stop_ms": 3200, "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}},
 "settings": {{"callers": {{"marks_retry": true}},
 "customers": [{{"name": "etela-kasvio", "portion": 0.42, "quota_rps": 66.0}}, {{"name": "lansi-kasvio", "portion": 0.58, "quota_rps": 91.0}}],
 "family": "server", "goal": {{"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3}}, "granularity": 2000000,
 "limits": {{"cpu_us_per_request": 0.0, "cpu_us_per_s": 64255, "max_retry_after": 1000000000, "retry_after": true}}, "me": 0,
 "over_share_worth": 0.05, "prices": {{"connection": 0.0, "handshake": 0.0, "late_fail": 0.083, "origin": 0.0, "waste": 0.08}},
 "profiles": [{view}, {zoom}, {read}, {save}],
 "report": {{"how": "inline", "names": ["latency_ms"]}},
 "rules": {{"answer_slack": 100000000, "cold": 18000000000, "cold_share": 0.21, "drain_grace": 1800000000, "fall": 1500000000, "tip_multiple": 8.0}},
 "servers": 1,
 "specifics": {{"advert": "threshold", "below": "off", "calls_by_class": [false, false, false, false], "calls_out": 0.0, "class_skip_worth": [0.0, 0.0, 0.0, 0.0], "clients_total": 3, "fresh_for": 0, "full_checks": false, "gauges": ["core_use", "on_cores", "heap_share", "links"], "heeded": 1000000000, "idle": 15000000000, "just_started": false, "kb_per_key": 45.47, "linger": 200000000, "list_follows": true, "memory_kb": 8346.0, "n_cores": 6, "passes_deadline": true, "run_factor": 8.0, "share_span": 5000000000, "stop_mode": "off", "tells_gone": true}},
 "stages": ["tile-servers"], "tier": 0, "worth_by": "request", "zone": "lahti-1", "zones": ["tampere-1", "jyvaskyla-1", "lahti-1"]}}}}"#,
            new_id()
        )
    }
}

/// A folder of the case, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Outcome<Self> {
        let path = std::env::temp_dir().join(format!("gradepin-review-{}-{}", std::process::id(), new_id()));
        std::fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        Ok(Self(path))
    }

    pub fn write(&self, name: &str, text: &str) -> Outcome<PathBuf> {
        let path = self.0.join(name);
        let draft = self.0.join(format!("{name}.new"));
        std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, &path)).map_err(|e| e.to_string())?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How to start a tile server.
pub struct Start<'a> {
    pub config: &'a Path,
    pub tmp: &'a Path,
    pub log: PathBuf,
    pub settings: Option<&'a Path>,
    pub admin: u16,
}

/// The command `run` of the deploy file.
fn run_command() -> Outcome<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run in the deploy file")?;
    Ok(line.split('"').next().unwrap_or_default().to_string())
}

/// Starts a tile server as the platform does, and waits until it is ready.
pub fn start_server(start: &Start<'_>) -> Outcome<Child> {
    let mut command = run_command()?;
    if let Some(settings) = start.settings {
        command.push_str(&format!(" --settings {}", settings.display()));
    }
    let log = File::create(&start.log).map_err(|e| e.to_string())?;
    let mut shell = Command::new("/bin/sh");
    shell.arg("-c").arg(&command).stdin(Stdio::null());
    shell.stdout(log.try_clone().map_err(|e| e.to_string())?).stderr(log);
    shell.env("GW_NAME", "n1").env("GW_CONFIG", start.config).env("TMPDIR", start.tmp);
    shell.env("GW_ADMIN_ADDR", format!("127.0.0.1:{}", start.admin));
    // SAFETY: the call is allowed between fork and exec.
    unsafe {
        shell.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    let child = shell.spawn().map_err(|e| format!("start: {e}"))?;
    CHILDREN.lock().unwrap().push(child.id() as i32);
    record(&format!("platform: started process {} with '{command}'", child.id()));
    for _ in 0..300 {
        if door(start.admin, "GET /healthcheck") == Some(200) {
            record(&format!("platform: process {} says that it is ready", child.id()));
            return Ok(child);
        }
        sleep_ms(20);
    }
    Err(format!("process {} is not ready after 6 s", child.id()))
}

/// Serves some saves and reads, so that the server has measured its runs.
pub fn warm_up(port: u16) -> Outcome<()> {
    let mut client = Client::connect(port)?;
    let mut served = 0;
    for n in 0..30 {
        let attempt = Try {
            class: "label-save",
            token: Some(format!("{}{}", new_id(), new_id())),
            body: format!("warm-up {n}"),
            budget_ms: 3000,
            again: false,
        };
        served += usize::from(matches!(client.call(&attempt, 3200)?.1, Answer::Served(_)));
    }
    record(&format!("client over Thrift: {served} of 30 other saves served before"));
    if served == 30 { Ok(()) } else { Err("the server doesn't serve".into()) }
}

pub fn save(body: &str, token: &str, again: bool) -> Try {
    Try { class: "label-save", token: Some(token.into()), body: body.into(), budget_ms: 3000, again }
}

pub fn new_token() -> String {
    format!("{}{}", new_id(), new_id())
}
