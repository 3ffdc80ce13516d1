//! Shared by the model's tests: days made for one thing, and nodes that break rules on purpose.
#![allow(dead_code)]

use gradepin_admission::{RequestId, Span, Time};
use gradepin_core::messages::{Effect, Input, Response};
use gradepin_core::timestamp::Timestamp;
use gradepin_model::policies::{Kind, Node, NodeFactories, Start};
use gradepin_model::scenario::{Fault, FaultKind, Ranges, Scenario};
use gradepin_model::world::{NodeFactory, Order, Outcome, World};
use std::collections::HashMap;

/// The seed of a random test: told, and taken from the environment.
pub fn seed(default: u64) -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(default);
    println!("SEED={seed}");
    seed
}

/// A day of the brief's ranges with some of them set.
pub fn scenario(seed: u64, settings: &[(&str, &str)]) -> Scenario {
    let mut ranges = Ranges::specified();
    for (name, value) in settings {
        ranges.set(name, value).expect("settings of the test make sense");
    }
    ranges.draw(seed)
}

/// A short, small day without troubles.
pub fn small(seed: u64, more: &[(&str, &str)]) -> Scenario {
    let base = [("seconds", "12"), ("servers", "4"), ("proxies", "3"), ("troubles", "none")];
    scenario(seed, &[&base, more].concat())
}

pub fn fault(at_s: f64, len_s: f64, what: FaultKind, on: &[usize]) -> Fault {
    Fault { at_s, len_s, what, on: on.to_vec() }
}

pub fn play(scenario: Scenario, kind: Kind) -> Outcome {
    World::new(scenario, kind).expect("a whole day").play().expect("an end")
}

/// Plays with the books checked every so many events.
pub fn audited(scenario: Scenario, kind: Kind, every: u64) -> (Outcome, u64) {
    let mut world = World::new(scenario, kind).expect("a whole day");
    let (mut events, mut audits) = (0, 0);
    let end = world.end();
    while world.step(end) {
        events += 1;
        if events % every == 0 {
            world.audit().expect("books that fit");
            audits += 1;
        }
    }
    world.audit().expect("books that fit");
    (world.play().expect("an end"), audits)
}

/// Rules that a [`Careless`] node breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Every so many answers are never sent.
    Forgets,
    /// Every so many answers are sent twice.
    Repeats,
    /// No table of keys: each try of a keyed request runs.
    RunsAgain,
    /// What ran is turned away when it comes again.
    TurnsAway,
    /// Whatever comes is run, drain or not.
    RunsInDrain,
    /// Everything at once.
    Crowds,
    /// As many at once as a warm server survives, warm or cold.
    KnowsNoCold,
}

impl Defect {
    /// How many it has open at the most, or of one that knows no cold, how many it runs. A sound one waits for no crowd.
    fn most_open(self) -> usize {
        match self {
            Self::Crowds => usize::MAX,
            // Six cores with eight a core, less what the module leaves free as well.
            Self::KnowsNoCold => 40,
            _ => 9,
        }
    }
}

/// A node that runs whatever comes and keeps nothing but what it must to answer; with one fault.
pub struct Careless {
    defect: Defect,
    open: HashMap<RequestId, (u64, i32)>,
    ran: HashMap<String, RequestId>,
    /// Runs, also those that nobody waits for.
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

    fn refuse(conn: u64, seq: i32) -> Effect {
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
                    if again && self.defect == Defect::TurnsAway {
                        effects.push(Self::refuse(conn, seq));
                        continue;
                    }
                    let open =
                        if self.defect == Defect::KnowsNoCold { self.running } else { self.open.len() };
                    if open >= self.defect.most_open() {
                        effects.push(Self::refuse(conn, seq));
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
                    if odd && self.defect == Defect::Forgets {
                        continue;
                    }
                    let answer = Response::Served(std::sync::Arc::new(result));
                    if odd && self.defect == Defect::Repeats {
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

/// A day with careless nodes.
pub fn careless(scenario: Scenario, defect: Defect) -> Outcome {
    World::with(scenario, Careless::node_factory(defect), Order::Forward)
        .expect("a whole day")
        .play()
        .expect("an end")
}
