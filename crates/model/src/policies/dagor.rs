//! Precedence threshold that follows the waiting time: DAGOR (H. Zhou et al., "Overload Control for Scaling WeChat
//! Microservices", SoCC 2018). The mean wait over a window decides whether the server is overloaded. If so, the
//! threshold rises to reject a fraction of the admitted requests, otherwise it falls by a smaller fraction; a histogram
//! of the precedences received gives the new threshold.

use super::shell::{Load, Policy, RequestInfo};
use super::shortest_objective;
use gradepin_admission::{Settings, Span, Time, time_after};

/// Values of the paper: window length in time and requests, and the fractions by which admission shrinks and grows.
const WINDOW: Span = Span(1_000_000_000);
const WINDOW_REQUESTS: u64 = 2_000;
const ALPHA: f64 = 0.05;
const BETA: f64 = 0.01;
/// The paper's limit of 20 ms of waiting for tasks of up to 500 ms.
const WAIT_FRACTION: f64 = 0.04;
/// Number of precedence levels.
const LEVELS: usize = 128;

/// Current threshold, and the window that determines the next one.
#[derive(Debug)]
pub struct Dagor {
    runs: usize,
    waiting_queue: usize,
    max_wait: Span,
    threshold: usize,
    ends: Time,
    arrived: [u64; LEVELS],
    admitted: u64,
    total_wait: u128,
    runs_started: u64,
}

impl Dagor {
    /// Limits of 1.5 runs per core; overloaded if the mean wait exceeds a twenty-fifth of the shortest latency
    /// objective.
    pub fn new(settings: &Settings) -> Self {
        let objective = shortest_objective(settings);
        let cores = settings.specifics.n_cores as usize;
        Self {
            runs: cores * 3 / 2,
            waiting_queue: 16 * cores,
            max_wait: Span((WAIT_FRACTION * objective) as u64),
            threshold: 0,
            ends: Time(0),
            arrived: [0; LEVELS],
            admitted: 0,
            total_wait: 0,
            runs_started: 0,
        }
    }

    fn end_window(&mut self, now: Time) {
        let arrived: u64 = self.arrived.iter().sum();
        if now < self.ends && arrived < WINDOW_REQUESTS {
            return;
        }
        let mean = self.total_wait.checked_div(u128::from(self.runs_started)).unwrap_or(0);
        if arrived > 0 {
            let overloaded = mean > u128::from(self.max_wait.0);
            let part = if overloaded { 1.0 - ALPHA } else { 1.0 + BETA };
            // A change of at least one request, so that the threshold also moves at a low rate.
            let admitted = self.admitted as f64;
            let target_admitted = if overloaded {
                (admitted * part).min(admitted - 1.0)
            } else {
                (admitted * part).max(admitted + 1.0)
            };
            let (mut threshold, mut sum) = (LEVELS, 0_u64);
            while threshold > 0 && (sum as f64) < target_admitted {
                threshold -= 1;
                sum += self.arrived[threshold];
            }
            self.threshold =
                if overloaded { threshold.max(self.threshold) } else { threshold.min(self.threshold) };
        }
        self.arrived = [0; LEVELS];
        (self.admitted, self.total_wait, self.runs_started) = (0, 0, 0);
        self.ends = time_after(now, WINDOW);
    }
}

fn index(rank: f64) -> usize {
    ((rank * LEVELS as f64) as usize).min(LEVELS - 1)
}

impl Policy for Dagor {
    fn admits(&mut self, now: Time, info: &RequestInfo, load: Load) -> bool {
        self.end_window(now);
        let index = index(info.rank);
        self.arrived[index] += 1;
        let admitted = index >= self.threshold;
        self.admitted += u64::from(admitted);
        admitted && load.waiting < self.waiting_queue
    }

    fn may_run(&self, load: Load) -> bool {
        load.running < self.runs
    }

    fn discards(&mut self, now: Time, info: &RequestInfo) -> bool {
        info.due <= now
    }

    fn run_started(&mut self, now: Time, info: &RequestInfo) {
        self.total_wait += u128::from(now.0.saturating_sub(info.read.0));
        self.runs_started += 1;
    }

    fn threshold(&self) -> Option<f64> {
        Some(self.threshold as f64 / LEVELS as f64)
    }
}
