//! A processor that follows a script of misbehaviour, writes down what it reads and what it makes, and keeps to the protocol
//! page in all that the script doesn't name.

mod link;
mod script;

pub use script::{Cut, Script};

use super::plan::{LARGEST_RESULT, Rejected};
use super::random::Random;
use super::record::{Command, Made, Record, Told};
use rustix::net::sockopt;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Between steps of the runs, and looks at what the script says.
const TICK: Duration = Duration::from_millis(1);
/// Notices kept for a link that comes later, by the protocol page.
const KEPT: usize = 4_000;
/// Bytes of a run's call at the most.
const LONGEST_CALL: usize = 400;
/// How long a run takes at the most.
const LONGEST_RUN_MS: u64 = 30;
/// From the end of a processor to the start of the next.
const RESTART: Duration = Duration::from_millis(150);
/// A server that takes nothing for so long has lost its link.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// The system keeps so little of what is not read: a slow reader is felt soon.
const RECEIVE_BUFFER: usize = 4 * 1024;

struct Run {
    rid: String,
    /// A call that it makes before it ends.
    call: Option<Vec<u8>>,
    ends: Instant,
    since: Instant,
}

/// The link in use.
struct Current {
    number: u64,
    stream: TcpStream,
}

struct State {
    script: Script,
    random: Random,
    life: u64,
    server_life: u64,
    started: Instant,
    running: BTreeMap<String, Run>,
    /// Runs that wait for the reply to their call.
    calling: BTreeMap<String, Run>,
    /// Whether runs make calls.
    calls: bool,
    address: SocketAddr,
    known: HashSet<String>,
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice: u64,
    /// A notice that is told after the next one.
    held_back: Option<Vec<u8>>,
    current: Option<Current>,
    links: u64,
    /// A listener that takes the place of the one before.
    moved: Option<TcpListener>,
    /// Makes one result other than what is written down: the seeded defect of provenance.
    corrupts: bool,
}

struct Shared {
    state: Mutex<State>,
    record: Arc<Record>,
    ends: AtomicBool,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in; it ends when this is dropped.
pub struct Processor {
    shared: Arc<Shared>,
}

impl Processor {
    /// Listens on a loopback address of its own.
    pub fn start(record: &Arc<Record>, seed: u64, calls: bool, corrupts: bool) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            script: Script::default(),
            random: Random::new(seed, 2),
            life: 1,
            server_life: 1,
            started: Instant::now(),
            running: BTreeMap::new(),
            calling: BTreeMap::new(),
            calls,
            address,
            known: HashSet::new(),
            notices: VecDeque::new(),
            last_notice: 0,
            held_back: None,
            current: None,
            links: 0,
            moved: None,
            corrupts,
        };
        let record = Arc::clone(record);
        let shared = Arc::new(Shared { state: Mutex::new(state), record, ends: AtomicBool::new(false) });
        let mine = Arc::clone(&shared);
        let serve = move || serve(listener, &mine);
        thread::Builder::new().name("scripted-processor".into()).spawn(serve)?;
        Ok(Self { shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.state().address
    }

    /// Listens on another address from now on; the link stands until the server leaves it.
    pub fn moves(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut state = self.shared.state();
        state.address = listener.local_addr()?;
        state.moved = Some(listener);
        Ok(state.address)
    }

    /// Changes what it does wrong from now on.
    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.shared.state().script);
    }

    /// Whether links or notices are still to be cut.
    pub fn has_cuts(&self) -> bool {
        let state = self.shared.state();
        state.script.cut_commands.is_some() || state.script.cut_notices.is_some()
    }

    /// Tells notices in their order from now on, and what it held back.
    pub fn tell_in_order(&self) {
        let mut state = self.shared.state();
        state.script.out_of_order = false;
        if let Some(held) = state.held_back.take() {
            state.send(&held);
        }
    }

    /// Dies and starts again: what ran is lost, notices begin at 1. Between the two it takes no connection, for a time that no
    /// real start of a processor undercuts: the server tells a new processor by its age.
    pub fn restart(&self) {
        let mut state = self.shared.state();
        state.life += 1;
        state.started = Instant::now() + RESTART;
        state.running.clear();
        state.calling.clear();
        state.known.clear();
        state.notices.clear();
        state.held_back = None;
        state.last_notice = 0;
        state.drop_link();
    }

    /// The server has been killed, and the processor with it.
    pub fn restart_with_server(&self) {
        self.restart();
        self.shared.state().server_life += 1;
    }
}

impl Drop for Processor {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::SeqCst);
        self.shared.state().drop_link();
    }
}

/// Takes links, and steps the runs.
fn serve(listener: TcpListener, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    while !shared.ends.load(Ordering::SeqCst) {
        let (refuses, moved, address) = {
            let mut state = shared.state();
            (state.is_away(), state.moved.take(), state.address)
        };
        listener = moved.or(listener);
        if refuses {
            listener = None;
            shared.state().drop_link();
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        if let Some(open) = &listener {
            let _ = open.set_nonblocking(true);
            let _ = sockopt::set_socket_recv_buffer_size(open, RECEIVE_BUFFER);
            while let Ok((stream, _)) = open.accept() {
                let shared = Arc::clone(shared);
                let _ = thread::Builder::new()
                    .name("scripted-link".into())
                    .spawn(move || link::serve(stream, &shared));
            }
        }
        step(shared);
        thread::sleep(TICK);
    }
}

/// Ends the runs whose time has come.
fn step(shared: &Shared) {
    let mut state = shared.state();
    if state.script.holds_runs {
        return;
    }
    let now = Instant::now();
    let over: Vec<String> =
        state.running.values().filter(|run| run.ends <= now).map(|run| run.rid.clone()).collect();
    for rid in over {
        state.complete(&rid, &shared.record);
    }
}

impl State {
    /// Whether its address is closed.
    fn is_away(&self) -> bool {
        self.script.refuses || Instant::now() < self.started
    }

    fn drop_link(&mut self) {
        if let Some(current) = self.current.take() {
            let _ = current.stream.shutdown(Shutdown::Both);
        }
    }

    /// A command to run a request.
    fn begin(&mut self, rid: &str, class: &str, body: Vec<u8>, link: u64, record: &Record) {
        let rejected = self.script.reject == Some(Rejected::InsteadOfRun) && !self.known.contains(rid);
        record.entries().commands.push(Command {
            rid: rid.to_string(),
            class: class.to_string(),
            body,
            link,
            processor_life: self.life,
            server_life: self.server_life,
            refused: rejected || self.script.end == "MOOT",
        });
        if rejected {
            return self.send(format!("reject begin {rid}\r\n").as_bytes());
        }
        if self.script.reject == Some(Rejected::Unknown) {
            let unknown = format!("{:016x}", self.random.number());
            self.send(format!("reject begin {unknown}\r\n").as_bytes());
        }
        if !self.known.insert(rid.to_string()) {
            return;
        }
        let since = Instant::now();
        let ends = since + self.some_time();
        let length = self.random.count(0..=LONGEST_CALL);
        let call = self.calls.then(|| self.random.bytes(length));
        self.running.insert(rid.to_string(), Run { rid: rid.to_string(), call, ends, since });
    }

    fn some_time(&mut self) -> Duration {
        Duration::from_millis(self.random.within(0..=LONGEST_RUN_MS))
    }

    /// The reply to a run's call came; given again after a link that may have lost it, it goes on once.
    fn answered(&mut self, rid: &str, reply: Vec<u8>, record: &Record) {
        record.entries().answered.push(Told { rid: rid.to_string(), bytes: reply });
        let ends = Instant::now() + self.some_time();
        if let Some(run) = self.calling.remove(rid) {
            self.running.insert(rid.to_string(), Run { ends, ..run });
        }
    }

    /// A run is to stop.
    fn interrupt(&mut self, rid: &str) {
        if self.running.remove(rid).or_else(|| self.calling.remove(rid)).is_some() {
            self.notify(|n| format!("complete {n} {rid} STOPPED 1.000 0\r\n\r\n").into_bytes());
        }
    }

    /// Ends a run as the script says.
    fn complete(&mut self, rid: &str, record: &Record) {
        let Some(mut run) = self.running.remove(rid) else { return };
        if let Some(call) = run.call.take() {
            record.entries().asks.push(Told { rid: rid.to_string(), bytes: call.clone() });
            self.calling.insert(rid.to_string(), run);
            return self.notify(|n| {
                let head = format!("ask {n} {rid} {}\r\n", call.len());
                [head.as_bytes(), &call, b"\r\n"].concat()
            });
        }
        let took = run.since.elapsed().as_secs_f64() * 1e3;
        let end = self.script.end;
        let result = if end == "OK" { self.result() } else { Vec::new() };
        if end == "OK" {
            record.entries().made.push(Made { rid: rid.to_string(), result: result.clone() });
        }
        let told = if std::mem::take(&mut self.corrupts) { corrupted(&result) } else { result };
        if let Some(length) = self.script.remark {
            let words = "x".repeat(length);
            self.notify(|n| format!("remark {n} {words}\r\n").into_bytes());
        }
        self.notify(|n| {
            let head = format!("complete {n} {rid} {end} {took:.3} {}\r\n", told.len());
            [head.as_bytes(), &told, b"\r\n"].concat()
        });
        if self.script.reject == Some(Rejected::Finished) {
            self.send(format!("reject begin {rid}\r\n").as_bytes());
        }
    }

    /// Bytes of a run's own: any values, line ends among them.
    fn result(&mut self) -> Vec<u8> {
        let length = match self.script.result_length {
            Some(length) => length,
            None if self.random.once_in(8) => LARGEST_RESULT,
            None => self.random.count(0..=600),
        };
        let mut result = self.random.bytes(length);
        if length > 8 {
            result[3..5].copy_from_slice(b"\r\n");
        }
        result
    }

    /// Tells a notice, and keeps it.
    fn notify(&mut self, text: impl FnOnce(u64) -> Vec<u8>) {
        self.last_notice += 1;
        let text = text(self.last_notice);
        self.notices.push_back((self.last_notice, text.clone()));
        if self.notices.len() > KEPT {
            self.notices.pop_front();
        }
        if !self.script.out_of_order {
            return self.tell(&text);
        }
        match self.held_back.take() {
            None => self.held_back = Some(text),
            Some(before) => {
                self.tell(&text);
                self.tell(&before);
            }
        }
    }

    /// Writes a notice, whole or as much of it as the script lets through.
    fn tell(&mut self, text: &[u8]) {
        let Some(cut) = self.script.take_notice_cut() else { return self.send(text) };
        self.send(&text[..cut.after.min(text.len())]);
        if let Some(current) = self.current.as_ref().filter(|_| cut.resets) {
            let _ = sockopt::set_socket_linger(&current.stream, Some(Duration::ZERO));
        }
        self.drop_link();
    }

    fn send(&mut self, text: &[u8]) {
        let Some(current) = &mut self.current else { return };
        let pieces = if self.script.byte_by_byte { 1 } else { text.len().max(1) };
        for piece in text.chunks(pieces) {
            if current.stream.write_all(piece).is_err() {
                return self.drop_link();
            }
        }
    }
}

/// The same with one byte changed, or with one byte more where there is none.
fn corrupted(result: &[u8]) -> Vec<u8> {
    let mut changed = result.to_vec();
    match changed.last_mut() {
        Some(last) => *last ^= 1,
        None => changed.push(b'!'),
    }
    changed
}
