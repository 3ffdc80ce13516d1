//! Helpers shared by several commands.

use crate::{fleet, interrupt};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Calls `line` once a second until it returns `false` or a signal arrives.
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

/// Path of the daemon's program: `path` if given, else the one beside this program.
pub fn daemon(path: Option<PathBuf>) -> io::Result<PathBuf> {
    path.map_or_else(fleet::daemon, Ok)
}
