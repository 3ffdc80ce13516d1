//! Hard cases of the fleet model: whole scenarios in virtual time.

mod common;

use common::{Defect, audited, careless, fault, play, scenario, seed, small};
use gradepin_model::policies::Kind;
use gradepin_model::scenario::{FaultKind, RetryPolicy, Scenario};
use gradepin_model::service_report::rules::Violation;
use gradepin_model::world::{AttemptOutcome, Order, Outcome, World};
use std::thread;

const FAULT_KINDS: &str = "burst,crash,slow,deploy,hang,pause,registry_away,zone_cut";

fn to_json(outcome: &Outcome) -> String {
    serde_json::to_string(outcome).expect("the outcome serializes to JSON")
}

/// Guards against a request that is lost or counted twice: at many times of a scenario with all faults and retry
/// policies, each request is in exactly one state, and the totals of the service report match.
#[test]
fn every_request_has_one_state_at_all_times() {
    let seed = seed(11);
    for kind in Kind::ALL {
        for (retry_policy, discovery) in [("unlimited,hasty,copies", "list"), ("budgeted,none", "registry")] {
            let retry_policies =
                [("retry", retry_policy), ("roster", discovery), ("pick", "round,two,hash"), ("load", "1.1")];
            let scenario = small(
                seed,
                &[&retry_policies[..], &[("troubles", FAULT_KINDS), ("trouble_count", "8")]].concat(),
            );
            let (outcome, audits) = audited(scenario, kind, 29);
            let places: u64 = outcome.report.request_states.iter().sum();
            assert!(audits > 100, "{audits}");
            assert_eq!(
                (outcome.report.request_states[0], places),
                (0, outcome.total.asked),
                "{kind:?} {retry_policy}"
            );
            assert_eq!(outcome.report.total.count, outcome.total.asked);
            let priority_weight: f64 = outcome.report.classes.iter().map(|sum| sum.requested).sum();
            assert!((priority_weight - outcome.report.total.requested).abs() < 1e-6);
            assert_eq!(outcome.unsettled, []);
        }
    }
}

/// Guards against results that depend on threads, the order of construction, or earlier runs.
#[test]
fn one_seed_gives_one_result_byte_for_byte() {
    let seed = seed(5);
    let drawn = || scenario(seed, &[("troubles", FAULT_KINDS), ("trouble_count", "5"), ("seconds", "20")]);
    for kind in [Kind::Gradepin, Kind::Dagor] {
        let first = to_json(&play(drawn(), kind));
        let again: Vec<String> = thread::scope(|scope| {
            let threads: Vec<_> = (0..3).map(|_| scope.spawn(|| to_json(&play(drawn(), kind)))).collect();
            threads.into_iter().map(|thread| thread.join().expect("the thread does not panic")).collect()
        });
        assert!(again.iter().all(|other| *other == first), "{kind:?}: threads");
        let make: gradepin_model::world::NodeFactory =
            Box::new(move |factories, start, registration| factories.node(kind, start, registration));
        let backward = World::with(drawn(), make, Order::Backward).unwrap().play().unwrap();
        assert!(to_json(&backward) == first, "{kind:?}: order of construction");
        let mut other = drawn();
        other.seed += 1;
        assert!(to_json(&play(other, kind)) != first, "{kind:?}: another seed gives the same result");
    }
}

/// Guards against random streams that affect each other: with another retry policy at one client proxy, the first
/// attempts stay the same.
#[test]
fn random_streams_are_independent() {
    let asked = |retry_policy: &str| {
        let mut scenario = small(3, &[]);
        scenario.proxies[0].retry_policy = RetryPolicy::named(retry_policy).unwrap();
        let outcome = play(scenario, Kind::Pool);
        let seconds = outcome.course.classes;
        seconds.iter().map(|sums| sums.iter().map(|sum| sum.count).collect::<Vec<_>>()).collect::<Vec<_>>()
    };
    assert_eq!(asked("none"), asked("hasty"));
}

/// Times of all retries in a scenario, in nanoseconds.
fn retries(scenario: &Scenario, kind: Kind) -> Vec<u64> {
    let mut world = World::new(scenario.clone(), kind).unwrap();
    world.record();
    let outcome = world.play().unwrap();
    let mut seen = std::collections::HashSet::new();
    let again = outcome.traces.iter().filter(|trace| !seen.insert(trace.request));
    again.map(|trace| trace.sent).collect()
}

/// Guards against inconsistent state when two events coincide: a retry is sent at the time of a shutdown notice, or of a
/// crash of all but one server, and another one arrives at that time.
#[test]
fn retry_coinciding_with_a_shutdown_notice_or_crash() {
    let seed = seed(2);
    let base = small(seed, &[("load", "1.3"), ("retry", "unlimited")]);
    let sent = retries(&base, Kind::Gradepin);
    assert!(sent.len() > 20, "{}", sent.len());
    for &at in sent.iter().step_by(sent.len() / 6) {
        for what in [FaultKind::Crash, FaultKind::Deploy { batch: 3, drain_s: 3.5, successors: Vec::new() }] {
            let mut scenario = base.clone();
            let mut at_s = at as f64 / 1e9;
            while ((at_s * 1e9) as u64) < at {
                at_s = at_s.next_up();
            }
            scenario.faults = vec![fault(at_s, 5.0, what, &[0, 1, 2])];
            assert_eq!((scenario.faults[0].at_s * 1e9) as u64, at);
            let (outcome, _) = audited(scenario, Kind::Gradepin, 53);
            assert_eq!(outcome.violations, [], "at {at}");
            assert_eq!(outcome.report.request_states[0], 0);
        }
    }
}

/// Guards against an answer that crosses its cancellation and earns weight or counts as a duplicate, and against a
/// hedged request that runs after its client has gone.
#[test]
fn cancellations_cross_answers_and_hedged_requests() {
    let mut scenario = small(seed(6), &[("load", "1.2"), ("retry", "copies")]);
    // Cancellations take long, so that many answers are sent before they arrive.
    (scenario.net.same_ms, scenario.net.cross_ms) = (120.0, 180.0);
    for kind in [Kind::Gradepin, Kind::Pool] {
        let mut world = World::new(scenario.clone(), kind).unwrap();
        world.record();
        let outcome = world.play().unwrap();
        let served =
            outcome.traces.iter().filter(|trace| trace.outcome == AttemptOutcome::Served).count() as u64;
        // More answers than answered requests: the rest crossed a cancellation or answered a hedged request.
        assert!(served > outcome.total.served + 5, "{kind:?}: {served} {}", outcome.total.served);
        let [open, in_time, late, given_up] = outcome.report.request_states;
        assert_eq!((open, in_time + late + given_up), (0, outcome.total.asked));
        assert!(in_time + late <= outcome.total.served);
        assert_eq!(outcome.violations, [], "{kind:?}");
        // Hedged requests whose cancellation arrived before their turn: read but never started.
        let unbegun = outcome.traces.iter().filter(|s| s.read.is_some() && s.started.is_none());
        assert!(unbegun.filter(|s| s.outcome == AttemptOutcome::Open).count() > 3, "{kind:?}");
    }
}

/// A scenario in which a defect shows.
fn scenario_for(defect: Defect, seed: u64) -> Scenario {
    let usual = |load: &str, servers: &str| {
        small(seed, &[("load", load), ("retry", "hasty"), ("servers", servers), ("read_share", "0.05")])
    };
    let mut scenario = match defect {
        // A single server, to which the second attempt must return.
        Defect::RunsAgain | Defect::RejectsRepeats => usual("0.9", "1"),
        Defect::Unlimited | Defect::IgnoresSlowStart => usual("8", "4"),
        Defect::DropsAnswers | Defect::RepeatsAnswers | Defect::RunsInDrain => usual("0.5", "4"),
    };
    match defect {
        // Clients that send a cancellation would withdraw the missing answer.
        Defect::DropsAnswers => scenario.net.cancellation_loss = 1.0,
        Defect::RunsInDrain => {
            let what = FaultKind::Deploy { batch: 4, drain_s: 4.5, successors: Vec::new() };
            scenario.faults = vec![fault(3.0, 5.0, what, &[0, 1, 2, 3])];
        }
        _ => {}
    }
    scenario
}

/// Guards against a checker without effect: each rule is violated by a node made for it and reported with time and
/// attempt.
#[test]
fn rule_violations_are_detected() {
    let seed = seed(8);
    type Is = fn(&Violation) -> bool;
    let cases: [(Defect, Is); 6] = [
        (Defect::DropsAnswers, |b| matches!(b, Violation::Lost { .. })),
        (Defect::RepeatsAnswers, |b| matches!(b, Violation::AnsweredTwice)),
        (Defect::RunsAgain, |b| matches!(b, Violation::RanTwice { .. })),
        (Defect::RejectsRepeats, |b| matches!(b, Violation::RejectedAfterRun { .. })),
        (Defect::RunsInDrain, |b| matches!(b, Violation::RanDuringDrain { .. })),
        (Defect::Unlimited, |b| matches!(b, Violation::Overloaded(_))),
    ];
    for (defect, is) in cases {
        // A client doesn't return to the same server with every seed.
        let found = (seed..seed + 6).find_map(|seed| {
            let outcome = careless(scenario_for(defect, seed), defect);
            outcome.violations.into_iter().find(|record| is(&record.violation))
        });
        let found = found.unwrap_or_else(|| panic!("{defect:?} is not detected"));
        assert!(found.at_ms > 0 && found.server > 0, "{found:?}");
        assert!(found.attempt.is_some() || defect == Defect::Unlimited, "{found:?}");
    }
}

/// Guards against a simulation that fails requests without a cause, and against one without harm from overload.
#[test]
fn low_load_is_served_and_overload_collapses_the_pool() {
    let seed = seed(4);
    for kind in Kind::ALL {
        let mut quiet = small(seed, &[("load", "0.15"), ("servers", "8")]);
        // No run exceeds its latency objective by itself.
        quiet.classes.iter_mut().for_each(|class| class.cv = 0.1);
        let outcome = play(quiet, kind);
        let figure = format!("{:.3}", outcome.report.score);
        assert_eq!(
            (figure.as_str(), outcome.violations.len()),
            ("1.000", 0),
            "{kind:?}: {:?}",
            outcome.report
        );
    }
    let overloaded = || small(seed, &[("load", "1.5")]);
    let (pool, own) = (play(overloaded(), Kind::Pool), play(overloaded(), Kind::Gradepin));
    assert!(pool.report.total.share() < 0.3, "{}", pool.report.total.share());
    assert!(own.report.score > 2.0 * pool.report.score, "{} {}", own.report.score, pool.report.score);
    assert_eq!(own.violations, []);
}

/// Guards against violations during a rolling deployment of all servers while client proxies still know the old ones and
/// successors are cold. A slower list must cause more attempts to stopped servers; otherwise its delay has no effect in
/// the model.
#[test]
fn rolling_deployment_with_cold_successors_and_a_delayed_list() {
    let seed = seed(9);
    let deploy = |notice: &str, discovery: &str| {
        let settings = [("servers", "10"), ("seconds", "40"), ("notice_s", notice), ("roster", discovery)];
        let mut scenario = small(seed, &[&settings[..], &[("load", "0.6"), ("retry", "none")]].concat());
        let all: Vec<usize> = (0..10).collect();
        scenario.faults = vec![fault(
            6.0,
            25.0,
            FaultKind::Deploy { batch: 2, drain_s: 4.0, successors: Vec::new() },
            &all,
        )];
        scenario.machines.iter_mut().for_each(|machine| (machine.cold_from, machine.cold_s) = (0.21, 18.0));
        scenario
    };
    for kind in Kind::ALL {
        let outcome = play(deploy("1..2", "list"), kind);
        assert_eq!(outcome.violations, [], "{kind:?}");
        assert_eq!(outcome.report.request_states[0], 0, "{kind:?}");
    }
    // Attempts sent to a machine between one second after its shutdown notice and its stop.
    let attempts_to_stopped_servers = |notice: &str| {
        let mut world = World::new(deploy(notice, "list"), Kind::Gradepin).unwrap();
        world.record();
        let sent_late = |trace: &&gradepin_model::world::AttemptTrace| {
            let since = trace.sent as f64 / 1e9 - (6.0 + 5.0 * f64::from(trace.machine / 2));
            (1.0..4.0).contains(&since)
        };
        world.play().unwrap().traces.iter().filter(sent_late).count()
    };
    let (soon, late) = (attempts_to_stopped_servers("0"), attempts_to_stopped_servers("3.5..4"));
    assert!(soon < 5 && late > 50, "{soon} {late}");
    let registry = play(deploy("1", "registry"), Kind::Gradepin);
    assert_eq!(registry.violations, []);
    assert!(registry.report.score > 0.5, "{}", registry.report.score);
}

/// Guards against a registry without effect: crashed servers disappear from the clients' views when their leases expire,
/// and remain there while the registry is unreachable.
#[test]
fn leases_expire_unless_the_registry_is_unreachable() {
    let base = |away: bool| {
        let settings = [("roster", "registry"), ("refresh_s", "2"), ("seconds", "40"), ("retry", "none")];
        let mut scenario = small(7, &[&settings[..], &[("load", "0.3"), ("servers", "8")]].concat());
        // One of eight servers: with more heartbeats missing, self-preservation prevents eviction.
        scenario.faults = vec![fault(5.0, 60.0, FaultKind::Crash, &[0])];
        if away {
            scenario.faults.push(fault(4.0, 60.0, FaultKind::RegistryAway, &[]));
        }
        play(scenario, Kind::Pool)
    };
    // Retries in the last ten seconds of arrivals, which are due to attempts at the crashed server.
    let lost =
        |outcome: &Outcome| -> u64 { outcome.course.seconds[30..40].iter().map(|s| s.tries - s.asked).sum() };
    let (there, away) = (base(false), base(true));
    assert_eq!((lost(&there), there.violations.len(), away.violations.len()), (0, 0, 0));
    assert!(lost(&away) > 30, "{}", lost(&away));
}

/// Guards against invalid scenarios that are accepted.
#[test]
fn invalid_scenarios_are_rejected() {
    let error = |change: fn(&mut Scenario)| {
        let mut scenario = small(1, &[]);
        change(&mut scenario);
        World::new(scenario, Kind::Pool).err().map(|error| error.to_string()).unwrap_or_default()
    };
    assert!(error(|scenario| scenario.machines.clear()).contains("machine"));
    assert!(error(|scenario| scenario.proxies.clear()).contains("client proxy"));
    assert!(error(|scenario| scenario.tenants[0].tenant.share = 0.9).contains("shares"));
    let strange = error(|scenario| scenario.faults = vec![fault(1.0, 1.0, FaultKind::Hang, &[9])]);
    assert!(strange.contains("0 to 3") && strange.contains('9'), "{strange}");
}

/// Each fault reduces the score of an otherwise healthy scenario.
#[test]
fn each_fault_reduces_the_score() {
    let quiet = || small(4, &[("load", "0.45"), ("seconds", "20"), ("retry", "none"), ("proxies", "3")]);
    let fault_free = play(quiet(), Kind::Pool);
    for what in [
        FaultKind::Burst { size: 6.0, edge_s: 0.5 },
        FaultKind::Crash,
        FaultKind::Slow { factor: 8.4 },
        FaultKind::Hang,
        FaultKind::Pause,
        FaultKind::ZoneCut { zone: 0 },
    ] {
        let mut scenario = quiet();
        scenario.faults = vec![fault(4.0, 8.0, what.clone(), &[0, 1])];
        let faulty = play(scenario, Kind::Pool);
        assert!(
            faulty.report.score < fault_free.report.score - 0.02,
            "{what:?}: {} {}",
            faulty.report.score,
            fault_free.report.score
        );
        assert_eq!(faulty.violations, [], "{what:?}");
    }
}

/// Guards against client proxies that wait for a timeout after a crash: open requests are retried elsewhere at once.
#[test]
fn a_crash_causes_immediate_retries() {
    let mut scenario = small(seed(12), &[("load", "0.8"), ("retry", "unlimited")]);
    scenario.faults = vec![fault(6.0, 30.0, FaultKind::Crash, &[0])];
    let mut world = World::new(scenario, Kind::Gradepin).unwrap();
    world.record();
    let outcome = world.play().unwrap();
    let crash = 6_000_000_000;
    let open = outcome.traces.iter().filter(|s| {
        s.machine == 0
            && s.arrived.is_some_and(|came| came < crash)
            && s.answered.is_none()
            && crash < s.sent + 500_000_000
    });
    let open: Vec<u32> = open.map(|trace| trace.request).collect();
    let goes_on = |request: &&u32| {
        let again = |s: &&gradepin_model::world::AttemptTrace| s.request == **request && s.sent > crash;
        outcome.traces.iter().find(again).is_some_and(|s| s.sent < crash + 100_000_000)
    };
    assert!(open.len() > 2, "{}", open.len());
    assert_eq!(open.iter().filter(goes_on).count(), open.len());
}
