use super::*;

fn id(text: &str) -> RequestId {
    RequestId::new(text)
}

/// A guard with connection 1, on which request 1 was read.
fn with_request() -> LifecycleGuard {
    let mut guard = LifecycleGuard::default();
    guard.connection_opened(1);
    guard.message_read(1, 1);
    guard.request_accepted(&id("a"));
    guard
}

/// Guards against lost and double responses: each message read gets exactly one, before its connection is closed.
#[test]
fn each_message_gets_one_response_before_the_close() {
    let mut guard = with_request();
    let owed = Violation::CloseWhileOwed { connection: 1, owed: 1 };
    assert_eq!(guard.close(1, CloseKind::IfIdle), Err(owed.clone()));
    guard.reading_ended(1);
    assert_eq!(guard.close(1, CloseKind::AfterReading), Err(owed));
    assert_eq!(guard.send_response(1, 1), Ok(()));
    assert_eq!(guard.send_response(1, 1), Err(Violation::NotOwed { connection: 1, sequence: 1 }));
    assert_eq!(guard.send_response(1, 2), Err(Violation::NotOwed { connection: 1, sequence: 2 }));
    guard.message_read(1, 3);
    guard.request_cancelled(1, 3);
    assert_eq!(guard.close(1, CloseKind::AfterReading), Ok(()));
    guard.message_read(1, 4);
    let closing = Violation::ResponseWhileClosing { connection: 1, sequence: 4 };
    assert_eq!(guard.send_response(1, 4), Err(closing));
    assert_eq!(guard.violations(), 5);
    guard.connection_closed(1);
    assert_eq!((guard.send_response(1, 5), guard.exit(), guard.violations()), (Ok(()), Ok(()), 5));
}

/// Guards against an exit that leaves messages unread or unanswered.
#[test]
fn reading_ends_before_a_close_that_does_not_ask_for_it_and_before_the_exit() {
    let mut guard = with_request();
    assert_eq!(guard.exit(), Err(Violation::ExitWhileOwed { owed: 1 }));
    assert_eq!(guard.send_response(1, 1), Ok(()));
    assert_eq!(guard.close(1, CloseKind::AfterReading), Err(Violation::CloseWhileReading { connection: 1 }));
    assert_eq!(guard.close(1, CloseKind::IfIdle), Ok(()));
    assert_eq!(guard.exit(), Err(Violation::ExitWhileReading { connections: 1 }));
    guard.all_reading_ended();
    assert_eq!((guard.close(1, CloseKind::AfterReading), guard.exit()), (Ok(()), Ok(())));
    assert_eq!(guard.violations(), 3);
}

/// Guards the promise of a refusal: a request that was refused never runs; others may, also when nobody waits any more.
#[test]
fn a_refused_request_does_not_run() {
    let mut guard = with_request();
    assert_eq!((guard.start_run(&id("a")), guard.start_run(&id("a"))), (Ok(()), Ok(())));
    guard.caller_gone(&id("a"));
    assert_eq!(guard.start_run(&id("a")), Ok(()));
    guard.request_accepted(&id("b"));
    guard.request_answered(&id("b"), true);
    let denied = |text, found| Err(Violation::StartNotAllowed { id: id(text), found });
    assert_eq!(guard.start_run(&id("b")), denied("b", "was refused"));
    guard.request_forgotten(&id("b"));
    assert_eq!(guard.start_run(&id("b")), denied("b", "is not open"));
}
