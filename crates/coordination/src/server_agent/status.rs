//! What operators are shown of the fleet's agreements.

use super::ServerAgent;
use crate::consensus::ConsensusVoter;
use crate::ids::Name;
use crate::messages::ServerReport;
use crate::permit_client::WaitingRequest;
use crate::replicated_state::ReplicatedState;
use gradepin_admission::{Span, Time, span_seconds};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The replicated state as it is known here.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownState {
    /// The state.
    pub state: ReplicatedState,
    /// Its age in seconds; infinite on a voter that hasn't received a heartbeat of a leader.
    pub age_s: f64,
}

/// What a server reported to run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RunningVersions {
    /// Its program.
    pub program: String,
    /// Its settings.
    pub settings: String,
}

impl RunningVersions {
    fn of(report: &ServerReport) -> Self {
        Self { program: report.program.clone(), settings: report.settings.clone() }
    }
}

/// What operators are shown.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AgentStatus {
    /// The replicated state; none if it isn't known here.
    pub known_state: Option<KnownState>,
    /// The leader, as far as it is known here.
    pub leader: Option<Name>,
    /// Whether this server is a voter of a group.
    pub is_voter: bool,
    /// Why its voter takes no part until it is replaced.
    pub exclusion: Option<String>,
    /// Whether its voter restricts its votes because its disk may be an old copy.
    pub restricts_votes: bool,
    /// The permit request of this server that isn't granted yet.
    pub waiting_request: Option<WaitingRequest>,
    /// Servers of the roster that don't report to be ready; known to voters alone.
    pub not_ready: Vec<Name>,
    /// What servers reported to run; known to voters alone.
    pub versions: BTreeMap<Name, RunningVersions>,
}

impl ServerAgent {
    /// The fleet's agreements as they are known here.
    pub fn status(&self, now: Time) -> AgentStatus {
        let founded = self.founded_voter();
        let not_ready = founded.map(|voter| self.controller.not_ready(now, voter.state()));
        let reports = self.controller.reports();
        AgentStatus {
            known_state: self.known_state(now),
            leader: founded.and_then(leader_name),
            is_voter: founded.is_some(),
            exclusion: self
                .voter
                .as_ref()
                .and_then(|voter| voter.excluded())
                .map(|reason| reason.to_string()),
            restricts_votes: founded.is_some_and(ConsensusVoter::restricts_votes),
            waiting_request: self.permit_client.waiting_request(now),
            not_ready: not_ready.into_iter().flatten().collect(),
            versions: reports.map(|(name, report)| (Arc::clone(name), RunningVersions::of(report))).collect(),
        }
    }

    fn known_state(&self, now: Time) -> Option<KnownState> {
        if let Some(voter) = self.founded_voter() {
            let age_s = voter.leader_heartbeat_age(now).map_or(f64::INFINITY, span_seconds);
            return Some(KnownState { state: voter.state().clone(), age_s });
        }
        let polled = self.polled_state.as_ref()?;
        let age_s = span_seconds(Span(now.0 - polled.received_at.0));
        Some(KnownState { state: polled.state.clone(), age_s })
    }
}

fn leader_name(voter: &ConsensusVoter) -> Option<Name> {
    voter.state().voters.get(&voter.leader()?).cloned()
}
