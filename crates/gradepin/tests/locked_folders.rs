//! Starts while the previous process, about to exit, still locks the folders that have a single owner: those of the
//! consensus group and of the configuration.

mod scenario;

use scenario::socket_stage::send_signal;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

/// A temporary folder, removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gradepin-held-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Locks a subfolder as the previous process does.
    fn hold(&self, folder: &str) -> File {
        let folder = self.0.join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let lock = File::create(folder.join("lock")).expect("a lock");
        lock.try_lock().expect("the lock is free");
        lock
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts the server as the only voter of a consensus group, with a configuration service; returns it with the lines
/// of its log.
fn start(temp: &TempFolder, host_number: u8) -> (Child, std::io::Lines<BufReader<ChildStderr>>) {
    let pid = std::process::id();
    let host = format!("127.{}.{}.{host_number}", 64 + (pid >> 8) % 64, pid % 256);
    let config = scenario::config(&format!("{host}:18443"), "127.0.0.1:9", "127.0.0.1:9");
    let config = temp.write("config.json", &config.to_string());
    let keys = temp.write("keys", &"5a".repeat(32));
    let folder = |name: &str| temp.0.join(name).display().to_string();
    let settings = format!(
        "cluster {{\n listen \"{host}:17947\"\n seed \"{host}:17947\"\n key-file {:?}\n}}\n\
         council {{\n voter \"n1\"\n folder {:?}\n}}\nconfig {{\n folder {:?}\n}}\n",
        keys.display().to_string(),
        folder("council"),
        folder("configuration")
    );
    let settings = temp.write("own.kdl", &settings);
    let mut program = Command::new(env!("CARGO_BIN_EXE_gradepin"));
    let program = program.args([
        Path::new("serve"),
        Path::new("--config"),
        &config,
        Path::new("--settings"),
        &settings,
    ]);
    let mut program = program.stderr(Stdio::piped()).spawn().expect("the program starts");
    let lines = BufReader::new(program.stderr.take().expect("a pipe")).lines();
    (program, lines)
}

/// Guards a restart during the last moments of the previous process: its folders are released only when it exits,
/// after its addresses, and a start that does not wait for them would exit with status 1.
#[test]
fn a_start_waits_for_a_locked_folder_and_obeys_sigterm() {
    for (index, (folder, terminates)) in
        [("council", false), ("configuration", false), ("council", true), ("configuration", true)]
            .into_iter()
            .enumerate()
    {
        let temp = TempFolder::new(&format!("{folder}-{terminates}"));
        let lock = temp.hold(folder);
        let (mut program, lines) = start(&temp, 201 + index as u8);
        let mut lines = lines.map_while(Result::ok);
        let mut seen = Vec::new();
        let held = lines.by_ref().find(|line| {
            seen.push(line.clone());
            line.contains("another process holds the folder")
        });
        let held = held
            .unwrap_or_else(|| panic!("{folder}: the program exited with {:?}: {seen:?}", program.wait()));
        assert!(held.contains(&temp.0.join(folder).display().to_string()), "{held}");
        if terminates {
            send_signal(&program, "TERM");
            assert!(lines.any(|line| line.contains("received SIGTERM during start-up")));
            assert!(program.wait().expect("a program").success());
        } else {
            drop(lock);
            assert!(lines.any(|line| line.contains("serving")));
            send_signal(&program, "KILL");
            program.wait().expect("a program");
        }
    }
}
