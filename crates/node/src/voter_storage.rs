//! The council's folder: a thread that writes what a voter must not forget, and reads it anew where that failed. It decides
//! nothing: what waits for a write, and what follows from a failure, is the council's.

use crossbeam_channel::{Receiver, Sender, unbounded};
use gradepin_coordination::consensus::{DurableRecord, VoterState};
use gradepin_core::messages::Input;
use gradepin_store::disk::{Disk, Folder};
use gradepin_store::voter_log::VoterLog;
use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

const STACK: usize = 256 * 1024;
/// Between tries to read a folder that failed.
const AGAIN: Duration = Duration::from_millis(500);

/// The folder, as the reducer's effects see it.
pub struct VoterStorage {
    jobs: Sender<(u64, u64, Vec<DurableRecord>)>,
}

fn open(path: &Path, fresh: u64) -> Result<(VoterLog, VoterState), String> {
    let folder = Folder::open(path).map_err(|e| e.to_string())?;
    VoterLog::open(Box::new(folder) as Box<dyn Disk>, fresh).map_err(|e| e.to_string())
}

impl VoterStorage {
    /// Opens it, makes it if it isn't there, and tells what it holds; `fresh` is the identity of a new one.
    pub fn start(path: PathBuf, fresh: u64, inputs: Sender<Input>) -> io::Result<(Self, VoterState)> {
        let (log, found) = open(&path, fresh).map_err(io::Error::other)?;
        let (jobs, queue) = unbounded();
        let held = found.clone();
        let run = move || write(&path, log, held, &queue, &inputs);
        thread::Builder::new().name("council".into()).stack_size(STACK).spawn(run)?;
        Ok((Self { jobs }, found))
    }

    /// Queues records; a voter that waits for them sends no more meanwhile than a few.
    pub fn write(&self, generation: u64, number: u64, records: Vec<DurableRecord>) {
        // Where the thread has ended, so has the server.
        let _ = self.jobs.send((generation, number, records));
    }
}

fn write(
    path: &Path,
    log: VoterLog,
    mut found: VoterState,
    queue: &Receiver<(u64, u64, Vec<DurableRecord>)>,
    inputs: &Sender<Input>,
) {
    let (mut log, mut generation) = (Some(log), 0);
    while let Ok((of, number, records)) = queue.recv() {
        if of < generation {
            // Of a voter that goes by what was there before the failure.
            continue;
        }
        let written = match &mut log {
            Some(log) => log.write(&found, &records).map_err(|e| e.to_string()),
            None => Err("the folder isn't open".into()),
        };
        let input = match written {
            Ok(()) => Input::VoterStateWritten { number },
            Err(why) => {
                generation += 1;
                // Its lock goes first.
                drop(log.take());
                let (again, held) = loop {
                    match open(path, found.id) {
                        Ok(opened) => break opened,
                        Err(_) => thread::sleep(AGAIN),
                    }
                };
                (log, found) = (Some(again), held.clone());
                // A disk that is full stays so for a while: no voter begins anew in a circle.
                thread::sleep(AGAIN);
                Input::VoterStateFailed { recovered: Box::new(held), reason: why }
            }
        };
        if inputs.send(input).is_err() {
            return;
        }
    }
}
