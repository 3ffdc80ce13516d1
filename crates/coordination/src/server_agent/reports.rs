//! Reports of this server to the voters, the founding of the group, and polls of the replicated state by servers that aren't
//! voters.

use super::messages::AgentMessage;
use super::{STATE_POLL_INTERVAL, ServerAgent};
use crate::consensus::VoterId;
use crate::founding::{self, FoundingError, FoundingStep, ReportedVoter};
use crate::ids::{Incarnation, Name};
use crate::messages::ServerReport;
use crate::replicated_state::ReplicatedState;
use gradepin_admission::Time;
use slog::Level;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The replicated state that a voter sent.
pub(super) struct PolledState {
    /// State as of the voter's last applied entry.
    pub state: ReplicatedState,
    /// Time at which the state was received.
    pub received_at: Time,
}

impl ServerAgent {
    /// Sets the report to send from now on. A change of readiness or of the failed step is sent at once.
    pub fn set_report(&mut self, now: Time, report: ServerReport) {
        if report.ready != self.report.ready || report.failed != self.report.failed {
            self.next_report = now;
        }
        self.report = report;
    }

    /// Records a server's report. A voter whose group isn't founded yet records reports too, as the founding needs them.
    pub(super) fn record_report(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        report: ServerReport,
    ) {
        if let Some(voter) = &self.voter {
            self.controller.record_report(now, voter.state(), from, incarnation, report);
        }
    }

    /// Sends this server's report to all voters, and the founding if one is in progress.
    pub(super) fn send_report(&mut self, now: Time) {
        if let Some(voter) = &self.voter {
            self.report.voter = Some(voter.id()).filter(|_| voter.excluded().is_none());
            self.report.founded = voter.is_founded();
        }
        self.update_voters();
        let message = AgentMessage::Report(Box::new(self.report.clone()));
        for voter in self.settings.voters.clone() {
            if self.is_own_name(&voter) {
                let incarnation = self.settings.incarnation;
                self.record_report(now, &voter, incarnation, self.report.clone());
            } else {
                self.send(&voter, &message);
            }
        }
        self.send_founding(now);
    }

    /// Updates the known voters: those of the replicated state, and those of the settings, which may not have joined the group
    /// yet.
    fn update_voters(&mut self) {
        let Some(state) = self.state() else { return };
        let mut voters: Vec<Name> = state.voters.values().cloned().collect();
        let is_unknown = |name: &&Name| !state.voters.values().any(|voter| voter == *name);
        voters.extend(self.settings.voters.iter().filter(is_unknown).cloned());
        self.permit_client.set_voters(voters.clone());
        self.settings.voters = voters;
    }

    /// Founds the group with the voters in the settings, each of which must have reported an empty voter state. A repeated
    /// request, here or at another voter, returns the same response.
    pub fn found(&mut self, now: Time) -> Result<String, FoundingError> {
        let voter = self.voter.as_ref().ok_or(FoundingError::NoFolder)?;
        let reported = |name: &Name| {
            let (report, age) = self.controller.report(now, name)?;
            let is_fresh = age <= self.settings.controller.fresh_for;
            is_fresh.then_some(ReportedVoter { id: report.voter, founded: report.founded })
        };
        let voters = self.founding.request(now, &self.settings.name, voter, reported)?;
        self.found_with(&voters);
        Ok(founding::response(&voters))
    }

    /// Founds the group with these voters, if they are the ones in the settings and no group is founded here.
    pub(super) fn found_with(&mut self, voters: &BTreeMap<VoterId, Name>) {
        let Some(voter) = self.voter.as_mut().filter(|voter| !voter.is_founded()) else { return };
        if let Err(error) = self.founding.check(voters) {
            return self.log(Level::Warning, format!("the council is not founded here: {error}"));
        }
        if voter.found(voters).is_ok() {
            self.log(Level::Info, "the council is founded with this server as a voter".into());
        }
    }

    /// Sends the founding to the other voters while some of them haven't accepted it.
    fn send_founding(&mut self, now: Time) {
        let own_name = self.own_name();
        let is_founded =
            |name: &Name| self.controller.report(now, name).is_some_and(|(report, _)| report.founded);
        let step = self.founding.step(now, &own_name, is_founded);
        if let Some(text) = step.warning() {
            self.log(Level::Warning, text);
        }
        if let FoundingStep::Send(voters) = step {
            let message = AgentMessage::Found(voters.clone());
            for voter in voters.values().filter(|voter| **voter != own_name) {
                self.send(voter, &message);
            }
        }
    }

    /// Asks a voter for the replicated state, if this server isn't a voter itself. Successive polls ask different voters.
    pub(super) fn poll_state(&mut self) {
        if self.founded_voter().is_some() || self.settings.voters.is_empty() {
            return;
        }
        let polls = self.next_state_poll.0 as usize / STATE_POLL_INTERVAL.0 as usize;
        let position = self.commands.received_count() as usize + polls;
        let voter = Arc::clone(&self.settings.voters[position % self.settings.voters.len()]);
        if !self.is_own_name(&voter) {
            self.send(&voter, &AgentMessage::StateRequest);
        }
    }

    /// Sends the replicated state to a server that requested it.
    pub(super) fn send_state(&mut self, to: &Name) {
        if let Some(voter) = self.founded_voter() {
            let message = AgentMessage::State(Box::new(voter.state().clone()));
            self.send(to, &message);
        }
    }

    /// Records the replicated state that a voter sent, unless a state of a later entry is known.
    pub(super) fn record_polled_state(&mut self, now: Time, state: ReplicatedState) {
        let is_newer = self.polled_state.as_ref().is_none_or(|known| state.index >= known.state.index);
        if is_newer {
            self.polled_state = Some(PolledState { state, received_at: now });
        }
    }
}
