//! Retries of keyed requests that wait for the run of another attempt: each gets the outcome of that run and of no
//! other.

mod scenario;
use scenario::play;
use scenario::virtual_stage::VirtualStage;
use serde_json::json;

/// A server whose processor has greeted, with an idempotency window of half a second.
fn stage() -> VirtualStage {
    let mut stage = VirtualStage::with(|config| {
        config["settings"]["profiles"][1]["window"] = json!(500_000_000);
    });
    play(&mut stage, "send processor hi WARM 0");
    stage
}

#[test]
fn a_reused_rid_is_never_served_the_result_its_earlier_request_waited_for() {
    // Guards against serving a result of another run: a rid stayed registered as a retry of its first token, although
    // its caller had cancelled and sent another request under the same rid.
    play(
        &mut VirtualStage::ready(),
        "send a call 1 rid=1 method=claim token=t body=tee
         expect processor begin 1 claim tee
         send b call 1 rid=2 method=claim token=t body=tee
         send b cancel 1
         send a call 2 rid=3 method=claim token=u body=you
         expect processor begin 3 claim you
         send b call 2 rid=2 method=claim token=u body=you
         send processor complete 1 1 OK tees
         expect a 1 served tees
         expect no b 2
         send processor complete 2 3 OK yous
         expect a 2 served yous
         expect b 2 served yous",
    );
}

#[test]
fn a_reused_rid_is_not_rejected_while_it_runs() {
    // Guards the same when the run it waited for never begins: the new request under the rid is running, but was
    // reported as never started.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1 method=claim token=t
         expect claim 1 t
         send b call 1 rid=2 method=claim token=t
         send b cancel 1
         send b call 2 rid=2
         expect processor begin 2 read
         send claims 1 full
         expect a 1 refused
         expect no b 2
         send processor complete 1 2 OK out
         expect b 2 served out",
    );
}

#[test]
fn a_retry_gets_the_outcome_of_the_run_it_waits_for_although_another_ran_since() {
    // Guards against the result of another body: when a token was reused with another request after its window, the
    // attempts that waited for the earlier, still active run were moved to the new one.
    play(
        &mut stage(),
        "send a call 1 rid=1 method=claim token=t body=one
         expect processor begin 1 claim one
         send b call 1 rid=2 method=claim token=t body=one
         wait 600
         send c call 1 rid=3 method=claim token=t body=other
         expect processor begin 3 claim other
         send d call 1 rid=4 method=claim token=t body=other
         send processor complete 1 3 OK others
         expect c 1 served others
         expect d 1 served others
         expect no b 1
         send processor complete 2 1 OK ones
         expect a 1 served ones
         expect b 1 served ones",
    );
    // Later attempts get the result of the run that began last, whichever run ends last.
    play(
        &mut stage(),
        "send a call 1 rid=1 method=claim token=t body=one
         expect processor begin 1 claim one
         wait 600
         send c call 1 rid=3 method=claim token=t body=other
         expect processor begin 3 claim other
         send processor complete 1 3 OK others
         send processor complete 2 1 OK ones
         expect a 1 served ones
         send d call 1 rid=4 method=claim token=t body=other
         expect d 1 served others",
    );
}

#[test]
fn a_reject_allows_no_second_run_of_a_run_that_may_have_begun() {
    // Guards against executing an effect twice: a run that the processor is known to have read, or was sent twice,
    // counted as never begun after a `reject` for its id, and the next attempt under its token ran beside it.
    for begun in [
        "send a call 1 rid=1 method=claim token=t
         expect processor begin 1
         wait 300",
        "send processor mute
         send a call 1 rid=1 method=claim token=t
         expect processor begin 1
         close processor
         send processor unmute
         send processor hi WARM 1000
         expect processor begin 1",
    ] {
        play(
            &mut VirtualStage::ready(),
            &format!(
                "{begun}
                 send processor reject 1
                 expect a 1 failed
                 send b call 1 rid=2 method=claim token=t again=1
                 expect b 1 failed
                 expect no processor begin"
            ),
        );
    }
    // A run that was sent once, with no answer since, never began, so another attempt may run.
    play(
        &mut VirtualStage::ready(),
        "send processor mute
         send a call 1 rid=1 method=claim token=t
         expect processor begin 1
         send processor reject 1
         expect a 1 failed
         send b call 1 rid=2 method=claim token=t again=1
         expect processor begin 2",
    );
}
