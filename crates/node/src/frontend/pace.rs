//! How fast one connection may send.

use gradepin_core::messages::Response;
use std::time::{Duration, Instant};

/// Points that a connection may spend a second, and at once. A request that is served costs one for its reading
/// and one for its answer, so no usual client proxy comes near.
const A_SECOND: f64 = 2000.0;
const AT_ONCE: f64 = 1000.0;

/// What a message was worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Worth {
    /// It was served.
    Served,
    /// It was turned away, or failed.
    Lost,
    /// It made no sense.
    Nonsense,
}

impl Worth {
    /// What an answer says of its request.
    pub fn of(answer: &Response) -> Self {
        match answer {
            Response::Served(_) | Response::Health { .. } => Self::Served,
            Response::Rejected { .. } | Response::Failed { .. } | Response::OutcomeUnknown => Self::Lost,
            Response::Invalid { .. } => Self::Nonsense,
        }
    }

    /// In points.
    pub fn cost(self) -> usize {
        match self {
            Self::Served => 1,
            Self::Lost => 10,
            Self::Nonsense => 50,
        }
    }
}

/// Guards against a client that sends at full speed what is turned away or makes no sense: reading, answering and
/// logging it would take the core from all others. Its reader pauses; nothing it sent is dropped.
#[derive(Debug)]
pub struct Pace {
    points: f64,
    at: Instant,
}

impl Pace {
    pub fn new(now: Instant) -> Self {
        Self { points: AT_ONCE, at: now }
    }

    /// Spends points; says how long to pause where there are none left.
    pub fn spend(&mut self, points: usize, now: Instant) -> Option<Duration> {
        let earned = now.saturating_duration_since(self.at).as_secs_f64() * A_SECOND;
        self.points = (self.points + earned).min(AT_ONCE) - points as f64;
        self.at = now;
        (self.points < 0.0).then(|| Duration::from_secs_f64(-self.points / A_SECOND))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Messages a second that get through when each is sent as soon as the one before allows it.
    fn through(points: usize) -> usize {
        let start = Instant::now();
        let (mut pace, mut now, mut sent) = (Pace::new(start), start, 0);
        while now < start + Duration::from_secs(10) && sent < 1_000_000 {
            now += pace.spend(points, now).unwrap_or_default() + Duration::from_micros(20);
            sent += 1;
        }
        sent / 10
    }

    /// Guards against nonsense at full speed, and against a pace that holds back a busy client proxy.
    #[test]
    fn nonsense_is_slowed_down_and_use_is_not() {
        let (nonsense, lost, served) = [Worth::Nonsense, Worth::Lost, Worth::Served]
            .map(|priority_weight| through(1 + priority_weight.cost()))
            .into();
        assert!(nonsense < 50 && lost < 250 && served > 900, "{nonsense} {lost} {served}");
    }
}
