//! The reading thread: waits for socket events, accepts connections, reads them in a fair order and closes those that
//! time out.
//!
//! Every scheduled connection is read once per round, a bounded amount, so that a client at full speed doesn't delay
//! the others. [`super::connection_reader`] implements one read, [`super::acceptor`] one accept.

use super::acceptor::{Accepted, Acceptor};
use super::connection::{Flushed, MAX_UNSENT_FRAMES};
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

/// Interval between checks of timeouts, and the longest wait for events.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait for events once accepting is to stop, so that the end of reading follows soon after it is asked for.
const SHUTDOWN_TICK: Duration = Duration::from_millis(5);
/// Interval between attempts to accept connections without an event.
const ACCEPT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before accepting is retried after no slot was free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Events received per wait.
const MAX_EVENTS: usize = 128;
/// Connections accepted from one listener before the next one is served.
const MAX_ACCEPTS_PER_LISTENER: usize = 16;
/// Logged, and sent to a peer that didn't complete its message in time.
const MESSAGE_TIMEOUT_TEXT: &str = "no whole frame in its time";
/// First message timeout of a connection in a reserved slot, in place of that of its protocol.
const RESERVED_SLOT_TIMEOUT: Duration = Duration::from_millis(250);

/// Connections that are queued on a listener when accepting stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueuedConnections {
    /// All are accepted, also after a shortage of descriptors or memory.
    AcceptAll,
    /// Those are accepted for which there are descriptors and memory, as reading ends now.
    AcceptWhatIsPossible,
}

/// The state of the reading thread.
pub(super) struct EventLoop {
    epoll: OwnedFd,
    acceptor: Acceptor,
    /// Ids of connections start after the indexes of the listeners, because both are keys of events.
    next_id: ConnectionId,
    shared: Shared,
    readers: HashMap<ConnectionId, ConnectionReader>,
    /// Connections to be read, in order.
    scheduled: VecDeque<ConnectionId>,
    /// Connections without tokens, with the time at which each is read again.
    throttled: HashMap<ConnectionId, Instant>,
    next_accept_probe: Instant,
    /// Whether no more messages are read.
    reading_ended: bool,
}

impl EventLoop {
    /// Creates the event loop of these front ends, with at most `max_connections` in total and `RESERVED_CONNECTIONS`
    /// more on the first.
    ///
    /// # Errors
    /// If epoll can't be set up or a listener can't be registered.
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
            reading_ended: false,
        })
    }

    /// Runs until the reducer accepts no more inputs.
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
            if !self.read_scheduled() || !self.end_reading_if_asked() {
                return;
            }
            if now >= next_tick {
                next_tick = now + TICK;
                self.tick(now);
            }
        }
    }

    /// Waits for events until other work is due.
    fn wait_for_events(&self, events: &mut Vec<epoll::Event>) {
        let timeout = self.wait_timeout();
        let timeout = Timespec { tv_sec: 0, tv_nsec: i64::from(timeout.subsec_nanos()) };
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => {
                // Without a pause, a persistent error would cause a busy loop.
                warn!(self.shared.log, "waiting for client socket events failed; clients wait until a retry succeeds";
                      "error" => %e);
                std::thread::sleep(TICK);
            }
        }
    }

    /// How long to wait for events: at most [`TICK`].
    fn wait_timeout(&self) -> Duration {
        let is_stopping = self.shared.stops.accepting.load(Ordering::SeqCst);
        let longest = if is_stopping { SHUTDOWN_TICK } else { TICK };
        let mut timeout = if self.scheduled.is_empty() { longest } else { Duration::ZERO };
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

    /// Handles an event of a connection: it is readable, writable or has ended.
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
            reader.set_unread(Instant::now());
            self.scheduled.push_back(id);
        }
    }

    /// Writes queued frames of a connection and resumes reading it when few enough are left.
    fn flush(&mut self, id: ConnectionId) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        let flushed = reader.connection.flush();
        if reader.is_write_blocked && flushed.unsent_frames < MAX_UNSENT_FRAMES {
            // Requests sent meanwhile waited because of their own client and not of this server, so the reducer must
            // not count that time as their waiting time.
            let _ = self.shared.inputs.send(Input::ConnectionThrottled { connection: id, duration: Span(0) });
            reader.is_write_blocked = false;
            self.scheduled.push_back(id);
        }
        self.report_delayed_responses(flushed);
    }

    fn report_delayed_responses(&self, flushed: Flushed) {
        if flushed.written_frames == 0 {
            return;
        }
        let (total, longest) = (span(flushed.total_wait), span(flushed.longest_wait));
        let count = u64::from(flushed.written_frames);
        let _ = self.shared.inputs.send(Input::ResponsesDelayed { count, total, longest });
    }

    /// Schedules the connections whose throttling has ended.
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

    /// Reads each scheduled connection once; returns false if the reducer accepts no more inputs.
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

    /// Ends the reading of messages when the main thread asks for it. Returns false if the reducer accepts no more inputs.
    fn end_reading_if_asked(&mut self) -> bool {
        if self.reading_ended || !self.shared.stops.reading.load(Ordering::SeqCst) {
            return true;
        }
        self.reading_ended = true;
        // Connections that are accepted now are read too.
        if self.acceptor.is_accepting() {
            self.stop_accepting(QueuedConnections::AcceptWhatIsPossible);
        }
        self.throttled.clear();
        let ids: Vec<ConnectionId> = self.readers.keys().copied().collect();
        let accepts_inputs = ids.into_iter().all(|id| self.read_rest(id));
        // In the same queue as the messages, so that it arrives after all of them.
        accepts_inputs && self.shared.inputs.send(Input::StoppedReading).is_ok()
    }

    /// Reads what has arrived on a connection, then discards what follows. Returns false if the reducer accepts no more
    /// inputs.
    fn read_rest(&mut self, id: ConnectionId) -> bool {
        let Some(reader) = self.readers.get_mut(&id) else { return true };
        let accepts_inputs = match reader.read_rest(id, &self.shared) {
            Ok(ReadOutcome::HalfClosed { malformed }) => self.half_close(id, malformed),
            Ok(ReadOutcome::Closed { error }) => self.remove(id, error),
            Ok(_) => true,
            Err(error) => self.remove(id, Some(error)),
        };
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.discard_from_now_on();
            reader.is_scheduled = true;
            self.scheduled.push_back(id);
        }
        accepts_inputs
    }

    /// Accepts queued connections while slots are free, a batch from each listener in turn.
    fn accept(&mut self) {
        if self.shared.stops.accepting.load(Ordering::SeqCst) {
            if self.acceptor.is_accepting() {
                self.stop_accepting(QueuedConnections::AcceptAll);
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

    /// Closes the listeners. Connections queued on an exclusive listener are accepted first, because closing it would
    /// reset them. If that fails for want of descriptors or memory, the listener stays open until the next call.
    fn stop_accepting(&mut self, queued: QueuedConnections) {
        for index in 0..self.acceptor.len() {
            if self.acceptor.must_empty_queue(index) {
                while self.accept_batch(index) {}
                if queued == QueuedConnections::AcceptAll && self.acceptor.has_shortage(index) {
                    continue;
                }
            }
            if let Some(listener) = self.acceptor.take_listener(index) {
                // Otherwise each connection for the other process would cause an event here.
                let _ = epoll::delete(&self.epoll, &listener);
            }
        }
        if !self.acceptor.is_accepting() {
            // In the same queue as the accepted connections, so that it arrives after all of them.
            let _ = self.shared.inputs.send(Input::StoppedAccepting);
        }
    }

    /// Accepts a batch of connections from a listener; returns whether there may be more.
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
                        warn!(self.shared.log, "can't watch a client's connection for events; closing it";
                              "error" => %e);
                    }
                }
                Accepted::Interrupted => {}
                Accepted::NoneQueued => return false,
                // A lingering connection only waits for its peer to shut down its half, so it can be closed for its
                // slot.
                Accepted::NoSlot => return self.close_longest_lingering(),
                Accepted::Shortage { error } => {
                    if let Some(error) = error {
                        warn!(self.shared.log, "accepting failed on a client listener; new clients wait until a retry succeeds";
                              "error" => %error);
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
        // Created before the notification of the reducer, which may block: the connection keeps the settings at its
        // accept.
        let decoder = connection.protocol.decoder();
        self.shared.connections().insert(id, Arc::clone(&connection));
        let _ = self.shared.inputs.send(Input::ConnectionOpened(id));
        let first_timeout = uses_reserved_slot.then_some(RESERVED_SLOT_TIMEOUT);
        let reader = ConnectionReader::new(connection, decoder, first_timeout, Instant::now());
        self.readers.insert(id, reader);
        self.scheduled.push_back(id);
        Ok(())
    }

    /// Reads a connection once; returns false if the reducer accepts no more inputs.
    fn read(&mut self, id: ConnectionId) -> bool {
        let Some(reader) = self.readers.get_mut(&id) else { return true };
        let outcome = reader.read(id, &self.shared);
        match outcome.unwrap_or_else(|e| ReadOutcome::Closed { error: Some(e) }) {
            ReadOutcome::Empty => reader.is_scheduled = false,
            ReadOutcome::MoreToRead => self.scheduled.push_back(id),
            ReadOutcome::WriteBlocked => reader.is_write_blocked = true,
            ReadOutcome::Throttled(pause) => {
                self.throttled.insert(id, Instant::now() + pause);
                let input = Input::ConnectionThrottled { connection: id, duration: span(pause) };
                return self.shared.inputs.send(input).is_ok();
            }
            ReadOutcome::HalfClosed { malformed } => {
                // The next read discards the remaining bytes or reaches the end of file.
                self.scheduled.push_back(id);
                return self.half_close(id, malformed);
            }
            ReadOutcome::Closed { error } => return self.remove(id, error),
        }
        true
    }

    /// Stops delivering messages of a connection. The reducer gets this input after all messages, and closes the
    /// connection when all outstanding responses are sent.
    fn half_close(&mut self, id: ConnectionId, malformed: Option<String>) -> bool {
        let Some(reader) = self.readers.get_mut(&id) else { return true };
        reader.stop_decoding(malformed.is_some());
        if let Some(reason) = malformed {
            info!(self.shared.log, "a client's connection can't go on after malformed bytes; closing it after open responses";
                  "conn" => id, "reason" => %reason);
            if reader.has_accepted_bytes() {
                send_malformed_response(reader, &reason, &self.shared);
            }
        }
        self.shared.inputs.send(Input::ConnectionHalfClosed(id)).is_ok()
    }

    /// Reports that a connection didn't complete a message in time. Bytes that still arrive are decoded as usual: the
    /// reducer closes the connection only while no byte is unread, so that no request is read and then discarded.
    fn report_message_timeout(&mut self, id: ConnectionId) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        if !reader.connection.has_no_unread_bytes() {
            // The bytes arrived after the last wait for events, so they are read next.
            reader.is_scheduled = true;
            return self.scheduled.push_back(id);
        }
        reader.set_timeout_reported();
        info!(self.shared.log, "a client's connection can't go on after a message timeout; closing it when idle";
              "conn" => id, "reason" => MESSAGE_TIMEOUT_TEXT);
        if reader.is_mid_message() {
            send_malformed_response(reader, MESSAGE_TIMEOUT_TEXT, &self.shared);
        }
        let _ = self.shared.inputs.send(Input::ConnectionLate(id));
    }

    /// Closes a connection immediately and frees its slot; returns false if the reducer accepts no more inputs.
    fn remove(&mut self, id: ConnectionId, error: Option<io::Error>) -> bool {
        if let Some(error) = error {
            info!(self.shared.log, "closing a client's connection after a socket error";
                  "conn" => id, "reason" => %error);
        }
        if let Some(mut reader) = self.readers.remove(&id) {
            // Unread bytes would turn the close into a reset.
            let _ = reader.discard(&self.shared);
            let _ = epoll::delete(&self.epoll, &reader.connection.socket);
            reader.connection.abort();
            self.shared.connections().remove(&id);
        }
        self.shared.inputs.send(Input::ConnectionClosed(id)).is_ok()
    }

    /// Periodic work: probes the listeners, retries denied writes, removes connections whose peer neither reads nor
    /// shuts down its half, and reports message timeouts.
    fn tick(&mut self, now: Instant) {
        if now >= self.next_accept_probe {
            self.next_accept_probe = now + ACCEPT_PROBE_INTERVAL;
            // An interrupted accept may leave connections queued for which no event arrives.
            self.acceptor.set_all_ready();
        }
        // No event follows a write that was denied for want of memory rather than for a full socket.
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

    /// Ids of the connections whose reader fulfils a condition.
    fn matching(&self, condition: impl Fn(&ConnectionReader) -> bool) -> Vec<ConnectionId> {
        let readers = self.readers.iter().filter(|(_, reader)| condition(reader));
        readers.map(|(&id, _)| id).collect()
    }

    /// Closes lingering connections until a regular slot is free; returns whether one is. Closing only one per new
    /// connection would not keep up while many arrive: each leaves one more lingering connection than it closes, and
    /// new connections would be rejected.
    fn free_slot(&mut self) -> bool {
        while self.acceptor.is_full() {
            if !self.close_longest_lingering() {
                return false;
            }
        }
        true
    }

    /// Closes the connection that has lingered longest; returns false if there is none.
    fn close_longest_lingering(&mut self) -> bool {
        let lingering = |(&id, reader): (&ConnectionId, &ConnectionReader)| {
            Some((reader.connection.lingering_since()?, id))
        };
        let Some((_, id)) = self.readers.iter().filter_map(lingering).min() else { return false };
        self.remove(id, None)
    }
}

fn span(duration: Duration) -> Span {
    Span(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX))
}

/// Sends the protocol's response to malformed or incomplete messages, if it has one.
fn send_malformed_response(reader: &ConnectionReader, reason: &str, shared: &Shared) {
    if let Some(frame) = reader.connection.protocol.malformed_response(reason, &shared.pool) {
        reader.connection.send(frame);
    }
}

/// Registers a socket for edge-triggered events in both directions; `key` identifies it in events.
fn watch(epoll: &OwnedFd, socket: impl AsFd, key: u64) -> io::Result<()> {
    use epoll::EventFlags;
    let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
    Ok(epoll::add(epoll, socket, epoll::EventData::new_u64(key), flags)?)
}

#[cfg(test)]
mod tests;
