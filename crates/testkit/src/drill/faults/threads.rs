//! The states of a process's threads from `/proc`, shown in the failure message of a hang.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::PathBuf;

/// Files of a thread's directory in `/proc` that are shown where the system permits reading them.
const SHOWN: [&str; 3] = ["stat", "wchan", "syscall"];

/// The directories of a process's threads in `/proc`.
fn tasks(pid: u32) -> Vec<PathBuf> {
    let entries = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    entries.map(|entry| entry.path()).collect()
}

/// The names of a process's threads, without duplicates.
pub fn names(pid: u32) -> BTreeSet<String> {
    let name = |task: &PathBuf| fs::read_to_string(task.join("comm")).ok();
    tasks(pid).iter().filter_map(name).map(|name| name.trim().to_string()).collect()
}

/// One line for each thread with its name, state and the place where it waits.
pub fn states(pid: u32) -> String {
    let mut text = String::new();
    for task in tasks(pid) {
        let read = |what: &str| fs::read_to_string(task.join(what)).unwrap_or_else(|e| e.to_string());
        let tid = task.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let _ = write!(text, "      thread {tid} {}", read("comm").trim());
        for what in SHOWN {
            let shown: String = read(what).trim().chars().take(120).collect();
            let _ = write!(text, " | {what} {shown}");
        }
        text.push('\n');
    }
    text
}
