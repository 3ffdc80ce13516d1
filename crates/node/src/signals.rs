//! Signals as a thread sees them: each sets a flag and wakes a reader of a pipe, the self-pipe pattern.
//!
//! A pipe and not `signal_hook::iterator`, whose self-pipe is a pair of Unix sockets: platforms that allow sockets of
//! TCP and UDP alone refuse those, and the server would not start.

use signal_hook::low_level::pipe;
use std::io::{self, PipeReader, Read};
use std::os::raw::c_int;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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
            let mut bytes = [0_u8; DRAIN];
            match self.pipe.read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
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
}

#[cfg(test)]
mod tests;
