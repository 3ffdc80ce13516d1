//! The table of open requests: every attempt that was read and is not over, its state, and the queue of
//! deadlines.
//!
//! Each attempt gets a sequence number in the order in which it was read. Ties between requests are decided
//! by it, so that the same events give the same actions. Bounded by the memory account, in which each
//! request is reserved.

use crate::request::RequestId;
use crate::settings::Settings;
use crate::time::{Time, seconds_until};
use std::collections::{BTreeMap, BTreeSet};

/// Number of an attempt on this server, in the order in which attempts were read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Sequence(u64);

/// Where an open request stands.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) enum RequestState {
    /// In the wait queue.
    #[default]
    Held,
    /// Is answered from the request that it repeats.
    Joined,
    /// On the cores, or waits for the disk.
    Running,
    /// Its run needs an upstream call, which may not be made before a time.
    AwaitingCall { since: Time, not_before: Time },
    /// Its upstream call is in flight.
    Calling { since: Time },
}

/// One attempt. Its deadline is changed by the table only.
#[derive(Debug, Default)]
pub(crate) struct OpenRequest {
    pub(crate) id: RequestId,
    /// Slots of its class and its tenant.
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    /// Memory that it takes while held.
    pub(crate) held_kb: f64,
    /// Attempts that its run would serve: itself and those that joined it.
    pub(crate) attempts_served: f64,
    pub(crate) arrived_at: Time,
    /// When its caller stops waiting.
    pub(crate) expires_at: Time,
    /// Until when a response earns its full weight.
    pub(crate) objective_at: Time,
    /// Work that the request declares, in seconds of a standard core.
    pub(crate) work_seconds: Option<f64>,
    pub(crate) is_retry: bool,
    pub(crate) state: RequestState,
    /// Whether its run needs no response any more: it was answered, or its caller left.
    pub(crate) is_answered: bool,
    /// Time that its run has spent waiting for and making upstream calls.
    pub(crate) call_seconds: f64,
    pub(crate) consecutive_failed_calls: u32,
}

impl OpenRequest {
    /// Whether it has not run, and nothing of it is left when it is dropped.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, RequestState::Held | RequestState::Joined)
    }

    /// Memory that it takes in its present state.
    pub(crate) fn reserved_kb(&self, settings: &Settings) -> f64 {
        self.held_kb * if self.is_waiting() { 1.0 } else { settings.specifics.run_factor }
    }

    /// Seconds until its latency objective passes; below 0 when it has.
    pub(crate) fn seconds_to_objective(&self, now: Time) -> f64 {
        seconds_until(now, self.objective_at)
    }

    /// Seconds until its caller stops waiting.
    pub(crate) fn seconds_to_expiry(&self, now: Time) -> f64 {
        seconds_until(now, self.expires_at)
    }
}

/// The open requests. Invariant: each id belongs to one sequence number, and each deadline in the queue to a
/// request in the table.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    next_sequence: u64,
    requests: BTreeMap<Sequence, OpenRequest>,
    sequences: BTreeMap<RequestId, Sequence>,
    /// Deadlines of requests that still need a response.
    deadlines: BTreeSet<(Time, Sequence)>,
}

impl OpenRequests {
    /// Adds a request and its deadline, under the next sequence number.
    pub(crate) fn insert(&mut self, request: OpenRequest) -> Sequence {
        let sequence = Sequence(self.next_sequence);
        self.next_sequence += 1;
        self.sequences.insert(request.id.clone(), sequence);
        self.deadlines.insert((request.expires_at, sequence));
        self.requests.insert(sequence, request);
        sequence
    }

    /// Removes a request and its deadline.
    pub(crate) fn remove(&mut self, sequence: Sequence) -> Option<OpenRequest> {
        let request = self.requests.remove(&sequence)?;
        self.sequences.remove(&request.id);
        self.deadlines.remove(&(request.expires_at, sequence));
        Some(request)
    }

    /// The open request with an id.
    pub(crate) fn find(&self, id: &RequestId) -> Option<Sequence> {
        self.sequences.get(id).copied()
    }

    /// A request, if it is open.
    pub(crate) fn get(&self, sequence: Sequence) -> Option<&OpenRequest> {
        self.requests.get(&sequence)
    }

    /// A request, if it is open; its deadline must not be changed here.
    pub(crate) fn get_mut(&mut self, sequence: Sequence) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&sequence)
    }

    /// A request that is known to be open.
    pub(crate) fn open(&self, sequence: Sequence) -> &OpenRequest {
        &self.requests[&sequence]
    }

    /// Whether a request is open and in the wait queue.
    pub(crate) fn is_held(&self, sequence: Sequence) -> bool {
        self.get(sequence).is_some_and(|request| request.state == RequestState::Held)
    }

    /// Takes the first deadline that has passed out of the queue.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Sequence> {
        let &(_, sequence) = self.deadlines.first().filter(|(expires_at, _)| *expires_at <= now)?;
        self.deadlines.pop_first();
        Some(sequence)
    }

    /// The first deadline in the queue.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(expires_at, _)| expires_at)
    }

    /// Takes the deadline of a request that needs no response any more out of the queue.
    pub(crate) fn clear_deadline(&mut self, sequence: Sequence) {
        if let Some(request) = self.requests.get(&sequence) {
            self.deadlines.remove(&(request.expires_at, sequence));
        }
    }

    /// Moves all deadlines past a time to that time.
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

    /// Memory that all open requests take in their present states.
    pub(crate) fn reserved_kb(&self, settings: &Settings) -> f64 {
        self.requests.values().map(|request| request.reserved_kb(settings)).sum()
    }
}
