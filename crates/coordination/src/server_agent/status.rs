//! Status of the consensus group as this server knows it, for operators.

use super::ServerAgent;
use crate::consensus::ConsensusVoter;
use crate::ids::Name;
use crate::messages::ServerReport;
use crate::permit_client::WaitingRequest;
use crate::replicated_state::ReplicatedState;
use gradepin_admission::{Span, Time, span_seconds};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The replicated state as this server knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownState {
    /// The voter's own state, or the last one polled.
    pub state: ReplicatedState,
    /// Age of the state in seconds; infinite on a voter that hasn't received a heartbeat of a leader.
    pub age_s: f64,
}

/// Versions that a server reported to run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RunningVersions {
    /// Program version.
    pub program: String,
    /// Digest of the settings.
    pub settings: String,
}

impl RunningVersions {
    fn of(report: &ServerReport) -> Self {
        Self { program: report.program.clone(), settings: report.settings.clone() }
    }
}

/// Status of the consensus group, for operators.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AgentStatus {
    /// The replicated state, if it is known here.
    pub known_state: Option<KnownState>,
    /// Name of the leader, if it is known here.
    pub leader: Option<Name>,
    /// Whether this server is a voter of a founded group.
    pub is_voter: bool,
    /// Why this server's voter is excluded until it is replaced, if it is.
    pub exclusion: Option<String>,
    /// Whether this server's voter restricts its votes because its disk may be an old copy.
    pub restricts_votes: bool,
    /// This server's permit request that isn't granted yet, if there is one.
    pub waiting_request: Option<WaitingRequest>,
    /// Servers of the roster without a fresh report that they are ready; only voters know them.
    pub not_ready: Vec<Name>,
    /// Versions that servers reported to run; only voters know them.
    pub versions: BTreeMap<Name, RunningVersions>,
}

impl ServerAgent {
    /// Returns the status as this server knows it.
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
