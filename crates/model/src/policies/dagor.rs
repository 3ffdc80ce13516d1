//! By rank, with a level that follows the wait: DAGOR (H. Zhou et al., "Overload Control for Scaling WeChat Microservices",
//! SoCC 2018). Over each window the mean wait says whether the server is overloaded; the level then rises past a part of what
//! was let in, else it falls by a smaller part, found in a histogram of the ranks that came.

use super::shell::{Ask, Load, Policy};
use super::shortest_aim;
use gradepin_admission::{Settings, Span, Time, time_after};

/// As in the paper: the window, the parts by which what is let in shrinks and grows.
const WINDOW: Span = Span(1_000_000_000);
const WINDOW_REQUESTS: u64 = 2_000;
const ALPHA: f64 = 0.05;
const BETA: f64 = 0.01;
/// The paper's 20 ms of 500 ms that a task may take.
const WAIT_PART: f64 = 0.04;
/// Levels.
const LEVELS: usize = 128;

/// The level, and the window that decides the next.
#[derive(Debug)]
pub struct Dagor {
    runs: usize,
    line: usize,
    most_wait: Span,
    level: usize,
    ends: Time,
    came: [u64; LEVELS],
    taken: u64,
    waited: u128,
    begun: u64,
}

impl Dagor {
    /// One and a half runs a core; overloaded where requests wait for longer than a twenty-fifth of the shortest aim.
    pub fn new(settings: &Settings) -> Self {
        let aim = shortest_aim(settings);
        let cores = settings.specifics.n_cores as usize;
        Self {
            runs: cores * 3 / 2,
            line: 16 * cores,
            most_wait: Span((WAIT_PART * aim) as u64),
            level: 0,
            ends: Time(0),
            came: [0; LEVELS],
            taken: 0,
            waited: 0,
            begun: 0,
        }
    }

    fn turn(&mut self, now: Time) {
        let came: u64 = self.came.iter().sum();
        if now < self.ends && came < WINDOW_REQUESTS {
            return;
        }
        let mean = self.waited.checked_div(u128::from(self.begun)).unwrap_or(0);
        if came > 0 {
            let overloaded = mean > u128::from(self.most_wait.0);
            let part = if overloaded { 1.0 - ALPHA } else { 1.0 + BETA };
            // At least one more or fewer, or few requests would never move it.
            let taken = self.taken as f64;
            let wanted =
                if overloaded { (taken * part).min(taken - 1.0) } else { (taken * part).max(taken + 1.0) };
            let (mut level, mut sum) = (LEVELS, 0_u64);
            while level > 0 && (sum as f64) < wanted {
                level -= 1;
                sum += self.came[level];
            }
            self.level = if overloaded { level.max(self.level) } else { level.min(self.level) };
        }
        self.came = [0; LEVELS];
        (self.taken, self.waited, self.begun) = (0, 0, 0);
        self.ends = time_after(now, WINDOW);
    }
}

fn place(rank: f64) -> usize {
    ((rank * LEVELS as f64) as usize).min(LEVELS - 1)
}

impl Policy for Dagor {
    fn takes(&mut self, now: Time, ask: &Ask, load: Load) -> bool {
        self.turn(now);
        let place = place(ask.rank);
        self.came[place] += 1;
        let taken = place >= self.level;
        self.taken += u64::from(taken);
        taken && load.waiting < self.line
    }

    fn may_run(&self, load: Load) -> bool {
        load.running < self.runs
    }

    fn drops(&mut self, now: Time, ask: &Ask) -> bool {
        ask.due <= now
    }

    fn began(&mut self, now: Time, ask: &Ask) {
        self.waited += u128::from(now.0.saturating_sub(ask.read.0));
        self.begun += 1;
    }

    fn level(&self) -> Option<f64> {
        Some(self.level as f64 / LEVELS as f64)
    }
}
