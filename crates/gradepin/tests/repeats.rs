//! Repeats of keyed requests that wait for another try's run: each has that run's end, and no other's.

mod scenario;
use scenario::play;
use scenario::virtually::Virtually;
use serde_json::json;

/// A server whose processor has greeted, where a token may come again with another request after half a second.
fn stage() -> Virtually {
    let mut stage = Virtually::with(|config| {
        config["settings"]["profiles"][1]["window"] = json!(500_000_000);
    });
    play(&mut stage, "send processor hi WARM 0");
    stage
}

#[test]
fn a_rid_that_comes_again_is_never_served_with_what_it_waited_for_before() {
    // Guards against a result that no run made for the request: a rid was still noted as a repeat of the token that it
    // came with first, though its caller had left and sent another request under it.
    play(
        &mut Virtually::up(),
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
fn a_rid_that_comes_again_is_not_refused_while_it_runs() {
    // Guards the same where the run that it waited for never begins: its new request runs, and was told that it never did.
    play(
        &mut Virtually::sharing(),
        "send a call 1 rid=1 method=claim token=t
         expect claim 1 t
         send b call 1 rid=2 method=claim token=t
         send b cancel 1
         send b call 2 rid=2
         expect processor begin 2 read
         send claims 1 unsure
         expect a 1 refused
         expect no b 2
         send processor complete 1 2 OK out
         expect b 2 served out",
    );
}

#[test]
fn a_repeat_has_the_end_of_the_run_it_waits_for_though_another_ran_since() {
    // Guards against a result of another body: a token that came again past its window with another request took along
    // the tries that waited for the run before, which goes on.
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
    // What is kept for later tries is the last run's, whichever ends last.
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
fn a_reject_makes_no_run_that_may_have_begun_run_again() {
    // Guards against an effect twice: a run that the processor is known to have read, or was asked for twice, counted as
    // never begun when a reject came for its id, and the next try under its token ran beside it.
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
            &mut Virtually::up(),
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
    // One that was asked for once, with no answer since, never began: another try may.
    play(
        &mut Virtually::up(),
        "send processor mute
         send a call 1 rid=1 method=claim token=t
         expect processor begin 1
         send processor reject 1
         expect a 1 failed
         send b call 1 rid=2 method=claim token=t again=1
         expect processor begin 2",
    );
}
