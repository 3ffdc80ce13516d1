//! The client proxies: one thread accepts and reads all of their connections; the main thread writes.
//!
//! A connection is one shared socket, so it takes one descriptor and, while its peer reads, no thread. A thread for
//! each was tried: 480 of them cost a process that is stopped and continued for its share of the core more than all
//! its requests. Nothing here blocks the caller of [`Clients`]: a frame that a socket doesn't take at once waits for
//! a thread that is started for it, and what waits is bounded, since nothing is read while its peer leaves answers
//! unread.

mod pace;
mod reader;
pub mod thrift;

use crossbeam_channel::Sender;
use gradepin_core::messages::{Answer, ConnId, Input, SeqId};
use gradepin_core::pool::{Buffer, Pool};
use gradepin_decisions::Settings;
use pace::Worth;
use reader::Reader;
use rustix::io::Errno;
use rustix::net::{RecvFlags, SendFlags, recv, send};
use slog::Logger;
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of the threads here: buffers are on the heap.
const STACK: usize = 64 * 1024;
/// Frames that a peer may leave unread before no more is read from it.
const MOST_UNREAD: usize = 64;
/// A peer that takes nothing for so long is dead.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// A connection, as its reader, the main thread and, while its peer is slow, its writer have it. The socket
/// counts while any of them still does.
struct Conn {
    stream: TcpStream,
    sending: Mutex<Sending>,
    /// Messages passed on, counted before they are, and whether the reader has nothing and waits for more.
    passed: AtomicU64,
    waits: AtomicBool,
    /// What the answers so far say of the peer; the reader takes it.
    spent: AtomicUsize,
    count: Arc<AtomicUsize>,
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

impl Drop for Conn {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Conn {
    fn new(stream: TcpStream, count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self {
            stream,
            sending: Mutex::default(),
            passed: AtomicU64::new(0),
            waits: AtomicBool::new(false),
            spent: AtomicUsize::new(0),
            count: Arc::clone(count),
        }
    }

    fn sending(&self) -> MutexGuard<'_, Sending> {
        self.sending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shut(&self, sending: &mut Sending) {
        sending.dead = true;
        sending.waiting.clear();
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Writes a frame, or what the socket takes of it at once; a thread writes the rest.
    fn send(self: &Arc<Self>, mut frame: Buffer) {
        let mut sending = self.sending();
        if sending.dead {
            return;
        }
        if !sending.writes {
            match send(&self.stream, &frame, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(taken) if taken == frame.len() => return,
                Ok(taken) => frame.consume(taken),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return self.shut(&mut sending),
            }
            let writer = Arc::clone(self);
            let small = thread::Builder::new().name("write".into()).stack_size(STACK);
            if small.spawn(move || writer.write()).is_err() {
                return self.shut(&mut sending);
            }
            sending.writes = true;
        }
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
                        self.shut(&mut sending);
                    }
                    return;
                };
                frame
            };
            if (&self.stream).write_all(&frame).is_err() {
                return self.shut(&mut self.sending());
            }
        }
    }

    /// Closes once all is written.
    fn close(&self) {
        let mut sending = self.sending();
        sending.closing = true;
        if !sending.writes {
            self.shut(&mut sending);
        }
    }

    /// Whether it rests: nothing is unread, the reader has nothing, and it passed on no more than so many messages.
    /// In this order: what leaves the socket is with the reader before it leaves, and counted before that is over.
    fn rests(&self, taken: u64) -> bool {
        let flags = RecvFlags::DONTWAIT | RecvFlags::PEEK;
        let unread = recv(&self.stream, &mut [0_u8; 1][..], flags) != Err(Errno::WOULDBLOCK);
        !unread && self.waits.load(Ordering::SeqCst) && self.passed.load(Ordering::SeqCst) == taken
    }

    /// Whether more may be read from it.
    fn standing(&self) -> Standing {
        let sending = self.sending();
        if sending.dead || sending.closing {
            Standing::Ended
        } else if sending.waiting.len() >= MOST_UNREAD {
            Standing::Unread
        } else {
            Standing::Good
        }
    }
}

/// How it is with a connection.
enum Standing {
    Good,
    /// Its peer leaves much unread.
    Unread,
    Ended,
}

type Handles = Arc<Mutex<HashMap<ConnId, Arc<Conn>>>>;

/// What the reader has from the rest of the server.
struct Shared {
    handles: Handles,
    inputs: Sender<Input>,
    settings: Arc<Settings>,
    pool: Arc<Pool>,
    log: Logger,
}

impl Shared {
    fn handles(&self) -> MutexGuard<'_, HashMap<ConnId, Arc<Conn>>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The client connections, as the reducer's effects see them.
pub struct Clients {
    handles: Handles,
    pool: Arc<Pool>,
    local: SocketAddr,
}

impl Clients {
    /// Listens, and from now on sends what comes in as inputs.
    pub fn listen(
        address: SocketAddr,
        most: usize,
        settings: Arc<Settings>,
        inputs: Sender<Input>,
        pool: Arc<Pool>,
        log: Logger,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let local = listener.local_addr()?;
        let handles = Handles::default();
        let shared = Shared { handles: Arc::clone(&handles), inputs, settings, pool: Arc::clone(&pool), log };
        let mut reader = Reader::new(listener, most, shared)?;
        thread::Builder::new().name("read".into()).stack_size(STACK).spawn(move || reader.run())?;
        Ok(Self { handles, pool, local })
    }

    /// The address listened on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Sends a frame, or ends a connection that is owed one that can't be made.
    fn send(&self, conn: ConnId, frame: Option<Buffer>, worth: Worth) {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(conn) = handles.get(&conn) else { return };
        conn.spent.fetch_add(worth.cost(), Ordering::Relaxed);
        match frame {
            Some(frame) => conn.send(frame),
            None => conn.close(),
        }
    }

    /// Sends an answer.
    pub fn answer(&self, conn: ConnId, seq: SeqId, answer: &Answer, hint: Option<f64>) {
        let frame = thrift::encode(seq, answer, hint, &self.pool)
            .or_else(|| thrift::encode(seq, &Answer::Failed, hint, &self.pool));
        self.send(conn, frame, Worth::of(answer));
    }

    /// Sends the request to send no more.
    pub fn draining(&self, conn: ConnId) {
        self.send(conn, thrift::draining(&self.pool), Worth::Nothing);
    }

    /// Ends a connection on which nothing is under way; its reader then reports the end. Guards against a request
    /// that is in the socket or in the queue while the reducer knows nothing open: its answer would be lost.
    pub fn close_resting(&self, conn: ConnId, taken: u64) {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(conn) = handles.get(&conn).filter(|conn| conn.rests(taken)) {
            conn.close();
        }
    }

    /// Closes a connection once all is written.
    pub fn close(&self, conn: ConnId) {
        if let Some(conn) = self.handles.lock().unwrap_or_else(PoisonError::into_inner).remove(&conn) {
            conn.close();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a connection closed for room with a request in the socket, with its reader or in the queue,
    /// which the reducer doesn't know of: a server that was told to leave closed 20 so, unanswered.
    #[test]
    fn a_connection_rests_only_while_nothing_is_under_way() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let conn = Conn::new(listener.accept().unwrap().0, &Arc::default());
        assert!(!conn.rests(0), "the reader has not begun to wait");
        conn.waits.store(true, Ordering::SeqCst);
        assert!(conn.rests(0));
        conn.passed.store(1, Ordering::SeqCst);
        assert!(!conn.rests(0) && conn.rests(1), "a message is in the queue");
        peer.write_all(&[0]).unwrap();
        conn.stream.peek(&mut [0]).unwrap();
        assert!(!conn.rests(1), "a byte is unread");
    }
}
