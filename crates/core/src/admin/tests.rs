use super::*;

const UP: ReadinessInputs = ReadinessInputs { processor: true, healthy: true, shutting_down: false };

/// The process is not ready from the request for a drain on, and ready again as soon as the drain ends.
#[test]
fn operator_drain_starts_and_ends_at_once() {
    let mut drain = OperatorDrain::default();
    assert_eq!(drain.readiness(UP), Ok(()));
    let started = drain.set(Time(5), true);
    assert_eq!(started, AdminResponse::DrainState { draining: true, changed: true });
    assert_eq!(drain.readiness(UP), Err(NotReadyReason::OperatorDrain));
    // A second request changes nothing; the drain still counts from the first.
    assert_eq!(drain.set(Time(9), true), AdminResponse::DrainState { draining: true, changed: false });
    assert_eq!(drain.draining_since(), Some(Time(5)));
    assert_eq!(drain.set(Time(12), false), AdminResponse::DrainState { draining: false, changed: true });
    assert_eq!(drain.readiness(UP), Ok(()));
    assert_eq!(drain.set(Time(13), false), AdminResponse::DrainState { draining: false, changed: false });
}

/// Guards upgrades: a new process is ready only once it can serve, and an old one is not ready once it shuts down.
#[test]
fn readiness_reports_the_first_reason_for_not_ready() {
    let drain = OperatorDrain::default();
    assert_eq!(drain.readiness(ReadinessInputs::default()), Err(NotReadyReason::NoProcessor));
    assert_eq!(drain.readiness(ReadinessInputs { healthy: false, ..UP }), Err(NotReadyReason::Unhealthy));
    assert_eq!(
        drain.readiness(ReadinessInputs { shutting_down: true, ..UP }),
        Err(NotReadyReason::ShuttingDown)
    );
    assert_eq!(drain.draining_since(), None);
}
