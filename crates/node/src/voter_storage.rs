//! The thread that makes a voter's state durable: it writes records in the order in which they are queued, and reads the
//! folder again after a failed write.
//!
//! It decides nothing: what waits for a write, and what follows from a failure, is the consensus group's. Records carry the
//! generation of the state that they are based on; those from before a failure are dropped, since the voter goes on from
//! what the folder held.

use crossbeam_channel::{Receiver, Sender, unbounded};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_core::messages::Input;
use gradepin_store::disk::{Disk, Folder, FolderError};
use gradepin_store::voter_log::{VoterLog, VoterLogError};
use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

const STACK_BYTES: usize = 256 * 1024;
/// The pause between attempts to open the folder after a failure, and after the one that succeeds.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Why the folder can't be opened.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error(transparent)]
    Folder(#[from] FolderError),
    #[error(transparent)]
    Log(#[from] VoterLogError),
}

/// Why records could not be written.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Log(#[from] VoterLogError),
    #[error("the folder isn't open")]
    NotOpen,
}

/// Records to make durable.
struct WriteJob {
    /// Counts the failures before the state that the records are based on.
    generation: u64,
    /// Reported once the records are durable.
    number: u64,
    records: Vec<DurableRecord>,
}

/// The folder of a voter's state, as the main thread uses it.
pub struct VoterStorage {
    // Unbounded: a voter that waits for a write sends only a few more.
    jobs: Sender<WriteJob>,
}

impl VoterStorage {
    /// Opens the folder, makes it if it isn't there, and returns what it holds; `new_identity` is the identity of a new
    /// folder.
    pub fn start(path: PathBuf, new_identity: u64, inputs: Sender<Input>) -> io::Result<(Self, VoterState)> {
        let (log, state) = open(&path, new_identity).map_err(io::Error::other)?;
        let (jobs, queue) = unbounded();
        let mut writer = Writer { path, log: Some(log), state: state.clone(), generation: 0 };
        let run = move || writer.run(&queue, &inputs);
        thread::Builder::new().name("council".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok((Self { jobs }, state))
    }

    /// Queues records for writing. [`Input::VoterStateWritten`] or [`Input::VoterStateFailed`] follows.
    pub fn write(&self, generation: u64, number: u64, records: Vec<DurableRecord>) {
        // The thread ends only with the process.
        let _ = self.jobs.send(WriteJob { generation, number, records });
    }
}

fn open(path: &Path, new_identity: u64) -> Result<(VoterLog, VoterState), OpenError> {
    let folder = Folder::open(path)?;
    Ok(VoterLog::open(Box::new(folder) as Box<dyn Disk>, new_identity)?)
}

/// The state of the thread.
struct Writer {
    path: PathBuf,
    /// None only while the folder is opened again.
    log: Option<VoterLog>,
    /// What the folder held when it was opened last.
    state: VoterState,
    /// Counts failed writes.
    generation: u64,
}

impl Writer {
    fn run(&mut self, queue: &Receiver<WriteJob>, inputs: &Sender<Input>) {
        while let Ok(job) = queue.recv() {
            if job.generation < self.generation {
                continue;
            }
            let input = match self.write(&job.records) {
                Ok(()) => Input::VoterStateWritten { number: job.number },
                Err(error) => {
                    self.reopen();
                    let reason = error.to_string();
                    Input::VoterStateFailed { recovered: Box::new(self.state.clone()), reason }
                }
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
    }

    fn write(&mut self, records: &[DurableRecord]) -> Result<(), WriteError> {
        let log = self.log.as_mut().ok_or(WriteError::NotOpen)?;
        Ok(log.write(&self.state, records)?)
    }

    /// Opens the folder again, however long that takes, and starts the next generation from what it holds.
    fn reopen(&mut self) {
        self.generation += 1;
        // Its lock must be released before the folder is opened again.
        drop(self.log.take());
        let (log, state) = loop {
            match open(&self.path, self.state.id) {
                Ok(opened) => break opened,
                Err(_) => thread::sleep(REOPEN_INTERVAL),
            }
        };
        (self.log, self.state) = (Some(log), state);
        // A full disk stays full for a while: guards against a voter that starts again in a tight loop.
        thread::sleep(REOPEN_INTERVAL);
    }
}
