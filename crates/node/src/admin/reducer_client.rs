//! Hands requests of the admin endpoint to the reducer, and its responses to the threads that wait for them.

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

/// How long the reducer has to answer a request; the endpoint answers 503 then, well within the second that operators
/// are promised.
const REDUCER_TIMEOUT: Duration = Duration::from_millis(600);

/// The endpoint's side of its exchange with the reducer. At most one request of each connection is pending.
pub(super) struct ReducerClient {
    inputs: Sender<Input>,
    /// Requests that the reducer has not answered, by id.
    pending: Mutex<HashMap<AdminRequestId, Sender<AdminResponse>>>,
    next_id: AtomicU64,
    log: Logger,
}

impl ReducerClient {
    /// A client that sends requests as inputs.
    pub(super) fn new(inputs: Sender<Input>, log: Logger) -> Self {
        Self { inputs, pending: Mutex::default(), next_id: AtomicU64::new(1), log }
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<AdminRequestId, Sender<AdminResponse>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an input without a response; false if the queue takes none before the timeout.
    pub(super) fn notify(&self, input: Input) -> bool {
        self.inputs.send_timeout(input, REDUCER_TIMEOUT).is_ok()
    }

    /// Sends a request and waits for its response; 503 if there is none before the timeout.
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
                warn!(self.log, "admin request timed out in the reducer"; "request" => ?request);
                Response::text(503, "the server did not answer in time; try again\n")
            }
        }
    }

    /// Passes on the reducer's response to a request; dropped if the request timed out meanwhile.
    pub(super) fn answer(&self, id: AdminRequestId, answer: AdminResponse) {
        if let Some(sender) = self.pending().remove(&id) {
            let _ = sender.try_send(answer);
        }
    }
}
