//! Fault injection against the real daemon: seeded faults, each alone and in pairs, with stand-ins on loopback, and
//! four oracles that every run must satisfy whatever was injected.
//!
//! - [`plan`]: the faults as types, and the schedule of a seed.
//! - [`settings`], [`control`], [`processor`], [`dependency`], [`peer`], [`client`], [`traffic`], [`misuse`]: the
//!   configuration and the stand-ins.
//! - [`record`]: everything that clients and stand-ins sent and read.
//! - [`server`], [`inject`], [`session`], [`starts`]: one server, one fault, one case, one start.
//! - [`oracles`]: the checks of the recorded traffic.

pub mod client;
pub mod control;
pub mod dependency;
pub mod inject;
pub mod misuse;
pub mod oracles;
pub mod peer;
pub mod plan;
pub mod processor;
pub mod random;
pub mod record;
pub mod request_options;
pub mod server;
pub mod session;
pub mod settings;
pub mod starts;
pub mod threads;
pub mod traffic;

use super::{Claims, Verdict};
use crate::fleet;
use crate::harness::machine_delay::{Bounds, MachineDelayMonitor};
use oracles::{Failure, Late, Oracle};
use plan::{Case, Size};
use random::Random;
use session::Outcome;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum time until a server with a valid configuration serves.
const MAX_START_TIME: Duration = Duration::from_secs(10);
/// Bounds on the machine's scheduling lag; past them, measured times say nothing about the servers.
const LAG_BOUNDS: Bounds = Bounds {
    mean_wakeup_delay: Duration::from_millis(4),
    max_wakeup_delay: Duration::from_millis(100),
    run_delay_fraction: 0.25,
};
/// Maximum failures printed for one case.
const SHOWN_FAILURES: usize = 4;

static DRILLS_STARTED: AtomicUsize = AtomicUsize::new(0);

/// A defect seeded into the drill itself, which the oracle of the same name must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// A server is killed before its stop.
    Alive,
    /// A client drops an answer.
    Answers,
    /// Another process occupies the server's address for the whole start.
    Starts,
    /// The processor sends a result that differs from the recorded one.
    Provenance,
}

/// Parameters of a drill.
#[derive(Debug, Clone)]
pub struct Drill {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// How many faults, pairs and fleets are scheduled.
    pub size: Size,
    /// Runs only the case with this number; `None` runs all.
    pub only: Option<usize>,
    /// Number of cases that run in parallel.
    pub beside: usize,
    /// The seeded defect; only the first case and the first start run with it.
    pub defect: Option<Defect>,
}

/// The result of a drill.
#[derive(Debug)]
pub struct Report {
    /// The verdict over all claims.
    pub verdict: Verdict,
    /// Violations of the oracles, each with its case.
    pub failures: Vec<(String, Failure)>,
}

impl Report {
    /// Whether no violation of the oracle was found.
    pub fn held(&self, oracle: Oracle) -> bool {
        self.failures.iter().all(|(_, failure)| failure.oracle != oracle)
    }
}

/// Totals over the cases finished so far.
#[derive(Debug, Default)]
struct Tally {
    failures: Vec<(String, Failure)>,
    late: Late,
    requests: usize,
    runs: usize,
    cases: usize,
    starts: usize,
    slowest_start: Duration,
    /// Numbers of cases and of failed cases by family of faults.
    families: BTreeMap<&'static str, [usize; 2]>,
}

/// Runs the drill and prints the schedule and the claims.
pub fn run(drill: &Drill) -> io::Result<Report> {
    // Several drills may run in parallel in one process; the number keeps their folders apart.
    let run = DRILLS_STARTED.fetch_add(1, Ordering::Relaxed);
    let folder = fleet::folder(&format!("faults-{}-{run}", drill.seed))?;
    let cases: Vec<Case> = match drill.defect {
        // The first case has no fault, so any failure comes from the defect.
        Some(_) => plan::schedule(drill.seed, drill.size).into_iter().take(1).collect(),
        None => plan::schedule(drill.seed, drill.size),
    };
    let only = |case: &Case| drill.only.is_none_or(|only| only == case.number);
    let cases: Vec<Case> = cases.into_iter().filter(only).collect();
    println!("seed {}, {} cases", drill.seed, cases.len());
    let monitor = MachineDelayMonitor::start()?;
    let tally = Mutex::new(Tally::default());
    run_cases(drill, &cases, &folder, &tally)?;
    if drill.only.is_none() {
        run_starts(drill, &folder, &tally)?;
    }
    let lag = monitor.measured();
    drop(monitor);
    let tally = tally.into_inner().unwrap_or_else(PoisonError::into_inner);
    println!("machine: {}", lag.summary());
    let claims = claim(&tally, Claims::on_machine(lag.exceeded(&LAG_BOUNDS)));
    if tally.failures.is_empty() {
        fleet::remove(&folder);
    } else {
        println!("logs are in {}", folder.display());
    }
    Ok(Report { verdict: claims.verdict(), failures: tally.failures })
}

fn run_cases(drill: &Drill, cases: &[Case], folder: &Path, tally: &Mutex<Tally>) -> io::Result<()> {
    // Start the longest cases first, so that the workers finish at about the same time.
    let mut cases: Vec<&Case> = cases.iter().collect();
    cases.sort_by_key(|case| std::cmp::Reverse(case.servers));
    let next = AtomicUsize::new(0);
    let work = || -> io::Result<()> {
        while let Some(case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
            let outcome =
                session::run_case(case, drill, &folder.join(format!("case{}", case.number)), drill.defect)?;
            print_outcome(case, &outcome);
            lock(tally).add(case, outcome);
        }
        Ok(())
    };
    beside(drill.beside, work)
}

/// Runs the same work in `count` threads.
fn beside(count: usize, work: impl Fn() -> io::Result<()> + Sync) -> io::Result<()> {
    thread::scope(|scope| {
        let workers: Vec<_> = (0..count.max(1)).map(|_| scope.spawn(&work)).collect();
        for worker in workers {
            worker.join().map_err(|_| io::Error::other("a thread of the drill panicked"))??;
        }
        Ok(())
    })
}

fn run_starts(drill: &Drill, folder: &Path, tally: &Mutex<Tally>) -> io::Result<()> {
    let starts = starts::starts(&mut Random::new(drill.seed, 6));
    let occupied = drill.defect == Some(Defect::Starts);
    let tried = if drill.defect.is_some() { 1 } else { starts.len() };
    let next = AtomicUsize::new(0);
    let work = || -> io::Result<()> {
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            let Some(start) = starts.get(number).filter(|_| number < tried) else { return Ok(()) };
            let started = starts::try_start(start, &drill.daemon, folder, number, occupied)?;
            let failures = oracles::starts(&started);
            failures.iter().for_each(|failure| println!("  {failure}"));
            let mut tally = lock(tally);
            tally.starts += 1;
            tally.slowest_start = tally.slowest_start.max(started.served.unwrap_or_default());
            tally.count("starts", !failures.is_empty());
            tally.failures.extend(failures.into_iter().map(|failure| (started.what.clone(), failure)));
        }
    };
    beside(drill.beside, work)
}

fn lock(tally: &Mutex<Tally>) -> std::sync::MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Prints one line for the case, and its failures.
fn print_outcome(case: &Case, outcome: &Outcome) {
    let Outcome { requests, runs, failures, .. } = outcome;
    let mut text = format!("  {case}: {requests} requests, {runs} runs, {} failures", failures.len());
    if outcome.late.count > 0 {
        let Late { count, max_delay, .. } = outcome.late;
        text.push_str(&format!(", {count} late, by {} ms", max_delay.as_millis()));
    }
    for failure in failures.iter().take(SHOWN_FAILURES) {
        text.push_str(&format!("\n    {failure}"));
    }
    println!("{text}");
}

impl Tally {
    fn count(&mut self, family: &'static str, failed: bool) {
        let [cases, failures] = self.families.entry(family).or_default();
        *cases += 1;
        *failures += usize::from(failed);
    }

    fn add(&mut self, case: &Case, outcome: Outcome) {
        let failed = !outcome.failures.is_empty();
        self.cases += 1;
        match &case.faults[..] {
            [] => self.count("endings", failed),
            [fault] => self.count(fault.family(), failed),
            _ if case.servers > 1 => self.count("pairs, a handful of servers", failed),
            _ => self.count("pairs", failed),
        }
        self.requests += outcome.requests;
        self.runs += outcome.runs;
        self.slowest_start = self.slowest_start.max(outcome.slowest_start);
        self.late.count += outcome.late.count;
        self.late.max_delay = self.late.max_delay.max(outcome.late.max_delay);
        let with_case = |failure| (case.to_string(), failure);
        self.failures.extend(outcome.failures.into_iter().map(with_case));
    }
}

fn claim(tally: &Tally, mut claims: Claims) -> Claims {
    for (family, [cases, failed]) in &tally.families {
        println!("  {family}: {failed} of {cases} failed");
    }
    for oracle in Oracle::ALL {
        let failed = tally.failures.iter().filter(|(_, failure)| failure.oracle == oracle).count();
        let of = match oracle {
            Oracle::Alive => format!("{} cases", tally.cases),
            Oracle::Answers => format!("{} requests", tally.requests),
            Oracle::Starts => format!("{} starts beside those of the cases", tally.starts),
            Oracle::Provenance => format!("{} runs", tally.runs),
        };
        claims.claim(failed == 0, oracle.claim(), format!("{failed} failures, {of}"));
    }
    let Late { count, max_delay, .. } = tally.late;
    claims.timed(
        count == 0,
        "answers by their due time",
        format!("{count} late, by {} ms", max_delay.as_millis()),
    );
    let slowest = tally.slowest_start;
    claims.timed(
        slowest <= MAX_START_TIME,
        "every start serves within 10 s",
        format!("the slowest took {} ms", slowest.as_millis()),
    );
    claims
}
