//! Calls to the shared upstream (the ledger): a run requests a call through the processor, the server makes it, and
//! the reply goes back to the run.

mod scenario;
use scenario::play;
use scenario::socket_stage::SocketStage;
use scenario::virtual_stage::VirtualStage;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::thread;

/// Settings that allow upstream calls for both classes, at most four in flight.
fn enable_upstream_calls(config: &mut Value) {
    config["ledger"] = json!("127.0.0.1:4");
    config["settings"]["specifics"]["below"] = json!("shared");
    config["settings"]["specifics"]["calls_by_class"] = json!([true, true]);
    config["settings"]["specifics"]["calls_out"] = json!(4.0);
}

fn stage() -> VirtualStage {
    let mut stage = VirtualStage::with(enable_upstream_calls);
    play(&mut stage, "send processor hi WARM 0");
    stage
}

#[test]
fn a_requested_call_is_made_and_its_reply_reaches_the_run() {
    // Guards the path of a call: the body goes to the upstream unchanged, the reply returns to the run unchanged, and
    // the request is served when its run ends. A duplicate notice is applied once.
    play(
        &mut stage(),
        "send a call 1 rid=1 body=form
         expect processor begin 1 read form
         send processor ask 1 1 entry 7
         expect ledger call 1 entry 7
         send processor ask 1 1 entry 7
         expect no ledger call 1
         send ledger 1 200 recorded 7
         expect processor answer 1 recorded 7
         send processor complete 2 1 OK done
         expect a 1 served done",
    );
}

#[test]
fn a_keyed_call_that_may_have_run_is_never_retried() {
    // Guards idempotency: after a reply that does not prove the call was not executed, the call of a keyed request is
    // not retried and the request fails; after one that proves it, the call is retried.
    play(
        &mut stage(),
        "send a call 1 rid=1 method=claim token=t1 body=save
         expect processor begin 1 claim save
         send processor ask 1 1 entry
         expect ledger call 1 entry
         send ledger 1 500
         expect a 1 failed
         wait 1000
         expect no ledger call 1
         send b call 1 rid=2 method=claim token=t2 body=save2
         expect processor begin 2 claim save2
         send processor ask 2 2 entry
         expect ledger call 2 entry
         send ledger 2 untouched
         wait 500
         expect ledger call 2 entry
         send ledger 2 200 fine
         expect processor answer 2 fine",
    );
}

/// Guards the start of a deployment whose configuration names no ledger or tiers: every value of `specifics.below` is
/// accepted, and a call that a run requests anyway fails as one that was never made.
#[test]
fn without_an_upstream_everything_but_its_calls_is_served() {
    for below in ["shared", "tier", "off"] {
        let mut stage = SocketStage::with(&format!("no-ledger-{below}"), 1024, |config| {
            config["settings"]["specifics"]["below"] = json!(below);
            config["settings"]["specifics"]["class_skip_worth"] = json!([]);
            assert!(config.get("ledger").is_none());
        });
        play(
            &mut stage,
            "expect processor hello 0
             send a call 1 rid=1 body=plain
             expect processor begin 1 read plain
             send processor complete 1 1 OK out
             expect a 1 served out
             send a call 2 rid=2 body=calls budget=1500
             expect processor begin 2 read calls
             send processor ask 2 0000000000000002 5
             send processor entry
             send a call 3 rid=3 body=plain
             expect processor begin 3 read plain
             send processor complete 3 3 OK more
             expect a 3 served more
             expect a 2 failed",
        );
    }
}

/// Guards against runs that wait forever for a call: a server that started without upstream calls makes them once a
/// reload enables them.
#[test]
fn a_reload_can_enable_upstream_calls() {
    let ledger = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = ledger.local_addr().expect("bound");
    thread::spawn(move || {
        for socket in ledger.incoming().flatten() {
            let mut reads = BufReader::new(socket);
            let mut line = String::new();
            // The head, followed by the five bytes of the body.
            while reads.read_line(&mut line).is_ok_and(|len| len > 2) {
                line.clear();
            }
            reads.read_exact(&mut [0; 5]).expect("a body");
            let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
            reads.get_mut().write_all(reply).expect("a reader");
        }
    });
    let mut stage = SocketStage::with("late-calls", 1024, |config| {
        config["ledger"] = json!(address.to_string());
    });
    play(
        &mut stage,
        "expect processor hello 0
         expect control Ready
         send server HUP calling
         until admin stats 200 server_cfg_accepted_total 1
         send a call 1 rid=1 body=calls
         expect processor begin 1 read calls
         send processor ask 1 0000000000000001 5
         send processor entry
         expect processor answer 1 fine
         send processor complete 2 1 OK out
         expect a 1 served out",
    );
}

#[test]
fn a_reload_moves_upstream_calls_to_the_new_address() {
    // Guards a migration in which every peer changes its address at a SIGHUP: calls to the old address would all
    // fail.
    let mut stage = stage();
    play(
        &mut stage,
        "send server HUP moved
         expect calls to 127.0.0.1:7
         send a call 1 rid=1 body=form
         expect processor begin 1
         send processor ask 1 1 entry
         expect ledger call 1 entry
         send server HUP moved
         expect no calls to",
    );
}

#[test]
fn a_reply_that_a_broken_link_may_have_lost_is_sent_again() {
    // Guards against runs that wait for a lost reply until their callers give up, against failing keyed requests
    // because the link was down when their call ended, and against a second reply to a run that has continued.
    play(
        &mut stage(),
        "send a call 1 rid=1 body=form
         send a call 2 rid=2 method=claim token=t2 body=save
         expect processor begin 1
         expect processor begin 2
         send processor ask 1 1 one
         send processor ask 2 2 two
         expect ledger call 1 one
         expect ledger call 2 two
         send processor mute
         send ledger 1 200 first
         expect processor answer 1 first
         close processor
         send ledger 2 200 second
         expect no processor answer
         expect no a 2
         send processor unmute
         send processor hi WARM 1000
         expect processor answer 1 first
         expect processor answer 2 second
         wait 300
         expect no processor answer
         expect no ledger call
         send processor complete 3 1 OK done
         send processor complete 4 2 OK saved
         expect a 1 served done
         expect a 2 served saved
         send a call 3 rid=3 body=more
         expect processor begin 3
         send processor ask 5 3 three
         expect ledger call 3 three
         send processor mute
         send ledger 3 200 third
         expect processor answer 3 third
         close processor
         send processor hi WARM 1200
         send processor ask 6 3 four
         send processor unmute
         wait 300
         expect ledger call 3 four
         expect no processor answer 3 third",
    );
}

#[test]
fn a_run_stopped_by_the_processor_is_forgotten() {
    // Guards against requests that are tracked forever as running: when the processor stops a run at a call because
    // its caller left, the notice may precede the caller's cancel. Their bodies filled the memory budget, and then
    // every request was rejected.
    let mut stage = VirtualStage::with(|config| {
        enable_upstream_calls(config);
        config["limits"]["memory_mb"] = json!(16);
    });
    play(&mut stage, "send processor hi WARM 0");
    let body = "b".repeat(2_048);
    for n in 1..=1_500 {
        play(
            &mut stage,
            &format!(
                "send a call {n} rid={n} body={body}
                 expect processor begin {n} read
                 send processor complete {n} {n} STOPPED
                 expect a {n} failed
                 send a cancel {n}"
            ),
        );
    }
}

#[test]
fn a_request_is_forgotten_when_its_cancel_crosses_the_end_of_its_stopped_run() {
    // Guards the same when both arrive in one step, in either order. That its rid is not said to be open shows that the
    // request is forgotten; its run was started, so it is not run again.
    for crossing in [
        "send processor complete 1 1 STOPPED\nsend a cancel 1",
        "send a cancel 1\nsend processor complete 1 1 STOPPED",
    ] {
        let mut stage = stage();
        play(&mut stage, "send a call 1 rid=1\nexpect processor begin 1");
        stage.in_one_step(crossing);
        play(
            &mut stage,
            "expect no a 1
             send a call 2 rid=1
             expect a 2 failed why=outcome unknown:
             expect no processor begin 1
             send admin stats
             expect admin 200 server_open_requests 0",
        );
    }
}

#[test]
fn a_reused_rid_does_not_get_the_reply_to_its_earlier_call() {
    // Guards against delivering a reply that belongs to another request: a call may still be in flight when its run
    // is stopped and its rid is reused. The reused rid gets no run that could take the reply.
    play(
        &mut stage(),
        "send a call 1 rid=1 body=one
         expect processor begin 1 read one
         send processor ask 1 1 form-one
         expect ledger call 1 form-one
         send processor complete 2 1 STOPPED
         expect a 1 failed
         send a call 2 rid=1 body=two
         expect a 2 failed why=outcome unknown:
         expect no processor begin 1
         send ledger 1 200 of-one
         expect no processor answer 1
         send a call 3 rid=3 body=three
         expect processor begin 3 read three
         send processor ask 3 3 form-three
         wait 300
         expect ledger call 3 form-three
         send ledger 3 200 of-three
         expect processor answer 3 of-three",
    );
}
