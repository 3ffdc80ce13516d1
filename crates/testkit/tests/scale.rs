//! The scale commands at small sizes. No verdict depends on the speed of the machine; all tests print their seed.

use serde_json::Value;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const SEED: &str = "11";
/// Sizes of simulated fleets; the largest is the target, so that nothing is extrapolated.
const SERVERS: [&str; 4] = ["--sizes", "4,6,9,14,21", "--target", "21"];
/// Sizes of the settings of a real server, in tenants.
const TENANTS: [&str; 4] = ["--sizes", "11,22,44,88,176", "--target", "176"];

fn kit(command: &str, args: &[&str]) -> Command {
    let mut kit = Command::new(env!("CARGO_BIN_EXE_gradepin-testkit"));
    kit.args(["scale", command, "--seed", SEED]).args(args).stdin(Stdio::null());
    kit
}

fn run(command: &str, args: &[&str]) -> (Option<i32>, String) {
    let Output { status, stdout, stderr } = kit(command, args).output().expect("the kit");
    let text = [stdout, stderr].map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).concat();
    println!("seed {SEED}, scale {command} {args:?}: {status}\n{text}");
    (status.code(), text)
}

fn with<'a>(args: &[&'a str], more: &[&'a str]) -> Vec<&'a str> {
    args.iter().chain(more).copied().collect()
}

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("gradepin-scale-test-{}-{name}", std::process::id()))
}

#[test]
fn membership_holds_its_budgets_and_added_cost_is_detected() {
    let short = with(&SERVERS, &["--seconds", "3", "--from", "1"]);
    let (status, text) = run("membership", &short);
    assert_eq!(status, Some(0));
    assert!(text.contains("membership.bytes") && text.contains("holds by a factor"));
    let (status, text) = run("membership", &with(&short, &["--stand-in-bytes", "5000"]));
    assert_eq!(status, Some(1));
    assert!(text.contains("budget 4000 B/s: fails by a factor") && text.contains("NOT KEPT"));
    let (status, text) = run("membership", &with(&short, &["--stand-in-cpu-ms", "5"]));
    assert_eq!(status, Some(1));
    assert!(text.contains("budget 4.20 % of a core: fails by a factor"));
}

#[test]
fn counters_are_reproducible_and_written_as_json_and_plot() {
    let (json, plot) = (file("counters.json"), file("counters.svg"));
    let paths = [json.display().to_string(), plot.display().to_string()];
    let files = ["--json", &paths[0], "--plot", &paths[1], "--seconds", "9", "--from", "6"];
    let figures = || -> Value {
        assert_eq!(run("counters", &with(&SERVERS, &files)).0, Some(0));
        let text = std::fs::read(&json).expect("the JSON");
        serde_json::from_slice::<Value>(&text).expect("JSON")["figures"].take()
    };
    let first = figures();
    assert_eq!(first, figures());
    assert_eq!(first[0]["points"].as_array().map(Vec::len), Some(5));
    assert!(std::fs::read_to_string(&plot).expect("the plot").contains("counters.bytes"));
    [json, plot].iter().for_each(|path| std::fs::remove_file(path).expect("a file of ours"));
}

/// Guards against misleading fits: beyond the maximum extrapolation, or with too few sizes, claims count as not kept.
#[test]
fn unsupported_extrapolation_is_refused() {
    let (status, text) = run("counters", &["--sizes", "4,6,9,14,21", "--seconds", "1", "--from", "0.5"]);
    assert_eq!(status, Some(1));
    assert!(text.contains("not extrapolated: 1100 is 52.4 times the largest size measured"));
    let (status, text) = run("counters", &["--sizes", "4,8", "--seconds", "1", "--from", "0.5"]);
    assert_eq!(status, Some(1));
    assert!(text.contains("expected 5 sizes or more, got 2"));
}

#[test]
fn settings_hold_their_budgets_at_small_sizes() {
    let (status, text) = run("settings", &with(&TENANTS, &["--idle", "0.1"]));
    assert_eq!(status, Some(0));
    assert!(text.contains("settings.memory") && text.contains("settings.gap-one"));
}

/// The allowed delay of the load generator is zero here, so that it always counts as late.
#[test]
fn requests_are_not_scored_if_the_load_is_late() {
    let late = ["--seconds", "0.3", "--most-lag-ms", "0", "--no-reloads"];
    let (status, text) = run("requests", &with(&TENANTS, &late));
    assert_eq!(status, Some(1));
    assert!(text.contains("NOT SCORED: the load itself was late") && text.contains("requests.added-p99"));
}

#[test]
fn connections_hold_their_budgets_and_descriptors_are_checked_first() {
    let few = ["--sizes", "8,16,32,64,128", "--target", "128", "--seconds", "0.1"];
    let (status, text) = run("connections", &few);
    assert_eq!(status, Some(0));
    assert!(text.contains("connections.held") && text.contains("128: 1.00"));
    let (status, text) = run("connections", &["--sizes", "4000000000"]);
    assert_eq!(status, Some(2));
    assert!(text.contains("descriptors are needed") && text.contains("ulimit -n"));
}

#[test]
fn consensus_prints_its_figures() {
    let (status, text) = run("consensus", &["--sizes", "2,4,8,16,32", "--target", "32"]);
    assert_eq!(status, Some(0));
    assert!(text.contains("consensus.syncs") && text.contains("consensus.disk"));
}

/// IDs of the child processes of `parent`.
fn children(parent: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let pids = all.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| parent_of(*pid) == Some(parent)).collect()
}

fn parent_of(pid: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
}

/// Polls `look` until it returns a value, for at most a minute.
fn until<T>(mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(60) {
        if let Some(found) = look() {
            return Some(found);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

fn interrupt(child: &Child) -> io::Result<()> {
    let status = Command::new("/bin/sh").arg("-c").arg(format!("kill -INT {}", child.id())).status()?;
    if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
}

#[test]
fn interrupted_run_leaves_no_processes() {
    let args = with(&TENANTS, &["--idle", "600"]);
    let mut kit =
        kit("settings", &args).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the kit");
    let daemon = until(|| children(kit.id()).first().copied());
    let signalled = interrupt(&kit);
    let status = until(|| kit.try_wait().expect("its status"));
    // Killed here in any case, before the assertions.
    let _ = kit.kill();
    let text = io::read_to_string(kit.stderr.take().expect("what it says")).expect("text");
    println!("seed {SEED}: daemon {daemon:?}, status {status:?}, {text}");
    let daemon = daemon.expect("a daemon that was started");
    signalled.expect("a signal");
    assert_eq!(status.and_then(|status| status.code()), Some(2));
    assert!(text.contains("ended by a signal"), "{text}");
    assert!(!PathBuf::from(format!("/proc/{daemon}")).exists(), "the daemon is still there");
}
