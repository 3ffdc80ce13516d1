//! What several commands share: the daemon to start, and a line a second.

use crate::{fleet, interrupt};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Calls once a second until the end.
pub fn each_second(mut line: impl FnMut(u64) -> bool) -> io::Result<()> {
    let (end, start) = (interrupt::flag()?, Instant::now());
    for second in 1.. {
        while start.elapsed() < Duration::from_secs(second) {
            if end.load(Ordering::Relaxed) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        if !line(second) {
            return Ok(());
        }
    }
    Ok(())
}

/// The daemon's program: the one that was told, or the one beside the running program.
pub fn daemon(told: Option<PathBuf>) -> io::Result<PathBuf> {
    told.map_or_else(fleet::daemon, Ok)
}
