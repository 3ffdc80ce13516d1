//! The life of one client connection: who may read it, what waits to be written, and how it ends.
//!
//! The reader and the main thread share it, and every step of its life is taken under one lock, so that no byte, end or
//! answer comes between a look and what is done by it. The states and who may move them stand in ARCHITECTURE.md.
//! Nothing here blocks: what the socket doesn't take waits, bounded by what the reader lets in, until the reader is
//! told that there is room.

use super::Protocol;
use gradepin_core::buffer_pool::Buffer;
use rustix::io::Errno;
use rustix::net::{RecvFlags, SendFlags, Shutdown, recv, send, shutdown};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A peer that takes nothing of what waits for so long is dead.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// Lingering close: how long the peer has to end its half after this server ended its own.
const LINGER: Duration = Duration::from_secs(1);

/// One of a bounded number of sockets; the place is free again when this is dropped.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How far a connection's life has come. It only ever goes down this list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is read, and answers are written to it.
    Open,
    /// What waits is written yet; nothing that comes is passed on any more, and nothing more is written.
    Closing,
    /// Our half is shut. What comes is thrown away until the peer's end, so that no byte is unread at the close: that
    /// would reset the connection, and answers that the peer hasn't read yet would go with it.
    Lingering(Instant),
    /// Nothing comes and nothing goes any more.
    Dead,
}

/// What the reader has of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reads {
    /// It has its turn: it may have anything.
    Turn,
    /// It waits for the rest of a message.
    Part,
    /// It has nothing, and waits for more.
    Nothing,
}

/// A close that is carried out once the reader waits and nothing is unread, unless another message is passed on before.
struct Wish {
    /// Messages passed on by then.
    passed: u64,
    /// Whether half a message is too late, and holds it no longer.
    late: bool,
}

struct Life {
    stage: Stage,
    /// Frames that the socket didn't take, in order.
    waiting: VecDeque<Buffer>,
    /// Since when it takes nothing of them.
    stalled: Option<Instant>,
    /// Messages passed on.
    passed: u64,
    reads: Reads,
    closes_at_rest: Option<Wish>,
}

impl Life {
    fn end(&mut self, socket: &OwnedFd) {
        self.stage = Stage::Dead;
        self.waiting.clear();
        // The reader is told of it by the socket.
        let _ = shutdown(socket, Shutdown::Both);
    }

    fn close(&mut self, socket: &OwnedFd) {
        if matches!(self.stage, Stage::Open | Stage::Closing) {
            self.stage = Stage::Closing;
            if self.waiting.is_empty() {
                self.stage = Stage::Lingering(Instant::now());
                let _ = shutdown(socket, Shutdown::Write);
            }
        }
    }

    /// Closes it as was wished, if nothing is under way: no message more was passed on, the reader has nothing, or what
    /// is late, and nothing is unread. What comes after this look is never read, and its sender sees the end instead.
    fn close_at_rest(&mut self, socket: &OwnedFd) {
        let Some(wish) = &self.closes_at_rest else { return };
        if self.passed != wish.passed {
            self.closes_at_rest = None;
            return;
        }
        let waits = match self.reads {
            Reads::Turn => false,
            Reads::Part => wish.late,
            Reads::Nothing => true,
        };
        // Where there is something, the reader is told of it, and waits again after that.
        if waits && is_drained(socket) {
            self.closes_at_rest = None;
            self.close(socket);
        }
    }

    /// Writes of a frame what the socket takes; false if that was not all.
    fn write(&mut self, socket: &OwnedFd, frame: &mut Buffer) -> bool {
        while !frame.is_empty() {
            match send(socket, frame, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(taken) => {
                    frame.consume(taken);
                    self.stalled = None;
                }
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK | Errno::NOBUFS | Errno::NOMEM) => {
                    self.stalled.get_or_insert_with(Instant::now);
                    return false;
                }
                Err(_) => {
                    self.end(socket);
                    return true;
                }
            }
        }
        true
    }
}

/// Whether nothing of what the peer sent is unread. Its end is told by a read.
fn is_drained(socket: &OwnedFd) -> bool {
    let flags = RecvFlags::DONTWAIT | RecvFlags::PEEK;
    recv(socket, &mut [0_u8; 1][..], flags) == Err(Errno::WOULDBLOCK)
}

/// A connection, as its reader and the main thread have it. It counts as long as either does.
pub(super) struct Conn {
    pub(super) socket: OwnedFd,
    pub(super) front: Arc<dyn Protocol>,
    life: Mutex<Life>,
    /// What the answers so far say of the peer; the reader takes it.
    pub(super) spent: AtomicUsize,
    _place: Place,
}

impl Conn {
    /// One that was accepted; it takes a place among those counted there.
    pub(super) fn new(socket: OwnedFd, front: Arc<dyn Protocol>, count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        let life = Life {
            stage: Stage::Open,
            waiting: VecDeque::new(),
            stalled: None,
            passed: 0,
            reads: Reads::Nothing,
            closes_at_rest: None,
        };
        let (life, spent) = (Mutex::new(life), AtomicUsize::new(0));
        Self { socket, front, life, spent, _place: Place(Arc::clone(count)) }
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a frame, or what the socket takes of it at once; the rest waits.
    pub(super) fn send(&self, mut frame: Buffer) {
        let mut life = self.life();
        if life.stage != Stage::Open {
            return;
        }
        if !life.waiting.is_empty() || !life.write(&self.socket, &mut frame) {
            // What waits may wait for long: it takes no more than its bytes.
            life.waiting.push_back(frame.exact());
        }
    }

    /// There may be room in the socket: writes what waits. Says how many frames still wait.
    pub(super) fn flush(&self) -> usize {
        let mut life = self.life();
        while let Some(mut frame) = life.waiting.pop_front() {
            if !life.write(&self.socket, &mut frame) {
                life.waiting.push_front(frame);
                break;
            }
        }
        if life.stage == Stage::Closing {
            life.close(&self.socket);
        }
        life.waiting.len()
    }

    /// A turn of the reader begins, before anything leaves the socket: from here on the connection doesn't rest.
    pub(super) fn turn(&self) -> Stage {
        let mut life = self.life();
        life.reads = Reads::Turn;
        life.stage
    }

    /// The reader has nothing of it and waits for more.
    pub(super) fn rest(&self) {
        self.waits(Reads::Nothing);
    }

    /// The reader has a part of a message and waits for more.
    pub(super) fn rest_in_message(&self) {
        self.waits(Reads::Part);
    }

    fn waits(&self, reads: Reads) {
        let mut life = self.life();
        life.reads = reads;
        life.close_at_rest(&self.socket);
    }

    /// Whether nothing of what the peer sent is unread.
    pub(super) fn is_drained(&self) -> bool {
        is_drained(&self.socket)
    }

    /// How many frames the peer has left unread.
    pub(super) fn unread(&self) -> usize {
        self.life().waiting.len()
    }

    /// Counts a message that is passed on; false if none may be any more. Guards against a request that is read in the
    /// instant of a close and run, while its answer can't be written.
    pub(super) fn pass(&self) -> bool {
        let mut life = self.life();
        let passes = life.stage == Stage::Open;
        life.passed += u64::from(passes);
        passes
    }

    /// Closes once all is written: our half first, the rest when the peer has ended its own.
    pub(super) fn close(&self) {
        self.life().close(&self.socket);
    }

    /// The same, as soon as nothing is under way, unless another message is passed on before that. Guards against a close
    /// that comes while the reader's turn is about to end, and is forgotten.
    pub(super) fn close_resting(&self, taken: u64) {
        let mut life = self.life();
        // A wish to close what is late goes further.
        if !life.closes_at_rest.as_ref().is_some_and(|wish| wish.late && wish.passed == taken) {
            life.closes_at_rest = Some(Wish { passed: taken, late: false });
        }
        life.close_at_rest(&self.socket);
    }

    /// The same, though a part of a message is here that is late. Guards against a message that becomes whole in the
    /// instant in which it is found late: it is passed on, and never read only to be thrown away.
    pub(super) fn close_late(&self, taken: u64) {
        let mut life = self.life();
        life.closes_at_rest = Some(Wish { passed: taken, late: true });
        life.close_at_rest(&self.socket);
    }

    /// Ends it at once.
    pub(super) fn end(&self) {
        self.life().end(&self.socket);
    }

    /// Whether its time is up: the peer takes nothing of what waits, or doesn't end its half.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        let life = self.life();
        let over = |since: Instant, patience| now.saturating_duration_since(since) >= patience;
        match life.stage {
            Stage::Lingering(since) => over(since, LINGER),
            _ => life.stalled.is_some_and(|since| over(since, WRITE_PATIENCE)),
        }
    }

    /// A write was denied, and what waits has not moved since.
    pub(super) fn is_stalled(&self) -> bool {
        self.life().stalled.is_some()
    }

    /// A write of a frame is denied, as where the system has no memory for it.
    #[cfg(test)]
    pub(super) fn deny(&self, frame: Buffer) {
        let mut life = self.life();
        life.waiting.push_back(frame);
        life.stalled = Some(Instant::now());
    }

    /// Since when it lingers, if it does.
    pub(super) fn lingers_since(&self) -> Option<Instant> {
        match self.life().stage {
            Stage::Lingering(since) => Some(since),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
