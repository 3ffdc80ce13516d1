//! Invariants of leases when messages are lost, late or repeated, and when servers are stopped or killed.

use super::*;

fn ms(ms: u64) -> Time {
    Time(ms * MS)
}

fn name(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn offer(lender: &str, spare: u32) -> LenderOffer {
    LenderOffer { name: name(lender), spare }
}

/// A server that started at time 0.
fn server(share: f64) -> LeaseTable {
    LeaseTable::new(LeaseSettings::default(), share, Time(0))
}

const INCARNATION: Incarnation = Incarnation(1);

/// Lets this number of runs have waited for [`borrower::BORROW_AFTER`], so that slots are borrowed.
fn let_runs_wait(server: &mut LeaseTable, now: Time, runs: u32) {
    server.set_waiting(Time(now.0 - borrower::BORROW_AFTER.0), runs);
    server.set_waiting(now, runs);
}

/// Runs a step of both servers, and delivers their messages to each other at the same time.
fn exchange_messages(now: Time, borrower: &mut LeaseTable, lender: &mut LeaseTable) {
    let spare = lender.spare(now);
    let mut out = Vec::new();
    borrower.step(now, &[offer("lender", spare)], &mut out);
    for OutgoingLeaseMessage { message, .. } in out {
        if let Some(reply) = lender.receive(now, &name("borrower"), INCARNATION, message) {
            borrower.receive(now, &name("lender"), INCARNATION, reply);
        }
    }
    let mut out = Vec::new();
    lender.step(now, &[], &mut out);
    for OutgoingLeaseMessage { message, .. } in out {
        borrower.receive(now, &name("lender"), INCARNATION, message);
    }
}

#[test]
fn unused_slots_are_lent_and_returned_before_the_lease_expires() {
    let (mut a, mut b) = (server(4.0), server(4.0));
    let now = ms(10_000);
    for _ in 0..4 {
        assert_eq!(a.call(now), Some(Slot::Own));
    }
    assert_eq!(a.call(now), None);
    let_runs_wait(&mut a, now, 2);
    exchange_messages(now, &mut a, &mut b);
    assert_eq!(
        (a.limit(now), b.limit(now)),
        (6_000, 2_000),
        "at most 2.8 slots may be lent, and only whole ones are"
    );
    let slot = a.call(now);
    assert_eq!(slot, Some(Slot::Borrowed { until: ms(12_000), max_call: Span(1_500 * MS) }));
    a.set_waiting(now, 0);
    // No calls in flight and no demand for a while: the lease is returned.
    (0..5).for_each(|_| a.call_ended(now, false));
    for at in [10_600, 11_200, 11_800] {
        exchange_messages(ms(at), &mut a, &mut b);
    }
    assert_eq!((a.limit(ms(11_800)), b.limit(ms(11_800))), (4_000, 4_000));
    assert_eq!(b.lent(ms(11_800)), 0, "returned before the lease expired");
}

/// A borrower that is stopped during a lease and resumes after its end must not use the slot, because the
/// lender uses it again by then.
#[test]
fn a_lease_expires_for_the_borrower_before_the_lender_uses_the_slot() {
    let (mut a, mut b) = (server(1.0), server(4.0));
    let now = ms(10_000);
    a.call(now);
    let_runs_wait(&mut a, now, 1);
    exchange_messages(now, &mut a, &mut b);
    assert_eq!(a.limit(now), 2_000);
    assert!(a.call(ms(11_999)).is_some(), "the last moment of the lease");
    a.call_ended(ms(11_999), false);
    assert_eq!(
        a.call(ms(12_000)),
        None,
        "the expiry is checked by the time of the call, without a step in between"
    );
    assert_eq!(b.retained(ms(12_000)), 3_000, "a call made at the last moment may still be in flight");
    let hold = LeaseSettings::default().hold();
    assert_eq!(b.retained(Time(now.0 + hold.0 - 1)), 3_000);
    assert_eq!(b.retained(time_after(now, hold)), 4_000);
    assert!(hold.0 > 3_700 * MS * 101 / 100, "duration, call and linger, scaled for clock drift");
}

/// A lender that is killed and restarts at once, without knowledge of its leases, must not use slots that it
/// may have lent.
#[test]
fn a_restarted_lender_holds_back_its_lendable_slots() {
    let start = ms(50_000);
    let restarted = LeaseTable::new(LeaseSettings::default(), 4.0, start);
    assert_eq!(restarted.retained(start), 0, "calls of the earlier incarnation may still be in flight");
    assert_eq!(restarted.retained(ms(50_200)), 2_000);
    assert_eq!(restarted.spare(ms(50_200)), 0);
    let free = time_after(start, LeaseSettings::default().hold());
    assert_eq!((restarted.retained(free), restarted.spare(free)), (4_000, 2_000));
    let ignore_expiry = LeaseSettings { ignore_expiry: true, ..LeaseSettings::default() };
    assert_eq!(
        LeaseTable::new(ignore_expiry, 4.0, start).retained(start),
        4_000,
        "the drill's mode holds nothing back"
    );
}

/// Repeated, late and reordered messages neither grant a lease twice nor extend or restore one.
#[test]
fn late_repeated_and_reordered_messages_keep_leases_consistent() {
    let (mut a, mut b) = (server(1.0), server(4.0));
    let now = ms(10_000);
    a.call(now);
    let_runs_wait(&mut a, now, 1);
    let mut out = Vec::new();
    a.step(now, &[offer("lender", 2_000)], &mut out);
    let request = out[0].message;
    assert_eq!(b.receive(now, &name("borrower"), INCARNATION, request), None, "the request is queued");
    assert_eq!(b.receive(now, &name("borrower"), INCARNATION, request), None, "the same request");
    let mut out = Vec::new();
    b.step(now, &[], &mut out);
    assert_eq!(out.len(), 1);
    let first = out[0].message;
    let repeated = b.receive(ms(10_900), &name("borrower"), INCARNATION, request).unwrap();
    assert_eq!(first, repeated, "it is granted once");
    assert_eq!(b.lent(now), 1_000);
    let free = Time(now.0 + LeaseSettings::default().hold().0);
    assert_eq!(b.lent(free), 0, "the repeated request didn't extend the lease");
    a.receive(ms(10_300), &name("lender"), INCARNATION, repeated);
    assert_eq!(a.limit(ms(10_300)), 2_000);
    a.receive(ms(10_500), &name("lender"), INCARNATION, first);
    assert_eq!(a.limit(ms(10_500)), 2_000, "the repeated grant adds nothing");
    // The lease is recalled and returned, and a grant that was in transit doesn't restore it.
    a.receive(ms(10_600), &name("lender"), INCARNATION, LeaseMessage::Recall { number: 1 });
    let mut out = Vec::new();
    a.set_waiting(ms(10_600), 0);
    a.step(ms(10_600), &[], &mut out);
    assert!(matches!(out[..], [OutgoingLeaseMessage { message: LeaseMessage::Return { number: 1 }, .. }]));
    a.receive(ms(10_700), &name("lender"), INCARNATION, first);
    assert_eq!(a.limit(ms(10_700)), 1_000);
    // A grant that arrives after the lease expired is ignored.
    let mut late = server(1.0);
    late.call(now);
    let_runs_wait(&mut late, now, 1);
    late.step(now, &[offer("lender", 2_000)], &mut Vec::new());
    late.receive(ms(12_500), &name("lender"), INCARNATION, first);
    assert_eq!(late.limit(ms(12_500)), 1_000);
    // A grant from a server that was not asked is ignored.
    let mut asked = server(1.0);
    asked.call(now);
    let_runs_wait(&mut asked, now, 1);
    asked.step(now, &[offer("lender", 2_000)], &mut Vec::new());
    asked.receive(now, &name("stranger"), INCARNATION, first);
    assert_eq!(asked.limit(now), 1_000);
}

/// An abandoned call must occupy its slot while the upstream may still process it. The model found a
/// violation with seed 22.
#[test]
fn an_abandoned_call_occupies_its_slot_for_the_linger_time() {
    let mut a = server(2.0);
    let now = ms(10_000);
    a.call(now);
    a.call(now);
    a.call_ended(ms(10_500), true);
    assert_eq!(a.call(ms(10_600)), None);
    assert_eq!(a.call(ms(10_703)), Some(Slot::Own), "the linger time, by a clock that is 1 % fast");
}

#[test]
fn a_used_lease_is_extended_until_the_lender_needs_the_slot() {
    let (mut a, mut b) = (server(1.0), server(4.0));
    let mut at = 10_000;
    a.call(ms(at));
    let_runs_wait(&mut a, ms(at), 1);
    exchange_messages(ms(at), &mut a, &mut b);
    assert!(matches!(a.call(ms(at)), Some(Slot::Borrowed { .. })));
    a.set_waiting(ms(at), 0);
    for _ in 0..60 {
        at += 100;
        exchange_messages(ms(at), &mut a, &mut b);
        assert_eq!(a.limit(ms(at)), 2_000, "after {at}");
    }
    (0..3).for_each(|_| assert_eq!(b.call(ms(at)), Some(Slot::Own)));
    assert_eq!(b.call(ms(at)), None);
    b.set_waiting(ms(at), 1);
    let mut out = Vec::new();
    b.step(ms(at), &[], &mut out);
    assert!(out.is_empty(), "a short wait causes no recall");
    at += 100;
    b.step(ms(at), &[], &mut out);
    assert!(
        matches!(out[..], [OutgoingLeaseMessage { message: LeaseMessage::Recall { .. }, .. }]),
        "{out:?}"
    );
    a.receive(ms(at), &name("lender"), INCARNATION, out[0].message);
    assert_eq!(a.call(ms(at)), None, "no new call uses a recalled lease");
    exchange_messages(ms(at + 50), &mut a, &mut b);
    assert_eq!(b.retained(ms(at + 50)), 3_000, "the borrower's call is still in flight");
    a.call_ended(ms(at + 100), false);
    exchange_messages(ms(at + 100), &mut a, &mut b);
    assert_eq!(b.call(ms(at + 100)), Some(Slot::Own), "returned as soon as the call ended");
}

#[test]
fn a_server_alone_uses_its_own_share_and_a_lender_keeps_its_minimum() {
    let mut a = server(3.0);
    let now = ms(20_000);
    let_runs_wait(&mut a, now, 50);
    a.step(now, &[], &mut Vec::new());
    assert_eq!(a.limit(now), 3_000);
    let mut b = server(10.0);
    for n in 0..100 {
        b.receive(
            now,
            &name("greedy"),
            INCARNATION,
            LeaseMessage::Request { number: n, round: 0, amount: 5_000 },
        );
        b.step(now, &[], &mut Vec::new());
    }
    assert_eq!((b.lent(now), b.retained(now)), (7_000, 3_000));
    b.set_share(5.0);
    assert_eq!(b.retained(now), 0, "a reduced share is usable again once the lent slots are returned");
}
