//! Steps of the wall clock: deadlines and windows are spans of real time, whoever's clock is set.

mod scenario;
use scenario::play;
use scenario::virtual_stage::VirtualStage;

/// Steps of the server's clock, in ms.
const STEPS_MS: [i64; 4] = [3_600_000, -3_600_000, 3_000, -3_000];

#[test]
fn requests_are_served_after_a_step_of_the_clock_of_the_server_alone() {
    // Guards against a server that refuses every request after its clock was set: the age of a request was the difference
    // between the clock of its sender and that of the server.
    for step_ms in STEPS_MS {
        let mut stage = VirtualStage::ready();
        play(&mut stage, "send a call 1 rid=1\nexpect processor begin 1\nwait 5000");
        stage.shift_unix_clock_ms(step_ms);
        play(
            &mut stage,
            &format!(
                "send a call 2 rid=2 budget=900 t0={}
                 expect processor begin 2
                 wait 5000
                 send b call 1 rid=3 budget=900 t0={}
                 expect processor begin 3",
                -step_ms, -step_ms
            ),
        );
    }
}

#[test]
fn requests_are_served_after_a_step_of_all_clocks() {
    // Guards against a server that keeps to its own time when the clients' clocks are set together with its own.
    for step_ms in STEPS_MS {
        let mut stage = VirtualStage::ready();
        play(&mut stage, "send a call 1 rid=1\nexpect processor begin 1\nwait 5000");
        stage.shift_unix_clock_ms(step_ms);
        play(&mut stage, "send a call 2 rid=2 budget=900\nexpect processor begin 2");
    }
}

#[test]
fn a_key_runs_once_in_its_window_whatever_the_clocks_do() {
    // Guards against a second run of a key: its window was compared by the clock of the server, which was set meanwhile.
    // The window is 9 s.
    for step_ms in STEPS_MS {
        for clients_step_ms in [0, step_ms] {
            let mut stage = VirtualStage::ready();
            play(
                &mut stage,
                "send a call 1 rid=1 method=claim token=t body=save
                 expect processor begin 1
                 send processor complete 1 1 OK saved
                 expect a 1 served saved
                 wait 2000",
            );
            stage.shift_unix_clock_ms(step_ms);
            play(
                &mut stage,
                &format!(
                    "wait 4000
                     send b call 1 rid=2 method=claim token=t body=save t0={offset}
                     expect b 1 served saved
                     wait 4000
                     send c call 1 rid=3 method=claim token=t body=save t0={offset}
                     expect processor begin 3",
                    offset = clients_step_ms - step_ms
                ),
            );
        }
    }
}

#[test]
fn a_process_that_starts_with_another_clock_than_its_clients_serves_them() {
    // Guards a start after a step: the process knows no other clock than its own, by which every request has expired.
    for difference_ms in [3_600_000, 5_000] {
        let mut stage = VirtualStage::ready();
        play(
            &mut stage,
            &format!(
                "send a call 1 rid=1 budget=900 t0=-{difference_ms}
                 expect processor begin 1
                 send a call 2 rid=2 budget=900
                 expect processor begin 2
                 send a call 3 rid=3 budget=900 t0=-1000
                 expect a 3 refused"
            ),
        );
    }
}
