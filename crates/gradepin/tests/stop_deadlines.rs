//! The time of the stop: the longest deadline of the classes (3 s at most) plus 0.7 s, or `stop_ms` if that is earlier.

mod scenario;
use scenario::play;
use scenario::virtual_stage::VirtualStage;
use serde_json::{Value, json};

/// Classes with deadlines of 1 s, which the platform stops after 1.7 s; `stop_ms` says more.
fn short_deadlines(config: &mut Value) {
    config["stop_ms"] = json!(3_700);
    for profile in config["settings"]["profiles"].as_array_mut().expect("classes") {
        profile["deadline"] = json!(1_000_000_000_u64);
    }
}

#[test]
fn all_is_answered_before_the_stop_that_the_deadlines_give() {
    // Guards against requests that are cut off by SIGKILL: all times of a shutdown were derived from `stop_ms` alone, and
    // the platform stops a process as soon as its longest deadline allows.
    for mut stage in
        [VirtualStage::sharing_listener_with(short_deadlines), VirtualStage::with_processor(short_deadlines)]
    {
        play(
            &mut stage,
            "send a call 1 rid=1 budget=2000
             expect processor begin 1
             send server TERM
             wait 1690
             expect a 1 failed
             expect a closed",
        );
    }
}

#[test]
fn a_reload_to_shorter_deadlines_brings_the_stop_forward() {
    // Guards against a stop that a reload during the drain has moved: the times were derived once, at SIGTERM.
    let long_stop = |config: &mut Value| config["stop_ms"] = json!(3_700);
    for mut stage in [VirtualStage::sharing_listener_with(long_stop), VirtualStage::with_processor(long_stop)]
    {
        play(
            &mut stage,
            "send a call 1 rid=1 budget=4000
             expect processor begin 1
             send server TERM
             wait 500
             send server HUP hurried
             wait 1190
             expect a 1 failed
             expect a closed",
        );
    }
}
