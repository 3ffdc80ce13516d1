//! What is written to one peer: at once where its socket takes it, and by a thread where it doesn't.
//!
//! Nothing here blocks a caller. Frames leave in the order in which they came. The thread is started when the socket
//! first doesn't take a frame whole, and ends when nothing waits, so a peer that reads costs no thread.

use gradepin_core::pool::Buffer;
use rustix::io::Errno;
use rustix::net::{SendFlags, Shutdown, send, shutdown};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Stack of the thread: frames are on the heap.
const STACK: usize = 64 * 1024;

/// A socket and what waits for it. Whoever made it bounds what is put in.
pub struct Outgoing {
    /// The socket; its time limit for writing is how long a peer may take nothing.
    pub stream: OwnedFd,
    sending: Mutex<Sending>,
    /// Given back once nobody holds the socket, its thread included.
    _place: Option<Place>,
}

/// One of a bounded number of sockets; the place is free again when this is dropped.
pub struct Place(Arc<AtomicUsize>);

impl Place {
    /// Takes one among those counted there.
    pub fn take(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Default)]
struct Sending {
    /// Frames that the socket didn't take, in order; a thread writes them.
    waiting: VecDeque<Buffer>,
    writes: bool,
    /// To be shut once all is written.
    closing: bool,
    /// Nothing can be written any more.
    dead: bool,
}

/// How it is with a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It takes what it gets; so many frames wait.
    Good(usize),
    /// Nothing more may be written to it.
    Ended,
}

impl Outgoing {
    /// Nothing waits yet.
    pub fn new(stream: OwnedFd, place: Option<Place>) -> Self {
        Self { stream, sending: Mutex::default(), _place: place }
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
                    if sending.closing {
                        self.end(&mut sending);
                    }
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

    /// Closes once all is written.
    pub fn close(&self) {
        let mut sending = self.sending();
        sending.closing = true;
        if !sending.writes {
            self.end(&mut sending);
        }
    }

    /// How it is with the peer.
    pub fn standing(&self) -> Standing {
        let sending = self.sending();
        if sending.dead || sending.closing { Standing::Ended } else { Standing::Good(sending.waiting.len()) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use gradepin_core::pool::Pool;
    use std::io::Read;
    use std::net::{TcpListener, TcpStream};

    /// Guards against frames that overtake one another when the socket is full, and against a close that loses what
    /// waits: commands to the processor and answers go the same way.
    #[test]
    fn frames_keep_their_order_through_a_full_socket_and_a_close_waits_for_them() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let out = Arc::new(Outgoing::new(listener.accept().unwrap().0.into(), None));
        let (pool, count) = (Pool::new(4), 4_000_u32);
        for n in 0..count {
            let mut frame = pool.take();
            assert!(frame.extend(&n.to_be_bytes()) && frame.extend(&[7; 4_000]));
            out.send(frame);
        }
        assert!(matches!(out.standing(), Standing::Good(1..)), "the socket was never full");
        out.close();
        assert_eq!(out.standing(), Standing::Ended);
        let mut all = Vec::new();
        peer.read_to_end(&mut all).unwrap();
        let numbers: Vec<u32> =
            all.chunks(4_004).map(|frame| u32::from_be_bytes(*frame.first_chunk().unwrap())).collect();
        assert!(numbers.into_iter().eq(0..count));
    }
}
