//! Runs the adapter process on valid and malformed input and checks its output.

#[path = "../../admission/tests/common/mod.rs"]
mod common;
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on the input; returns its exit status, standard output and standard error.
fn run_adapter(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gradepin-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all of a malformed input.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

/// The line that starts an instance.
fn start(name: &str) -> String {
    format!("start {name} 7 {}\n", common::base())
}

#[test]
fn a_request_is_run_and_unknown_events_are_ignored() {
    let input = format!(
        "sync 1000\n{}go\n\nsync 2000\nreq worker/1 t/a 4000000000 read - 3 - - 20.5 0.5 0 - 0\nnovelty worker/1 x\ngo\n",
        start("worker/1")
    );
    let (code, out, err) = run_adapter(&input);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(out.contains("report_health worker/1 1 1\n"));
    assert!(out.contains("process worker/1 t/a\n"));
    assert_eq!(out.matches("end\n").count(), 2);
}

#[test]
fn exit_and_start_in_one_batch_create_a_new_instance() {
    let input = format!(
        "sync 1000\n{0}go\nsync 2000\nexit worker/1\n{0}req worker/1 t/a 4000000000 read - 3 - - 20.5 0.5 0 - 0\ngo\n",
        start("worker/1")
    );
    let (code, out, _) = run_adapter(&input);
    assert_eq!(code, Some(0));
    assert_eq!(out.matches("report_health worker/1 1 1\n").count(), 2);
    assert!(out.contains("process worker/1 t/a\n"));
}

#[test]
fn malformed_input_gets_one_line_of_error_and_status_2() {
    let started = format!("sync 1000\n{}go\n", start("worker/1"));
    let without_cores = common::base().to_string().replace("\"n_cores\":4", "\"n_cores\":0");
    let cases = [
        ("hello\n".to_string(), "line 1: expected 'sync CLOCK'"),
        ("sync x\n".to_string(), "line 1: expected 'sync CLOCK'"),
        ("sync 1\n".to_string(), "line 2: expected 'go'"),
        ("sync 1\nleft worker/9 t/a\ngo\n".to_string(), "line 2: expected an event for a started instance"),
        ("sync 1\nstart worker/1 7 {}\ngo\n".to_string(), "line 2: expected settings"),
        (format!("sync 1\nstart worker/1 7 {without_cores}\ngo\n"), "n_cores above 0"),
        (
            format!("{started}sync 2\ncompleted worker/1 t/a perhaps 5\ngo\n"),
            "expected in 'completed' an outcome",
        ),
        (format!("{started}sync 2\nreq worker/1 t/a 5 nothing\ngo\n"), "expected in 'req' a service"),
        (format!("{started}sync 2\nreq worker/1 t/a soon read\ngo\n"), "expected in 'req' a number"),
        (format!("{started}sync 2\ndeadline_hit worker/1 t core_use=1\ngo\n"), "expected gauges"),
    ];
    for (input, message) in cases {
        let (code, out, err) = run_adapter(&input);
        assert_eq!(code, Some(2), "{input}");
        assert!(err.contains(message), "expected {message} in {err}");
        assert_eq!(err.lines().count(), 1);
        assert!(out.is_empty() || out.ends_with("end\n"), "a reply is incomplete");
    }
}
