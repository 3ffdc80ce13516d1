//! The client proxies' front: Thrift with framed transport, many requests open on a connection.

pub mod codec;

use super::{Cut, Cutter, Malformed, Patience, Protocol};
use crate::settings::ActiveSettings;
use codec::Message;
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{RequestError, Response, SequenceId};
use std::sync::Arc;
use std::time::Duration;

/// From the accept to the first whole frame. Guards against connections that hold their places and say nothing.
const FIRST_PATIENCE: Duration = Duration::from_secs(2);
/// From the first byte of any later frame to its last.
const FRAME_PATIENCE: Duration = Duration::from_secs(5);

/// The front.
pub struct Thrift {
    names: ActiveSettings,
}

impl Thrift {
    /// For the classes and tenants in force.
    pub fn new(names: ActiveSettings) -> Self {
        Self { names }
    }
}

impl Protocol for Thrift {
    fn cutter(&self) -> Box<dyn Cutter> {
        Box::new(Frames(self.names.clone()))
    }

    fn patience(&self) -> Patience {
        Patience { first: FIRST_PATIENCE, first_byte_only: false, whole: FRAME_PATIENCE }
    }

    fn encode(
        &self,
        seq: SequenceId,
        answer: &Response,
        hint: Option<f64>,
        _: bool,
        pool: &Arc<BufferPool>,
    ) -> Option<Buffer> {
        codec::encode(seq, answer, hint, pool)
    }

    fn draining(&self, pool: &Arc<BufferPool>) -> Option<Buffer> {
        codec::draining(pool)
    }

    fn malformed(&self, why: &str, pool: &Arc<BufferPool>) -> Option<Buffer> {
        // Number 0 is no request's: clients count from 1, and what is open keeps its one answer.
        codec::encode(0, &Response::Invalid { error: RequestError::Malformed, text: why.into() }, None, pool)
    }

    fn once(&self) -> bool {
        false
    }
}

/// Whole frames; what is not whole stays in the reader's buffer.
struct Frames(ActiveSettings);

impl Cutter for Frames {
    fn cut(&mut self, bytes: &[u8], pool: &Arc<BufferPool>) -> Result<Option<(usize, Cut)>, Malformed> {
        let Some(len) = codec::frame(bytes)? else { return Ok(None) };
        let Some(frame) = bytes.get(4..len) else { return Ok(None) };
        let cut = match codec::decode(frame, &self.0, pool)? {
            Message::Call(seq, call) => Cut::Call(seq, call),
            Message::Health(seq) => Cut::Health(seq),
            Message::Invalid(seq, misuse, why) => Cut::Invalid(seq, misuse, why),
            Message::Cancel(seq) => Cut::Cancel(seq),
            Message::Unknown => Cut::Nonsense,
        };
        Ok(Some((len, cut)))
    }

    fn begun(&self) -> bool {
        false
    }
}
