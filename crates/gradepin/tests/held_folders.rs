//! A start while the process before it, on its way out, still has the folders that have one owner: the council's and the
//! configuration's.

mod scenario;

use scenario::sockets::kill;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

/// A folder of the test's own, gone with it.
struct Temp(PathBuf);

impl Temp {
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

    /// As the process before has it.
    fn hold(&self, folder: &str) -> File {
        let folder = self.0.join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let lock = File::create(folder.join("lock")).expect("a lock");
        lock.try_lock().expect("nobody else has it");
        lock
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The daemon as the only voter of a council, with a configuration service; its log.
fn start(temp: &Temp, place: u8) -> (Child, std::io::Lines<BufReader<ChildStderr>>) {
    let pid = std::process::id();
    let host = format!("127.{}.{}.{place}", 64 + (pid >> 8) % 64, pid % 256);
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

/// Guards a restart against the last moments of the process before it: the folders are free with its end alone, after its
/// addresses, and a start that finds one held would end with status 1.
#[test]
fn a_folder_that_is_still_held_is_waited_for_and_the_notice_to_leave_is_heard() {
    for (place, (folder, leaves)) in
        [("council", false), ("configuration", false), ("council", true), ("configuration", true)]
            .into_iter()
            .enumerate()
    {
        let temp = Temp::new(&format!("{folder}-{leaves}"));
        let lock = temp.hold(folder);
        let (mut program, lines) = start(&temp, 201 + place as u8);
        let mut lines = lines.map_while(Result::ok);
        let mut seen = Vec::new();
        let held = lines.by_ref().find(|line| {
            seen.push(line.clone());
            line.contains("another process holds the folder")
        });
        let held = held.unwrap_or_else(|| panic!("{folder}: it ended with {:?}: {seen:?}", program.wait()));
        assert!(held.contains(&temp.0.join(folder).display().to_string()), "{held}");
        if leaves {
            kill(&program, "TERM");
            assert!(lines.any(|line| line.contains("received SIGTERM during start-up")));
            assert!(program.wait().expect("a program").success());
        } else {
            drop(lock);
            assert!(lines.any(|line| line.contains("serving")));
            kill(&program, "KILL");
            program.wait().expect("a program");
        }
    }
}
