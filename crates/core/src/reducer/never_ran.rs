//! Proof that an operation never ran on this server: what a refusal promises.
//!
//! A server is every process that serves under its name: the two of an upgrade, and those before a crash whose store this
//! process took over. What each way of sharing runs lets a process know about an idempotency key:
//!
//! | runs are shared by | this process knows |
//! | --- | --- |
//! | nothing | all runs: its own table |
//! | claims | its own runs; a look-up tells those of the other process |
//! | a store that was read completely | all runs: a store has one owner, and its records are in the table |
//! | a store that is not open yet, or that lacks records | its own runs; nobody tells the others |
//!
//! A request without a key is known by its id: in this process for as long as it may come again, and by a claim where it must
//! run at most once.
//!
//! Invariant: a [`NeverRan`] is made here alone, from one of the rows that exclude a run.

use super::Reducer;
use super::open_requests::OpenRequest;
use crate::idempotency_table::{Fingerprint, RunOutcome};
use crate::messages::RecordedRun;
use gradepin_admission::{Idempotency, RequestId};
use std::sync::Arc;

/// Proof that no process of this server has run the operation of an attempt.
#[derive(Debug)]
pub(super) struct NeverRan(());

/// An attempt that is answered without being registered as open.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnregisteredAttempt<'a> {
    /// Id of the request.
    pub(super) id: &'a RequestId,
    /// Idempotency key, if its class is keyed.
    pub(super) key: Option<&'a str>,
    /// Slot of its class.
    pub(super) class: usize,
    /// When it reached the machine, in Unix milliseconds.
    pub(super) arrived_unix_ms: u64,
}

/// What this process knows about the run of an attempt's operation.
#[derive(Debug)]
pub(super) enum RunKnowledge {
    /// No process ran it.
    NeverRan(NeverRan),
    /// It ran, or may have run; attempts are answered with this outcome.
    Ran(RunOutcome),
    /// It did not run here, and the record of the other process has to be looked up.
    InOtherProcess,
}

impl Reducer {
    /// What is known about the run of an open request's operation.
    pub(super) fn knowledge_of(&self, id: &RequestId) -> Option<RunKnowledge> {
        let open = self.requests.get(id)?;
        if open.was_started() {
            return Some(RunKnowledge::Ran(RunOutcome::Failed));
        }
        Some(match open.key_and_fingerprint() {
            Some((key, fingerprint)) => self.knowledge_of_key(key, fingerprint, open),
            None if self.started_runs.contains(id) => RunKnowledge::Ran(RunOutcome::Unknown),
            None if self.claim_key(id).is_some() => RunKnowledge::InOtherProcess,
            None => RunKnowledge::NeverRan(NeverRan(())),
        })
    }

    fn knowledge_of_key(&self, key: &Arc<str>, fingerprint: Fingerprint, open: &OpenRequest) -> RunKnowledge {
        if let Some(outcome) = self.outcome_of_own_run(key, fingerprint, open.arrived_unix_ms) {
            return RunKnowledge::Ran(outcome);
        }
        if self.pending_claims.is_enabled() {
            return RunKnowledge::InOtherProcess;
        }
        if self.has_complete_store() {
            return RunKnowledge::NeverRan(NeverRan(()));
        }
        RunKnowledge::Ran(RunOutcome::Unknown)
    }

    /// What is known after the record of the other process was looked up. An attempt may have started here meanwhile.
    pub(super) fn knowledge_after_lookup(
        &self,
        id: &RequestId,
        recorded: RecordedRun,
    ) -> Option<RunKnowledge> {
        let outcome = match recorded {
            RecordedRun::None => match self.knowledge_of(id)? {
                RunKnowledge::InOtherProcess => return Some(RunKnowledge::NeverRan(NeverRan(()))),
                knowledge => return Some(knowledge),
            },
            RecordedRun::Ended(outcome) => outcome,
            RecordedRun::InProgress | RecordedRun::Unknown => RunOutcome::Failed,
        };
        Some(RunKnowledge::Ran(outcome))
    }

    /// Proves that an attempt that is not registered as open never ran. `None` if it ran, or if the other process has to be
    /// asked.
    pub(super) fn prove_never_ran(&self, attempt: &UnregisteredAttempt<'_>) -> Option<NeverRan> {
        let UnregisteredAttempt { id, key, class, arrived_unix_ms } = *attempt;
        let Some(key) = key else {
            let runs_once = self.classes.profile(class).effect == Idempotency::NonIdempotent;
            let has_other_process = runs_once && self.pending_claims.is_enabled();
            return (!has_other_process && !self.started_runs.contains(id)).then_some(NeverRan(()));
        };
        let knows_all_runs = !self.pending_claims.is_enabled() && self.has_complete_store();
        let has_run = self.idempotency_table.has_run(key, arrived_unix_ms);
        (knows_all_runs && !has_run).then_some(NeverRan(()))
    }

    /// Proves that a run whose start was requested never started: it waits for its claim or for its durable intent, and
    /// either is granted only to a key that no process has run. `None` if the run was sent to the processor.
    pub(super) fn prove_unstarted(&self, id: &RequestId) -> Option<NeverRan> {
        let open = self.requests.running(id)?;
        let was_sent = open.start_count > 0 || self.processor.is_unconfirmed(id);
        let excludes_others = self.pending_claims.is_enabled() || self.has_complete_store();
        (excludes_others && !was_sent).then_some(NeverRan(()))
    }

    /// Whether the table has the runs of all earlier processes, as far as these left any.
    fn has_complete_store(&self) -> bool {
        self.idempotency_log.knows_all_runs(self.timestamp.now)
    }

    /// Returns the outcome from which an attempt is answered if its key has run in this process, or in one whose store
    /// it took over: a failure while the run is in progress or if its result is not retained.
    fn outcome_of_own_run(
        &self,
        key: &Arc<str>,
        fingerprint: Fingerprint,
        arrived_unix_ms: u64,
    ) -> Option<RunOutcome> {
        if !self.idempotency_table.has_run(key, arrived_unix_ms) {
            return None;
        }
        if self.idempotency_table.is_recovered_without_end(key) {
            return Some(RunOutcome::Unknown);
        }
        let run = self.idempotency_table.known_run(key, self.timestamp.now);
        let outcome = run.filter(|run| run.fingerprint == fingerprint).and_then(|run| run.outcome);
        Some(outcome.unwrap_or(RunOutcome::Failed))
    }
}
