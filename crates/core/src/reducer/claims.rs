//! Keyed runs that the two processes of an upgrade share: a run is begun once it is claimed, and one of the other
//! process answers the tries here too. To the module it runs meanwhile, as it does anywhere on this server.

use super::Reducer;
use crate::idempotency_table::RunOutcome;
use crate::messages::{Effect, RunClaim};
use gradepin_admission::{Event, Outcome, RequestId, Span};
use std::sync::Arc;

impl Reducer {
    /// Has the run of a keyed request claimed before it begins.
    pub(super) fn claim(&mut self, id: &RequestId) {
        let Some(open) = self.requests.get(id) else { return };
        let Some((token, print)) = open.key() else { return };
        let patience = self.claims.asked(id, self.classes.profile(open.class).deadline);
        self.effects.push(Effect::ClaimRun {
            id: id.clone(),
            key: Arc::clone(token),
            fingerprint: print,
            timeout: patience,
        });
    }

    /// It is told whose the run is.
    pub(super) fn claimed(&mut self, id: &RequestId, claim: RunClaim) {
        if !self.claims.told(id) {
            return;
        }
        match claim {
            RunClaim::Ours => self.begin(id),
            RunClaim::Ended(end) => self.ran_elsewhere(id, end),
            RunClaim::Unknown => self.never_ran(id),
        }
    }

    /// The other process ran it: its end answers this try and all that wait for it.
    fn ran_elsewhere(&mut self, id: &RequestId, end: RunOutcome) {
        let Some(open) = self.requests.running(id) else { return };
        let token = open.token.clone();
        self.answer_end(id, end.clone());
        self.forget(id);
        // Nothing was started here, and nothing is to be learnt of how long it took.
        self.events.push(Event::Completed { id: id.clone(), outcome: Outcome::NotStarted, took: Span(0) });
        let waiters = token.map(|token| self.keys.ended(&token, id, Some(end.clone()))).unwrap_or_default();
        for waiter in waiters {
            self.joined(&waiter, end.clone());
        }
    }

    /// A keyed run has its end, or with none never began: the other process is to know.
    pub(super) fn claim_ended(&mut self, token: &Arc<str>, end: Option<RunOutcome>) {
        if self.claims.is_on() {
            let print = self.keys.known(token, self.moment.now).map_or(0, |known| known.print);
            self.effects.push(Effect::ReleaseClaim {
                key: Arc::clone(token),
                fingerprint: print,
                outcome: end,
            });
        }
    }
}
