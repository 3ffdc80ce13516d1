//! A circuit breaker for the shared upstream, fed by this server's own calls and by the observations of other
//! servers.
//!
//! This server's own observations take precedence. Those of other servers open the circuit only if several of
//! them recently found the upstream dead, none got a response, and this server has no observation of its own.
//! So a server whose own network is broken doesn't open the circuit of others, and a server that reaches the
//! upstream keeps calling it. The whole fleet probes a dead upstream at a bounded rate, and a circuit closes
//! in steps.
//!
//! The states are those of Nygard's "Release It!": closed (calls go through), open (calls are rejected) and
//! half open (a fraction of the calls goes through). Outcomes are counted in [`observation`].

pub mod observation;

pub use observation::{Observation, PeerObservations};

use crate::MS;
use gradepin_admission::{Outcome, Span, Time, span_from_seconds, time_after};
use observation::{MAX_OBSERVATION_AGE, ObservationWindow};

/// Minimum number of other servers that find the upstream dead for the circuit to open without an observation
/// of its own.
const MIN_OBSERVERS: usize = 3;
/// The fraction of calls that goes through a half-open circuit in each of its steps, in eighths.
const HALF_OPEN_EIGHTHS: [u32; 3] = [1, 2, 4];
/// All calls, in eighths.
const ALL_EIGHTHS: u32 = 8;
/// Minimum duration of a step of a half-open circuit.
const HALF_OPEN_STEP: Span = Span(500 * MS);
/// Base of the time for which a circuit that failed while half open stays open unless a probe of this server
/// succeeds. The time doubles with each failure, the first one included.
const RELAPSE_HOLD: Span = Span(1_000 * MS);
/// Maximum time for which a circuit that failed while half open stays open.
const MAX_RELAPSE_HOLD: Span = Span(16_000 * MS);
/// Maximum number of doublings of [`RELAPSE_HOLD`].
const MAX_RELAPSE_DOUBLINGS: u32 = 5;
/// Minimum rate of probes, so that the interval between two probes is finite.
const MIN_PROBES_PER_SECOND: f64 = 0.01;

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// A regular call may be made.
    Call,
    /// The call may be made as one of the few probes of an open circuit.
    Probe,
    /// No call may be made: the circuit is open, or half open and this call is not in the permitted fraction.
    Rejected,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open {
        since: Time,
        /// The earliest time of the next probe.
        next_probe: Time,
    },
    HalfOpen {
        step: usize,
        since: Time,
        /// Successful calls in this step.
        succeeded: u16,
        /// Accumulated fractions of the next call, in eighths.
        credit: u32,
    },
}

/// One server's circuit breaker for one upstream.
#[derive(Debug)]
pub struct CircuitBreaker {
    window: ObservationWindow,
    state: State,
    probes_per_second: f64,
    /// The number of servers that share the rate of probes.
    servers: f64,
    others: PeerObservations,
    /// Consecutive failures while half open.
    relapses: u32,
    /// Until this time a response that other servers got doesn't make the circuit half open.
    ignore_others_until: Time,
    log_lines: Vec<String>,
}

impl CircuitBreaker {
    /// A closed circuit. `probes_per_second` is the rate at which the `servers` of the fleet together may
    /// probe a dead upstream.
    pub fn new(probes_per_second: f64, servers: usize) -> Self {
        Self {
            window: ObservationWindow::default(),
            state: State::Closed,
            probes_per_second: probes_per_second.max(MIN_PROBES_PER_SECOND),
            servers: servers.max(1) as f64,
            others: PeerObservations::default(),
            relapses: 0,
            ignore_others_until: Time(0),
            log_lines: Vec::new(),
        }
    }

    /// This server's own observation over the window.
    pub fn observation(&self, now: Time) -> Observation {
        self.window.sum(now)
    }

    /// Replaces the observations of other servers. `random` is uniform between 0 and 1.
    pub fn update_peer_observations(&mut self, now: Time, others: PeerObservations, random: f64) {
        self.others = others;
        self.update(now, random);
    }

    /// Records a call of this server that ended after `took`. `random` is uniform between 0 and 1.
    pub fn call_ended(&mut self, now: Time, outcome: Outcome, took: Span, random: f64) {
        // The upstream rejected the call because it is full, so it is up.
        if outcome == Outcome::Rejected {
            return;
        }
        self.window.add(now, outcome, took);
        let is_success = outcome == Outcome::Success;
        match &mut self.state {
            State::HalfOpen { succeeded, .. } if is_success => *succeeded = succeeded.saturating_add(1),
            State::HalfOpen { .. } => self.relapse(now, random),
            State::Open { .. } if is_success => {
                self.relapses = 0;
                self.half_open(now, "a probe succeeded");
            }
            State::Open { .. } | State::Closed => {}
        }
        self.update(now, random);
    }

    /// Whether a call may be made now. A permitted probe counts as made. `random` is uniform between 0 and 1.
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
            State::HalfOpen { step, credit, .. } => {
                *credit += HALF_OPEN_EIGHTHS[*step];
                if *credit < ALL_EIGHTHS {
                    return Admission::Rejected;
                }
                *credit -= ALL_EIGHTHS;
                Admission::Call
            }
        }
    }

    /// Whether the circuit is closed, so that all calls go through.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Log lines about changes of the state since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Mean interval between two probes of one server, in seconds.
    fn probe_gap_s(&self) -> f64 {
        self.servers / self.probes_per_second
    }

    /// The time of the probe after this one: a random 0.5 to 1.5 times the mean interval, so that servers
    /// don't probe in step.
    fn following_probe(&self, now: Time, random: f64) -> Time {
        time_after(now, span_from_seconds(self.probe_gap_s() * (0.5 + random)))
    }

    /// Opens a half-open circuit again, for longer with each failure.
    fn relapse(&mut self, now: Time, random: f64) {
        self.relapses += 1;
        let factor = 1 << self.relapses.min(MAX_RELAPSE_DOUBLINGS);
        let hold = RELAPSE_HOLD.0.saturating_mul(factor).min(MAX_RELAPSE_HOLD.0);
        self.ignore_others_until = time_after(now, Span(hold));
        self.open(now, random, "a call failed while the circuit was half open");
    }

    fn open(&mut self, now: Time, random: f64, why: &str) {
        self.log_lines.push(format!("the circuit to the upstream opens, calls are rejected: {why}"));
        // The first probe is at a random point of the interval; otherwise all servers that detected the
        // failure at the same time would probe at the same time.
        let next_probe = time_after(now, span_from_seconds(self.probe_gap_s() * random));
        self.state = State::Open { since: now, next_probe };
    }

    fn half_open(&mut self, now: Time, why: &str) {
        self.log_lines
            .push(format!("the circuit to the upstream is half open, few calls go through at first: {why}"));
        self.window.clear();
        self.state = State::HalfOpen { step: 0, since: now, succeeded: 0, credit: ALL_EIGHTHS - 1 };
    }

    fn update(&mut self, now: Time, random: f64) {
        match self.state {
            State::Closed => {
                if let Some(why) = self.reason_to_open(now) {
                    self.open(now, random, &why);
                }
            }
            State::Open { since, .. } => {
                // The circuit stays open for a minimum time, because observations of other servers may
                // predate the failure. If only the path from this server is broken, the first call opens the
                // circuit again, and each such failure lengthens the time for which responses to other
                // servers are ignored.
                let old_enough =
                    now >= self.ignore_others_until && now >= time_after(since, MAX_OBSERVATION_AGE);
                if self.others.answered > 0 && old_enough {
                    let why = format!("the upstream responds to {} other servers", self.others.answered);
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

    /// Why a closed circuit must open, if it must.
    fn reason_to_open(&self, now: Time) -> Option<String> {
        let own = self.observation(now);
        let PeerObservations { answered, dead } = self.others;
        if own.is_dead() {
            let calls = own.failed + own.timed_out;
            return Some(format!(
                "all of the last {calls} calls of this server failed; the upstream responds to {answered} other servers and is dead for {dead}"
            ));
        }
        let nothing_known = own == Observation::default();
        let others_agree = dead >= MIN_OBSERVERS && answered == 0;
        (nothing_known && others_agree)
            .then(|| format!("{dead} other servers found the upstream dead, and none got a response"))
    }

    /// Starts the next step of a half-open circuit, or closes it after the last one.
    fn next_step(&mut self, now: Time, step: usize) {
        if step < HALF_OPEN_EIGHTHS.len() {
            self.state = State::HalfOpen { step, since: now, succeeded: 0, credit: 0 };
            return;
        }
        self.relapses = 0;
        self.log_lines.push("the circuit to the upstream is closed, all calls go through".into());
        self.state = State::Closed;
    }
}

#[cfg(test)]
mod tests;
