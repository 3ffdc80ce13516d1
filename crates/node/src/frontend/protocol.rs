//! What a client protocol provides: a decoder from bytes to messages and an encoder from responses to bytes.
//!
//! Implementations do no I/O. They own no connection: the [`super::connection_reader`] hands bytes to the decoder of a
//! connection, and [`super::Frontend`] sends what the encoder returns. The wire's names are mapped to those of
//! `gradepin_core` here and nowhere else.

use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{ClientRequest, RequestError, Response, SequenceId};
use std::sync::Arc;
use std::time::Duration;

/// The bytes of a connection are no messages of its protocol, with what was found instead. No more messages are decoded
/// from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedFrame(pub &'static str);

/// A well-formed message that is no valid request; its sender is owed an error response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text}")]
pub struct InvalidRequest {
    /// Kind of the error.
    pub error: RequestError,
    /// Explanation for the sender.
    pub text: String,
}

impl InvalidRequest {
    /// An error of this kind with an explanation for the sender.
    pub fn new(error: RequestError, text: impl Into<String>) -> Self {
        Self { error, text: text.into() }
    }

    /// A request that can't be decoded, or that holds an invalid value.
    pub fn malformed(text: impl Into<String>) -> Self {
        Self::new(RequestError::Malformed, text)
    }
}

/// What was decoded from the bytes of a connection.
#[derive(Debug)]
pub enum DecodedMessage {
    /// A request.
    Request {
        /// Number of the message on its connection.
        sequence: SequenceId,
        /// The request.
        request: Box<ClientRequest>,
    },
    /// A health check.
    HealthCheck {
        /// Number of the message on its connection.
        sequence: SequenceId,
    },
    /// The caller of a request no longer waits for its response.
    Cancel {
        /// Number of the request on its connection.
        sequence: SequenceId,
    },
    /// A message that is owed an error response.
    Invalid {
        /// Number of the message on its connection.
        sequence: SequenceId,
        /// What is wrong with it.
        invalid: InvalidRequest,
    },
    /// A one-way message that this server doesn't support; it is skipped.
    Unsupported,
    /// Bytes were consumed, and the message that they belong to is incomplete.
    Incomplete,
}

/// One step of decoding: a message and the bytes that it took.
#[derive(Debug)]
pub struct DecodedFrame {
    /// Bytes that were consumed from the start of the input, at least one unless the input was empty.
    pub consumed_bytes: usize,
    /// The message.
    pub message: DecodedMessage,
}

/// Decodes the messages of one connection.
pub trait FrameDecoder: Send {
    /// Decodes the first message in these bytes; `None` if more bytes are needed first, and then nothing was consumed.
    ///
    /// # Errors
    /// If the bytes are no message of the protocol. Decoding can't continue after that.
    fn decode(
        &mut self,
        bytes: &[u8],
        pool: &Arc<BufferPool>,
    ) -> Result<Option<DecodedFrame>, MalformedFrame>;

    /// Whether bytes of an incomplete message were consumed.
    fn is_mid_message(&self) -> bool;
}

/// What ends the timeout that starts when a connection is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstMessageTimeout {
    /// The first message must be complete in this time.
    Complete(Duration),
    /// The first byte must arrive in this time; the message has [`ReadTimeouts::message`] from there.
    FirstByte(Duration),
}

impl FirstMessageTimeout {
    /// The timeout, from the accept.
    pub fn duration(self) -> Duration {
        match self {
            Self::Complete(duration) | Self::FirstByte(duration) => duration,
        }
    }
}

/// How long a peer may take to send its messages.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimeouts {
    /// For the first message, from the accept.
    pub first: FirstMessageTimeout,
    /// From the first byte of a message to its last.
    pub message: Duration,
}

/// A client protocol.
pub trait Protocol: Send + Sync {
    /// A decoder for a new connection.
    fn decoder(&self) -> Box<dyn FrameDecoder>;

    /// Read timeouts of its connections.
    fn timeouts(&self) -> ReadTimeouts;

    /// Encodes a response, with the capacity hint for client proxies if there is one; `draining` says whether the server
    /// shuts down. `None` if the response doesn't fit into a buffer.
    fn encode(
        &self,
        sequence: SequenceId,
        response: &Response,
        capacity_hint: Option<f64>,
        draining: bool,
        pool: &Arc<BufferPool>,
    ) -> Option<Buffer>;

    /// The message that asks a peer to send no more requests; `None` if the protocol has none, and then idle connections
    /// are closed instead.
    fn drain_request(&self, pool: &Arc<BufferPool>) -> Option<Buffer>;

    /// The message sent to a peer before its connection is closed for malformed or incomplete messages; `None` if the
    /// close alone must do.
    fn malformed_response(&self, reason: &str, pool: &Arc<BufferPool>) -> Option<Buffer>;

    /// Whether a connection carries one request and is closed after its response.
    fn closes_after_response(&self) -> bool;
}
