//! Scheduling delays of the machine during a run: how late a thread wakes up from sleeps of 10 ms, and how long threads of
//! the test kit and of the daemons were runnable without running (`/proc/PID/task/TID/schedstat`).
//!
//! [`MachineDelayMonitor`] measures in two threads that end when it is dropped. [`MachineDelay::exceeded`] compares the
//! result with [`Bounds`]; each drill decides what an overloaded machine means for its verdict.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Sleep interval of the thread that measures wake-up delays.
const WAKEUP_INTERVAL: Duration = Duration::from_millis(10);
/// Delays below this are normal for a timer and a context switch.
const TIMER_SLACK: Duration = Duration::from_millis(2);
/// Interval between samples of the run delays of all threads; each sample reads some hundred small files.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the sampling thread checks whether to end.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A process whose threads are sampled.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonitoredProcess {
    /// Name in the report.
    pub name: String,
    /// Process ID.
    pub pid: u32,
}

/// Wake-ups of the thread that only sleeps.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WakeupDelays {
    /// Number of wake-ups that were due.
    pub due: u64,
    /// Sum of all delays beyond `TIMER_SLACK`.
    pub total: Duration,
    /// Longest delay of one wake-up, slack included.
    pub max: Duration,
}

impl WakeupDelays {
    /// Records a wake-up `delay` after it was due. Wake-ups that became due meanwhile count with the rest of the delay.
    fn record(&mut self, delay: Duration) {
        self.max = self.max.max(delay);
        let mut left = delay;
        loop {
            self.due += 1;
            self.total += left.saturating_sub(TIMER_SLACK);
            let Some(next) = left.checked_sub(WAKEUP_INTERVAL) else { return };
            left = next;
        }
    }

    /// Mean delay of a wake-up beyond the slack.
    pub fn mean(&self) -> Duration {
        self.total.div_f64(self.due.max(1) as f64)
    }
}

/// How long threads of a process were runnable without running.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunDelay {
    /// Sampled time, in seconds.
    pub seconds: f64,
    /// Sum over all samples of the longest wait of any thread, in seconds.
    pub waited: f64,
    /// Largest fraction of one sample that a thread waited.
    pub max_fraction: f64,
}

impl RunDelay {
    /// Records a sample over `seconds`, in which the longest wait of any thread was `waited` seconds.
    fn record(&mut self, seconds: f64, waited: f64) {
        self.seconds += seconds;
        self.waited += waited;
        self.max_fraction = self.max_fraction.max(waited / seconds.max(1e-9));
    }

    /// Fraction of the sampled time that the most delayed thread waited.
    pub fn fraction(&self) -> f64 {
        self.waited / self.seconds.max(1e-9)
    }
}

/// Scheduling delays measured so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineDelay {
    /// Wake-up delays of the measuring thread.
    pub wakeups: WakeupDelays,
    /// Run delays by process name.
    pub processes: BTreeMap<String, RunDelay>,
}

/// Limits beyond which a run says nothing about the program under test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Largest acceptable mean delay of a wake-up.
    pub mean_wakeup_delay: Duration,
    /// Largest acceptable delay of one wake-up.
    pub max_wakeup_delay: Duration,
    /// Largest acceptable fraction of the time that the most delayed thread of any process was runnable without running.
    pub run_delay_fraction: f64,
}

impl MachineDelay {
    /// Explains which bounds were exceeded, if any.
    pub fn exceeded(&self, bounds: &Bounds) -> Option<String> {
        let ms = |span: Duration| span.as_secs_f64() * 1e3;
        let mut why = Vec::new();
        if self.wakeups.mean() > bounds.mean_wakeup_delay {
            why.push(format!(
                "{:.1} ms a beat in the mean, {:.1} allowed",
                ms(self.wakeups.mean()),
                ms(bounds.mean_wakeup_delay)
            ));
        }
        if self.wakeups.max > bounds.max_wakeup_delay {
            why.push(format!(
                "{:.0} ms at one beat, {:.0} allowed",
                ms(self.wakeups.max),
                ms(bounds.max_wakeup_delay)
            ));
        }
        if let Some((name, delay)) = self.most_delayed()
            && delay.fraction() > bounds.run_delay_fraction
        {
            why.push(format!(
                "{:.1}% of the time that a thread of {name} was ready to run, {:.1}% allowed",
                100.0 * delay.fraction(),
                100.0 * bounds.run_delay_fraction
            ));
        }
        (!why.is_empty()).then(|| why.join("; "))
    }

    fn most_delayed(&self) -> Option<(&String, &RunDelay)> {
        self.processes.iter().max_by(|a, b| a.1.fraction().total_cmp(&b.1.fraction()))
    }

    /// Summary in one line.
    pub fn summary(&self) -> String {
        let wakeups = format!(
            "beats late by {:.2} ms in the mean, {:.0} ms at the most",
            self.wakeups.mean().as_secs_f64() * 1e3,
            self.wakeups.max.as_secs_f64() * 1e3
        );
        let Some((name, delay)) = self.most_delayed() else { return wakeups };
        format!(
            "{wakeups}; threads of {name} ready and not running for {:.1}% of the time, {:.0}% of the worst second",
            100.0 * delay.fraction(),
            100.0 * delay.max_fraction
        )
    }
}

/// Cumulative run delay of each thread of a process at the last sample, in nanoseconds by thread ID.
#[derive(Debug, Default)]
struct ThreadDelays(HashMap<u64, u64>);

impl ThreadDelays {
    /// Stores the current delays and returns the longest wait of one thread since the last sample, in seconds. A new thread
    /// counts from its start.
    fn advance(&mut self, now: HashMap<u64, u64>) -> f64 {
        let since = |(tid, delay): (&u64, &u64)| delay.saturating_sub(self.0.get(tid).copied().unwrap_or(0));
        let longest = now.iter().map(since).max().unwrap_or(0);
        self.0 = now;
        longest as f64 / 1e9
    }
}

/// Reads the cumulative run delay of each thread below `tasks`; empty if the process has ended.
fn read_delays(tasks: &Path) -> HashMap<u64, u64> {
    let Ok(entries) = std::fs::read_dir(tasks) else { return HashMap::new() };
    let read_task = |entry: io::Result<std::fs::DirEntry>| {
        let entry = entry.ok()?;
        let tid = entry.file_name().to_str()?.parse().ok()?;
        let text = std::fs::read_to_string(entry.path().join("schedstat")).ok()?;
        Some((tid, run_delay(&text)?))
    };
    entries.filter_map(read_task).collect()
}

/// Second field of a `schedstat` file: nanoseconds spent runnable without running.
fn run_delay(schedstat: &str) -> Option<u64> {
    schedstat.split_whitespace().nth(1)?.parse().ok()
}

/// Measures scheduling delays until it is dropped.
pub struct MachineDelayMonitor {
    end: Arc<AtomicBool>,
    shared: Arc<Mutex<Shared>>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    delay: MachineDelay,
    watched: Vec<MonitoredProcess>,
}

impl MachineDelayMonitor {
    /// Starts the two threads; this process is sampled under the name `kit`.
    pub fn start() -> io::Result<Self> {
        let (end, shared) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Shared>>::default());
        lock(&shared).watched.push(MonitoredProcess { name: "kit".into(), pid: std::process::id() });
        let mut monitor = Self { end, shared, threads: Vec::new() };
        let (ends, into) = (Arc::clone(&monitor.end), Arc::clone(&monitor.shared));
        let sleeper =
            thread::Builder::new().name("lag-beat".into()).spawn(move || measure_wakeups(&ends, &into))?;
        monitor.threads.push(sleeper);
        let (ends, into) = (Arc::clone(&monitor.end), Arc::clone(&monitor.shared));
        let sampler = thread::Builder::new().name("lag-look".into()).spawn(move || sample(&ends, &into))?;
        monitor.threads.push(sampler);
        Ok(monitor)
    }

    /// Replaces the set of sampled processes, this one apart; processes come and go in a drill.
    pub fn set_processes(&self, processes: Vec<MonitoredProcess>) {
        lock(&self.shared).watched.splice(1.., processes);
    }

    /// Returns the delays measured so far.
    pub fn measured(&self) -> MachineDelay {
        lock(&self.shared).delay.clone()
    }
}

impl Drop for MachineDelayMonitor {
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

fn measure_wakeups(end: &AtomicBool, shared: &Mutex<Shared>) {
    let mut due = Instant::now() + WAKEUP_INTERVAL;
    while !end.load(Ordering::Relaxed) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let delay = Instant::now().saturating_duration_since(due);
        lock(shared).delay.wakeups.record(delay);
        let missed = (delay.as_nanos() / WAKEUP_INTERVAL.as_nanos()) as u32;
        due += WAKEUP_INTERVAL * (missed + 1);
    }
}

fn sample(end: &AtomicBool, shared: &Mutex<Shared>) {
    let mut known: BTreeMap<MonitoredProcess, ThreadDelays> = BTreeMap::new();
    let mut last = Instant::now();
    while !end.load(Ordering::Relaxed) {
        if last.elapsed() < SAMPLE_INTERVAL {
            thread::sleep(END_CHECK_INTERVAL);
            continue;
        }
        let watched = lock(shared).watched.clone();
        let seconds = last.elapsed().as_secs_f64();
        last = Instant::now();
        known.retain(|process, _| watched.contains(process));
        for process in watched {
            let now = read_delays(&PathBuf::from(format!("/proc/{}/task", process.pid)));
            let name = process.name.clone();
            let first = !known.contains_key(&process);
            let waited = known.entry(process).or_default().advance(now);
            // The first sample of a process only sets the baseline of its delays.
            if !first {
                lock(shared).delay.processes.entry(name).or_default().record(seconds, waited);
            }
        }
    }
}
