//! Cores of a machine: shared by runs and reads, slower under overload, with cold start, hangs and pauses.
//!
//!
//! All jobs of a kind get the same share of the cores at any time. A job is therefore done when the total work per job
//! since its start reaches its own work: one sum replaces a countdown per job.

use crate::queue::At;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

/// Identifies a job: the attempt number in the world.
pub type Job = u32;

/// A finished job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Done {
    /// A request was read.
    Read(Job),
    /// A run ended.
    Run(Job),
}

/// Parameters of the cores of a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct CoresSpec {
    /// Number of cores.
    pub cores: u32,
    /// Seconds of work that a core does per second.
    pub speed: f64,
    /// Number of runs above which throughput falls.
    pub knee: f64,
    /// How fast it falls: at twice `knee` runs, throughput is `1 / (1 + thrash)` of the full value.
    pub thrash: f64,
    /// Fraction of the speed at a cold start.
    pub cold_from: f64,
    /// Nanoseconds until a cold processor reaches full speed.
    pub cold: At,
    /// Start time of the processor.
    pub started: At,
    /// Whether it started cold.
    pub is_cold: bool,
}

/// Interval in nanoseconds at which the speed of a cold processor is updated.
const SPEED_UPDATE_INTERVAL: At = 100_000_000;
/// Averaging time of the utilization gauge, in nanoseconds.
const GAUGE_WINDOW: At = 500_000_000;
/// Remaining work in seconds that counts as done; less than the fastest core does in a nanosecond.
const NEGLIGIBLE_WORK_S: f64 = 1e-10;

#[derive(Debug, Clone, Copy)]
struct Entry {
    target: f64,
    number: u64,
    job: Job,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The job that ends first is the greatest, at the top of the heap.
    fn cmp(&self, other: &Self) -> Ordering {
        other.target.total_cmp(&self.target).then(other.number.cmp(&self.number))
    }
}

/// Jobs that share the cores, and the work that each has received since the beginning.
#[derive(Debug, Default)]
struct Shared {
    received: f64,
    jobs: BinaryHeap<Entry>,
}

impl Shared {
    fn remaining(&self) -> Option<f64> {
        self.jobs.peek().map(|entry| (entry.target - self.received).max(0.0))
    }

    fn pop(&mut self) -> Option<Job> {
        let done = self.remaining().is_some_and(|remaining| remaining <= NEGLIGIBLE_WORK_S);
        if done { self.jobs.pop().map(|entry| entry.job) } else { None }
    }
}

/// The cores of a machine and the jobs on them.
#[derive(Debug)]
pub struct Cores {
    spec: CoresSpec,
    now: At,
    runs: Shared,
    reads: Shared,
    /// Requests waiting to be read, with the work of reading.
    unread: VecDeque<(Job, f64)>,
    number: u64,
    slow: f64,
    hangs: bool,
    paused: bool,
    /// Busy core-nanoseconds so far, and their history for the gauge.
    busy: f64,
    busy_history: VecDeque<(At, f64)>,
}

impl Cores {
    /// Creates idle cores.
    pub fn new(spec: CoresSpec) -> Self {
        Self {
            now: spec.started,
            busy_history: [(spec.started, 0.0)].into(),
            spec,
            runs: Shared::default(),
            reads: Shared::default(),
            unread: VecDeque::new(),
            number: 0,
            slow: 1.0,
            hangs: false,
            paused: false,
            busy: 0.0,
        }
    }

    /// Number of runs.
    pub fn running(&self) -> usize {
        self.runs.jobs.len()
    }

    /// Number of requests being read or waiting to be read.
    pub fn reading(&self) -> usize {
        self.unread.len() + self.reads.jobs.len()
    }

    fn jobs_on_cores(&self) -> usize {
        self.runs.jobs.len() + self.reads.jobs.len()
    }

    /// Start time of the processor.
    pub fn started(&self) -> At {
        self.spec.started
    }

    /// Fraction of full speed, which rises linearly after a cold start.
    pub fn speed_fraction(&self) -> f64 {
        let since = (self.now - self.spec.started) as f64 / (self.spec.cold.max(1)) as f64;
        if self.spec.is_cold && since < 1.0 {
            self.spec.cold_from + (1.0 - self.spec.cold_from) * since
        } else {
            1.0
        }
    }

    /// Seconds of work that each job receives per nanosecond.
    fn rate(&self) -> f64 {
        let jobs_on_cores = self.jobs_on_cores() as f64;
        if jobs_on_cores < 0.5 || self.paused {
            return 0.0;
        }
        // Reads are limited to one per core; only runs slow each other down.
        let excess = (self.runs.jobs.len() as f64 / self.spec.knee - 1.0).max(0.0);
        let total =
            (1.0 + self.spec.thrash * excess).recip() * self.spec.speed * self.speed_fraction() / self.slow;
        (f64::from(self.spec.cores) / jobs_on_cores).min(1.0) * total / 1e9
    }

    /// Advances to `now`; no job may end before that time.
    pub fn advance(&mut self, now: At) {
        let (rate, passed) = (self.rate(), now.saturating_sub(self.now) as f64);
        if passed > 0.0 {
            let jobs_on_cores = self.jobs_on_cores() as f64;
            self.reads.received += rate * passed;
            if !self.hangs {
                self.runs.received += rate * passed;
            }
            if !self.paused {
                self.busy += jobs_on_cores.min(f64::from(self.spec.cores)) * passed;
            }
            self.busy_history.push_back((now, self.busy));
            while self.busy_history.get(1).is_some_and(|(at, _)| at + GAUGE_WINDOW <= now) {
                self.busy_history.pop_front();
            }
        }
        self.now = self.now.max(now);
    }

    /// Time of the next finished job or change of speed; `None` while there is no progress.
    pub fn next_at(&self) -> Option<At> {
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let runs = self.runs.remaining().filter(|_| !self.hangs);
        let remaining = [runs, self.reads.remaining()].into_iter().flatten().min_by(f64::total_cmp)?;
        let at = self.now + ((remaining / rate).ceil() as At).max(u64::from(remaining > NEGLIGIBLE_WORK_S));
        let warming = self.spec.is_cold && self.now < self.spec.started + self.spec.cold;
        Some(if warming { at.min(self.now + SPEED_UPDATE_INTERVAL) } else { at })
    }

    /// Returns a job that is done, if any. Call [`Cores::advance`] first.
    pub fn done(&mut self) -> Option<Done> {
        if self.paused {
            return None;
        }
        if let Some(job) = self.reads.pop() {
            self.start_reads();
            return Some(Done::Read(job));
        }
        if self.hangs {
            return None;
        }
        self.runs.pop().map(Done::Run)
    }

    fn enqueue(&mut self, reads: bool, job: Job, work_s: f64) {
        self.number += 1;
        let number = self.number;
        let shared = if reads { &mut self.reads } else { &mut self.runs };
        shared.jobs.push(Entry { target: shared.received + work_s, number, job });
    }

    /// Starts reads until there is one per core.
    fn start_reads(&mut self) {
        while self.reads.jobs.len() < self.spec.cores as usize
            && let Some((job, work_s)) = self.unread.pop_front()
        {
            self.enqueue(true, job, work_s);
        }
    }

    /// Queues a request to be read, in order of arrival.
    pub fn read(&mut self, job: Job, work_s: f64) {
        self.unread.push_back((job, work_s));
        self.start_reads();
    }

    /// Removes a request that waits to be read; returns false if it is being read or was read.
    pub fn remove_unread(&mut self, job: Job) -> bool {
        let place = self.unread.iter().position(|(unread, _)| *unread == job);
        place.is_some_and(|place| self.unread.remove(place).is_some())
    }

    /// Starts a run.
    pub fn run(&mut self, job: Job, work_s: f64) {
        self.enqueue(false, job, work_s);
    }

    /// Slows all jobs down by a factor.
    pub fn slow(&mut self, factor: f64) {
        self.slow = factor.max(1e-6);
    }

    /// Sets whether runs make no progress.
    pub fn hang(&mut self, hangs: bool) {
        self.hangs = hangs;
    }

    /// Sets whether there is no progress at all.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Number of jobs that need a core.
    pub fn runnable(&self) -> f64 {
        self.jobs_on_cores() as f64
    }

    /// Fraction of the cores busy during the last 0.5 s.
    pub fn cpu_utilization(&self) -> f64 {
        let from = self.now.saturating_sub(GAUGE_WINDOW).max(self.spec.started);
        let Some(&(first_at, first)) = self.busy_history.front() else { return 0.0 };
        // Busy time grows linearly between two entries.
        let base = match self.busy_history.get(1) {
            Some(&(next_at, next)) if first_at < from && next_at > first_at => {
                first + (next - first) * (from - first_at) as f64 / (next_at - first_at) as f64
            }
            _ => first,
        };
        let span = (self.now - from.max(first_at.min(self.now))) as f64;
        let last = self.busy_history.back().map_or(0.0, |(_, busy)| *busy);
        if span <= 0.0 { 0.0 } else { ((last - base) / span / f64::from(self.spec.cores)).clamp(0.0, 1.0) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: At = 1_000_000;

    fn cores(is_cold: bool) -> Cores {
        Cores::new(CoresSpec {
            cores: 2,
            speed: 1.0,
            knee: 3.0,
            thrash: 1.0,
            cold_from: 0.5,
            cold: 10_000 * MS,
            started: 0,
            is_cold,
        })
    }

    /// Plays until there is no progress; returns finished jobs with their times in milliseconds.
    fn play(cores: &mut Cores) -> Vec<(u64, Done)> {
        let mut all = Vec::new();
        while let Some(at) = cores.next_at() {
            cores.advance(at);
            while let Some(done) = cores.done() {
                all.push((at.div_ceil(MS) - u64::from(!at.is_multiple_of(MS) && at % MS < 1_000), done));
            }
        }
        all
    }

    /// Guards against more throughput than the cores have, and against jobs that don't share them.
    #[test]
    fn jobs_share_the_cores() {
        let mut alone = cores(false);
        alone.run(1, 0.1);
        assert_eq!(play(&mut alone), [(100, Done::Run(1))]);
        let mut shared = cores(false);
        // Three runs on two cores get two thirds of a core each, and a full core once the short one ends.
        (1..=2).for_each(|job| shared.run(job, 0.1));
        shared.run(3, 0.05);
        assert_eq!(play(&mut shared), [(75, Done::Run(3)), (125, Done::Run(1)), (125, Done::Run(2))]);
    }

    /// At twice the knee, throughput is half.
    #[test]
    fn throughput_falls_above_the_knee() {
        let mut excess = cores(false);
        (0..6).for_each(|job| excess.run(job, 0.1));
        // 0.6 s of work on 2 cores at half the speed.
        assert_eq!(play(&mut excess).last(), Some(&(600, Done::Run(5))));
    }

    /// Reads are limited to one per core, in order of arrival.
    #[test]
    fn requests_wait_to_be_read() {
        let mut reading = cores(false);
        (0..4).for_each(|job| reading.read(job, 0.01));
        let read = |at, job| (at, Done::Read(job));
        assert_eq!(reading.reading(), 4);
        assert_eq!(play(&mut reading), [read(10, 0), read(10, 1), read(20, 2), read(20, 3)]);
    }

    /// Guards against a cold start without effect, and against one that never ends.
    #[test]
    fn a_cold_processor_warms_up() {
        let mut cold = cores(true);
        cold.run(1, 1.0);
        let done = play(&mut cold)[0].0;
        // Half the speed at first, 0.55 after 1 s and 0.6 after 2 s: 1 s of work ends at 1.83 s.
        assert!((1_800..1_870).contains(&done), "{done}");
        cold.advance(20_000 * MS);
        cold.run(2, 1.0);
        assert_eq!(play(&mut cold), [(21_000, Done::Run(2))]);
    }

    /// A hang stops runs but not reads, a pause stops everything, and a slowdown lengthens the runs.
    #[test]
    fn hang_pause_and_slowdown() {
        let mut hung = cores(false);
        hung.hang(true);
        hung.run(1, 0.1);
        hung.read(2, 0.01);
        assert_eq!(play(&mut hung), [(10, Done::Read(2))]);
        hung.hang(false);
        assert_eq!(play(&mut hung), [(110, Done::Run(1))]);
        let mut paused = cores(false);
        paused.run(1, 0.1);
        paused.pause(true);
        assert_eq!(paused.next_at(), None);
        paused.advance(50 * MS);
        paused.pause(false);
        paused.slow(2.0);
        assert_eq!(play(&mut paused), [(250, Done::Run(1))]);
    }

    /// The gauge covers only the last 0.5 s.
    #[test]
    fn the_gauge_covers_half_a_second() {
        let mut cores = cores(false);
        cores.run(1, 0.25);
        play(&mut cores);
        assert!((cores.cpu_utilization() - 0.5).abs() < 0.01, "{}", cores.cpu_utilization());
        cores.advance(500 * MS);
        assert!((cores.cpu_utilization() - 0.25).abs() < 0.01, "{}", cores.cpu_utilization());
        cores.advance(1_000 * MS);
        assert!(cores.cpu_utilization() < 0.01, "{}", cores.cpu_utilization());
    }
}
