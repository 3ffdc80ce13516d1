//! Claims of runs that must not be repeated, keyed ones and those of classes that run once, for the two processes of an upgrade that share them. A run is sent to the processor once this
//! process has claimed it; a run of the other process also answers the attempts that arrive here.
//!
//! The admission module sees a request as running while its claim is pending. [`crate::pending_claims`] tracks which
//! requests wait; the shell keeps the claims as files.

use super::Reducer;
use crate::idempotency_table::{Fingerprint, RunOutcome};
use crate::messages::{Effect, RunClaim};
use gradepin_admission::{Event, Idempotency, Outcome, RequestId, Span};
use slog::Level;
use std::sync::Arc;

/// Prefix of the key under which the run of a request without an idempotency key is claimed. Longer than any idempotency
/// key, so that no client can choose the key of another one's request.
const ID_CLAIM_PREFIX: &str = "run of a request that has no idempotency key, claimed by its id: ";

impl Reducer {
    /// Starts using the folder of claims; `salt` keys the fingerprints of both processes.
    pub(super) fn runs_shared(&mut self, salt: u64) {
        self.recovery.salt = salt;
        self.log(Level::Info, "keyed runs are now shared with the other process of the upgrade".into());
    }

    /// The key and the fingerprint under which the run of a request is claimed, if the processes share such runs: the
    /// idempotency key, or the id of a request that must run at most once and has no key.
    pub(super) fn claim_key(&self, id: &RequestId) -> Option<(Arc<str>, Fingerprint)> {
        let open = self.requests.get(id).filter(|_| self.pending_claims.is_enabled())?;
        if let Some((key, fingerprint)) = open.key_and_fingerprint() {
            return Some((Arc::clone(key), fingerprint));
        }
        let runs_once = self.classes.profile(open.class).effect == Idempotency::NonIdempotent;
        runs_once.then(|| (Arc::from(format!("{ID_CLAIM_PREFIX}{}", id.0)), 0))
    }

    /// Requests the claim of a run, which must precede sending it.
    pub(super) fn claim_run(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get(id) else { return };
        let Some((key, fingerprint)) = self.claim_key(id) else { return };
        let deadline = self.classes.profile(open.class).deadline;
        let timeout = self.pending_claims.add(id, deadline);
        self.effects.push(Effect::ClaimRun { id: id.clone(), key, fingerprint, timeout });
    }

    /// Handles the shell's report of which process owns a run.
    pub(super) fn run_claimed(&mut self, id: &RequestId, claim: RunClaim) {
        if !self.pending_claims.remove(id) {
            return;
        }
        match claim {
            RunClaim::Ours => self.send_run(id),
            RunClaim::Ended(outcome) => self.complete_from_other_process(id, outcome),
            RunClaim::Unavailable => self.reject_unstarted_run(id),
            RunClaim::Unknown => self.fail_unstarted_run(id),
        }
    }

    /// Answers a request that the other process ran, and all attempts that wait for it.
    fn complete_from_other_process(&mut self, id: &RequestId, run: RunOutcome) {
        let Some(open) = self.requests.running(id) else { return };
        let key = open.idempotency_key.clone();
        self.respond_with_outcome(id, run.clone());
        self.forget_request(id);
        // Nothing was started here, so the admission module must not learn from the duration.
        let outcome = Outcome::NotStarted;
        self.events.push(Event::Completed { id: id.clone(), outcome, took: Span(0) });
        let Some(key) = key else { return };
        for repeat in self.idempotency_table.run_ended(&key, id, Some(run.clone())) {
            self.respond_to_repeat(&repeat, run.clone());
        }
    }

    /// Releases the claim of a run, so that the other process can learn its outcome; without an `outcome` the run never
    /// started.
    pub(super) fn release_claim(&mut self, key: &Arc<str>, outcome: Option<RunOutcome>) {
        if !self.pending_claims.is_enabled() {
            return;
        }
        let run = self.idempotency_table.known_run(key, self.timestamp.now);
        let fingerprint = run.map_or(0, |run| run.fingerprint);
        self.effects.push(Effect::ReleaseClaim { key: Arc::clone(key), fingerprint, outcome });
    }
}
