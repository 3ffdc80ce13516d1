//! The processor: lines over one link that is made again whenever it falls.

mod lines;

use crate::outgoing::Outgoing;
use crossbeam_channel::{Receiver, Sender, bounded};
use gradepin_admission::{RequestId, Span, Time};
use gradepin_core::buffer_pool::{BUFFER_BYTES, Buffer, BufferPool};
use gradepin_core::messages::Input;
use gradepin_core::processor_identity::ProcessorIdentity;
use lines::{Line, Lines};
use rustix::io::Errno;
use slog::{Logger, info, warn};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STACK: usize = 64 * 1024;
/// Between tries to connect; doubled with each link that brought nothing, up to a bound.
const RETRY: Duration = Duration::from_millis(20);
const MOST_RETRY: Duration = Duration::from_secs(1);
/// A link that lasted so long was no failure, whatever it brought.
const STOOD: Duration = Duration::from_millis(500);
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
const WRITE_PATIENCE: Duration = Duration::from_secs(5);

/// What is known of the processor across links.
struct Progress {
    /// The last notice that was read on this link or before, as its hello says.
    last_notice: u64,
    /// The last one that was read before all were to be told again; none while they are not.
    before_retelling: u64,
    known: ProcessorIdentity,
    /// Times are counted from here, and from [`ORIGIN`].
    began: Instant,
}

/// The time at which this process began. It leaves room before that for a processor that started long ago.
const ORIGIN: u64 = 1 << 62;

impl Progress {
    fn new() -> Self {
        let (known, began) = (ProcessorIdentity::default(), Instant::now());
        Self { last_notice: 0, before_retelling: 0, known, began }
    }

    fn now(&self) -> Time {
        Time(ORIGIN.saturating_add(u64::try_from(self.began.elapsed().as_nanos()).unwrap_or(u64::MAX)))
    }

    /// The number that the next link begins with.
    fn hello(&mut self, retell: bool) -> u64 {
        if retell {
            self.before_retelling = std::mem::take(&mut self.last_notice);
        }
        self.last_notice
    }

    /// A notice was read.
    fn read(&mut self, notice: u64) {
        self.last_notice = self.last_notice.max(notice);
    }

    /// A link has ended. Where the retelling was cut short, what was read before it has been read all the same.
    fn ended(&mut self) {
        let before = std::mem::take(&mut self.before_retelling);
        self.read(before);
    }

    /// A processor greets on a link that began to be made then; what is to be told of it.
    fn greeted(&mut self, connecting: Time, age: Span) -> Greeted {
        if !self.known.greets(connecting, self.now(), age) {
            return Greeted::Known;
        }
        self.before_retelling = 0;
        if std::mem::take(&mut self.last_notice) == 0 { Greeted::Another } else { Greeted::AnotherUnread }
    }
}

/// Who greets on a link.
#[derive(Debug, PartialEq, Eq)]
enum Greeted {
    /// The processor that told the notices so far, or the first.
    Known,
    /// Another one, which tells all its notices on this link.
    Another,
    /// Another one, which was greeted with a number of the one before: it leaves notices out on this link.
    AnotherUnread,
}

/// The link in use: its number, its socket, and the commands of this step.
struct Link {
    number: u64,
    out: Arc<Outgoing>,
    batch: Option<Buffer>,
}

impl Link {
    /// Adds a command to what leaves with the step. Commands of one step share a write: a write and a wake of a
    /// writing thread for each took a quarter of the server's CPU.
    ///
    /// What is longer than a buffer takes several, which leave one behind the other. Guards against a link that is ended
    /// over such a command: it would be sent again on each link after that, and end all of them.
    fn command(&mut self, pool: &Arc<BufferPool>, parts: &[&[u8]]) {
        let len: usize = parts.iter().map(|part| part.len()).sum();
        if self.batch.as_ref().is_some_and(|batch| batch.len() + len > BUFFER_BYTES) {
            self.flush();
        }
        for part in parts {
            let mut left = *part;
            while !left.is_empty() {
                let batch = self.batch.get_or_insert_with(|| pool.take());
                let (now, later) = left.split_at(left.len().min(BUFFER_BYTES - batch.len()));
                batch.extend(now);
                left = later;
                if !left.is_empty() {
                    self.flush();
                }
            }
        }
    }

    fn flush(&mut self) {
        if let Some(batch) = self.batch.take() {
            self.out.send(batch);
        }
    }
}

/// Where the processor is, and the link to it while one stands.
struct Target {
    address: SocketAddr,
    link: Option<Link>,
}

/// The link to the processor, as the reducer's effects see it.
pub struct Processor {
    target: Arc<Mutex<Target>>,
    pool: Arc<BufferPool>,
    /// Ends a pause before the next try to connect.
    hurry: Sender<()>,
    /// Set where the next link is to begin with the first notice that is kept.
    retell: Arc<AtomicBool>,
}

impl Processor {
    /// Keeps a link to the address from now on, and sends what comes in as inputs.
    pub fn connect(
        address: SocketAddr,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let target = Arc::new(Mutex::new(Target { address, link: None }));
        let (hurry, hurries) = bounded(1);
        let (shared, buffers) = (Arc::clone(&target), Arc::clone(&pool));
        let retell = Arc::<AtomicBool>::default();
        let again = Arc::clone(&retell);
        let keeps = move || keep(&shared, &again, &hurries, &inputs, &buffers, &log);
        thread::Builder::new().name("processor".into()).stack_size(STACK).spawn(keeps)?;
        Ok(Self { target, pool, hurry, retell })
    }

    /// Keeps the link to another address from now on. The old one ends at once: what was under way on it is
    /// settled on the new one, as after any break.
    pub fn retarget(&self, address: SocketAddr) {
        let mut target = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        target.address = address;
        if let Some(link) = &target.link {
            link.out.shut();
        }
        // A full queue means that the pause ends already.
        let _ = self.hurry.try_send(());
    }

    /// What was meant for an earlier link is dropped: the reducer settles it on the new one.
    fn on(&self, number: u64, act: impl FnOnce(&mut Link)) {
        let mut target = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = target.link.as_mut().filter(|link| link.number == number) {
            act(link);
        }
    }

    /// The command to run a request; it leaves with the next [`Processor::flush`].
    pub fn begin(&self, link: u64, id: &RequestId, class: &str, body: &[u8]) {
        let line = format!("begin {} {class} {}\r\n", id.0, body.len());
        self.on(link, |link| link.command(&self.pool, &[line.as_bytes(), body, b"\r\n"]));
    }

    /// The reply to the call that a run waits for; it leaves with the next [`Processor::flush`].
    pub fn answer(&self, link: u64, id: &RequestId, reply: &[u8]) {
        let line = format!("answer {} {}\r\n", id.0, reply.len());
        self.on(link, |link| link.command(&self.pool, &[line.as_bytes(), reply, b"\r\n"]));
    }

    /// The command to stop a run; it leaves with the next [`Processor::flush`].
    pub fn interrupt(&self, link: u64, id: &RequestId) {
        let line = format!("interrupt {}\r\n", id.0);
        self.on(link, |link| link.command(&self.pool, &[line.as_bytes()]));
    }

    /// The question for the gauges; it leaves with the next [`Processor::flush`].
    pub fn usage(&self, link: u64, tag: u64) {
        let line = format!("usage {tag}\r\n");
        self.on(link, |link| link.command(&self.pool, &[line.as_bytes()]));
    }

    /// Sends the commands of this step.
    pub fn flush(&self) {
        let mut target = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = &mut target.link {
            link.flush();
        }
    }

    /// Has all notices that the processor keeps told again, on a new link.
    pub fn replay_notices(&self) {
        self.retell.store(true, Ordering::SeqCst);
        let target = self.target.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = &target.link {
            link.out.shut();
        }
    }

    /// Ends a link; a new one follows.
    pub fn reconnect(&self, link: u64) {
        self.on(link, |link| link.out.shut());
    }
}

/// Connects, reads until the link falls, and again.
fn keep(
    target: &Mutex<Target>,
    retell: &AtomicBool,
    hurries: &Receiver<()>,
    inputs: &Sender<Input>,
    pool: &Arc<BufferPool>,
    log: &Logger,
) {
    let mut progress = Progress::new();
    let mut pause = RETRY;
    for number in 1.. {
        let locked = || target.lock().unwrap_or_else(PoisonError::into_inner);
        let (socket, address, connecting) = loop {
            let (address, connecting) = (locked().address, progress.now());
            match TcpStream::connect_timeout(&address, CONNECT_PATIENCE) {
                Ok(socket) => break (socket, address, connecting),
                Err(_) => drop(hurries.recv_timeout(RETRY)),
            }
        };
        let (before, since) = (progress.hello(retell.swap(false, Ordering::SeqCst)), Instant::now());
        let ended = start(socket, before, pool).and_then(|out| {
            let mut target = locked();
            if target.address != address {
                return Err(io::Error::other("the processor has another address by now"));
            }
            target.link = Some(Link { number, out: Arc::clone(&out), batch: None });
            drop(target);
            let ended = read(&Made { number, connecting }, &out, &mut progress, inputs, pool);
            out.shut();
            ended
        });
        let moved = {
            let mut target = locked();
            target.link = None;
            target.address != address
        };
        match ended {
            Err(e) => warn!(log, "the link to the processor fell"; "link" => number, "reason" => %e),
            Ok(()) => info!(log, "the processor closed the link"; "link" => number),
        }
        if inputs.send(Input::LinkDown).is_err() {
            return;
        }
        progress.ended();
        pause = next_pause(pause, progress.last_notice != before, since.elapsed());
        if !moved {
            let _ = hurries.recv_timeout(pause);
        }
    }
}

/// The pause after a link. It grows against a bad line that comes again on each: that would fill the log. A link
/// that stood for long is no such sign, though it was quiet.
fn next_pause(pause: Duration, brought: bool, stood: Duration) -> Duration {
    if brought || stood >= STOOD { RETRY } else { (pause * 2).min(MOST_RETRY) }
}

fn tell(inputs: &Sender<Input>, input: Input) -> io::Result<()> {
    inputs.send(input).map_err(|_| io::Error::other("the server has ended"))
}

/// Says hello.
fn start(socket: TcpStream, last_notice: u64, pool: &Arc<BufferPool>) -> io::Result<Arc<Outgoing>> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_PATIENCE))?;
    let out = Arc::new(Outgoing::new(socket.into()));
    let mut hello = pool.take();
    hello.extend(format!("hello {last_notice}\r\n").as_bytes());
    out.send(hello);
    Ok(out)
}

/// A link that stands: its number, and when it began to be made.
struct Made {
    number: u64,
    connecting: Time,
}

fn read(
    made: &Made,
    out: &Outgoing,
    progress: &mut Progress,
    inputs: &Sender<Input>,
    pool: &Arc<BufferPool>,
) -> io::Result<()> {
    let mut lines = Lines::new(pool);
    loop {
        while let Some(line) = lines.next()? {
            let input = match line {
                Line::Hi(cold, age) => {
                    let greeted = progress.greeted(made.connecting, age);
                    if greeted != Greeted::Known {
                        tell(inputs, Input::ProcessorRestarted)?;
                    }
                    if greeted == Greeted::AnotherUnread {
                        return Err(io::Error::other("the processor has restarted"));
                    }
                    Input::LinkUp { link: made.number, cold, age }
                }
                Line::Complete(notice, id, end, took, result) => {
                    progress.read(notice);
                    Input::RunCompleted { notice, id, end, took, result }
                }
                Line::Ask(notice, id, body) => {
                    progress.read(notice);
                    Input::UpstreamCallRequested { notice, id, body }
                }
                Line::Used(tag, values) => Input::GaugesRead { number: tag, values },
                Line::Reject(id) => Input::RunNotStarted(id),
                Line::Remark(notice) => {
                    progress.read(notice);
                    continue;
                }
                Line::Nothing => continue,
            };
            progress.known.told(progress.now());
            tell(inputs, input)?;
        }
        match rustix::io::read(&out.stream, lines.space()?) {
            Ok(0) => return Ok(()),
            Ok(len) => lines.filled(len),
            Err(Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
    }
}

#[cfg(test)]
mod tests;
