//! Budget of servers in slow start, checked at every event in fleets of 1 to 300 servers, and mass faults in fleets of
//! 300. Every server is the real reducer; clients respect the advice of cold servers or ignore it.

mod common;

use common::{Defect, careless, fault, seed};
use gradepin_admission::{RequestId, Time};
use gradepin_core::messages::{Effect, Input, Response};
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use gradepin_model::policies::{Kind, Node, NodeFactories, Start};
use gradepin_model::scenario::{FaultKind, Scenario};
use gradepin_model::service_report::rules::{RuleChecker, RuleLimits, SlowStart, Violation};
use gradepin_model::service_report::slow_start::{budget, sustained_concurrency};
use gradepin_model::world::{NodeFactory, Order, Outcome, World};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// From `policies::settings`: smallest fraction of the speed, and seconds until full speed.
const COLD_SPEED_FRACTION: f64 = 0.21;
const COLD_S: f64 = 18.0;
/// Runs per core that a warm server sustains, from the rule limits.
const MAX_CONCURRENCY_PER_CORE: f64 = 8.0;

/// A scenario in which the servers are as cold as the settings allow, with this many cores each.
fn cold_day(seed: u64, servers: usize, cores: u32, more: &[(&str, &str)]) -> Scenario {
    let (count, proxies) = (servers.to_string(), (3 + servers / 20).to_string());
    let base = [
        ("servers", &count[..]),
        ("proxies", &proxies[..]),
        // Few servers receive few requests, so they need a longer run.
        ("seconds", if servers > 5 { "7" } else { "20" }),
        ("load", "0.9"),
        ("troubles", "none"),
        ("retry", "budgeted,hasty"),
        ("pick", "round,two"),
    ];
    let mut scenario = common::scenario(seed, &[&base[..], more].concat());
    for machine in &mut scenario.machines {
        let times = f64::from(cores) / f64::from(machine.cores);
        (machine.cores, machine.knee) = (cores, machine.knee * times);
        machine.memory_kb *= times;
        (machine.cold_from, machine.cold_s) = (COLD_SPEED_FRACTION, COLD_S);
    }
    scenario
}

/// Sets whether all client proxies respect the servers' advice, or none.
fn with_advice(mut scenario: Scenario, respects_advice: bool) -> Scenario {
    scenario.proxies.iter_mut().for_each(|proxy| proxy.respects_advice = respects_advice);
    scenario
}

fn all(scenario: &Scenario) -> Vec<usize> {
    (0..scenario.machines.len()).collect()
}

fn zone(scenario: &Scenario, zone: usize) -> Vec<usize> {
    all(scenario).into_iter().filter(|machine| scenario.machines[*machine].zone == zone).collect()
}

/// Mass faults: all servers restart at once, the same while the list service is down, or a zone is lost and returns
/// cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MassFault {
    Restart,
    SilentList,
    LostZone,
}

impl MassFault {
    const ALL: [Self; 3] = [Self::Restart, Self::SilentList, Self::LostZone];

    fn applied_to(self, mut scenario: Scenario) -> Scenario {
        let most = (0..3).map(|zone_no| zone(&scenario, zone_no)).max_by_key(Vec::len).unwrap_or_default();
        let lost = scenario.machines[most[0]].zone;
        scenario.faults = match self {
            Self::Restart => vec![fault(1.5, 0.5, FaultKind::Crash, &all(&scenario))],
            Self::SilentList => {
                vec![
                    fault(1.0, 4.0, FaultKind::RegistryAway, &[]),
                    fault(1.5, 0.5, FaultKind::Crash, &all(&scenario)),
                ]
            }
            Self::LostZone => vec![
                fault(1.5, 1.5, FaultKind::ZoneCut { zone: lost }, &[]),
                fault(1.5, 1.5, FaultKind::Crash, &most),
            ],
        };
        scenario
    }
}

/// Runs and answers of the servers, compared with the requests sent.
#[derive(Debug, Default)]
struct Provenance {
    started: u64,
    served: u64,
    mismatches: Vec<String>,
}

/// Wraps a node and compares each run and result with the request sent.
struct ProvenanceCheck {
    inner: Box<dyn Node>,
    sent: HashMap<RequestId, (usize, Vec<u8>)>,
    asked: HashMap<(u64, i32), Vec<u8>>,
    provenance: Arc<Mutex<Provenance>>,
}

impl ProvenanceCheck {
    fn node_factory(provenance: &Arc<Mutex<Provenance>>) -> NodeFactory {
        let provenance = Arc::clone(provenance);
        Box::new(move |starts: &NodeFactories, start: Start, registration: Registration| {
            Box::new(Self {
                inner: starts.node(Kind::Gradepin, start, registration),
                sent: HashMap::new(),
                asked: HashMap::new(),
                provenance: Arc::clone(&provenance),
            })
        })
    }

    fn check_effect(&self, effect: &Effect, classes: &[&str]) {
        let mut provenance = self.provenance.lock().expect("mutex is not poisoned");
        match effect {
            Effect::StartRun { id, class, body, .. } => {
                provenance.started += 1;
                let same = self.sent.get(id).is_some_and(|(sent, bytes)| {
                    classes[*sent] == class.profile.name && bytes[..] == body[..]
                });
                if !same {
                    provenance.mismatches.push(format!(
                        "begun: {id:?} {} {:?}",
                        class.profile.name,
                        &body[..]
                    ));
                }
            }
            Effect::Respond {
                connection: conn, sequence: seq, response: Response::Served(result), ..
            } => {
                // In this simulation the result equals the body, so it identifies its request.
                provenance.served += 1;
                if self.asked.get(&(*conn, *seq)).is_none_or(|body| body[..] != result[..]) {
                    provenance.mismatches.push(format!("served: {conn} {seq} {:?}", &result[..]));
                }
            }
            _ => {}
        }
    }
}

impl Node for ProvenanceCheck {
    fn step(&mut self, moment: Timestamp, inputs: &mut Vec<Input>, effects: &mut Vec<Effect>) {
        const CLASSES: [&str; 4] = ["sheet-view", "deep-zoom", "label-read", "label-save"];
        for input in inputs.iter() {
            if let Input::Request { connection: conn, sequence: seq, request: call } = input {
                let class = call.class.slot();
                self.sent.insert(call.id.clone(), (class, call.body.to_vec()));
                self.asked.insert((*conn, *seq), call.body.to_vec());
            }
        }
        let before = effects.len();
        self.inner.step(moment, inputs, effects);
        effects[before..].iter().for_each(|effect| self.check_effect(effect, &CLASSES));
    }

    fn wake_at(&self) -> Option<Time> {
        self.inner.wake_at()
    }
}

/// Plays a scenario and compares all runs and answers with the requests; no rule may be violated.
fn play_checked(scenario: Scenario, which: &str) -> Outcome {
    let provenance = Arc::new(Mutex::new(Provenance::default()));
    let world = World::with(scenario, ProvenanceCheck::node_factory(&provenance), Order::Forward)
        .expect("a valid scenario");
    let outcome = world.play().expect("the simulation ends");
    assert_eq!(outcome.violations, [], "{which}");
    assert_eq!(outcome.unsettled, [], "{which}");
    assert_eq!(outcome.report.request_states[0], 0, "{which}: requests without an outcome");
    assert_eq!(outcome.report.total.count, outcome.total.asked, "{which}");
    let provenance = provenance.lock().expect("mutex is not poisoned");
    assert_eq!(provenance.mismatches, [] as [&str; 0], "{which}");
    assert!(provenance.started > 0 && provenance.served > 0, "{which}: {provenance:?}");
    outcome
}

/// The operators' condition in fleets of every size: at each event, no cold server has more concurrent runs than its
/// budget, nor a higher average than it sustains. One core allows 2.5 to 8 runs, six allow 14.8 to 48, and 24 allow at
/// least 59, so allowances below, across and above 30 are covered.
#[test]
fn cold_servers_stay_within_their_budget_at_every_event() {
    let seed = seed(41);
    let allowed =
        |cores: u32, share: f64| sustained_concurrency(f64::from(cores), MAX_CONCURRENCY_PER_CORE, share);
    assert!(
        allowed(1, 1.0) < 30.0
            && allowed(6, COLD_SPEED_FRACTION) < 30.0
            && allowed(24, COLD_SPEED_FRACTION) > 30.0
    );
    for (servers, cores) in [(1, 6), (2, 24), (5, 1), (5, 6), (20, 6), (30, 1), (30, 6), (100, 6), (300, 1)] {
        let mut events_checked = 0;
        for respects_advice in [true, false] {
            // In large fleets, each fault is combined with one kind of client only.
            for mass_fault in MassFault::ALL
                .into_iter()
                .filter(|mass_fault| servers < 100 || (*mass_fault == MassFault::Restart) == respects_advice)
            {
                let scenario =
                    mass_fault.applied_to(with_advice(cold_day(seed, servers, cores, &[]), respects_advice));
                let which = format!(
                    "{servers} servers of {cores} cores, {mass_fault:?}, told {respects_advice}, SEED={seed}"
                );
                let SlowStart { events, max_concurrent_fraction, max_mean_fraction } =
                    play_checked(scenario, &which).slow_start;
                println!(
                    "{which}: {events} events, {max_concurrent_fraction:.2} of the budget, {max_mean_fraction:.2} of the mean"
                );
                assert!(events > 0, "{which}: no event of a server in slow start");
                assert!(max_concurrent_fraction <= 1.0 && max_mean_fraction <= 1.0, "{which}");
                events_checked += events;
            }
        }
        // The number of events depends on the seed.
        assert!(
            events_checked > 90,
            "{servers} servers of {cores} cores: {events_checked} events of cold servers"
        );
    }
}

/// Guards against a check that can't fail: cold servers run as many requests as a warm one sustains.
#[test]
fn servers_without_slow_start_exceed_the_budget() {
    // High load with little work for reading; otherwise reading alone occupies the cores.
    let drawn = || with_advice(cold_day(seed(42), 5, 6, &[("load", "6"), ("read_share", "0.01")]), false);
    let has = |outcome: &Outcome, which: fn(&Violation) -> bool| {
        outcome.violations.iter().any(|violations_of| which(&violations_of.violation))
    };
    let outcome = careless(MassFault::Restart.applied_to(drawn()), Defect::IgnoresSlowStart);
    assert!(
        has(&outcome, |violation| matches!(violation, Violation::SlowStart { .. })),
        "{:?}",
        outcome.slow_start
    );
    assert!(
        has(&outcome, |violation| matches!(violation, Violation::Overloaded(_))),
        "{:?}",
        outcome.slow_start
    );
    assert!(outcome.slow_start.max_concurrent_fraction > 1.0 && outcome.slow_start.max_mean_fraction > 1.0);
    // Warm servers sustain exactly that load.
    let fault_free = careless(drawn(), Defect::IgnoresSlowStart);
    assert!(!has(&fault_free, |violation| matches!(
        violation,
        Violation::SlowStart { .. } | Violation::Overloaded(_)
    )));
    assert_eq!(fault_free.slow_start, SlowStart::default());
}

/// Guards the check of the budget: the first run over it is reported with its server, the one before is not.
#[test]
fn the_run_over_the_budget_is_reported() {
    for (cores, share) in [(1.0, 0.0), (1.0, 0.21), (6.0, 0.21), (6.0, 0.46), (12.0, 0.21), (24.0, 0.5)] {
        let most = budget(sustained_concurrency(cores, MAX_CONCURRENCY_PER_CORE, share)) as u64;
        let violations_of = |runs: u64| {
            let mut rules = RuleChecker::new(RuleLimits::default());
            rules.started(7, cores, 1e9);
            rules.speed_fraction(7, share);
            for run in 0..runs {
                rules.read(7, run, 1_000, 9_000, None);
                rules.began(run, 1_000);
            }
            rules.violations().to_vec()
        };
        assert_eq!(violations_of(most), [], "{cores} cores at {share}");
        let over = violations_of(most + 1);
        assert_eq!(over.len(), 1, "{cores} cores at {share}: {over:?}");
        let runs = most as u32 + 1;
        assert_eq!(
            (over[0].server, &over[0].violation),
            (7, &Violation::SlowStart { runs, limit: most as u32 })
        );
    }
}

/// Mass faults in a fleet of 300 servers: no request is lost, answered twice or run twice, and every run and answer
/// matches its request.
#[test]
fn mass_faults_at_three_hundred_servers_break_no_rule() {
    for (mass_fault, default) in
        [(MassFault::Restart, 51), (MassFault::SilentList, 52), (MassFault::LostZone, 53)]
    {
        let seed = seed(default);
        let retry_policies =
            [("retry", "unlimited,hasty,copies"), ("pick", "round,two,hash"), ("load", "0.35")];
        let outcome = play_checked(
            mass_fault.applied_to(cold_day(seed, 300, 1, &retry_policies)),
            &format!("{mass_fault:?}, SEED={seed}"),
        );
        println!(
            "{mass_fault:?}: {} asked, {} served, {} tries",
            outcome.total.asked, outcome.total.served, outcome.total.tries
        );
        assert!(outcome.slow_start.events > 300, "{mass_fault:?}: {:?}", outcome.slow_start);
        assert!(outcome.total.served * 5 > outcome.total.asked, "{mass_fault:?}: {:?}", outcome.total);
    }
}
