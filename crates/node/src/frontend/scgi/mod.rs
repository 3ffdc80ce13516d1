//! The SCGI front end, for web servers: one request on each connection, over TCP or a UNIX socket.
//!
//! [`routes`] converts headers to requests with the routes and header names of the settings; [`codec`] decodes requests
//! and `response` encodes responses. A connection is closed after its response, as SCGI has no keep-alive.

pub mod codec;
mod response;
pub mod routes;

use super::protocol::{
    DecodedFrame, DecodedMessage, FirstMessageTimeout, FrameDecoder, InvalidRequest, MalformedFrame,
    Protocol, ReadTimeouts,
};
use codec::{Decoder, ScgiError};
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{RequestError, Response, SequenceId};
use routes::{Arrival, Routed, Routes};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Limit from the accept to the first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit from the first byte of the request to its last.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Sequence number of the only request of a connection.
const SEQUENCE: SequenceId = 1;

/// The SCGI protocol of web servers.
pub struct Scgi {
    /// The routes in force; a connection keeps those at its accept.
    routes: Mutex<Arc<Routes>>,
    request_ids: Arc<RequestIdGenerator>,
}

/// Generates ids for requests without one: unique in this process, and not obvious from one another.
struct RequestIdGenerator {
    counter: AtomicU64,
    seed: u64,
}

impl RequestIdGenerator {
    fn new(seed: u64) -> Self {
        Self { counter: AtomicU64::new(0), seed }
    }

    /// Returns the next id: a bijection of a counter (the finalizer of SplitMix64), so that no id repeats.
    fn next(&self) -> u64 {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed).wrapping_add(self.seed);
        let mixed = (counter ^ (counter >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl Scgi {
    /// Creates the protocol with these routes; the seed determines the generated ids of requests without one.
    pub fn new(routes: Routes, seed: u64) -> Self {
        Self { routes: Mutex::new(Arc::new(routes)), request_ids: Arc::new(RequestIdGenerator::new(seed)) }
    }

    /// Replaces the routes for connections accepted from now on.
    pub fn reload(&self, routes: Routes) {
        *self.routes.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(routes);
    }
}

impl Protocol for Scgi {
    fn decoder(&self) -> Box<dyn FrameDecoder> {
        let routes = Arc::clone(&self.routes.lock().unwrap_or_else(PoisonError::into_inner));
        let decoder = Decoder::new(routes.required_headers());
        Box::new(RequestDecoder {
            routes,
            decoder,
            request_ids: Arc::clone(&self.request_ids),
            finished: false,
        })
    }

    fn timeouts(&self) -> ReadTimeouts {
        ReadTimeouts { first: FirstMessageTimeout::FirstByte(FIRST_BYTE_TIMEOUT), message: REQUEST_TIMEOUT }
    }

    fn encode(
        &self,
        _: SequenceId,
        response: &Response,
        capacity_hint: Option<f64>,
        draining: bool,
        pool: &Arc<BufferPool>,
    ) -> Option<Buffer> {
        response::encode(response, capacity_hint, draining, pool)
    }

    fn drain_request(&self, _: &Arc<BufferPool>) -> Option<Buffer> {
        None
    }

    fn malformed_response(&self, _: &str, _: &Arc<BufferPool>) -> Option<Buffer> {
        // The web server could mistake a response to malformed bytes for the response to another request.
        None
    }

    fn closes_after_response(&self) -> bool {
        true
    }
}

/// Decodes the only request of a connection; bytes after it are skipped.
struct RequestDecoder {
    routes: Arc<Routes>,
    decoder: Decoder,
    request_ids: Arc<RequestIdGenerator>,
    finished: bool,
}

impl FrameDecoder for RequestDecoder {
    fn decode(
        &mut self,
        bytes: &[u8],
        pool: &Arc<BufferPool>,
    ) -> Result<Option<DecodedFrame>, MalformedFrame> {
        if self.finished {
            let message = DecodedMessage::Incomplete;
            return Ok(Some(DecodedFrame { consumed_bytes: bytes.len(), message }));
        }
        let fed = match self.decoder.feed(bytes) {
            Ok(fed) => fed,
            Err(error) => {
                // The client gets the error; the rest of its request is skipped.
                self.finished = true;
                let message = invalid(InvalidRequest::new(request_error(error), error.to_string()));
                return Ok(Some(DecodedFrame { consumed_bytes: bytes.len(), message }));
            }
        };
        let Some(request) = fed.request else {
            let message = DecodedMessage::Incomplete;
            return Ok(Some(DecodedFrame { consumed_bytes: fed.consumed_bytes, message }));
        };
        self.finished = true;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let arrival = Arrival {
            unix_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
            generated_id: self.request_ids.next(),
        };
        let message = match self.routes.route(&request, arrival, pool) {
            Ok(Routed::Request(request)) => DecodedMessage::Request { sequence: SEQUENCE, request },
            Ok(Routed::HealthCheck) => DecodedMessage::HealthCheck { sequence: SEQUENCE },
            Err(error) => invalid(error),
        };
        Ok(Some(DecodedFrame { consumed_bytes: fed.consumed_bytes, message }))
    }

    fn is_mid_message(&self) -> bool {
        !self.finished && self.decoder.is_mid_request()
    }
}

fn invalid(invalid: InvalidRequest) -> DecodedMessage {
    DecodedMessage::Invalid { sequence: SEQUENCE, invalid }
}

fn request_error(error: ScgiError) -> RequestError {
    match error {
        ScgiError::HeadersTooLong => RequestError::HeaderTooLarge,
        ScgiError::MissingContentLength => RequestError::LengthRequired,
        ScgiError::BodyTooLong => RequestError::BodyTooLarge,
        ScgiError::NetstringLength
        | ScgiError::Headers
        | ScgiError::ContentLength
        | ScgiError::DuplicateHeader
        | ScgiError::Version => RequestError::Malformed,
    }
}

#[cfg(test)]
mod tests;
