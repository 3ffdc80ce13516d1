//! Stand-ins that the cases share: the machine with its cores and memory, the processor's links, the control plane,
//! client proxies over Thrift, and the platform that starts and signals the project's processes. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(old: i32, new: i32) -> i32;
    fn fcntl(fd: i32, command: i32, argument: i32) -> i32;
    fn prctl(option: i32, argument: u64, _: u64, _: u64, _: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const F_SETFD: i32 = 2;
/// A signal that a process gets when the one that started it ends, however it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption takes place: it does unless `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A case that could not run ends with status 2.
pub fn cannot_run(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    std::process::exit(2);
}

/// `record.txt`: a line for everything sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.0.0.elapsed().as_micros() as f64 / 1000.0;
        let _ = writeln!(self.0.1.lock().unwrap(), "{ms:10.1} {}", text.as_ref());
    }

    /// Also prints the line.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port").local_addr().expect("an address")
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

// ---------------------------------------------------------------------------------------------------- the machine

/// One run on the machine.
struct Run {
    /// Processor time that is left, in ms at full speed.
    cpu_left: f64,
    /// Time that is left to wait for the disk, in ms, before the processor time.
    disk_left: f64,
    began: Instant,
    done: Option<Box<dyn FnOnce(u64) + Send>>,
}

/// A request as the machine books its memory.
struct Booked {
    kb: f64,
    written: Instant,
    /// Set from the start of its run.
    ran: bool,
}

#[derive(Default)]
struct MachineState {
    runs: HashMap<String, Run>,
    booked: HashMap<String, Booked>,
    peak_kb: f64,
    peak_at: f64,
    /// Integral of the requests on the cores, by 10 ms steps.
    on_cores: VecDeque<(Instant, f64)>,
    peak_mean: f64,
}

/// The cores and the memory of the machine of one tile server. Both processes of an upgrade use the same one.
pub struct Machine {
    pub cores: f64,
    pub memory_kb: f64,
    pub run_factor: f64,
    /// Span over which the requests on the cores are averaged.
    pub fall: Duration,
    state: Mutex<MachineState>,
    started: Instant,
}

impl Machine {
    pub fn start(cores: f64, memory_kb: f64, run_factor: f64, fall_ms: u64) -> Arc<Self> {
        let machine = Arc::new(Self {
            cores,
            memory_kb,
            run_factor,
            fall: Duration::from_millis(fall_ms),
            state: Mutex::default(),
            started: Instant::now(),
        });
        let ticking = Arc::clone(&machine);
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                sleep_ms(2);
                let now = Instant::now();
                ticking.tick(now, now.duration_since(last).as_secs_f64() * 1000.0);
                last = now;
            }
        });
        machine
    }

    fn tick(&self, now: Instant, ms: f64) {
        let mut ended = Vec::new();
        {
            let mut state = self.state.lock().unwrap();
            let on_cores = state.runs.values().filter(|run| run.disk_left <= 0.0).count() as f64;
            let step = ms * (self.cores / on_cores.max(1.0)).min(1.0);
            let mut over = Vec::new();
            for (id, run) in &mut state.runs {
                if run.disk_left > 0.0 {
                    run.disk_left -= ms;
                } else {
                    run.cpu_left -= step;
                }
                if run.disk_left <= 0.0 && run.cpu_left <= 0.0 {
                    over.push(id.clone());
                }
            }
            for id in over {
                if let Some(mut run) = state.runs.remove(&id) {
                    ended.push((run.done.take(), run.began.elapsed().as_millis() as u64));
                }
            }
            state.on_cores.push_back((now, on_cores * ms));
            while state.on_cores.front().is_some_and(|(at, _)| now.duration_since(*at) > self.fall) {
                state.on_cores.pop_front();
            }
            let mean =
                state.on_cores.iter().map(|(_, area)| area).sum::<f64>() / self.fall.as_millis() as f64;
            state.peak_mean = state.peak_mean.max(mean);
            let kb = self.booked_kb(&state, now);
            if kb > state.peak_kb {
                state.peak_kb = kb;
                state.peak_at = now.duration_since(self.started).as_secs_f64();
            }
        }
        for (done, took) in ended {
            if let Some(done) = done {
                done(took);
            }
        }
    }

    /// The memory in use: a request's figure from 0.1 s after it was written, or from the start of its run, until it is
    /// answered or given up; the run factor times that while it runs.
    fn booked_kb(&self, state: &MachineState, now: Instant) -> f64 {
        let held = Duration::from_millis(100);
        state
            .booked
            .iter()
            .map(|(id, booked)| match state.runs.contains_key(id) {
                true => booked.kb * self.run_factor,
                false if booked.ran || now.duration_since(booked.written) >= held => booked.kb,
                false => 0.0,
            })
            .sum()
    }

    /// Notes that a request was written to the tile server.
    pub fn written(&self, id: &str, kb: f64) {
        let booked = Booked { kb, written: Instant::now(), ran: false };
        self.state.lock().unwrap().booked.insert(id.to_string(), booked);
    }

    /// Notes that a request was answered or given up. Its memory is back, or with the end of its run.
    pub fn answered(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        if !state.runs.contains_key(id) {
            state.booked.remove(id);
        }
    }

    fn begin(&self, id: &str, disk_ms: f64, cpu_ms: f64, done: Box<dyn FnOnce(u64) + Send>) {
        let mut state = self.state.lock().unwrap();
        if state.runs.contains_key(id) {
            return;
        }
        if let Some(booked) = state.booked.get_mut(id) {
            booked.ran = true;
        }
        let run = Run { cpu_left: cpu_ms, disk_left: disk_ms, began: Instant::now(), done: Some(done) };
        state.runs.insert(id.to_string(), run);
    }

    /// Memory in use now, its peak, when that was (in s), and the peak of the requests on the cores in the mean.
    pub fn figures(&self) -> (f64, f64, f64, f64) {
        let state = self.state.lock().unwrap();
        (self.booked_kb(&state, Instant::now()), state.peak_kb, state.peak_at, state.peak_mean)
    }

    fn gauges(&self) -> (f64, usize, f64) {
        let state = self.state.lock().unwrap();
        let on_cores = state.runs.values().filter(|run| run.disk_left <= 0.0).count();
        let heap = self.booked_kb(&state, Instant::now()) / self.memory_kb;
        ((on_cores as f64 / self.cores).min(1.0), on_cores, heap)
    }
}

// -------------------------------------------------------------------------------------------------- the processor

/// What a run does.
#[derive(Clone, Copy, Default)]
pub struct Job {
    /// Wait for the disk before anything else, in ms.
    pub disk_ms: f64,
    /// Processor time in ms, and again after each call.
    pub cpu_ms: f64,
    pub calls: u32,
    /// Whether the run fails in the end.
    pub fails: bool,
}

/// What a run does, by class and body.
pub type Work = Arc<dyn Fn(&str, &[u8]) -> Job + Send + Sync>;

#[derive(Default)]
struct ProcessorState {
    link: Option<TcpStream>,
    last_notice: u64,
    notices: VecDeque<(u64, Vec<u8>)>,
    /// Runs begun: id, class, body.
    begun: Vec<(String, String, Vec<u8>)>,
    /// Runs that wait for a call, with what is left after it.
    at_call: HashMap<String, (Vec<u8>, Job)>,
    /// Requests that are over.
    over: HashSet<String>,
}

/// One address of the processor, with notices of its own.
pub struct Processor {
    pub address: SocketAddr,
    name: String,
    machine: Arc<Machine>,
    work: Work,
    started: Instant,
    record: Record,
    state: Mutex<ProcessorState>,
}

impl Processor {
    pub fn start(name: &str, machine: &Arc<Machine>, work: Work, record: &Record) -> Arc<Self> {
        let (listener, address) = listen();
        let processor = Arc::new(Self {
            address,
            name: name.to_string(),
            machine: Arc::clone(machine),
            work,
            started: Instant::now(),
            record: record.clone(),
            state: Mutex::default(),
        });
        let accepting = Arc::clone(&processor);
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(link));
            }
        });
        processor
    }

    /// Ids, classes and bodies of all runs begun so far.
    pub fn begun(&self) -> Vec<(String, String, Vec<u8>)> {
        self.state.lock().unwrap().begun.clone()
    }

    fn notice(&self, text: impl Fn(u64) -> Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        state.last_notice += 1;
        let number = state.last_notice;
        let bytes = text(number);
        if let Some(link) = &mut state.link {
            let _ = link.write_all(&bytes);
        }
        state.notices.push_back((number, bytes));
        if state.notices.len() > 4000 {
            state.notices.pop_front();
        }
    }

    fn reply(&self, text: String) {
        if let Some(link) = &mut self.state.lock().unwrap().link {
            let _ = link.write_all(text.as_bytes());
        }
    }

    fn serve(self: &Arc<Self>, link: TcpStream) {
        let _ = link.set_nodelay(true);
        let mut reads = BufReader::new(link.try_clone().expect("a clone"));
        let mut line = String::new();
        while reads.read_line(&mut line).is_ok_and(|len| len > 0) {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["hello", number] => {
                    let after: u64 = number.parse().unwrap_or(0);
                    let mut state = self.state.lock().unwrap();
                    let mut out = link.try_clone().expect("a clone");
                    let _ = out
                        .write_all(format!("hi WARM {}\r\n", self.started.elapsed().as_millis()).as_bytes());
                    for (number, bytes) in &state.notices {
                        if *number > after {
                            let _ = out.write_all(bytes);
                        }
                    }
                    state.link = Some(out);
                }
                ["usage", tag] => {
                    let (use_, on_cores, heap) = self.machine.gauges();
                    self.reply(format!("used {tag} {use_:.3} {on_cores} {heap:.4} 8\r\n"));
                }
                ["begin", id, class, length] => {
                    let (id, class) = (id.to_string(), class.to_string());
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    if reads.read_exact(&mut body).is_err() {
                        return;
                    }
                    body.truncate(body.len() - 2);
                    self.begin(id, class, body);
                }
                ["answer", id, length] => {
                    let id = id.to_string();
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    if reads.read_exact(&mut body).is_err() {
                        return;
                    }
                    self.call_answered(&id);
                }
                ["interrupt", id] => {
                    self.record.line(format!("processor {} is to interrupt {id}", self.name))
                }
                _ => return self.record.line(format!("processor {}: no command: {line:?}", self.name)),
            }
            line.clear();
        }
    }

    fn begin(self: &Arc<Self>, id: String, class: String, body: Vec<u8>) {
        let job = (self.work)(&class, &body);
        let text = String::from_utf8_lossy(&body).into_owned();
        self.record.line(format!("processor {} begins {id} {class} {text}", self.name));
        self.state.lock().unwrap().begun.push((id.clone(), class, body.clone()));
        self.compute(id, body, job);
    }

    /// Runs on the cores until the next call or the end.
    fn compute(self: &Arc<Self>, id: String, body: Vec<u8>, job: Job) {
        let (ending, ended) = (Arc::clone(self), id.clone());
        let done = move |took: u64| {
            if job.calls > 0 {
                return ending.call(ended, body, job);
            }
            ending.record.line(format!("processor {} ends {ended} after {took} ms", ending.name));
            let (end, result) =
                if job.fails { ("ERROR", Vec::new()) } else { ("OK", [b"done ", &body[..]].concat()) };
            ending.notice(|number| {
                let head = format!("complete {number} {ended} {end} {took} {}\r\n", result.len());
                [head.as_bytes(), &result, b"\r\n"].concat()
            });
        };
        self.machine.begin(&id, job.disk_ms, job.cpu_ms, Box::new(done));
    }

    fn call(self: &Arc<Self>, id: String, body: Vec<u8>, job: Job) {
        let is_over = {
            let mut state = self.state.lock().unwrap();
            let is_over = state.over.contains(&id);
            if !is_over {
                let after = Job { disk_ms: 0.0, calls: job.calls - 1, ..job };
                state.at_call.insert(id.clone(), (body, after));
            }
            is_over
        };
        if is_over {
            return self.stopped(&id);
        }
        self.record.line(format!("processor {} asks for {id}", self.name));
        self.notice(|number| format!("ask {number} {id} 4\r\npost\r\n").into_bytes());
    }

    fn stopped(&self, id: &str) {
        self.record.line(format!("processor {} stops {id} at its call", self.name));
        self.notice(|number| format!("complete {number} {id} STOPPED 1 0\r\n\r\n").into_bytes());
    }

    /// The reply to a call: the run goes on.
    fn call_answered(self: &Arc<Self>, id: &str) {
        let waiting = self.state.lock().unwrap().at_call.remove(id);
        match waiting {
            Some((body, job)) => self.compute(id.to_string(), body, job),
            None => self.reply(format!("reject answer {id}\r\n")),
        }
    }

    /// Notes that a request is answered or given up: its run ends at its call.
    pub fn request_over(&self, id: &str) {
        let waited = {
            let mut state = self.state.lock().unwrap();
            state.over.insert(id.to_string());
            state.at_call.remove(id).is_some()
        };
        if waited {
            self.stopped(id);
        }
    }
}

// ------------------------------------------------------------------------------------------------------ the ledger

/// The ledger: serves each call in the same time, and keeps account of the calls in its hands.
pub struct Ledger {
    pub address: SocketAddr,
    serving: Duration,
    linger: Duration,
    /// Begin and end of each call, with the server's port for the record.
    calls: Mutex<Vec<(Instant, Option<Instant>)>>,
    /// Requests that are over: a call for one ends.
    over: Mutex<HashSet<String>>,
    record: Record,
}

impl Ledger {
    pub fn start(serving_ms: u64, linger_ms: u64, record: &Record) -> Arc<Self> {
        let (listener, address) = listen();
        let ledger = Arc::new(Self {
            address,
            serving: Duration::from_millis(serving_ms),
            linger: Duration::from_millis(linger_ms),
            calls: Mutex::default(),
            over: Mutex::default(),
            record: record.clone(),
        });
        let accepting = Arc::clone(&ledger);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(socket));
            }
        });
        ledger
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut out = socket.try_clone().expect("a clone");
        let mut reads = BufReader::new(socket.try_clone().expect("a clone"));
        loop {
            let (mut length, mut id, mut line) = (0, String::new(), String::new());
            let _ = socket.set_read_timeout(Some(Duration::from_secs(10)));
            if !reads.read_line(&mut line).is_ok_and(|len| len > 0) {
                return;
            }
            loop {
                line.clear();
                if !reads.read_line(&mut line).is_ok_and(|len| len > 0) {
                    return;
                }
                let Some((name, value)) = line.trim().split_once(':') else { break };
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "x-txn-ref" => id = value.trim().to_string(),
                    _ => {}
                }
            }
            let mut body = vec![0; length];
            if reads.read_exact(&mut body).is_err() {
                return;
            }
            let call = {
                let mut calls = self.calls.lock().unwrap();
                calls.push((Instant::now(), None));
                calls.len() - 1
            };
            self.record.line(format!("ledger begins the call of {id}"));
            // A call is given up by the close of its connection; it stays in the ledger's hands for a while.
            let until = Instant::now() + self.serving;
            let (mut given_up, mut run_ended) = (false, false);
            while !given_up && !run_ended && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now()).min(Duration::from_millis(10));
                let _ = socket.set_read_timeout(Some(left.max(Duration::from_millis(1))));
                given_up = matches!(reads.fill_buf(), Ok([]));
                run_ended = self.over.lock().unwrap().contains(&id);
            }
            if given_up {
                thread::sleep(self.linger);
            }
            self.calls.lock().unwrap()[call].1 = Some(Instant::now());
            let end = if given_up {
                ", given up"
            } else if run_ended {
                ", its run has ended"
            } else {
                ""
            };
            self.record.line(format!("ledger ends the call of {id}{end}"));
            let reply: &[u8] = match run_ended {
                true => b"HTTP/1.1 504 Over\r\nContent-Length: 0\r\n\r\n",
                false => b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
            };
            if given_up || out.write_all(reply).is_err() {
                return;
            }
        }
    }

    /// Notes that a request is answered or given up, so that its run ends at its call.
    pub fn request_over(&self, id: &str) {
        self.over.lock().unwrap().insert(id.to_string());
    }

    /// The highest mean of the calls in its hands over a span, with the time of its end in s from `since`; and the
    /// highest number at a time.
    pub fn highest_mean(&self, span: Duration, since: Instant) -> (f64, f64, usize) {
        let calls = self.calls.lock().unwrap();
        let now = Instant::now();
        let (mut best, mut at, mut most) = (0.0, 0.0, 0);
        let mut end = since;
        while end < now {
            let start = end.checked_sub(span).unwrap_or(end);
            let (mut area, mut open) = (0.0, 0);
            for (begin, over) in calls.iter() {
                let over = over.unwrap_or(now);
                let inside = over.min(end).saturating_duration_since((*begin).max(start));
                area += inside.as_secs_f64();
                open += usize::from(*begin <= end && end < over);
            }
            let mean = area / span.as_secs_f64();
            if mean > best {
                (best, at) = (mean, end.duration_since(since).as_secs_f64());
            }
            most = most.max(open);
            end += Duration::from_millis(50);
        }
        (best, at, most)
    }
}

// ---------------------------------------------------------------------------------------------- the control plane

/// The control plane: takes reports and records each change.
pub fn control_plane(record: &Record) -> SocketAddr {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = socket.local_addr().expect("an address");
    let record = record.clone();
    thread::spawn(move || {
        let (mut buffer, mut last) = ([0; 256], BTreeMap::new());
        while let Ok((len, from)) = socket.recv_from(&mut buffer) {
            let report = String::from_utf8_lossy(&buffer[..len]).into_owned();
            if last.insert(from, report.clone()).as_ref() != Some(&report) {
                record.line(format!("control plane hears {report}"));
            }
        }
    });
    address
}

// ------------------------------------------------------------------------------------------------- client proxies

fn put_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

/// A frame of the call `call(1: fields, 2: body)`.
pub fn call_frame(sequence: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, 1];
    put_string(&mut message, b"call");
    message.extend(sequence.to_be_bytes());
    message.extend([13, 0, 1, 11, 11]);
    message.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut message, name.as_bytes());
        put_string(&mut message, value.as_bytes());
    }
    message.extend([11, 0, 2]);
    put_string(&mut message, body);
    message.push(0);
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// What came back for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed,
    /// The connection ended without a whole answer.
    Lost,
}

struct WireReader<'a>(&'a [u8]);

impl<'a> WireReader<'a> {
    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(len)?;
        self.0 = rest;
        Some(taken)
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn string(&mut self) -> Option<&'a [u8]> {
        let len = self.u32()? as usize;
        self.take(len)
    }
}

enum Frame {
    Draining,
    Reply(i32, Answer),
}

fn read_frame(frame: &[u8]) -> Option<Frame> {
    let mut reader = WireReader(frame);
    let kind = reader.u32()? & 0xff;
    let name = reader.string()?;
    let sequence = reader.u32()? as i32;
    if kind == 4 && name == b"draining" {
        return Some(Frame::Draining);
    }
    if kind == 3 {
        return Some(Frame::Reply(sequence, Answer::Failed));
    }
    let (_, id) = (reader.take(1)?, reader.take(2)?);
    let answer = match id {
        [0, 0] => {
            reader.take(3)?;
            Answer::Served(reader.string()?.to_vec())
        }
        [0, 1] => Answer::Refused,
        _ => Answer::Failed,
    };
    Some(Frame::Reply(sequence, answer))
}

/// A request as a client proxy sends it.
#[derive(Clone)]
pub struct Request {
    pub rid: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub budget_ms: u64,
    pub kb: f64,
    pub token: Option<String>,
    pub again: bool,
    pub body: Vec<u8>,
}

pub type OnAnswer = Arc<dyn Fn(&Request, Answer, u64) + Send + Sync>;

/// A connection of a client proxy.
pub struct Connection {
    name: String,
    socket: Mutex<TcpStream>,
    open: Mutex<HashMap<i32, (Request, u64)>>,
    next: AtomicU64,
    pub draining: AtomicBool,
    pub ended: AtomicBool,
    machine: Arc<Machine>,
    record: Record,
}

impl Connection {
    pub fn open(
        name: &str,
        address: SocketAddr,
        machine: &Arc<Machine>,
        record: &Record,
        on_answer: OnAnswer,
    ) -> std::io::Result<Arc<Self>> {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        let mut reads = socket.try_clone()?;
        let connection = Arc::new(Self {
            name: name.to_string(),
            socket: Mutex::new(socket),
            open: Mutex::default(),
            next: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            machine: Arc::clone(machine),
            record: record.clone(),
        });
        let reading = Arc::clone(&connection);
        thread::spawn(move || {
            let mut prefix = [0; 4];
            while reads.read_exact(&mut prefix).is_ok() {
                let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
                if reads.read_exact(&mut frame).is_err() {
                    break;
                }
                match read_frame(&frame) {
                    Some(Frame::Draining) => {
                        reading.record.line(format!("{} hears draining", reading.name));
                        reading.draining.store(true, Ordering::SeqCst);
                    }
                    Some(Frame::Reply(sequence, answer)) => reading.answered(sequence, answer, &on_answer),
                    None => break,
                }
                reading.close_if_drained();
            }
            reading.ended.store(true, Ordering::SeqCst);
            let lost: Vec<i32> = reading.open.lock().unwrap().keys().copied().collect();
            reading.record.line(format!("{} ended, {} requests open", reading.name, lost.len()));
            for sequence in lost {
                reading.answered(sequence, Answer::Lost, &on_answer);
            }
        });
        Ok(connection)
    }

    fn answered(&self, sequence: i32, answer: Answer, on_answer: &OnAnswer) {
        let Some((request, sent)) = self.open.lock().unwrap().remove(&sequence) else {
            return self.record.line(format!("{} gets an answer for no open request: {sequence}", self.name));
        };
        let took = unix_ms().saturating_sub(sent);
        let what = match &answer {
            Answer::Served(result) => format!("served {}", String::from_utf8_lossy(result)),
            other => format!("{other:?}").to_lowercase(),
        };
        self.record.line(format!("{} {} {what} after {took} ms", self.name, request.rid));
        self.machine.answered(&request.rid);
        on_answer(&request, answer, took);
    }

    /// Closes the connection once everything on it is answered, if it was asked to drain.
    fn close_if_drained(&self) {
        // Under the lock of the socket, so that no request is sent in between.
        let socket = self.socket.lock().unwrap();
        if self.draining.load(Ordering::SeqCst) && self.open.lock().unwrap().is_empty() {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn open_requests(&self) -> usize {
        self.open.lock().unwrap().len()
    }

    pub fn usable(&self) -> bool {
        !self.draining.load(Ordering::SeqCst)
            && !self.ended.load(Ordering::SeqCst)
            && self.open_requests() < 32
    }

    /// Sends a request. Returns false if the connection takes no more requests.
    pub fn send(&self, request: &Request) -> bool {
        let mut socket = self.socket.lock().unwrap();
        if !self.usable() {
            return false;
        }
        let sequence = self.next.fetch_add(1, Ordering::SeqCst) as i32;
        let t0 = unix_ms();
        let mut fields = vec![
            ("method", request.class.to_string()),
            ("rid", request.rid.clone()),
            ("t0", t0.to_string()),
            ("peer", "1".to_string()),
            ("acct", request.tenant.to_string()),
            ("budget", request.budget_ms.to_string()),
            ("mem", format!("{:.1}", request.kb)),
            ("prio", "0.5".to_string()),
        ];
        fields.extend(request.token.clone().map(|token| ("token", token)));
        fields.extend(request.again.then(|| ("again", "1".to_string())));
        self.open.lock().unwrap().insert(sequence, (request.clone(), t0));
        let frame = call_frame(sequence, &fields, &request.body);
        self.record.line(format!(
            "{} sends {} {} budget={} mem={} token={}",
            self.name,
            request.rid,
            request.class,
            request.budget_ms,
            request.kb,
            request.token.as_deref().unwrap_or("-")
        ));
        self.machine.written(&request.rid, request.kb);
        socket.write_all(&frame).is_ok()
    }

    pub fn close(&self) {
        let _ = self.socket.lock().unwrap().shutdown(std::net::Shutdown::Both);
    }
}

// --------------------------------------------------------------------------------------------------- the platform

/// The repository's root, from the folder of the case.
pub fn root(case: &Path) -> PathBuf {
    case.join("../..").canonicalize().unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// The command `run` of the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|e| cannot_run(&e.to_string()));
    let line =
        text.lines().find(|line| line.starts_with("run = \"")).unwrap_or_else(|| cannot_run("no run line"));
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("no run command")).to_string()
}

/// A process of the project, killed on drop.
pub struct Server {
    child: Child,
    pub name: String,
    record: Record,
}

pub struct ServerEnv<'a> {
    pub root: &'a Path,
    pub config: &'a Path,
    pub tmp: &'a Path,
    pub log: &'a Path,
    /// The inherited listening socket, passed as descriptor 3.
    pub listener: Option<&'a TcpListener>,
}

impl Server {
    pub fn start(name: &str, env: &ServerEnv, record: &Record) -> Self {
        let log = File::create(env.log).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(env.root)).current_dir(env.root);
        command.env("GW_CONFIG", env.config).env("TMPDIR", env.tmp).env("GW_NAME", "n1");
        command.env_remove("GW_ACCEPT_FD").env_remove("GW_ADMIN_ADDR");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let fd = env.listener.map(|listener| listener.as_raw_fd());
        if fd.is_some() {
            command.env("GW_ACCEPT_FD", "3");
        }
        // Only async-signal-safe calls between fork and exec.
        unsafe {
            command.pre_exec(move || {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                let ok = match fd {
                    Some(3) => fcntl(3, F_SETFD, 0),
                    Some(fd) => dup2(fd, 3),
                    None => 0,
                };
                if ok < 0 { Err(std::io::Error::last_os_error()) } else { Ok(()) }
            });
        }
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        record.line(format!("{name} starts, process {}", child.id()));
        Self { child, name: name.to_string(), record: record.clone() }
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("{} gets signal {signal}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the end until `deadline`; kills the process then.
    pub fn wait_until(&mut self, deadline: Instant) {
        while Instant::now() < deadline {
            if let Some(status) = self.ended() {
                return self.record.line(format!("{} has ended: {status}", self.name));
            }
            sleep_ms(1);
        }
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// The status of `GET PATH` at an admin endpoint; 0 if there is none.
pub fn admin_status(address: SocketAddr, path: &str) -> u16 {
    let Ok(mut socket) = TcpStream::connect(address) else { return 0 };
    let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
    let _ = socket.write_all(format!("GET {path} HTTP/1.1\r\nHost: n1\r\n\r\n").as_bytes());
    let mut text = String::new();
    let _ = socket.read_to_string(&mut text);
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

pub fn wait_ready(address: SocketAddr, within_ms: u64) {
    let start = Instant::now();
    while admin_status(address, "/healthcheck") != 200 {
        if start.elapsed() > Duration::from_millis(within_ms) {
            cannot_run(&format!("no server was ready at its door within {within_ms} ms"));
        }
        sleep_ms(20);
    }
}

/// What differs between configurations.
pub struct Config {
    pub listen: SocketAddr,
    pub processor: SocketAddr,
    pub control: SocketAddr,
    pub ledger: Option<SocketAddr>,
    pub admin: SocketAddr,
    pub stop_ms: u64,
    pub memory_mb: u64,
    /// The object `settings`, as JSON.
    pub settings: String,
}

impl Config {
    pub fn write(&self, path: &Path) {
        let seed = unix_ms() ^ (u64::from(self.admin.port()) << 48);
        let ledger = self.ledger.map_or(String::new(), |ledger| format!("\"ledger\":\"{ledger}\","));
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"processor\":\"{}\",\"control\":\"{}\",{ledger}\"admin_addr\":\"{}\",\
             \"seed\":\"{seed:016x}\",\"stop_ms\":{},\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":512}},\
             \"settings\":{}}}",
            self.listen,
            self.processor,
            self.control,
            self.admin,
            self.stop_ms,
            self.memory_mb,
            self.settings
        );
        std::fs::write(path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
    }
}
