//! Addresses and folders of one owner at the start of a process: one that another process still holds, which may be on its way
//! out, is tried again for a while. All addresses are taken so, the operators' and the fleet's too: a process gives them up
//! in an order of its own, some of them, and its folders, only with its end.

use crate::frontend::Listener;
use crate::serve::StartError;
use crate::signals::Signals;
use gradepin_store::disk::{Folder, FolderError};
use signal_hook::consts::SIGTERM;
use slog::{Logger, info, warn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// How long something may be held by another process, and how often it is tried again.
const PATIENCE: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_millis(50);

/// Takes what a start needs, all within the same patience.
pub struct PredecessorWait<'s> {
    start: Instant,
    signals: &'s Signals,
    log: &'s Logger,
}

impl<'s> PredecessorWait<'s> {
    /// From now on.
    pub fn new(signals: &'s Signals, log: &'s Logger) -> Self {
        Self { start: Instant::now(), signals, log }
    }

    /// A listener on an address.
    pub fn tcp(&self, address: SocketAddr) -> Result<Option<Listener>, StartError> {
        self.taken(&format!("listening on {address}"), || Listener::tcp(address))
    }

    /// What `take` takes; where another process still holds it, it is tried again until the time is up. None if the notice
    /// to leave came meanwhile.
    pub fn taken<T>(&self, what: &str, take: impl Fn() -> io::Result<T>) -> Result<Option<T>, StartError> {
        let mut told = false;
        loop {
            match take() {
                Ok(taken) => return Ok(Some(taken)),
                Err(_) if self.is_told_to_leave(what) => return Ok(None),
                Err(e) if e.kind() == ErrorKind::AddrInUse && self.has_time() => {
                    self.pause("address", what, &mut told);
                }
                Err(why) => return Err(StartError::System { what: what.into(), why }),
            }
        }
    }

    /// Waits until nobody holds these folders, or the time is up; whoever opens them then tells what is wrong with them. False
    /// if the notice to leave came meanwhile.
    pub fn folders_are_free<'p>(&self, folders: impl IntoIterator<Item = &'p Path>) -> bool {
        for folder in folders {
            let (what, mut told) = (folder.display().to_string(), false);
            while matches!(Folder::open(folder), Err(FolderError::Locked(_))) && self.has_time() {
                if self.is_told_to_leave(&what) {
                    return false;
                }
                self.pause("folder", &what, &mut told);
            }
        }
        true
    }

    fn has_time(&self) -> bool {
        self.start.elapsed() < PATIENCE
    }

    fn is_told_to_leave(&self, what: &str) -> bool {
        let told = self.signals.is_pending(SIGTERM);
        if told {
            info!(self.log, "told to leave before anything was served"; "waits for" => what);
        }
        told
    }

    /// Before the next try; the first one is told.
    fn pause(&self, kind: &str, what: &str, told: &mut bool) {
        if !std::mem::replace(told, true) {
            warn!(self.log, "another process holds the {}, and it is tried again", kind; "for" => what);
        }
        thread::sleep(AGAIN);
    }
}
