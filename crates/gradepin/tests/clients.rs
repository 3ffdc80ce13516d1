//! What clients do to each other: ids that come again, numbers that come twice, and bytes that come in an odd way.

mod scenario;
use scenario::play;
use scenario::virtually::Virtually;

#[test]
fn a_repeat_whose_rid_comes_again_is_answered_from_the_run_of_its_own_token() {
    // Guards against a result that no run made for a request: a repeat that waited for a run left, its rid came again
    // for another token, and it was answered from the run that the one before had waited for.
    play(
        &mut Virtually::up(),
        "send a call 1 rid=1 method=claim token=t body=one
         expect processor begin 1
         send b call 1 rid=2 method=claim token=t body=one again=1
         send b cancel 1
         send c call 1 rid=3 method=claim token=u body=two
         expect processor begin 3
         send d call 1 rid=2 method=claim token=u body=two again=1
         send processor complete 1 1 OK ONE
         expect a 1 served ONE
         expect no d 1
         send processor complete 2 3 OK TWO
         expect c 1 served TWO
         expect d 1 served TWO",
    );
}

#[test]
fn a_repeat_whose_rid_runs_for_another_token_by_now_keeps_its_run() {
    // Guards against a run taken out of the books because a repeat with its rid once waited for what never ran here.
    play(
        &mut Virtually::sharing(),
        "send a call 1 rid=1 method=claim token=t body=one
         expect claim 1 t
         send b call 1 rid=2 method=claim token=t body=one again=1
         send b cancel 1
         send c call 1 rid=2 method=claim token=u body=two
         expect claim 2 u
         send claims 2 ours
         expect processor begin 2
         send claims 1 unsure
         expect a 1 refused
         expect no c 1
         send processor complete 1 2 OK TWO
         expect c 1 served TWO",
    );
}

#[test]
fn what_makes_no_sense_under_an_open_number_takes_nobodys_answer() {
    // Guards against two answers under one number: the client would take the first for that of its open request.
    for twice in ["call 1 method=novelty", "health 1", "call 1 method=novelty rid=7"] {
        play(
            &mut Virtually::up(),
            &format!(
                "send a call 1 rid=1
                 expect processor begin 1
                 send a {twice}
                 expect no a 1
                 expect a draining
                 send processor complete 1 1 OK out
                 expect a 1 served out
                 expect no a 1
                 expect a closed"
            ),
        );
    }
}
