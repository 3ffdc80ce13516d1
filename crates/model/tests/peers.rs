//! Hard cases of shared state between servers, each with the fault it is designed for; clocks run up to 1% fast or slow.

use gradepin_model::peers::{Fault, FaultKind, Faults, Outcome, Sharing, Spec, draw, play};

fn fault(from_s: f64, to_s: f64, what: FaultKind) -> Fault {
    Fault { from_s, to_s, what }
}

fn spec(seed: u64, seconds: f64, faults: Vec<Fault>) -> Spec {
    Spec { seed, seconds, faults: Faults(faults), ..Spec::default() }
}

/// Plays several seeds and checks the bound on each.
fn bounded(seeds: u64, spec: impl Fn(u64) -> Spec) -> Vec<Outcome> {
    let outcomes = (1..=seeds).map(|seed| {
        let spec = spec(seed);
        let outcome = play(&spec);
        assert_eq!(outcome.breaks, [], "seed {seed}, {:?}", spec.faults);
        outcome
    });
    outcomes.collect()
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

/// Guards the bound, and lending among the others, while a third of the fleet receives nothing: first in one direction,
/// then in both.
#[test]
fn a_deaf_third_keeps_its_share_while_the_rest_lends() {
    let third = vec![1, 4, 7, 10];
    let faults =
        vec![fault(8.0, 23.0, FaultKind::Deaf(third.clone())), fault(23.0, 38.0, FaultKind::Cut(third))];
    let with = bounded(3, |seed| Spec { count_from_s: 8.0, ..spec(seed, 45.0, faults.clone()) });
    let fixed: Vec<Outcome> = (1..=3)
        .map(|seed| {
            play(&Spec { sharing: Sharing::Static, count_from_s: 8.0, ..spec(seed, 45.0, Vec::new()) })
        })
        .collect();
    let (with, fixed) = (mean(&with, Outcome::service), mean(&fixed, Outcome::service));
    assert!(with > fixed + 0.08, "{with:.3} with a third cut off, {fixed:.3} with static shares");
}

/// Guards the bound when a borrower is stopped while holding a lease and continues after its expiry, when a lender is
/// killed and restarts at once, and when both happen together; with lease expiry ignored, the bound is violated.
#[test]
fn a_stopped_borrower_and_a_killed_lender_use_no_slot_twice() {
    let faults = |seed: u64| {
        let lender = 1 + (seed as usize * 3) % 11;
        vec![
            fault(8.0, 13.0, FaultKind::Stop(vec![0, 3])),
            fault(15.0, 15.3, FaultKind::Kill(vec![lender, 4], 0.0)),
            fault(18.0, 23.0, FaultKind::Stop(vec![6, 9])),
            fault(18.1, 18.5, FaultKind::Kill(vec![1, 2, 7], 0.0)),
            fault(25.0, 28.0, FaultKind::Cut(vec![0, 3, 6, 9])),
        ]
    };
    // All servers ask for more than their share, so that lent slots are needed.
    let crowded = |seed| Spec { load: 1.15, ..spec(seed, 32.0, faults(seed)) };
    bounded(8, crowded);
    let plain = (1..=8).map(|seed| play(&Spec { sharing: Sharing::Plain, ..crowded(seed) }));
    assert!(
        plain.map(|outcome| outcome.breaks.len()).sum::<usize>() > 0,
        "otherwise the test proves nothing"
    );
}

/// Guards against a machine that is ignored after its wall clock jumps back an hour between two incarnations.
#[test]
fn a_wall_clock_set_back_an_hour_hides_no_server() {
    let faults = vec![fault(8.0, 9.0, FaultKind::Kill(vec![2, 5], 3_600.0))];
    for outcome in bounded(4, |seed| spec(seed, 30.0, faults.clone())) {
        assert_eq!(outcome.unknown, 0, "all servers know the new incarnations");
        assert!(outcome.known_s.iter().all(|s| *s < 8.0), "{:?}", outcome.known_s);
    }
}

/// Guards the bound with clocks at the permitted drift, and shows that the limit is needed: clocks that drift much
/// further violate the bound.
#[test]
fn the_bound_holds_up_to_the_permitted_clock_drift() {
    let faults = |_| {
        vec![
            fault(9.0, 14.0, FaultKind::Cut(vec![0, 3, 6, 9])),
            fault(16.0, 21.0, FaultKind::Stop(vec![0, 6])),
            fault(23.0, 28.0, FaultKind::Cut((0..6).collect())),
        ]
    };
    bounded(6, |seed| Spec { load: 1.1, drift: 0.01, ..spec(seed, 30.0, faults(seed)) });
    // Seeds that show the violation with a drift 30 times the permitted one.
    let far = |seed| Spec {
        load: 1.1,
        drift: 0.3,
        seconds: 20.0,
        faults: draw(seed, 12, 20.0),
        ..spec(seed, 20.0, Vec::new())
    };
    let breaks: usize = [17, 22].into_iter().map(|seed| play(&far(seed)).breaks.len()).sum();
    assert!(breaks > 0, "otherwise the drift limit is not needed");
}

/// Guards memory and counters against restarts: the whole fleet within 3 s, then six in ten servers within 7 s.
#[test]
fn membership_recovers_after_mass_restarts() {
    let all = |n: usize| fault(8.0 + n as f64 * 0.2, 8.5 + n as f64 * 0.2, FaultKind::Kill(vec![n], 0.0));
    let some = |n: usize| fault(18.0 + n as f64, 18.6 + n as f64, FaultKind::Kill(vec![n], 0.0));
    let faults: Vec<Fault> = (0..12).map(all).chain((0..7).map(some)).collect();
    for outcome in bounded(3, |seed| spec(seed, 40.0, faults.clone())) {
        assert_eq!(outcome.unknown, 0);
        assert!(outcome.heard > 0.85, "a mean of {:.2} of the fleet was heard", outcome.heard);
    }
}

/// Guards the fleet against the ledger's failure for one server, and the others against a failure for all but one.
#[test]
fn a_ledger_failure_for_one_server_leaves_it_to_the_others() {
    let played = |what: Option<FaultKind>| {
        let faults = what.map(|what| vec![fault(8.0, 18.0, what)]).unwrap_or_default();
        let load = 0.5;
        bounded(3, |seed| Spec { load, lean: 1.0, ..spec(seed, 30.0, faults.clone()) })
    };
    let service = |what: Option<FaultKind>| mean(&played(what), Outcome::service);
    let well = service(None);
    let one = played(Some(FaultKind::NoLedger(vec![5])));
    // One server gets a twelfth of 180 calls per second: 150 calls in 10 s without the breaker; with it, the calls
    // during the window in which the last success still counts (half of that), and a few more.
    let vain = mean(&one, |outcome| outcome.refused as f64);
    assert!((60.0..110.0).contains(&vain), "{vain} calls in vain");
    let one = mean(&one, Outcome::service);
    // A twelfth of the calls for a third of the time, and a few more until it retries.
    assert!(one > well - 1.0 / 12.0 * 0.6, "{well:.3} while all is well, {one:.3} while one sees it dead");
    let all_but_one = service(Some(FaultKind::NoLedger((0..11).collect())));
    assert!(all_but_one > 0.55, "{all_but_one:.3}: it opens again, and the one goes on");
    let slow = service(Some(FaultKind::SlowLedger(3.0)));
    assert!(slow > 0.55, "{slow:.3} while it takes three times as long, and answers");
}

/// Guards the bound during a partition into two halves for a minute under full load, and the recovery from it.
#[test]
fn the_bound_holds_in_two_halves_and_after_they_merge() {
    let faults = vec![fault(8.0, 68.0, FaultKind::Cut((0..6).collect()))];
    for outcome in
        bounded(2, |seed| Spec { load: 1.0, count_from_s: 68.0, ..spec(seed, 85.0, faults.clone()) })
    {
        assert!(outcome.service() > 0.8, "{:.3} served after the heal", outcome.service());
        assert!(outcome.longest_wrong_s < 5.0, "{:.1} s held dead after the heal", outcome.longest_wrong_s);
    }
}

/// Guards against live servers believed dead, with a tenth of the datagrams lost and one of twenty servers starved.
#[test]
fn loss_and_starvation_cause_no_lasting_false_suspicion() {
    let starved = |seed| Spec { servers: 20, loss: 0.1, starved: 20, ..spec(seed, 60.0, Vec::new()) };
    for outcome in bounded(2, starved) {
        assert!(outcome.longest_wrong_s < 10.0, "{:.1} s held dead", outcome.longest_wrong_s);
    }
}
