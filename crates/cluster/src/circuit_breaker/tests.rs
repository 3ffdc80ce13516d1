//! Who convinces whom, and how an open circuit is probed and closed.

use super::*;

fn ms(ms: u64) -> Time {
    Time(ms * MS)
}

fn fail(breaker: &mut CircuitBreaker, from: u64, times: u64) {
    for n in 0..times {
        breaker.call_ended(ms(from + 50 * n), Outcome::ConnectFailed, Span(MS), 0.5);
    }
}

fn breaker() -> CircuitBreaker {
    CircuitBreaker::new(2.0, 8)
}

/// Guards against one server whose own network is ill: it stops its own calls, and nobody else's.
#[test]
fn one_that_sees_it_dead_convinces_nobody() {
    let (mut ill, mut idle, mut busy) = (breaker(), breaker(), breaker());
    fail(&mut ill, 1_000, 6);
    assert!(!ill.is_closed());
    let mut others = PeerObservations::default();
    others.add(&ill.observation(ms(1_300)), Span(0));
    for breaker in [&mut idle, &mut busy] {
        breaker.observed_by_others(ms(1_400), others, 0.5);
        assert_eq!(breaker.call(ms(1_400), 0.5), Admission::Call);
    }
    // It answers the others all along: the ill one tries now and then, and no more than that.
    let mut calls = 0;
    for at in (1_500..41_500).step_by(100) {
        ill.observed_by_others(ms(at), PeerObservations { answered: 7, dead: 0 }, 0.5);
        if ill.call(ms(at), 0.5) != Admission::Rejected {
            calls += 1;
            ill.call_ended(ms(at), Outcome::ConnectFailed, Span(MS), 0.5);
        }
    }
    assert!((5..30).contains(&calls), "{calls} calls in 40 s");
}

/// Guards a large fleet's server whose own way is broken against a call in vain every few seconds: what others see closes its
/// door ever later. Own probes are rare there, as they are the fleet's.
#[test]
fn who_fails_where_others_dont_tries_ever_later() {
    let mut ill = CircuitBreaker::new(2.0, 300);
    fail(&mut ill, 1_000, 6);
    let mut calls = Vec::new();
    for at in (1_500..201_500).step_by(100) {
        ill.observed_by_others(ms(at), PeerObservations { answered: 250, dead: 1 }, 0.5);
        if ill.call(ms(at), 0.5) != Admission::Rejected {
            calls.push(at);
            ill.call_ended(ms(at), Outcome::ConnectFailed, Span(MS), 0.5);
        }
    }
    assert!((8..25).contains(&calls.len()), "{} calls in 200 s: {calls:?}", calls.len());
    // Its way is mended: it is back within the longest wait.
    let back = (201_500..230_000).step_by(100).find(|at| {
        ill.observed_by_others(ms(*at), PeerObservations { answered: 250, dead: 0 }, 0.5);
        if ill.call(ms(*at), 0.5) == Admission::Call {
            ill.call_ended(ms(*at), Outcome::Success, Span(50 * MS), 0.5);
        }
        ill.is_closed()
    });
    assert!(back.is_some_and(|at| at < 201_500 + 16_000 + 4_000), "{back:?}");
}

/// Guards a server for which the dependency works against a fleet that sees it dead.
#[test]
fn all_but_one_that_see_it_dead_dont_convince_the_one() {
    let (mut works, mut idle) = (breaker(), breaker());
    let others = PeerObservations { answered: 0, dead: 7 };
    for n in 0..40 {
        works.call_ended(ms(1_000 + 100 * n), Outcome::Success, Span(80 * MS), 0.5);
        works.observed_by_others(ms(1_000 + 100 * n), others, 0.5);
        assert_eq!(works.call(ms(1_000 + 100 * n), 0.5), Admission::Call);
    }
    idle.observed_by_others(ms(5_000), others, 0.5);
    assert_ne!(idle.call(ms(5_000), 0.9), Admission::Call, "one that knows nothing itself goes by them");
    let mut two = breaker();
    two.observed_by_others(ms(5_000), PeerObservations { answered: 0, dead: 2 }, 0.5);
    assert_eq!(two.call(ms(5_000), 0.5), Admission::Call, "two are not enough");
    let mut one_good = breaker();
    one_good.observed_by_others(ms(5_000), PeerObservations { answered: 1, dead: 6 }, 0.5);
    assert_eq!(one_good.call(ms(5_000), 0.5), Admission::Call, "nor many, while it answers one");
}

/// Guards against a dependency that is slow and taken for dead.
#[test]
fn one_that_answers_slowly_is_not_dead() {
    let mut breaker = breaker();
    for n in 0..100 {
        let outcome = if n % 8 == 0 { Outcome::Success } else { Outcome::TimedOut };
        breaker.call_ended(ms(1_000 + 100 * n), outcome, Span(900 * MS), 0.5);
        assert_eq!(breaker.call(ms(1_000 + 100 * n), 0.5), Admission::Call, "{n}");
    }
    assert_eq!(breaker.observation(ms(11_000)).mean_ms, 900);
    let mut full = self::breaker();
    (0..50).for_each(|n| full.call_ended(ms(n), Outcome::Rejected, Span(MS), 0.5));
    assert!(full.is_closed(), "one that turns calls away is there");
}

/// Guards a dependency that comes back from a fleet that probes it together, and from full load at once.
#[test]
fn probes_are_the_fleets_and_the_way_opens_in_steps() {
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
            breaker.observed_by_others(ms(at), PeerObservations { answered: 0, dead: 7 }, random());
            if breaker.call(ms(at), random()) != Admission::Rejected {
                probes.push(at);
                breaker.call_ended(ms(at), Outcome::ConnectFailed, Span(MS), random());
            }
        }
    }
    let rate = probes.len() as f64 / 60.0;
    assert!((1.0..=2.5).contains(&rate), "{rate} probes a second of the fleet");
    let most = probes.iter().map(|at| probes.iter().filter(|p| (at - 1_000..=*at).contains(p)).count()).max();
    assert!(most.unwrap() <= 6, "{most:?} probes in one second");
    // It is back: one probe opens the door, and the part of calls that are made grows step by step.
    let breaker = &mut fleet[0];
    let mut at = 61_100;
    while breaker.call(ms(at), 0.5) == Admission::Rejected {
        at += 20;
    }
    breaker.call_ended(ms(at), Outcome::Success, Span(50 * MS), 0.5);
    let mut made = Vec::new();
    for _ in 0..4 {
        let mut part = 0;
        for n in 0..40 {
            if breaker.call(ms(at + 12 * n), 0.5) == Admission::Call {
                part += 1;
                breaker.call_ended(ms(at + 12 * n), Outcome::Success, Span(50 * MS), 0.5);
            }
        }
        made.push(part);
        at += 520;
    }
    assert!(made.is_sorted() && made[0] <= 6 && made[3] == 40, "{made:?}");
    assert!(breaker.is_closed());
}
