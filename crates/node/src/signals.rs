//! Signals of the process, handled with the self-pipe pattern: a handler sets the signal's flag and wakes the reader of
//! a pipe. A thread turns signals into reloads and inputs of the reducer.
//!
//! `signal_hook::iterator` is not used because its self-pipe is a pair of Unix sockets: platforms that allow only TCP
//! and UDP sockets deny those, and the server would not start.

use crate::reload::ConfigReloader;
use crossbeam_channel::Sender;
use gradepin_core::messages::Input;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1, SIGUSR2, SIGXFSZ};
use signal_hook::low_level::pipe;
use std::io::{self, PipeReader, Read};
use std::os::raw::c_int;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Interval at which the flags are checked even if nothing arrived through the pipe: a handler doesn't retry a write
/// that the system interrupts, so the signal would never be reported.
const FLAG_CHECK_INTERVAL: Timespec = Timespec { tv_sec: 0, tv_nsec: 200_000_000 };
/// Bytes read from the pipe at a time. Leftover bytes only cause another check; the flags say which signals arrived.
const PIPE_READ_BYTES: usize = 64;
const STACK_BYTES: usize = 64 * 1024;

/// The signals that this process handles in place of their default actions.
pub struct Signals {
    pipe: PipeReader,
    flags: Vec<(c_int, Arc<AtomicBool>)>,
}

impl Signals {
    /// Installs handlers for these signals.
    pub fn new(signals: &[c_int]) -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let mut flags = Vec::with_capacity(signals.len());
        for &signal in signals {
            let flag = Arc::new(AtomicBool::new(false));
            // The flag is registered first, so that it is set before the byte in the pipe wakes the reader.
            signal_hook::flag::register(signal, Arc::clone(&flag))?;
            pipe::register(signal, writer.try_clone()?)?;
            flags.push((signal, flag));
        }
        Ok(Self { pipe: reader, flags })
    }

    /// Whether a signal arrived that [`Signals::wait`] has not returned yet; `wait` still returns it.
    pub fn is_pending(&self, signal: c_int) -> bool {
        self.flags.iter().any(|(known, flag)| *known == signal && flag.load(Ordering::SeqCst))
    }

    /// Waits until at least one signal arrives and returns the received ones, in the order given to [`Signals::new`]. A
    /// signal that arrived several times since the last call is returned once.
    pub fn wait(&mut self) -> io::Result<Vec<c_int>> {
        loop {
            self.drain_pipe()?;
            // The pipe is read before the flags, so that a signal that arrives in between wakes the next wait.
            let received: Vec<c_int> = self
                .flags
                .iter()
                .filter(|(_, flag)| flag.swap(false, Ordering::SeqCst))
                .map(|(signal, _)| *signal)
                .collect();
            if !received.is_empty() {
                return Ok(received);
            }
        }
    }

    /// Waits at most [`FLAG_CHECK_INTERVAL`] for a byte and reads the available ones.
    fn drain_pipe(&mut self) -> io::Result<()> {
        let mut pipe = [PollFd::new(&self.pipe, PollFlags::IN)];
        match poll(&mut pipe, Some(&FLAG_CHECK_INTERVAL)) {
            Ok(0) | Err(Errno::INTR | Errno::AGAIN) => return Ok(()),
            Ok(_) => {}
            Err(e) => return Err(e.into()),
        }
        let mut bytes = [0_u8; PIPE_READ_BYTES];
        match self.pipe.read(&mut bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(()),
            Err(e) if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// Installs the handlers of a server before any file is read: SIGTERM during the start must not kill a process for
/// which requests are already queued on a socket, and SIGHUP, SIGUSR1 and SIGUSR2 must not kill one that is still
/// reading its settings. SIGXFSZ is handled too, so that a write past the file size limit fails like a write to a full
/// disk.
pub fn install() -> io::Result<Signals> {
    signal_hook::flag::register(SIGXFSZ, Arc::default())?;
    Signals::new(&[SIGTERM, SIGHUP, SIGUSR1, SIGUSR2])
}

/// Starts the thread that turns signals into inputs: SIGTERM begins the shutdown, SIGUSR1 takes the server out of
/// service, SIGUSR2 returns it to service; SIGHUP reloads the files.
pub(crate) fn forward_signals(
    mut signals: Signals,
    reloader: ConfigReloader,
    inputs: Sender<Input>,
) -> io::Result<()> {
    let forward = move || {
        while let Ok(received) = signals.wait() {
            for signal in received {
                let input = match signal {
                    SIGHUP => {
                        reloader.reload_files();
                        continue;
                    }
                    SIGUSR1 => Input::TakeOutOfService,
                    SIGUSR2 => Input::ReturnToService,
                    _ => Input::ShutdownNotice,
                };
                if inputs.send(input).is_err() {
                    return;
                }
            }
        }
    };
    thread::Builder::new().name("signals".into()).stack_size(STACK_BYTES).spawn(forward).map(drop)
}

#[cfg(test)]
mod tests;
