//! Controlled delay for a request queue, as in "Fail at Scale" (B. Maurer, ACM Queue 13(8), 2015): if the queue was not
//! empty during the last interval, the waiting time is limited to a short target and the newest request runs first.

use super::shell::{Load, Policy, RequestInfo};
use super::shortest_objective;
use gradepin_admission::{Settings, Span, Time, time_after};

/// Target and interval as fractions of the shortest latency objective.
const TARGET_FRACTION: f64 = 0.05;
const INTERVAL_FRACTION: f64 = 0.25;

/// Queue limits and the state of the queue.
#[derive(Debug)]
pub struct Codel {
    runs: usize,
    waiting_queue: usize,
    target: Span,
    interval: Span,
    empty_at: Time,
    backlogged: bool,
}

impl Codel {
    /// Limits of 1.5 runs per core; the target is a twentieth of the shortest latency objective, the interval a
    /// quarter.
    pub fn new(settings: &Settings) -> Self {
        let objective = shortest_objective(settings);
        let cores = settings.specifics.n_cores as usize;
        Self {
            runs: cores * 3 / 2,
            waiting_queue: 16 * cores,
            target: Span((TARGET_FRACTION * objective) as u64),
            interval: Span((INTERVAL_FRACTION * objective) as u64),
            empty_at: Time(0),
            backlogged: false,
        }
    }
}

impl Policy for Codel {
    fn admits(&mut self, now: Time, _ask: &RequestInfo, load: Load) -> bool {
        self.backlogged = load.waiting > 0 && time_after(self.empty_at, self.interval) < now;
        load.waiting < self.waiting_queue
    }

    fn may_run(&self, load: Load) -> bool {
        load.running < self.runs
    }

    fn newest_first(&self) -> bool {
        self.backlogged
    }

    fn discards(&mut self, now: Time, info: &RequestInfo) -> bool {
        let wait_limit = if self.backlogged { self.target } else { self.interval };
        time_after(info.read, wait_limit) < now || info.due <= now
    }

    fn idle(&mut self, now: Time) {
        (self.empty_at, self.backlogged) = (now, false);
    }
}
