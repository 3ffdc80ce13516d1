//! The cataloguing stations' front: SCGI, one request on each connection, on TCP and on a UNIX socket.

pub mod codec;
pub mod routes;

use super::{Cut, Cutter, Malformed, Patience, Protocol};
use codec::{Bad, Decoder};
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{RequestError, Response, SequenceId, UNKNOWN_OUTCOME_TEXT};
use routes::{Routed, Routes};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// From the accept to the first byte.
const FIRST_PATIENCE: Duration = Duration::from_secs(3);
/// From there to the last byte of the request.
const WHOLE_PATIENCE: Duration = Duration::from_secs(5);
/// The one request of a connection.
const SEQ: SequenceId = 1;

/// The front.
pub struct Scgi {
    /// Those in force; open requests keep the ones that they came by.
    routes: Mutex<Arc<Routes>>,
    /// For requests that bring no id: unlike any other's, and not to be guessed from one.
    ids: Arc<Ids>,
}

struct Ids {
    next: AtomicU64,
    seed: u64,
}

impl Ids {
    /// A bijection of a counter, keyed with the seed: no two are the same.
    fn next(&self) -> u64 {
        let n = self.next.fetch_add(1, Ordering::Relaxed).wrapping_add(self.seed);
        let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        n ^ (n >> 31)
    }
}

impl Scgi {
    /// With these routes; the seed keys the ids of requests that bring none.
    pub fn new(routes: Routes, seed: u64) -> Self {
        let ids = Ids { next: AtomicU64::new(0), seed };
        Self { routes: Mutex::new(Arc::new(routes)), ids: Arc::new(ids) }
    }

    /// New routes, for connections that come from now on.
    pub fn reload(&self, routes: Routes) {
        *self.routes.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(routes);
    }
}

impl Protocol for Scgi {
    fn cutter(&self) -> Box<dyn Cutter> {
        let routes = Arc::clone(&self.routes.lock().unwrap_or_else(PoisonError::into_inner));
        let decoder = Decoder::new(routes.wanted());
        Box::new(Requests { routes, decoder, ids: Arc::clone(&self.ids), done: false })
    }

    fn patience(&self) -> Patience {
        Patience { first: FIRST_PATIENCE, first_byte_only: true, whole: WHOLE_PATIENCE }
    }

    fn encode(
        &self,
        _: SequenceId,
        answer: &Response,
        hint: Option<f64>,
        leaving: bool,
        pool: &Arc<BufferPool>,
    ) -> Option<Buffer> {
        encode(answer, hint, leaving, pool)
    }

    fn draining(&self, _: &Arc<BufferPool>) -> Option<Buffer> {
        None
    }

    fn malformed(&self, _: &str, _: &Arc<BufferPool>) -> Option<Buffer> {
        // A head that is none: whatever is behind the front server would take a response for another's.
        None
    }

    fn once(&self) -> bool {
        true
    }
}

/// The one request of a connection; whatever comes behind it is not read.
struct Requests {
    routes: Arc<Routes>,
    decoder: Decoder,
    ids: Arc<Ids>,
    done: bool,
}

fn misuse(bad: Bad) -> RequestError {
    match bad {
        Bad::HeadTooLong => RequestError::HeaderTooLarge,
        Bad::NoContentLength => RequestError::LengthRequired,
        Bad::BodyTooLong => RequestError::BodyTooLarge,
        Bad::Length | Bad::Head | Bad::ContentLength | Bad::Twice | Bad::Version => RequestError::Malformed,
    }
}

impl Cutter for Requests {
    fn cut(&mut self, bytes: &[u8], pool: &Arc<BufferPool>) -> Result<Option<(usize, Cut)>, Malformed> {
        if self.done {
            return Ok(Some((bytes.len(), Cut::Nothing)));
        }
        let (used, request) = match self.decoder.feed(bytes) {
            Ok(fed) => fed,
            Err(bad) => {
                // It is told what is wrong; nothing more of it is read.
                self.done = true;
                return Ok(Some((bytes.len(), Cut::Invalid(SEQ, misuse(bad), bad.to_string()))));
            }
        };
        let Some(request) = request else { return Ok(Some((used, Cut::Nothing))) };
        self.done = true;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let cut = match self.routes.route(&request, now, self.ids.next(), pool) {
            Ok(Routed::Call(call)) => Cut::Call(SEQ, call),
            Ok(Routed::Health) => Cut::Health(SEQ),
            Err((misuse, why)) => Cut::Invalid(SEQ, misuse, why),
        };
        Ok(Some((used, cut)))
    }

    fn begun(&self) -> bool {
        !self.done && self.decoder.begun()
    }
}

/// The bytes of an answer; none if it doesn't fit into a buffer.
pub fn encode(answer: &Response, hint: Option<f64>, leaving: bool, pool: &Arc<BufferPool>) -> Option<Buffer> {
    let mut more = Vec::new();
    let (status, reason, body): (u16, &str, &[u8]) = match answer {
        Response::Served(result) => (200, "OK", result),
        Response::Health { healthy: good, store } => {
            more.extend(store.map(|word| format!("X-Gradepin-Store: {word}")));
            if *good { (200, "OK", b"good\n") } else { (503, "Service Unavailable", b"bad\n") }
        }
        Response::Rejected { retry_after: backoff, no_failover: last } => {
            if backoff.0 > 0 {
                // Whole seconds for those that know the standard header, and what was meant.
                more.push(format!("Retry-After: {}", backoff.0.div_ceil(1_000_000_000)));
                more.push(format!("X-Gradepin-Retry-After-Ms: {}", backoff.0.div_ceil(1_000_000)));
            }
            if *last {
                more.push("X-Gradepin-Final: 1".into());
            }
            (503, "Service Unavailable", b"refused: it never ran\n")
        }
        Response::OutcomeUnknown => (502, "Bad Gateway", UNKNOWN_OUTCOME_TEXT.as_bytes()),
        Response::Failed { timed_out: false } => (502, "Bad Gateway", b"failed\n"),
        Response::Failed { timed_out: true } => (504, "Gateway Timeout", b"too late\n"),
        Response::Invalid { error: misuse, text: why } => {
            let (status, reason) = match misuse {
                RequestError::Malformed => (400, "Bad Request"),
                RequestError::NotFound => (404, "Not Found"),
                RequestError::MethodNotAllowed => (405, "Method Not Allowed"),
                RequestError::Conflict => (409, "Conflict"),
                RequestError::LengthRequired => (411, "Length Required"),
                RequestError::BodyTooLarge => (413, "Content Too Large"),
                RequestError::HeaderTooLarge => (431, "Request Header Fields Too Large"),
            };
            (status, reason, why.as_bytes())
        }
    };
    more.extend(hint.map(|value| format!("X-Gradepin-Hint: {value}")));
    if leaving {
        more.push("Connection: close".into());
    }
    let kind = if matches!(answer, Response::Served(_)) { "application/octet-stream" } else { "text/plain" };
    let mut head =
        format!("Status: {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n", body.len());
    for line in more {
        head.push_str(&line);
        head.push_str("\r\n");
    }
    head.push_str("\r\n");
    let mut buffer = pool.take();
    (buffer.extend(head.as_bytes()) && buffer.extend(body)).then_some(buffer)
}

#[cfg(test)]
mod tests;
