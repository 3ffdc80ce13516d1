//! Refusals during an upgrade: a refusal says that the request never ran on this server, which is two processes.

mod scenario;
use scenario::virtual_stage::VirtualStage;
use scenario::{Stage, play};

/// Ways in which a process comes to refuse the keyed request `b 1 rid=100 token=t`, with what precedes its look-up.
const REASONS: [(&str, &str); 6] = [
    ("too little time is left", "send b call 1 rid=100 method=claim token=t budget=1"),
    (
        "it expires while it is queued",
        "send a call 1 rid=1
         send a call 2 rid=2
         send a call 3 rid=3
         send a call 4 rid=4
         send b call 1 rid=100 method=claim token=t budget=400",
    ),
    ("its memory is not free", "send b call 1 rid=100 method=claim token=t mem=1999"),
    (
        "it arrived after the drain grace",
        "open b
         send server TERM
         wait 1700
         send b call 1 rid=100 method=claim token=t",
    ),
    (
        "its connection misused a sequence number",
        "send b call 2 rid=2
         send b call 2 rid=3
         send b call 1 rid=100 method=claim token=t",
    ),
    ("its connection has 32 open requests", ""),
];

/// Plays until the request is looked up.
fn until_look_up(reason: &str, steps: &str) -> VirtualStage {
    let mut stage = VirtualStage::sharing_runs();
    if steps.is_empty() {
        for n in 2..34 {
            play(&mut stage, &format!("send b call {n} rid={n} mem=1"));
        }
        play(&mut stage, "send b call 1 rid=100 method=claim token=t");
    }
    play(&mut stage, steps);
    println!("refused since {reason}");
    // A queued request is refused later, and its look-up must be answered within 50 ms.
    for _ in 0..50 {
        if !stage.pending_events().iter().any(|event| event.starts_with("lookup")) {
            stage.wait(10);
        }
    }
    play(&mut stage, "expect lookup t\nexpect no b 1");
    stage
}

#[test]
fn whatever_the_reason_a_try_that_ran_in_the_other_process_is_not_refused() {
    // Guards against a caller that takes its request to another server, where it runs a second time, because the process
    // that refused it had not asked whether the other one of the upgrade ran it.
    for (reason, steps) in REASONS {
        for (record, answer) in [
            ("none", "refused"),
            ("failed", "failed"),
            ("served theirs", "served theirs"),
            ("running", "failed"),
            ("unsure", "failed"),
        ] {
            let mut stage = until_look_up(reason, steps);
            play(&mut stage, &format!("send lookups t {record}\nexpect b 1 {answer}\nexpect no claim 100"));
        }
    }
}

#[test]
fn a_process_without_a_processor_asks_the_other_one_before_it_refuses() {
    // Guards against the same while the new process waits for its processor's greeting, and against a server that spins
    // or keeps requests open when a caller leaves meanwhile.
    play(
        &mut VirtualStage::sharing_runs_without_processor(),
        "send a call 1 rid=1 method=claim token=t
         expect lookup t
         send lookups t served theirs
         expect a 1 served theirs
         send a call 2 rid=2
         expect a 2 refused
         send a call 3 rid=3 method=claim token=u
         expect lookup u
         send a cancel 3
         wait 100
         send lookups u none
         expect no a 3
         send admin stats
         expect admin 200 server_open_requests 0",
    );
}

#[test]
fn a_try_whose_look_up_takes_too_long_fails_in_time() {
    // Guards against a refusal that is late, or that is given without an answer of the other process's record; and
    // against a late record that answers a request which reused the id.
    let mut stage = VirtualStage::sharing_runs_without_processor();
    play(
        &mut stage,
        "send a call 1 rid=1 method=claim token=t
         expect lookup t
         wait 49
         expect no a 1
         wait 1
         expect a 1 failed",
    );
    // Its caller stops waiting after 1 ms.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1 method=claim token=t budget=1
         expect lookup t
         wait 9
         expect no a 1
         wait 1
         expect a 1 failed
         send a call 2 rid=1 method=claim token=u budget=1
         expect lookup u
         send lookups t none
         expect no a 2
         send lookups u none
         expect a 2 refused",
    );
}

#[test]
fn refusals_that_wait_for_look_ups_are_bounded() {
    // Guards against memory that grows with what a client sends beyond all limits.
    let mut stage = VirtualStage::sharing_runs_without_processor();
    stage.in_one_step(
        &(1..=300)
            .map(|n| format!("send a + call {n} rid={n} method=claim token=t{n}\n"))
            .collect::<String>(),
    );
    play(&mut stage, "expect lookup t256\nexpect no lookup t257\nexpect a 257 failed\nexpect a 300 failed");
    play(&mut stage, "wait 50\nexpect a 1 failed\nexpect a 256 failed");
    play(&mut stage, "send a call 301 rid=301 method=claim token=u\nexpect lookup u");
}

#[test]
fn a_try_of_a_run_that_starts_here_during_its_look_up_is_not_refused() {
    // Guards against a refusal based on a record that was read before this process itself started a run of the key.
    play(
        &mut VirtualStage::sharing_runs(),
        "send a call 1 rid=1 method=claim token=t budget=1
         expect lookup t
         send b call 1 rid=2 method=claim token=t
         expect claim 2 t
         send claims 2 ours
         expect processor begin 2
         send lookups t none
         expect a 1 failed
         send processor complete 1 2 OK done
         expect b 1 served done",
    );
}

#[test]
fn a_connection_over_its_limit_gets_the_result_of_its_own_earlier_run() {
    // Guards against a refusal of what this process itself ran, where a limit is checked before the earlier run is found.
    // Nothing is looked up in a process that shares no runs.
    let mut stage = VirtualStage::ready();
    play(
        &mut stage,
        "send a call 1 rid=1 method=claim token=t
         expect processor begin 1
         send processor complete 1 1 OK done
         expect a 1 served done",
    );
    for n in 2..34 {
        play(&mut stage, &format!("send a call {n} rid={n} mem=1"));
    }
    play(
        &mut stage,
        "send a call 40 rid=40 method=claim token=t
         expect a 40 served done
         send a call 41 rid=41 method=claim token=new
         expect a 41 refused
         expect no lookup",
    );
}
