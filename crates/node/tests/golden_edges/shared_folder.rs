//! Golden names, modes and bytes of the files in the shared folder of an upgrade, which another version of the program
//! reads.

use super::{assert_golden, line};
use crossbeam_channel::{Receiver, bounded};
use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::idempotency_table::RunOutcome;
use gradepin_core::messages::{Input, RunClaim};
use gradepin_node::claims::{Claims, ClaimsSettings};
use slog::{Discard, Logger, o};
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

const MAX_WAIT: Duration = Duration::from_secs(20);
const WINDOW: Span = Span(3_600_000_000_000);
const FINGERPRINT: u64 = 0x0102_0304_0506_0708;

/// A temporary folder of one test, removed when dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Starts the claims of a process that shares the folder; returns them with the queue of its inputs.
fn process(shared: &Path, seed: u64) -> (Claims, Receiver<Input>) {
    let (inputs, received) = bounded(64);
    let settings = ClaimsSettings::new(shared, "n1", seed, 64 << 20);
    let claims = Claims::start(settings, WINDOW, inputs, BufferPool::new(4), Logger::root(Discard, o!()));
    (claims.expect("a claims thread"), received)
}

fn claimed((claims, received): &(Claims, Receiver<Input>), token: &str, fingerprint: u64) -> String {
    claims.claim(RequestId::new("r"), token.into(), fingerprint, Span(0));
    match received.recv_timeout(MAX_WAIT).expect("an answer") {
        Input::RunClaimed { claim: RunClaim::Ours, .. } => "ours".to_string(),
        Input::RunClaimed { claim: RunClaim::Ended(RunOutcome::Served(result)), .. } => {
            format!("served {}", result.escape_ascii())
        }
        Input::RunClaimed { claim: RunClaim::Ended(RunOutcome::Failed), .. } => "failed".to_string(),
        _ => "another answer".to_string(),
    }
}

/// Lists every file below a folder with its mode and bytes, sorted by name.
fn files(folder: &Path, below: &str) -> String {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let mut paths: Vec<PathBuf> = entries.collect();
    paths.sort();
    let mut text = String::new();
    for path in paths {
        let name = format!("{below}{}", path.file_name().expect("a name").to_string_lossy());
        if path.is_dir() {
            text += &files(&path, &format!("{name}/"));
            continue;
        }
        // Only the modes of claims have a meaning; the others depend on the user's umask.
        let mode = path.metadata().expect("a file").permissions().mode() & 0o777;
        let mode = if name.contains("alive.") || name.ends_with("salt") { 0 } else { mode };
        text += &line(&format!("{name} {mode:o}"), &fs::read(&path).expect("a file"));
    }
    text
}

#[test]
fn shared_folder_matches_golden_names_and_bytes() {
    let folder = Folder(std::env::temp_dir().join(format!("gradepin-golden-folder-{}", std::process::id())));
    let mut text = String::new();
    let mut note = |title: &str, lines: &str| text += &format!("-- {title}\n{lines}");
    let old = process(&folder.0, 0x1122_3344_5566_7788);
    for token in ["runs", "served", "failed", "unknown", "none"] {
        assert_eq!(claimed(&old, token, FINGERPRINT), "ours", "{token}");
    }
    note("claimed", &files(&folder.0, ""));
    let result = Arc::new(BufferPool::new(1).exact(b"tile \x00\xff").expect("it fits in a buffer"));
    old.0.release("served".into(), FINGERPRINT, Some(RunOutcome::Served(result)));
    old.0.release("failed".into(), FINGERPRINT, Some(RunOutcome::Failed));
    old.0.release("unknown".into(), FINGERPRINT, Some(RunOutcome::Unknown));
    old.0.release("none".into(), FINGERPRINT, None);
    // Jobs are processed in order, so the outcomes are written before this claim.
    assert_eq!(claimed(&old, "last", FINGERPRINT), "ours");
    note("ended", &files(&folder.0, ""));
    let new = process(&folder.0, 0x99);
    let outcomes: String = [
        ("served", FINGERPRINT),
        ("served", 9),
        ("failed", FINGERPRINT),
        ("unknown", FINGERPRINT),
        ("none", FINGERPRINT),
    ]
    .iter()
    .map(|(token, fingerprint)| format!("{token} {fingerprint:x}: {}\n", claimed(&new, token, *fingerprint)))
    .collect();
    note("claimed by the next process", &outcomes);
    note("its files too", &files(&folder.0, ""));
    for (claims, received) in [old, new] {
        claims.close(received);
    }
    assert!(!files(&folder.0, "").contains("alive."), "a process removes its alive file when it ends");
    assert_golden("shared_folder.txt", text.as_bytes());
}
