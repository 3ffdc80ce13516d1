//! Reads one connection: decodes bytes into messages and delivers them to the reducer as inputs. After the last
//! message, further bytes are discarded.
//!
//! Each call of [`ConnectionReader::read`] does a bounded amount of work and returns what the event loop must do next.
//! [`super::event_loop`] decides when each connection is read and acts on timeouts.

use super::connection::{Connection, ConnectionState, MAX_UNSENT_FRAMES};
use super::protocol::{DecodedMessage, FirstMessageTimeout, FrameDecoder, ReadTimeouts};
use super::shared::Shared;
use super::throttle::{HEALTH_CHECK_TOKENS, TokenBucket, UNSUPPORTED_MESSAGE_TOKENS};
use crate::clock::Clock;
use gradepin_core::buffer_pool::Buffer;
use gradepin_core::messages::{ConnectionId, Input, Receipt};
use gradepin_core::request_timeline::ReadWait;
use rustix::io::Errno;
use rustix::net::sockopt::socket_error;
use rustix::net::{RecvFlags, recv};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes discarded from a connection that sent malformed bytes or is being closed. Further bytes stay unread, so that
/// TCP flow control stops the sender.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Reads per call while discarding.
const MAX_DISCARDING_READS: usize = 8;
/// Reads per call while decoding. The second one detects that the socket is empty, which a read that doesn't fill its
/// buffer doesn't prove.
const MAX_READS: usize = 2;
/// Calls of [`ConnectionReader::read`] in which what has arrived is read before reading ends. Enough for all requests that
/// a client may have open on a connection, with the longest bodies.
const MAX_FINAL_READS: usize = 64;
/// Messages delivered per call. Then it is the turn of the other connections, so that a peer whose single request arrives
/// beside hundreds of connections with many requests each does not wait for all of them.
const MAX_MESSAGES_PER_READ: usize = 2;

/// How received bytes of a connection are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Intake {
    /// Bytes are decoded and messages delivered.
    Decoding,
    /// Bytes are discarded because earlier ones were malformed. Outstanding responses are still sent.
    Discarding,
    /// The peer has shut down its half. Outstanding responses are still sent.
    EndOfFile,
}

/// The action that the event loop must take after a read.
pub(super) enum ReadOutcome {
    /// The socket is empty: wait for an event.
    Empty,
    /// The socket may have more bytes: read again.
    MoreToRead,
    /// The connection has no tokens left: read again after this time.
    Throttled(Duration),
    /// The peer leaves too many responses unread: read again after they are written.
    WriteBlocked,
    /// No more messages are delivered; outstanding requests are still answered.
    HalfClosed {
        /// The error, if the peer sent malformed bytes; `None` at its end of file.
        malformed: Option<String>,
    },
    /// The connection is unusable: close it.
    Closed {
        /// Error of the system, if there was one.
        error: Option<io::Error>,
    },
}

/// Result of decoding a buffer, from which the message deadline follows.
#[derive(Debug, Clone, Copy, Default)]
struct DecodeProgress {
    consumed_bytes: usize,
    completed_message: bool,
}

/// The reading side of a connection.
pub(super) struct ConnectionReader {
    pub(super) connection: Arc<Connection>,
    /// Received bytes of incomplete or undelivered messages.
    buffer: Option<Buffer>,
    decoder: Box<dyn FrameDecoder>,
    timeouts: ReadTimeouts,
    intake: Intake,
    /// Whether the decoder has ever accepted bytes; false if the first message is malformed.
    has_accepted_bytes: bool,
    /// Whether the system reported an error, or that both halves are shut down.
    hung_up: bool,
    /// Deadline of the first or the current message; `None` between later messages.
    message_deadline: Option<Instant>,
    /// Whether the reducer was notified that the deadline passed. It closes the connection when no byte is unread.
    timeout_reported: bool,
    throttle: TokenBucket,
    /// Whether the connection is queued to be read because it may have unread bytes.
    pub(super) is_scheduled: bool,
    /// Whether reading is paused until the peer has read some of its responses.
    pub(super) is_write_blocked: bool,
    discarded_bytes: usize,
    /// Since when bytes may be unread without a pause; `None` while the socket is empty.
    unread_since: Option<Instant>,
    /// Why they were not read at once.
    read_wait: ReadWait,
    /// Unsent frames at which reading stops.
    max_unsent_frames: usize,
    /// Messages delivered per call of [`ConnectionReader::read`].
    max_messages: usize,
}

impl ConnectionReader {
    /// Creates the reader of a connection accepted at `now`, which is scheduled to be read; `first_timeout` overrides
    /// the first timeout of the protocol.
    pub(super) fn new(
        connection: Arc<Connection>,
        decoder: Box<dyn FrameDecoder>,
        first_timeout: Option<Duration>,
        now: Instant,
    ) -> Self {
        let timeouts = connection.protocol.timeouts();
        let first_timeout = first_timeout.unwrap_or(timeouts.first.duration());
        Self {
            connection,
            buffer: None,
            decoder,
            timeouts,
            intake: Intake::Decoding,
            has_accepted_bytes: false,
            hung_up: false,
            message_deadline: Some(now + first_timeout),
            timeout_reported: false,
            throttle: TokenBucket::new(now),
            is_scheduled: true,
            is_write_blocked: false,
            discarded_bytes: 0,
            unread_since: Some(now),
            read_wait: ReadWait::Turn,
            max_unsent_frames: MAX_UNSENT_FRAMES,
            max_messages: MAX_MESSAGES_PER_READ,
        }
    }

    /// Records that the socket has unread bytes.
    pub(super) fn set_unread(&mut self, now: Instant) {
        self.unread_since.get_or_insert(now);
    }

    /// Delivers buffered messages, then reads a bounded number of times and delivers the received messages.
    ///
    /// # Errors
    /// If the socket fails, or the peer has reset the connection; the connection is unusable.
    pub(super) fn read(&mut self, id: ConnectionId, shared: &Shared) -> io::Result<ReadOutcome> {
        match self.connection.begin_read() {
            ConnectionState::Closed => return Ok(ReadOutcome::Closed { error: None }),
            ConnectionState::Open if self.intake == Intake::Decoding => {}
            // No more messages are delivered, so received bytes are discarded.
            _ => return self.discard(shared),
        }
        let mut buffer = self.buffer.take().unwrap_or_else(|| shared.pool.take());
        if !buffer.is_empty() {
            self.check_not_reset()?;
            if let Some(outcome) = self.deliver_messages(id, &mut buffer, shared) {
                self.buffer = Some(buffer);
                return Ok(outcome);
            }
        }
        for _ in 0..MAX_READS {
            match recv(&self.connection.socket, buffer.space(), RecvFlags::DONTWAIT) {
                // An incomplete message is dropped; complete messages before it are still answered.
                Ok((0, _)) => return Ok(ReadOutcome::HalfClosed { malformed: None }),
                Ok((received_bytes, _)) => {
                    buffer.filled(received_bytes);
                    self.check_not_reset()?;
                    if let Some(outcome) = self.deliver_messages(id, &mut buffer, shared) {
                        self.buffer = Some(buffer);
                        return Ok(outcome);
                    }
                }
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK) => return Ok(self.wait_for_bytes(buffer)),
                Err(e) => return Err(e.into()),
            }
        }
        self.buffer = Some(buffer);
        Ok(ReadOutcome::MoreToRead)
    }

    /// Reads and delivers what has arrived, before the reading of messages ends: also from a connection that is throttled
    /// or leaves responses unread, since its requests must be answered before it is closed. Returns the last outcome.
    ///
    /// # Errors
    /// If the socket fails; the connection is unusable.
    pub(super) fn read_rest(&mut self, id: ConnectionId, shared: &Shared) -> io::Result<ReadOutcome> {
        self.max_unsent_frames = usize::MAX;
        self.max_messages = usize::MAX;
        for _ in 0..MAX_FINAL_READS {
            match self.read(id, shared)? {
                ReadOutcome::MoreToRead | ReadOutcome::Throttled(_) => {}
                outcome => return Ok(outcome),
            }
        }
        Ok(ReadOutcome::MoreToRead)
    }

    /// Checks that the peer has not reset the connection. The system still returns bytes that arrived before a reset, and
    /// nobody waits for the answers to their requests. Those of a peer that has only shut its half are still served.
    fn check_not_reset(&self) -> io::Result<()> {
        match socket_error(&self.connection.socket) {
            Ok(Err(error)) => Err(error.into()),
            // Without the error's state, the next read reports it.
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    /// Has all further bytes discarded.
    pub(super) fn discard_from_now_on(&mut self) {
        self.is_write_blocked = false;
        if self.intake == Intake::Decoding {
            self.stop_decoding(true);
        }
    }

    /// Ends a read after the system reported that the socket is empty. A short read would not prove that: at an urgent
    /// mark, for example, it leaves bytes for which no further edge-triggered event arrives.
    fn wait_for_bytes(&mut self, buffer: Buffer) -> ReadOutcome {
        self.buffer = (!buffer.is_empty()).then_some(buffer);
        (self.unread_since, self.read_wait) = (None, ReadWait::Turn);
        if self.is_mid_message() {
            self.connection.set_mid_message();
        } else {
            self.connection.set_idle();
        }
        ReadOutcome::Empty
    }

    /// Whether the reader or its decoder has a part of an incomplete message.
    pub(super) fn is_mid_message(&self) -> bool {
        self.buffer.is_some() || self.decoder.is_mid_message()
    }

    /// Whether the decoder has ever accepted bytes without an error.
    pub(super) fn has_accepted_bytes(&self) -> bool {
        self.has_accepted_bytes
    }

    /// Whether the message deadline has passed without a report. A scheduled connection has not timed out, because the
    /// missing bytes may have arrived.
    pub(super) fn message_timed_out(&self, now: Instant) -> bool {
        let is_past_deadline = self.message_deadline.is_some_and(|deadline| deadline <= now);
        let awaits_message = self.intake == Intake::Decoding && !self.is_scheduled;
        awaits_message && is_past_deadline && !self.timeout_reported
    }

    /// Records that the reducer was notified of the timeout.
    pub(super) fn set_timeout_reported(&mut self) {
        self.timeout_reported = true;
    }

    /// Records that the system reported an error, or that both halves are shut down.
    pub(super) fn set_hung_up(&mut self) {
        self.hung_up = true;
    }

    /// Stops delivering messages; if earlier bytes were malformed, further ones are discarded.
    pub(super) fn stop_decoding(&mut self, malformed: bool) {
        self.message_deadline = None;
        self.buffer = None;
        self.intake = if malformed { Intake::Discarding } else { Intake::EndOfFile };
    }

    /// Whether both halves are shut down: the peer's by end of file, this server's by a lingering close.
    pub(super) fn is_fully_closed(&self) -> bool {
        self.intake == Intake::EndOfFile && self.connection.lingering_since().is_some()
    }

    /// Reads and discards a bounded number of bytes, at most up to the peer's end of file.
    ///
    /// # Errors
    /// If the socket fails; the connection is unusable.
    pub(super) fn discard(&mut self, shared: &Shared) -> io::Result<ReadOutcome> {
        self.buffer = None;
        let mut buffer = shared.pool.take();
        for _ in 0..MAX_DISCARDING_READS {
            if self.intake == Intake::EndOfFile || self.discarded_bytes >= MAX_DISCARDED_BYTES {
                break;
            }
            match recv(&self.connection.socket, buffer.space(), RecvFlags::DONTWAIT) {
                Ok((0, _)) => self.intake = Intake::EndOfFile,
                Ok((received_bytes, _)) => self.discarded_bytes += received_bytes,
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK) if self.hung_up => return Ok(ReadOutcome::Closed { error: None }),
                Err(Errno::WOULDBLOCK) => return Ok(ReadOutcome::Empty),
                Err(e) => return Err(e.into()),
            }
        }
        if self.hung_up || self.is_fully_closed() {
            return Ok(ReadOutcome::Closed { error: None });
        }
        // Bytes of a peer that sends more than the limit stay unread until its responses are written and it times out.
        let is_done = self.intake == Intake::EndOfFile || self.discarded_bytes >= MAX_DISCARDED_BYTES;
        Ok(if is_done { ReadOutcome::Empty } else { ReadOutcome::MoreToRead })
    }

    /// Delivers the complete messages of a buffer; returns an outcome if the read must end.
    fn deliver_messages(
        &mut self,
        id: ConnectionId,
        buffer: &mut Buffer,
        shared: &Shared,
    ) -> Option<ReadOutcome> {
        let (mut progress, mut outcome) = (DecodeProgress::default(), None);
        let mut messages = 0;
        while outcome.is_none() && progress.consumed_bytes < buffer.len() {
            if messages >= self.max_messages {
                outcome = Some(ReadOutcome::MoreToRead);
                break;
            }
            if self.connection.unsent_frames() >= self.max_unsent_frames {
                self.read_wait = ReadWait::UnsentResponses;
                outcome = Some(ReadOutcome::WriteBlocked);
                break;
            }
            let frame = match self.decoder.decode(&buffer[progress.consumed_bytes..], &shared.pool) {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(malformed) => {
                    return Some(ReadOutcome::HalfClosed { malformed: Some(malformed.to_string()) });
                }
            };
            progress.consumed_bytes += frame.consumed_bytes;
            if matches!(frame.message, DecodedMessage::Incomplete) {
                continue;
            }
            progress.completed_message = true;
            messages += 1;
            let tokens = message_tokens(&frame.message);
            let now = Instant::now();
            if let Some(input) = input(id, frame.message, self.receipt(now, shared.clock))
                && let Some(end) = self.deliver(input, shared)
            {
                return Some(end);
            }
            let tokens = tokens + self.connection.take_charged_tokens();
            if let Some(pause) = self.throttle.take(tokens, now) {
                self.read_wait = ReadWait::RateLimit;
                outcome = Some(ReadOutcome::Throttled(pause));
            }
        }
        self.consume(buffer, progress);
        outcome
    }

    /// The receipt of a message that is decoded at `now`.
    fn receipt(&self, now: Instant, clock: Clock) -> Receipt {
        let unread_since = self.unread_since.map(|since| clock.time(since));
        Receipt { unread_since, read_at: Some(clock.time(now)), wait: self.read_wait }
    }

    /// Delivers one input; returns an outcome if the connection is closed or the reducer accepts no more inputs.
    fn deliver(&self, input: Input, shared: &Shared) -> Option<ReadOutcome> {
        if !self.connection.count_delivery() {
            // The connection was closed meanwhile: the message is dropped, and its sender sees the end of the
            // connection.
            return Some(ReadOutcome::MoreToRead);
        }
        match shared.inputs.send(input) {
            Ok(()) => None,
            Err(_) => Some(ReadOutcome::Closed { error: None }),
        }
    }

    /// Consumes decoded bytes and sets the deadline of the next message.
    fn consume(&mut self, buffer: &mut Buffer, progress: DecodeProgress) {
        let has_bytes = !buffer.is_empty();
        buffer.consume(progress.consumed_bytes);
        let is_mid_message = !buffer.is_empty() || self.decoder.is_mid_message();
        let next_deadline = Instant::now() + self.timeouts.message;
        if has_bytes && !self.has_accepted_bytes {
            self.has_accepted_bytes = true;
            if matches!(self.timeouts.first, FirstMessageTimeout::FirstByte(_)) {
                self.message_deadline = Some(next_deadline);
            }
        }
        if progress.completed_message {
            self.timeout_reported = false;
            self.message_deadline = is_mid_message.then_some(next_deadline);
        } else if is_mid_message && self.message_deadline.is_none() {
            self.message_deadline = Some(next_deadline);
        }
    }
}

/// Tokens that a message takes when it is read. The reducer charges those that turn out to break the protocol.
fn message_tokens(message: &DecodedMessage) -> usize {
    match message {
        DecodedMessage::HealthCheck { .. } => HEALTH_CHECK_TOKENS,
        DecodedMessage::Unsupported => UNSUPPORTED_MESSAGE_TOKENS,
        DecodedMessage::Request { .. }
        | DecodedMessage::Cancel { .. }
        | DecodedMessage::Invalid { .. }
        | DecodedMessage::Incomplete => 0,
    }
}

/// Converts a message to an input of the reducer; `None` if it is skipped.
fn input(connection: ConnectionId, message: DecodedMessage, receipt: Receipt) -> Option<Input> {
    match message {
        DecodedMessage::Request { sequence, mut request } => {
            request.receipt = receipt;
            Some(Input::Request { connection, sequence, request })
        }
        DecodedMessage::HealthCheck { sequence } => Some(Input::HealthCheck { connection, sequence }),
        DecodedMessage::Invalid { sequence, invalid } => {
            let (error, text) = (invalid.error, invalid.text);
            Some(Input::InvalidRequest { connection, sequence, error, text })
        }
        DecodedMessage::Cancel { sequence } => Some(Input::Cancel { connection, sequence }),
        DecodedMessage::Unsupported | DecodedMessage::Incomplete => None,
    }
}
