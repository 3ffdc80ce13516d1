//! One client connection: its state, its queue of unsent frames, and how it is closed.
//!
//! The reading thread and the main thread share it. Every transition happens under one lock, so that no byte, end of
//! file or response can arrive between a check and the action that depends on it. States only advance, in the order of
//! [`ConnectionState`]; an open connection is active, mid-message or idle ([`ReadActivity`]). Nothing here blocks:
//! frames that the socket doesn't accept are queued until it is writable. The reader bounds that queue: it stops
//! reading at [`MAX_UNSENT_FRAMES`].

use super::protocol::Protocol;
use gradepin_core::buffer_pool::Buffer;
use rustix::io::Errno;
use rustix::net::{RecvFlags, SendFlags, Shutdown, recv, send, shutdown};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Unsent frames of a connection at which reading from it stops.
pub(super) const MAX_UNSENT_FRAMES: usize = 64;
/// A peer that accepts no bytes of its queued frames for this long is considered dead.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Lingering close: how long the peer has to shut down its half after this server shut down its own.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// One of the limited connection slots of a front end; dropping it frees the slot.
struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State of a connection. It only advances, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Messages are read and responses are written.
    Open,
    /// Queued frames are still written, but received messages are not delivered and no frame is added.
    Flushing,
    /// This server's half is shut down. Received bytes are discarded until the peer's end of file: closing a socket
    /// with unread bytes would reset the connection, and the peer would lose responses that it hasn't read yet.
    Lingering {
        /// When this server's half was shut down.
        since: Instant,
    },
    /// Both halves are shut down.
    Closed,
}

/// Activity of the reading thread on an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadActivity {
    /// The thread is reading and may have undelivered messages.
    Active,
    /// The thread waits for the rest of a message.
    MidMessage,
    /// The thread has no undelivered bytes and waits for more.
    Idle,
}

/// The read activity that a pending close requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCondition {
    /// The connection must be idle.
    Idle,
    /// The connection may also have an incomplete message, which has exceeded its timeout.
    IdleOrMidMessage,
}

/// A close that takes effect when its condition holds and no byte is unread; cancelled if another message is delivered.
struct PendingClose {
    /// Number of messages delivered to the reducer when the close was requested.
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

/// A frame that the socket didn't accept yet.
struct UnsentFrame {
    frame: Buffer,
    queued_at: Instant,
}

/// The result of writing queued frames.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Flushed {
    /// Frames that remain queued.
    pub(super) unsent_frames: usize,
    /// Frames that were written completely.
    pub(super) written_frames: u32,
    /// Sum of the times that the written frames were queued.
    pub(super) total_wait: Duration,
    /// The longest of these times.
    pub(super) longest_wait: Duration,
}

/// The part of a connection that its lock protects.
struct Inner {
    state: ConnectionState,
    /// Frames that the socket didn't accept yet, in order.
    unsent: VecDeque<UnsentFrame>,
    /// Since when the socket accepts no bytes.
    stalled_since: Option<Instant>,
    /// Number of messages delivered to the reducer.
    messages_delivered: u64,
    activity: ReadActivity,
    pending_close: Option<PendingClose>,
}

impl Inner {
    fn abort(&mut self, socket: &OwnedFd) {
        self.state = ConnectionState::Closed;
        self.unsent.clear();
        // The reading thread is notified by an event of the socket.
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

    /// Executes a pending close if its condition holds and no byte is unread. Bytes that arrive after this check are
    /// never decoded; their sender sees the end of the connection instead of a response.
    fn try_pending_close(&mut self, socket: &OwnedFd) {
        let Some(pending) = &self.pending_close else { return };
        if self.messages_delivered != pending.messages_delivered {
            self.pending_close = None;
            return;
        }
        // If bytes are unread, the reading thread gets an event for them and retries the close afterwards.
        if pending.accepts(self.activity) && has_no_unread_bytes(socket) {
            self.pending_close = None;
            self.close(socket);
        }
    }

    /// Writes as much of a frame as the socket accepts; returns false if a part is left.
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

/// Whether the socket has no unread bytes. False at the end of file, which only a read consumes.
fn has_no_unread_bytes(socket: &OwnedFd) -> bool {
    let flags = RecvFlags::DONTWAIT | RecvFlags::PEEK;
    recv(socket, &mut [0_u8; 1][..], flags) == Err(Errno::WOULDBLOCK)
}

/// A connection, shared by the reading thread and the main thread. It uses its slot until both have dropped it.
pub(super) struct Connection {
    /// The socket; only the reading thread reads from it.
    pub(super) socket: OwnedFd,
    /// The protocol that the peer speaks.
    pub(super) protocol: Arc<dyn Protocol>,
    inner: Mutex<Inner>,
    /// Tokens that the reader has to take for messages that broke the protocol.
    charged_tokens: AtomicUsize,
    _slot: ConnectionSlot,
}

impl Connection {
    /// Wraps an accepted socket; `open_connections` counts the connection until it is dropped.
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
            charged_tokens: AtomicUsize::new(0),
            _slot: ConnectionSlot(Arc::clone(open_connections)),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes as much of a frame as the socket accepts immediately and queues the rest. The frame is dropped if the
    /// connection is not open.
    pub(super) fn send(&self, mut frame: Buffer) {
        let mut inner = self.inner();
        if inner.state != ConnectionState::Open {
            return;
        }
        if !inner.unsent.is_empty() || !inner.write(&self.socket, &mut frame) {
            // A frame may stay queued for long, so it is copied into a buffer of its own size.
            inner.unsent.push_back(UnsentFrame { frame: frame.exact(), queued_at: Instant::now() });
        }
    }

    /// Writes queued frames as far as the socket accepts them.
    pub(super) fn flush(&self) -> Flushed {
        let mut flushed = Flushed::default();
        let mut inner = self.inner();
        while let Some(mut unsent) = inner.unsent.pop_front() {
            if !inner.write(&self.socket, &mut unsent.frame) {
                inner.unsent.push_front(unsent);
                break;
            }
            let wait = unsent.queued_at.elapsed();
            flushed.written_frames += 1;
            flushed.total_wait += wait;
            flushed.longest_wait = flushed.longest_wait.max(wait);
        }
        if inner.state == ConnectionState::Flushing {
            inner.close(&self.socket);
        }
        flushed.unsent_frames = inner.unsent.len();
        flushed
    }

    /// Records that the reading thread starts a read, so the connection is no longer idle. Returns the connection's
    /// state.
    pub(super) fn begin_read(&self) -> ConnectionState {
        let mut inner = self.inner();
        inner.activity = ReadActivity::Active;
        inner.state
    }

    /// Records that the reading thread has no undelivered bytes and waits for more.
    pub(super) fn set_idle(&self) {
        self.set_activity(ReadActivity::Idle);
    }

    /// Records that the reading thread waits for the rest of a message.
    pub(super) fn set_mid_message(&self) {
        self.set_activity(ReadActivity::MidMessage);
    }

    fn set_activity(&self, activity: ReadActivity) {
        let mut inner = self.inner();
        inner.activity = activity;
        inner.try_pending_close(&self.socket);
    }

    /// Whether the socket has no unread bytes.
    pub(super) fn has_no_unread_bytes(&self) -> bool {
        has_no_unread_bytes(&self.socket)
    }

    /// Number of queued frames.
    pub(super) fn unsent_frames(&self) -> usize {
        self.inner().unsent.len()
    }

    /// Counts a message that is about to be delivered to the reducer; false if the connection is no longer open and the
    /// message must not be delivered: its request would run, but the response would be lost.
    pub(super) fn count_delivery(&self) -> bool {
        let mut inner = self.inner();
        let is_open = inner.state == ConnectionState::Open;
        inner.messages_delivered += u64::from(is_open);
        is_open
    }

    /// Has the reader take tokens for a message that broke the protocol.
    pub(super) fn charge(&self, tokens: usize) {
        self.charged_tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Returns the tokens charged since the last call.
    pub(super) fn take_charged_tokens(&self) -> usize {
        self.charged_tokens.swap(0, Ordering::Relaxed)
    }

    /// Closes the connection after all queued frames are written: this server's half first, then the rest after the
    /// peer has shut down its own half.
    pub(super) fn close(&self) {
        self.inner().close(&self.socket);
    }

    /// Closes the connection when it is idle, unless a message beyond `messages_delivered` is delivered first. The
    /// request stays pending, so that it is not lost if it arrives just before the reading thread finishes.
    pub(super) fn close_when_idle(&self, messages_delivered: u64) {
        let mut inner = self.inner();
        // A pending close of a timed-out connection with the same count has the weaker condition, so it is kept.
        let already_covered = inner.pending_close.as_ref().is_some_and(|pending| {
            pending.condition == CloseCondition::IdleOrMidMessage
                && pending.messages_delivered == messages_delivered
        });
        if !already_covered {
            inner.pending_close = Some(PendingClose { messages_delivered, condition: CloseCondition::Idle });
        }
        inner.try_pending_close(&self.socket);
    }

    /// Like [`Self::close_when_idle`], but an incomplete message, which has timed out, doesn't keep the connection
    /// open. A message that is completed at the moment of the timeout is still delivered instead of discarded.
    pub(super) fn close_timed_out(&self, messages_delivered: u64) {
        let mut inner = self.inner();
        inner.pending_close =
            Some(PendingClose { messages_delivered, condition: CloseCondition::IdleOrMidMessage });
        inner.try_pending_close(&self.socket);
    }

    /// Shuts down both halves immediately and drops all queued frames.
    pub(super) fn abort(&self) {
        self.inner().abort(&self.socket);
    }

    /// Whether the peer accepted no bytes of queued frames, or didn't shut down its half of a lingering connection,
    /// within the timeout.
    pub(super) fn is_timed_out(&self, now: Instant) -> bool {
        let inner = self.inner();
        let has_elapsed = |since: Instant, timeout| now.saturating_duration_since(since) >= timeout;
        match inner.state {
            ConnectionState::Lingering { since } => has_elapsed(since, LINGER_TIMEOUT),
            _ => inner.stalled_since.is_some_and(|since| has_elapsed(since, WRITE_TIMEOUT)),
        }
    }

    /// Whether the last write was denied and no queued bytes have been written since.
    pub(super) fn is_stalled(&self) -> bool {
        self.inner().stalled_since.is_some()
    }

    /// Queues a frame as if the system had denied its write for want of memory.
    #[cfg(test)]
    pub(super) fn simulate_denied_write(&self, frame: Buffer) {
        let mut inner = self.inner();
        inner.unsent.push_back(UnsentFrame { frame, queued_at: Instant::now() });
        inner.stalled_since = Some(Instant::now());
    }

    /// Since when the connection has been lingering; `None` in any other state.
    pub(super) fn lingering_since(&self) -> Option<Instant> {
        match self.inner().state {
            ConnectionState::Lingering { since } => Some(since),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
