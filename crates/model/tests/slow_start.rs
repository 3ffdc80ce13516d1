//! The budget of a server in slow start, at every event of fleets of 1 to 300 servers, and mass faults at 300: the real
//! reducer on every server, with callers that heed what a cold server tells them and with callers that don't.

mod common;

use common::{Defect, careless, fault, seed};
use gradepin_admission::{RequestId, Time};
use gradepin_core::messages::{Effect, Input, Response};
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use gradepin_model::policies::{Kind, Node, NodeFactories, Start};
use gradepin_model::scenario::{FaultKind, Scenario};
use gradepin_model::service_report::rules::{RuleChecker, RuleLimits, SlowStart, Violation};
use gradepin_model::service_report::slow_start::{budget, survived};
use gradepin_model::world::{NodeFactory, Order, Outcome, World};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// What the model's servers are told, in `policies::settings`: the least share of the speed, and seconds until warm.
const COLD_FROM: f64 = 0.21;
const COLD_S: f64 = 18.0;
/// From the rules' figures.
const TIP: f64 = 8.0;

/// A day of so many servers that are as cold as the settings allow, each of so many cores.
fn cold_day(seed: u64, servers: usize, cores: u32, more: &[(&str, &str)]) -> Scenario {
    let (count, proxies) = (servers.to_string(), (3 + servers / 20).to_string());
    let base = [
        ("servers", &count[..]),
        ("proxies", &proxies[..]),
        // Few servers are asked little.
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
        (machine.cold_from, machine.cold_s) = (COLD_FROM, COLD_S);
    }
    scenario
}

/// All of the callers heed what servers tell them of their start, or none.
fn told(mut scenario: Scenario, respects_advice: bool) -> Scenario {
    scenario.proxies.iter_mut().for_each(|proxy| proxy.respects_advice = respects_advice);
    scenario
}

fn all(scenario: &Scenario) -> Vec<usize> {
    (0..scenario.machines.len()).collect()
}

fn zone(scenario: &Scenario, zone: usize) -> Vec<usize> {
    all(scenario).into_iter().filter(|machine| scenario.machines[*machine].zone == zone).collect()
}

/// The mass faults: all servers restart at once, the list falls silent beside that, a zone is lost and comes back cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mass {
    Restart,
    SilentList,
    LostZone,
}

impl Mass {
    const ALL: [Self; 3] = [Self::Restart, Self::SilentList, Self::LostZone];

    fn on(self, mut scenario: Scenario) -> Scenario {
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

/// What servers were given and did, beside what was sent.
#[derive(Debug, Default)]
struct Provenance {
    begun: u64,
    served: u64,
    foreign: Vec<String>,
}

/// A node that holds every run and every result of the one within it against what was sent.
struct Watched {
    within: Box<dyn Node>,
    sent: HashMap<RequestId, (usize, Vec<u8>)>,
    asked: HashMap<(u64, i32), Vec<u8>>,
    seen: Arc<Mutex<Provenance>>,
}

impl Watched {
    fn node_factory(seen: &Arc<Mutex<Provenance>>) -> NodeFactory {
        let seen = Arc::clone(seen);
        Box::new(move |starts: &NodeFactories, start: Start, told: Registration| {
            Box::new(Self {
                within: starts.node(Kind::Gradepin, start, told),
                sent: HashMap::new(),
                asked: HashMap::new(),
                seen: Arc::clone(&seen),
            })
        })
    }

    fn look(&self, effect: &Effect, classes: &[&str]) {
        let mut seen = self.seen.lock().expect("no panic before");
        match effect {
            Effect::StartRun { id, class, body, .. } => {
                seen.begun += 1;
                let same = self.sent.get(id).is_some_and(|(sent, bytes)| {
                    classes[*sent] == class.profile.name && bytes[..] == body[..]
                });
                if !same {
                    seen.foreign.push(format!("begun: {id:?} {} {:?}", class.profile.name, &body[..]));
                }
            }
            Effect::Respond {
                connection: conn, sequence: seq, response: Response::Served(result), ..
            } => {
                // A result is made of the body here, so that whose it is can be told.
                seen.served += 1;
                if self.asked.get(&(*conn, *seq)).is_none_or(|body| body[..] != result[..]) {
                    seen.foreign.push(format!("served: {conn} {seq} {:?}", &result[..]));
                }
            }
            _ => {}
        }
    }
}

impl Node for Watched {
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
        self.within.step(moment, inputs, effects);
        effects[before..].iter().for_each(|effect| self.look(effect, &CLASSES));
    }

    fn wake_at(&self) -> Option<Time> {
        self.within.wake_at()
    }
}

/// Plays a day with everything that is run and answered held against what was sent; nothing may be broken.
fn sound(scenario: Scenario, which: &str) -> Outcome {
    let seen = Arc::new(Mutex::new(Provenance::default()));
    let world = World::with(scenario, Watched::node_factory(&seen), Order::Forward).expect("a whole day");
    let outcome = world.play().expect("an end");
    assert_eq!(outcome.violations, [], "{which}");
    assert_eq!(outcome.unsettled, [], "{which}");
    assert_eq!(outcome.report.request_states[0], 0, "{which}: requests with no end");
    assert_eq!(outcome.report.total.count, outcome.total.asked, "{which}");
    let seen = seen.lock().expect("no panic before");
    assert_eq!(seen.foreign, [] as [&str; 0], "{which}");
    assert!(seen.begun > 0 && seen.served > 0, "{which}: {seen:?}");
    outcome
}

/// The operators' term on every day, however few or many servers run: at each event no cold server has more runs at once
/// than its budget, nor more in the mean than it survives. One core allows 2.5 to 8, six allow 14.8 to 48, 24 allow 59 and
/// more: under, over and through 30.
#[test]
fn cold_servers_stay_within_their_budget_at_every_event() {
    let seed = seed(41);
    let allowed = |cores: u32, share: f64| survived(f64::from(cores), TIP, share);
    assert!(allowed(1, 1.0) < 30.0 && allowed(6, COLD_FROM) < 30.0 && allowed(24, COLD_FROM) > 30.0);
    for (servers, cores) in [(1, 6), (2, 24), (5, 1), (5, 6), (20, 6), (30, 1), (30, 6), (100, 6), (300, 1)] {
        let mut looked_at = 0;
        for respects_advice in [true, false] {
            // Of each fault at each size one kind of callers in turn.
            for mass in Mass::ALL
                .into_iter()
                .filter(|mass| servers < 100 || (*mass == Mass::Restart) == respects_advice)
            {
                let scenario = mass.on(told(cold_day(seed, servers, cores, &[]), respects_advice));
                let which = format!(
                    "{servers} servers of {cores} cores, {mass:?}, told {respects_advice}, SEED={seed}"
                );
                let SlowStart { events, max_concurrent_fraction, max_mean_fraction } =
                    sound(scenario, &which).slow_start;
                println!(
                    "{which}: {events} events, {max_concurrent_fraction:.2} of the budget, {max_mean_fraction:.2} of the mean"
                );
                assert!(events > 0, "{which}: no event of a cold server");
                assert!(max_concurrent_fraction <= 1.0 && max_mean_fraction <= 1.0, "{which}");
                looked_at += events;
            }
        }
        // How many there are on one day is the seed's.
        assert!(looked_at > 90, "{servers} servers of {cores} cores: {looked_at} events of cold servers");
    }
}

/// Guards against a check that can't fail: servers that run as many while cold as a warm one survives.
#[test]
fn servers_that_know_no_cold_break_the_budget() {
    // Much comes and little of it is work to read, or reading alone keeps the cores.
    let drawn = || told(cold_day(seed(42), 5, 6, &[("load", "6"), ("read_share", "0.01")]), false);
    let has = |outcome: &Outcome, which: fn(&Violation) -> bool| {
        outcome.violations.iter().any(|broken| which(&broken.violation))
    };
    let outcome = careless(Mass::Restart.on(drawn()), Defect::KnowsNoCold);
    assert!(
        has(&outcome, |breach| matches!(breach, Violation::SlowStart { .. })),
        "{:?}",
        outcome.slow_start
    );
    assert!(has(&outcome, |breach| matches!(breach, Violation::Overloaded(_))), "{:?}", outcome.slow_start);
    assert!(outcome.slow_start.max_concurrent_fraction > 1.0 && outcome.slow_start.max_mean_fraction > 1.0);
    // Warm servers survive just that.
    let calm = careless(drawn(), Defect::KnowsNoCold);
    assert!(!has(&calm, |breach| matches!(breach, Violation::SlowStart { .. } | Violation::Overloaded(_))));
    assert_eq!(calm.slow_start, SlowStart::default());
}

/// Guards the budget's place in the rules: the run that is one too many is told, with its server; the one before isn't.
#[test]
fn the_run_beyond_the_budget_is_told() {
    for (cores, share) in [(1.0, 0.0), (1.0, 0.21), (6.0, 0.21), (6.0, 0.46), (12.0, 0.21), (24.0, 0.5)] {
        let most = budget(survived(cores, TIP, share)) as u64;
        let broken = |runs: u64| {
            let mut rules = RuleChecker::new(RuleLimits::default());
            rules.started(7, cores, 1e9);
            rules.speed_fraction(7, share);
            for run in 0..runs {
                rules.read(7, run, 1_000, 9_000, None);
                rules.began(run, 1_000);
            }
            rules.violations().to_vec()
        };
        assert_eq!(broken(most), [], "{cores} cores at {share}");
        let over = broken(most + 1);
        assert_eq!(over.len(), 1, "{cores} cores at {share}: {over:?}");
        let runs = most as u32 + 1;
        assert_eq!(
            (over[0].server, &over[0].violation),
            (7, &Violation::SlowStart { runs, limit: most as u32 })
        );
    }
}

/// Mass faults at 300 servers: no request is lost, doubled or run twice, and all that is run and served is what was sent.
#[test]
fn mass_faults_at_three_hundred_servers_break_no_rule() {
    for (mass, default) in [(Mass::Restart, 51), (Mass::SilentList, 52), (Mass::LostZone, 53)] {
        let seed = seed(default);
        let retry_policies =
            [("retry", "unlimited,hasty,copies"), ("pick", "round,two,hash"), ("load", "0.35")];
        let outcome =
            sound(mass.on(cold_day(seed, 300, 1, &retry_policies)), &format!("{mass:?}, SEED={seed}"));
        println!(
            "{mass:?}: {} asked, {} served, {} tries",
            outcome.total.asked, outcome.total.served, outcome.total.tries
        );
        assert!(outcome.slow_start.events > 300, "{mass:?}: {:?}", outcome.slow_start);
        assert!(outcome.total.served * 5 > outcome.total.asked, "{mass:?}: {:?}", outcome.total);
    }
}
