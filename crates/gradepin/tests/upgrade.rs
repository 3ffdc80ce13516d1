//! Upgrades: two processes share an inherited listener, and the old one hands over at SIGTERM.

mod scenario;
use scenario::virtual_stage::VirtualStage;
use scenario::{Stage, play};

#[test]
fn the_old_process_stops_reporting_at_sigterm_and_exits_after_its_last_answer() {
    // Guards the server list and the clients during an upgrade: the old process reports no NotReady beside the Ready
    // of the new one, accepts nothing after SIGTERM, answers everything it has read, and exits as soon as the proxies
    // have closed.
    play(
        &mut VirtualStage::sharing_listener(),
        "send a call 1 rid=1 body=tile
         expect processor begin 1
         expect control Ready
         send server TERM
         expect stop accepting
         expect a draining
         wait 1000
         expect no control
         send processor complete 1 1 OK out
         expect a 1 served out
         expect no exit
         close a
         expect exit",
    );
}

#[test]
fn idle_connections_delay_the_exit_of_the_old_process_only_briefly() {
    play(
        &mut VirtualStage::sharing_listener(),
        "open a
         send b health 1
         expect b 1 good
         send server TERM
         expect a draining
         expect b draining
         wait 200
         expect no exit
         wait 200
         expect exit",
    );
}

#[test]
fn the_old_process_exits_before_sigkill_while_a_run_is_in_progress() {
    // The stop time is 2 s after SIGTERM in this configuration; the process must answer, close and exit before it.
    let mut stage = VirtualStage::sharing_listener();
    play(
        &mut stage,
        "send a call 1 rid=1
         expect processor begin 1
         send server TERM
         wait 1700
         expect no a 1
         expect no exit
         wait 160",
    );
    assert_in_order(&mut stage, &["a 1 failed", "a closed", "exit"]);
}

/// Asserts that these events have occurred, in this order.
fn assert_in_order(stage: &mut VirtualStage, wanted: &[&str]) {
    let events = stage.pending_events();
    let found: Vec<&str> = events.iter().map(String::as_str).filter(|event| wanted.contains(event)).collect();
    assert_eq!(found, wanted, "{events:?}");
}

#[test]
fn the_old_process_answers_requests_in_every_state_before_its_exit() {
    // Guards against requests that are read and never answered: the exit was due before the admission module had to have
    // answered. Requests that run, wait for a claim, for another attempt, for a core or for a look-up are all answered.
    let mut stage = VirtualStage::in_upgrade();
    play(
        &mut stage,
        "send a call 1 rid=1
         expect processor begin 1
         send a call 2 rid=2 method=claim token=t
         expect claim 2 t
         send a call 3 rid=3 method=claim token=t
         send a call 4 rid=4
         send a call 5 rid=5
         send a call 6 rid=6
         send a call 7 rid=7 method=claim token=u
         send server TERM
         expect a draining
         wait 1730
         send a call 8 rid=8 method=claim token=v
         expect lookup v
         wait 130",
    );
    assert_answered(&mut stage, 1..=8);
    assert_in_order(&mut stage, &["a closed", "exit"]);
    let events = stage.pending_events();
    let closed = events.iter().position(|event| event == "a closed");
    let last_answer = events.iter().rposition(|event| event.starts_with("a ") && event != "a closed");
    assert!(last_answer < closed, "an answer after the close: {events:?}");
}

#[test]
fn an_old_process_that_was_paused_past_its_exit_answers_before_it_exits() {
    // Guards against an exit that comes first when a paused process finds its answers and its exit due at once: the
    // queued keyed request is given up then, and its look-up can't be awaited.
    let mut stage = VirtualStage::in_upgrade();
    play(
        &mut stage,
        "send a call 1 rid=1
         send a call 2 rid=2
         send a call 3 rid=3
         send a call 4 rid=4
         send a call 5 rid=5 method=claim token=t
         expect no claim
         send server TERM",
    );
    stage.pause_process(1950);
    assert_answered(&mut stage, 1..=5);
    let events = stage.pending_events();
    assert_eq!(events.last().map(String::as_str), Some("exit"), "{events:?}");
}

/// Takes the answers to requests on the connection `a`.
fn assert_answered(stage: &mut VirtualStage, requests: std::ops::RangeInclusive<u32>) {
    for request in requests {
        let prefix = format!("a {request} ");
        let events = stage.pending_events();
        let answer = events.iter().find(|event| event.starts_with(&prefix));
        assert!(answer.is_some(), "request {request} has no answer: {events:?}");
    }
}

#[test]
fn a_keyed_run_waits_for_its_claim_and_reports_its_end() {
    // Guards idempotency across an upgrade: no keyed run begins before it is claimed, the claim of a run that never
    // started is released, and reads do not wait for claims. A try that can't be claimed is refused if its key is known
    // to be free, and fails if the other process may have run it.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1
         expect processor begin 1
         send a call 2 rid=2 method=claim token=t body=save
         expect claim 2 t
         expect no processor begin 2
         send claims 2 ours
         expect processor begin 2 claim save
         send processor complete 1 2 OK saved
         expect a 2 served saved
         expect claim-ended t served
         send a call 3 rid=3 method=claim token=u
         expect claim 3 u
         send claims 3 ours
         expect processor begin 3
         send processor complete 2 3 ERROR
         expect a 3 failed
         expect claim-ended u failed
         send a call 4 rid=4 method=claim token=v
         expect claim 4 v
         send claims 4 ours
         expect processor begin 4
         send processor complete 3 4 MOOT
         expect claim-ended v void
         send a call 5 rid=5 method=claim token=w
         expect claim 5 w
         send claims 5 full
         expect a 5 refused
         send a call 6 rid=6 method=claim token=x
         expect claim 6 x
         send claims 6 unsure
         expect a 6 failed
         expect no processor begin",
    );
}

#[test]
fn a_run_of_the_other_process_answers_attempts_in_this_process() {
    // Guards against a second run in the other process of an upgrade: every attempt is answered from the run that
    // took place, its admission slots are free again, and an attempt whose caller gave up earlier is answered only
    // once.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1 method=claim token=t
         expect claim 1 t
         send b call 1 rid=2 method=claim token=t
         expect no claim 2
         send claims 1 served theirs
         expect a 1 served theirs
         expect b 1 served theirs
         send b call 2 rid=3 method=claim token=t
         expect b 2 served theirs
         send a call 2 rid=4 method=claim token=u budget=300
         expect claim 4 u
         wait 400
         expect a 2 failed
         send claims 4 failed
         expect no a 2
         expect no processor begin
         send a call 3 rid=5
         send a call 4 rid=6
         send a call 5 rid=7
         send a call 6 rid=8
         expect processor begin 5
         expect processor begin 6
         expect processor begin 7
         expect processor begin 8",
    );
}
