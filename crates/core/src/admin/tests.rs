use super::*;

const UP: ReadinessInputs = ReadinessInputs { processor: true, well: true, leaving: false };

/// Guards the drain rule: no good answer from the call on, and a good one again as soon as it ends.
#[test]
fn a_drain_says_no_at_once_and_its_end_says_yes_at_once() {
    let mut door = OperatorDrain::default();
    assert_eq!(door.ready(UP), Ok(()));
    let failed = door.order(Time(5), &AdminRequest::StartDrain);
    assert_eq!(failed, Some(AdminResponse::DrainState { draining: true, changed: true }));
    assert_eq!(door.ready(UP), Err(NotReadyReason::OperatorDrain));
    // A second call changes nothing, and the drain counts from the first.
    assert_eq!(
        door.order(Time(9), &AdminRequest::StartDrain),
        Some(AdminResponse::DrainState { draining: true, changed: false })
    );
    assert_eq!(door.draining_since(), Some(Time(5)));
    assert_eq!(
        door.order(Time(12), &AdminRequest::EndDrain),
        Some(AdminResponse::DrainState { draining: false, changed: true })
    );
    assert_eq!(door.ready(UP), Ok(()));
    assert_eq!(
        door.order(Time(13), &AdminRequest::EndDrain),
        Some(AdminResponse::DrainState { draining: false, changed: false })
    );
}

/// Guards the upgrade: a new process says yes only once it can serve, and an old one no once it leaves.
#[test]
fn readiness_follows_what_the_process_can_do() {
    let mut door = OperatorDrain::default();
    assert_eq!(door.ready(ReadinessInputs::default()), Err(NotReadyReason::NoProcessor));
    assert_eq!(door.ready(ReadinessInputs { well: false, ..UP }), Err(NotReadyReason::Unhealthy));
    assert_eq!(door.ready(ReadinessInputs { leaving: true, ..UP }), Err(NotReadyReason::ShuttingDown));
    assert_eq!(door.order(Time(1), &AdminRequest::Health), None);
}
