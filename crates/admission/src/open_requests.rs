//! The table of open requests: every attempt that was read and has not ended, its state, and its deadline.
//!
//! Attempts are numbered in the order in which they were read. The sequence number breaks ties between
//! requests, so that the same events produce the same actions. The size of the table is bounded by the
//! memory account, in which each request is reserved.

use crate::request::RequestId;
use crate::settings::Settings;
use crate::time::{Time, seconds_until};
use std::collections::{BTreeMap, BTreeSet};

/// Sequence number of an attempt on this server, in the order in which attempts were read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Sequence(u64);

/// The state of an open request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) enum RequestState {
    /// In the wait queue.
    #[default]
    Queued,
    /// Waits for the result of the earlier attempt that it repeats.
    Joined,
    /// Its run is on the cores, or waits for the disk.
    Running,
    /// Its run has needed an upstream call since `since`; the call may be made from `not_before` on.
    AwaitingCall { since: Time, not_before: Time },
    /// Its upstream call has been in flight since `since`.
    Calling { since: Time },
}

/// One attempt. Only the table changes `expires_at`, because it indexes requests by their deadline.
#[derive(Debug, Default)]
pub(crate) struct OpenRequest {
    pub(crate) id: RequestId,
    /// Slot of the class.
    pub(crate) class: usize,
    /// Slot of the tenant.
    pub(crate) tenant: Option<usize>,
    /// Memory that the request takes while it is queued.
    pub(crate) queued_kb: f64,
    /// Number of attempts that its run serves: itself and the attempts that joined it.
    pub(crate) attempts_served: f64,
    pub(crate) arrived_at: Time,
    /// Deadline: the time at which the caller stops waiting.
    pub(crate) expires_at: Time,
    /// Time until which a response earns the full priority weight.
    pub(crate) objective_at: Time,
    /// Work that the request declares, in seconds on a standard core.
    pub(crate) work_seconds: Option<f64>,
    pub(crate) is_retry: bool,
    pub(crate) state: RequestState,
    /// Whether no response is needed any more: it was sent, or the caller disconnected.
    pub(crate) is_answered: bool,
    /// Time that its run has spent waiting for upstream calls and making them.
    pub(crate) call_seconds: f64,
    pub(crate) consecutive_failed_calls: u32,
}

impl OpenRequest {
    /// Whether the request has no run of its own, so that dropping it has no effect on the processor.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, RequestState::Queued | RequestState::Joined)
    }

    /// Memory that the request takes in its present state.
    pub(crate) fn reserved_kb(&self, settings: &Settings) -> f64 {
        self.queued_kb * if self.is_waiting() { 1.0 } else { settings.specifics.run_factor }
    }

    /// Seconds until the latency objective passes; below 0 once it has passed.
    pub(crate) fn seconds_to_objective(&self, now: Time) -> f64 {
        seconds_until(now, self.objective_at)
    }

    /// Seconds until the caller stops waiting.
    pub(crate) fn seconds_to_expiry(&self, now: Time) -> f64 {
        seconds_until(now, self.expires_at)
    }
}

/// The open requests. Invariant: each id has one sequence number, and each deadline belongs to a request in
/// the table.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    next_sequence: u64,
    requests: BTreeMap<Sequence, OpenRequest>,
    sequences: BTreeMap<RequestId, Sequence>,
    /// Deadlines of requests that still need a response.
    deadlines: BTreeSet<(Time, Sequence)>,
}

impl OpenRequests {
    /// Adds a request and its deadline under the next sequence number.
    pub(crate) fn insert(&mut self, request: OpenRequest) -> Sequence {
        let sequence = Sequence(self.next_sequence);
        self.next_sequence += 1;
        self.sequences.insert(request.id.clone(), sequence);
        self.deadlines.insert((request.expires_at, sequence));
        self.requests.insert(sequence, request);
        sequence
    }

    pub(crate) fn remove(&mut self, sequence: Sequence) -> Option<OpenRequest> {
        let request = self.requests.remove(&sequence)?;
        self.sequences.remove(&request.id);
        self.deadlines.remove(&(request.expires_at, sequence));
        Some(request)
    }

    /// The sequence number of the open request with the given id.
    pub(crate) fn find(&self, id: &RequestId) -> Option<Sequence> {
        self.sequences.get(id).copied()
    }

    /// The request, if it is still open.
    pub(crate) fn get(&self, sequence: Sequence) -> Option<&OpenRequest> {
        self.requests.get(&sequence)
    }

    /// The request, if it is still open. The caller must not change `expires_at`.
    pub(crate) fn get_mut(&mut self, sequence: Sequence) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&sequence)
    }

    /// The request, which must be open.
    ///
    /// # Panics
    ///
    /// If the request is not in the table.
    pub(crate) fn open(&self, sequence: Sequence) -> &OpenRequest {
        &self.requests[&sequence]
    }

    /// Whether the request is open and in the wait queue.
    pub(crate) fn is_queued(&self, sequence: Sequence) -> bool {
        self.get(sequence).is_some_and(|request| request.state == RequestState::Queued)
    }

    /// Removes the earliest deadline if it has passed, and returns its request.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Sequence> {
        let &(_, sequence) = self.deadlines.first().filter(|(expires_at, _)| *expires_at <= now)?;
        self.deadlines.pop_first();
        Some(sequence)
    }

    /// The earliest deadline of a request that still needs a response.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(expires_at, _)| expires_at)
    }

    /// Removes the deadline of a request that needs no response any more.
    pub(crate) fn clear_deadline(&mut self, sequence: Sequence) {
        if let Some(request) = self.requests.get(&sequence) {
            self.deadlines.remove(&(request.expires_at, sequence));
        }
    }

    /// Moves all deadlines after `latest` to that time.
    pub(crate) fn limit_deadlines(&mut self, latest: Time) {
        let later = self.deadlines.iter().copied().filter(|&(expires_at, _)| expires_at > latest);
        for (expires_at, sequence) in later.collect::<Vec<_>>() {
            self.deadlines.remove(&(expires_at, sequence));
            self.deadlines.insert((latest, sequence));
            if let Some(request) = self.requests.get_mut(&sequence) {
                request.expires_at = latest;
            }
        }
    }

    /// Memory, in kilobytes, that all open requests take in their present states.
    pub(crate) fn reserved_kb(&self, settings: &Settings) -> f64 {
        self.requests.values().map(|request| request.reserved_kb(settings)).sum()
    }
}
