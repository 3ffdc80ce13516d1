//! A circuit breaker for the shared upstream, fed by this server's own calls and by what other servers observed.
//!
//! Observations of this server come first. Those of others open the circuit here only if several of them recently found the
//! upstream dead, none got a response, and this server has no observation of its own. So a server whose own network is
//! broken doesn't open the circuit of others, and a server that reaches the upstream keeps calling it. An open circuit is
//! probed at a rate that the fleet shares, and closes in steps.
//!
//! As in Nygard's "Release It!": closed means that calls go through, open that they are rejected, half open that a part of
//! them goes through. What was seen is counted in [`observation`].

pub mod observation;

pub use observation::{Observation, PeerObservations};

use crate::MS;
use gradepin_admission::{Outcome, Span, Time, span_from_seconds, time_after};
use observation::{MAX_OBSERVATION_AGE, ObservationWindow};

/// Other servers that must have seen the upstream dead before the circuit opens without an own observation.
const MIN_OBSERVERS: usize = 3;
/// The part of calls that goes through a half open circuit, in eighths: a step each time that enough went well.
const HALF_OPEN_EIGHTHS: [u32; 3] = [1, 2, 4];
/// All of the calls, in the same unit.
const ALL_EIGHTHS: u32 = 8;
/// A step of a half open circuit lasts at least so long.
const HALF_OPEN_STEP: Span = Span(500 * MS);
/// A circuit that opened again while it was half open stays open for so long, doubled each time up to a bound, unless an
/// own probe goes well.
const RELAPSE_HOLD: Span = Span(1_000 * MS);
/// The bound.
const MAX_RELAPSE_HOLD: Span = Span(16_000 * MS);
/// The largest power of two by which the hold is multiplied.
const MAX_RELAPSE_DOUBLINGS: u32 = 5;
/// The least rate of probes, so that a gap between two is finite.
const MIN_PROBES_PER_SECOND: f64 = 0.01;

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Call,
    /// It may, as one of the few probes that an open circuit lets through.
    Probe,
    /// It may not.
    Rejected,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open {
        since: Time,
        /// When the next probe may be made.
        next_probe: Time,
    },
    HalfOpen {
        step: usize,
        since: Time,
        /// Calls that went well in this step.
        succeeded: u16,
        /// What is saved up for the next call, in eighths of one.
        saved: u32,
    },
}

/// One server's circuit breaker for one upstream.
#[derive(Debug)]
pub struct CircuitBreaker {
    window: ObservationWindow,
    state: State,
    probes_per_second: f64,
    /// Servers that share the probes.
    servers: f64,
    others: PeerObservations,
    /// Opened while half open so many times in a row, and until when others' good observations close nothing.
    relapses: u32,
    ignore_others_until: Time,
    notes: Vec<String>,
}

impl CircuitBreaker {
    /// For a fleet of so many servers that may probe a dead upstream so many times a second together.
    pub fn new(probes_per_second: f64, servers: usize) -> Self {
        Self {
            window: ObservationWindow::default(),
            state: State::Closed,
            probes_per_second: probes_per_second.max(MIN_PROBES_PER_SECOND),
            servers: servers.max(1) as f64,
            others: PeerObservations::default(),
            relapses: 0,
            ignore_others_until: Time(0),
            notes: Vec::new(),
        }
    }

    /// What was seen here within the window.
    pub fn observation(&self, now: Time) -> Observation {
        self.window.sum(now)
    }

    /// What others saw, as it stands now. `random` is drawn evenly from 0 to 1.
    pub fn observed_by_others(&mut self, now: Time, others: PeerObservations, random: f64) {
        self.others = others;
        self.update(now, random);
    }

    /// A call ended here.
    pub fn call_ended(&mut self, now: Time, outcome: Outcome, took: Span, random: f64) {
        // Turned away without a look: the upstream is there, and full.
        if outcome == Outcome::Rejected {
            return;
        }
        self.window.add(now, outcome, took);
        let went_well = outcome == Outcome::Success;
        match &mut self.state {
            State::HalfOpen { succeeded, .. } if went_well => *succeeded = succeeded.saturating_add(1),
            State::HalfOpen { .. } => self.relapse(now, random),
            State::Open { .. } if went_well => {
                self.relapses = 0;
                self.half_open(now, "a probe went well");
            }
            State::Open { .. } | State::Closed => {}
        }
        self.update(now, random);
    }

    /// Whether a call may be made now; a probe that may counts as made.
    pub fn call(&mut self, now: Time, random: f64) -> Admission {
        self.update(now, random);
        let following = self.following_probe(now, random);
        match &mut self.state {
            State::Closed => Admission::Call,
            State::Open { next_probe, .. } if *next_probe <= now => {
                *next_probe = following;
                Admission::Probe
            }
            State::Open { .. } => Admission::Rejected,
            State::HalfOpen { step, saved, .. } => {
                *saved += HALF_OPEN_EIGHTHS[*step];
                if *saved < ALL_EIGHTHS {
                    return Admission::Rejected;
                }
                *saved -= ALL_EIGHTHS;
                Admission::Call
            }
        }
    }

    /// Whether all calls go through.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// What changed since the last call, for the log.
    pub fn take_notes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.notes)
    }

    /// Seconds between two probes of one server, on average.
    fn probe_gap_s(&self) -> f64 {
        self.servers / self.probes_per_second
    }

    /// The probe after this one: at random around this server's part of what the fleet may probe, so that they don't all
    /// probe at once.
    fn following_probe(&self, now: Time, random: f64) -> Time {
        time_after(now, span_from_seconds(self.probe_gap_s() * (0.5 + random)))
    }

    fn relapse(&mut self, now: Time, random: f64) {
        self.relapses += 1;
        let factor = 1 << self.relapses.min(MAX_RELAPSE_DOUBLINGS);
        let hold = RELAPSE_HOLD.0.saturating_mul(factor).min(MAX_RELAPSE_HOLD.0);
        self.ignore_others_until = time_after(now, Span(hold));
        self.open(now, random, "it failed again while the circuit was half open");
    }

    fn open(&mut self, now: Time, random: f64, why: &str) {
        self.notes.push(format!("the circuit to the upstream opens, calls are rejected: {why}"));
        // The first probe at any point of the gap, or all that saw it die together would probe together.
        let next_probe = time_after(now, span_from_seconds(self.probe_gap_s() * random));
        self.state = State::Open { since: now, next_probe };
    }

    fn half_open(&mut self, now: Time, why: &str) {
        self.notes
            .push(format!("the circuit to the upstream is half open, few calls go through at first: {why}"));
        self.window.clear();
        self.state = State::HalfOpen { step: 0, since: now, succeeded: 0, saved: ALL_EIGHTHS - 1 };
    }

    fn update(&mut self, now: Time, random: f64) {
        match self.state {
            State::Closed => {
                if let Some(why) = self.reason_to_open(now) {
                    self.open(now, random, &why);
                }
            }
            State::Open { since, .. } => {
                // Not at once: what others saw may be from before. Where only the way from here is broken, the circuit opens
                // again with the first call, and what others see closes it ever later.
                let old_enough =
                    now >= self.ignore_others_until && now >= time_after(since, MAX_OBSERVATION_AGE);
                if self.others.answered > 0 && old_enough {
                    let why = format!("it answers {} other servers", self.others.answered);
                    self.half_open(now, &why);
                }
            }
            State::HalfOpen { step, since, succeeded, .. } => {
                if succeeded > 0 && now >= time_after(since, HALF_OPEN_STEP) {
                    self.next_step(now, step + 1);
                }
            }
        }
    }

    /// Why a closed circuit is to open, if it is.
    fn reason_to_open(&self, now: Time) -> Option<String> {
        let own = self.observation(now);
        let PeerObservations { answered, dead } = self.others;
        if own.is_dead() {
            let calls = own.failed + own.timed_out;
            return Some(format!(
                "none of the last {calls} calls went well here; it answers {answered} other servers, and is dead for {dead}"
            ));
        }
        let nothing_known = own == Observation::default();
        let others_agree = dead >= MIN_OBSERVERS && answered == 0;
        (nothing_known && others_agree)
            .then(|| format!("{dead} other servers saw it dead, and none saw it answer"))
    }

    fn next_step(&mut self, now: Time, step: usize) {
        if step < HALF_OPEN_EIGHTHS.len() {
            self.state = State::HalfOpen { step, since: now, succeeded: 0, saved: 0 };
            return;
        }
        self.relapses = 0;
        self.notes.push("the circuit to the upstream is closed, all calls go through".into());
        self.state = State::Closed;
    }
}

#[cfg(test)]
mod tests;
