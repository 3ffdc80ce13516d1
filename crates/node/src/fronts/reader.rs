//! Accepts connections and reads them all, each in its turn: bytes become frames, frames become inputs.

use super::conn::Stage;
use super::pace::{Pace, Worth};
use super::{Conn, Cut, Cutter, Front, Listener, MOST_UNREAD, Patience, Shared};
use gradepin_core::config::SPARE_PLACES;
use gradepin_core::messages::{ConnId, Input};
use gradepin_core::pool::Buffer;
use gradepin_decisions::Span;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
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
/// Before accepting is tried again where there was no room.
const PAUSE: Duration = Duration::from_millis(5);
/// Before it is tried again where the system had no descriptor or no memory for it.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(50);
/// Sockets told of at a time.
const EVENTS: usize = 128;
/// Connections accepted from one listener before the next has its turn.
const AT_ONCE: usize = 16;
/// What is read and thrown away of a peer whose bytes are no messages, or whose connection is being closed. More stays
/// unread, and then holds its sender back.
const MOST_DISCARDED: usize = 256 * 1024;
/// Of it in one turn.
const DISCARDED_AT_ONCE: usize = 8;
/// How long a connection in a spare place may take for its one message.
const SPARE_PATIENCE: Duration = Duration::from_millis(250);
/// A front beside the first has this part of the places: one connection for each request uses many.
const BESIDE_PART: usize = 2;

/// What becomes of the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Intake {
    /// They are cut into messages, and these are passed on.
    Open,
    /// They are thrown away: what came before made no sense, or came too late. What is owed is answered yet.
    Discarded,
    /// There are none any more: the peer has shut its half. What is owed is answered yet.
    Ended,
}

/// A connection being read.
struct Reading {
    socket: Arc<Conn>,
    /// What came of frames that are not whole, or not passed on.
    buffer: Option<Buffer>,
    cutter: Box<dyn Cutter>,
    patience: Patience,
    intake: Intake,
    /// Whether anything came.
    begun: bool,
    /// Both halves are shut, as the system tells.
    gone: bool,
    /// Its peer's half is; the end is yet to be read.
    half_gone: bool,
    /// When the frame begun, or the first one, must be whole; none between later frames.
    until: Option<Instant>,
    pace: Pace,
    /// Whether its turn is to come: there may be something to read.
    ready: bool,
    /// Whether that waits until its peer has read some of its answers.
    held: bool,
    discarded: usize,
}

/// What a turn ended with.
enum Turn {
    /// Nothing is left to read.
    Rest,
    /// There may be more.
    More,
    /// It has sent too much of what is turned away.
    Pause(Duration),
    /// Its peer leaves too many answers unread.
    Held,
    /// Nothing more of it is passed on; what is owed is answered yet. Why, if the peer did wrong.
    Ended(Option<String>),
    /// It can't be used any more.
    Gone(Option<io::Error>),
}

/// A listener and what its connections are; its number among the sockets is its place.
struct Door {
    /// None once accepting has stopped.
    listener: Option<Listener>,
    front: Arc<dyn Front>,
    /// Connections that it may have, and has.
    most: usize,
    count: Arc<AtomicUsize>,
    /// Whether connections may wait to be accepted.
    accepts: bool,
    /// Until when accepting pauses, where the system has no room for it.
    pauses: Option<Instant>,
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
            let listener = Some(listener);
            doors.push(Door { listener, front, most, count, accepts: true, pauses: None });
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
                    Some(door) => door.accepts = door.listener.is_some(),
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

    /// There is something to read on a connection, or room to write, or it has ended.
    fn wake(&mut self, conn: ConnId, flags: epoll::EventFlags) {
        let Some(reading) = self.readings.get_mut(&conn) else { return };
        let gone = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        reading.gone |= gone;
        reading.half_gone |= flags.contains(epoll::EventFlags::RDHUP);
        if flags.contains(epoll::EventFlags::OUT) {
            let waits = reading.socket.flush();
            if reading.held && waits < MOST_UNREAD {
                // What it sent meanwhile waited for its own peer, not for this server.
                let _ = self.shared.inputs.send(Input::Paced(conn, Span(0)));
                reading.held = false;
                self.turns.push_back(conn);
            }
        }
        if gone && std::mem::take(&mut reading.held) {
            self.turns.push_back(conn);
        }
        let reads = epoll::EventFlags::IN | epoll::EventFlags::RDHUP;
        if !reading.ready && (gone || flags.intersects(reads)) {
            reading.ready = true;
            self.turns.push_back(conn);
        }
    }

    /// Accepts what waits, as far as there is room, some of each listener in its turn.
    fn accept(&mut self) {
        if !self.shared.accepting.load(Ordering::SeqCst) {
            if self.doors.iter().any(|door| door.listener.is_some()) {
                self.stop_accepting();
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

    /// What waits for a listener that is ours alone was taken by the system for this process, and is accepted yet.
    fn stop_accepting(&mut self) {
        for place in 0..self.doors.len() {
            let door = &mut self.doors[place];
            if let Some(Listener::Tcp(_) | Listener::Unix(..)) = door.listener {
                (door.accepts, door.pauses) = (true, None);
                while self.accept_some(place) {}
            }
            let door = &mut self.doors[place];
            door.accepts = false;
            if let Some(listener) = door.listener.take() {
                // Guards against a wake for each connection that waits for another process from now on.
                let _ = epoll::delete(&self.epoll, &listener);
            }
        }
        // Behind every connection accepted so far, in the same queue.
        let _ = self.shared.inputs.send(Input::NotAccepting);
    }

    /// Whether there may be more.
    fn accept_some(&mut self, place: usize) -> bool {
        let now = Instant::now();
        if self.doors[place].pauses.is_some_and(|until| now < until) {
            return false;
        }
        for _ in 0..AT_ONCE {
            let all: usize = self.doors.iter().map(|door| door.count.load(Ordering::Relaxed)).sum();
            let door = &mut self.doors[place];
            if !door.accepts {
                return false;
            }
            // Health checks come to the first front.
            let (full, spare) = (all >= self.most, if place == 0 { SPARE_PLACES } else { 0 });
            let most = door.most + spare;
            if (full && all >= self.most + spare) || door.count.load(Ordering::Relaxed) >= most {
                // Whoever may wait comes before a peer that only has yet to end its half.
                return self.end_lingering();
            }
            let Some(listener) = &door.listener else { return false };
            match listener.accept() {
                Ok(stream) => {
                    door.pauses = None;
                    let conn = self.next;
                    self.next += 1;
                    // The same; where none lingers, the newcomer has a spare place.
                    let spare = full && !self.end_lingering();
                    if let Err(e) = self.open(conn, place, stream, spare) {
                        warn!(self.shared.log, "a connection could not be served"; "error" => %e);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    door.accepts = false;
                    return false;
                }
                // It was reset before it was accepted: that is its peer's affair.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // No descriptor, or no memory. Whoever waits is accepted once there is room again.
                    if door.pauses.is_none() {
                        warn!(self.shared.log, "accepting failed, and is tried again"; "error" => %e);
                    }
                    door.pauses = Some(now + SHORTAGE_PAUSE);
                    return false;
                }
            }
        }
        true
    }

    fn open(&mut self, conn: ConnId, place: usize, stream: OwnedFd, spare: bool) -> io::Result<()> {
        watch(&self.epoll, &stream, conn)?;
        let door = &self.doors[place];
        let (cutter, patience) = (door.front.cutter(), door.front.patience());
        let socket = Arc::new(Conn::new(stream, Arc::clone(&door.front), &door.count));
        self.shared.handles().insert(conn, Arc::clone(&socket));
        let _ = self.shared.inputs.send(Input::Opened(conn));
        let now = Instant::now();
        let first = if spare { SPARE_PATIENCE } else { patience.first };
        let (until, pace) = (Some(now + first), Pace::new(now));
        let reading = Reading {
            socket,
            buffer: None,
            cutter,
            patience,
            intake: Intake::Open,
            begun: false,
            gone: false,
            half_gone: false,
            until,
            pace,
            ready: true,
            held: false,
            discarded: 0,
        };
        self.readings.insert(conn, reading);
        self.turns.push_back(conn);
        Ok(())
    }

    /// One turn of a connection; says whether the server still listens.
    fn turn(&mut self, conn: ConnId) -> bool {
        let Some(reading) = self.readings.get_mut(&conn) else { return true };
        match reading.turn(conn, &self.shared).unwrap_or_else(|e| Turn::Gone(Some(e))) {
            Turn::Rest => reading.ready = false,
            Turn::More => self.turns.push_back(conn),
            Turn::Held => reading.held = true,
            Turn::Pause(pause) => {
                self.paused.insert(conn, Instant::now() + pause);
                let pause = Span(u64::try_from(pause.as_nanos()).unwrap_or(u64::MAX));
                return self.shared.inputs.send(Input::Paced(conn, pause)).is_ok();
            }
            Turn::Ended(wrong) => {
                // Another turn reads what is left, or the end.
                self.turns.push_back(conn);
                return self.ended(conn, wrong);
            }
            Turn::Gone(reason) => return self.gone(conn, reason),
        }
        true
    }

    /// Nothing more of a connection is passed on. The reducer hears of it behind all that was, and closes the
    /// connection once what is owed on it is answered.
    fn ended(&mut self, conn: ConnId, wrong: Option<String>) -> bool {
        let Some(reading) = self.readings.get_mut(&conn) else { return true };
        (reading.until, reading.buffer) = (None, None);
        reading.intake = if wrong.is_some() { Intake::Discarded } else { Intake::Ended };
        if let Some(wrong) = wrong {
            info!(self.shared.log, "a client's connection can't go on"; "conn" => conn, "reason" => %wrong);
            // One that never said anything is told nothing either.
            let told = reading.begun.then(|| reading.socket.front.malformed(&wrong, &self.shared.pool));
            told.flatten().into_iter().for_each(|frame| reading.socket.send(frame));
        }
        self.shared.inputs.send(Input::Ended(conn)).is_ok()
    }

    /// A connection is over.
    fn gone(&mut self, conn: ConnId, reason: Option<io::Error>) -> bool {
        if let Some(reason) = reason {
            info!(self.shared.log, "closing a client's connection"; "conn" => conn, "reason" => %reason);
        }
        if let Some(mut reading) = self.readings.remove(&conn) {
            // What the system has of it by now is no reason to reset it.
            let _ = reading.discard(&self.shared);
            let _ = epoll::delete(&self.epoll, &reading.socket.socket);
            reading.socket.end();
            self.shared.handles().remove(&conn);
        }
        self.shared.inputs.send(Input::Closed(conn)).is_ok()
    }

    /// Ends what should have sent a whole frame by now, what takes nothing of its answers, and what doesn't end its half.
    /// What has a turn to come is not late with a frame: its bytes are here.
    fn end_late(&mut self, now: Instant) {
        let late = |reading: &Reading| !reading.ready && reading.until.is_some_and(|until| until <= now);
        let (mut ended, mut gone) = (Vec::new(), Vec::new());
        for (&conn, reading) in &self.readings {
            let both = reading.intake == Intake::Ended && reading.socket.lingers_since().is_some();
            if both || reading.socket.is_overdue(now) {
                gone.push(conn);
            } else if reading.intake == Intake::Open && late(reading) {
                ended.push(conn);
            }
        }
        for conn in gone {
            self.gone(conn, None);
        }
        for conn in ended {
            self.ended(conn, Some("no whole frame in its time".into()));
        }
    }

    /// Ends the connection that has lingered longest, if one does.
    fn end_lingering(&mut self) -> bool {
        let since = |(&conn, reading): (&ConnId, &Reading)| Some((reading.socket.lingers_since()?, conn));
        let Some((_, conn)) = self.readings.iter().filter_map(since).min() else { return false };
        self.gone(conn, None)
    }
}

/// Has a socket told of whenever something more comes, or there is room again to write.
fn watch(epoll: &OwnedFd, socket: impl std::os::fd::AsFd, number: ConnId) -> io::Result<()> {
    use epoll::EventFlags;
    let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
    Ok(epoll::add(epoll, socket, epoll::EventData::new_u64(number), flags)?)
}

impl Reading {
    /// Passes on the frames that are here, reads once, and passes on what came.
    fn turn(&mut self, conn: ConnId, shared: &Shared) -> io::Result<Turn> {
        match self.socket.turn() {
            Stage::Dead => return Ok(Turn::Gone(None)),
            Stage::Open if self.intake == Intake::Open => {}
            // What comes after the last message can only be thrown away.
            _ => return self.discard(shared),
        }
        let mut buffer = self.buffer.take().unwrap_or_else(|| shared.pool.take());
        if !buffer.is_empty()
            && let Some(turn) = self.pass_on(conn, &mut buffer, shared)
        {
            self.buffer = Some(buffer);
            return Ok(turn);
        }
        let room = buffer.space().len();
        match recv(&self.socket.socket, buffer.space(), RecvFlags::DONTWAIT) {
            // Half a frame that nothing follows is no message: what was whole before it is owed all the same.
            Ok((0, _)) => Ok(Turn::Ended(None)),
            Ok((len, _)) => {
                buffer.filled(len);
                if let Some(turn) = self.pass_on(conn, &mut buffer, shared) {
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
            Err(Errno::INTR) => {
                self.buffer = Some(buffer);
                Ok(Turn::More)
            }
            Err(Errno::WOULDBLOCK) => Ok(self.rest(buffer)),
            Err(e) => Err(e.into()),
        }
    }

    /// Nothing is left in the socket.
    fn rest(&mut self, buffer: Buffer) -> Turn {
        self.buffer = (!buffer.is_empty()).then_some(buffer);
        if self.buffer.is_none() && !self.cutter.begun() {
            self.socket.rest();
        }
        Turn::Rest
    }

    /// Reads and throws away, up to the peer's end.
    fn discard(&mut self, shared: &Shared) -> io::Result<Turn> {
        self.buffer = None;
        let mut buffer = shared.pool.take();
        for _ in 0..DISCARDED_AT_ONCE {
            if self.intake == Intake::Ended || self.discarded >= MOST_DISCARDED {
                break;
            }
            match recv(&self.socket.socket, buffer.space(), RecvFlags::DONTWAIT) {
                Ok((0, _)) => self.intake = Intake::Ended,
                Ok((len, _)) => self.discarded += len,
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK) => return Ok(if self.gone { Turn::Gone(None) } else { Turn::Rest }),
                Err(e) => return Err(e.into()),
            }
        }
        let ended = self.intake == Intake::Ended;
        if self.gone || (ended && self.socket.lingers_since().is_some()) {
            return Ok(Turn::Gone(None));
        }
        // A peer that goes on past the bound is left waiting, until all is written and its time is up.
        Ok(if ended || self.discarded >= MOST_DISCARDED { Turn::Rest } else { Turn::More })
    }

    /// Passes on the whole messages of a buffer; a turn that ends with them, if one does.
    fn pass_on(&mut self, conn: ConnId, buffer: &mut Buffer, shared: &Shared) -> Option<Turn> {
        let (mut used, mut whole, mut ends) = (0, false, None);
        while ends.is_none() && used < buffer.len() {
            if self.socket.unread() >= MOST_UNREAD {
                return self.passed(buffer, used, whole, Some(Turn::Held));
            }
            let (len, cut) = match self.cutter.cut(&buffer[used..], &shared.pool) {
                Ok(Some(cut)) => cut,
                Ok(None) => break,
                Err(wrong) => return Some(Turn::Ended(Some(wrong.0.into()))),
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
                // In the instant of a close it is thrown away, and its sender sees the end instead of an answer.
                if !self.socket.pass() {
                    return Some(Turn::More);
                }
                if shared.inputs.send(input).is_err() {
                    return Some(Turn::Gone(None));
                }
            }
            spent += self.socket.spent.swap(0, Ordering::Relaxed);
            ends = self.pace.spend(spent, Instant::now()).map(Turn::Pause);
        }
        self.passed(buffer, used, whole, ends)
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

#[cfg(test)]
mod tests;
