//! A share of the dependency below one call, on a single server: whatever the outcome of its calls, the calls
//! and their lingering stay within the share in every window.

mod common;
use common::*;
use gradepin_admission::{Action, Controller, Event, Outcome, Span, Time};
use serde_json::json;

/// Window of the share, from `common::base`.
const SPAN_MS: u64 = 5_000;
/// Time that a call lingers after its timeout, from `common::base`.
const LINGER_MS: u64 = 200;
/// Step of the simulated time.
const STEP_MS: u64 = 5;

/// A server with more requests than its share of calls allows, and the calls that it makes.
struct Server {
    controller: Controller,
    now_ms: u64,
    requests: u64,
    /// Calls in flight: request, start in ms, end in ms, and outcome.
    in_flight: Vec<(String, u64, u64, Outcome)>,
    /// Start and end, in ms, of the time that each call was outstanding, its lingering included.
    outstanding: Vec<(u64, u64)>,
}

impl Server {
    fn new(share: f64) -> Self {
        let controller = Controller::new(Self::settings(share), 11, Time(0));
        Self { controller, now_ms: 0, requests: 0, in_flight: Vec::new(), outstanding: Vec::new() }
    }

    fn settings(share: f64) -> gradepin_admission::Settings {
        let mut set = base();
        set["specifics"]["calls_out"] = json!(share);
        set["specifics"]["class_skip_worth"] = json!([0.0, 0.0]);
        settings(set)
    }

    /// Changes the share, as a reload or a lease does.
    fn set_share(&mut self, share: f64) {
        self.controller.set_global_settings(Self::settings(share).split().global);
    }

    /// Advances the time by `ms` milliseconds, in which each call takes `takes_ms`.
    fn run_for(&mut self, ms: u64, takes_ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now_ms += STEP_MS;
            let mut events = Vec::new();
            for (name, since, _, outcome) in self.in_flight.extract_if(.., |call| call.2 <= self.now_ms) {
                let took = Span((self.now_ms - since) * MS);
                events.push(Event::UpstreamCallEnded { id: id(&name), outcome, took });
                if outcome == Outcome::Success {
                    events.push(Event::Completed { id: id(&name), outcome, took });
                }
            }
            if self.now_ms.is_multiple_of(50) {
                self.requests += 1;
                events.push(Event::Arrived(read(&format!("r{}", self.requests))));
            }
            while !events.is_empty() {
                let actions = at(&mut self.controller, self.now_ms, std::mem::take(&mut events));
                for action in actions {
                    match action {
                        Action::Run(id) => events.push(Event::UpstreamCallNeeded(id)),
                        // A request that fails while it waits for its call ends its run.
                        Action::Fail(id) => {
                            self.in_flight.retain(|(name, ..)| *name != *id.0);
                            events.push(Event::Completed { id, outcome: Outcome::Stopped, took: Span(0) });
                        }
                        Action::CallUpstream { id, timeout } => self.called(&id.0, timeout.0 / MS, takes_ms),
                        _ => {}
                    }
                }
            }
        }
    }

    fn called(&mut self, name: &str, timeout_ms: u64, takes_ms: u64) {
        // A timeout of 0 stands for the deadline of the class.
        let timeout_ms = if timeout_ms == 0 { 4_000 } else { timeout_ms };
        let late = takes_ms > timeout_ms;
        let outcome = if late { Outcome::TimedOut } else { Outcome::Success };
        // The end is reported at the next step.
        let until =
            (self.now_ms + takes_ms.min(timeout_ms)).next_multiple_of(STEP_MS).max(self.now_ms + STEP_MS);
        self.in_flight.push((name.to_string(), self.now_ms, until, outcome));
        self.outstanding.push((self.now_ms, until + if late { LINGER_MS } else { 0 }));
    }

    /// Maximum over all windows of the mean number of outstanding calls.
    fn max_mean(&self) -> f64 {
        let outstanding_ms = |from: u64| -> u64 {
            let to = from + SPAN_MS;
            self.outstanding
                .iter()
                .map(|(since, until)| (*until).min(to).saturating_sub((*since).max(from)))
                .sum()
        };
        let most = (0..self.now_ms).step_by(STEP_MS as usize).map(outstanding_ms).max();
        most.unwrap_or(0) as f64 / SPAN_MS as f64
    }
}

/// Guards against timed-out calls that stop counting when they no longer linger, instead of at the end of the
/// window: servers whose calls hung used two to three times their share.
#[test]
fn timed_out_calls_stay_within_the_share() {
    for share in [0.05, 0.08, 0.12, 0.2, 0.4, 0.9] {
        for (warm_ms, takes_ms) in [(0, 9_000), (8_000, 9_000), (8_000, 400)] {
            let mut server = Server::new(share);
            server.run_for(warm_ms, 20);
            let warm = server.outstanding.len();
            server.run_for(20_000, takes_ms);
            let which = format!("share {share}, {takes_ms} ms after {warm_ms} ms warm");
            println!(
                "{which}: mean {:.3}, {warm} and {} calls",
                server.max_mean(),
                server.outstanding.len() - warm
            );
            assert!(server.max_mean() <= share + 1e-9, "{which}: mean {:.3}", server.max_mean());
            assert!(server.outstanding.len() > warm, "{which}: no further calls");
        }
    }
}

/// Guards against a share that is 0 for a moment, as at the start of a lease. It scheduled the next call days
/// ahead, and the server made no more calls after a reload set a share below one call.
#[test]
fn temporary_share_of_zero_does_not_delay_later_calls() {
    let mut server = Server::new(3.0);
    server.set_share(0.0);
    server.run_for(400, 20);
    server.set_share(3.0);
    server.run_for(2_000, 20);
    assert!(server.outstanding.len() > 20, "{} calls", server.outstanding.len());
    let before = server.outstanding.len();
    server.set_share(0.0);
    server.run_for(400, 20);
    server.set_share(0.4);
    server.run_for(10_000, 20);
    assert!(server.outstanding.len() > before + 20, "{} further calls", server.outstanding.len() - before);
}
