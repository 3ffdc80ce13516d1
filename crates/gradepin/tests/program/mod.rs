//! The server program without peers on its links: its log, signals and exit. All waits are upper bounds.
#![allow(dead_code)]

use crate::scenario::{self, socket_stage};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A server process with its own folder, which contains its configuration.
pub struct Program {
    child: Option<Child>,
    folder: PathBuf,
    lines: Receiver<String>,
    seen: Vec<String>,
}

impl Program {
    /// Prepares a folder with a modified configuration; does not start the program.
    pub fn prepare(name: &str, change: impl FnOnce(&mut Value)) -> Self {
        let folder = std::env::temp_dir().join(format!("gradepin-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut config = scenario::config(&socket_stage::unique_address(), "127.0.0.1:9", "127.0.0.1:9");
        change(&mut config);
        std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
        Self { child: None, folder, lines: channel().1, seen: Vec::new() }
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Starts the program with additional arguments.
    pub fn start(&mut self, arguments: &[&str]) {
        let mut program = Command::new(env!("CARGO_BIN_EXE_gradepin"));
        program.arg("serve").args(arguments).env("GW_CONFIG", self.config()).stderr(Stdio::piped());
        let mut child = program.spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("a pipe"));
        let (sender, lines) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        (self.child, self.lines) = (Some(child), lines);
    }

    /// Runs a shell command that then `exec`s the program, with its log sent to `log`.
    pub fn start_through_shell(&mut self, first: &str, log: Stdio) {
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &format!("{first} && exec \"$0\" serve"), env!("CARGO_BIN_EXE_gradepin")]);
        self.child = Some(shell.env("GW_CONFIG", self.config()).stderr(log).spawn().expect("it starts"));
    }

    /// Waits for a log line that contains these words, after the lines already consumed.
    pub fn wait_for_line(&mut self, words: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(TIMEOUT);
            let Ok(line) = line else {
                let status = self.child.as_mut().map(|child| child.try_wait());
                panic!("no '{words}' in {:?}, status {status:?}", self.seen);
            };
            self.seen.push(line.clone());
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        socket_stage::send_signal(self.child.as_ref().expect("it runs"), name);
    }

    /// Waits for the exit; returns the exit status.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.child.as_mut().expect("it runs").wait().expect("a program").code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
