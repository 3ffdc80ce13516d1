//! One client connection: its state, the frames that wait to be written, and how it is closed.
//!
//! The reading thread and the main thread share it. Every transition happens under one lock, so that no byte, end of
//! file or response comes between a check and the action that depends on it. The states only move forward, in the order
//! of [`ConnectionState`]; a connection that is open is active, mid-message or idle ([`ReadActivity`]). Nothing here
//! blocks: frames that the socket doesn't take are queued until the socket is writable. That queue is bounded by the
//! reader, which reads nothing more past [`MAX_UNSENT_FRAMES`].

use super::protocol::Protocol;
use gradepin_core::buffer_pool::Buffer;
use rustix::io::Errno;
use rustix::net::{RecvFlags, SendFlags, Shutdown, recv, send, shutdown};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Frames that a peer may leave unread before nothing more is read from it.
pub(super) const MAX_UNSENT_FRAMES: usize = 64;
/// A peer that takes none of its queued frames for this long is considered dead.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Lingering close: how long the peer has to end its half after this server ended its own.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// One of the bounded number of connections of a front end; freed when it is dropped.
struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State of a connection. It only moves down this list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It is read, and responses are written to it.
    Open,
    /// Queued frames are still written. Nothing that arrives is delivered any more, and no frame is added.
    Flushing,
    /// This server's half is shut. What arrives is discarded until the peer's end, so that no byte is unread at the
    /// close: that would reset the connection, and lose responses that the peer hasn't read yet.
    Lingering {
        /// When the half was shut.
        since: Instant,
    },
    /// Both halves are shut.
    Closed,
}

/// What the reading thread holds of an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadActivity {
    /// It is reading: it may hold anything.
    Active,
    /// It waits for the rest of a message.
    MidMessage,
    /// It holds nothing and waits for more.
    Idle,
}

/// Which read activity a pending close accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCondition {
    /// The connection must be idle.
    Idle,
    /// It may also hold an incomplete message: that one is past its timeout.
    IdleOrMidMessage,
}

/// A close that is carried out once its condition holds and no byte is unread; void once another message is delivered.
struct PendingClose {
    /// Messages delivered to the reducer when the close was requested.
    messages_delivered: u64,
    condition: CloseCondition,
}

impl PendingClose {
    fn accepts(&self, activity: ReadActivity) -> bool {
        match activity {
            ReadActivity::Active => false,
            ReadActivity::MidMessage => self.condition == CloseCondition::IdleOrMidMessage,
            ReadActivity::Idle => true,
        }
    }
}

/// What the lock of a connection guards.
struct Inner {
    state: ConnectionState,
    /// Frames that the socket didn't take, in order.
    unsent: VecDeque<Buffer>,
    /// Since when the socket takes none of them.
    stalled_since: Option<Instant>,
    /// Messages delivered to the reducer.
    messages_delivered: u64,
    activity: ReadActivity,
    pending_close: Option<PendingClose>,
}

impl Inner {
    fn abort(&mut self, socket: &OwnedFd) {
        self.state = ConnectionState::Closed;
        self.unsent.clear();
        // The reading thread learns of it by an event of the socket.
        let _ = shutdown(socket, Shutdown::Both);
    }

    fn close(&mut self, socket: &OwnedFd) {
        if matches!(self.state, ConnectionState::Open | ConnectionState::Flushing) {
            self.state = ConnectionState::Flushing;
            if self.unsent.is_empty() {
                self.state = ConnectionState::Lingering { since: Instant::now() };
                let _ = shutdown(socket, Shutdown::Write);
            }
        }
    }

    /// Carries out a pending close if its condition holds and no byte is unread. Bytes that arrive after this check are
    /// never decoded, and their sender sees the end of the connection instead of a response.
    fn try_pending_close(&mut self, socket: &OwnedFd) {
        let Some(pending) = &self.pending_close else { return };
        if self.messages_delivered != pending.messages_delivered {
            self.pending_close = None;
            return;
        }
        // If bytes are unread, the reading thread gets an event for them, and this is tried again afterwards.
        if pending.accepts(self.activity) && has_no_unread_bytes(socket) {
            self.pending_close = None;
            self.close(socket);
        }
    }

    /// Writes as much of a frame as the socket takes; returns false if a part is left.
    fn write(&mut self, socket: &OwnedFd, frame: &mut Buffer) -> bool {
        while !frame.is_empty() {
            match send(socket, frame, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(written_bytes) => {
                    frame.consume(written_bytes);
                    self.stalled_since = None;
                }
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK | Errno::NOBUFS | Errno::NOMEM) => {
                    self.stalled_since.get_or_insert_with(Instant::now);
                    return false;
                }
                Err(_) => {
                    self.abort(socket);
                    return true;
                }
            }
        }
        true
    }
}

/// Whether the socket holds no unread byte. False at the end of file, which only a read consumes.
fn has_no_unread_bytes(socket: &OwnedFd) -> bool {
    let flags = RecvFlags::DONTWAIT | RecvFlags::PEEK;
    recv(socket, &mut [0_u8; 1][..], flags) == Err(Errno::WOULDBLOCK)
}

/// A connection, shared by the reading thread and the main thread. It occupies its slot until both dropped it.
pub(super) struct Connection {
    /// The socket; read by the reading thread alone.
    pub(super) socket: OwnedFd,
    /// The protocol that the peer speaks.
    pub(super) protocol: Arc<dyn Protocol>,
    inner: Mutex<Inner>,
    /// Throttling cost of the responses sent since the reader last took it, in tokens.
    response_cost: AtomicUsize,
    _slot: ConnectionSlot,
}

impl Connection {
    /// An accepted connection; `open_connections` counts it until it is dropped.
    pub(super) fn new(
        socket: OwnedFd,
        protocol: Arc<dyn Protocol>,
        open_connections: &Arc<AtomicUsize>,
    ) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        let inner = Inner {
            state: ConnectionState::Open,
            unsent: VecDeque::new(),
            stalled_since: None,
            messages_delivered: 0,
            activity: ReadActivity::Idle,
            pending_close: None,
        };
        Self {
            socket,
            protocol,
            inner: Mutex::new(inner),
            response_cost: AtomicUsize::new(0),
            _slot: ConnectionSlot(Arc::clone(open_connections)),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes as much of a frame as the socket takes at once, and queues the rest. The frame is dropped unless the
    /// connection is open.
    pub(super) fn send(&self, mut frame: Buffer) {
        let mut inner = self.inner();
        if inner.state != ConnectionState::Open {
            return;
        }
        if !inner.unsent.is_empty() || !inner.write(&self.socket, &mut frame) {
            // A frame may stay queued for long: it is copied into a buffer of its own size.
            inner.unsent.push_back(frame.exact());
        }
    }

    /// Writes queued frames as far as the socket takes them; returns how many are left.
    pub(super) fn flush(&self) -> usize {
        let mut inner = self.inner();
        while let Some(mut frame) = inner.unsent.pop_front() {
            if !inner.write(&self.socket, &mut frame) {
                inner.unsent.push_front(frame);
                break;
            }
        }
        if inner.state == ConnectionState::Flushing {
            inner.close(&self.socket);
        }
        inner.unsent.len()
    }

    /// The reading thread begins to read: the connection isn't idle from here on. Returns its state.
    pub(super) fn begin_read(&self) -> ConnectionState {
        let mut inner = self.inner();
        inner.activity = ReadActivity::Active;
        inner.state
    }

    /// The reading thread holds nothing of the connection and waits for more.
    pub(super) fn set_idle(&self) {
        self.set_activity(ReadActivity::Idle);
    }

    /// The reading thread holds an incomplete message and waits for its rest.
    pub(super) fn set_mid_message(&self) {
        self.set_activity(ReadActivity::MidMessage);
    }

    fn set_activity(&self, activity: ReadActivity) {
        let mut inner = self.inner();
        inner.activity = activity;
        inner.try_pending_close(&self.socket);
    }

    /// Whether no byte of the peer is unread in the socket.
    pub(super) fn has_no_unread_bytes(&self) -> bool {
        has_no_unread_bytes(&self.socket)
    }

    /// How many frames wait to be written.
    pub(super) fn unsent_frames(&self) -> usize {
        self.inner().unsent.len()
    }

    /// Counts a message that is about to be delivered to the reducer; false if none may be delivered any more. Guards
    /// against a request that is read while the connection is closed: it would run, and its response be lost.
    pub(super) fn count_delivery(&self) -> bool {
        let mut inner = self.inner();
        let is_open = inner.state == ConnectionState::Open;
        inner.messages_delivered += u64::from(is_open);
        is_open
    }

    /// Adds the throttling cost of a response, in tokens.
    pub(super) fn add_response_cost(&self, tokens: usize) {
        self.response_cost.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Takes the throttling cost of the responses sent since the last call, in tokens.
    pub(super) fn take_response_cost(&self) -> usize {
        self.response_cost.swap(0, Ordering::Relaxed)
    }

    /// Closes once all queued frames are written: this server's half first, the rest when the peer has ended its own.
    pub(super) fn close(&self) {
        self.inner().close(&self.socket);
    }

    /// Closes as soon as the connection is idle, unless another message than these is delivered before. Guards against a
    /// close that is requested just before the reading thread finishes, and would be forgotten.
    pub(super) fn close_when_idle(&self, messages_delivered: u64) {
        let mut inner = self.inner();
        // A pending close of a timed-out connection with the same count accepts more: keep it.
        let already_covered = inner.pending_close.as_ref().is_some_and(|pending| {
            pending.condition == CloseCondition::IdleOrMidMessage
                && pending.messages_delivered == messages_delivered
        });
        if !already_covered {
            inner.pending_close = Some(PendingClose { messages_delivered, condition: CloseCondition::Idle });
        }
        inner.try_pending_close(&self.socket);
    }

    /// The same for a connection whose message timed out: an incomplete message doesn't keep it open. Guards against a
    /// message that is completed at the moment of the timeout: it is delivered, and never read only to be discarded.
    pub(super) fn close_timed_out(&self, messages_delivered: u64) {
        let mut inner = self.inner();
        inner.pending_close =
            Some(PendingClose { messages_delivered, condition: CloseCondition::IdleOrMidMessage });
        inner.try_pending_close(&self.socket);
    }

    /// Shuts both halves at once and drops what is queued.
    pub(super) fn abort(&self) {
        self.inner().abort(&self.socket);
    }

    /// Whether the peer took no queued frame, or didn't end its half of a lingering connection, within the timeout.
    pub(super) fn is_timed_out(&self, now: Instant) -> bool {
        let inner = self.inner();
        let has_elapsed = |since: Instant, timeout| now.saturating_duration_since(since) >= timeout;
        match inner.state {
            ConnectionState::Lingering { since } => has_elapsed(since, LINGER_TIMEOUT),
            _ => inner.stalled_since.is_some_and(|since| has_elapsed(since, WRITE_TIMEOUT)),
        }
    }

    /// Whether the last write was denied and no queued frame has moved since.
    pub(super) fn is_stalled(&self) -> bool {
        self.inner().stalled_since.is_some()
    }

    /// Queues a frame as if its write had been denied, as when the system has no memory for it.
    #[cfg(test)]
    pub(super) fn simulate_denied_write(&self, frame: Buffer) {
        let mut inner = self.inner();
        inner.unsent.push_back(frame);
        inner.stalled_since = Some(Instant::now());
    }

    /// Since when it lingers; `None` in any other state.
    pub(super) fn lingering_since(&self) -> Option<Instant> {
        match self.inner().state {
            ConnectionState::Lingering { since } => Some(since),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
