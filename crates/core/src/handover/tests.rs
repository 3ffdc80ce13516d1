use super::*;

const S: u64 = 1_000_000_000;

/// Guards the upgrade: a process that owns its listener drains as ever; one that shares it hands over, falls
/// silent, leaves once all is answered and closed, and before SIGKILL whatever stands.
#[test]
fn shared_listener_is_handed_over_before_sigkill() {
    let mut own = Handover::default();
    assert!(!own.begin(Time(S), Span(3 * S)) && own.reports_readiness());
    assert!(!own.may_leave(Time(9 * S), RemainingWork { open: 0, connections: 0 }));

    // Its time is up all the same: it closes down once, and leaves in time whatever stands.
    let mut over = Handover::default();
    assert!(over.close_down(Time(5 * S), Span(S)) && !over.close_down(Time(5 * S), Span(S)));
    assert!(
        !over.may_leave(Time(5 * S), RemainingWork { open: 0, connections: 0 }),
        "accepting may not have stopped"
    );
    assert!(!over.may_leave(Time(6 * S - 1), RemainingWork { open: 1, connections: 1 }));
    assert!(over.may_leave(Time(6 * S), RemainingWork { open: 1, connections: 1 }));
    over.accepting_stopped();
    assert!(over.may_leave(Time(5 * S), RemainingWork { open: 0, connections: 0 }));

    let mut shared = Handover::shared();
    assert!(shared.reports_readiness() && shared.wake_at().is_none());
    assert!(shared.begin(Time(S), Span(3 * S)));
    assert!(!shared.begin(Time(2 * S), Span(3 * S)), "a second SIGTERM begins nothing");
    assert!(!shared.reports_readiness());
    assert!(
        !shared.may_leave(Time(S), RemainingWork { open: 0, connections: 0 }),
        "accepting may not have stopped"
    );
    shared.accepting_stopped();
    assert!(!shared.may_leave(Time(S), RemainingWork { open: 1, connections: 0 }));
    assert!(!shared.may_leave(Time(S), RemainingWork { open: 0, connections: 2 }));
    assert!(shared.may_leave(Time(S), RemainingWork { open: 0, connections: 0 }));
    let last = time_before(Time(4 * S), KILL_MARGIN);
    assert_eq!(shared.wake_at(), Some(last));
    assert!(!shared.may_leave(time_before(last, Span(1)), RemainingWork { open: 3, connections: 5 }));
    assert!(shared.may_leave(last, RemainingWork { open: 3, connections: 5 }));
    // A connection closes once it has rested since both the drain and its last word.
    let (asked, spoke) = (Time(S), Time(S + IDLE_AFTER_DRAIN.0));
    assert!(!own.may_close_idle(Time(9 * S), Some(asked), asked));
    assert!(!shared.may_close_idle(time_after(spoke, Span(IDLE_AFTER_DRAIN.0 - 1)), Some(asked), spoke));
    assert!(shared.may_close_idle(time_after(spoke, IDLE_AFTER_DRAIN), Some(asked), spoke));
    assert!(!shared.may_close_idle(Time(9 * S), None, spoke), "one not asked to drain stays");
}
