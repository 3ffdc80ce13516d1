//! Stand-in for the processor: shared cores, cold start, slowdowns, gauges, buffered notices, and the complete protocol of the
//! platform. Runs are simulated by the clock and use no CPU time.

use crossbeam_channel::{Receiver, Sender, unbounded};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of notices buffered for a server that reconnects.
const MAX_BUFFERED_NOTICES: usize = 4_000;
/// Interval between steps of the simulated cores.
const TICK: Duration = Duration::from_millis(1);
/// Largest accepted body of a command, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Upper bound of the work of a run, as a multiple of the mean; it truncates the lognormal tail.
const MAX_WORK_FACTOR: f64 = 8.0;

/// Behavior of a stand-in processor.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Number of cores.
    pub cores: u32,
    /// Speed of a core; work is given for speed 1.
    pub speed: f64,
    /// Fraction of full speed at the start; 1 for a warm start.
    pub cold_capacity: f64,
    /// Time from the start until full speed; the speed rises linearly.
    pub warms_in: Duration,
    /// Runs per core beyond which total throughput drops.
    pub thrash_at: f64,
    /// Fraction of the throughput beyond `thrash_at`.
    pub thrash: f64,
    /// Mean work of a run by class, on a core of speed 1. A single entry applies to all classes; with several, requests of
    /// an unlisted class are rejected.
    pub classes: Vec<(String, Duration)>,
    /// Memory in kB.
    pub memory_kb: f64,
    /// Average memory of a run in kB.
    pub run_kb: f64,
    /// Fraction of the runs that call the ledger, halfway through their work.
    pub calls: f64,
    /// Seed of the work of each run.
    pub seed: u64,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            cores: 6,
            speed: 1.0,
            cold_capacity: 1.0,
            warms_in: Duration::from_secs(18),
            thrash_at: 1.35,
            thrash: 0.7,
            classes: vec![("sheet-view".into(), Duration::from_millis(60))],
            memory_kb: 160_000.0,
            run_kb: 200.0,
            calls: 0.0,
            seed: 7,
        }
    }
}

/// A run that began, as recorded for checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begun {
    /// Request ID of the attempt.
    pub id: String,
    /// Class of the request.
    pub class: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Start time in Unix milliseconds.
    pub at_ms: u64,
}

#[derive(Debug)]
struct Run {
    /// Remaining work in seconds of a core of speed 1; up to the ledger call, if there is one.
    work_s: f64,
    since: Instant,
    body: Vec<u8>,
    /// Work after the ledger call, while that call is still to be made.
    call: Option<f64>,
}

struct State {
    spec: Spec,
    rng: Pcg64Mcg,
    started: Instant,
    slow: f64,
    runs: BTreeMap<String, Run>,
    /// Runs that wait for the answer to their ledger call.
    calling: BTreeMap<String, Run>,
    known: HashSet<String>,
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice: u64,
    link: Option<(u64, TcpStream)>,
    links: u64,
    cpu_utilization: f64,
    stepped: Instant,
}

struct Shared {
    state: Mutex<State>,
    begun: Sender<Begun>,
    ended: AtomicBool,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Running stand-in processor; ends when dropped.
pub struct Processor {
    shared: Arc<Shared>,
    address: SocketAddr,
    begun: Receiver<Begun>,
}

impl Processor {
    /// Starts a processor that listens at `address`; port 0 picks a free port.
    pub fn start(address: SocketAddr, spec: Spec) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (sender, begun) = unbounded();
        let state = State::new(spec, Instant::now());
        let shared =
            Arc::new(Shared { state: Mutex::new(state), begun: sender, ended: AtomicBool::new(false) });
        let worker = Arc::clone(&shared);
        let run = move || {
            while !worker.ended.load(Ordering::Relaxed) {
                while let Ok((stream, _)) = listener.accept() {
                    let worker = Arc::clone(&worker);
                    let _ = thread::Builder::new()
                        .name("processor-link".into())
                        .spawn(move || link(stream, &worker));
                }
                worker.state().step();
                thread::sleep(TICK);
            }
            if let Some((_, stream)) = worker.state().link.take() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        };
        thread::Builder::new().name("processor".into()).spawn(run)?;
        Ok(Self { shared, address, begun })
    }

    /// Address that the processor listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Divides the speed by `times` from now on; 1 is full speed.
    pub fn slow_down(&self, times: f64) {
        self.shared.state().slow = times.max(1.0);
    }

    /// Takes the runs that began since the previous call.
    pub fn begun(&self) -> Vec<Begun> {
        self.begun.try_iter().collect()
    }

    /// Simulates a crash and immediate restart: all runs are lost and notices are numbered from 1 again.
    pub fn restart(&self, cold_capacity: f64) {
        let mut state = self.shared.state();
        state.spec.cold_capacity = cold_capacity;
        state.started = Instant::now();
        state.runs.clear();
        state.calling.clear();
        state.known.clear();
        state.notices.clear();
        state.last_notice = 0;
        if let Some((_, stream)) = state.link.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the link; runs continue, and the server reconnects.
    pub fn cut_link(&self) {
        if let Some((_, stream)) = self.shared.state().link.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Number of runs on the cores, without those that wait for the ledger.
    pub fn running(&self) -> usize {
        self.shared.state().runs.len()
    }
}

impl Drop for Processor {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
    }
}

impl State {
    /// Creates the state of a processor that starts at `now`.
    fn new(spec: Spec, now: Instant) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(spec.seed),
            spec,
            started: now,
            slow: 1.0,
            runs: BTreeMap::new(),
            calling: BTreeMap::new(),
            known: HashSet::new(),
            notices: VecDeque::new(),
            last_notice: 0,
            link: None,
            links: 0,
            cpu_utilization: 0.0,
            stepped: now,
        }
    }

    /// Current fraction of full speed.
    fn speed_fraction(&self, now: Instant) -> f64 {
        let elapsed_fraction =
            (now - self.started).as_secs_f64() / self.spec.warms_in.as_secs_f64().max(1e-9);
        self.spec.cold_capacity + (1.0 - self.spec.cold_capacity) * elapsed_fraction.min(1.0)
    }

    /// Advances all runs to the current time.
    fn step(&mut self) {
        let now = Instant::now();
        let passed = (now - self.stepped).as_secs_f64();
        self.stepped = now;
        let (cores, running) = (f64::from(self.spec.cores), self.runs.len() as f64);
        let thrash = if running > self.spec.thrash_at * cores { self.spec.thrash } else { 1.0 };
        let work_per_run = passed * self.spec.speed * self.speed_fraction(now) / self.slow
            * thrash
            * (cores / running.max(1.0)).min(1.0);
        let capacity = passed * cores * self.spec.speed * self.speed_fraction(now) / self.slow * thrash;
        let mut done = 0.0;
        let mut finished = Vec::new();
        for (id, run) in &mut self.runs {
            done += run.work_s.min(work_per_run);
            run.work_s -= work_per_run;
            if run.work_s <= 0.0 {
                finished.push(id.clone());
            }
        }
        let used = if capacity > 0.0 { (done / capacity).min(1.0) } else { 0.0 };
        self.cpu_utilization += (passed / 0.5).min(1.0) * (used - self.cpu_utilization);
        for id in finished {
            let Some(mut run) = self.runs.remove(&id) else { continue };
            if let Some(rest) = run.call.take() {
                let body = run.body.clone();
                run.work_s = rest;
                self.calling.insert(id.clone(), run);
                self.notify(|n| format!("ask {n} {id} {}", body.len()), &body);
                continue;
            }
            let took = (now - run.since).as_secs_f64() * 1e3;
            // Differs from the body, so that tests can tell a result from an echo.
            let result = [&b"result of "[..], &run.body].concat();
            self.notify(|n| format!("complete {n} {id} OK {took:.3} {}", result.len()), &result);
        }
    }

    /// Buffers a notice with its payload and sends it if a link is open.
    fn notify(&mut self, head: impl FnOnce(u64) -> String, bytes: &[u8]) {
        self.last_notice += 1;
        let text = [head(self.last_notice).as_bytes(), b"\r\n", bytes, b"\r\n"].concat();
        self.send(&text);
        self.notices.push_back((self.last_notice, text));
        if self.notices.len() > MAX_BUFFERED_NOTICES {
            self.notices.pop_front();
        }
    }

    fn send(&mut self, text: &[u8]) {
        if let Some((_, stream)) = &mut self.link
            && stream.write_all(text).is_err()
        {
            let _ = stream.shutdown(Shutdown::Both);
            self.link = None;
        }
    }

    /// Draws the work of a run: lognormal with the mean of its class and a coefficient of variation of 0.8.
    fn work_s(&mut self, class: &str) -> f64 {
        let classes = &self.spec.classes;
        let mean = classes.iter().find(|(name, _)| name == class).or(classes.first());
        let mean = mean.map_or(0.05, |(_, mean)| mean.as_secs_f64());
        let mut unit = || (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let normal = (-2.0 * (1.0 - unit()).ln()).sqrt() * (std::f64::consts::TAU * unit()).cos();
        let sigma = (1.0_f64 + 0.8 * 0.8).ln().sqrt();
        (mean * (sigma * normal - sigma * sigma / 2.0).exp()).min(MAX_WORK_FACTOR * mean)
    }
}

/// Serves the commands of one link until it ends; a new link replaces it.
fn link(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(writes) = stream.try_clone() else { return };
    let number = {
        let mut state = shared.state();
        state.links += 1;
        state.links
    };
    let mut reads = BufReader::new(stream);
    let _ = commands(&mut reads, writes, number, shared);
    let _ = reads.get_ref().shutdown(Shutdown::Both);
    let mut state = shared.state();
    state.link.take_if(|(known, _)| *known == number);
}

/// Returns `None` when the link ends or an invalid command arrives.
fn commands(reads: &mut BufReader<TcpStream>, writes: TcpStream, number: u64, shared: &Shared) -> Option<()> {
    let mut line = String::new();
    let mut writes = Some(writes);
    loop {
        line.clear();
        if reads.read_line(&mut line).ok()? == 0 || shared.ended.load(Ordering::Relaxed) {
            return None;
        }
        let words: Vec<&str> = line.strip_suffix("\r\n")?.split(' ').collect();
        match words[..] {
            ["hello", n] => {
                let after: u64 = n.parse().ok()?;
                let mut state = shared.state();
                if let Some((_, old)) = state.link.replace((number, writes.take()?)) {
                    let _ = old.shutdown(Shutdown::Both);
                }
                let (now, cold) = (Instant::now(), state.spec.cold_capacity < 1.0);
                let ms = (now - state.started).as_secs_f64() * 1e3;
                let greeting = format!("hi {} {ms:.3}\r\n", if cold { "COLD" } else { "WARM" });
                state.send(greeting.as_bytes());
                let missed: Vec<Vec<u8>> =
                    state.notices.iter().filter(|(n, _)| *n > after).map(|(_, text)| text.clone()).collect();
                missed.iter().for_each(|text| state.send(text));
            }
            ["usage", tag] => {
                let mut state = shared.state();
                state.step();
                let running = state.runs.len() as f64;
                let heap = running * state.spec.run_kb / state.spec.memory_kb;
                let text = format!("used {tag} {:.3} {running} {heap:.4} 0\r\n", state.cpu_utilization);
                state.send(text.as_bytes());
            }
            ["begin", id, class, length] => {
                let length = length.parse::<usize>().ok().filter(|&len| len <= MAX_BODY_BYTES)?;
                let mut body = vec![0; length + 2];
                io::Read::read_exact(reads, &mut body).ok()?;
                body.strip_suffix(b"\r\n")?;
                body.truncate(length);
                begin(id, class, body, shared);
            }
            ["answer", id, length] => {
                let length = length.parse::<usize>().ok().filter(|&len| len <= MAX_BODY_BYTES)?;
                let mut body = vec![0; length + 2];
                io::Read::read_exact(reads, &mut body).ok()?;
                body.strip_suffix(b"\r\n")?;
                let mut state = shared.state();
                state.step();
                // May be repeated after a lost link; the run continues only once.
                if let Some(run) = state.calling.remove(id) {
                    state.runs.insert(id.to_string(), run);
                }
            }
            ["interrupt", id] => {
                let mut state = shared.state();
                state.step();
                if let Some(run) = state.runs.remove(id).or_else(|| state.calling.remove(id)) {
                    let took = run.since.elapsed().as_secs_f64() * 1e3;
                    state.notify(|n| format!("complete {n} {id} STOPPED {took:.3} 0"), b"");
                }
            }
            _ => return None,
        }
    }
}

fn begin(id: &str, class: &str, body: Vec<u8>, shared: &Shared) {
    let mut state = shared.state();
    if state.spec.classes.len() > 1 && !state.spec.classes.iter().any(|(name, _)| name == class) {
        return state.send(format!("reject begin {id}\r\n").as_bytes());
    }
    // Ignores a request that is running or has run.
    if !state.known.insert(id.to_string()) {
        return;
    }
    state.step();
    let (mut work_s, since) = (state.work_s(class), Instant::now());
    let calls = (state.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64 <= state.spec.calls;
    let call = (state.spec.calls > 0.0 && calls).then_some(work_s / 2.0);
    if call.is_some() {
        work_s /= 2.0;
    }
    state.runs.insert(id.to_string(), Run { work_s, since, body: body.clone(), call });
    let at_ms = crate::registry::server::unix_ms();
    let _ = shared.begun.send(Begun { id: id.to_string(), class: class.to_string(), body, at_ms });
}

/// Counts runs by `key`; runs without a key are skipped.
pub fn runs_by<K: std::hash::Hash + Eq>(
    begun: &[Begun],
    key: impl Fn(&Begun) -> Option<K>,
) -> HashMap<K, usize> {
    let mut counts = HashMap::new();
    for key in begun.iter().filter_map(key) {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a stand-in that is more lenient than the platform: a new link receives the missed notices, a repeated
    /// `begin` runs once, and an unknown command ends the link.
    #[test]
    fn links_follow_the_protocol() {
        let spec = Spec { classes: vec![("a".into(), Duration::from_millis(1))], ..Spec::default() };
        let processor = Processor::start("127.0.0.1:0".parse().unwrap(), spec).unwrap();
        let connect = |n: u64| {
            let mut stream = TcpStream::connect(processor.address()).unwrap();
            stream.write_all(format!("hello {n}\r\n").as_bytes()).unwrap();
            let mut reads = BufReader::new(stream);
            let mut line = String::new();
            reads.read_line(&mut line).unwrap();
            assert!(line.starts_with("hi WARM "), "{line}");
            reads
        };
        let mut first = connect(0);
        let twice = b"begin r1 a 4\r\nbody\r\nbegin r1 a 4\r\nbody\r\nusage x\r\n";
        first.get_mut().write_all(twice).unwrap();
        let mut line = String::new();
        while !line.starts_with("complete 1 r1 OK ") {
            line.clear();
            first.read_line(&mut line).unwrap();
        }
        assert_eq!(processor.begun().len(), 1);
        for (last_notice, expected) in [(0, true), (1, false)] {
            let mut again = connect(last_notice);
            again.get_mut().write_all(b"usage y\r\n").unwrap();
            line.clear();
            again.read_line(&mut line).unwrap();
            assert_eq!(line.starts_with("complete 1 r1"), expected, "{line}");
        }
        let mut bad = connect(1);
        bad.get_mut().write_all(b"what is this\r\n").unwrap();
        line.clear();
        assert_eq!(bad.read_line(&mut line).unwrap(), 0);
    }

    #[test]
    fn speed_rises_linearly_after_a_cold_start() {
        let cold = Spec { cold_capacity: 0.21, warms_in: Duration::from_secs(10), ..Spec::default() };
        let now = Instant::now();
        let state = State::new(cold, now);
        assert!((state.speed_fraction(now) - 0.21).abs() < 1e-9);
        assert!((state.speed_fraction(now + Duration::from_secs(5)) - 0.605).abs() < 1e-9);
        assert!((state.speed_fraction(now + Duration::from_secs(60)) - 1.0).abs() < 1e-9);
    }
}
