//! The link to the processor: commands out, lines in, over one TCP connection that is made again whenever it is lost.
//!
//! [`Processor`] is the main thread's handle; a thread of its own connects, reads, and sends each line as an input. Commands
//! for a link that has ended are dropped: the reducer settles on the next link what was under way on the one before.

mod lines;
mod link;
mod notice_progress;

use crate::outgoing::Outgoing;
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
/// The pause between attempts to connect, and after a link.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(20);
const MAX_RECONNECT_PAUSE: Duration = Duration::from_secs(1);
/// A link that lasted so long does not lengthen the pause, though it brought no notice.
const STABLE_LINK_DURATION: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the processor may take nothing from a full socket before the link is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Where the processor is, and the link to it while there is one.
struct Target {
    address: SocketAddr,
    link: Option<Link>,
}

/// The link to the processor, as the main thread uses it.
pub struct Processor {
    target: Arc<Mutex<Target>>,
    pool: Arc<BufferPool>,
    /// Ends the pause before the next attempt to connect.
    skip_pause: Sender<()>,
    /// Whether the next link is to ask for all notices that the processor keeps.
    replay: Arc<AtomicBool>,
}

impl Processor {
    /// Starts the thread, which keeps a link to `address` and sends what the processor says to `inputs`.
    pub fn connect(
        address: SocketAddr,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let target = Arc::new(Mutex::new(Target { address, link: None }));
        let replay = Arc::<AtomicBool>::default();
        let (skip_pause, pause_skips) = bounded(1);
        let mut keeper = LinkKeeper {
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
            .spawn(move || keeper.run())?;
        Ok(Self { target, pool, skip_pause, replay })
    }

    /// Keeps the link to another address from now on. The old link is closed at once; what was under way on it is
    /// settled on the new one, as after any loss.
    pub fn retarget(&self, address: SocketAddr) {
        let mut target = lock(&self.target);
        target.address = address;
        if let Some(link) = &target.link {
            link.out.shut();
        }
        // Full: the pause ends already.
        let _ = self.skip_pause.try_send(());
    }

    /// Acts on the link of this number, if it is the one in use.
    fn on_link(&self, number: u64, act: impl FnOnce(&mut Link)) {
        let mut target = lock(&self.target);
        if let Some(link) = target.link.as_mut().filter(|link| link.number == number) {
            act(link);
        }
    }

    /// The command to run a request; it leaves with the next [`Processor::flush`].
    pub fn begin(&self, link: u64, id: &RequestId, class: &str, body: &[u8]) {
        let line = format!("begin {} {class} {}\r\n", id.0, body.len());
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes(), body, b"\r\n"]));
    }

    /// The reply to the upstream call that a run waits for; it leaves with the next [`Processor::flush`].
    pub fn answer(&self, link: u64, id: &RequestId, reply: &[u8]) {
        let line = format!("answer {} {}\r\n", id.0, reply.len());
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes(), reply, b"\r\n"]));
    }

    /// The command to stop a run; it leaves with the next [`Processor::flush`].
    pub fn interrupt(&self, link: u64, id: &RequestId) {
        let line = format!("interrupt {}\r\n", id.0);
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes()]));
    }

    /// The request for the gauges, whose answer carries `number`; it leaves with the next [`Processor::flush`].
    pub fn usage(&self, link: u64, number: u64) {
        let line = format!("usage {number}\r\n");
        self.on_link(link, |link| link.command(&self.pool, &[line.as_bytes()]));
    }

    /// Sends the commands of this step.
    pub fn flush(&self) {
        if let Some(link) = &mut lock(&self.target).link {
            link.flush();
        }
    }

    /// Closes the link; the next one asks for all notices that the processor keeps.
    pub fn replay_notices(&self) {
        self.replay.store(true, Ordering::SeqCst);
        if let Some(link) = &lock(&self.target).link {
            link.out.shut();
        }
    }

    /// Closes the link of this number; a new one follows.
    pub fn reconnect(&self, link: u64) {
        self.on_link(link, |link| link.out.shut());
    }
}

fn lock(target: &Mutex<Target>) -> MutexGuard<'_, Target> {
    target.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The state of the thread.
struct LinkKeeper {
    target: Arc<Mutex<Target>>,
    replay: Arc<AtomicBool>,
    pause_skips: Receiver<()>,
    inputs: Sender<Input>,
    pool: Arc<BufferPool>,
    progress: NoticeProgress,
    log: Logger,
}

/// A connection that was made, before the `hello`.
struct Connection {
    /// The number that its link is to have.
    link: u64,
    socket: TcpStream,
    address: SocketAddr,
    /// When the attempt to connect began.
    connecting: Time,
}

impl LinkKeeper {
    /// Connects, reads until the link ends, and starts again; returns once the queue of inputs is closed.
    fn run(&mut self) {
        let mut pause = MIN_RECONNECT_PAUSE;
        for number in 1.. {
            let connection = self.connect(number);
            let address = connection.address;
            let last_notice = self.progress.start_link(self.replay.swap(false, Ordering::SeqCst));
            let started = Instant::now();
            let ended = self.use_connection(connection, last_notice);
            let has_moved = self.remove_link(address);
            match ended {
                Err(e) => warn!(self.log, "lost the link to the processor"; "link" => number, "reason" => %e),
                Ok(()) => info!(self.log, "the processor closed the link"; "link" => number),
            }
            if self.inputs.send(Input::LinkDown).is_err() {
                return;
            }
            self.progress.end_link();
            let brought_notices = self.progress.last_notice() != last_notice;
            pause = next_pause(pause, brought_notices, started.elapsed());
            if !has_moved {
                let _ = self.pause_skips.recv_timeout(pause);
            }
        }
    }

    /// Tries until a connection is made.
    fn connect(&self, link: u64) -> Connection {
        loop {
            let (address, connecting) = (lock(&self.target).address, self.progress.now());
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(socket) => return Connection { link, socket, address, connecting },
                Err(_) => drop(self.pause_skips.recv_timeout(MIN_RECONNECT_PAUSE)),
            }
        }
    }

    /// Says hello, has the link used by the main thread, and reads until it ends: Ok where the processor closed it.
    fn use_connection(&mut self, connection: Connection, last_notice: u64) -> io::Result<()> {
        let Connection { link, socket, address, connecting } = connection;
        let out = say_hello(socket, last_notice, &self.pool)?;
        {
            let mut target = lock(&self.target);
            if target.address != address {
                return Err(io::Error::other("the processor's address has changed"));
            }
            target.link = Some(Link::new(link, Arc::clone(&out)));
        }
        let ended = self.read(link, connecting, &out);
        out.shut();
        ended
    }

    /// Takes the link out of use; whether the processor's address has changed meanwhile.
    fn remove_link(&self, address: SocketAddr) -> bool {
        let mut target = lock(&self.target);
        target.link = None;
        target.address != address
    }

    fn read(&mut self, link: u64, connecting: Time, out: &Outgoing) -> io::Result<()> {
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

    /// What a line means to the reducer; None where nothing follows from it. An error ends the link.
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
        self.inputs.send(input).map_err(|_| io::Error::other("the server has ended"))
    }
}

/// The pause after a link. It doubles only after links that were short and brought no notice: an invalid line that comes
/// again on each link would fill the log. A link that lasted is no such sign, though it was quiet.
fn next_pause(pause: Duration, brought_notices: bool, lasted: Duration) -> Duration {
    if brought_notices || lasted >= STABLE_LINK_DURATION {
        MIN_RECONNECT_PAUSE
    } else {
        (pause * 2).min(MAX_RECONNECT_PAUSE)
    }
}

fn say_hello(socket: TcpStream, last_notice: u64, pool: &Arc<BufferPool>) -> io::Result<Arc<Outgoing>> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let out = Arc::new(Outgoing::new(socket.into()));
    let mut hello = pool.take();
    hello.extend(format!("hello {last_notice}\r\n").as_bytes());
    out.send(hello);
    Ok(out)
}

#[cfg(test)]
mod tests;
