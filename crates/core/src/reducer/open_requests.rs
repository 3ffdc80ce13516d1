//! The requests that are open or running: what each holds, and the bytes that their bodies take.
//!
//! Invariants: an id names one open request; [`OpenRequests::has_body_capacity`] bounds what is held. Not here: which requests
//! are taken ([`super::request_intake`]), their responses ([`super::responses`]) and their runs ([`super::runs`]).

use crate::buffer_pool::Buffer;
use crate::config::Config;
use crate::idempotency_table::Fingerprint;
use crate::messages::{ConnectionId, SequenceId, UpstreamCallId};
use gradepin_admission::{RequestId, Time};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Bodies of open requests may take the memory of the process divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Memory of an open request beside its body.
const OPEN_REQUEST_OVERHEAD_BYTES: usize = 1024;

/// How far a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// It waits for the admission module.
    Queued,
    /// It waits for the outcome of another attempt's run.
    Joined {
        /// Since when.
        since: Time,
    },
    /// Its run was started.
    Running,
    /// Its run was stopped and its response is still owed; the processor reports nothing more of it.
    Stopped,
}

/// A request that is open or running.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Connection that it came on.
    pub(super) connection: ConnectionId,
    /// Its number there.
    pub(super) sequence: SequenceId,
    /// Slot of its class.
    pub(super) class: usize,
    /// Slot of its tenant, if it has one in force.
    pub(super) tenant: Option<usize>,
    /// When it reached the machine, in Unix milliseconds.
    pub(super) arrived_unix_ms: u64,
    /// When its caller stops waiting, in Unix milliseconds.
    pub(super) deadline_unix_ms: u64,
    /// Its idempotency key, if its class has them.
    pub(super) idempotency_key: Option<Arc<str>>,
    /// Fingerprint of its body and class; 0 without an idempotency key.
    pub(super) fingerprint: Fingerprint,
    /// How far it is.
    pub(super) state: RequestState,
    /// Whether its caller still waits for a response.
    pub(super) response_owed: bool,
    /// Whether it is neither a retry nor a hedged request.
    pub(super) is_first_attempt: bool,
    /// Its body, shared with the effects that start its run.
    pub(super) body: Arc<Buffer>,
    /// Times that its run was sent to the processor.
    pub(super) start_count: u32,
    /// Body of the upstream call that its run waits for.
    pub(super) upstream_call: Option<Arc<Buffer>>,
    /// Since when that call is to be made, or is out.
    pub(super) upstream_call_since: Option<Time>,
    /// Names that call once it is out.
    pub(super) upstream_call_id: Option<UpstreamCallId>,
}

impl OpenRequest {
    /// Its idempotency key, with the fingerprint of its body and class.
    pub(super) fn key_and_fingerprint(&self) -> Option<(&Arc<str>, Fingerprint)> {
        self.idempotency_key.as_ref().map(|key| (key, self.fingerprint))
    }
}

/// The requests that are open or running.
#[derive(Debug)]
pub(super) struct OpenRequests {
    by_id: HashMap<RequestId, OpenRequest>,
    /// Memory that they take, with [`OPEN_REQUEST_OVERHEAD_BYTES`] for each.
    body_bytes: usize,
    max_body_bytes: usize,
    /// Requests without a run whose callers left in this step.
    abandoned: Vec<RequestId>,
    /// Idempotency keys of requests of this step, which are not in the table yet.
    new_keys: HashMap<Arc<str>, RequestId>,
}

impl OpenRequests {
    /// None yet.
    pub(super) fn new(config: &Config) -> Self {
        Self {
            by_id: HashMap::new(),
            body_bytes: 0,
            max_body_bytes: config.memory(BODY_MEMORY_DIVISOR),
            abandoned: Vec::new(),
            new_keys: HashMap::new(),
        }
    }

    /// The request of an id.
    pub(super) fn get(&self, id: &RequestId) -> Option<&OpenRequest> {
        self.by_id.get(id)
    }

    /// The request of an id, to be changed.
    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(id)
    }

    /// Whether an id is open.
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Whether none is open and none runs.
    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether the bodies leave memory for another request.
    pub(super) fn has_body_capacity(&self) -> bool {
        self.body_bytes <= self.max_body_bytes
    }

    /// The request of an id, if it runs.
    pub(super) fn running(&self, id: &RequestId) -> Option<&OpenRequest> {
        self.by_id.get(id).filter(|open| open.state == RequestState::Running)
    }

    /// Whether a request waits for the admission module, and its caller for it.
    pub(super) fn is_queued(&self, id: &RequestId) -> bool {
        self.by_id.get(id).is_some_and(|open| open.state == RequestState::Queued && open.response_owed)
    }

    /// All that run, in the order of their ids: the same inputs give the same effects.
    pub(super) fn running_ids(&self) -> BTreeSet<RequestId> {
        let running = self.by_id.iter().filter(|(_, open)| open.state == RequestState::Running);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// How many run.
    pub(super) fn count_running(&self) -> usize {
        self.by_id.values().filter(|open| open.state == RequestState::Running).count()
    }

    /// How many are owed a response.
    pub(super) fn count_owed(&self) -> usize {
        self.by_id.values().filter(|open| open.response_owed).count()
    }

    /// The queued request of this step with an idempotency key, and its fingerprint. Two attempts of one step are linked
    /// before the admission module could retain the first one's key.
    pub(super) fn attempt_of_this_step(&self, key: &str) -> Option<(RequestId, Fingerprint)> {
        let id = self.new_keys.get(key).filter(|id| self.is_queued(id))?;
        Some((id.clone(), self.by_id.get(id)?.fingerprint))
    }

    /// Names the request of this step that has an idempotency key.
    pub(super) fn note_key(&mut self, key: &Arc<str>, id: &RequestId) {
        self.new_keys.insert(Arc::clone(key), id.clone());
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, open: OpenRequest) {
        self.body_bytes += open.body.len() + OPEN_REQUEST_OVERHEAD_BYTES;
        self.by_id.insert(id, open);
    }

    /// The caller of a request no longer waits; false if none is open under this id.
    pub(super) fn abandon(&mut self, id: &RequestId) -> bool {
        let Some(open) = self.by_id.get_mut(id) else { return false };
        open.response_owed = false;
        if open.state != RequestState::Running {
            // The admission module may still release its key: it is removed after that.
            self.abandoned.push(id.clone());
        }
        true
    }

    /// The admission module has handled all requests of this step. Returns the abandoned ones, which are to be removed.
    pub(super) fn end_batch(&mut self) -> Vec<RequestId> {
        self.new_keys.clear();
        std::mem::take(&mut self.abandoned)
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let open = self.by_id.remove(id)?;
        // Its id may be used again in this step, by a request whose caller waits.
        self.abandoned.retain(|abandoned| abandoned != id);
        self.body_bytes -= open.body.len() + OPEN_REQUEST_OVERHEAD_BYTES;
        Some(open)
    }
}
