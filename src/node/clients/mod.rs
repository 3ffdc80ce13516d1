//! The client proxies: one thread reads and one writes for each of their connections.
//!
//! A connection is one shared socket, so it takes one descriptor. Nothing here blocks the caller of
//! [`Clients`]: what is to be written waits in the connection's queue, which holds no more than the answers to
//! the requests that were let in.

pub mod thrift;

use super::messages::{Answer, ConnId, Input, SeqId};
use super::pool::{Buffer, Pool};
use crate::Settings;
use crossbeam_channel::{Receiver, Sender, unbounded};
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of a connection's threads: buffers are on the heap.
const STACK: usize = 64 * 1024;
/// Requests open on one connection; more wait unread.
const WINDOW: usize = 32;
/// A peer that takes nothing for so long is dead.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// Before accepting is tried again where descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// What is to be written to a connection.
enum Out {
    Answer(SeqId, Answer, Option<f64>),
    Draining,
}

/// Counts the requests of a connection whose answers aren't written yet, and holds back the reader of more.
/// Guards against a peer that asks on and on and never reads: its queue would have no bound.
#[derive(Default)]
struct Window {
    open: Mutex<(usize, bool)>,
    changed: Condvar,
}

impl Window {
    fn change<T>(&self, change: impl FnOnce(&mut (usize, bool)) -> T) -> T {
        let result = change(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_all();
        result
    }
    /// Waits for room; says whether the connection still stands.
    fn enter(&self) -> bool {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |state: &mut (usize, bool)| state.0 >= WINDOW && !state.1;
        let mut open = self.changed.wait_while(open, full).unwrap_or_else(PoisonError::into_inner);
        open.0 += 1;
        !open.1
    }
    fn leave(&self) {
        self.change(|state| state.0 = state.0.saturating_sub(1));
    }
    fn close(&self) {
        self.change(|state| state.1 = true);
    }
}

/// A socket that counts while any thread still has it.
struct Socket {
    stream: TcpStream,
    count: Arc<AtomicUsize>,
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Handle {
    out: Sender<Out>,
    window: Arc<Window>,
}

type Handles = Arc<Mutex<HashMap<ConnId, Handle>>>;

/// All that the threads share.
#[derive(Clone)]
struct Shared {
    handles: Handles,
    inputs: Sender<Input>,
    settings: Arc<Settings>,
    pool: Arc<Pool>,
    log: Logger,
}

/// The client connections, as the reducer's effects see them.
pub struct Clients {
    handles: Handles,
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
        let shared = Shared { handles: Arc::clone(&handles), inputs, settings, pool, log };
        let accepts = move || accept(&listener, most, &shared);
        thread::Builder::new().name("accept".into()).stack_size(STACK).spawn(accepts)?;
        Ok(Self { handles, local })
    }

    /// The address listened on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    fn with(&self, conn: ConnId, act: impl FnOnce(&Handle)) {
        if let Some(handle) = self.handles.lock().unwrap_or_else(PoisonError::into_inner).get(&conn) {
            act(handle);
        }
    }

    /// Queues an answer.
    pub fn answer(&self, conn: ConnId, seq: SeqId, answer: Answer, hint: Option<f64>) {
        // A failed send means that the writer has ended with its connection, and nobody waits.
        self.with(conn, |handle| drop(handle.out.send(Out::Answer(seq, answer, hint))));
    }

    /// Makes room for another request where no answer will be written.
    pub fn forget(&self, conn: ConnId) {
        self.with(conn, |handle| handle.window.leave());
    }

    /// Queues the request to send no more.
    pub fn draining(&self, conn: ConnId) {
        self.with(conn, |handle| drop(handle.out.send(Out::Draining)));
    }

    /// Closes a connection once its queue is written.
    pub fn close(&self, conn: ConnId) {
        let handle = self.handles.lock().unwrap_or_else(PoisonError::into_inner).remove(&conn);
        if let Some(handle) = handle {
            handle.window.close();
        }
    }
}

fn accept(listener: &TcpListener, most: usize, shared: &Shared) {
    let count = Arc::new(AtomicUsize::new(0));
    for conn in 1.. {
        while count.load(Ordering::Relaxed) >= most {
            thread::sleep(ACCEPT_PAUSE);
        }
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => {
                    warn!(shared.log, "accepting failed"; "error" => %e);
                    thread::sleep(ACCEPT_PAUSE);
                }
            }
        };
        count.fetch_add(1, Ordering::Relaxed);
        let socket = Arc::new(Socket { stream, count: Arc::clone(&count) });
        if let Err(e) = open(conn, &socket, shared) {
            warn!(shared.log, "a connection could not be served"; "conn" => conn, "error" => %e);
            shared.handles.lock().unwrap_or_else(PoisonError::into_inner).remove(&conn);
            let _ = socket.stream.shutdown(Shutdown::Both);
            let _ = shared.inputs.send(Input::Closed(conn));
        }
    }
}

fn open(conn: ConnId, socket: &Arc<Socket>, shared: &Shared) -> io::Result<()> {
    socket.stream.set_nodelay(true)?;
    socket.stream.set_write_timeout(Some(WRITE_PATIENCE))?;
    let (out, queue) = unbounded();
    let window = Arc::new(Window::default());
    let handle = Handle { out, window: Arc::clone(&window) };
    shared.handles.lock().unwrap_or_else(PoisonError::into_inner).insert(conn, handle);
    let _ = shared.inputs.send(Input::Opened(conn));
    let small = || thread::Builder::new().stack_size(STACK);
    let (writes, pool, log) = (Arc::clone(socket), Arc::clone(&shared.pool), shared.log.clone());
    let writer_window = Arc::clone(&window);
    small().name(format!("write-{conn}")).spawn(move || {
        if let Err(e) = write(&writes.stream, &queue, &writer_window, &pool) {
            info!(log, "writing to a client ended"; "conn" => conn, "error" => %e);
        }
        // The reader notices, and reports the end.
        let _ = writes.stream.shutdown(Shutdown::Both);
        writer_window.close();
    })?;
    let (reads, shared) = (Arc::clone(socket), shared.clone());
    small().name(format!("read-{conn}")).spawn(move || {
        if let Err(e) = read(conn, &reads.stream, &window, &shared) {
            info!(shared.log, "closing a client's connection"; "conn" => conn, "reason" => %e);
        }
        let _ = shared.inputs.send(Input::Closed(conn));
    })?;
    Ok(())
}

fn read(conn: ConnId, mut stream: &TcpStream, window: &Window, shared: &Shared) -> io::Result<()> {
    let bad = |e: thrift::Malformed| io::Error::new(io::ErrorKind::InvalidData, e.0);
    let mut buffer: Buffer = shared.pool.take();
    loop {
        let mut used = 0;
        while let Some(end) = thrift::frame(&buffer[used..]).map_err(bad)?.map(|len| used + len) {
            let Some(bytes) = buffer.get(used + 4..end) else { break };
            used = end;
            let input = match thrift::decode(bytes, &shared.settings, &shared.pool).map_err(bad)? {
                thrift::Message::Call(seq, call) => Input::Call(conn, seq, call),
                thrift::Message::Health(seq) => Input::Health(conn, seq),
                thrift::Message::Invalid(seq, why) => Input::Invalid(conn, seq, why),
                thrift::Message::Cancel(seq) => Input::Cancel(conn, seq),
                thrift::Message::Unknown => continue,
            };
            let answered = !matches!(input, Input::Cancel(..));
            if (answered && !window.enter()) || shared.inputs.send(input).is_err() {
                return Ok(());
            }
        }
        buffer.consume(used);
        match stream.read(buffer.space()) {
            Ok(0) if buffer.is_empty() => return Ok(()),
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(len) => buffer.filled(len),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

fn write(mut stream: &TcpStream, queue: &Receiver<Out>, window: &Window, pool: &Arc<Pool>) -> io::Result<()> {
    for out in queue {
        let answers = matches!(out, Out::Answer(..));
        let frame = match out {
            Out::Answer(seq, answer, hint) => thrift::encode(seq, &answer, hint, pool)
                .or_else(|| thrift::encode(seq, &Answer::Failed, hint, pool)),
            Out::Draining => thrift::draining(pool),
        };
        let frame = frame.ok_or_else(|| io::Error::other("an answer that fits no buffer"))?;
        stream.write_all(&frame)?;
        if answers {
            window.leave();
        }
    }
    Ok(())
}
