//! The `scale fleet` command: hollow servers and real daemons in one fleet on loopback sockets. Timeouts are generous upper
//! bounds, so that no result depends on the speed of the machine.

use rustix::process::{Pid, Signal, kill_process, test_kill_process};
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(60);
const SEED: &str = "7";

fn scale_fleet(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gradepin-testkit"));
    command.args(["scale", "fleet", "--seed", SEED, "--rate", "0"]).args(args);
    command
}

/// Runs a fleet; returns whether it succeeded, its figures, and its output.
fn play(name: &str, args: &[&str]) -> (bool, Value, String) {
    println!("seed {SEED}");
    let file: PathBuf =
        std::env::temp_dir().join(format!("gradepin-hollow-{name}-{}.json", std::process::id()));
    let output = scale_fleet(args).arg("--json").arg(&file).output().expect("the kit runs");
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    let figures = std::fs::read_to_string(&file).unwrap_or_else(|why| panic!("{why}: {text}"));
    let _ = std::fs::remove_file(&file);
    (output.status.success(), serde_json::from_str(&figures).expect("figures are JSON"), text)
}

/// Hollow servers and real daemons form one membership and exchange the same kinds of messages, also after a partition
/// between regions.
#[test]
fn hollow_and_real_servers_form_one_fleet() {
    let (_, figures, text) = play(
        "one",
        &["--sizes", "12", "--processes", "2", "--seconds", "2", "--cut", "1", "--patience", "30"],
    );
    let outcome = &figures["outcomes"][0];
    assert!(outcome["known_s"].is_number() && outcome["healed_s"].is_number(), "{text}");
    assert!(outcome["cut_dropped"].as_u64() > Some(0), "{text}");
    assert_eq!((outcome["least_up"].as_u64(), outcome["used"]["processes"].as_u64()), (Some(11), Some(6)));
    for kind in ["membership", "rows"] {
        for from_real in [true, false] {
            let of = |one: &&Value| one["kind"] == kind && one["from_real"] == from_real;
            let rate = outcome["kinds"].as_array().and_then(|kinds| kinds.iter().find(of));
            assert!(rate.is_some_and(|rate| rate["datagrams"].as_f64() > Some(0.0)), "{kind}: {text}");
        }
    }
    assert!(outcome["uneven"].as_array().is_some_and(|all| all.iter().all(|one| one["cost"] != "Bytes")));
}

/// A server with an extra kilobyte per second and an extra millisecond per tick is detected.
#[test]
fn extra_cost_of_one_server_is_detected() {
    let spend = ["--spend-bytes", "1024", "--spend-us", "1000"];
    let args = [&["--sizes", "12", "--seconds", "4"], &spend[..]].concat();
    let (_, figures, text) = play("spends", &args);
    let uneven = figures["outcomes"][0]["uneven"].as_array().expect("a list");
    for cost in ["Bytes", "Cpu"] {
        assert!(uneven.iter().any(|one| one["server"] == 0 && one["cost"] == cost), "{cost}: {text}");
    }
}

/// Guards against runs that start without enough resources.
#[test]
fn insufficient_resources_are_reported_at_once() {
    let output = scale_fleet(&["--sizes", "900000", "--processes", "1"]).output().expect("the kit runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && text.contains("needs") || text.contains("need about"), "{text}");
}

/// After an interruption, none of the process IDs of the run exists any more.
#[test]
fn interrupted_run_leaves_no_processes() {
    let mut run = scale_fleet(&["--sizes", "12", "--seconds", "600"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the kit runs");
    let begin = Instant::now();
    let mut started = Vec::new();
    while started.len() < 5 && begin.elapsed() < TIMEOUT {
        thread::sleep(Duration::from_millis(50));
        started = children(run.id());
    }
    let _ = kill_process(pid(run.id()), Signal::INT);
    let ended = wait(&mut run, TIMEOUT);
    if !ended {
        let _ = run.kill();
    }
    assert!(ended && started.len() >= 5, "ended {ended}, {started:?} were started");
    let left: Vec<u32> = started.into_iter().filter(|id| test_kill_process(pid(*id)).is_ok()).collect();
    assert!(left.is_empty(), "still there: {left:?}");
}

fn pid(id: u32) -> Pid {
    Pid::from_raw(id as i32).expect("a process has an id")
}

fn wait(child: &mut Child, timeout: Duration) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < timeout {
        if matches!(child.try_wait(), Ok(Some(_))) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// IDs of the child processes of `parent`.
fn children(parent: u32) -> Vec<u32> {
    let parent_of = |id: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    let ids = std::fs::read_dir("/proc").expect("a process table").filter_map(Result::ok);
    let ids = ids.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    ids.filter(|id| parent_of(*id) == Some(parent)).collect()
}
