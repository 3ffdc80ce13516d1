use super::*;
use crate::streams::Streams;

const S: At = 1_000_000_000;

fn proxy(retry_policy: &str, pick: Pick, respects_advice: bool) -> Proxy {
    let retry_policy = RetryPolicy { pick, ..RetryPolicy::named(retry_policy).unwrap() };
    let spec = ProxySpec { zone: 0, retry_policy, respects_advice, subset: 0 };
    let mut proxy = Proxy::new(spec, &[1.0, 1.0, 2.0], Streams::new(4).of("proxy", 0));
    (0..3).for_each(|server| proxy.list(server, true));
    proxy
}

fn query(rank: f64, tried_servers: &[u32]) -> AttemptQuery<'_> {
    AttemptQuery { rank, key: 9, tried_servers }
}

fn counts(proxy: &mut Proxy, times: usize) -> [usize; 3] {
    let mut counts = [0; 3];
    for n in 0..times {
        match proxy.choose(S, AttemptQuery { rank: 0.5, key: n as u64, tried_servers: &[] }) {
            Choice::Server(server) => counts[server as usize] += 1,
            other => panic!("{other:?}"),
        }
    }
    counts
}

/// Guards against pick policies that behave alike.
#[test]
fn pick_policies_choose_as_named() {
    assert_eq!(counts(&mut proxy("none", Pick::Round, true), 300), [100; 3]);
    assert_eq!(counts(&mut proxy("none", Pick::Weighted, true), 400), [100, 100, 200]);
    let hashed = counts(&mut proxy("none", Pick::Hash, true), 300);
    assert!(hashed.iter().all(|count| (70..130).contains(count)), "{hashed:?}");
    let mut same = proxy("none", Pick::Hash, true);
    let first = same.choose(S, query(0.5, &[]));
    assert!((0..20).all(|_| same.choose(S, query(0.5, &[])) == first));
    let mut least = proxy("none", Pick::Least, true);
    (0..2).for_each(|server| least.opened(server, 5));
    assert_eq!(counts(&mut least, 20), [0, 0, 20]);
    let mut two = proxy("none", Pick::Two, true);
    two.opened(0, 5);
    let counted = counts(&mut two, 300);
    assert!(counted[0] < 60, "{counted:?}");
    let mut fastest = proxy("none", Pick::Fastest, true);
    (0..3).for_each(|server| fastest.record_answer(S, server, None, 100.0 - f64::from(server), true));
    let counted = counts(&mut fastest, 300);
    assert!(counted[2] > 250 && counted[0] > 0, "{counted:?}");
}

/// Guards against a proxy that ignores advice, and against one that respects it though its parameters say otherwise.
#[test]
fn advice_is_respected_only_if_configured() {
    for respects_advice in [true, false] {
        let mut proxy = proxy("unlimited", Pick::Round, respects_advice);
        proxy.stay_away(0, 2 * S);
        proxy.stay_away(1, 3 * S);
        proxy.record_answer(S, 2, Some(0.6), 10.0, false);
        let low = proxy.choose(S, query(0.5, &[]));
        let high = proxy.choose(S, query(0.7, &[]));
        if respects_advice {
            assert_eq!((low, high), (Choice::RetryAfter(2 * S), Choice::Server(2)));
            assert_eq!(proxy.choose(S, query(0.5, &[0, 1])), Choice::BelowThreshold);
            // The threshold expires after a second; then all servers are used again.
            assert_eq!(proxy.choose(2 * S + 1, query(0.5, &[0, 1])), Choice::Server(2));
            assert_eq!(proxy.next(Failure::Refused { no_failover: true }, 0), Next::GiveUp);
        } else {
            assert!(matches!((low, high), (Choice::Server(_), Choice::Server(_))));
            assert_eq!(proxy.next(Failure::Refused { no_failover: true }, 0), Next::Again(0));
        }
        assert_eq!(proxy.choose(S, query(0.9, &[0, 1, 2])), Choice::NoServer);
    }
}

/// Guards against an unlimited retry budget, and against one that blocks the first retries after a quiet period.
#[test]
fn a_budget_limits_retries() {
    let mut proxy = proxy("budgeted", Pick::Round, true);
    let refused = Failure::Refused { no_failover: false };
    let mut again = 0;
    for _ in 0..1_000 {
        proxy.earn_retry_credit();
        again += usize::from(proxy.next(refused, 0) == Next::Again(0));
    }
    assert!((100..=111).contains(&again), "{again}");
    assert_eq!(proxy.next(Failure::NotConnected, 0), Next::Again(0));
}

/// A delisted server is not chosen; a server that is listed again is.
#[test]
fn only_listed_servers_are_chosen() {
    let mut proxy = proxy("none", Pick::Round, true);
    proxy.list(1, false);
    assert_eq!(counts(&mut proxy, 10), [5, 0, 5]);
    (0..3).for_each(|server| proxy.list(server, false));
    assert_eq!(proxy.choose(S, query(0.9, &[])), Choice::NoServer);
    proxy.list(1, true);
    assert_eq!(counts(&mut proxy, 5), [0, 5, 0]);
}
