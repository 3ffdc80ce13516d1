//! Accepts connections and reads them all, each in its turn: bytes become frames, frames become inputs.

use super::pace::{Pace, Worth};
use super::{Conn, Cut, Cutter, Front, Listener, MOST_UNREAD, Patience, Shared, WRITE_PATIENCE};
use crate::outgoing::Standing;
use gradepin_core::messages::{ConnId, Input};
use gradepin_core::pool::Buffer;
use gradepin_decisions::Span;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use rustix::net::sockopt::{Timeout, set_socket_timeout};
use rustix::net::{RecvFlags, recv};
use slog::{info, warn};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Between looks at what is late, and the longest wait for sockets.
const TICK: Duration = Duration::from_millis(100);
/// Before accepting is tried again where there was no room, and reading where much is left unread.
const PAUSE: Duration = Duration::from_millis(5);
/// Sockets told of at a time.
const EVENTS: usize = 128;
/// Connections accepted from one listener before the next has its turn.
const AT_ONCE: usize = 16;
/// A front beside the first has this part of the places: one connection for each request uses many.
const BESIDE_PART: usize = 2;

/// A connection being read.
struct Reading {
    socket: Arc<Conn>,
    /// What came of frames that are not whole, or not passed on.
    buffer: Option<Buffer>,
    cutter: Box<dyn Cutter>,
    patience: Patience,
    /// Whether anything came, and whether nothing more will: its peer shut its half.
    begun: bool,
    shut: bool,
    /// Both halves are shut, as the system tells.
    gone: bool,
    /// Its peer's half is; the end is yet to be read.
    half_gone: bool,
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

/// A listener and what its connections are; its number among the sockets is its place.
struct Door {
    listener: Listener,
    front: Arc<dyn Front>,
    /// Connections that it may have, and has.
    most: usize,
    count: Arc<AtomicUsize>,
    /// Whether connections may wait to be accepted.
    accepts: bool,
    /// Whether it is still watched; not once accepting has stopped.
    open: bool,
}

pub struct Reader {
    epoll: OwnedFd,
    doors: Vec<Door>,
    most: usize,
    next: ConnId,
    shared: Shared,
    readings: HashMap<ConnId, Reading>,
    turns: VecDeque<ConnId>,
    /// Connections that have no turn until a time.
    paused: HashMap<ConnId, Instant>,
}

impl Reader {
    pub fn new(fronts: Vec<(Arc<dyn Front>, Listener)>, most: usize, shared: Shared) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let mut doors = Vec::new();
        for (front, listener) in fronts {
            listener.set_nonblocking()?;
            watch(&epoll, &listener, doors.len() as ConnId)?;
            let part = if doors.is_empty() { 1 } else { BESIDE_PART };
            let (most, count) = (most / part, Arc::default());
            doors.push(Door { listener, front, most, count, accepts: true, open: true });
        }
        let next = doors.len() as ConnId;
        let (readings, turns) = (HashMap::new(), VecDeque::new());
        Ok(Self { epoll, doors, most, next, shared, readings, turns, paused: HashMap::new() })
    }

    /// Reads until the server ends.
    pub fn run(&mut self) {
        let mut events = Vec::with_capacity(EVENTS);
        let mut next_tick = Instant::now();
        loop {
            let wait = if self.turns.is_empty() { TICK } else { Duration::ZERO };
            let wait = if self.doors.iter().any(|door| door.accepts) { wait.min(PAUSE) } else { wait };
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
                let (number, flags) = (event.data.u64(), event.flags);
                match self.doors.get_mut(number as usize) {
                    Some(door) => door.accepts = door.open,
                    None => self.wake(number, flags),
                }
            }
            self.accept();
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
    fn wake(&mut self, conn: ConnId, flags: epoll::EventFlags) {
        let Some(reading) = self.readings.get_mut(&conn) else { return };
        reading.gone |= flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        reading.half_gone |= flags.contains(epoll::EventFlags::RDHUP);
        if !reading.ready {
            reading.ready = true;
            self.turns.push_back(conn);
        }
    }

    /// Accepts what waits, as far as there is room, some of each listener in its turn.
    fn accept(&mut self) {
        if !self.shared.accepting.load(Ordering::SeqCst) {
            if self.doors.iter().any(|door| door.open) {
                for door in &mut self.doors {
                    // Guards against a wake for each connection that waits for another process from now on.
                    let _ = epoll::delete(&self.epoll, &door.listener);
                    (door.accepts, door.open) = (false, false);
                }
                // Behind every connection accepted so far, in the same queue.
                let _ = self.shared.inputs.send(Input::NotAccepting);
            }
            return;
        }
        loop {
            let mut more = false;
            for place in 0..self.doors.len() {
                more |= self.accept_some(place);
            }
            if !more {
                return;
            }
        }
    }

    /// Whether there may be more.
    fn accept_some(&mut self, place: usize) -> bool {
        for _ in 0..AT_ONCE {
            let all: usize = self.doors.iter().map(|door| door.count.load(Ordering::Relaxed)).sum();
            let door = &mut self.doors[place];
            if !door.accepts || all >= self.most || door.count.load(Ordering::Relaxed) >= door.most {
                return false;
            }
            match door.listener.accept() {
                Ok(stream) => {
                    let conn = self.next;
                    self.next += 1;
                    if let Err(e) = self.open(conn, place, stream) {
                        warn!(self.shared.log, "a connection could not be served"; "error" => %e);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    door.accepts = false;
                    return false;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    warn!(self.shared.log, "accepting failed"; "error" => %e);
                    return false;
                }
            }
        }
        true
    }

    fn open(&mut self, conn: ConnId, place: usize, stream: OwnedFd) -> io::Result<()> {
        set_socket_timeout(&stream, Timeout::Send, Some(WRITE_PATIENCE))?;
        watch(&self.epoll, &stream, conn)?;
        let door = &self.doors[place];
        let (cutter, patience) = (door.front.cutter(), door.front.patience());
        let socket = Arc::new(Conn::new(stream, Arc::clone(&door.front), &door.count));
        socket.waits.store(true, Ordering::SeqCst);
        self.shared.handles().insert(conn, Arc::clone(&socket));
        let _ = self.shared.inputs.send(Input::Opened(conn));
        let now = Instant::now();
        let (until, pace) = (Some(now + patience.first), Pace::new(now));
        let reading = Reading {
            socket,
            buffer: None,
            cutter,
            patience,
            begun: false,
            shut: false,
            gone: false,
            half_gone: false,
            until,
            pace,
            ready: true,
        };
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
            Turn::Pause(pause) => {
                self.paused.insert(conn, Instant::now() + pause);
                let pause = Span(u64::try_from(pause.as_nanos()).unwrap_or(u64::MAX));
                return self.shared.inputs.send(Input::Paced(conn, pause)).is_ok();
            }
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
            let _ = epoll::delete(&self.epoll, &reading.socket.out.stream);
            reading.socket.out.shut();
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
    let flags = epoll::EventFlags::IN | epoll::EventFlags::RDHUP | epoll::EventFlags::ET;
    Ok(epoll::add(epoll, socket, epoll::EventData::new_u64(number), flags)?)
}

impl Reading {
    /// Passes on the frames that are here, reads once, and passes on what came.
    fn turn(&mut self, conn: ConnId, shared: &Shared) -> io::Result<Turn> {
        // Before anything leaves the socket: from here on the connection doesn't rest.
        self.socket.waits.store(false, Ordering::SeqCst);
        let mut buffer = self.buffer.take().unwrap_or_else(|| shared.pool.take());
        if !buffer.is_empty()
            && let Some(turn) = self.pass_on(conn, &mut buffer, shared)?
        {
            self.buffer = Some(buffer);
            return Ok(turn);
        }
        if self.shut {
            // Its one request is answered yet, unless nobody is there to read it.
            let over = self.gone || matches!(self.socket.out.standing(), Standing::Ended);
            return Ok(if over { Turn::End(None) } else { Turn::Rest });
        }
        let room = buffer.space().len();
        match recv(&self.socket.out.stream, buffer.space(), RecvFlags::DONTWAIT) {
            Ok((0, _)) if !buffer.is_empty() || self.cutter.begun() => Err(ErrorKind::UnexpectedEof.into()),
            Ok((0, _)) if self.awaits_answer() => {
                self.shut = true;
                Ok(if self.gone { Turn::End(None) } else { Turn::Rest })
            }
            Ok((0, _)) => Ok(Turn::End(None)),
            Ok((len, _)) => {
                buffer.filled(len);
                if let Some(turn) = self.pass_on(conn, &mut buffer, shared)? {
                    self.buffer = Some(buffer);
                    return Ok(turn);
                }
                // A read that didn't fill its room has emptied the socket, and whatever comes later, its end too, is
                // told of anew (epoll(7), on edge-triggered stream sockets). Another read to hear that was an eighth of
                // the reader's CPU. An end already told of is not told again, and needs that read.
                if len < room && !self.gone && !self.half_gone {
                    Ok(self.rest(buffer))
                } else {
                    self.buffer = Some(buffer);
                    Ok(Turn::More)
                }
            }
            Err(Errno::INTR) => Ok(Turn::More),
            Err(Errno::WOULDBLOCK) => Ok(self.rest(buffer)),
            Err(e) => Err(e.into()),
        }
    }

    /// Nothing is left in the socket.
    fn rest(&mut self, buffer: Buffer) -> Turn {
        self.buffer = (!buffer.is_empty()).then_some(buffer);
        self.socket.waits.store(self.buffer.is_none() && !self.cutter.begun(), Ordering::SeqCst);
        Turn::Rest
    }

    /// Whether its one request was passed on, and nothing more is to come but the answer.
    fn awaits_answer(&self) -> bool {
        self.socket.front.once() && self.socket.passed.load(Ordering::SeqCst) > 0
    }

    /// Passes on the whole messages of a buffer; a turn that ends with them, if one does.
    fn pass_on(&mut self, conn: ConnId, buffer: &mut Buffer, shared: &Shared) -> io::Result<Option<Turn>> {
        let bad = |e: super::Malformed| io::Error::new(ErrorKind::InvalidData, e.0);
        let (mut used, mut whole, mut ends) = (0, false, None);
        while ends.is_none() && used < buffer.len() {
            match self.socket.out.standing() {
                Standing::Good(waiting) if waiting < MOST_UNREAD => {}
                Standing::Good(_) => return Ok(self.passed(buffer, used, whole, Some(Turn::Pause(PAUSE)))),
                Standing::Ended => return Ok(Some(Turn::End(None))),
            }
            let Some((len, cut)) = self.cutter.cut(&buffer[used..], &shared.pool).map_err(bad)? else {
                break;
            };
            used += len;
            let mut spent = 1;
            let input = match cut {
                Cut::Call(seq, call) => Some(Input::Call(conn, seq, call)),
                Cut::Health(seq) => Some(Input::Health(conn, seq)),
                Cut::Invalid(seq, misuse, why) => Some(Input::Invalid(conn, seq, misuse, why)),
                Cut::Cancel(seq) => Some(Input::Cancel(conn, seq)),
                Cut::Nothing => continue,
                Cut::Nonsense => {
                    spent += Worth::Nonsense.cost();
                    None
                }
            };
            whole = true;
            if let Some(input) = input {
                self.socket.passed.fetch_add(1, Ordering::SeqCst);
                if shared.inputs.send(input).is_err() {
                    return Ok(Some(Turn::End(None)));
                }
            }
            spent += self.socket.spent.swap(0, Ordering::Relaxed);
            ends = self.pace.spend(spent, Instant::now()).map(Turn::Pause);
        }
        Ok(self.passed(buffer, used, whole, ends))
    }

    /// So many bytes of the buffer were used, and whether a message ended among them.
    fn passed(&mut self, buffer: &mut Buffer, used: usize, whole: bool, turn: Option<Turn>) -> Option<Turn> {
        let came = !buffer.is_empty();
        buffer.consume(used);
        let (now, rest) = (Instant::now(), !buffer.is_empty() || self.cutter.begun());
        if came && !self.begun {
            self.begun = true;
            if self.patience.first_byte_only {
                self.until = Some(now + self.patience.whole);
            }
        }
        if whole {
            self.until = rest.then(|| now + self.patience.whole);
        } else if rest && self.until.is_none() {
            self.until = Some(now + self.patience.whole);
        }
        turn
    }
}
