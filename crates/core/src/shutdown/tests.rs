use super::*;

const BUSY: RemainingWork = RemainingWork { open: 3, connections: 5 };
const DONE: RemainingWork = RemainingWork { open: 0, connections: 0 };

fn at(ms: u64) -> Time {
    Time(ms * MS)
}

/// A shutdown that was announced at 0 and whose stop is at 4 s: answers are due at 3,750 ms, reading ends at 3,850 ms.
fn started(mut shutdown: Shutdown) -> Shutdown {
    shutdown.begin(StopTimes::new(at(0), Span(4_000 * MS)));
    shutdown
}

/// Guards upgrades: a process that shares its listening socket hands over. It accepts and reports nothing more, and exits
/// once everything is answered and closed, but not before the shell has reported the connections that it accepted.
#[test]
fn a_shared_listener_is_handed_over_until_everything_is_closed() {
    let mut shutdown = Shutdown::sharing_listener();
    assert!(shutdown.reports_readiness() && shutdown.wake_at(at(0)).is_none());
    assert_eq!(shutdown.next_step(at(0), DONE), None);
    shutdown = started(shutdown);
    assert!(!shutdown.reports_readiness() && shutdown.is_handing_over());
    assert_eq!(shutdown.next_step(at(1), DONE), Some(ShutdownStep::StopAccepting));
    assert_eq!(shutdown.next_step(at(2), DONE), None, "the shell has not reported that it stopped accepting");
    shutdown.accepting_stopped();
    assert_eq!(shutdown.next_step(at(4), RemainingWork { open: 1, connections: 0 }), None);
    assert_eq!(shutdown.next_step(at(4), RemainingWork { open: 0, connections: 2 }), None);
    assert_eq!(shutdown.next_step(at(4), DONE), Some(ShutdownStep::Exit));
    assert_eq!((shutdown.next_step(at(9_000), DONE), shutdown.wake_at(at(5))), (None, None), "it exits once");
}

/// A process that owns its listening socket accepts until its answers are due, and then takes the same steps.
#[test]
fn an_own_listener_accepts_until_the_answers_are_due() {
    let mut shutdown = started(Shutdown::default());
    assert!(shutdown.reports_readiness() && !shutdown.is_handing_over());
    assert_eq!(shutdown.next_step(at(3_749), DONE), None);
    assert_eq!(shutdown.wake_at(at(3_749)), Some(at(3_750)));
    assert_eq!(shutdown.next_step(at(3_750), DONE), Some(ShutdownStep::StopAccepting));
    assert!(!shutdown.reports_readiness());
    shutdown.accepting_stopped();
    assert_eq!(shutdown.next_step(at(3_751), DONE), Some(ShutdownStep::Exit));
}

/// Guards against requests that are read and never answered: connections that stay in use are closed only after the shell
/// has reported the end of reading, and the process exits after that, however late each report is.
#[test]
fn reading_ends_before_connections_are_closed_and_that_before_the_exit() {
    // A process that runs all the time, and one that is paused over the stop.
    for late_ms in [0, 2_000] {
        for shutdown in [Shutdown::default(), Shutdown::sharing_listener()] {
            let mut shutdown = started(shutdown);
            let end = 3_850 + late_ms;
            assert_eq!(shutdown.next_step(at(end), BUSY), Some(ShutdownStep::StopAccepting));
            assert_eq!(shutdown.next_step(at(end), BUSY), Some(ShutdownStep::StopReading));
            assert_eq!(shutdown.next_step(at(end + 149), BUSY), None);
            shutdown.accepting_stopped();
            shutdown.reading_stopped();
            assert_eq!(shutdown.next_step(at(end + 149), BUSY), Some(ShutdownStep::CloseConnections));
            let last = at(end + 149 + 150).max(at(4_000));
            assert_eq!(shutdown.wake_at(at(end + 149)), Some(last));
            assert_eq!(shutdown.next_step(Time(last.0 - 1), BUSY), None);
            assert_eq!(shutdown.next_step(last, BUSY), Some(ShutdownStep::Exit));
        }
    }
}

/// Guards against an exit without the end of reading: a limit on the wait for its report passes in a process that is paused
/// between the two, and so does its reading thread's time.
#[test]
fn the_exit_waits_for_the_end_of_reading_however_late_it_is() {
    let mut shutdown = started(Shutdown::sharing_listener());
    assert_eq!(shutdown.next_step(at(0), BUSY), Some(ShutdownStep::StopAccepting));
    assert_eq!(shutdown.next_step(at(3_849), BUSY), None);
    assert_eq!(shutdown.next_step(at(3_850), BUSY), Some(ShutdownStep::StopReading));
    assert_eq!(shutdown.next_step(at(9_000), BUSY), None);
    assert_eq!(shutdown.wake_at(at(9_000)), None);
    shutdown.accepting_stopped();
    shutdown.reading_stopped();
    assert_eq!(shutdown.next_step(at(9_001), BUSY), Some(ShutdownStep::CloseConnections));
    assert_eq!(shutdown.next_step(at(9_151), BUSY), Some(ShutdownStep::Exit));
}

/// A second notice changes nothing; an earlier stop does.
#[test]
fn the_first_notice_and_the_earliest_stop_count() {
    let mut shutdown = started(Shutdown::sharing_listener());
    shutdown.begin(StopTimes::new(at(500), Span(9_000 * MS)));
    assert_eq!(shutdown.times().map(|times| times.stop_at()), Some(at(4_000)));
    assert!(shutdown.bring_forward(Span(1_700 * MS)) && !shutdown.bring_forward(Span(1_700 * MS)));
    assert_eq!(shutdown.times().map(|times| times.stop_at()), Some(at(1_700)));
}

/// Guards requests that cross a close: in a hand-over a connection may be closed once it has been idle for the full time
/// since both the drain request and its last use; when all answers are due, any idle connection may be closed.
#[test]
fn idle_connections_are_closed_after_the_drain_request_or_when_answers_are_due() {
    let (own, shared) = (started(Shutdown::default()), started(Shutdown::sharing_listener()));
    let (draining_since, last_used) = (at(1_000), at(1_300));
    assert!(!shared.may_close_idle(at(1_599), Some(draining_since), last_used));
    assert!(shared.may_close_idle(at(1_600), Some(draining_since), last_used));
    assert!(!shared.may_close_idle(at(3_749), None, last_used), "it was not asked to drain");
    assert!(!own.may_close_idle(at(3_749), Some(draining_since), last_used));
    for shutdown in [&own, &shared] {
        assert!(shutdown.may_close_idle(at(3_750), Some(at(3_749)), at(3_750)));
    }
    assert!(!Shutdown::sharing_listener().may_close_idle(at(9_000), Some(draining_since), last_used));
}
