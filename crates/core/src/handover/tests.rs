use super::*;

const S: u64 = 1_000_000_000;

/// Guards upgrades: a process that owns its listening socket drains as usual. One that shares it hands over, reports
/// nothing more, and exits once everything is answered and closed, but at its latest exit in any case.
#[test]
fn shared_listener_is_handed_over_until_the_latest_exit() {
    let mut own = Handover::default();
    assert!(!own.begin(Time(4 * S)) && own.reports_readiness());
    assert!(!own.may_exit(Time(9 * S), RemainingWork { open: 0, connections: 0 }));

    // When its time is up it closes down once, and exits in time whatever remains.
    let mut closing = Handover::default();
    assert!(closing.close_down(Time(6 * S)) && !closing.close_down(Time(7 * S)));
    assert!(
        !closing.may_exit(Time(5 * S), RemainingWork { open: 0, connections: 0 }),
        "the shell has not reported that it stopped accepting"
    );
    assert!(!closing.may_exit(Time(6 * S - 1), RemainingWork { open: 1, connections: 1 }));
    assert!(closing.may_exit(Time(6 * S), RemainingWork { open: 1, connections: 1 }));
    closing.accepting_stopped();
    assert!(closing.may_exit(Time(5 * S), RemainingWork { open: 0, connections: 0 }));

    let mut shared = Handover::shared();
    assert!(shared.reports_readiness() && shared.wake_at().is_none());
    assert!(shared.begin(Time(4 * S)));
    assert!(!shared.begin(Time(5 * S)), "a second SIGTERM has no effect");
    assert!(!shared.reports_readiness());
    assert!(
        !shared.may_exit(Time(S), RemainingWork { open: 0, connections: 0 }),
        "the shell has not reported that it stopped accepting"
    );
    shared.accepting_stopped();
    assert!(!shared.may_exit(Time(S), RemainingWork { open: 1, connections: 0 }));
    assert!(!shared.may_exit(Time(S), RemainingWork { open: 0, connections: 2 }));
    assert!(shared.may_exit(Time(S), RemainingWork { open: 0, connections: 0 }));
    let last = Time(4 * S);
    assert_eq!(shared.wake_at(), Some(last));
    assert!(!shared.may_exit(Time(last.0 - 1), RemainingWork { open: 3, connections: 5 }));
    assert!(shared.may_exit(last, RemainingWork { open: 3, connections: 5 }));
    // A connection may be closed once it has been idle for the full time since both the drain request and its last use.
    let (draining_since, last_used) = (Time(S), Time(S + IDLE_AFTER_DRAIN.0));
    assert!(!own.may_close_idle(Time(9 * S), Some(draining_since), draining_since));
    assert!(!shared.may_close_idle(
        time_after(last_used, Span(IDLE_AFTER_DRAIN.0 - 1)),
        Some(draining_since),
        last_used
    ));
    assert!(shared.may_close_idle(time_after(last_used, IDLE_AFTER_DRAIN), Some(draining_since), last_used));
    assert!(
        !shared.may_close_idle(Time(9 * S), None, last_used),
        "a connection that was not asked to drain must stay open"
    );
}
