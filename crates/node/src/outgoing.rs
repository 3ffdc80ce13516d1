//! Non-blocking writes to the processor: directly if the socket accepts the complete frame, otherwise on a thread.
//!
//! Callers never block, and frames are sent in the order of the calls. The thread starts when the socket accepts only a
//! part of a frame, and ends when no frame is queued. If the thread can't be started, the link is closed, and the
//! reducer resolves the open runs on the next link. Client connections use no such thread: see
//! `frontend/connection.rs`.

use gradepin_core::buffer_pool::Buffer;
use rustix::io::Errno;
use rustix::net::{SendFlags, Shutdown, send, shutdown};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

const STACK_BYTES: usize = 64 * 1024;

/// A socket and its queue of frames. The queue itself is unbounded; the caller bounds what it sends.
pub(crate) struct FrameWriter {
    /// The socket; its write timeout bounds how long the peer may accept no bytes.
    pub stream: OwnedFd,
    queue: Mutex<WriteQueue>,
}

#[derive(Default)]
struct WriteQueue {
    /// Frames that the socket didn't accept, in order; the writing thread sends them.
    waiting: VecDeque<Buffer>,
    /// Whether the writing thread is running.
    has_writer: bool,
    /// Whether the socket is shut down; frames are dropped from then on.
    closed: bool,
}

impl FrameWriter {
    /// Wraps a connected socket.
    pub(crate) fn new(stream: OwnedFd) -> Self {
        Self { stream, queue: Mutex::default() }
    }

    fn queue(&self) -> MutexGuard<'_, WriteQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self, queue: &mut WriteQueue) {
        queue.closed = true;
        queue.waiting.clear();
        let _ = shutdown(&self.stream, Shutdown::Both);
    }

    /// Shuts the socket down in both directions immediately; queued and later frames are dropped.
    pub(crate) fn shut(&self) {
        self.close(&mut self.queue());
    }

    /// Sends a frame: writes as much as the socket accepts immediately and queues the rest for the writing thread.
    pub(crate) fn send(self: &Arc<Self>, mut frame: Buffer) {
        let mut queue = self.queue();
        if queue.closed {
            return;
        }
        if !queue.has_writer {
            match send(&self.stream, &frame, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(sent) if sent == frame.len() => return,
                Ok(sent) => frame.consume(sent),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return self.close(&mut queue),
            }
            let writer = Arc::clone(self);
            let thread = thread::Builder::new().name("write".into()).stack_size(STACK_BYTES);
            if thread.spawn(move || writer.write_waiting()).is_err() {
                return self.close(&mut queue);
            }
            queue.has_writer = true;
        }
        // A frame may stay queued for long, so it is copied into a buffer of its own size.
        queue.waiting.push_back(frame.exact());
    }

    /// Body of the writing thread: sends the queued frames and returns when there are none.
    fn write_waiting(&self) {
        loop {
            let frame = {
                let mut queue = self.queue();
                let Some(frame) = queue.waiting.pop_front() else {
                    queue.has_writer = false;
                    return;
                };
                frame
            };
            // Each send blocks at most for the socket's write timeout.
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
