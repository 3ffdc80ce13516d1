//! Writes to the processor: at once where the socket accepts a frame completely, and by a thread where it doesn't.
//!
//! Nothing here blocks a caller, and frames leave in the order of the calls. The thread is started when the socket first
//! accepts only a part of a frame, and ends when nothing waits. Where it can't be started the link is closed, and the
//! reducer settles on the next one what was under way. Connections of clients have no such thread: see `frontend/conn.rs`.

use gradepin_core::buffer_pool::Buffer;
use rustix::io::Errno;
use rustix::net::{SendFlags, Shutdown, send, shutdown};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

const STACK_BYTES: usize = 64 * 1024;

/// A socket and the frames that wait for it. Unbounded here: the sender bounds what it sends.
pub(crate) struct Outgoing {
    /// The socket; its write timeout is how long the peer may accept nothing.
    pub stream: OwnedFd,
    sending: Mutex<Sending>,
}

#[derive(Default)]
struct Sending {
    /// Frames that the socket didn't accept, in order; the thread writes them.
    waiting: VecDeque<Buffer>,
    /// Whether the thread runs.
    has_writer: bool,
    /// Whether the socket is shut down: frames are dropped.
    closed: bool,
}

impl Outgoing {
    /// For a connected socket.
    pub(crate) fn new(stream: OwnedFd) -> Self {
        Self { stream, sending: Mutex::default() }
    }

    fn sending(&self) -> MutexGuard<'_, Sending> {
        self.sending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self, sending: &mut Sending) {
        sending.closed = true;
        sending.waiting.clear();
        let _ = shutdown(&self.stream, Shutdown::Both);
    }

    /// Shuts the socket down both ways at once; frames that wait, and all later ones, are dropped.
    pub(crate) fn shut(&self) {
        self.close(&mut self.sending());
    }

    /// Sends a frame: what the socket accepts at once is written here, the rest by the thread.
    pub(crate) fn send(self: &Arc<Self>, mut frame: Buffer) {
        let mut sending = self.sending();
        if sending.closed {
            return;
        }
        if !sending.has_writer {
            match send(&self.stream, &frame, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(sent) if sent == frame.len() => return,
                Ok(sent) => frame.consume(sent),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return self.close(&mut sending),
            }
            let writer = Arc::clone(self);
            let thread = thread::Builder::new().name("write".into()).stack_size(STACK_BYTES);
            if thread.spawn(move || writer.write_waiting()).is_err() {
                return self.close(&mut sending);
            }
            sending.has_writer = true;
        }
        // It may wait for long, so it takes no more memory than its bytes.
        sending.waiting.push_back(frame.exact());
    }

    /// The thread: writes the frames that wait, and ends when there are none.
    fn write_waiting(&self) {
        loop {
            let frame = {
                let mut sending = self.sending();
                let Some(frame) = sending.waiting.pop_front() else {
                    sending.has_writer = false;
                    return;
                };
                frame
            };
            // Blocks at most for the socket's write timeout.
            let mut remaining = &frame[..];
            while !remaining.is_empty() {
                match send(&self.stream, remaining, SendFlags::NOSIGNAL) {
                    Ok(sent) => remaining = &remaining[sent..],
                    Err(Errno::INTR) => {}
                    Err(_) => return self.shut(),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
