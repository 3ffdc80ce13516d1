//! Accepts connections and gives each its turn to be read, and ends those that are late.
//! Not here: what a turn does ([`super::reading`]).

use super::pace::Pace;
use super::reading::{Intake, Reading, Turn};
use super::{Conn, Listener, MOST_UNREAD, Protocol, Shared};
use gradepin_admission::Span;
use gradepin_core::config::RESERVED_CONNECTIONS;
use gradepin_core::messages::{ConnectionId, Input};
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use slog::{info, warn};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Between looks at what is late, and the longest wait for sockets.
const TICK: Duration = Duration::from_millis(100);
/// Between looks for newcomers of whom no event told.
const LOOK: Duration = Duration::from_secs(1);
/// Before accepting is tried again where there was no room.
const PAUSE: Duration = Duration::from_millis(5);
/// Before it is tried again where the system had no descriptor or no memory for it.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(50);
/// Sockets told of at a time.
const EVENTS: usize = 128;
/// Connections accepted from one listener before the next has its turn.
const AT_ONCE: usize = 16;
/// What a peer is told that began a message and didn't end it in its time.
const TOO_LATE: &str = "no whole frame in its time";
/// How long a connection in a spare place may take for its one message.
const SPARE_PATIENCE: Duration = Duration::from_millis(250);
/// A front beside the first has this part of the places: one connection for each request uses many.
const BESIDE_PART: usize = 2;

/// A listener and what its connections are; its number among the sockets is its place.
struct Door {
    /// None once accepting has stopped.
    listener: Option<Listener>,
    front: Arc<dyn Protocol>,
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
    next: ConnectionId,
    shared: Shared,
    readings: HashMap<ConnectionId, Reading>,
    turns: VecDeque<ConnectionId>,
    /// Connections that have no turn until a time.
    paused: HashMap<ConnectionId, Instant>,
    next_look: Instant,
}

impl Reader {
    pub fn new(fronts: Vec<(Arc<dyn Protocol>, Listener)>, most: usize, shared: Shared) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let mut doors = Vec::new();
        for (front, listener) in fronts {
            listener.set_nonblocking()?;
            watch(&epoll, &listener, doors.len() as ConnectionId)?;
            let part = if doors.is_empty() { 1 } else { BESIDE_PART };
            let (most, count) = (most / part, Arc::default());
            let listener = Some(listener);
            doors.push(Door { listener, front, most, count, accepts: true, pauses: None });
        }
        let next = doors.len() as ConnectionId;
        let (readings, turns, paused) = (HashMap::new(), VecDeque::new(), HashMap::new());
        Ok(Self { epoll, doors, most, next, shared, readings, turns, paused, next_look: Instant::now() })
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
                self.tick(now);
            }
        }
    }

    /// There is something to read on a connection, or room to write, or it has ended.
    fn wake(&mut self, conn: ConnectionId, flags: epoll::EventFlags) {
        let Some(reading) = self.readings.get_mut(&conn) else { return };
        let gone = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        reading.gone |= gone;
        if flags.contains(epoll::EventFlags::OUT) {
            self.write_on(conn);
        }
        let Some(reading) = self.readings.get_mut(&conn) else { return };
        if gone && std::mem::take(&mut reading.held) {
            self.turns.push_back(conn);
        }
        let reads = epoll::EventFlags::IN | epoll::EventFlags::RDHUP;
        if !reading.ready && (gone || flags.intersects(reads)) {
            reading.ready = true;
            self.turns.push_back(conn);
        }
    }

    /// Writes what waits on a connection, which is read on once little waits.
    fn write_on(&mut self, conn: ConnectionId) {
        let Some(reading) = self.readings.get_mut(&conn) else { return };
        let waits = reading.socket.flush();
        if reading.held && waits < MOST_UNREAD {
            // What it sent meanwhile waited for its own peer, not for this server.
            let _ =
                self.shared.inputs.send(Input::ConnectionThrottled { connection: conn, duration: Span(0) });
            reading.held = false;
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
        let _ = self.shared.inputs.send(Input::StoppedAccepting);
    }

    /// Whether there may be more.
    fn accept_some(&mut self, place: usize) -> bool {
        let now = Instant::now();
        if self.doors[place].pauses.is_some_and(|until| now < until) {
            return false;
        }
        for _ in 0..AT_ONCE {
            let all = self.connections();
            let door = &mut self.doors[place];
            if !door.accepts {
                return false;
            }
            // Health checks come to the first front.
            let (full, spare) = (all >= self.most, if place == 0 { RESERVED_CONNECTIONS } else { 0 });
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
                    // The same; where too few linger, the newcomer has a spare place.
                    let spare = full && !self.frees_place();
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

    fn open(&mut self, conn: ConnectionId, place: usize, stream: OwnedFd, spare: bool) -> io::Result<()> {
        watch(&self.epoll, &stream, conn)?;
        let door = &self.doors[place];
        let (cutter, patience) = (door.front.cutter(), door.front.patience());
        let socket = Arc::new(Conn::new(stream, Arc::clone(&door.front), &door.count));
        self.shared.handles().insert(conn, Arc::clone(&socket));
        let _ = self.shared.inputs.send(Input::ConnectionOpened(conn));
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
            until,
            late: false,
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
    fn turn(&mut self, conn: ConnectionId) -> bool {
        let Some(reading) = self.readings.get_mut(&conn) else { return true };
        match reading.turn(conn, &self.shared).unwrap_or_else(|e| Turn::Gone(Some(e))) {
            Turn::Rest => reading.ready = false,
            Turn::More => self.turns.push_back(conn),
            Turn::Held => reading.held = true,
            Turn::Pause(pause) => {
                self.paused.insert(conn, Instant::now() + pause);
                let pause = Span(u64::try_from(pause.as_nanos()).unwrap_or(u64::MAX));
                return self
                    .shared
                    .inputs
                    .send(Input::ConnectionThrottled { connection: conn, duration: pause })
                    .is_ok();
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
    fn ended(&mut self, conn: ConnectionId, wrong: Option<String>) -> bool {
        let Some(reading) = self.readings.get_mut(&conn) else { return true };
        (reading.until, reading.buffer) = (None, None);
        reading.intake = if wrong.is_some() { Intake::Discarded } else { Intake::Ended };
        if let Some(wrong) = wrong {
            info!(self.shared.log, "a client's connection can't go on"; "conn" => conn, "reason" => %wrong);
            // One that never said anything is told nothing either.
            let told = reading.begun.then(|| reading.socket.front.malformed(&wrong, &self.shared.pool));
            told.flatten().into_iter().for_each(|frame| reading.socket.send(frame));
        }
        self.shared.inputs.send(Input::ConnectionHalfClosed(conn)).is_ok()
    }

    /// A connection said no whole message in its time. What comes yet is read on: it is closed in an instant in which
    /// nothing is unread, so that no request is read and thrown away.
    fn late(&mut self, conn: ConnectionId) {
        let Some(reading) = self.readings.get_mut(&conn) else { return };
        if !reading.socket.is_drained() {
            // It came after the last look at the sockets, and is read next.
            reading.ready = true;
            return self.turns.push_back(conn);
        }
        reading.late = true;
        info!(self.shared.log, "a client's connection can't go on"; "conn" => conn, "reason" => TOO_LATE);
        // One that began no message is told nothing either.
        let told = reading.in_message().then(|| reading.socket.front.malformed(TOO_LATE, &self.shared.pool));
        told.flatten().into_iter().for_each(|frame| reading.socket.send(frame));
        let _ = self.shared.inputs.send(Input::ConnectionLate(conn));
    }

    /// A connection is over.
    fn gone(&mut self, conn: ConnectionId, reason: Option<io::Error>) -> bool {
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
        self.shared.inputs.send(Input::ConnectionClosed(conn)).is_ok()
    }

    /// Looks for newcomers, tries denied writes again, ends what takes nothing of its answers and what doesn't end its
    /// half, and tells what should have sent a whole frame by now: it is closed if nothing is owed to it and unread on it.
    /// What has a turn to come is not late with a frame: its bytes are here.
    fn tick(&mut self, now: Instant) {
        if now >= self.next_look {
            self.next_look = now + LOOK;
            // Whoever waits though accepting ended with nobody waiting, as it may where a call is broken off, is told of
            // by no event.
            self.doors.iter_mut().for_each(|door| door.accepts = door.listener.is_some());
        }
        // A write that was denied for want of memory, and not of room, is followed by no event.
        let stalled = self.readings.iter().filter(|(_, reading)| reading.socket.is_stalled());
        for conn in stalled.map(|(&conn, _)| conn).collect::<Vec<_>>() {
            self.write_on(conn);
        }
        let (mut late, mut gone) = (Vec::new(), Vec::new());
        for (&conn, reading) in &self.readings {
            let both = reading.intake == Intake::Ended && reading.socket.lingers_since().is_some();
            if both || reading.socket.is_overdue(now) {
                gone.push(conn);
            } else if reading.is_late(now) {
                late.push(conn);
            }
        }
        for conn in gone {
            self.gone(conn, None);
        }
        for conn in late {
            self.late(conn);
        }
    }

    /// Connections that stand.
    fn connections(&self) -> usize {
        self.doors.iter().map(|door| door.count.load(Ordering::Relaxed)).sum()
    }

    /// Ends lingering connections until there is a place that is no spare one; whether there is. Guards against newcomers
    /// who are turned away for as long as many come, since each leaves one more that lingers than it ends.
    fn frees_place(&mut self) -> bool {
        while self.connections() >= self.most {
            if !self.end_lingering() {
                return false;
            }
        }
        true
    }

    /// Ends the connection that has lingered longest, if one does.
    fn end_lingering(&mut self) -> bool {
        let since =
            |(&conn, reading): (&ConnectionId, &Reading)| Some((reading.socket.lingers_since()?, conn));
        let Some((_, conn)) = self.readings.iter().filter_map(since).min() else { return false };
        self.gone(conn, None)
    }
}

/// Has a socket told of whenever something more comes, or there is room again to write.
fn watch(epoll: &OwnedFd, socket: impl std::os::fd::AsFd, number: ConnectionId) -> io::Result<()> {
    use epoll::EventFlags;
    let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
    Ok(epoll::add(epoll, socket, epoll::EventData::new_u64(number), flags)?)
}

#[cfg(test)]
mod tests;
