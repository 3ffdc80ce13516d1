//! What is written to the processor: at once where its socket takes it, and by a thread where it doesn't.
//!
//! Nothing here blocks a caller. Frames leave in the order in which they came. The thread is started when the socket
//! first doesn't take a frame whole, and ends when nothing waits. Where none can be started the link ends, and what was
//! on its way is settled on the next one. Clients' connections have no such thread: see `fronts/conn.rs`.

use gradepin_core::buffer_pool::Buffer;
use rustix::io::Errno;
use rustix::net::{SendFlags, Shutdown, send, shutdown};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Stack of the thread: frames are on the heap.
const STACK: usize = 64 * 1024;

/// A socket and what waits for it. Whoever made it bounds what is put in.
pub struct Outgoing {
    /// The socket; its time limit for writing is how long a peer may take nothing.
    pub stream: OwnedFd,
    sending: Mutex<Sending>,
}

#[derive(Default)]
struct Sending {
    /// Frames that the socket didn't take, in order; a thread writes them.
    waiting: VecDeque<Buffer>,
    writes: bool,
    /// Nothing can be written any more.
    dead: bool,
}

impl Outgoing {
    /// Nothing waits yet.
    pub fn new(stream: OwnedFd) -> Self {
        Self { stream, sending: Mutex::default() }
    }

    fn sending(&self) -> MutexGuard<'_, Sending> {
        self.sending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end(&self, sending: &mut Sending) {
        sending.dead = true;
        sending.waiting.clear();
        let _ = shutdown(&self.stream, Shutdown::Both);
    }

    /// Ends both ways at once; what waits is dropped, and nothing is written after it.
    pub fn shut(&self) {
        self.end(&mut self.sending());
    }

    /// Writes a frame, or what the socket takes of it at once; a thread writes the rest.
    pub fn send(self: &Arc<Self>, mut frame: Buffer) {
        let mut sending = self.sending();
        if sending.dead {
            return;
        }
        if !sending.writes {
            match send(&self.stream, &frame, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(taken) if taken == frame.len() => return,
                Ok(taken) => frame.consume(taken),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return self.end(&mut sending),
            }
            let writer = Arc::clone(self);
            let small = thread::Builder::new().name("write".into()).stack_size(STACK);
            if small.spawn(move || writer.write()).is_err() {
                return self.end(&mut sending);
            }
            sending.writes = true;
        }
        // What waits may wait for long: it takes no more than its bytes.
        sending.waiting.push_back(frame.exact());
    }

    /// Writes what waits, and ends when nothing does.
    fn write(&self) {
        loop {
            let frame = {
                let mut sending = self.sending();
                let Some(frame) = sending.waiting.pop_front() else {
                    sending.writes = false;
                    return;
                };
                frame
            };
            // Blocks for as long as the socket's time limit at the most.
            let mut left = &frame[..];
            while !left.is_empty() {
                match send(&self.stream, left, SendFlags::NOSIGNAL) {
                    Ok(taken) => left = &left[taken..],
                    Err(Errno::INTR) => {}
                    Err(_) => return self.shut(),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
