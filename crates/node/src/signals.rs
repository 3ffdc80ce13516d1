//! Signals as a thread sees them: each sets a flag and wakes a reader of a pipe, the self-pipe pattern.
//!
//! A pipe and not `signal_hook::iterator`, whose self-pipe is a pair of Unix sockets: platforms that allow sockets of
//! TCP and UDP alone refuse those, and the server would not start.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use signal_hook::low_level::pipe;
use std::io::{self, PipeReader, Read};
use std::os::raw::c_int;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flags are looked at so often though nothing came through the pipe. Guards against a signal that is never told: its handler may
/// not try again where the system interrupts its write, and its byte is lost.
const LOOK_AGAIN: Timespec = Timespec { tv_sec: 0, tv_nsec: 200_000_000 };
/// Bytes read from the pipe at a time; what is more stays for the next read, and flags tell all the same.
const DRAIN: usize = 64;

/// Signals that this process takes instead of their default actions.
pub struct Signals {
    pipe: PipeReader,
    flags: Vec<(c_int, Arc<AtomicBool>)>,
}

impl Signals {
    /// From now on these signals are taken here.
    pub fn new(signals: &[c_int]) -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let mut flags = Vec::with_capacity(signals.len());
        for &signal in signals {
            let flag = Arc::new(AtomicBool::new(false));
            // The flag first: the reader wakes to the byte and must find the flag set by then.
            signal_hook::flag::register(signal, Arc::clone(&flag))?;
            pipe::register(signal, writer.try_clone()?)?;
            flags.push((signal, flag));
        }
        Ok(Self { pipe: reader, flags })
    }

    /// Whether a signal came that was not told yet. It stays to be told.
    pub fn is_pending(&self, signal: c_int) -> bool {
        self.flags.iter().any(|(known, flag)| *known == signal && flag.load(Ordering::SeqCst))
    }

    /// Waits until at least one signal came, and tells those that did, in the order they were asked for. One that came
    /// twice meanwhile is told once.
    pub fn wait(&mut self) -> io::Result<Vec<c_int>> {
        loop {
            self.drain_pipe()?;
            // The pipe is read before the flags, so that a signal that comes in between wakes the next wait.
            let came: Vec<c_int> = self
                .flags
                .iter()
                .filter(|(_, flag)| flag.swap(false, Ordering::SeqCst))
                .map(|(signal, _)| *signal)
                .collect();
            if !came.is_empty() {
                return Ok(came);
            }
        }
    }

    /// Waits for a byte for so long at the most, and takes what there is.
    fn drain_pipe(&mut self) -> io::Result<()> {
        let mut pipe = [PollFd::new(&self.pipe, PollFlags::IN)];
        match poll(&mut pipe, Some(&LOOK_AGAIN)) {
            Ok(0) | Err(Errno::INTR | Errno::AGAIN) => return Ok(()),
            Ok(_) => {}
            Err(e) => return Err(e.into()),
        }
        let mut bytes = [0_u8; DRAIN];
        match self.pipe.read(&mut bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(()),
            Err(e) if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

#[cfg(test)]
mod tests;
