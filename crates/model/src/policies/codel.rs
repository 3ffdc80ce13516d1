//! Controlled delay for a server's line, as in "Fail at Scale" (B. Maurer, ACM Queue 13(8), 2015): once the line has not been
//! empty for an interval, nothing waits longer than a short target, and the newest goes first.

use super::shell::{Ask, Load, Policy};
use super::shortest_aim;
use gradepin_admission::{Settings, Span, Time, time_after};

/// The target as a part of the shortest aim, and the interval.
const TARGET: f64 = 0.05;
const INTERVAL: f64 = 0.25;

/// The state of a line.
#[derive(Debug)]
pub struct Codel {
    runs: usize,
    line: usize,
    target: Span,
    interval: Span,
    empty_at: Time,
    stands: bool,
}

impl Codel {
    /// One and a half runs a core; the target is a twentieth of the shortest aim, the interval a quarter.
    pub fn new(settings: &Settings) -> Self {
        let aim = shortest_aim(settings);
        let cores = settings.specifics.n_cores as usize;
        Self {
            runs: cores * 3 / 2,
            line: 16 * cores,
            target: Span((TARGET * aim) as u64),
            interval: Span((INTERVAL * aim) as u64),
            empty_at: Time(0),
            stands: false,
        }
    }
}

impl Policy for Codel {
    fn takes(&mut self, now: Time, _ask: &Ask, load: Load) -> bool {
        self.stands = load.waiting > 0 && time_after(self.empty_at, self.interval) < now;
        load.waiting < self.line
    }

    fn may_run(&self, load: Load) -> bool {
        load.running < self.runs
    }

    fn newest_first(&self) -> bool {
        self.stands
    }

    fn drops(&mut self, now: Time, ask: &Ask) -> bool {
        let most = if self.stands { self.target } else { self.interval };
        time_after(ask.read, most) < now || ask.due <= now
    }

    fn idle(&mut self, now: Time) {
        (self.empty_at, self.stands) = (now, false);
    }
}
