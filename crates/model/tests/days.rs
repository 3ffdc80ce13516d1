//! Whole days in virtual time: the hard cases of the fleet model.

mod common;

use common::{Fault, audited, careless, day, play, seed, small, trouble};
use gradepin_model::account::rules::Breach;
use gradepin_model::day::{Day, Habit, What};
use gradepin_model::policies::Kind;
use gradepin_model::world::{Order, Outcome, StoryOf, World};
use std::thread;

const TROUBLES: &str = "burst,crash,slow,deploy,hang,pause,registry_away,zone_cut";

fn bytes(outcome: &Outcome) -> String {
    serde_json::to_string(outcome).expect("an outcome is JSON")
}

/// Guards against a request that is lost or counted twice: at many moments of a day with all troubles and all habits each is
/// in exactly one place, and the account's total is what was asked.
#[test]
fn every_request_is_in_one_place_at_every_moment() {
    let seed = seed(11);
    for kind in Kind::ALL {
        for (habit, roster) in [("unlimited,hasty,copies", "list"), ("budgeted,none", "registry")] {
            let habits = [("retry", habit), ("roster", roster), ("pick", "round,two,hash"), ("load", "1.1")];
            let day = small(seed, &[&habits[..], &[("troubles", TROUBLES), ("trouble_count", "8")]].concat());
            let (outcome, audits) = audited(day, kind, 29);
            let places: u64 = outcome.report.places.iter().sum();
            assert!(audits > 100, "{audits}");
            assert_eq!((outcome.report.places[0], places), (0, outcome.total.asked), "{kind:?} {habit}");
            assert_eq!(outcome.report.whole.count, outcome.total.asked);
            let priority_weight: f64 = outcome.report.classes.iter().map(|sum| sum.asked).sum();
            assert!((priority_weight - outcome.report.whole.asked).abs() < 1e-6);
            assert_eq!(outcome.restless, []);
        }
    }
}

/// Guards against a result that depends on threads, on the order of construction, or on what was played before.
#[test]
fn one_seed_gives_one_result_byte_for_byte() {
    let seed = seed(5);
    let drawn = || day(seed, &[("troubles", TROUBLES), ("trouble_count", "5"), ("seconds", "20")]);
    for kind in [Kind::Gradepin, Kind::Dagor] {
        let first = bytes(&play(drawn(), kind));
        let again: Vec<String> = thread::scope(|scope| {
            let threads: Vec<_> = (0..3).map(|_| scope.spawn(|| bytes(&play(drawn(), kind)))).collect();
            threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
        });
        assert!(again.iter().all(|other| *other == first), "{kind:?}: threads");
        let make: gradepin_model::world::Maker =
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
    let asked = |habit: &str| {
        let mut day = small(3, &[]);
        day.proxies[0].habit = Habit::named(habit).unwrap();
        let outcome = play(day, Kind::Pool);
        let seconds = outcome.course.classes;
        seconds.iter().map(|sums| sums.iter().map(|sum| sum.count).collect::<Vec<_>>()).collect::<Vec<_>>()
    };
    assert_eq!(asked("none"), asked("hasty"));
}

/// The moments in a day at which further tries are sent, in ns.
fn retries(day: &Day, kind: Kind) -> Vec<u64> {
    let mut world = World::new(day.clone(), kind).unwrap();
    world.record();
    let outcome = world.play().unwrap();
    let mut seen = std::collections::HashSet::new();
    let again = outcome.stories.iter().filter(|story| !seen.insert(story.request));
    again.map(|story| story.sent).collect()
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
        for what in [What::Crash, What::Deploy { batch: 3, drain_s: 3.5, successors: Vec::new() }] {
            let mut day = base.clone();
            let mut at_s = at as f64 / 1e9;
            while ((at_s * 1e9) as u64) < at {
                at_s = at_s.next_up();
            }
            day.troubles = vec![trouble(at_s, 5.0, what, &[0, 1, 2])];
            assert_eq!((day.troubles[0].at_s * 1e9) as u64, at);
            let (outcome, _) = audited(day, Kind::Gradepin, 53);
            assert_eq!(outcome.broken, [], "at {at}");
            assert_eq!(outcome.report.places[0], 0);
        }
    }
}

/// Guards against an answer that crosses its caller's cancel and earns, or is counted as a second one; and a caller that is
/// gone before its second copy runs.
#[test]
fn cancels_cross_answers_and_copies_outlive_their_callers() {
    let mut day = small(seed(6), &[("load", "1.2"), ("retry", "copies")]);
    // Cancels take long, so that many answers are sent before they come.
    (day.net.same_ms, day.net.cross_ms) = (120.0, 180.0);
    for kind in [Kind::Gradepin, Kind::Pool] {
        let mut world = World::new(day.clone(), kind).unwrap();
        world.record();
        let outcome = world.play().unwrap();
        let served = outcome.stories.iter().filter(|story| story.got == StoryOf::Served).count() as u64;
        // More answers than requests with one: the rest crossed a cancel, or came second.
        assert!(served > outcome.total.served + 5, "{kind:?}: {served} {}", outcome.total.served);
        let [open, in_time, late, given_up] = outcome.report.places;
        assert_eq!((open, in_time + late + given_up), (0, outcome.total.asked));
        assert!(in_time + late <= outcome.total.served);
        assert_eq!(outcome.broken, [], "{kind:?}");
        // Copies whose caller was gone when word of it came before their turn: read, and never begun.
        let unbegun = outcome.stories.iter().filter(|s| s.read.is_some() && s.began.is_none());
        assert!(unbegun.filter(|s| s.got == StoryOf::Open).count() > 3, "{kind:?}");
    }
}

/// A day on which a fault shows.
fn day_for(fault: Fault, seed: u64) -> Day {
    let usual = |load: &str, servers: &str| {
        small(seed, &[("load", load), ("retry", "hasty"), ("servers", servers), ("read_share", "0.05")])
    };
    let mut day = match fault {
        // One server, which the second try must come back to.
        Fault::RunsAgain | Fault::TurnsAway => usual("0.9", "1"),
        Fault::Crowds | Fault::KnowsNoCold => usual("8", "4"),
        Fault::Forgets | Fault::Repeats | Fault::RunsInDrain => usual("0.5", "4"),
    };
    match fault {
        // Callers that tell of giving up take the owed answer back with it.
        Fault::Forgets => day.net.deaf = 1.0,
        Fault::RunsInDrain => {
            let what = What::Deploy { batch: 4, drain_s: 4.5, successors: Vec::new() };
            day.troubles = vec![trouble(3.0, 5.0, what, &[0, 1, 2, 3])];
        }
        _ => {}
    }
    day
}

/// Guards against a checker that sees nothing: each rule is broken by a node made for it, and told with time and try.
#[test]
fn a_node_that_breaks_a_rule_is_caught() {
    let seed = seed(8);
    type Is = fn(&Breach) -> bool;
    let cases: [(Fault, Is); 6] = [
        (Fault::Forgets, |b| matches!(b, Breach::Lost { .. })),
        (Fault::Repeats, |b| matches!(b, Breach::Answered)),
        (Fault::RunsAgain, |b| matches!(b, Breach::Ran { .. })),
        (Fault::TurnsAway, |b| matches!(b, Breach::TurnedAway { .. })),
        (Fault::RunsInDrain, |b| matches!(b, Breach::Drain { .. })),
        (Fault::Crowds, |b| matches!(b, Breach::Fell(_))),
    ];
    for (fault, is) in cases {
        // Not on each day does a caller come back to what ran.
        let found = (seed..seed + 6).find_map(|seed| {
            let outcome = careless(day_for(fault, seed), fault);
            outcome.broken.into_iter().find(|broken| is(&broken.breach))
        });
        let found = found.unwrap_or_else(|| panic!("{fault:?} is not caught"));
        assert!(found.at > 0 && found.server > 0, "{found:?}");
        assert!(found.request.is_some() || fault == Fault::Crowds, "{found:?}");
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
        let figure = format!("{:.3}", outcome.report.g);
        assert_eq!((figure.as_str(), outcome.broken.len()), ("1.000", 0), "{kind:?}: {:?}", outcome.report);
    }
    let heavy = || small(seed, &[("load", "1.5")]);
    let (pool, own) = (play(heavy(), Kind::Pool), play(heavy(), Kind::Gradepin));
    assert!(pool.report.whole.share() < 0.3, "{}", pool.report.whole.share());
    assert!(own.report.g > 2.0 * pool.report.g, "{} {}", own.report.g, pool.report.g);
    assert_eq!(own.broken, []);
}

/// Guards against a deploy that the roster's lateness or cold successors turn into broken rules: all servers are replaced while
/// client proxies still know the old ones. A roster that is later sends more in vain, or it would not be in the model.
#[test]
fn a_rolling_deploy_of_all_with_cold_successors_and_a_late_roster() {
    let seed = seed(9);
    let deploy = |notice: &str, roster: &str| {
        let settings = [("servers", "10"), ("seconds", "40"), ("notice_s", notice), ("roster", roster)];
        let mut day = small(seed, &[&settings[..], &[("load", "0.6"), ("retry", "none")]].concat());
        let all: Vec<usize> = (0..10).collect();
        day.troubles =
            vec![trouble(6.0, 25.0, What::Deploy { batch: 2, drain_s: 4.0, successors: Vec::new() }, &all)];
        day.machines.iter_mut().for_each(|machine| (machine.cold_from, machine.cold_s) = (0.21, 18.0));
        day
    };
    for kind in Kind::ALL {
        let outcome = play(deploy("1..2", "list"), kind);
        assert_eq!(outcome.broken, [], "{kind:?}");
        assert_eq!(outcome.report.places[0], 0, "{kind:?}");
    }
    // Tries sent to a machine from a second after its notice until its stop.
    let in_vain = |notice: &str| {
        let mut world = World::new(deploy(notice, "list"), Kind::Gradepin).unwrap();
        world.record();
        let sent_late = |story: &&gradepin_model::world::Story| {
            let since = story.sent as f64 / 1e9 - (6.0 + 5.0 * f64::from(story.machine / 2));
            (1.0..4.0).contains(&since)
        };
        world.play().unwrap().stories.iter().filter(sent_late).count()
    };
    let (soon, late) = (in_vain("0"), in_vain("3.5..4"));
    assert!(soon < 5 && late > 50, "{soon} {late}");
    let registry = play(deploy("1", "registry"), Kind::Gradepin);
    assert_eq!(registry.broken, []);
    assert!(registry.report.g > 0.5, "{}", registry.report.g);
}

/// Guards against a registry that nobody asks: servers that die there are taken off the callers' views when their lease runs out, and
/// a registry that is away keeps them.
#[test]
fn leases_run_out_and_a_registry_that_is_away_keeps_them() {
    let base = |away: bool| {
        let settings = [("roster", "registry"), ("refresh_s", "2"), ("seconds", "40"), ("retry", "none")];
        let mut day = small(7, &[&settings[..], &[("load", "0.3"), ("servers", "8")]].concat());
        // One of eight: with more heartbeats missing a registry evicts nobody.
        day.troubles = vec![trouble(5.0, 60.0, What::Crash, &[0])];
        if away {
            day.troubles.push(trouble(4.0, 60.0, What::RegistryAway, &[]));
        }
        play(day, Kind::Pool)
    };
    // How many tries found no server in the last ten seconds of arrivals: each then gave its request up or went on.
    let lost =
        |outcome: &Outcome| -> u64 { outcome.course.seconds[30..40].iter().map(|s| s.tries - s.asked).sum() };
    let (there, away) = (base(false), base(true));
    assert_eq!((lost(&there), there.broken.len(), away.broken.len()), (0, 0, 0));
    assert!(lost(&away) > 30, "{}", lost(&away));
}

/// Guards against a day that is taken though it can't be played.
#[test]
fn days_that_make_no_sense_are_told() {
    let error = |change: fn(&mut Day)| {
        let mut day = small(1, &[]);
        change(&mut day);
        World::new(day, Kind::Pool).err().map(|error| error.to_string()).unwrap_or_default()
    };
    assert!(error(|day| day.machines.clear()).contains("machine"));
    assert!(error(|day| day.proxies.clear()).contains("client proxy"));
    assert!(error(|day| day.offices[0].office.share = 0.9).contains("shares"));
    let strange = error(|day| day.troubles = vec![trouble(1.0, 1.0, What::Hang, &[9])]);
    assert!(strange.contains("0 to 3") && strange.contains('9'), "{strange}");
}

/// All troubles strike: each leaves its trace in a day that is quiet without it.
#[test]
fn each_trouble_strikes() {
    let quiet = || small(4, &[("load", "0.45"), ("seconds", "20"), ("retry", "none"), ("proxies", "3")]);
    let calm = play(quiet(), Kind::Pool);
    for what in [
        What::Burst { size: 6.0, edge_s: 0.5 },
        What::Crash,
        What::Slow { factor: 8.4 },
        What::Hang,
        What::Pause,
        What::ZoneCut { zone: 0 },
    ] {
        let mut day = quiet();
        day.troubles = vec![trouble(4.0, 8.0, what.clone(), &[0, 1])];
        let struck = play(day, Kind::Pool);
        assert!(struck.report.g < calm.report.g - 0.02, "{what:?}: {} {}", struck.report.g, calm.report.g);
        assert_eq!(struck.broken, [], "{what:?}");
    }
}

/// Guards against callers that hear nothing of a crash and wait for their timeouts: what was open there goes on elsewhere at once.
#[test]
fn a_crash_is_heard_at_once() {
    let mut day = small(seed(12), &[("load", "0.8"), ("retry", "unlimited")]);
    day.troubles = vec![trouble(6.0, 30.0, What::Crash, &[0])];
    let mut world = World::new(day, Kind::Gradepin).unwrap();
    world.record();
    let outcome = world.play().unwrap();
    let crash = 6_000_000_000;
    let open = outcome.stories.iter().filter(|s| {
        s.machine == 0
            && s.came.is_some_and(|came| came < crash)
            && s.answered.is_none()
            && crash < s.sent + 500_000_000
    });
    let open: Vec<u32> = open.map(|story| story.request).collect();
    let goes_on = |request: &&u32| {
        let again = |s: &&gradepin_model::world::Story| s.request == **request && s.sent > crash;
        outcome.stories.iter().find(again).is_some_and(|s| s.sent < crash + 100_000_000)
    };
    assert!(open.len() > 2, "{}", open.len());
    assert_eq!(open.iter().filter(goes_on).count(), open.len());
}
