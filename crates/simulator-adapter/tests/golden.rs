//! A fixed dialogue with the adapter, byte for byte: what each instance reads of its settings shows in what it says.

use std::io::Write;
use std::process::{Command, Stdio};

const INPUT: &str = include_str!("golden/dialogue_in.txt");
const OUTPUT: &str = include_str!("golden/dialogue_out.txt");

#[test]
fn dialogue_matches_golden_bytes() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gradepin-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The input is far shorter than a pipe holds, so this doesn't wait for its output to be read.
    child.stdin.take().expect("piped").write_all(INPUT.as_bytes()).expect("written");
    let out = child.wait_with_output().expect("the adapter ends");
    let output = String::from_utf8(out.stdout).expect("UTF-8");
    assert!(output == OUTPUT, "\n--- expected\n{OUTPUT}\n--- found\n{output}");
    assert_eq!(out.status.code(), Some(0));
}

/// Guards the dialogue itself: it has every kind of line that the adapter may write.
#[test]
fn dialogue_has_every_kind_of_action() {
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
