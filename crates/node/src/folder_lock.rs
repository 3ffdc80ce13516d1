//! Folders that have one owner, at the start of a process: one that another process still has, which may be on its way out, is
//! waited for. A process gives its folders up with its end, after all its addresses.

use crate::signals::Signals;
use gradepin_store::disk::{Folder, FolderError};
use signal_hook::consts::SIGTERM;
use slog::{Logger, info, warn};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// How long a folder may be held by another process, and how often it is tried again.
const PATIENCE: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_millis(50);

/// Waits until nobody holds these folders, or the time is up; whoever opens them then tells what is wrong with them. False if
/// the notice to leave came meanwhile.
pub fn wait<'p>(folders: impl IntoIterator<Item = &'p Path>, signals: &Signals, log: &Logger) -> bool {
    let start = Instant::now();
    for folder in folders {
        let mut told = false;
        while matches!(Folder::open(folder), Err(FolderError::Locked(_))) && start.elapsed() < PATIENCE {
            if signals.is_pending(SIGTERM) {
                info!(log, "told to leave before anything was served"; "waits for" => %folder.display());
                return false;
            }
            if !std::mem::replace(&mut told, true) {
                warn!(log, "another process holds the folder, and it is tried again"; "folder" => %folder.display());
            }
            thread::sleep(AGAIN);
        }
    }
    true
}
