//! A stand-in for the processor: cores that are shared, a cold start, slowdowns, gauges, kept notices, and the
//! platform's protocol whole. What runs is simulated by the clock; no core is burnt.

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

/// Notices kept for a server that comes back.
const KEPT: usize = 4_000;
/// Between steps of the cores.
const TICK: Duration = Duration::from_millis(1);
/// The largest body that is read.
const MOST_BODY: usize = 64 * 1024;
/// The most that one run takes of the mean: lognormal tails are cut there.
const MOST_OF_MEAN: f64 = 8.0;

/// What a processor is like.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its cores.
    pub cores: u32,
    /// Their speed; 1 is the yardstick.
    pub speed: f64,
    /// The share of its speed that it begins with; 1 is a warm start.
    pub cold_capacity: f64,
    /// How long until it is warm.
    pub warms_in: Duration,
    /// Runs a core past which less is done in total.
    pub thrash_at: f64,
    /// And how much of the work is done then.
    pub thrash: f64,
    /// The mean work of a run by class, on a core of speed 1; for a class not named the first one.
    pub classes: Vec<(String, Duration)>,
    /// The memory in kB, and what a run takes of it on the average.
    pub memory_kb: f64,
    /// See `memory_kb`.
    pub run_kb: f64,
    /// The part of the runs that call the ledger, halfway through their work.
    pub calls: f64,
    /// For the work of each run.
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

/// A run as the processor saw it, for those who check the rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begun {
    /// The try.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its body.
    pub body: Vec<u8>,
    /// When it began, in Unix milliseconds.
    pub at_ms: u64,
}

#[derive(Debug)]
struct Run {
    /// Work left, in seconds of a core of speed 1.
    work_s: f64,
    since: Instant,
    body: Vec<u8>,
    /// Work still to do after its call, if it has one to make.
    call: Option<f64>,
}

struct State {
    spec: Spec,
    rng: Pcg64Mcg,
    started: Instant,
    slow: f64,
    runs: BTreeMap<String, Run>,
    /// Runs that wait for the reply to their call.
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

/// A running stand-in; it ends when this is dropped.
pub struct Processor {
    shared: Arc<Shared>,
    address: SocketAddr,
    begun: Receiver<Begun>,
}

impl Processor {
    /// Listens on a loopback address; it starts now, cold or warm as its spec says.
    pub fn start(address: SocketAddr, spec: Spec) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (sender, begun) = unbounded();
        let state = State::new(spec, Instant::now());
        let shared =
            Arc::new(Shared { state: Mutex::new(state), begun: sender, ended: AtomicBool::new(false) });
        let mine = Arc::clone(&shared);
        let run = move || {
            while !mine.ended.load(Ordering::Relaxed) {
                while let Ok((stream, _)) = listener.accept() {
                    let mine = Arc::clone(&mine);
                    let _ = thread::Builder::new()
                        .name("processor-link".into())
                        .spawn(move || link(stream, &mine));
                }
                mine.state().step();
                thread::sleep(TICK);
            }
            if let Some((_, stream)) = mine.state().link.take() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        };
        thread::Builder::new().name("processor".into()).spawn(run)?;
        Ok(Self { shared, address, begun })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs so many times slower from now on; 1 is the usual.
    pub fn slow_down(&self, times: f64) {
        self.shared.state().slow = times.max(1.0);
    }

    /// All runs that began since the last call.
    pub fn begun(&self) -> Vec<Begun> {
        self.begun.try_iter().collect()
    }

    /// It dies and comes back cold or warm at once: what ran is lost, notices begin at 1.
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

    /// Its link falls; runs go on, and the server connects again.
    pub fn cut_link(&self) {
        if let Some((_, stream)) = self.shared.state().link.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Runs now on its cores.
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
    /// A processor that starts now.
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

    /// Its share of full speed now.
    fn warmth(&self, now: Instant) -> f64 {
        let part = (now - self.started).as_secs_f64() / self.spec.warms_in.as_secs_f64().max(1e-9);
        self.spec.cold_capacity + (1.0 - self.spec.cold_capacity) * part.min(1.0)
    }

    /// Lets the cores work until now.
    fn step(&mut self) {
        let now = Instant::now();
        let passed = (now - self.stepped).as_secs_f64();
        self.stepped = now;
        let (cores, on) = (f64::from(self.spec.cores), self.runs.len() as f64);
        let thrash = if on > self.spec.thrash_at * cores { self.spec.thrash } else { 1.0 };
        let each =
            passed * self.spec.speed * self.warmth(now) / self.slow * thrash * (cores / on.max(1.0)).min(1.0);
        let can = passed * cores * self.spec.speed * self.warmth(now) / self.slow * thrash;
        let mut done = 0.0;
        let mut over = Vec::new();
        for (id, run) in &mut self.runs {
            done += run.work_s.min(each);
            run.work_s -= each;
            if run.work_s <= 0.0 {
                over.push(id.clone());
            }
        }
        let used = if can > 0.0 { (done / can).min(1.0) } else { 0.0 };
        self.cpu_utilization += (passed / 0.5).min(1.0) * (used - self.cpu_utilization);
        for id in over {
            let Some(mut run) = self.runs.remove(&id) else { continue };
            if let Some(rest) = run.call.take() {
                let body = run.body.clone();
                run.work_s = rest;
                self.calling.insert(id.clone(), run);
                self.notify(|n| format!("ask {n} {id} {}", body.len()), &body);
                continue;
            }
            let took = (now - run.since).as_secs_f64() * 1e3;
            // The same for all who ask, and not the body itself, so that a test sees a run's own result.
            let result = [&b"result of "[..], &run.body].concat();
            self.notify(|n| format!("complete {n} {id} OK {took:.3} {}", result.len()), &result);
        }
    }

    /// A notice with bytes behind it: kept, and sent if a link stands.
    fn notify(&mut self, head: impl FnOnce(u64) -> String, bytes: &[u8]) {
        self.last_notice += 1;
        let text = [head(self.last_notice).as_bytes(), b"\r\n", bytes, b"\r\n"].concat();
        self.send(&text);
        self.notices.push_back((self.last_notice, text));
        if self.notices.len() > KEPT {
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

    /// Work of a run: lognormal about its class's mean, with a coefficient of variation of 0.8.
    fn work_s(&mut self, class: &str) -> f64 {
        let classes = &self.spec.classes;
        let mean = classes.iter().find(|(name, _)| name == class).or(classes.first());
        let mean = mean.map_or(0.05, |(_, mean)| mean.as_secs_f64());
        let mut unit = || (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let normal = (-2.0 * (1.0 - unit()).ln()).sqrt() * (std::f64::consts::TAU * unit()).cos();
        let sigma = (1.0_f64 + 0.8 * 0.8).ln().sqrt();
        (mean * (sigma * normal - sigma * sigma / 2.0).exp()).min(MOST_OF_MEAN * mean)
    }
}

/// Reads commands off one link until it ends or another takes its place.
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

/// None when the link ends, or when something came that is no command.
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
                let on = state.runs.len() as f64;
                let heap = on * state.spec.run_kb / state.spec.memory_kb;
                let text = format!("used {tag} {:.3} {on} {heap:.4} 0\r\n", state.cpu_utilization);
                state.send(text.as_bytes());
            }
            ["begin", id, class, length] => {
                let length = length.parse::<usize>().ok().filter(|&len| len <= MOST_BODY)?;
                let mut body = vec![0; length + 2];
                io::Read::read_exact(reads, &mut body).ok()?;
                body.strip_suffix(b"\r\n")?;
                body.truncate(length);
                begin(id, class, body, shared);
            }
            ["answer", id, length] => {
                let length = length.parse::<usize>().ok().filter(|&len| len <= MOST_BODY)?;
                let mut body = vec![0; length + 2];
                io::Read::read_exact(reads, &mut body).ok()?;
                body.strip_suffix(b"\r\n")?;
                let mut state = shared.state();
                state.step();
                // Given again after a link that may have lost it: the run goes on once.
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
    // One that runs already, or has run, is not run again.
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

/// Counts of runs by what their tries share.
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

    /// Guards against a stand-in that is kinder than the platform: a link made anew is told what it missed, a run
    /// asked for twice runs once, and what is no command ends the link.
    #[test]
    fn the_protocol_is_kept() {
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
        for (told, expected) in [(0, true), (1, false)] {
            let mut again = connect(told);
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
    fn a_cold_start_warms_and_a_crowd_gets_less_done() {
        let cold = Spec { cold_capacity: 0.21, warms_in: Duration::from_secs(10), ..Spec::default() };
        let now = Instant::now();
        let state = State::new(cold, now);
        assert!((state.warmth(now) - 0.21).abs() < 1e-9);
        assert!((state.warmth(now + Duration::from_secs(5)) - 0.605).abs() < 1e-9);
        assert!((state.warmth(now + Duration::from_secs(60)) - 1.0).abs() < 1e-9);
    }
}
