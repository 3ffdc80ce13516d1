//! The founding of the consensus group: which voters it starts with, and the response to a request to found it.
//!
//! Founding may be requested again, at any voter and at any time: a response may be lost, and a voter's report may be late. The
//! same voters give the same response. Invariant: a group that has committed an entry is never founded again, as a voter that
//! was founded twice could have forgotten a vote; a late voter learns of such a group from its leader.

use crate::consensus::{ConsensusVoter, VoterId};
use crate::ids::{LogIndex, Name};
use gradepin_admission::{Span, Time, span_seconds, time_after};
use std::collections::BTreeMap;

/// How long the founding is sent to voters that haven't accepted it. Another request sends it for as long again.
const SEND_TIMEOUT: Span = Span(10_000_000_000);
/// The index that every voter is founded with; a greater one means that a leader has committed an entry.
const FOUNDING_INDEX: LogIndex = 1;

/// Why the group isn't founded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FoundingError {
    /// This server has no voter state.
    #[error("this server has no folder for a council")]
    NoFolder,
    /// A voter of the settings has not reported lately.
    #[error("{0} isn't heard; ask again once it is")]
    NotHeard(Name),
    /// A voter of the settings has no voter state.
    #[error("{0} has no folder for a council")]
    NoFolderAt(Name),
    /// This server belongs to no group and another voter does.
    #[error(
        "{0} belongs to a council already; a voter of it takes it over within a second, another one is to be put in"
    )]
    RunsElsewhere(Name),
    /// This server belongs to a group of other voters than its settings name.
    #[error("a council of {runs} runs already, the settings here name {configured}")]
    OtherVoters {
        /// The voters of the group.
        runs: String,
        /// The voters of the settings.
        configured: String,
    },
    /// The settings name an unsupported number of voters.
    #[error("expected 3 or 5 voters, or 1, got {0}")]
    Count(usize),
}

/// What another server reported of its voter state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedVoter {
    /// The identity, if it has one.
    pub id: Option<VoterId>,
    /// Whether it belongs to a group.
    pub founded: bool,
}

/// What is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundingStep {
    /// Nothing.
    Idle,
    /// Send the founding to the other voters.
    Send(BTreeMap<VoterId, Name>),
    /// Not all voters accepted it within this time; another request continues it.
    TimedOut(Span),
}

#[derive(Debug)]
struct Sending {
    voters: BTreeMap<VoterId, Name>,
    since: Time,
}

/// The founding, on one server.
#[derive(Debug)]
pub struct Founding {
    /// The voters that the settings name, sorted.
    configured: Vec<Name>,
    sending: Option<Sending>,
}

/// Lists names, sorted.
fn list_names<'a>(names: impl IntoIterator<Item = &'a Name>) -> String {
    let mut names: Vec<&str> = names.into_iter().map(|name| &**name).collect();
    names.sort_unstable();
    names.join(", ")
}

/// The response to each request of a founding that succeeded.
pub fn response(voters: &BTreeMap<VoterId, Name>) -> String {
    format!("a council of {} is founded", list_names(voters.values()))
}

impl Founding {
    /// With the voters that the settings name.
    pub fn new(configured: &[Name]) -> Self {
        let mut configured = configured.to_vec();
        configured.sort();
        Self { configured, sending: None }
    }

    /// Requests the founding here. The voters of the group, which is to be founded here if it isn't yet.
    pub fn request(
        &mut self,
        now: Time,
        own: &Name,
        consensus: &ConsensusVoter,
        reported: impl Fn(&Name) -> Option<ReportedVoter>,
    ) -> Result<BTreeMap<VoterId, Name>, FoundingError> {
        let voters = if consensus.is_founded() {
            let voters = consensus.state().voters.clone();
            self.check(&voters)?;
            voters
        } else {
            self.reported_voters(own, consensus.id(), reported)?
        };
        if consensus.state().index <= FOUNDING_INDEX {
            self.sending = Some(Sending { voters: voters.clone(), since: now });
        }
        Ok(voters)
    }

    /// Checks that these are the voters that the settings name.
    pub fn check(&self, voters: &BTreeMap<VoterId, Name>) -> Result<(), FoundingError> {
        let mut named: Vec<&Name> = voters.values().collect();
        named.sort();
        if named.into_iter().eq(&self.configured) {
            return Ok(());
        }
        Err(FoundingError::OtherVoters {
            runs: list_names(voters.values()),
            configured: list_names(&self.configured),
        })
    }

    fn reported_voters(
        &self,
        own: &Name,
        own_id: VoterId,
        reported: impl Fn(&Name) -> Option<ReportedVoter>,
    ) -> Result<BTreeMap<VoterId, Name>, FoundingError> {
        let mut voters = BTreeMap::new();
        for name in &self.configured {
            let id = if name == own {
                own_id
            } else {
                let voter = reported(name).ok_or_else(|| FoundingError::NotHeard(name.clone()))?;
                if voter.founded {
                    return Err(FoundingError::RunsElsewhere(name.clone()));
                }
                voter.id.ok_or_else(|| FoundingError::NoFolderAt(name.clone()))?
            };
            voters.insert(id, name.clone());
        }
        if voters.len() != self.configured.len() || voters.len().is_multiple_of(2) {
            return Err(FoundingError::Count(voters.len()));
        }
        Ok(voters)
    }

    /// What is due; `is_founded` says whether a server reported that it belongs to a group.
    pub fn step(&mut self, now: Time, own: &Name, is_founded: impl Fn(&Name) -> bool) -> FoundingStep {
        let Some(sending) = &self.sending else { return FoundingStep::Idle };
        if sending.voters.values().all(|voter| voter == own || is_founded(voter)) {
            self.sending = None;
            return FoundingStep::Idle;
        }
        if now < time_after(sending.since, SEND_TIMEOUT) {
            return FoundingStep::Send(sending.voters.clone());
        }
        self.sending = None;
        FoundingStep::TimedOut(SEND_TIMEOUT)
    }
}

impl FoundingStep {
    /// What to log, if anything.
    pub fn warning(&self) -> Option<String> {
        let Self::TimedOut(span) = self else { return None };
        Some(format!(
            "not all voters founded the council within {:.0} s; it may be asked for again",
            span_seconds(*span)
        ))
    }
}
