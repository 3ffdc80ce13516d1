//! The fronts: whatever protocol clients speak, one thread accepts and reads all connections, and the main thread writes.
//!
//! What a protocol is stands in a folder of its own: a [`Protocol`] makes messages of bytes and bytes of answers. All else is
//! here, once: descriptors, buffers, pace, turns, closing for room, drains. A connection of any front has its turn like
//! all others, and each front but the first has at most half of the places.
//!
//! A connection is one shared socket, so it takes one descriptor and no thread. A thread for each was tried: 480 of them
//! cost a process that is stopped and continued for its share of the core more than all its requests. Nothing here
//! blocks the caller of [`Frontend`]: a frame that a socket doesn't take at once waits until the reader is told of room
//! (`conn.rs`), and what waits is bounded, since nothing is read while its peer leaves answers unread.

mod conn;
mod pace;
mod reader;
mod reading;
pub mod scgi;
pub mod thrift;

use conn::Conn;
use crossbeam_channel::Sender;
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{ClientRequest, ConnectionId, Input, RequestError, Response, SequenceId};
use pace::Worth;
use reader::Reader;
use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, listen, socket_with};
use slog::Logger;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of the threads here: buffers are on the heap.
const STACK: usize = 64 * 1024;
/// Frames that a peer may leave unread before no more is read from it.
const MOST_UNREAD: usize = 64;

/// Connections that may wait to be accepted, as many as most servers have places. The library's 128 are fewer than the
/// client proxies that come back in one instant: the system drops the others while this process has no turn on its core,
/// and they try again a second later, or three.
const BACKLOG: i32 = 1024;

/// Why a connection can't go on: its bytes are no messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// What a front cut out of what came on a connection.
#[derive(Debug)]
pub enum Cut {
    /// A request.
    Call(SequenceId, Box<ClientRequest>),
    /// A health check.
    Health(SequenceId),
    /// Nobody waits for the answer to this one any more.
    Cancel(SequenceId),
    /// A message that can't be taken; it is owed an answer that says so.
    Invalid(SequenceId, RequestError, String),
    /// A message of no meaning here.
    Nonsense,
    /// Bytes of a message that is not whole yet.
    Nothing,
}

/// Cuts the messages of one connection.
pub trait Cutter: Send {
    /// The first message in these bytes, and how many of them it used; none if more must come first.
    fn cut(&mut self, bytes: &[u8], pool: &Arc<BufferPool>) -> Result<Option<(usize, Cut)>, Malformed>;

    /// Whether bytes were used of a message that is not whole.
    fn begun(&self) -> bool;
}

/// How long a connection may take to say something.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// From the accept to the first whole message.
    pub first: Duration,
    /// Or only to its first byte; then the same as any other.
    pub first_byte_only: bool,
    /// From the first byte of a message to its last.
    pub whole: Duration,
}

/// What a protocol is: bytes to messages and answers to bytes. It reads and writes nothing itself.
pub trait Protocol: Send + Sync {
    /// For a new connection.
    fn cutter(&self) -> Box<dyn Cutter>;

    /// How long its connections may take.
    fn patience(&self) -> Patience;

    /// An answer with the free value, and whether the server is leaving; none if it doesn't fit into a buffer.
    fn encode(
        &self,
        seq: SequenceId,
        answer: &Response,
        hint: Option<f64>,
        leaving: bool,
        pool: &Arc<BufferPool>,
    ) -> Option<Buffer>;

    /// The message that asks for no more requests, if the protocol has one; else idle connections are closed.
    fn draining(&self, pool: &Arc<BufferPool>) -> Option<Buffer>;

    /// What a peer is told whose bytes are no message, before its connection is closed; none if only the close tells.
    fn malformed(&self, why: &str, pool: &Arc<BufferPool>) -> Option<Buffer>;

    /// Whether a connection carries one request and ends with its answer.
    fn once(&self) -> bool;
}

/// Where a front listens.
pub enum Listener {
    /// On an address.
    Tcp(TcpListener),
    /// On an address, by a socket that another process has too.
    Shared(TcpListener),
    /// On a path, which is removed at the end.
    Unix(UnixListener, PathBuf),
}

impl Listener {
    /// On an address.
    pub fn tcp(address: SocketAddr) -> io::Result<Self> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let listener = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        // As the library's own, but for the backlog: connections of a process before this one may linger in the system.
        set_socket_reuseaddr(&listener, true)?;
        bind(&listener, &address)?;
        listen(&listener, BACKLOG)?;
        Ok(Self::Tcp(listener.into()))
    }

    /// On a path. A socket that a server left there is removed; anything else there is an error.
    pub fn unix(path: &Path) -> io::Result<Self> {
        use std::os::unix::fs::FileTypeExt;
        if std::fs::symlink_metadata(path).is_ok_and(|file| file.file_type().is_socket()) {
            if std::os::unix::net::UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another process listens there"));
            }
            std::fs::remove_file(path)?;
        }
        Ok(Self::Unix(UnixListener::bind(path)?, path.into()))
    }

    fn set_nonblocking(&self) -> io::Result<()> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => listener.set_nonblocking(true),
            Self::Unix(listener, _) => listener.set_nonblocking(true),
        }
    }

    fn accept(&self) -> io::Result<OwnedFd> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => {
                let (stream, _) = listener.accept()?;
                stream.set_nodelay(true)?;
                Ok(stream.into())
            }
            Self::Unix(listener, _) => Ok(listener.accept()?.0.into()),
        }
    }
}

impl std::os::fd::AsFd for Listener {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        match self {
            Self::Tcp(listener) | Self::Shared(listener) => listener.as_fd(),
            Self::Unix(listener, _) => listener.as_fd(),
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Self::Unix(_, path) = self {
            let _ = std::fs::remove_file(path);
        }
    }
}

type Handles = Arc<Mutex<HashMap<ConnectionId, Arc<Conn>>>>;

/// What the reader has from the rest of the server.
struct Shared {
    handles: Handles,
    /// Whether connections are still accepted; never again once not.
    accepting: Arc<AtomicBool>,
    inputs: Sender<Input>,
    pool: Arc<BufferPool>,
    log: Logger,
}

impl Shared {
    fn handles(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Conn>>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The connections of all fronts, as the reducer's effects see them.
pub struct Frontend {
    handles: Handles,
    pool: Arc<BufferPool>,
    leaving: AtomicBool,
    accepting: Arc<AtomicBool>,
}

impl Frontend {
    /// From now on sends what comes in on these listeners as inputs; at most so many connections stand at a time.
    pub fn listen(
        fronts: Vec<(Arc<dyn Protocol>, Listener)>,
        most: usize,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let (handles, accepting) = (Handles::default(), Arc::new(AtomicBool::new(true)));
        let shared = Shared {
            handles: Arc::clone(&handles),
            accepting: Arc::clone(&accepting),
            inputs,
            pool: Arc::clone(&pool),
            log,
        };
        let mut reader = Reader::new(fronts, most, shared)?;
        thread::Builder::new().name("read".into()).stack_size(STACK).spawn(move || reader.run())?;
        Ok(Self { handles, pool, leaving: AtomicBool::new(false), accepting })
    }

    /// Accepts nothing more from now on; connections that were accepted are read and answered as ever. What waits to
    /// be accepted is accepted yet where the listener is ours alone, which is then closed, and else stays with the
    /// listener for the process that shares it.
    pub fn stop_accepting(&self) {
        self.accepting.store(false, Ordering::SeqCst);
    }

    fn handle(&self, conn: ConnectionId) -> Option<Arc<Conn>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).get(&conn).cloned()
    }

    /// Sends an answer; a connection that is owed one which can't be made ends.
    pub fn answer(&self, conn: ConnectionId, seq: SequenceId, answer: &Response, hint: Option<f64>) {
        let Some(conn) = self.handle(conn) else { return };
        let leaving = self.leaving.load(Ordering::Relaxed);
        let encode = |answer| conn.front.encode(seq, answer, hint, leaving, &self.pool);
        let frame = encode(answer).or_else(|| encode(&Response::Failed { timed_out: false }));
        conn.spent.fetch_add(Worth::of(answer).cost(), Ordering::Relaxed);
        let once = frame.is_none() || conn.front.once();
        frame.into_iter().for_each(|frame| conn.send(frame));
        if once {
            conn.close();
        }
    }

    /// Asks for no more requests. Where the protocol has no word for it, a connection that said nothing is closed.
    pub fn draining(&self, conn: ConnectionId) {
        self.leaving.store(true, Ordering::Relaxed);
        let Some(conn) = self.handle(conn) else { return };
        match conn.front.draining(&self.pool) {
            Some(frame) => conn.send(frame),
            None => conn.close_resting(0),
        }
    }

    /// Closes a connection on which nothing is under way; its reader then reports the end. Guards against a request
    /// that is in the socket or in the queue while the reducer knows nothing open: its answer would be lost.
    pub fn close_resting(&self, conn: ConnectionId, taken: u64) {
        if let Some(conn) = self.handle(conn) {
            conn.close_resting(taken);
        }
    }

    /// Closes a connection that said no whole message in its time, on the same terms; half a message doesn't hold it.
    pub fn close_late(&self, conn: ConnectionId, taken: u64) {
        if let Some(conn) = self.handle(conn) {
            conn.close_late(taken);
        }
    }

    /// Closes a connection once all is written; its reader reports the end when the peer has ended its half too.
    pub fn close(&self, conn: ConnectionId) {
        if let Some(conn) = self.handle(conn) {
            conn.close();
        }
    }
}
