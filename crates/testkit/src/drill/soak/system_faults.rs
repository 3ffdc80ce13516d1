//! System calls that fail on demand: the file that the library of `crates/fault-shim` reads in a daemon under test.

use std::env;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Name of the library, as cargo builds it.
const LIBRARY: &str = "libgradepin_fault_shim.so";
const SLOTS: u64 = 32;
const SLOT_BYTES: u64 = 8;
/// Distance from the slot of a fault to that of its counter.
const COUNTERS: u64 = 16;

/// A fault of system calls, by its slot in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SystemFault {
    /// `accept4` fails.
    Accept = 1,
    /// `connect` fails.
    Connect = 2,
    /// `socket` fails.
    Socket = 3,
    /// Waits for events are interrupted.
    WaitInterrupted = 4,
    /// Reads of sockets return few bytes.
    ShortRead = 5,
    /// Writes to sockets take few bytes.
    ShortWrite = 6,
    /// Reads and writes of sockets are interrupted.
    Interrupted = 7,
    /// Writes to files fail.
    FileWrite = 8,
    /// Syncs of files fail.
    FileSync = 9,
    /// Reads of sockets report a broken connection.
    BrokenConnection = 10,
}

impl SystemFault {
    /// The faults after which every request is still owed an answer.
    pub const HARMLESS: [Self; 8] = [
        Self::Accept,
        Self::Connect,
        Self::Socket,
        Self::WaitInterrupted,
        Self::ShortRead,
        Self::ShortWrite,
        Self::Interrupted,
        Self::FileWrite,
    ];
}

/// The library and the file of one server. Both of its processes share the file.
#[derive(Debug)]
pub struct SystemFaults {
    file: File,
    path: PathBuf,
    library: PathBuf,
}

impl SystemFaults {
    /// Creates the file, without faults.
    ///
    /// # Errors
    /// If the library is not beside this program, or the file can't be written.
    pub fn create(path: PathBuf) -> io::Result<Self> {
        let library = library()?;
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path)?;
        file.set_len(SLOTS * SLOT_BYTES)?;
        Ok(Self { file, path, library })
    }

    /// Has a program start with the library.
    pub fn preload(&self, command: &mut Command) {
        command.env("GRADEPIN_FAULTS", &self.path).env("LD_PRELOAD", &self.library);
    }

    /// Sets the offset of the wall clock.
    pub fn set_clock_offset_ms(&self, offset_ms: i64) -> io::Result<()> {
        self.write(0, offset_ms)
    }

    /// Sets the probability of a fault.
    pub fn set(&self, fault: SystemFault, permille: u16) -> io::Result<()> {
        self.write(fault as u64, i64::from(permille))
    }

    /// Returns how often a fault was injected.
    pub fn injected(&self, fault: SystemFault) -> io::Result<i64> {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.file.read_exact_at(&mut bytes, (COUNTERS + fault as u64) * SLOT_BYTES)?;
        Ok(i64::from_ne_bytes(bytes))
    }

    fn write(&self, slot: u64, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), slot * SLOT_BYTES)
    }
}

fn library() -> io::Result<PathBuf> {
    let own = env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.flat_map(|folder| [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)]);
    found.into_iter().find(|path| Path::is_file(path)).ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("no {LIBRARY} beside this program: build the workspace"),
        )
    })
}
