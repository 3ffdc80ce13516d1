//! A processor with scripted misbehaviour. It records what it reads and produces, and otherwise follows the protocol
//! page.

mod link;
mod script;

pub use script::{Cut, Script};

use super::plan::{MAX_RESULT_BYTES, Rejected};
use super::random::Random;
use super::record::{Command, Payload, Record, RunResult};
use rustix::net::sockopt;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between steps of the runs, and between checks of the script.
const TICK: Duration = Duration::from_millis(1);
/// Notices stored for a later link, as on the protocol page.
const MAX_STORED_NOTICES: usize = 4_000;
/// Maximum length of a run's call, in bytes.
const MAX_CALL_BYTES: usize = 400;
/// Maximum duration of a run.
const MAX_RUN_MS: u64 = 30;
/// Time from the end of a processor to the next start.
const RESTART_DELAY: Duration = Duration::from_millis(150);
/// Write timeout after which the link counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer in bytes; small, so that a slow reader is soon noticed by the server.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;

struct Run {
    rid: String,
    /// The call to make before the run ends.
    call: Option<Vec<u8>>,
    ends: Instant,
    since: Instant,
}

/// The link in use; a new hello replaces it.
struct Current {
    number: u64,
    stream: TcpStream,
}

struct State {
    script: Script,
    random: Random,
    generation: u64,
    server_generation: u64,
    started: Instant,
    running: BTreeMap<String, Run>,
    /// Runs that wait for the reply to their call.
    awaiting_reply: BTreeMap<String, Run>,
    /// Whether runs make calls.
    makes_calls: bool,
    address: SocketAddr,
    known: HashSet<String>,
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice: u64,
    /// A notice that is written after the next one.
    held_back: Option<Vec<u8>>,
    current: Option<Current>,
    links: u64,
    /// A listener that replaces the current one.
    moved: Option<TcpListener>,
    /// Whether to corrupt one result on the link: the seeded defect of provenance.
    corrupts: bool,
}

struct Shared {
    state: Mutex<State>,
    record: Arc<Record>,
    stopping: AtomicBool,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in; it stops when this is dropped.
pub struct Processor {
    shared: Arc<Shared>,
}

impl Processor {
    /// Starts a processor on its own loopback address.
    pub fn start(record: &Arc<Record>, seed: u64, makes_calls: bool, corrupts: bool) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            script: Script::default(),
            random: Random::new(seed, 2),
            generation: 1,
            server_generation: 1,
            started: Instant::now(),
            running: BTreeMap::new(),
            awaiting_reply: BTreeMap::new(),
            makes_calls,
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
        let shared = Arc::new(Shared { state: Mutex::new(state), record, stopping: AtomicBool::new(false) });
        let mine = Arc::clone(&shared);
        let serve = move || serve(listener, &mine);
        thread::Builder::new().name("scripted-processor".into()).spawn(serve)?;
        Ok(Self { shared })
    }

    /// The address on which new links are accepted.
    pub fn address(&self) -> SocketAddr {
        self.shared.state().address
    }

    /// Accepts links on another address from now on; the current link stays until the server closes it.
    pub fn moves(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut state = self.shared.state();
        state.address = listener.local_addr()?;
        state.moved = Some(listener);
        Ok(state.address)
    }

    /// Changes the scripted misbehaviour.
    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.shared.state().script);
    }

    /// Whether cuts of links or notices remain.
    pub fn has_cuts(&self) -> bool {
        let state = self.shared.state();
        state.script.cut_commands.is_some() || state.script.cut_notices.is_some()
    }

    /// Writes notices in order from now on, beginning with the held-back one.
    pub fn restore_notice_order(&self) {
        let mut state = self.shared.state();
        state.script.out_of_order = false;
        if let Some(held) = state.held_back.take() {
            state.send(&held);
        }
    }

    /// Ends the processor and starts it again: its runs are lost and notices are numbered from 1. Between the two it
    /// refuses connections for `RESTART_DELAY`, no longer than a real start takes, because the server recognises a
    /// new processor by its age.
    pub fn restart(&self) {
        let mut state = self.shared.state();
        state.generation += 1;
        state.started = Instant::now() + RESTART_DELAY;
        state.running.clear();
        state.awaiting_reply.clear();
        state.known.clear();
        state.notices.clear();
        state.held_back = None;
        state.last_notice = 0;
        state.drop_link();
    }

    /// Restarts the processor together with a killed server.
    pub fn restart_with_server(&self) {
        self.restart();
        self.shared.state().server_generation += 1;
    }
}

impl Drop for Processor {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.shared.state().drop_link();
    }
}

/// Accepts links and advances the runs.
fn serve(listener: TcpListener, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    while !shared.stopping.load(Ordering::SeqCst) {
        let (refuses, moved, address) = {
            let mut state = shared.state();
            (state.refuses_connections(), state.moved.take(), state.address)
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
            let _ = sockopt::set_socket_recv_buffer_size(open, RECEIVE_BUFFER_BYTES);
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

/// Completes the runs that are due.
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
    /// Whether the processor refuses connections.
    fn refuses_connections(&self) -> bool {
        self.script.refuses || Instant::now() < self.started
    }

    fn drop_link(&mut self) {
        if let Some(current) = self.current.take() {
            let _ = current.stream.shutdown(Shutdown::Both);
        }
    }

    /// Handles a command to begin a run.
    fn begin_run(&mut self, rid: &str, class: &str, body: Vec<u8>, link: u64, record: &Record) {
        let rejected = self.script.reject == Some(Rejected::InsteadOfRun) && !self.known.contains(rid);
        record.entries().commands.push(Command {
            rid: rid.to_string(),
            class: class.to_string(),
            body,
            link,
            processor_generation: self.generation,
            server_generation: self.server_generation,
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
        let ends = since + self.draw_run_time();
        let length = self.random.count(0..=MAX_CALL_BYTES);
        let call = self.makes_calls.then(|| self.random.bytes(length));
        self.running.insert(rid.to_string(), Run { rid: rid.to_string(), call, ends, since });
    }

    fn draw_run_time(&mut self) -> Duration {
        Duration::from_millis(self.random.within(0..=MAX_RUN_MS))
    }

    /// Continues a run with the reply to its call. A reply may be sent again after a lost link; the run continues
    /// once.
    fn resume_run(&mut self, rid: &str, reply: Vec<u8>, record: &Record) {
        record.entries().received_replies.push(Payload { rid: rid.to_string(), bytes: reply });
        let ends = Instant::now() + self.draw_run_time();
        if let Some(run) = self.awaiting_reply.remove(rid) {
            self.running.insert(rid.to_string(), Run { ends, ..run });
        }
    }

    /// Stops a run.
    fn interrupt(&mut self, rid: &str) {
        if self.running.remove(rid).or_else(|| self.awaiting_reply.remove(rid)).is_some() {
            self.notify(|n| format!("complete {n} {rid} STOPPED 1.000 0\r\n\r\n").into_bytes());
        }
    }

    /// Completes a run as the script says; a run with a call makes the call first.
    fn complete(&mut self, rid: &str, record: &Record) {
        let Some(mut run) = self.running.remove(rid) else { return };
        if let Some(call) = run.call.take() {
            record.entries().requested_calls.push(Payload { rid: rid.to_string(), bytes: call.clone() });
            self.awaiting_reply.insert(rid.to_string(), run);
            return self.notify(|n| {
                let head = format!("ask {n} {rid} {}\r\n", call.len());
                [head.as_bytes(), &call, b"\r\n"].concat()
            });
        }
        let took = run.since.elapsed().as_secs_f64() * 1e3;
        let end = self.script.end;
        let result = if end == "OK" { self.result() } else { Vec::new() };
        if end == "OK" {
            record.entries().results.push(RunResult { rid: rid.to_string(), result: result.clone() });
        }
        let sent = if std::mem::take(&mut self.corrupts) { corrupted(&result) } else { result };
        if let Some(length) = self.script.remark {
            let words = "x".repeat(length);
            self.notify(|n| format!("remark {n} {words}\r\n").into_bytes());
        }
        self.notify(|n| {
            let head = format!("complete {n} {rid} {end} {took:.3} {}\r\n", sent.len());
            [head.as_bytes(), &sent, b"\r\n"].concat()
        });
        if self.script.reject == Some(Rejected::Finished) {
            self.send(format!("reject begin {rid}\r\n").as_bytes());
        }
    }

    /// Draws a result of random bytes that includes a line end.
    fn result(&mut self) -> Vec<u8> {
        let length = match self.script.result_length {
            Some(length) => length,
            None if self.random.once_in(8) => MAX_RESULT_BYTES,
            None => self.random.count(0..=600),
        };
        let mut result = self.random.bytes(length);
        if length > 8 {
            result[3..5].copy_from_slice(b"\r\n");
        }
        result
    }

    /// Numbers, stores and writes a notice.
    fn notify(&mut self, text: impl FnOnce(u64) -> Vec<u8>) {
        self.last_notice += 1;
        let text = text(self.last_notice);
        self.notices.push_back((self.last_notice, text.clone()));
        if self.notices.len() > MAX_STORED_NOTICES {
            self.notices.pop_front();
        }
        if !self.script.out_of_order {
            return self.write_notice(&text);
        }
        match self.held_back.take() {
            None => self.held_back = Some(text),
            Some(before) => {
                self.write_notice(&text);
                self.write_notice(&before);
            }
        }
    }

    /// Writes a notice, or the part of it that the script lets through.
    fn write_notice(&mut self, text: &[u8]) {
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

/// Returns the result with one byte changed, or one byte added if it is empty.
fn corrupted(result: &[u8]) -> Vec<u8> {
    let mut changed = result.to_vec();
    match changed.last_mut() {
        Some(last) => *last ^= 1,
        None => changed.push(b'!'),
    }
    changed
}
