//! A server as a member of a fleet, at the reducer: upstream calls wait for a slot, every request is answered
//! whatever the upstream does, and retries stay within the fleet's budget.

mod scenario;
use scenario::virtual_stage::VirtualStage;
use scenario::{Stage, play};
use serde_json::{Value, json};

/// At most four calls in flight, and enough cores to run every request.
fn enable_upstream_calls(config: &mut Value) {
    config["ledger"] = json!("127.0.0.1:4");
    let specifics = &mut config["settings"]["specifics"];
    specifics["below"] = json!("shared");
    specifics["calls_by_class"] = json!([true, true]);
    specifics["calls_out"] = json!(4.0);
    specifics["linger"] = json!(200_000_000);
    specifics["n_cores"] = json!(8);
}

/// A server past its initial seconds, in which it holds slots back.
fn stage() -> VirtualStage {
    let mut stage = VirtualStage::lending(enable_upstream_calls);
    play(&mut stage, "wait 5000");
    stage
}

/// A server that has just started, with a run whose upstream call is waiting for a slot.
fn waiting_for_a_slot() -> VirtualStage {
    let mut stage = VirtualStage::lending(enable_upstream_calls);
    play(
        &mut stage,
        "wait 20
         send a call 1 rid=1 body=one
         send processor ask 1 1 one",
    );
    stage
}

/// Guards the concurrency limit across a restart: calls of the previous incarnation may still be in flight at the
/// upstream, so no call leaves before those have certainly ended.
#[test]
fn no_call_is_sent_before_those_of_the_previous_incarnation_have_ended() {
    let mut stage = waiting_for_a_slot();
    play(
        &mut stage,
        "wait 150
         expect no ledger call
         wait 60
         expect ledger call 1 one
         send ledger 1 200 done
         expect processor answer 1 done
         send processor complete 2 1 OK done
         expect a 1 served done",
    );
}

/// Guards the upstream latency reported to admission and to peers: time spent waiting for a slot must not count,
/// otherwise the upstream looks slow while this server holds the calls back.
#[test]
fn time_waiting_for_a_slot_is_not_upstream_latency() {
    let mut stage = waiting_for_a_slot();
    play(
        &mut stage,
        "wait 230
         expect ledger call 1 one
         wait 10
         send ledger 1 500
         expect log a call to the ledger for 0000000000000001 ended AppError after 60 ms",
    );
}

/// Guards the demand for borrowed slots: a run counts while its call is to be retried, and no longer once its call is
/// complete or abandoned.
#[test]
fn a_run_counts_as_waiting_until_its_call_is_sent_or_abandoned() {
    let mut stage = waiting_for_a_slot();
    play(
        &mut stage,
        "until admin stats 200 server_fleet_waiting 1.0
         wait 230
         expect ledger call 1 one
         until admin stats 200 server_fleet_waiting 0.0
         send ledger 1 refused
         until admin stats 200 server_fleet_waiting 1.0
         wait 1000
         expect ledger call 1 one
         send ledger 1 200 done
         expect processor answer 1 done
         until admin stats 200 server_fleet_waiting 0.0
         send b call 2 rid=2 method=claim token=t body=two
         send processor ask 2 2 two
         expect ledger call 2 two
         send ledger 2 500
         expect b 2 failed
         until admin stats 200 server_fleet_waiting 0.0",
    );
}

/// Guards the main thread and the run: a call that expires behind an earlier waiting call fails at that time.
/// Otherwise its timer lies in the past and fires endlessly until the earlier call gets its slot.
#[test]
fn a_call_that_expires_behind_another_waiting_call_fails_at_once() {
    let mut stage = VirtualStage::lending(|config| {
        enable_upstream_calls(config);
        config["settings"]["specifics"]["calls_out"] = json!(16.0);
    });
    play(&mut stage, "wait 5000");
    // Admission is notified of the remaining slots every 20 ms: it knows of the first lease and not yet of the
    // second.
    stage.receive_lease_request(1, 100);
    stage.receive_lease_request(2, 11_000);
    for run in 1..=8 {
        let budget = if run < 7 { 4_000 } else { 300 };
        play(
            &mut stage,
            &format!(
                "send c{run} call {run} rid={run} method=claim token=t{run} budget={budget} body=b{run}
                 expect processor begin {run} claim
                 send processor ask {run} {run} entry{run}"
            ),
        );
    }
    play(
        &mut stage,
        "expect ledger call 1 entry1
         expect ledger call 2 entry2
         expect ledger call 3 entry3
         expect ledger call 4 entry4
         expect ledger call 5 entry5
         expect no ledger call
         wait 290
         expect no log a call to the ledger
         wait 20
         expect log a call to the ledger for 0000000000000007 ended Shed
         expect log a call to the ledger for 0000000000000008 ended Shed
         expect no log a call to the ledger
         send ledger 1 200 done
         expect processor answer 1 done
         expect ledger call 6 entry6",
    );
}

/// Guards leases against the Unix clock: they use monotonic time, so a jump of one hour in either direction during
/// calls neither frees nor withholds slots.
#[test]
fn a_unix_clock_jump_of_one_hour_changes_no_slot() {
    for hours in [-1, 1] {
        let mut stage = stage();
        play(
            &mut stage,
            "send a call 1 rid=1 body=one
             send processor ask 1 1 one
             expect ledger call 1 one
             until admin stats 200 server_fleet_slots{kind=\"taken\"} 1.0",
        );
        stage.shift_unix_clock_ms(hours * 3_600_000);
        play(
            &mut stage,
            "wait 500
             until admin stats 200 server_fleet_slots{kind=\"taken\"} 1.0
             until admin stats 200 server_fleet_slots{kind=\"kept\"} 4.0
             send b call 2 rid=2 body=two
             send processor ask 2 2 two
             expect ledger call 2 two
             send ledger 2 200 done
             expect processor answer 2 done",
        );
    }
}

/// Guards the upstream against retries beyond the fleet's budget, and callers against a rejection without a backoff
/// hint.
#[test]
fn retries_beyond_the_fleet_budget_are_rejected() {
    let mut stage = stage();
    let line = |n| format!("send a{n} call {n} rid={n} again=1 body=b\n");
    let sends: String = (1..=60).map(line).collect();
    play(&mut stage, &sends);
    let events = stage.pending_events();
    let rejected = events.iter().filter(|event| event.contains("refused backoff=1000")).count();
    assert!((20..60).contains(&rejected), "{rejected} of 60 retries rejected without any first attempt");
}

/// Waits until a request's call with this body is sent; admission and the fleet may delay it.
fn wait_until_sent(stage: &mut VirtualStage, rid: u64, body: &str) {
    let sent = (0..200).any(|_| {
        stage.wait(20);
        stage.take_event(&format!("ledger call {rid} {body}")).is_ok()
    });
    assert!(sent, "the call {body} was never sent");
}

/// Guards against leaking slots when one of two calls in flight was abandoned with its run, and a request came again under
/// its id.
#[test]
fn two_calls_in_flight_of_which_one_was_abandoned_free_two_slots() {
    let mut stage = stage();
    for n in 0..8 {
        let [first, second, third, fourth] = [1, 2, 3, 4].map(|k| 4 * n + k);
        play(
            &mut stage,
            &format!(
                "send a call {first} rid={first} body=one
                 expect processor begin {first} read one
                 send processor ask {first} {first} form-{first}"
            ),
        );
        wait_until_sent(&mut stage, first, &format!("form-{first}"));
        play(
            &mut stage,
            &format!(
                "send processor complete {second} {first} STOPPED
                 expect a {first} failed
                 send a call {third} rid={first} body=one
                 expect a {third} failed why=outcome unknown:
                 send a call {second} rid={second} body=two
                 expect processor begin {second} read two
                 send processor ask {third} {second} form-{third}"
            ),
        );
        wait_until_sent(&mut stage, second, &format!("form-{third}"));
        play(
            &mut stage,
            &format!(
                "send ledger {first} 200 of-{first}
                 send ledger {second} 200 of-{third}
                 expect processor answer {second} of-{third}
                 send processor complete {fourth} {second} OK out
                 expect a {second} served out"
            ),
        );
    }
}
