//! Serves one connection of the admin endpoint: reads a request, responds and closes.

use super::configuration;
use super::http::{self, MAX_BODY_BYTES, RequestHead, Response};
use super::reducer_client::ReducerClient;
use super::routes::{self, Endpoint};
use crate::staging::StagingArea;
use gradepin_config::admin::AdminError;
use gradepin_core::admin::{AdminRequest, AgreementRequest};
use gradepin_core::configuration::ConfigurationAdminRequest;
use gradepin_core::messages::Input;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Limit for receiving a complete request; after it the response is 408.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Lingering close: how long received bytes are discarded before the close, so that it doesn't reset the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// The parts of the server that process requests.
pub(super) struct Backends {
    /// The reducer, which answers most requests.
    pub(super) reducer: ReducerClient,
    /// Folder of settings staged for rollouts, if there is one.
    pub(super) staging_area: Option<Arc<StagingArea>>,
}

/// A complete request.
struct Request {
    /// The endpoint, or the error response if the path, method or query is invalid.
    endpoint: Result<Endpoint, Response>,
    /// Whether the response must have no body.
    head_only: bool,
    /// The body; incomplete if the endpoint uses none.
    body: Vec<u8>,
}

/// Why no request was read.
enum ReadError {
    /// The request is invalid or was not complete in time; this is the response.
    Rejected(Response),
    /// The connection ended or failed, so no response is sent.
    Disconnected,
}

/// Reads one request, sets `request_complete` and responds.
pub(super) fn serve(stream: &TcpStream, request_complete: &AtomicBool, backends: &Backends) {
    let deadline = Instant::now() + READ_TIMEOUT;
    let request = match read(stream, deadline) {
        Ok(request) => request,
        Err(ReadError::Rejected(response)) => return respond(stream, &response, false),
        Err(ReadError::Disconnected) => return,
    };
    request_complete.store(true, Ordering::SeqCst);
    let response = match request.endpoint {
        Ok(endpoint) => handle(endpoint, &request.body, backends),
        Err(response) => response,
    };
    respond(stream, &response, request.head_only);
}

fn handle(endpoint: Endpoint, body: &[u8], backends: &Backends) -> Response {
    match endpoint {
        Endpoint::Request(request) => backends.reducer.request(request),
        Endpoint::SubmitCommand => match serde_json::from_slice(body) {
            Ok(command) => {
                let request = AgreementRequest::Command(Box::new(command));
                backends.reducer.request(AdminRequest::Agreement(request))
            }
            Err(e) => Response::text(400, format!("expected an order as JSON: {e}\n")),
        },
        Endpoint::ApplyConfiguration => match serde_json::from_slice(body) {
            Ok(apply) => {
                let request = ConfigurationAdminRequest::Apply(Box::new(apply));
                backends.reducer.request(AdminRequest::Configuration(request))
            }
            Err(e) => configuration::error_response(&AdminError::BadCall { reason: e.to_string() }),
        },
        Endpoint::StageSettings => stage_settings(body, backends),
    }
}

/// Reads a complete request with its body.
fn read(stream: &TcpStream, deadline: Instant) -> Result<Request, ReadError> {
    let mut bytes = Vec::with_capacity(1024);
    let mut chunk = [0_u8; 1024];
    let head: RequestHead = loop {
        if let Some(head) = http::parse_head(&bytes).map_err(ReadError::Rejected)? {
            break head;
        }
        let count = read_chunk(stream, deadline, &mut chunk)?;
        bytes.extend_from_slice(&chunk[..count]);
    };
    let endpoint = routes::route(&head.method, &head.path, &head.query);
    // An unused body is read and dropped, so that the close doesn't reset the response.
    let takes_body = endpoint.as_ref().is_ok_and(Endpoint::takes_body);
    let mut body = bytes.split_off(head.head_bytes.min(bytes.len()));
    let mut received_bytes = body.len().min(MAX_BODY_BYTES);
    while received_bytes < head.body_bytes {
        let count = read_chunk(stream, deadline, &mut chunk)?;
        received_bytes += count;
        if takes_body {
            body.extend_from_slice(&chunk[..count]);
        }
    }
    body.truncate(head.body_bytes);
    Ok(Request { endpoint, head_only: head.is_head_request(), body })
}

/// Reads at least one byte, until the deadline at most.
fn read_chunk(mut stream: &TcpStream, deadline: Instant, chunk: &mut [u8]) -> Result<usize, ReadError> {
    let timed_out = || {
        let text = format!("expected a whole request within {READ_TIMEOUT:?}\n");
        ReadError::Rejected(Response::text(408, text))
    };
    loop {
        let remaining = deadline.checked_duration_since(Instant::now());
        let remaining = remaining.filter(|remaining| !remaining.is_zero()).ok_or_else(timed_out)?;
        stream.set_read_timeout(Some(remaining)).map_err(|_| ReadError::Disconnected)?;
        match stream.read(chunk) {
            Ok(0) => return Err(ReadError::Disconnected),
            Ok(count) => return Ok(count),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Err(timed_out());
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Err(ReadError::Disconnected),
        }
    }
}

/// Checks and stages settings, and notifies the reducer.
fn stage_settings(body: &[u8], backends: &Backends) -> Response {
    let Some(staging_area) = &backends.staging_area else {
        return Response::text(404, "expected a node 'stage' in the council block of the settings\n");
    };
    let text = match std::str::from_utf8(body) {
        Ok(text) => text,
        Err(e) => return Response::text(409, format!("{e}\n")),
    };
    match staging_area.put(text) {
        Ok(digest) => {
            let input = Input::StagedSettingsChanged { active: None, staged: staging_area.staged() };
            if !backends.reducer.notify(input) {
                return Response::text(
                    503,
                    "the server did not accept the staged settings in time; try again\n",
                );
            }
            Response::text(200, format!("{digest}\n"))
        }
        Err(error) => Response::text(409, format!("{error}\n")),
    }
}

/// Writes a response and closes the connection after the operator's program has received it.
pub(super) fn respond(mut stream: &TcpStream, response: &Response, head_only: bool) {
    let _ = stream.set_write_timeout(Some(READ_TIMEOUT));
    if stream.write_all(&response.bytes(head_only)).is_err() {
        return;
    }
    let _ = stream.shutdown(Shutdown::Write);
    // Bytes that still arrive are read for a short time, so that the close doesn't reset the response.
    let _ = stream.set_read_timeout(Some(LINGER_TIMEOUT));
    let mut discarded = [0_u8; 256];
    let deadline = Instant::now() + LINGER_TIMEOUT;
    while Instant::now() < deadline && matches!(stream.read(&mut discarded), Ok(count) if count > 0) {}
}
