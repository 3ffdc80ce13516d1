//! The reading thread: waits for events of all sockets, accepts connections, reads them in a fair order, and closes
//! those that time out.
//!
//! Inputs are the events of epoll, outputs the inputs of the reducer. Every scheduled connection is read once in each
//! round, a bounded amount, so that a client at full speed doesn't keep the others waiting. What one read does is in
//! [`super::connection_reader`], which listeners accept in [`super::acceptor`].

use super::acceptor::{Accepted, Acceptor};
use super::connection::MAX_UNSENT_FRAMES;
use super::connection_reader::{ConnectionReader, ReadOutcome};
use super::listener::Listener;
use super::protocol::Protocol;
use super::shared::Shared;
use gradepin_admission::Span;
use gradepin_core::messages::{ConnectionId, Input};
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;
use slog::{info, warn};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Between checks of the timeouts, and the longest wait for events.
const TICK: Duration = Duration::from_millis(100);
/// Between attempts to accept connections for which no event came.
const ACCEPT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Before accepting is retried where no slot was free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Events taken from the system at once.
const MAX_EVENTS: usize = 128;
/// Connections accepted from one listener before the next one is served.
const MAX_ACCEPTS_PER_LISTENER: usize = 16;
/// Sent to a peer that didn't complete its message in time, and logged.
const MESSAGE_TIMEOUT_TEXT: &str = "no whole frame in its time";
/// How long a connection in a reserved slot may take for its one message.
const RESERVED_SLOT_TIMEOUT: Duration = Duration::from_millis(250);

/// The state of the reading thread.
pub(super) struct EventLoop {
    epoll: OwnedFd,
    acceptor: Acceptor,
    /// Ids of connections follow the indexes of the listeners: both are keys of events.
    next_id: ConnectionId,
    shared: Shared,
    readers: HashMap<ConnectionId, ConnectionReader>,
    /// Connections to be read, in order.
    scheduled: VecDeque<ConnectionId>,
    /// Connections that are not read until a time, as their tokens are spent.
    throttled: HashMap<ConnectionId, Instant>,
    next_accept_probe: Instant,
}

impl EventLoop {
    /// For these front ends, with at most `max_connections` together and `RESERVED_CONNECTIONS` more on the first.
    ///
    /// # Errors
    /// If epoll can't be set up for the listeners.
    pub(super) fn new(
        frontends: Vec<(Arc<dyn Protocol>, Listener)>,
        max_connections: usize,
        shared: Shared,
    ) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let acceptor = Acceptor::new(frontends, max_connections)?;
        for (index, listener) in acceptor.listeners() {
            watch(&epoll, listener, index as u64)?;
        }
        Ok(Self {
            epoll,
            next_id: acceptor.len() as ConnectionId,
            acceptor,
            shared,
            readers: HashMap::new(),
            scheduled: VecDeque::new(),
            throttled: HashMap::new(),
            next_accept_probe: Instant::now(),
        })
    }

    /// Runs until the reducer takes no more inputs.
    pub(super) fn run(&mut self) {
        let mut events = Vec::with_capacity(MAX_EVENTS);
        let mut next_tick = Instant::now();
        loop {
            self.wait_for_events(&mut events);
            for event in &events {
                self.handle_event(event.data.u64(), event.flags);
            }
            self.accept();
            let now = Instant::now();
            self.resume_throttled(now);
            if !self.read_scheduled() {
                return;
            }
            if now >= next_tick {
                next_tick = now + TICK;
                self.tick(now);
            }
        }
    }

    /// Waits until there is an event or something else to do.
    fn wait_for_events(&self, events: &mut Vec<epoll::Event>) {
        let timeout = self.wait_timeout();
        let timeout = Timespec { tv_sec: 0, tv_nsec: i64::from(timeout.subsec_nanos()) };
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => {
                // No cause is known; without a pause a persistent error would take the core.
                warn!(self.shared.log, "waiting for sockets failed"; "error" => %e);
                std::thread::sleep(TICK);
            }
        }
    }

    /// How long to wait for events: under a second.
    fn wait_timeout(&self) -> Duration {
        let mut timeout = if self.scheduled.is_empty() { TICK } else { Duration::ZERO };
        if self.acceptor.may_have_queued() {
            timeout = timeout.min(ACCEPT_RETRY_INTERVAL);
        }
        match self.throttled.values().min() {
            Some(until) => timeout.min(until.saturating_duration_since(Instant::now())),
            None => timeout,
        }
    }

    fn handle_event(&mut self, key: u64, flags: epoll::EventFlags) {
        if !self.acceptor.set_ready(key as usize) {
            self.handle_connection_event(key, flags);
        }
    }

    /// A connection is readable, writable or has ended.
    fn handle_connection_event(&mut self, id: ConnectionId, flags: epoll::EventFlags) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        let hung_up = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        if hung_up {
            reader.set_hung_up();
        }
        if flags.contains(epoll::EventFlags::OUT) {
            self.flush(id);
        }
        let Some(reader) = self.readers.get_mut(&id) else { return };
        if hung_up && std::mem::take(&mut reader.is_write_blocked) {
            self.scheduled.push_back(id);
        }
        let readable = flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::RDHUP);
        if !reader.is_scheduled && (hung_up || readable) {
            reader.is_scheduled = true;
            self.scheduled.push_back(id);
        }
    }

    /// Writes queued frames of a connection, and reads it again once few are left.
    fn flush(&mut self, id: ConnectionId) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        let unsent_frames = reader.connection.flush();
        if reader.is_write_blocked && unsent_frames < MAX_UNSENT_FRAMES {
            // Requests sent meanwhile waited for their own client, not for this server: the reducer must not count that
            // time as theirs.
            let _ = self.shared.inputs.send(Input::ConnectionThrottled { connection: id, duration: Span(0) });
            reader.is_write_blocked = false;
            self.scheduled.push_back(id);
        }
    }

    /// Schedules the connections whose throttling ended.
    fn resume_throttled(&mut self, now: Instant) {
        let scheduled = &mut self.scheduled;
        self.throttled.retain(|&id, until| {
            let is_over = *until <= now;
            if is_over {
                scheduled.push_back(id);
            }
            !is_over
        });
    }

    /// Reads each scheduled connection once; returns false once the reducer takes no more inputs.
    fn read_scheduled(&mut self) -> bool {
        for _ in 0..self.scheduled.len() {
            if let Some(id) = self.scheduled.pop_front()
                && !self.read(id)
            {
                return false;
            }
        }
        true
    }

    /// Accepts queued connections while slots are free, some of each listener in turn.
    fn accept(&mut self) {
        if !self.shared.accepting.load(Ordering::SeqCst) {
            if self.acceptor.is_accepting() {
                self.stop_accepting();
            }
            return;
        }
        loop {
            let mut may_have_more = false;
            for index in 0..self.acceptor.len() {
                may_have_more |= self.accept_batch(index);
            }
            if !may_have_more {
                return;
            }
        }
    }

    /// Closes the listeners. Connections queued on a listener that is this process's alone are accepted first: the close
    /// would reset them.
    fn stop_accepting(&mut self) {
        for index in 0..self.acceptor.len() {
            if self.acceptor.must_empty_queue(index) {
                while self.accept_batch(index) {}
            }
            if let Some(listener) = self.acceptor.take_listener(index) {
                // Guards against an event for each connection that another process accepts from now on.
                let _ = epoll::delete(&self.epoll, &listener);
            }
        }
        // Follows every accepted connection in the same queue.
        let _ = self.shared.inputs.send(Input::StoppedAccepting);
    }

    /// Accepts some connections of a listener; returns whether there may be more.
    fn accept_batch(&mut self, index: usize) -> bool {
        let now = Instant::now();
        if self.acceptor.is_paused(index, now) {
            return false;
        }
        for _ in 0..MAX_ACCEPTS_PER_LISTENER {
            match self.acceptor.accept(index, now) {
                Accepted::Connection { stream, slots_full } => {
                    let id = self.next_id;
                    self.next_id += 1;
                    let uses_reserved_slot = slots_full && !self.free_slot();
                    if let Err(e) = self.open(id, index, stream, uses_reserved_slot) {
                        warn!(self.shared.log, "a connection could not be served"; "error" => %e);
                    }
                }
                Accepted::Interrupted => {}
                Accepted::NoneQueued => return false,
                // A lingering connection is only waiting for its peer to end its half: it gives up its slot.
                Accepted::NoSlot => return self.close_longest_lingering(),
                Accepted::Shortage { error } => {
                    if let Some(error) = error {
                        warn!(self.shared.log, "accepting failed, and is tried again"; "error" => %error);
                    }
                    return false;
                }
            }
        }
        true
    }

    fn open(
        &mut self,
        id: ConnectionId,
        index: usize,
        stream: OwnedFd,
        uses_reserved_slot: bool,
    ) -> io::Result<()> {
        watch(&self.epoll, &stream, id)?;
        let connection = Arc::new(self.acceptor.connection(index, stream));
        // Made before the reducer is notified, which may block: the connection keeps the settings of its accept.
        let decoder = connection.protocol.decoder();
        self.shared.connections().insert(id, Arc::clone(&connection));
        let _ = self.shared.inputs.send(Input::ConnectionOpened(id));
        let first_timeout = uses_reserved_slot.then_some(RESERVED_SLOT_TIMEOUT);
        let reader = ConnectionReader::new(connection, decoder, first_timeout, Instant::now());
        self.readers.insert(id, reader);
        self.scheduled.push_back(id);
        Ok(())
    }

    /// Reads a connection once; returns false once the reducer takes no more inputs.
    fn read(&mut self, id: ConnectionId) -> bool {
        let Some(reader) = self.readers.get_mut(&id) else { return true };
        let outcome = reader.read(id, &self.shared);
        match outcome.unwrap_or_else(|e| ReadOutcome::Closed { error: Some(e) }) {
            ReadOutcome::Empty => reader.is_scheduled = false,
            ReadOutcome::MoreToRead => self.scheduled.push_back(id),
            ReadOutcome::WriteBlocked => reader.is_write_blocked = true,
            ReadOutcome::Throttled(pause) => {
                self.throttled.insert(id, Instant::now() + pause);
                let duration = Span(u64::try_from(pause.as_nanos()).unwrap_or(u64::MAX));
                let input = Input::ConnectionThrottled { connection: id, duration };
                return self.shared.inputs.send(input).is_ok();
            }
            ReadOutcome::HalfClosed { malformed } => {
                // The next read discards what is left, or finds the end.
                self.scheduled.push_back(id);
                return self.half_close(id, malformed);
            }
            ReadOutcome::Closed { error } => return self.remove(id, error),
        }
        true
    }

    /// No more messages of a connection are delivered. The reducer is notified after all that were, and closes the
    /// connection once every response that is owed was sent.
    fn half_close(&mut self, id: ConnectionId, malformed: Option<String>) -> bool {
        let Some(reader) = self.readers.get_mut(&id) else { return true };
        reader.stop_decoding(malformed.is_some());
        if let Some(reason) = malformed {
            info!(self.shared.log, "a client's connection can't go on"; "conn" => id, "reason" => %reason);
            if reader.has_accepted_bytes() {
                send_malformed_response(reader, &reason, &self.shared);
            }
        }
        self.shared.inputs.send(Input::ConnectionHalfClosed(id)).is_ok()
    }

    /// A connection completed no message in its time. What still arrives is decoded as ever: the reducer closes it at a
    /// moment at which no byte is unread, so that no request is read only to be discarded.
    fn report_message_timeout(&mut self, id: ConnectionId) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        if !reader.connection.has_no_unread_bytes() {
            // They arrived after the last wait for events, and are read next.
            reader.is_scheduled = true;
            return self.scheduled.push_back(id);
        }
        reader.set_timeout_reported();
        info!(self.shared.log, "a client's connection can't go on"; "conn" => id, "reason" => MESSAGE_TIMEOUT_TEXT);
        if reader.is_mid_message() {
            send_malformed_response(reader, MESSAGE_TIMEOUT_TEXT, &self.shared);
        }
        let _ = self.shared.inputs.send(Input::ConnectionLate(id));
    }

    /// Closes a connection for good and frees its slot; returns false once the reducer takes no more inputs.
    fn remove(&mut self, id: ConnectionId, error: Option<io::Error>) -> bool {
        if let Some(error) = error {
            info!(self.shared.log, "closing a client's connection"; "conn" => id, "reason" => %error);
        }
        if let Some(mut reader) = self.readers.remove(&id) {
            // Bytes left unread would make the close a reset.
            let _ = reader.discard(&self.shared);
            let _ = epoll::delete(&self.epoll, &reader.connection.socket);
            reader.connection.abort();
            self.shared.connections().remove(&id);
        }
        self.shared.inputs.send(Input::ConnectionClosed(id)).is_ok()
    }

    /// Periodic work: probes the listeners, retries denied writes, removes connections whose peer neither reads nor ends
    /// its half, and reports messages that timed out.
    fn tick(&mut self, now: Instant) {
        if now >= self.next_accept_probe {
            self.next_accept_probe = now + ACCEPT_PROBE_INTERVAL;
            // An interrupted accept may leave connections queued for which no event comes.
            self.acceptor.set_all_ready();
        }
        // No event follows a write that was denied for want of memory instead of space in the socket.
        for id in self.matching(|reader| reader.connection.is_stalled()) {
            self.flush(id);
        }
        let is_over =
            |reader: &ConnectionReader| reader.is_fully_closed() || reader.connection.is_timed_out(now);
        let over = self.matching(is_over);
        let timed_out = self.matching(|reader| reader.message_timed_out(now) && !is_over(reader));
        for id in over {
            self.remove(id, None);
        }
        for id in timed_out {
            self.report_message_timeout(id);
        }
    }

    /// Connections that fulfil a condition.
    fn matching(&self, condition: impl Fn(&ConnectionReader) -> bool) -> Vec<ConnectionId> {
        let readers = self.readers.iter().filter(|(_, reader)| condition(reader));
        readers.map(|(&id, _)| id).collect()
    }

    /// Closes lingering connections until a regular slot is free; returns whether one is. Guards against rejecting new
    /// connections for as long as many arrive, since each one leaves one more lingering connection than it closes.
    fn free_slot(&mut self) -> bool {
        while self.acceptor.is_full() {
            if !self.close_longest_lingering() {
                return false;
            }
        }
        true
    }

    /// Closes the connection that has lingered longest; returns false if none lingers.
    fn close_longest_lingering(&mut self) -> bool {
        let lingering = |(&id, reader): (&ConnectionId, &ConnectionReader)| {
            Some((reader.connection.lingering_since()?, id))
        };
        let Some((_, id)) = self.readers.iter().filter_map(lingering).min() else { return false };
        self.remove(id, None)
    }
}

/// Sends the protocol's response to malformed bytes, if it has one.
fn send_malformed_response(reader: &ConnectionReader, reason: &str, shared: &Shared) {
    if let Some(frame) = reader.connection.protocol.malformed_response(reason, &shared.pool) {
        reader.connection.send(frame);
    }
}

/// Registers a socket for edge-triggered events of both directions, under a key.
fn watch(epoll: &OwnedFd, socket: impl AsFd, key: u64) -> io::Result<()> {
    use epoll::EventFlags;
    let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
    Ok(epoll::add(epoll, socket, epoll::EventData::new_u64(key), flags)?)
}

#[cfg(test)]
mod tests;
