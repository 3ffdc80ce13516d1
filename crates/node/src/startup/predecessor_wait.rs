//! Waits at the start for addresses and folders that the predecessor process still holds, and for sockets that the system
//! has no resources for at the moment.
//!
//! A predecessor closes its addresses one after another, and releases its folders and some addresses only when it
//! exits. Every address and every folder with one owner is acquired here: while another process holds it, the attempt
//! is repeated for at most [`MAX_WAIT`], and SIGTERM ends the wait.

use super::error::{StartAborted, StartError};
use crate::frontend::Listener;
use crate::signals::Signals;
use gradepin_store::disk::{Folder, FolderError};
use rustix::io::Errno;
use signal_hook::consts::SIGTERM;
use slog::{Logger, info, warn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of all waits together, counted from the creation of the [`PredecessorWait`].
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Logged while an address is in use.
const HELD_ADDRESS: &str = "another process holds the address";
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Acquires the resources of a start within a common limit of [`MAX_WAIT`].
pub(super) struct PredecessorWait<'s> {
    started: Instant,
    signals: &'s Signals,
    log: &'s Logger,
}

impl<'s> PredecessorWait<'s> {
    /// Starts the common limit of all waits.
    pub(super) fn new(signals: &'s Signals, log: &'s Logger) -> Self {
        Self { started: Instant::now(), signals, log }
    }

    /// Listens for client connections on a TCP address.
    pub(super) fn listen_tcp(&self, address: SocketAddr) -> Result<Listener, StartAborted> {
        self.acquire(&format!("listening on {address}"), || Listener::tcp(address))
    }

    /// Calls `acquire` until it succeeds, fails with an error that doesn't pass, or the limit is reached. An address in use
    /// and a shortage of the system's resources pass.
    /// `resource` is the name in the log and in errors.
    pub(super) fn acquire<T>(
        &self,
        resource: &str,
        acquire: impl Fn() -> io::Result<T>,
    ) -> Result<T, StartAborted> {
        let mut is_logged = false;
        loop {
            match acquire() {
                Ok(acquired) => return Ok(acquired),
                Err(_) if self.shutdown_requested(resource) => return Err(StartAborted::ShutdownRequested),
                Err(e) if is_temporary(&e) && self.has_time() => {
                    let is_held = e.kind() == ErrorKind::AddrInUse;
                    let reason = if is_held { HELD_ADDRESS.to_string() } else { e.to_string() };
                    self.pause(&reason, resource, &mut is_logged);
                }
                Err(source) => return Err(StartError::system(resource)(source).into()),
            }
        }
    }

    /// Waits until no other process holds these folders, or the limit is reached. Errors are ignored here: the part
    /// that opens a folder next reports them.
    pub(super) fn wait_for_folders<'p>(
        &self,
        folders: impl IntoIterator<Item = &'p Path>,
    ) -> Result<(), StartAborted> {
        for folder in folders {
            let resource = folder.display().to_string();
            let mut is_logged = false;
            while matches!(Folder::open(folder), Err(FolderError::Locked(_))) && self.has_time() {
                if self.shutdown_requested(&resource) {
                    return Err(StartAborted::ShutdownRequested);
                }
                self.pause("another process holds the folder", &resource, &mut is_logged);
            }
        }
        Ok(())
    }

    fn has_time(&self) -> bool {
        self.started.elapsed() < MAX_WAIT
    }

    fn shutdown_requested(&self, resource: &str) -> bool {
        let requested = self.signals.is_pending(SIGTERM);
        if requested {
            info!(self.log, "received SIGTERM during start-up"; "waiting_for" => resource);
        }
        requested
    }

    /// Pauses before the next attempt; logs only the first pause for a resource.
    fn pause(&self, reason: &str, resource: &str, is_logged: &mut bool) {
        if !std::mem::replace(is_logged, true) {
            warn!(self.log, "{}; retrying", reason; "resource" => resource);
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Whether a socket that can't be opened now may be opened later: another process holds its address, or the system lacks
/// descriptors or memory. The limit of this process is not the system's, and would not pass.
fn is_temporary(error: &io::Error) -> bool {
    let shortages = [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::INTR];
    error.kind() == ErrorKind::AddrInUse
        || Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}
