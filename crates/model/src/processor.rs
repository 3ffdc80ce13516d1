//! A machine's cores: what runs and what is read shares them, past a crowd less is done in total, a cold start, hangs and
//! pauses, and the memory.
//!
//! All jobs on the cores get the same part of them at any moment, so each job is done when the work that everyone got since
//! its start reaches its own: one sum instead of a countdown for each job.

use crate::queue::At;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

/// Names a job; the world's number of a try.
pub type Job = u32;

/// What happens on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Done {
    /// A request was read.
    Read(Job),
    /// A run is over.
    Run(Job),
}

/// What the cores are like.
#[derive(Debug, Clone, PartialEq)]
pub struct CoresSpec {
    /// How many.
    pub cores: u32,
    /// Work that each does in a second.
    pub speed: f64,
    /// Runs past which less is done in total, and how quickly it falls: at twice as many it is `1 / (1 + thrash)`.
    pub knee: f64,
    /// See `knee`.
    pub thrash: f64,
    /// Part of the speed at a cold start, and nanoseconds until warm.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold: At,
    /// When it started, and whether cold.
    pub started: At,
    /// See `started`.
    pub is_cold: bool,
}

/// Between looks at how warm it is.
const WARMING: At = 100_000_000;
/// The span of the gauge of busy cores.
const GAUGE: At = 500_000_000;
/// Work that counts as done, in seconds: less than a nanosecond of the fastest core.
const NOTHING: f64 = 1e-10;

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
    /// The soonest done is the greatest: the heap's top.
    fn cmp(&self, other: &Self) -> Ordering {
        other.target.total_cmp(&self.target).then(other.number.cmp(&self.number))
    }
}

/// Jobs that share, and what each has got since the beginning.
#[derive(Debug, Default)]
struct Shared {
    got: f64,
    jobs: BinaryHeap<Entry>,
}

impl Shared {
    fn left(&self) -> Option<f64> {
        self.jobs.peek().map(|entry| (entry.target - self.got).max(0.0))
    }

    fn pop(&mut self) -> Option<Job> {
        let done = self.left().is_some_and(|left| left <= NOTHING);
        if done { self.jobs.pop().map(|entry| entry.job) } else { None }
    }
}

/// The cores of a machine, and what is on them.
#[derive(Debug)]
pub struct Cores {
    spec: CoresSpec,
    now: At,
    runs: Shared,
    reads: Shared,
    /// Requests that wait to be read, with their work.
    unread: VecDeque<(Job, f64)>,
    number: u64,
    slow: f64,
    hangs: bool,
    paused: bool,
    /// Busy nanoseconds of cores until then, for the gauge.
    busy: f64,
    course: VecDeque<(At, f64)>,
}

impl Cores {
    /// Idle ones.
    pub fn new(spec: CoresSpec) -> Self {
        Self {
            now: spec.started,
            course: [(spec.started, 0.0)].into(),
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

    /// Runs on the cores.
    pub fn running(&self) -> usize {
        self.runs.jobs.len()
    }

    /// Requests that wait to be read, or are.
    pub fn reading(&self) -> usize {
        self.unread.len() + self.reads.jobs.len()
    }

    fn on(&self) -> usize {
        self.runs.jobs.len() + self.reads.jobs.len()
    }

    /// When the processor started.
    pub fn started(&self) -> At {
        self.spec.started
    }

    /// Part of its speed that it has by now.
    pub fn warmth(&self) -> f64 {
        let since = (self.now - self.spec.started) as f64 / (self.spec.cold.max(1)) as f64;
        if self.spec.is_cold && since < 1.0 {
            self.spec.cold_from + (1.0 - self.spec.cold_from) * since
        } else {
            1.0
        }
    }

    /// Work that each job gets in a nanosecond, in seconds.
    fn rate(&self) -> f64 {
        let on = self.on() as f64;
        if on < 0.5 || self.paused {
            return 0.0;
        }
        // What is read waits its turn, one a core; it is runs that get into each other's way.
        let crowd = (self.runs.jobs.len() as f64 / self.spec.knee - 1.0).max(0.0);
        let total = (1.0 + self.spec.thrash * crowd).recip() * self.spec.speed * self.warmth() / self.slow;
        (f64::from(self.spec.cores) / on).min(1.0) * total / 1e9
    }

    /// Brings all up to a time, which no job may be done before.
    pub fn advance(&mut self, now: At) {
        let (rate, passed) = (self.rate(), now.saturating_sub(self.now) as f64);
        if passed > 0.0 {
            let on = self.on() as f64;
            self.reads.got += rate * passed;
            if !self.hangs {
                self.runs.got += rate * passed;
            }
            if !self.paused {
                self.busy += on.min(f64::from(self.spec.cores)) * passed;
            }
            self.course.push_back((now, self.busy));
            while self.course.get(1).is_some_and(|(at, _)| at + GAUGE <= now) {
                self.course.pop_front();
            }
        }
        self.now = self.now.max(now);
    }

    /// When something is done next, or how fast things go changes; none while nothing goes on.
    pub fn next_at(&self) -> Option<At> {
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let runs = self.runs.left().filter(|_| !self.hangs);
        let left = [runs, self.reads.left()].into_iter().flatten().min_by(f64::total_cmp)?;
        let at = self.now + ((left / rate).ceil() as At).max(u64::from(left > NOTHING));
        let warming = self.spec.is_cold && self.now < self.spec.started + self.spec.cold;
        Some(if warming { at.min(self.now + WARMING) } else { at })
    }

    /// What is done by now, one at a time; after [`Cores::advance`].
    pub fn done(&mut self) -> Option<Done> {
        if self.paused {
            return None;
        }
        if let Some(job) = self.reads.pop() {
            self.feed();
            return Some(Done::Read(job));
        }
        if self.hangs {
            return None;
        }
        self.runs.pop().map(Done::Run)
    }

    fn put(&mut self, reads: bool, job: Job, work_s: f64) {
        self.number += 1;
        let number = self.number;
        let shared = if reads { &mut self.reads } else { &mut self.runs };
        shared.jobs.push(Entry { target: shared.got + work_s, number, job });
    }

    /// One a core at a time is read.
    fn feed(&mut self) {
        while self.reads.jobs.len() < self.spec.cores as usize
            && let Some((job, work_s)) = self.unread.pop_front()
        {
            self.put(true, job, work_s);
        }
    }

    /// A request has come and is to be read; in the order of their coming.
    pub fn read(&mut self, job: Job, work_s: f64) {
        self.unread.push_back((job, work_s));
        self.feed();
    }

    /// Takes one out that waits to be read; false if it is being read, or was.
    pub fn forget(&mut self, job: Job) -> bool {
        let place = self.unread.iter().position(|(unread, _)| *unread == job);
        place.is_some_and(|place| self.unread.remove(place).is_some())
    }

    /// A run begins.
    pub fn run(&mut self, job: Job, work_s: f64) {
        self.put(false, job, work_s);
    }

    /// So many times slower from now on.
    pub fn slow(&mut self, factor: f64) {
        self.slow = factor.max(1e-6);
    }

    /// Whether runs make no progress.
    pub fn hang(&mut self, hangs: bool) {
        self.hangs = hangs;
    }

    /// Whether nothing happens at all.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// All that needs a core now.
    pub fn runnable(&self) -> f64 {
        self.on() as f64
    }

    /// Part of the cores that was busy in the last half second.
    pub fn cpu_utilization(&self) -> f64 {
        let from = self.now.saturating_sub(GAUGE).max(self.spec.started);
        let Some(&(first_at, first)) = self.course.front() else { return 0.0 };
        // Between two entries it rose evenly.
        let base = match self.course.get(1) {
            Some(&(next_at, next)) if first_at < from && next_at > first_at => {
                first + (next - first) * (from - first_at) as f64 / (next_at - first_at) as f64
            }
            _ => first,
        };
        let span = (self.now - from.max(first_at.min(self.now))) as f64;
        let last = self.course.back().map_or(0.0, |(_, busy)| *busy);
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

    /// Plays until nothing goes on; what was done when, in ms.
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

    /// Guards against cores that do more than they can, or jobs that don't share them.
    #[test]
    fn jobs_share_the_cores() {
        let mut alone = cores(false);
        alone.run(1, 0.1);
        assert_eq!(play(&mut alone), [(100, Done::Run(1))]);
        let mut shared = cores(false);
        // Three on two cores: each gets two thirds; once the short one is done, all of a core.
        (1..=2).for_each(|job| shared.run(job, 0.1));
        shared.run(3, 0.05);
        assert_eq!(play(&mut shared), [(75, Done::Run(3)), (125, Done::Run(1)), (125, Done::Run(2))]);
    }

    /// Twice the crowd of the knee: half is done in total.
    #[test]
    fn past_a_crowd_less_is_done() {
        let mut crowd = cores(false);
        (0..6).for_each(|job| crowd.run(job, 0.1));
        // 0.6 s of work, 2 cores, half the speed.
        assert_eq!(play(&mut crowd).last(), Some(&(600, Done::Run(5))));
    }

    /// Reading is one a core at a time, in the order of coming; the rest waits.
    #[test]
    fn requests_wait_unread() {
        let mut reading = cores(false);
        (0..4).for_each(|job| reading.read(job, 0.01));
        let read = |at, job| (at, Done::Read(job));
        assert_eq!(reading.reading(), 4);
        assert_eq!(play(&mut reading), [read(10, 0), read(10, 1), read(20, 2), read(20, 3)]);
    }

    /// Guards against a cold server that is as quick as a warm one, and against one that never warms.
    #[test]
    fn a_cold_one_warms() {
        let mut cold = cores(true);
        cold.run(1, 1.0);
        let done = play(&mut cold)[0].0;
        // Half the speed at first, 0.55 after a second, 0.6 after two: 1 s of work by 1.83 s.
        assert!((1_800..1_870).contains(&done), "{done}");
        cold.advance(20_000 * MS);
        cold.run(2, 1.0);
        assert_eq!(play(&mut cold), [(21_000, Done::Run(2))]);
    }

    /// A hang stops runs, not reading; a pause stops all; a slowdown stretches.
    #[test]
    fn troubles_strike() {
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

    /// The gauge is of the last half second.
    #[test]
    fn the_gauge_forgets() {
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
