//! The Thrift front end, for client proxies: framed transport with many open requests on each connection.
//!
//! [`codec`] decodes and encodes messages. A connection stays open until its peer closes it or it has been idle too
//! long.

mod call_fields;
pub mod codec;
mod wire;

use super::protocol::{
    DecodedFrame, FirstMessageTimeout, FrameDecoder, MalformedFrame, Protocol, ReadTimeouts,
};
use crate::settings::ActiveSettings;
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{RequestError, Response, SequenceId};
use std::sync::Arc;
use std::time::Duration;

/// Limit from the accept to the end of the first frame, so that silent connections don't occupy slots.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit from the first byte of a later frame to its last.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Sequence number of a response that answers no request; clients number requests from 1.
const NO_REQUEST: SequenceId = 0;

/// The Thrift protocol of client proxies.
pub struct Thrift {
    active: ActiveSettings,
}

impl Thrift {
    /// Creates the protocol; requests are resolved against the classes and tenants in force.
    pub fn new(active: ActiveSettings) -> Self {
        Self { active }
    }
}

impl Protocol for Thrift {
    fn decoder(&self) -> Box<dyn FrameDecoder> {
        Box::new(ThriftDecoder { active: self.active.clone() })
    }

    fn timeouts(&self) -> ReadTimeouts {
        ReadTimeouts { first: FirstMessageTimeout::Complete(FIRST_FRAME_TIMEOUT), message: FRAME_TIMEOUT }
    }

    fn encode(
        &self,
        sequence: SequenceId,
        response: &Response,
        capacity_hint: Option<f64>,
        _: bool,
        pool: &Arc<BufferPool>,
    ) -> Option<Buffer> {
        codec::encode(sequence, response, capacity_hint, pool)
    }

    fn drain_request(&self, pool: &Arc<BufferPool>) -> Option<Buffer> {
        codec::drain_request(pool)
    }

    fn malformed_response(&self, reason: &str, pool: &Arc<BufferPool>) -> Option<Buffer> {
        let response = Response::Invalid { error: RequestError::Malformed, text: reason.into() };
        codec::encode(NO_REQUEST, &response, None, pool)
    }

    fn closes_after_response(&self) -> bool {
        false
    }
}

/// Decodes complete frames; bytes of an incomplete frame stay in the caller's buffer.
struct ThriftDecoder {
    active: ActiveSettings,
}

impl FrameDecoder for ThriftDecoder {
    fn decode(
        &mut self,
        bytes: &[u8],
        pool: &Arc<BufferPool>,
    ) -> Result<Option<DecodedFrame>, MalformedFrame> {
        let Some(frame_bytes) = codec::frame(bytes)? else { return Ok(None) };
        let Some(frame) = bytes.get(codec::LENGTH_PREFIX_BYTES..frame_bytes) else { return Ok(None) };
        let message = codec::decode(frame, &self.active, pool)?;
        Ok(Some(DecodedFrame { consumed_bytes: frame_bytes, message }))
    }

    fn is_mid_message(&self) -> bool {
        false
    }
}
