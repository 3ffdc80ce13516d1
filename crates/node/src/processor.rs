//! The link to the processor: commands out and lines in, over one TCP connection that is reopened whenever it is lost.
//!
//! [`Processor`] is the main thread's handle; a separate thread connects, reads, and sends each line as an input.
//! Commands for a link that has ended are dropped: the reducer resolves open runs on the next link.

mod lines;
mod link;
mod notice_progress;

use crate::outgoing::FrameWriter;
use crossbeam_channel::{Receiver, Sender, bounded};
use gradepin_admission::{RequestId, Time};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::Input;
use lines::{Line, Lines};
use link::Link;
use notice_progress::{Greeting, NoticeProgress};
use rustix::io::Errno;
use slog::{Logger, info, warn};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 64 * 1024;
/// Pause between attempts to connect, and the shortest pause after a link ends.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(20);
const MAX_RECONNECT_PAUSE: Duration = Duration::from_secs(1);
/// A link that lasted at least this long doesn't lengthen the pause, even if it received no notice.
const STABLE_LINK_DURATION: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The link is closed if the processor reads nothing from a full socket for this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The address of the processor, and the current link if there is one.
struct Target {
    address: SocketAddr,
    link: Option<Link>,
}

/// The main thread's handle to the processor link.
pub struct Processor {
    target: Arc<Mutex<Target>>,
    pool: Arc<BufferPool>,
    /// A message ends the pause before the next attempt to connect.
    skip_pause: Sender<()>,
    /// Whether the next link asks for all notices that the processor still has.
    replay: Arc<AtomicBool>,
}

impl Processor {
    /// Starts the thread that maintains a link to `address` and sends received lines to `inputs`.
    pub fn connect(
        address: SocketAddr,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let target = Arc::new(Mutex::new(Target { address, link: None }));
        let replay = Arc::<AtomicBool>::default();
        let (skip_pause, pause_skips) = bounded(1);
        let mut link_thread = LinkThread {
            target: Arc::clone(&target),
            replay: Arc::clone(&replay),
            pause_skips,
            inputs,
            pool: Arc::clone(&pool),
            progress: NoticeProgress::new(),
            log,
        };
        thread::Builder::new()
            .name("processor".into())
            .stack_size(STACK_BYTES)
            .spawn(move || link_thread.run())?;
        Ok(Self { target, pool, skip_pause, replay })
    }

    /// Changes the address of the processor. The current link is closed immediately; open runs are resolved on the next
    /// one, as after any loss of the link.
    pub fn retarget(&self, address: SocketAddr) {
        let mut target = lock(&self.target);
        target.address = address;
        if let Some(link) = &target.link {
            link.out.shut();
        }
        // If the queue is full, a message that ends the pause is already queued.
        let _ = self.skip_pause.try_send(());
    }

    /// Calls `act` with the link of this number, if it is the current one.
    fn on_link(&self, number: u64, act: impl FnOnce(&mut Link)) {
        let mut target = lock(&self.target);
        if let Some(link) = target.link.as_mut().filter(|link| link.number == number) {
            act(link);
        }
    }

    /// Adds the command that starts a run; [`Processor::flush`] sends it.
    pub fn begin(&self, link: u64, id: &RequestId, class: &str, body: &[u8]) {
        let line = format!("begin {} {class} {}\r\n", id.0, body.len());
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes(), body, b"\r\n"]));
    }

    /// Adds the command that delivers the reply to a run's upstream call; [`Processor::flush`] sends it.
    pub fn answer(&self, link: u64, id: &RequestId, reply: &[u8]) {
        let line = format!("answer {} {}\r\n", id.0, reply.len());
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes(), reply, b"\r\n"]));
    }

    /// Adds the command that stops a run; [`Processor::flush`] sends it.
    pub fn interrupt(&self, link: u64, id: &RequestId) {
        let line = format!("interrupt {}\r\n", id.0);
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes()]));
    }

    /// Adds the request for the gauges, whose response has the same `number`; [`Processor::flush`] sends it.
    pub fn usage(&self, link: u64, number: u64) {
        let line = format!("usage {number}\r\n");
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes()]));
    }

    /// Sends the commands of this step of the reducer.
    pub fn flush(&self) {
        if let Some(link) = &mut lock(&self.target).link {
            link.flush();
        }
    }

    /// Closes the link; the next one asks for all notices that the processor still has.
    pub fn replay_notices(&self) {
        self.replay.store(true, Ordering::SeqCst);
        if let Some(link) = &lock(&self.target).link {
            link.out.shut();
        }
    }

    /// Closes the link of this number, if it is the current one; the thread then opens a new one.
    pub fn reconnect(&self, link: u64) {
        self.on_link(link, |link| link.out.shut());
    }
}

fn lock(target: &Mutex<Target>) -> MutexGuard<'_, Target> {
    target.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State of the thread that maintains the link.
struct LinkThread {
    target: Arc<Mutex<Target>>,
    replay: Arc<AtomicBool>,
    pause_skips: Receiver<()>,
    inputs: Sender<Input>,
    pool: Arc<BufferPool>,
    progress: NoticeProgress,
    log: Logger,
}

/// An open connection before its `hello`.
struct Connection {
    /// Number of the link that the connection becomes.
    link: u64,
    socket: TcpStream,
    address: SocketAddr,
    /// When the attempt to connect started.
    connecting: Time,
}

impl LinkThread {
    /// Connects, reads until the link ends, and repeats; returns when the queue of inputs is closed.
    fn run(&mut self) {
        let mut pause = MIN_RECONNECT_PAUSE;
        for number in 1.. {
            let connection = self.connect(number);
            let address = connection.address;
            let last_notice = self.progress.start_link(self.replay.swap(false, Ordering::SeqCst));
            let started = Instant::now();
            let ended = self.use_connection(connection, last_notice);
            let address_changed = self.remove_link(address);
            match ended {
                Err(e) => warn!(self.log, "lost the link to the processor"; "link" => number, "reason" => %e),
                Ok(()) => info!(self.log, "the processor closed the link; reconnecting"; "link" => number),
            }
            if self.inputs.send(Input::LinkDown).is_err() {
                return;
            }
            self.progress.end_link();
            let received_notices = self.progress.last_notice() != last_notice;
            pause = next_pause(pause, received_notices, started.elapsed());
            if !address_changed {
                let _ = self.pause_skips.recv_timeout(pause);
            }
        }
    }

    /// Retries until a connection is open.
    fn connect(&self, link: u64) -> Connection {
        loop {
            let (address, connecting) = (lock(&self.target).address, self.progress.now());
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(socket) => return Connection { link, socket, address, connecting },
                Err(_) => drop(self.pause_skips.recv_timeout(MIN_RECONNECT_PAUSE)),
            }
        }
    }

    /// Sends `hello`, makes the link available to the main thread, and reads until it ends; `Ok` if the processor
    /// closed it.
    fn use_connection(&mut self, connection: Connection, last_notice: u64) -> io::Result<()> {
        let Connection { link, socket, address, connecting } = connection;
        let out = send_hello(socket, last_notice, &self.pool)?;
        {
            let mut target = lock(&self.target);
            if target.address != address {
                return Err(io::Error::other("the configured address of the processor has changed"));
            }
            target.link = Some(Link::new(link, Arc::clone(&out)));
        }
        let ended = self.read(link, connecting, &out);
        out.shut();
        ended
    }

    /// Removes the current link; returns whether the address of the processor has changed since it was opened.
    fn remove_link(&self, address: SocketAddr) -> bool {
        let mut target = lock(&self.target);
        target.link = None;
        target.address != address
    }

    fn read(&mut self, link: u64, connecting: Time, out: &FrameWriter) -> io::Result<()> {
        let mut lines = Lines::new(&self.pool);
        loop {
            while let Some(line) = lines.next()? {
                if let Some(input) = self.input_of(line, link, connecting)? {
                    self.progress.record_activity();
                    self.send(input)?;
                }
            }
            match rustix::io::read(&out.stream, lines.space()?) {
                Ok(0) => return Ok(()),
                Ok(len) => lines.filled(len),
                Err(Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Converts a line to an input of the reducer; `None` for lines without one. An error ends the link.
    fn input_of(&mut self, line: Line, link: u64, connecting: Time) -> io::Result<Option<Input>> {
        let input = match line {
            Line::Hello { cold, age } => {
                let greeting = self.progress.greet(connecting, age);
                if greeting != Greeting::Known {
                    self.send(Input::ProcessorRestarted)?;
                }
                if greeting == Greeting::AnotherWithGap {
                    return Err(io::Error::other("the processor has restarted"));
                }
                Input::LinkUp { link, cold, age }
            }
            Line::Completed { notice, id, end, took, result } => {
                self.progress.record(notice);
                Input::RunCompleted { notice, id, end, took, result }
            }
            Line::UpstreamCall { notice, id, body } => {
                self.progress.record(notice);
                Input::UpstreamCallRequested { notice, id, body }
            }
            Line::Gauges { number, values } => Input::GaugesRead { number, values },
            Line::RunRejected { id } => Input::RunNotStarted(id),
            Line::Remark { notice } => {
                self.progress.record(notice);
                return Ok(None);
            }
            Line::Ignored => return Ok(None),
        };
        Ok(Some(input))
    }

    fn send(&self, input: Input) -> io::Result<()> {
        self.inputs.send(input).map_err(|_| io::Error::other("the server is shutting down"))
    }
}

/// The pause after a link ends. It doubles only after short links without notices, so that an invalid line that is
/// repeated on every link doesn't fill the log. A long link without notices was merely quiet.
fn next_pause(pause: Duration, received_notices: bool, lasted: Duration) -> Duration {
    if received_notices || lasted >= STABLE_LINK_DURATION {
        MIN_RECONNECT_PAUSE
    } else {
        (pause * 2).min(MAX_RECONNECT_PAUSE)
    }
}

fn send_hello(socket: TcpStream, last_notice: u64, pool: &Arc<BufferPool>) -> io::Result<Arc<FrameWriter>> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let out = Arc::new(FrameWriter::new(socket.into()));
    let mut hello = pool.take();
    hello.extend(format!("hello {last_notice}\r\n").as_bytes());
    out.send(hello);
    Ok(out)
}

#[cfg(test)]
mod tests;
