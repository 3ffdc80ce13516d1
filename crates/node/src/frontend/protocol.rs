//! The interface of a client protocol: a decoder from bytes to messages and an encoder from responses to bytes.
//!
//! Implementations do no I/O and own no connection: [`super::connection_reader`] passes bytes to the decoder of a
//! connection, and [`super::Frontend`] sends the encoded bytes. Names on the wire are mapped to those of
//! `gradepin_core` only in the implementations.

use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{ClientRequest, RequestError, Response, SequenceId};
use std::sync::Arc;
use std::time::Duration;

/// The bytes of a connection are no message of its protocol; the text says what was found. Decoding stops for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedFrame(pub &'static str);

/// A well-formed message that is no valid request. Its sender gets an error response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text}")]
pub struct InvalidRequest {
    /// Kind of the error, from which the status of the response follows.
    pub error: RequestError,
    /// Explanation for the sender.
    pub text: String,
}

impl InvalidRequest {
    /// Creates an error of this kind with an explanation for the sender.
    pub fn new(error: RequestError, text: impl Into<String>) -> Self {
        Self { error, text: text.into() }
    }

    /// Creates the error for a request that can't be decoded or has an invalid value.
    pub fn malformed(text: impl Into<String>) -> Self {
        Self::new(RequestError::Malformed, text)
    }
}

/// A message decoded from the bytes of a connection.
#[derive(Debug)]
pub enum DecodedMessage {
    /// A valid request.
    Request {
        /// Number of the message on its connection, which the response repeats.
        sequence: SequenceId,
        /// The request in the terms of the reducer.
        request: Box<ClientRequest>,
    },
    /// A health check.
    HealthCheck {
        /// Number of the message on its connection, which the response repeats.
        sequence: SequenceId,
    },
    /// The client no longer waits for the response to a request.
    Cancel {
        /// Number of the cancelled request on its connection.
        sequence: SequenceId,
    },
    /// An invalid message that requires an error response.
    Invalid {
        /// Number of the message on its connection, which the response repeats.
        sequence: SequenceId,
        /// The error to respond with.
        invalid: InvalidRequest,
    },
    /// A one-way message that this server doesn't support; it is skipped.
    Unsupported,
    /// Bytes of a message were consumed that is still incomplete.
    Incomplete,
}

/// The result of one decoding step.
#[derive(Debug)]
pub struct DecodedFrame {
    /// Bytes consumed from the start of the input: at least one unless the input was empty.
    pub consumed_bytes: usize,
    /// The message decoded from these bytes.
    pub message: DecodedMessage,
}

/// Decodes the messages of one connection.
pub trait FrameDecoder: Send {
    /// Decodes the first message in these bytes; `None` if more bytes are needed, in which case none were consumed.
    ///
    /// # Errors
    /// If the bytes are no message of the protocol. The decoder can't be used afterwards.
    fn decode(
        &mut self,
        bytes: &[u8],
        pool: &Arc<BufferPool>,
    ) -> Result<Option<DecodedFrame>, MalformedFrame>;

    /// Whether the decoder has consumed bytes of a message that is incomplete.
    fn is_mid_message(&self) -> bool;
}

/// The timeout that starts when a connection is accepted, by the event that ends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstMessageTimeout {
    /// The first message must be complete within this time.
    Complete(Duration),
    /// The first byte must arrive within this time; the rest of the message then has [`ReadTimeouts::message`].
    FirstByte(Duration),
}

impl FirstMessageTimeout {
    /// The timeout, counted from the accept.
    pub fn duration(self) -> Duration {
        match self {
            Self::Complete(duration) | Self::FirstByte(duration) => duration,
        }
    }
}

/// Time limits for a peer to send its messages.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimeouts {
    /// Limit for the first message, counted from the accept.
    pub first: FirstMessageTimeout,
    /// Limit from the first byte of a message to its last.
    pub message: Duration,
}

/// A client protocol, shared by all its connections.
pub trait Protocol: Send + Sync {
    /// Creates the decoder of a new connection.
    fn decoder(&self) -> Box<dyn FrameDecoder>;

    /// The read timeouts of connections of this protocol.
    fn timeouts(&self) -> ReadTimeouts;

    /// Encodes a response, with the capacity hint for client proxies if there is one; `draining` is set while the
    /// server shuts down. `None` if the response doesn't fit into a buffer.
    fn encode(
        &self,
        sequence: SequenceId,
        response: &Response,
        capacity_hint: Option<f64>,
        draining: bool,
        pool: &Arc<BufferPool>,
    ) -> Option<Buffer>;

    /// The message that asks a peer to send no more requests; `None` if the protocol has none, in which case idle
    /// connections are closed instead.
    fn drain_request(&self, pool: &Arc<BufferPool>) -> Option<Buffer>;

    /// The message sent to a peer before its connection is closed for malformed or incomplete messages; `None` if the
    /// connection is closed without one.
    fn malformed_response(&self, reason: &str, pool: &Arc<BufferPool>) -> Option<Buffer>;

    /// Whether a connection carries a single request and is closed after the response.
    fn closes_after_response(&self) -> bool;
}
