//! Compares the output of the adapter for a fixed input byte for byte. A setting that is
//! read differently changes the output.

use std::io::Write;
use std::process::{Command, Stdio};

const INPUT: &str = include_str!("golden/dialogue_in.txt");
const OUTPUT: &str = include_str!("golden/dialogue_out.txt");

#[test]
fn output_matches_the_golden_file() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gradepin-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The input fits into the pipe buffer, so writing it does not block until the output is read.
    child.stdin.take().expect("piped").write_all(INPUT.as_bytes()).expect("written");
    let out = child.wait_with_output().expect("the adapter ends");
    let output = String::from_utf8(out.stdout).expect("UTF-8");
    assert!(output == OUTPUT, "\n--- expected\n{OUTPUT}\n--- found\n{output}");
    assert_eq!(out.status.code(), Some(0));
}

/// The golden output must cover every kind of line that the adapter can write.
#[test]
fn golden_output_has_every_kind_of_line() {
    let kinds = [
        "process",
        "suspend",
        "refuse",
        "error",
        "ask_below",
        "degrade",
        "remember",
        "release_key",
        "join",
        "report_health",
        "signal",
        "idle_limit",
        "remind",
        "emit",
        "end",
    ];
    for kind in kinds {
        let found = OUTPUT.lines().any(|line| line.split(' ').next() == Some(kind));
        assert!(found, "{kind}");
    }
}
