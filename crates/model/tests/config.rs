//! Hard cases of configuration dissemination in virtual time, each in a small fleet. Each test fails without the code
//! that it covers (checks, ordering, quarantine, retries, snapshots, limits).

use gradepin_config::dissemination::Selection;
use gradepin_model::config::{Incident, Kind, Outcome, PROMISE_S, Spec, play};

const SERVERS: usize = 60;

/// The first seed; the environment variable `SEED` overrides it.
fn seeds(count: u64) -> impl Iterator<Item = u64> {
    let first = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SEED={first}, {count} from there on");
    first..first + count
}

/// A run without ordinary changes and faults, with one incident and a few changes around it.
fn spec(seed: u64, seconds: f64, kind: Kind) -> Spec {
    let mut spec = Spec::ordinary(seed, SERVERS, seconds, Selection::Epidemic);
    let change = |at_s| Incident { at_s, kind: Kind::Change };
    spec.ordinary = false;
    spec.bad = 0;
    spec.incidents = vec![change(2.0), change(2.5), Incident { at_s: 5.0, kind }];
    spec
}

fn assert_guarantees(seed: u64, outcome: &Outcome) {
    assert_eq!(outcome.broken, 0, "seed {seed}: {:?}", outcome.broken_first);
    assert_eq!(outcome.behind_at_end, 0, "seed {seed}");
    assert_eq!(outcome.lags.beyond(PROMISE_S), 0, "seed {seed}: latest {} s", outcome.lags.latest());
    assert_eq!(outcome.bytes.over_limit, 0, "seed {seed}: {:?}", outcome.bytes);
    assert_eq!(outcome.left_out_wrongly, 0, "seed {seed}");
}

/// Hard case 1: a fifth of the fleet, then one of four regions, is partitioned for three minutes during 40 changes.
#[test]
fn servers_catch_up_in_time_after_a_partition() {
    for seed in seeds(2) {
        for kind in
            [Kind::Fifth { seconds: 180.0, changes: 40 }, Kind::Region { seconds: 180.0, changes: 40 }]
        {
            let outcome = play(&spec(seed, 205.0, kind));
            assert_eq!(outcome.changes, 42, "seed {seed}");
            assert_guarantees(seed, &outcome);
        }
    }
}

/// Hard case 3: a tenth of the datagrams is lost, a tenth duplicated, and a twentieth delayed by up to 30 s, even beyond
/// the end of the sending process, while seven in ten servers restart.
#[test]
fn lost_duplicated_and_late_messages_keep_the_order() {
    for seed in seeds(4) {
        let mut spec = spec(seed, 70.0, Kind::MassRestart);
        (spec.loss, spec.doubled, spec.late) = (0.1, 0.1, 0.05);
        spec.incidents.push(Incident { at_s: 12.0, kind: Kind::Burst });
        assert_guarantees(seed, &play(&spec));
    }
}

/// Hard case 4: servers that send corrupted bytes, other snapshots under the same revision, and wrong digests are
/// detected and quarantined; no server applies their data, and no good server is quarantined.
#[test]
fn bad_sources_are_quarantined_without_effect() {
    for seed in seeds(4) {
        let mut spec = spec(seed, 50.0, Kind::Burst);
        spec.bad = 4;
        let outcome = play(&spec);
        assert_guarantees(seed, &outcome);
        assert!(outcome.left_out > 0, "seed {seed}");
    }
}

/// Without the checks of digests and order, the same faults must break prefixes; otherwise the tests prove nothing.
#[test]
fn without_checks_and_order_prefixes_are_broken() {
    for seed in seeds(2) {
        let mut spec = spec(seed, 50.0, Kind::Burst);
        spec.bad = 4;
        spec.settings.skip_checks = true;
        let outcome = play(&spec);
        assert!(outcome.broken > 0 && !outcome.kept(), "seed {seed}");
    }
}

/// Hard case 5: twenty changes per second for 10 s while a tenth of the fleet starts with an empty disk.
#[test]
fn new_servers_get_a_snapshot_during_a_burst() {
    for seed in seeds(4) {
        let mut spec = spec(seed, 45.0, Kind::Burst);
        // The commits kept don't reach back far enough for the new servers, so they need snapshots.
        spec.settings.history_limits.commits = 64;
        let outcome = play(&spec);
        assert_eq!(outcome.changes, 202);
        assert!(outcome.installed >= (SERVERS / 10) as u64, "seed {seed}: {}", outcome.installed);
        assert_guarantees(seed, &outcome);
    }
}

/// Hard case 9: seven in ten servers restart within 7 s while changes continue.
#[test]
fn restarted_servers_catch_up_in_time() {
    for seed in seeds(4) {
        let mut spec = spec(seed, 45.0, Kind::MassRestart);
        let change = |n: u32| Incident { at_s: 5.0 + 0.4 * f64::from(n), kind: Kind::Change };
        spec.incidents.extend((0..20).map(change));
        let outcome = play(&spec);
        assert_eq!(outcome.changes, 22);
        assert_guarantees(seed, &outcome);
    }
}

/// The other peer selection policies keep the order as well; their cost is described in the design page.
#[test]
fn other_selections_keep_the_order() {
    for (seed, selection) in seeds(1).flat_map(|seed| [(seed, Selection::Relays), (seed, Selection::Voters)])
    {
        let mut spec = spec(seed, 60.0, Kind::Burst);
        spec.settings.selection = selection;
        let outcome = play(&spec);
        assert_eq!((outcome.broken, outcome.behind_at_end), (0, 0), "seed {seed}, {selection:?}");
    }
}

#[test]
fn one_seed_gives_one_result() {
    let spec = spec(3, 45.0, Kind::Burst);
    assert_eq!(format!("{:?}", play(&spec)), format!("{:?}", play(&spec)));
}
