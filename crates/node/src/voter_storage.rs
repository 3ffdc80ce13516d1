//! The thread that makes a voter's state durable: writes records in the order in which they are queued, and reads the
//! folder again after a failed write.
//!
//! The consensus group decides what waits for a write and how to react to a failure. Records have the generation of the
//! state that they are based on; records of an earlier generation are dropped, because after a failure the voter
//! continues from the state in the folder.

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
/// Pause after each attempt to open the folder again, including the successful one.
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
    #[error("the folder of the voter state isn't open")]
    NotOpen,
}

/// Records to make durable.
struct WriteJob {
    /// Number of failures before the state that the records are based on.
    generation: u64,
    /// Number under which the records are reported as durable.
    number: u64,
    records: Vec<DurableRecord>,
}

/// The main thread's handle to the voter storage thread.
pub struct VoterStorage {
    // Unbounded: a voter that waits for a write sends only a few more records.
    jobs: Sender<WriteJob>,
}

impl VoterStorage {
    /// Opens the folder, creating it if needed, and returns the state in it; `new_identity` is the identity of a new
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
        // Can't fail: the thread runs as long as the process.
        let _ = self.jobs.send(WriteJob { generation, number, records });
    }
}

fn open(path: &Path, new_identity: u64) -> Result<(VoterLog, VoterState), OpenError> {
    let folder = Folder::open(path)?;
    Ok(VoterLog::open(Box::new(folder) as Box<dyn Disk>, new_identity)?)
}

/// State of the thread.
struct Writer {
    path: PathBuf,
    /// `None` only while the folder is being opened again.
    log: Option<VoterLog>,
    /// The state in the folder when it was last opened.
    state: VoterState,
    /// Number of failed writes.
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

    /// Retries until the folder is open again, and starts the next generation from the state in it.
    fn reopen(&mut self) {
        self.generation += 1;
        // Dropping the log releases the folder's lock, which the next open needs.
        drop(self.log.take());
        let (log, state) = loop {
            match open(&self.path, self.state.id) {
                Ok(opened) => break opened,
                Err(_) => thread::sleep(REOPEN_INTERVAL),
            }
        };
        (self.log, self.state) = (Some(log), state);
        // A full disk stays full for a while; without a pause the voter would restart in a busy loop.
        thread::sleep(REOPEN_INTERVAL);
    }
}
