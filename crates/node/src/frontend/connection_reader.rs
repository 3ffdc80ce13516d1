//! Reads one connection: bytes are decoded into messages, and messages delivered to the reducer as inputs; after the
//! last message, bytes are discarded.
//!
//! Each call of [`ConnectionReader::read`] does a bounded amount of work and says what the event loop must do next.
//! Which connection is read when, and which timed out, is decided in [`super::event_loop`].

use super::connection::{Connection, ConnectionState, MAX_UNSENT_FRAMES};
use super::protocol::{DecodedMessage, FirstMessageTimeout, FrameDecoder, ReadTimeouts};
use super::shared::Shared;
use super::throttle::{MessageOutcome, TokenBucket};
use gradepin_core::buffer_pool::Buffer;
use gradepin_core::messages::{ConnectionId, Input};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes discarded of a peer whose bytes are no messages, or whose connection is being closed. More stays unread, so
/// that TCP holds its sender back.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Reads of one call that discards.
const MAX_DISCARDING_READS: usize = 8;
/// Reads of one call that decodes: the second finds out that the socket is empty, as a read that didn't fill its buffer
/// doesn't prove it.
const MAX_READS: usize = 2;
/// Cost of reading one message, in tokens.
const READ_COST: usize = 1;

/// What is done with the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Intake {
    /// They are decoded, and the messages delivered.
    Decoding,
    /// They are discarded, as earlier ones were malformed. Responses that are owed are still sent.
    Discarding,
    /// There are no more: the peer has shut its half. Responses that are owed are still sent.
    EndOfFile,
}

/// What the event loop must do with a connection after a read.
pub(super) enum ReadOutcome {
    /// The socket is empty: wait for an event.
    Empty,
    /// There may be more: read again.
    MoreToRead,
    /// The connection spent its tokens: read again after this time.
    Throttled(Duration),
    /// The peer leaves too many responses unread: read again once they are written.
    WriteBlocked,
    /// No more messages are delivered; what is owed is still answered.
    HalfClosed {
        /// Why, if the peer sent malformed bytes.
        malformed: Option<String>,
    },
    /// The connection is unusable.
    Closed {
        /// Error of the system, if there was one.
        error: Option<io::Error>,
    },
}

/// Result of decoding a buffer, for the timeouts.
#[derive(Debug, Clone, Copy, Default)]
struct DecodeProgress {
    consumed_bytes: usize,
    completed_message: bool,
}

/// The reading side of a connection.
pub(super) struct ConnectionReader {
    pub(super) connection: Arc<Connection>,
    /// Received bytes of messages that are incomplete or not delivered yet.
    buffer: Option<Buffer>,
    decoder: Box<dyn FrameDecoder>,
    timeouts: ReadTimeouts,
    intake: Intake,
    /// Whether the decoder ever took bytes without an error: not after a malformed first message.
    has_accepted_bytes: bool,
    /// The system reported that both halves are shut, or an error.
    hung_up: bool,
    /// When the current or the first message must be complete; `None` between later messages.
    message_deadline: Option<Instant>,
    /// Whether the reducer was notified that the deadline passed. It closes the connection when no byte is unread.
    timeout_reported: bool,
    throttle: TokenBucket,
    /// Whether it is queued to be read: there may be bytes.
    pub(super) is_scheduled: bool,
    /// Whether reading is stopped until the peer has read some of its responses.
    pub(super) is_write_blocked: bool,
    discarded_bytes: usize,
}

impl ConnectionReader {
    /// For a connection accepted now, which is scheduled to be read; `first_timeout` replaces that of the protocol.
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
        }
    }

    /// Delivers the messages in the buffer, reads a bounded number of times, and delivers what arrived.
    ///
    /// # Errors
    /// An error of the socket: the connection is unusable.
    pub(super) fn read(&mut self, id: ConnectionId, shared: &Shared) -> io::Result<ReadOutcome> {
        match self.connection.begin_read() {
            ConnectionState::Closed => return Ok(ReadOutcome::Closed { error: None }),
            ConnectionState::Open if self.intake == Intake::Decoding => {}
            // Nothing is delivered any more: what arrives can only be discarded.
            _ => return self.discard(shared),
        }
        let mut buffer = self.buffer.take().unwrap_or_else(|| shared.pool.take());
        if !buffer.is_empty()
            && let Some(outcome) = self.deliver_messages(id, &mut buffer, shared)
        {
            self.buffer = Some(buffer);
            return Ok(outcome);
        }
        for _ in 0..MAX_READS {
            match recv(&self.connection.socket, buffer.space(), RecvFlags::DONTWAIT) {
                // An incomplete message is lost with its connection; complete ones before it are owed a response.
                Ok((0, _)) => return Ok(ReadOutcome::HalfClosed { malformed: None }),
                Ok((received_bytes, _)) => {
                    buffer.filled(received_bytes);
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

    /// Ends a read: the system reported that the socket is empty. A short read is no such report: at an urgent mark, for
    /// example, it leaves bytes behind for which no event comes, since events are edge-triggered.
    fn wait_for_bytes(&mut self, buffer: Buffer) -> ReadOutcome {
        self.buffer = (!buffer.is_empty()).then_some(buffer);
        if self.is_mid_message() {
            self.connection.set_mid_message();
        } else {
            self.connection.set_idle();
        }
        ReadOutcome::Empty
    }

    /// Whether a part of a message has arrived.
    pub(super) fn is_mid_message(&self) -> bool {
        self.buffer.is_some() || self.decoder.is_mid_message()
    }

    /// Whether the decoder ever took bytes without an error.
    pub(super) fn has_accepted_bytes(&self) -> bool {
        self.has_accepted_bytes
    }

    /// Whether the deadline of its message has passed and wasn't reported yet. One that is scheduled hasn't timed out:
    /// its bytes may be here.
    pub(super) fn message_timed_out(&self, now: Instant) -> bool {
        let is_past_deadline = self.message_deadline.is_some_and(|deadline| deadline <= now);
        let awaits_message = self.intake == Intake::Decoding && !self.is_scheduled;
        awaits_message && is_past_deadline && !self.timeout_reported
    }

    /// The reducer is notified of the timeout.
    pub(super) fn set_timeout_reported(&mut self) {
        self.timeout_reported = true;
    }

    /// The system reported that both halves are shut, or an error.
    pub(super) fn set_hung_up(&mut self) {
        self.hung_up = true;
    }

    /// Delivers no more messages; further bytes are discarded if earlier ones were malformed.
    pub(super) fn stop_decoding(&mut self, malformed: bool) {
        self.message_deadline = None;
        self.buffer = None;
        self.intake = if malformed { Intake::Discarding } else { Intake::EndOfFile };
    }

    /// Whether both halves are shut: the peer's by its end of file, this server's by a lingering close.
    pub(super) fn is_fully_closed(&self) -> bool {
        self.intake == Intake::EndOfFile && self.connection.lingering_since().is_some()
    }

    /// Reads and discards, up to the end of the peer's half.
    ///
    /// # Errors
    /// An error of the socket: the connection is unusable.
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
        // A peer that sends more than the bound stays unread until its responses are written and it times out.
        let is_done = self.intake == Intake::EndOfFile || self.discarded_bytes >= MAX_DISCARDED_BYTES;
        Ok(if is_done { ReadOutcome::Empty } else { ReadOutcome::MoreToRead })
    }

    /// Delivers the complete messages of a buffer; returns an outcome if the read ends with them.
    fn deliver_messages(
        &mut self,
        id: ConnectionId,
        buffer: &mut Buffer,
        shared: &Shared,
    ) -> Option<ReadOutcome> {
        let (mut progress, mut outcome) = (DecodeProgress::default(), None);
        while outcome.is_none() && progress.consumed_bytes < buffer.len() {
            if self.connection.unsent_frames() >= MAX_UNSENT_FRAMES {
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
            let mut cost = READ_COST;
            match input(id, frame.message) {
                Some(input) => {
                    if let Some(end) = self.deliver(input, shared) {
                        return Some(end);
                    }
                }
                None => cost += MessageOutcome::Invalid.cost(),
            }
            cost += self.connection.take_response_cost();
            outcome = self.throttle.take(cost, Instant::now()).map(ReadOutcome::Throttled);
        }
        self.consume(buffer, progress);
        outcome
    }

    /// Delivers one input; returns an outcome if the connection or the server takes none any more.
    fn deliver(&self, input: Input, shared: &Shared) -> Option<ReadOutcome> {
        if !self.connection.count_delivery() {
            // Closed meanwhile: the message is discarded, and its sender sees the end instead of a response.
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

/// The input that a message becomes; `None` if it is skipped.
fn input(connection: ConnectionId, message: DecodedMessage) -> Option<Input> {
    match message {
        DecodedMessage::Request { sequence, request } => {
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
