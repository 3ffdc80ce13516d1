//! Accepts connections and reads them all, each in its turn: bytes become frames, frames become inputs.

use super::pace::{Pace, Worth};
use super::{Conn, Shared, Standing, WRITE_PATIENCE, thrift};
use gradepin_core::messages::{ConnId, Input};
use gradepin_core::pool::Buffer;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use slog::{info, warn};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// From the accept to the first whole frame. Guards against connections that hold their places and say nothing.
const FIRST_PATIENCE: Duration = Duration::from_secs(2);
/// From the first byte of any later frame to its last.
const FRAME_PATIENCE: Duration = Duration::from_secs(5);
/// Between looks at what is late, and the longest wait for sockets.
const TICK: Duration = Duration::from_millis(100);
/// Before accepting is tried again where there was no room, and reading where much is left unread.
const PAUSE: Duration = Duration::from_millis(5);
/// Sockets told of at a time.
const EVENTS: usize = 128;
/// The number of the listener among them; connections have others.
const LISTENER: ConnId = 0;

/// A connection being read.
struct Reading {
    socket: Arc<Conn>,
    /// What came of frames that are not whole, or not passed on.
    buffer: Option<Buffer>,
    /// When the frame begun, or the first one, must be whole; none between later frames.
    until: Option<Instant>,
    pace: Pace,
    /// Whether its turn is to come: there may be something to read.
    ready: bool,
}

/// What a turn ended with.
enum Turn {
    /// Nothing is left to read.
    Rest,
    /// There may be more.
    More,
    Pause(Duration),
    End(Option<io::Error>),
}

pub struct Reader {
    epoll: OwnedFd,
    listener: TcpListener,
    most: usize,
    count: Arc<AtomicUsize>,
    /// Whether connections may wait to be accepted.
    accepts: bool,
    next: ConnId,
    shared: Shared,
    readings: HashMap<ConnId, Reading>,
    turns: VecDeque<ConnId>,
    /// Connections that have no turn until a time.
    paused: HashMap<ConnId, Instant>,
}

impl Reader {
    pub fn new(listener: TcpListener, most: usize, shared: Shared) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        watch(&epoll, &listener, LISTENER)?;
        let (count, readings, turns) = (Arc::default(), HashMap::new(), VecDeque::new());
        Ok(Self {
            epoll,
            listener,
            most,
            count,
            accepts: true,
            next: LISTENER + 1,
            shared,
            readings,
            turns,
            paused: HashMap::new(),
        })
    }

    /// Reads until the server ends.
    pub fn run(&mut self) {
        let mut events = Vec::with_capacity(EVENTS);
        let mut next_tick = Instant::now();
        loop {
            let wait = if self.turns.is_empty() { TICK } else { Duration::ZERO };
            let wait = if self.accepts { wait.min(PAUSE) } else { wait };
            let paused = self.paused.values().min();
            let wait = paused.map_or(wait, |at| wait.min(at.saturating_duration_since(Instant::now())));
            events.clear();
            let wait = Timespec { tv_sec: 0, tv_nsec: i64::from(wait.subsec_nanos()) };
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&wait)) {
                Ok(_) | Err(Errno::INTR) => {}
                Err(e) => {
                    // Nothing is known to cause this; without a pause it would take the core.
                    warn!(self.shared.log, "waiting for sockets failed"; "error" => %e);
                    std::thread::sleep(TICK);
                }
            }
            for event in &events {
                match event.data.u64() {
                    LISTENER => self.accepts = true,
                    conn => self.wake(conn),
                }
            }
            if self.accepts {
                self.accept();
            }
            let now = Instant::now();
            let turns = &mut self.turns;
            self.paused.retain(|&conn, until| {
                let over = *until <= now;
                if over {
                    turns.push_back(conn);
                }
                !over
            });
            // One turn each, so that none who sends at full speed keeps the others waiting.
            for _ in 0..self.turns.len() {
                if let Some(conn) = self.turns.pop_front()
                    && !self.turn(conn)
                {
                    return;
                }
            }
            if now >= next_tick {
                next_tick = now + TICK;
                self.end_late(now);
            }
        }
    }

    /// There is something to read on a connection, or it has ended.
    fn wake(&mut self, conn: ConnId) {
        if let Some(reading) = self.readings.get_mut(&conn).filter(|reading| !reading.ready) {
            reading.ready = true;
            self.turns.push_back(conn);
        }
    }

    /// Accepts what waits, as far as there is room.
    fn accept(&mut self) {
        while self.count.load(Ordering::Relaxed) < self.most {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let conn = self.next;
                    self.next += 1;
                    if let Err(e) = self.open(conn, stream) {
                        warn!(self.shared.log, "a connection could not be served"; "error" => %e);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.accepts = false;
                    return;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    warn!(self.shared.log, "accepting failed"; "error" => %e);
                    return;
                }
            }
        }
    }

    fn open(&mut self, conn: ConnId, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_PATIENCE))?;
        watch(&self.epoll, &stream, conn)?;
        let socket = Arc::new(Conn::new(stream, &self.count));
        socket.waits.store(true, Ordering::SeqCst);
        self.shared.handles().insert(conn, Arc::clone(&socket));
        let _ = self.shared.inputs.send(Input::Opened(conn));
        let now = Instant::now();
        let (until, pace) = (Some(now + FIRST_PATIENCE), Pace::new(now));
        let reading = Reading { socket, buffer: None, until, pace, ready: true };
        self.readings.insert(conn, reading);
        self.turns.push_back(conn);
        Ok(())
    }

    /// One turn of a connection; says whether the server still listens.
    fn turn(&mut self, conn: ConnId) -> bool {
        let Some(reading) = self.readings.get_mut(&conn) else { return true };
        let turn = reading.turn(conn, &self.shared).unwrap_or_else(|e| Turn::End(Some(e)));
        match turn {
            Turn::Rest => reading.ready = false,
            Turn::More => self.turns.push_back(conn),
            Turn::Pause(pause) => drop(self.paused.insert(conn, Instant::now() + pause)),
            Turn::End(reason) => return self.end(conn, reason),
        }
        true
    }

    fn end(&mut self, conn: ConnId, reason: Option<io::Error>) -> bool {
        if let Some(reason) = reason {
            info!(self.shared.log, "closing a client's connection"; "conn" => conn, "reason" => %reason);
        }
        if let Some(reading) = self.readings.remove(&conn) {
            // It may be written to for a moment yet, and must wake nobody then.
            let _ = epoll::delete(&self.epoll, &reading.socket.stream);
            reading.socket.shut(&mut reading.socket.sending());
        }
        self.shared.inputs.send(Input::Closed(conn)).is_ok()
    }

    /// Ends what should have sent a whole frame by now. What has a turn to come is not late: its bytes are here.
    fn end_late(&mut self, now: Instant) {
        let late = |reading: &Reading| !reading.ready && reading.until.is_some_and(|until| until <= now);
        let late: Vec<ConnId> =
            self.readings.iter().filter(|(_, reading)| late(reading)).map(|(&conn, _)| conn).collect();
        for conn in late {
            self.end(conn, Some(io::Error::other("no whole frame in its time")));
        }
    }
}

/// Has a socket told of whenever something more comes.
fn watch(epoll: &OwnedFd, socket: impl std::os::fd::AsFd, number: ConnId) -> io::Result<()> {
    let flags = epoll::EventFlags::IN | epoll::EventFlags::ET;
    Ok(epoll::add(epoll, socket, epoll::EventData::new_u64(number), flags)?)
}

impl Reading {
    /// Passes on the frames that are here, then reads once.
    fn turn(&mut self, conn: ConnId, shared: &Shared) -> io::Result<Turn> {
        // Before anything leaves the socket: from here on the connection doesn't rest.
        self.socket.waits.store(false, Ordering::SeqCst);
        let mut buffer = self.buffer.take().unwrap_or_else(|| shared.pool.take());
        if let Some(turn) = self.pass_on(conn, &mut buffer, shared)? {
            self.buffer = Some(buffer);
            return Ok(turn);
        }
        match recv(&self.socket.stream, buffer.space(), RecvFlags::DONTWAIT) {
            Ok((0, _)) if buffer.is_empty() => Ok(Turn::End(None)),
            Ok((0, _)) => Err(ErrorKind::UnexpectedEof.into()),
            Ok((len, _)) => {
                buffer.filled(len);
                self.buffer = Some(buffer);
                Ok(Turn::More)
            }
            Err(Errno::INTR) => Ok(Turn::More),
            Err(Errno::WOULDBLOCK) => {
                self.buffer = (!buffer.is_empty()).then_some(buffer);
                self.socket.waits.store(self.buffer.is_none(), Ordering::SeqCst);
                Ok(Turn::Rest)
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Passes on the whole frames of a buffer; a turn that ends with them, if one does.
    fn pass_on(&mut self, conn: ConnId, buffer: &mut Buffer, shared: &Shared) -> io::Result<Option<Turn>> {
        let bad = |e: thrift::Malformed| io::Error::new(ErrorKind::InvalidData, e.0);
        let (mut used, mut ends) = (0, None);
        while ends.is_none()
            && let Some(end) = thrift::frame(&buffer[used..]).map_err(bad)?.map(|len| used + len)
            && let Some(bytes) = buffer.get(used + 4..end)
        {
            match self.socket.standing() {
                Standing::Good => {}
                Standing::Unread => return Ok(self.passed(buffer, used, Some(Turn::Pause(PAUSE)))),
                Standing::Ended => return Ok(Some(Turn::End(None))),
            }
            used = end;
            let mut spent = 1;
            let input = match thrift::decode(bytes, &shared.settings, &shared.pool).map_err(bad)? {
                thrift::Message::Call(seq, call) => Some(Input::Call(conn, seq, call)),
                thrift::Message::Health(seq) => Some(Input::Health(conn, seq)),
                thrift::Message::Invalid(seq, why) => Some(Input::Invalid(conn, seq, why)),
                thrift::Message::Cancel(seq) => Some(Input::Cancel(conn, seq)),
                thrift::Message::Unknown => {
                    spent += Worth::Nonsense.cost();
                    None
                }
            };
            if let Some(input) = input {
                self.socket.passed.fetch_add(1, Ordering::SeqCst);
                if shared.inputs.send(input).is_err() {
                    return Ok(Some(Turn::End(None)));
                }
            }
            spent += self.socket.spent.swap(0, Ordering::Relaxed);
            ends = self.pace.spend(spent, Instant::now()).map(Turn::Pause);
        }
        Ok(self.passed(buffer, used, ends))
    }

    /// So many bytes of the buffer were passed on.
    fn passed(&mut self, buffer: &mut Buffer, used: usize, turn: Option<Turn>) -> Option<Turn> {
        buffer.consume(used);
        if buffer.is_empty() {
            self.until = self.until.filter(|_| used == 0);
        } else if used > 0 || self.until.is_none() {
            self.until = Some(Instant::now() + FRAME_PATIENCE);
        }
        turn
    }
}
