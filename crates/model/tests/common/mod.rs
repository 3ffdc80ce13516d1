//! Shared by the model's tests: small scenarios, and nodes that violate rules on purpose.
#![allow(dead_code)]

use gradepin_admission::{RequestId, Span, Time};
use gradepin_core::messages::{Effect, Input, Response};
use gradepin_core::timestamp::Timestamp;
use gradepin_model::policies::{Kind, Node, NodeFactories, Start};
use gradepin_model::scenario::{Fault, FaultKind, Ranges, Scenario};
use gradepin_model::world::{NodeFactory, Order, Outcome, World};
use std::collections::HashMap;

/// Seed of a randomized test; printed, and overridden by the environment variable `SEED`.
pub fn seed(default: u64) -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(default);
    println!("SEED={seed}");
    seed
}

/// A scenario drawn from the specified ranges with some settings changed.
pub fn scenario(seed: u64, settings: &[(&str, &str)]) -> Scenario {
    let mut ranges = Ranges::specified();
    for (name, value) in settings {
        ranges.set(name, value).expect("valid test settings");
    }
    ranges.draw(seed)
}

/// A short, small scenario without faults.
pub fn small(seed: u64, more: &[(&str, &str)]) -> Scenario {
    let base = [("seconds", "12"), ("servers", "4"), ("proxies", "3"), ("troubles", "none")];
    scenario(seed, &[&base, more].concat())
}

pub fn fault(at_s: f64, len_s: f64, what: FaultKind, on: &[usize]) -> Fault {
    Fault { at_s, len_s, what, on: on.to_vec() }
}

pub fn play(scenario: Scenario, kind: Kind) -> Outcome {
    World::new(scenario, kind).expect("a valid scenario").play().expect("the simulation ends")
}

/// Plays a scenario and audits the state of all attempts every `every` events.
pub fn audited(scenario: Scenario, kind: Kind, every: u64) -> (Outcome, u64) {
    let mut world = World::new(scenario, kind).expect("a valid scenario");
    let (mut events, mut audits) = (0, 0);
    let end = world.end();
    while world.step(end) {
        events += 1;
        if events % every == 0 {
            world.audit().expect("consistent state");
            audits += 1;
        }
    }
    world.audit().expect("consistent state");
    (world.play().expect("the simulation ends"), audits)
}

/// Rule that a [`Careless`] node violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Every 20th answer is not sent.
    DropsAnswers,
    /// Every 20th answer is sent twice.
    RepeatsAnswers,
    /// No idempotency keys: every attempt of a keyed request runs.
    RunsAgain,
    /// A repeated request that ran is rejected.
    RejectsRepeats,
    /// Requests run even during the drain.
    RunsInDrain,
    /// No limit on concurrent requests.
    Unlimited,
    /// As many concurrent runs as a warm server sustains, warm or cold.
    IgnoresSlowStart,
}

impl Defect {
    /// Largest number of open requests, or of runs for `IgnoresSlowStart`. Other defects use a low limit that avoids
    /// overload.
    fn max_open(self) -> usize {
        match self {
            Self::Unlimited => usize::MAX,
            // Six cores with eight runs each, minus the margin that the module leaves.
            Self::IgnoresSlowStart => 40,
            _ => 9,
        }
    }
}

/// A node that runs whatever arrives and keeps only the state needed to answer, with one defect.
pub struct Careless {
    defect: Defect,
    open: HashMap<RequestId, (u64, i32)>,
    ran: HashMap<String, RequestId>,
    /// Number of runs, including those whose client has gone.
    running: usize,
    count: u64,
    next_report: Time,
}

impl Careless {
    pub fn node_factory(defect: Defect) -> NodeFactory {
        Box::new(move |_: &NodeFactories, _: Start, _| {
            Box::new(Self {
                defect,
                open: HashMap::new(),
                ran: HashMap::new(),
                running: 0,
                count: 0,
                next_report: Time(0),
            })
        })
    }

    fn reject(conn: u64, seq: i32) -> Effect {
        Effect::Respond {
            connection: conn,
            sequence: seq,
            response: Response::Rejected { retry_after: Span(0), no_failover: false },
            capacity_hint: None,
        }
    }
}

impl Node for Careless {
    fn step(&mut self, moment: Timestamp, inputs: &mut Vec<Input>, effects: &mut Vec<Effect>) {
        for input in inputs.drain(..) {
            match input {
                Input::Request { connection: conn, sequence: seq, request: call } => {
                    let token = call.idempotency_key.as_deref().unwrap_or("").to_string();
                    let again = !token.is_empty() && self.ran.contains_key(&token);
                    if again && self.defect == Defect::RejectsRepeats {
                        effects.push(Self::reject(conn, seq));
                        continue;
                    }
                    let open =
                        if self.defect == Defect::IgnoresSlowStart { self.running } else { self.open.len() };
                    if open >= self.defect.max_open() {
                        effects.push(Self::reject(conn, seq));
                        continue;
                    }
                    self.running += 1;
                    self.ran.insert(token, call.id.clone());
                    self.open.insert(call.id.clone(), (conn, seq));
                    effects.push(Effect::StartRun {
                        link: 1,
                        id: call.id,
                        class: std::sync::Arc::default(),
                        body: std::sync::Arc::new(call.body),
                    });
                }
                Input::RunCompleted { id, result, .. } => {
                    self.running -= 1;
                    let Some((conn, seq)) = self.open.remove(&id) else { continue };
                    self.count += 1;
                    let odd = self.count.is_multiple_of(20);
                    if odd && self.defect == Defect::DropsAnswers {
                        continue;
                    }
                    let answer = Response::Served(std::sync::Arc::new(result));
                    if odd && self.defect == Defect::RepeatsAnswers {
                        effects.push(Effect::Respond {
                            connection: conn,
                            sequence: seq,
                            response: answer.clone(),
                            capacity_hint: None,
                        });
                    }
                    effects.push(Effect::Respond {
                        connection: conn,
                        sequence: seq,
                        response: answer,
                        capacity_hint: None,
                    });
                }
                Input::Cancel { connection: conn, sequence: seq } => {
                    self.open.retain(|_, open| *open != (conn, seq))
                }
                _ => {}
            }
        }
        if moment.now >= self.next_report {
            self.next_report = Time(moment.now.0 + 400_000_000);
            effects.push(Effect::ReportReadiness { ready: true });
        }
    }

    fn wake_at(&self) -> Option<Time> {
        Some(self.next_report)
    }
}

/// Plays a scenario with careless nodes.
pub fn careless(scenario: Scenario, defect: Defect) -> Outcome {
    World::with(scenario, Careless::node_factory(defect), Order::Forward)
        .expect("a valid scenario")
        .play()
        .expect("the simulation ends")
}
