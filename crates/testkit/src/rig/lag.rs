//! How late the machine was while a rig played: the lateness of a thread that only wants to wake up every 10 ms, and how long
//! threads of the rig and of the daemons were ready to run and did not run (`/proc/PID/task/TID/schedstat`).
//!
//! [`LagMonitor`] measures, in two threads of its own that end when it is dropped. [`Lag`] is what came of it, and
//! [`Lag::past`] says whether it is past stated [`Bounds`]. It knows nothing of claims: a drill decides what a late machine
//! means for its verdict.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Between two beats of the thread that measures lateness.
const BEAT: Duration = Duration::from_millis(10);
/// Lateness below this is what a timer and a context switch take.
const TIMER_SLACK: Duration = Duration::from_millis(2);
/// Between two looks at the run delays of all threads: each look reads some hundred small files.
const LOOK: Duration = Duration::from_secs(1);
/// How often the sampling thread looks whether it is to end.
const END: Duration = Duration::from_millis(50);

/// A process whose threads are watched.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Watched {
    /// What it is called in the report.
    pub name: String,
    /// Its id.
    pub pid: u32,
}

/// Beats of the thread that only wakes up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Beats {
    /// How many were due.
    pub due: u64,
    /// How late all of them were together, past the timer's slack.
    pub late: Duration,
    /// How late the latest was.
    pub latest: Duration,
}

impl Beats {
    /// A beat came so long after it was due. Beats that became due meanwhile were as late, less what had passed until they were due.
    fn came(&mut self, late: Duration) {
        self.latest = self.latest.max(late);
        let mut left = late;
        loop {
            self.due += 1;
            self.late += left.saturating_sub(TIMER_SLACK);
            let Some(next) = left.checked_sub(BEAT) else { return };
            left = next;
        }
    }

    /// The mean lateness of a beat.
    pub fn mean(&self) -> Duration {
        self.late.div_f64(self.due.max(1) as f64)
    }
}

/// How long a process's threads were ready to run and did not run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Starved {
    /// Seconds of looks.
    pub seconds: f64,
    /// Seconds that the thread that waited most of each look waited, over all looks.
    pub waited: f64,
    /// The largest share of a look that a thread waited.
    pub most: f64,
}

impl Starved {
    /// A look over so many seconds, in which the thread that waited most waited so many.
    fn look(&mut self, seconds: f64, waited: f64) {
        self.seconds += seconds;
        self.waited += waited;
        self.most = self.most.max(waited / seconds.max(1e-9));
    }

    /// The share of the time that the thread that waited most was kept waiting.
    pub fn share(&self) -> f64 {
        self.waited / self.seconds.max(1e-9)
    }
}

/// What was measured.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lag {
    /// Of the thread that only wakes up.
    pub beats: Beats,
    /// Of each process, by name.
    pub processes: BTreeMap<String, Starved>,
}

/// Past which a run says nothing of the program under test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The mean lateness of a beat.
    pub mean_beat: Duration,
    /// The latest beat.
    pub latest_beat: Duration,
    /// The share of the time that the most delayed thread of any process was ready and did not run.
    pub starved: f64,
}

impl Lag {
    /// By what the machine was late, if that is past the bounds.
    pub fn past(&self, bounds: &Bounds) -> Option<String> {
        let ms = |span: Duration| span.as_secs_f64() * 1e3;
        let mut why = Vec::new();
        if self.beats.mean() > bounds.mean_beat {
            why.push(format!(
                "{:.1} ms a beat in the mean, {:.1} allowed",
                ms(self.beats.mean()),
                ms(bounds.mean_beat)
            ));
        }
        if self.beats.latest > bounds.latest_beat {
            why.push(format!(
                "{:.0} ms at one beat, {:.0} allowed",
                ms(self.beats.latest),
                ms(bounds.latest_beat)
            ));
        }
        if let Some((name, starved)) = self.most_starved()
            && starved.share() > bounds.starved
        {
            why.push(format!(
                "{:.1}% of the time that a thread of {name} was ready to run, {:.1}% allowed",
                100.0 * starved.share(),
                100.0 * bounds.starved
            ));
        }
        (!why.is_empty()).then(|| why.join("; "))
    }

    fn most_starved(&self) -> Option<(&String, &Starved)> {
        self.processes.iter().max_by(|a, b| a.1.share().total_cmp(&b.1.share()))
    }

    /// All of it in one line.
    pub fn summary(&self) -> String {
        let beats = format!(
            "beats late by {:.2} ms in the mean, {:.0} ms at the most",
            self.beats.mean().as_secs_f64() * 1e3,
            self.beats.latest.as_secs_f64() * 1e3
        );
        let Some((name, starved)) = self.most_starved() else { return beats };
        format!(
            "{beats}; threads of {name} ready and not running for {:.1}% of the time, {:.0}% of the worst second",
            100.0 * starved.share(),
            100.0 * starved.most
        )
    }
}

/// The run delays of all threads of a process that are known so far, in nanoseconds.
#[derive(Debug, Default)]
struct Delays(HashMap<u64, u64>);

impl Delays {
    /// Takes the delays of now; the most that one thread waited since the last time, in seconds. A thread that is seen for the
    /// first time counts from its begin.
    fn advance(&mut self, now: HashMap<u64, u64>) -> f64 {
        let since = |(tid, delay): (&u64, &u64)| delay.saturating_sub(self.0.get(tid).copied().unwrap_or(0));
        let most = now.iter().map(since).max().unwrap_or(0);
        self.0 = now;
        most as f64 / 1e9
    }
}

/// The run delay of each thread of a process; empty where it is gone.
fn delays_of(tasks: &Path) -> HashMap<u64, u64> {
    let Ok(entries) = std::fs::read_dir(tasks) else { return HashMap::new() };
    let of = |entry: io::Result<std::fs::DirEntry>| {
        let entry = entry.ok()?;
        let tid = entry.file_name().to_str()?.parse().ok()?;
        let text = std::fs::read_to_string(entry.path().join("schedstat")).ok()?;
        Some((tid, run_delay(&text)?))
    };
    entries.filter_map(of).collect()
}

/// The second number of a `schedstat` file: nanoseconds ready and not running.
fn run_delay(schedstat: &str) -> Option<u64> {
    schedstat.split_whitespace().nth(1)?.parse().ok()
}

/// Measures until it is stopped or dropped.
pub struct LagMonitor {
    end: Arc<AtomicBool>,
    shared: Arc<Mutex<Shared>>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    lag: Lag,
    watched: Vec<Watched>,
}

impl LagMonitor {
    /// Starts the two threads; this process is watched as `kit`.
    pub fn start() -> io::Result<Self> {
        let (end, shared) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Shared>>::default());
        lock(&shared).watched.push(Watched { name: "kit".into(), pid: std::process::id() });
        let mut monitor = Self { end, shared, threads: Vec::new() };
        let (ends, into) = (Arc::clone(&monitor.end), Arc::clone(&monitor.shared));
        let beat = thread::Builder::new().name("lag-beat".into()).spawn(move || beat(&ends, &into))?;
        monitor.threads.push(beat);
        let (ends, into) = (Arc::clone(&monitor.end), Arc::clone(&monitor.shared));
        let look = thread::Builder::new().name("lag-look".into()).spawn(move || look(&ends, &into))?;
        monitor.threads.push(look);
        Ok(monitor)
    }

    /// Watches these processes beside this one from now on; processes come and go in a drill.
    pub fn watch(&self, processes: Vec<Watched>) {
        lock(&self.shared).watched.splice(1.., processes);
    }

    /// What was measured so far.
    pub fn lag(&self) -> Lag {
        lock(&self.shared).lag.clone()
    }
}

impl Drop for LagMonitor {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn beat(end: &AtomicBool, shared: &Mutex<Shared>) {
    let mut due = Instant::now() + BEAT;
    while !end.load(Ordering::Relaxed) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let late = Instant::now().saturating_duration_since(due);
        lock(shared).lag.beats.came(late);
        let missed = (late.as_nanos() / BEAT.as_nanos()) as u32;
        due += BEAT * (missed + 1);
    }
}

fn look(end: &AtomicBool, shared: &Mutex<Shared>) {
    let mut known: BTreeMap<Watched, Delays> = BTreeMap::new();
    let mut last = Instant::now();
    while !end.load(Ordering::Relaxed) {
        if last.elapsed() < LOOK {
            thread::sleep(END);
            continue;
        }
        let watched = lock(shared).watched.clone();
        let seconds = last.elapsed().as_secs_f64();
        last = Instant::now();
        known.retain(|process, _| watched.contains(process));
        for process in watched {
            let now = delays_of(&PathBuf::from(format!("/proc/{}/task", process.pid)));
            let name = process.name.clone();
            let first = !known.contains_key(&process);
            let waited = known.entry(process).or_default().advance(now);
            // The first look at a process knows no begin of its delays.
            if !first {
                lock(shared).lag.processes.entry(name).or_default().look(seconds, waited);
            }
        }
    }
}
