//! Sends requests of the admin endpoint to the reducer, and forwards its responses to the waiting threads.

use super::http::Response;
use super::responses::response;
use crossbeam_channel::{Sender, bounded};
use gradepin_core::admin::{AdminRequest, AdminRequestId, AdminResponse};
use gradepin_core::messages::Input;
use slog::{Logger, warn};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limit for the reducer to answer a request; after it the endpoint answers 503, well within the second that is
/// promised to operators.
const REDUCER_TIMEOUT: Duration = Duration::from_millis(600);

/// Exchanges requests and responses with the reducer. Each connection has at most one pending request.
pub(super) struct ReducerClient {
    inputs: Sender<Input>,
    /// Requests that the reducer has not answered yet, by id.
    pending: Mutex<HashMap<AdminRequestId, Sender<AdminResponse>>>,
    next_id: AtomicU64,
    log: Logger,
}

impl ReducerClient {
    /// Creates a client that sends requests to `inputs`.
    pub(super) fn new(inputs: Sender<Input>, log: Logger) -> Self {
        Self { inputs, pending: Mutex::default(), next_id: AtomicU64::new(1), log }
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<AdminRequestId, Sender<AdminResponse>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an input that has no response; false if the queue is full until the timeout.
    pub(super) fn notify(&self, input: Input) -> bool {
        self.inputs.send_timeout(input, REDUCER_TIMEOUT).is_ok()
    }

    /// Sends a request and waits for its response; the response is 503 after the timeout.
    pub(super) fn request(&self, request: AdminRequest) -> Response {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        self.pending().insert(id, sender);
        let deadline = Instant::now() + REDUCER_TIMEOUT;
        let input = Input::AdminRequest { id, request: request.clone() };
        let is_sent = self.inputs.send_deadline(input, deadline).is_ok();
        let answer = if is_sent { receiver.recv_deadline(deadline).ok() } else { None };
        self.pending().remove(&id);
        match answer {
            Some(answer) => response(answer),
            None => {
                warn!(self.log, "admin request timed out in the reducer; responding with 503"; "request" => ?request);
                Response::text(503, "the server did not answer in time; try again\n")
            }
        }
    }

    /// Forwards the reducer's response to a request; dropped if the request has timed out meanwhile.
    pub(super) fn answer(&self, id: AdminRequestId, answer: AdminResponse) {
        if let Some(sender) = self.pending().remove(&id) {
            let _ = sender.try_send(answer);
        }
    }
}
