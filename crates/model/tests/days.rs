//! Whole days in virtual time: the hard cases of the fleet model.

mod common;

use common::{Defect, audited, careless, fault, play, scenario, seed, small};
use gradepin_model::policies::Kind;
use gradepin_model::scenario::{FaultKind, RetryPolicy, Scenario};
use gradepin_model::service_report::rules::Violation;
use gradepin_model::world::{AttemptOutcome, Order, Outcome, World};
use std::thread;

const FAULT_KINDS: &str = "burst,crash,slow,deploy,hang,pause,registry_away,zone_cut";

fn bytes(outcome: &Outcome) -> String {
    serde_json::to_string(outcome).expect("an outcome is JSON")
}

/// Guards against a request that is lost or counted twice: at many moments of a day with all troubles and all habits each is
/// in exactly one place, and the account's total is what was asked.
#[test]
fn every_request_is_in_one_place_at_every_moment() {
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

/// Guards against a result that depends on threads, on the order of construction, or on what was played before.
#[test]
fn one_seed_gives_one_result_byte_for_byte() {
    let seed = seed(5);
    let drawn = || scenario(seed, &[("troubles", FAULT_KINDS), ("trouble_count", "5"), ("seconds", "20")]);
    for kind in [Kind::Gradepin, Kind::Dagor] {
        let first = bytes(&play(drawn(), kind));
        let again: Vec<String> = thread::scope(|scope| {
            let threads: Vec<_> = (0..3).map(|_| scope.spawn(|| bytes(&play(drawn(), kind)))).collect();
            threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
        });
        assert!(again.iter().all(|other| *other == first), "{kind:?}: threads");
        let make: gradepin_model::world::NodeFactory =
            Box::new(move |starts, start, told| starts.node(kind, start, told));
        let backward = World::with(drawn(), make, Order::Backward).unwrap().play().unwrap();
        assert!(bytes(&backward) == first, "{kind:?}: order of construction");
        let mut other = drawn();
        other.seed += 1;
        assert!(bytes(&play(other, kind)) != first, "{kind:?}: a seed that changes nothing");
    }
}

/// Guards against one entity's numbers that reshuffle another's: with one proxy's habit changed, the same first tries come.
#[test]
fn streams_keep_apart() {
    let asked = |retry_policy: &str| {
        let mut scenario = small(3, &[]);
        scenario.proxies[0].retry_policy = RetryPolicy::named(retry_policy).unwrap();
        let outcome = play(scenario, Kind::Pool);
        let seconds = outcome.course.classes;
        seconds.iter().map(|sums| sums.iter().map(|sum| sum.count).collect::<Vec<_>>()).collect::<Vec<_>>()
    };
    assert_eq!(asked("none"), asked("hasty"));
}

/// The moments in a day at which further tries are sent, in ns.
fn retries(scenario: &Scenario, kind: Kind) -> Vec<u64> {
    let mut world = World::new(scenario.clone(), kind).unwrap();
    world.record();
    let outcome = world.play().unwrap();
    let mut seen = std::collections::HashSet::new();
    let again = outcome.traces.iter().filter(|trace| !seen.insert(trace.request));
    again.map(|trace| trace.sent).collect()
}

/// Guards against books that break where two things happen at once: a retry leaves at the very instant of a notice to
/// leave, or of a crash of all but one server; and one lands there in that instant.
#[test]
fn a_retry_at_the_instant_of_a_notice_or_a_crash() {
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

/// Guards against an answer that crosses its caller's cancel and earns, or is counted as a second one; and a caller that is
/// gone before its second copy runs.
#[test]
fn cancels_cross_answers_and_copies_outlive_their_callers() {
    let mut scenario = small(seed(6), &[("load", "1.2"), ("retry", "copies")]);
    // Cancels take long, so that many answers are sent before they come.
    (scenario.net.same_ms, scenario.net.cross_ms) = (120.0, 180.0);
    for kind in [Kind::Gradepin, Kind::Pool] {
        let mut world = World::new(scenario.clone(), kind).unwrap();
        world.record();
        let outcome = world.play().unwrap();
        let served =
            outcome.traces.iter().filter(|trace| trace.outcome == AttemptOutcome::Served).count() as u64;
        // More answers than requests with one: the rest crossed a cancel, or came second.
        assert!(served > outcome.total.served + 5, "{kind:?}: {served} {}", outcome.total.served);
        let [open, in_time, late_value, given_up] = outcome.report.request_states;
        assert_eq!((open, in_time + late_value + given_up), (0, outcome.total.asked));
        assert!(in_time + late_value <= outcome.total.served);
        assert_eq!(outcome.violations, [], "{kind:?}");
        // Copies whose caller was gone when word of it came before their turn: read, and never begun.
        let unbegun = outcome.traces.iter().filter(|s| s.read.is_some() && s.started.is_none());
        assert!(unbegun.filter(|s| s.outcome == AttemptOutcome::Open).count() > 3, "{kind:?}");
    }
}

/// A day on which a fault shows.
fn day_for(defect: Defect, seed: u64) -> Scenario {
    let usual = |load: &str, servers: &str| {
        small(seed, &[("load", load), ("retry", "hasty"), ("servers", servers), ("read_share", "0.05")])
    };
    let mut scenario = match defect {
        // One server, which the second try must come back to.
        Defect::RunsAgain | Defect::TurnsAway => usual("0.9", "1"),
        Defect::Crowds | Defect::KnowsNoCold => usual("8", "4"),
        Defect::Forgets | Defect::Repeats | Defect::RunsInDrain => usual("0.5", "4"),
    };
    match defect {
        // Callers that tell of giving up take the owed answer back with it.
        Defect::Forgets => scenario.net.cancellation_loss = 1.0,
        Defect::RunsInDrain => {
            let what = FaultKind::Deploy { batch: 4, drain_s: 4.5, successors: Vec::new() };
            scenario.faults = vec![fault(3.0, 5.0, what, &[0, 1, 2, 3])];
        }
        _ => {}
    }
    scenario
}

/// Guards against a checker that sees nothing: each rule is broken by a node made for it, and told with time and try.
#[test]
fn a_node_that_breaks_a_rule_is_caught() {
    let seed = seed(8);
    type Is = fn(&Violation) -> bool;
    let cases: [(Defect, Is); 6] = [
        (Defect::Forgets, |b| matches!(b, Violation::Lost { .. })),
        (Defect::Repeats, |b| matches!(b, Violation::AnsweredTwice)),
        (Defect::RunsAgain, |b| matches!(b, Violation::RanTwice { .. })),
        (Defect::TurnsAway, |b| matches!(b, Violation::RejectedAfterRun { .. })),
        (Defect::RunsInDrain, |b| matches!(b, Violation::RanDuringDrain { .. })),
        (Defect::Crowds, |b| matches!(b, Violation::Overloaded(_))),
    ];
    for (defect, is) in cases {
        // Not on each day does a caller come back to what ran.
        let found = (seed..seed + 6).find_map(|seed| {
            let outcome = careless(day_for(defect, seed), defect);
            outcome.violations.into_iter().find(|broken| is(&broken.violation))
        });
        let found = found.unwrap_or_else(|| panic!("{defect:?} is not caught"));
        assert!(found.at_ms > 0 && found.server > 0, "{found:?}");
        assert!(found.attempt.is_some() || defect == Defect::Crowds, "{found:?}");
    }
}

/// Guards against a world that itself fails requests, and against one in which overload harms nobody.
#[test]
fn quiet_days_are_whole_and_ten_times_the_load_collapses_the_pool() {
    let seed = seed(4);
    for kind in Kind::ALL {
        let mut quiet = small(seed, &[("load", "0.15"), ("servers", "8")]);
        // No run that takes longer than its aim by itself.
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
    let heavy = || small(seed, &[("load", "1.5")]);
    let (pool, own) = (play(heavy(), Kind::Pool), play(heavy(), Kind::Gradepin));
    assert!(pool.report.total.share() < 0.3, "{}", pool.report.total.share());
    assert!(own.report.score > 2.0 * pool.report.score, "{} {}", own.report.score, pool.report.score);
    assert_eq!(own.violations, []);
}

/// Guards against a deploy that the roster's lateness or cold successors turn into broken rules: all servers are replaced while
/// client proxies still know the old ones. A roster that is later sends more in vain, or it would not be in the model.
#[test]
fn a_rolling_deploy_of_all_with_cold_successors_and_a_late_roster() {
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
    // Tries sent to a machine from a second after its notice until its stop.
    let in_vain = |notice: &str| {
        let mut world = World::new(deploy(notice, "list"), Kind::Gradepin).unwrap();
        world.record();
        let sent_late = |trace: &&gradepin_model::world::AttemptTrace| {
            let since = trace.sent as f64 / 1e9 - (6.0 + 5.0 * f64::from(trace.machine / 2));
            (1.0..4.0).contains(&since)
        };
        world.play().unwrap().traces.iter().filter(sent_late).count()
    };
    let (soon, late_value) = (in_vain("0"), in_vain("3.5..4"));
    assert!(soon < 5 && late_value > 50, "{soon} {late_value}");
    let registry = play(deploy("1", "registry"), Kind::Gradepin);
    assert_eq!(registry.violations, []);
    assert!(registry.report.score > 0.5, "{}", registry.report.score);
}

/// Guards against a registry that nobody asks: servers that die there are taken off the callers' views when their lease runs out, and
/// a registry that is away keeps them.
#[test]
fn leases_run_out_and_a_registry_that_is_away_keeps_them() {
    let base = |away: bool| {
        let settings = [("roster", "registry"), ("refresh_s", "2"), ("seconds", "40"), ("retry", "none")];
        let mut scenario = small(7, &[&settings[..], &[("load", "0.3"), ("servers", "8")]].concat());
        // One of eight: with more heartbeats missing a registry evicts nobody.
        scenario.faults = vec![fault(5.0, 60.0, FaultKind::Crash, &[0])];
        if away {
            scenario.faults.push(fault(4.0, 60.0, FaultKind::RegistryAway, &[]));
        }
        play(scenario, Kind::Pool)
    };
    // How many tries found no server in the last ten seconds of arrivals: each then gave its request up or went on.
    let lost =
        |outcome: &Outcome| -> u64 { outcome.course.seconds[30..40].iter().map(|s| s.tries - s.asked).sum() };
    let (there, away) = (base(false), base(true));
    assert_eq!((lost(&there), there.violations.len(), away.violations.len()), (0, 0, 0));
    assert!(lost(&away) > 30, "{}", lost(&away));
}

/// Guards against a day that is taken though it can't be played.
#[test]
fn days_that_make_no_sense_are_told() {
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

/// All troubles strike: each leaves its trace in a day that is quiet without it.
#[test]
fn each_trouble_strikes() {
    let quiet = || small(4, &[("load", "0.45"), ("seconds", "20"), ("retry", "none"), ("proxies", "3")]);
    let calm = play(quiet(), Kind::Pool);
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
        let struck = play(scenario, Kind::Pool);
        assert!(
            struck.report.score < calm.report.score - 0.02,
            "{what:?}: {} {}",
            struck.report.score,
            calm.report.score
        );
        assert_eq!(struck.violations, [], "{what:?}");
    }
}

/// Guards against callers that hear nothing of a crash and wait for their timeouts: what was open there goes on elsewhere at once.
#[test]
fn a_crash_is_heard_at_once() {
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
