//! Encodes responses as SCGI (CGI) responses: a status, headers and a body.

use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::{RequestError, Response, UNKNOWN_OUTCOME_TEXT};
use std::sync::Arc;

/// Status, body and kind-specific headers of a response.
struct ResponseParts<'a> {
    status: u16,
    reason: &'static str,
    body: &'a [u8],
    headers: Vec<String>,
}

impl<'a> ResponseParts<'a> {
    fn new(status: u16, reason: &'static str, body: &'a [u8]) -> Self {
        Self { status, reason, body, headers: Vec::new() }
    }

    fn of(response: &'a Response) -> Self {
        match response {
            Response::Served(result) => Self::new(200, "OK", result),
            Response::Health { healthy, store } => {
                let mut parts = if *healthy {
                    Self::new(200, "OK", b"good\n")
                } else {
                    Self::new(503, "Service Unavailable", b"bad\n")
                };
                parts.headers.extend(store.map(|state| format!("X-Gradepin-Store: {state}")));
                parts
            }
            Response::Rejected { retry_after, no_failover } => {
                let mut parts = Self::new(503, "Service Unavailable", b"refused: it never ran\n");
                if retry_after.0 > 0 {
                    // The standard header has whole seconds only; the other one has the time in ms.
                    let (seconds, ms) =
                        (retry_after.0.div_ceil(1_000_000_000), retry_after.0.div_ceil(1_000_000));
                    parts.headers.push(format!("Retry-After: {seconds}"));
                    parts.headers.push(format!("X-Gradepin-Retry-After-Ms: {ms}"));
                }
                if *no_failover {
                    parts.headers.push("X-Gradepin-Final: 1".into());
                }
                parts
            }
            Response::OutcomeUnknown => Self::new(502, "Bad Gateway", UNKNOWN_OUTCOME_TEXT.as_bytes()),
            Response::Failed { timed_out: false } => Self::new(502, "Bad Gateway", b"failed\n"),
            Response::Failed { timed_out: true } => Self::new(504, "Gateway Timeout", b"too late\n"),
            Response::Invalid { error, text } => {
                let (status, reason) = error_status(*error);
                Self::new(status, reason, text.as_bytes())
            }
        }
    }
}

/// Status and reason phrase of an invalid request.
fn error_status(error: RequestError) -> (u16, &'static str) {
    match error {
        RequestError::Malformed => (400, "Bad Request"),
        RequestError::NotFound => (404, "Not Found"),
        RequestError::MethodNotAllowed => (405, "Method Not Allowed"),
        RequestError::Conflict => (409, "Conflict"),
        RequestError::LengthRequired => (411, "Length Required"),
        RequestError::BodyTooLarge => (413, "Content Too Large"),
        RequestError::HeaderTooLarge => (431, "Request Header Fields Too Large"),
    }
}

/// Encodes a response, with the capacity hint if there is one; `draining` adds `Connection: close`. `None` if the
/// response doesn't fit into a buffer.
pub(super) fn encode(
    response: &Response,
    capacity_hint: Option<f64>,
    draining: bool,
    pool: &Arc<BufferPool>,
) -> Option<Buffer> {
    let ResponseParts { status, reason, body, mut headers } = ResponseParts::of(response);
    headers.extend(capacity_hint.map(|hint| format!("X-Gradepin-Hint: {hint}")));
    if draining {
        headers.push("Connection: close".into());
    }
    let is_result = matches!(response, Response::Served(_));
    let content_type = if is_result { "application/octet-stream" } else { "text/plain" };
    let mut head = format!(
        "Status: {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n",
        body.len()
    );
    for header in headers {
        head.push_str(&header);
        head.push_str("\r\n");
    }
    head.push_str("\r\n");
    let mut buffer = pool.take();
    (buffer.extend(head.as_bytes()) && buffer.extend(body)).then_some(buffer)
}
