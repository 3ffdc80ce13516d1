//! Requests that are open or running: the state of each, and the memory that their bodies take.
//!
//! Invariants: an id identifies one open request; no request is accepted while the bodies exceed their memory limit
//! ([`OpenRequests::has_body_capacity`]). Which requests are accepted is decided in [`super::request_intake`];
//! responses are sent by [`super::responses`], and runs are started and ended by [`super::runs`].

use crate::buffer_pool::Buffer;
use crate::config::Config;
use crate::idempotency_table::Fingerprint;
use crate::messages::{ConnectionId, LookupId, SequenceId, UpstreamCallId};
use crate::request_timeline::RequestTimeline;
use gradepin_admission::{RequestId, Time};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Limit of the bodies of open requests: the memory of the process divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Memory of an open request in addition to its body, in bytes.
const OPEN_REQUEST_OVERHEAD_BYTES: usize = 1024;

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Waits for the admission module's decision.
    Queued,
    /// Waits for the outcome of another attempt's run.
    Joined {
        /// When the request joined that run.
        since: Time,
    },
    /// The run was started.
    Running,
    /// Rejected; the response waits for whether the other process of an upgrade has run the key.
    Refused {
        /// Number of the look-up.
        lookup: LookupId,
    },
    /// The run was stopped, but the response is still owed. The processor reports nothing more about the run.
    Stopped,
}

/// A request that is open or running.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Connection that the request arrived on.
    pub(super) connection: ConnectionId,
    /// Sequence number on that connection.
    pub(super) sequence: SequenceId,
    /// Slot of the class.
    pub(super) class: usize,
    /// Slot of the tenant, if the request names one in force.
    pub(super) tenant: Option<usize>,
    /// When the request reached the machine, in Unix milliseconds.
    pub(super) arrived_unix_ms: u64,
    /// When the caller stops waiting, in Unix milliseconds.
    pub(super) deadline_unix_ms: u64,
    /// Idempotency key; `None` if the class is not keyed.
    pub(super) idempotency_key: Option<Arc<str>>,
    /// Fingerprint of the body and class; 0 without an idempotency key.
    pub(super) fingerprint: Fingerprint,
    pub(super) state: RequestState,
    /// Whether the caller still waits for a response.
    pub(super) response_owed: bool,
    /// Whether this is neither a retry nor a hedged request.
    pub(super) is_first_attempt: bool,
    /// Body of the request, shared with the effects that start its run.
    pub(super) body: Arc<Buffer>,
    /// How often the run was sent to the processor.
    pub(super) start_count: u32,
    /// Body of the upstream call that the run waits for.
    pub(super) upstream_call: Option<Arc<Buffer>>,
    /// When the admission module made that call, or when the call was sent.
    pub(super) upstream_call_since: Option<Time>,
    /// Id of that call once it was sent.
    pub(super) upstream_call_id: Option<UpstreamCallId>,
    /// When it passed each stage.
    pub(super) timeline: RequestTimeline,
}

impl OpenRequest {
    /// Whether its run was requested, whatever became of that.
    pub(super) fn was_started(&self) -> bool {
        self.start_count > 0 || matches!(self.state, RequestState::Running | RequestState::Stopped)
    }

    /// Returns the idempotency key with the fingerprint of the body and class.
    pub(super) fn key_and_fingerprint(&self) -> Option<(&Arc<str>, Fingerprint)> {
        self.idempotency_key.as_ref().map(|key| (key, self.fingerprint))
    }
}

/// The requests that are open or running.
#[derive(Debug)]
pub(super) struct OpenRequests {
    by_id: HashMap<RequestId, OpenRequest>,
    /// Memory of all bodies, plus [`OPEN_REQUEST_OVERHEAD_BYTES`] for each request.
    body_bytes: usize,
    max_body_bytes: usize,
    /// Requests without a run whose callers stopped waiting in this step.
    abandoned: Vec<RequestId>,
    /// Idempotency keys of requests of this step, which are not in the idempotency table yet.
    new_keys: HashMap<Arc<str>, RequestId>,
}

impl OpenRequests {
    /// Creates an empty table with the memory limit of `config`.
    pub(super) fn new(config: &Config) -> Self {
        Self {
            by_id: HashMap::new(),
            body_bytes: 0,
            max_body_bytes: config.memory(BODY_MEMORY_DIVISOR),
            abandoned: Vec::new(),
            new_keys: HashMap::new(),
        }
    }

    pub(super) fn get(&self, id: &RequestId) -> Option<&OpenRequest> {
        self.by_id.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(id)
    }

    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Whether no request is open or running.
    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether the memory limit allows another request.
    pub(super) fn has_body_capacity(&self) -> bool {
        self.body_bytes <= self.max_body_bytes
    }

    /// Returns the request with this id if its run was started.
    pub(super) fn running(&self, id: &RequestId) -> Option<&OpenRequest> {
        self.by_id.get(id).filter(|open| open.state == RequestState::Running)
    }

    /// Whether a request waits for the admission module while its caller still waits for the response.
    pub(super) fn is_queued(&self, id: &RequestId) -> bool {
        self.by_id.get(id).is_some_and(|open| open.state == RequestState::Queued && open.response_owed)
    }

    /// Returns the ids of all started runs in sorted order, so that the same inputs give the same effects.
    pub(super) fn running_ids(&self) -> BTreeSet<RequestId> {
        let running = self.by_id.iter().filter(|(_, open)| open.state == RequestState::Running);
        running.map(|(id, _)| id.clone()).collect()
    }

    pub(super) fn count_running(&self) -> usize {
        self.by_id.values().filter(|open| open.state == RequestState::Running).count()
    }

    pub(super) fn count_owed(&self) -> usize {
        self.by_id.values().filter(|open| open.response_owed).count()
    }

    /// Returns the ids of all requests that are owed a response, in sorted order.
    pub(super) fn owed_ids(&self) -> BTreeSet<RequestId> {
        self.by_id.iter().filter(|(_, open)| open.response_owed).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the queued request of this step that has this idempotency key, with its fingerprint. Connects two
    /// attempts that arrive in the same step, before the admission module can retain the first one's key.
    pub(super) fn attempt_of_this_step(&self, key: &str) -> Option<(RequestId, Fingerprint)> {
        let id = self.new_keys.get(key).filter(|id| self.is_queued(id))?;
        Some((id.clone(), self.by_id.get(id)?.fingerprint))
    }

    /// Records which request of this step has an idempotency key.
    pub(super) fn note_key(&mut self, key: &Arc<str>, id: &RequestId) {
        self.new_keys.insert(Arc::clone(key), id.clone());
    }

    pub(super) fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.body_bytes += open.body.len() + OPEN_REQUEST_OVERHEAD_BYTES;
        self.by_id.insert(id, open);
    }

    /// Notes that the caller of a request no longer waits. Returns false if no request with this id is open.
    pub(super) fn abandon(&mut self, id: &RequestId) -> bool {
        let Some(open) = self.by_id.get_mut(id) else { return false };
        open.response_owed = false;
        if open.state != RequestState::Running {
            // The admission module may still release the request's key, so the request is removed after that.
            self.abandoned.push(id.clone());
        }
        true
    }

    /// Called once the admission module has handled all requests of a step. Returns the abandoned requests, which the
    /// caller must remove.
    pub(super) fn end_batch(&mut self) -> Vec<RequestId> {
        self.new_keys.clear();
        std::mem::take(&mut self.abandoned)
    }

    pub(super) fn remove(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let open = self.by_id.remove(id)?;
        // The id may be reused in this step by a request whose caller waits.
        self.abandoned.retain(|abandoned| abandoned != id);
        self.body_bytes -= open.body.len() + OPEN_REQUEST_OVERHEAD_BYTES;
        Some(open)
    }
}
