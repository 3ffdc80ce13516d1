//! When observations open a circuit, and how an open circuit is probed and closed.

use super::*;

fn ms(ms: u64) -> Time {
    Time(ms * MS)
}

fn record_failures(breaker: &mut CircuitBreaker, from: u64, times: u64) {
    for n in 0..times {
        breaker.call_ended(ms(from + 50 * n), Outcome::ConnectFailed, Span(MS), 0.5);
    }
}

fn breaker() -> CircuitBreaker {
    CircuitBreaker::new(2.0, 8)
}

/// A server whose own network is broken opens its own circuit, but not that of other servers.
#[test]
fn a_single_server_that_finds_the_upstream_dead_opens_no_other_circuit() {
    let (mut isolated, mut idle, mut busy) = (breaker(), breaker(), breaker());
    record_failures(&mut isolated, 1_000, 6);
    assert!(!isolated.is_closed());
    let mut others = PeerObservations::default();
    others.add(&isolated.observation(ms(1_300)), Span(0));
    for breaker in [&mut idle, &mut busy] {
        breaker.update_peer_observations(ms(1_400), others, 0.5);
        assert_eq!(breaker.call(ms(1_400), 0.5), Admission::Call);
    }
    // The upstream responds to the other servers all the time; the isolated server calls it only
    // occasionally.
    let mut calls = 0;
    for at in (1_500..41_500).step_by(100) {
        isolated.update_peer_observations(ms(at), PeerObservations { answered: 7, dead: 0 }, 0.5);
        if isolated.call(ms(at), 0.5) != Admission::Rejected {
            calls += 1;
            isolated.call_ended(ms(at), Outcome::ConnectFailed, Span(MS), 0.5);
        }
    }
    assert!((5..30).contains(&calls), "{calls} calls in 40 s");
}

/// If only this server's path to the upstream is broken, responses to other servers make the circuit half
/// open less and less often. The fleet is large, so the server's own probes are rare.
#[test]
fn a_server_that_fails_while_others_succeed_retries_less_and_less_often() {
    let mut isolated = CircuitBreaker::new(2.0, 300);
    record_failures(&mut isolated, 1_000, 6);
    let mut calls = Vec::new();
    for at in (1_500..201_500).step_by(100) {
        isolated.update_peer_observations(ms(at), PeerObservations { answered: 250, dead: 1 }, 0.5);
        if isolated.call(ms(at), 0.5) != Admission::Rejected {
            calls.push(at);
            isolated.call_ended(ms(at), Outcome::ConnectFailed, Span(MS), 0.5);
        }
    }
    assert!((8..25).contains(&calls.len()), "{} calls in 200 s: {calls:?}", calls.len());
    // After the path is repaired the circuit closes within the maximum hold.
    let closed_at = (201_500..230_000).step_by(100).find(|at| {
        isolated.update_peer_observations(ms(*at), PeerObservations { answered: 250, dead: 0 }, 0.5);
        if isolated.call(ms(*at), 0.5) == Admission::Call {
            isolated.call_ended(ms(*at), Outcome::Success, Span(50 * MS), 0.5);
        }
        isolated.is_closed()
    });
    assert!(closed_at.is_some_and(|at| at < 201_500 + 16_000 + 4_000), "{closed_at:?}");
}

/// A server whose calls succeed keeps its circuit closed even if all other servers find the upstream dead.
#[test]
fn a_server_whose_calls_succeed_ignores_others_that_find_the_upstream_dead() {
    let (mut connected, mut idle) = (breaker(), breaker());
    let others = PeerObservations { answered: 0, dead: 7 };
    for n in 0..40 {
        connected.call_ended(ms(1_000 + 100 * n), Outcome::Success, Span(80 * MS), 0.5);
        connected.update_peer_observations(ms(1_000 + 100 * n), others, 0.5);
        assert_eq!(connected.call(ms(1_000 + 100 * n), 0.5), Admission::Call);
    }
    idle.update_peer_observations(ms(5_000), others, 0.5);
    assert_ne!(
        idle.call(ms(5_000), 0.9),
        Admission::Call,
        "a server without its own observation follows the others"
    );
    let mut two = breaker();
    two.update_peer_observations(ms(5_000), PeerObservations { answered: 0, dead: 2 }, 0.5);
    assert_eq!(two.call(ms(5_000), 0.5), Admission::Call, "two servers are too few");
    let mut one_good = breaker();
    one_good.update_peer_observations(ms(5_000), PeerObservations { answered: 1, dead: 6 }, 0.5);
    assert_eq!(
        one_good.call(ms(5_000), 0.5),
        Admission::Call,
        "many servers don't suffice while the upstream responds to one"
    );
}

/// A slow upstream doesn't count as dead.
#[test]
fn a_slow_upstream_keeps_the_circuit_closed() {
    let mut breaker = breaker();
    for n in 0..100 {
        let outcome = if n % 8 == 0 { Outcome::Success } else { Outcome::TimedOut };
        breaker.call_ended(ms(1_000 + 100 * n), outcome, Span(900 * MS), 0.5);
        assert_eq!(breaker.call(ms(1_000 + 100 * n), 0.5), Admission::Call, "{n}");
    }
    assert_eq!(breaker.observation(ms(11_000)).mean_ms, 900);
    let mut full = self::breaker();
    (0..50).for_each(|n| full.call_ended(ms(n), Outcome::Rejected, Span(MS), 0.5));
    assert!(full.is_closed(), "an upstream that rejects calls is up");
}

/// A recovering upstream gets neither simultaneous probes from the fleet nor the full load at once.
#[test]
fn the_fleet_shares_the_probe_rate_and_a_circuit_closes_in_steps() {
    let mut fleet: Vec<CircuitBreaker> = (0..8).map(|_| breaker()).collect();
    let mut seed = 7_u64;
    let mut random = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) as f64 / (1_u64 << 31) as f64
    };
    for breaker in &mut fleet {
        (0..5).for_each(|n| breaker.call_ended(ms(1_000 + n), Outcome::ConnectFailed, Span(MS), random()));
    }
    let mut probes = Vec::new();
    for at in (1_100..61_100).step_by(20) {
        for breaker in &mut fleet {
            breaker.update_peer_observations(ms(at), PeerObservations { answered: 0, dead: 7 }, random());
            if breaker.call(ms(at), random()) != Admission::Rejected {
                probes.push(at);
                breaker.call_ended(ms(at), Outcome::ConnectFailed, Span(MS), random());
            }
        }
    }
    let rate = probes.len() as f64 / 60.0;
    assert!((1.0..=2.5).contains(&rate), "{rate} probes per second of the fleet");
    let max_in_a_second =
        probes.iter().map(|at| probes.iter().filter(|p| (at - 1_000..=*at).contains(p)).count()).max();
    assert!(max_in_a_second.unwrap() <= 6, "{max_in_a_second:?} probes in one second");
    // The upstream has recovered: one successful probe makes the circuit half open, and the fraction of calls
    // grows in steps.
    let breaker = &mut fleet[0];
    let mut at = 61_100;
    while breaker.call(ms(at), 0.5) == Admission::Rejected {
        at += 20;
    }
    breaker.call_ended(ms(at), Outcome::Success, Span(50 * MS), 0.5);
    let mut admitted_by_step = Vec::new();
    for _ in 0..4 {
        let mut admitted = 0;
        for n in 0..40 {
            if breaker.call(ms(at + 12 * n), 0.5) == Admission::Call {
                admitted += 1;
                breaker.call_ended(ms(at + 12 * n), Outcome::Success, Span(50 * MS), 0.5);
            }
        }
        admitted_by_step.push(admitted);
        at += 520;
    }
    assert!(
        admitted_by_step.is_sorted() && admitted_by_step[0] <= 6 && admitted_by_step[3] == 40,
        "{admitted_by_step:?}"
    );
    assert!(breaker.is_closed());
}
