//! Refusals of valid requests. A refusal promises that the operation never ran on this server, so its response is built
//! from the proof of that ([`super::never_ran`]).
//!
//! An attempt whose key has run is answered from that run. If the process shares its keyed runs by claims, it asks the other
//! process's record before it refuses, and answers from the run found there; meanwhile the request is
//! [`RequestState::Refused`]. An attempt that may have run fails, since a failure promises nothing.

use super::never_ran::{NeverRan, RunKnowledge};
use super::open_requests::{OpenRequest, RequestState};
use super::{MS, Reducer};
use crate::idempotency_table::RunOutcome;
use crate::messages::{Effect, LookupId, RecordedRun, Response};
use crate::request_timeline::Stage;
use gradepin_admission::{RequestId, Span, Time, time_after};
use slog::Level;
use std::collections::BTreeMap;

/// Maximum time that a refusal waits for the record of the other process's runs; afterwards the attempt fails.
const MAX_LOOKUP_TIME: Span = Span(50 * MS);
/// The same for an attempt whose caller stops waiting earlier, or has stopped: a small part of the time by which its answer
/// may be late.
const MIN_LOOKUP_TIME: Span = Span(10 * MS);
/// Maximum number of refusals that wait; further attempts fail at once. Bounds the memory that clients can use with
/// requests that exceed all other limits.
const MAX_PENDING_REFUSALS: usize = 256;

/// A refusal, and the advice that goes with it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    /// How long the client should wait before it sends requests again; 0 for no advice.
    pub(super) retry_after: Span,
    /// Asks the client not to retry on another server.
    pub(super) no_failover: bool,
}

impl Refusal {
    /// A refusal that another server may lift.
    pub(super) fn retry_after(retry_after: Span) -> Self {
        Self { retry_after, no_failover: false }
    }

    /// The response that carries the refusal and its promise.
    pub(super) fn response(self, _promise: NeverRan) -> Response {
        Response::Rejected { retry_after: self.retry_after, no_failover: self.no_failover }
    }
}

/// A refusal that waits for a look-up.
#[derive(Debug)]
struct PendingRefusal {
    id: RequestId,
    refusal: Refusal,
    answer_by: Time,
}

/// The refusals that wait for look-ups, at most [`MAX_PENDING_REFUSALS`]. Invariant: the request of each is
/// open and [`RequestState::Refused`].
#[derive(Debug, Default)]
pub(super) struct PendingRefusals {
    last_lookup: LookupId,
    by_lookup: BTreeMap<LookupId, PendingRefusal>,
    /// Whether an attempt that had run in the other process was logged; only the first one is logged.
    run_logged: bool,
}

impl PendingRefusals {
    fn has_capacity(&self) -> bool {
        self.by_lookup.len() < MAX_PENDING_REFUSALS
    }

    fn add(&mut self, pending: PendingRefusal) -> LookupId {
        self.last_lookup += 1;
        self.by_lookup.insert(self.last_lookup, pending);
        self.last_lookup
    }

    /// Removes the refusal of a request that is no longer open.
    pub(super) fn remove(&mut self, lookup: LookupId) {
        self.by_lookup.remove(&lookup);
    }

    /// Returns when the next refusal has waited too long.
    pub(super) fn wake_at(&self) -> Option<Time> {
        self.by_lookup.values().map(|pending| pending.answer_by).min()
    }

    fn first_overdue(&self, now: Time) -> Option<LookupId> {
        let overdue = self.by_lookup.iter().find(|(_, pending)| pending.answer_by <= now);
        overdue.map(|(lookup, _)| *lookup)
    }
}

impl Reducer {
    /// Refuses an open request, unless its operation has run or may have run.
    pub(super) fn refuse(&mut self, id: &RequestId, refusal: Refusal) {
        if !self.requests.get(id).is_some_and(|open| open.response_owed) {
            return self.release(id);
        }
        match self.knowledge_of(id) {
            Some(RunKnowledge::InOtherProcess) => self.look_up_before_refusal(id, refusal),
            Some(knowledge) => self.refuse_or_answer(id, refusal, knowledge),
            None => {}
        }
    }

    fn refuse_or_answer(&mut self, id: &RequestId, refusal: Refusal, knowledge: RunKnowledge) {
        match knowledge {
            RunKnowledge::NeverRan(proof) => self.respond_and_release(id, refusal.response(proof)),
            RunKnowledge::Ran(outcome) => self.answer_unrefused(id, outcome),
            RunKnowledge::InOtherProcess => self.answer_unrefused(id, RunOutcome::Failed),
        }
    }

    fn look_up_before_refusal(&mut self, id: &RequestId, refusal: Refusal) {
        if !self.pending_refusals.has_capacity() {
            return self.answer_unrefused(id, RunOutcome::Failed);
        }
        let Some((key, fingerprint)) = self.claim_key(id) else { return };
        let Some(open) = self.requests.get_mut(id) else { return };
        let remaining_ms = open.deadline_unix_ms.saturating_sub(self.timestamp.unix_ms);
        let lookup_time = Span(remaining_ms.saturating_mul(MS)).clamp(MIN_LOOKUP_TIME, MAX_LOOKUP_TIME);
        let answer_by = time_after(self.timestamp.now, lookup_time);
        let lookup = self.pending_refusals.add(PendingRefusal { id: id.clone(), refusal, answer_by });
        open.state = RequestState::Refused { lookup };
        open.timeline.enter(Stage::LookUp, self.timestamp.now);
        self.effects.push(Effect::LookUpRun { lookup, key, fingerprint });
    }

    /// Handles the shell's report of what the processes have recorded about a key.
    pub(super) fn run_looked_up(&mut self, lookup: LookupId, run: RecordedRun) {
        let Some(PendingRefusal { id, refusal, .. }) = self.pending_refusals.by_lookup.remove(&lookup) else {
            return;
        };
        if let Some(knowledge) = self.knowledge_after_lookup(&id, run) {
            self.refuse_or_answer(&id, refusal, knowledge);
        }
    }

    /// Answers an attempt that must not be refused, because its operation ran or may have run.
    fn answer_unrefused(&mut self, id: &RequestId, outcome: RunOutcome) {
        if !std::mem::replace(&mut self.pending_refusals.run_logged, true) {
            let text = format!(
                "the request {} is answered rather than refused, since it ran or may have run in a process of this server; \
                 further ones are not logged",
                id.0
            );
            self.log(Level::Info, text);
        }
        self.respond_with_outcome(id, outcome);
        self.release(id);
    }

    /// Fails the requests whose look-ups take too long.
    pub(super) fn expire_refusals(&mut self) {
        while let Some(lookup) = self.pending_refusals.first_overdue(self.timestamp.now) {
            self.run_looked_up(lookup, RecordedRun::Unknown);
        }
    }

    /// Whether a refused request waits for a look-up.
    pub(super) fn is_refused(&self, id: &RequestId) -> bool {
        let state = self.requests.get(id).map(|open: &OpenRequest| open.state);
        matches!(state, Some(RequestState::Refused { .. }))
    }
}
