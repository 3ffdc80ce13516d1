//! The founding of the consensus group: which voters it begins with, and what a request to found it is answered.
//!
//! Founding may be asked for again, at any voter and at any time: an answer may be lost, and a voter may be heard late. The
//! same voters give the same answer. Invariant: a group that has committed an entry is never founded anew, as a voter that
//! was founded twice could have forgotten a vote; whoever is late learns of such a group from its leader.

use crate::consensus::{ConsensusVoter, VoterId};
use crate::replicated_state::Name;
use gradepin_admission::{Span, Time, span_seconds, time_after};
use std::collections::BTreeMap;

/// How long the founding is sent to voters that have not taken it. Asking again sends it for as long again.
const SENT_FOR: Span = Span(10_000_000_000);
/// The index that every voter is founded with; a greater one means that a leader has committed something.
const FOUNDING_INDEX: u64 = 1;

/// Why the group is not founded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FoundingError {
    /// This server can't be a voter.
    #[error("this server has no folder for a council")]
    NoFolder,
    /// A voter of the settings has not been heard lately.
    #[error("{0} isn't heard; ask again once it is")]
    NotHeard(Name),
    /// A voter of the settings can't be one.
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
    /// The settings name no usable number of voters.
    #[error("expected 3 or 5 voters, or 1, got {0}")]
    Count(usize),
}

/// What another server reported of its voter's folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedVoter {
    /// The identity of the folder, if it has one.
    pub id: Option<VoterId>,
    /// Whether it belongs to a group.
    pub founded: bool,
}

/// What the founding has to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundingStep {
    /// Nothing.
    Idle,
    /// Send the founding to the other voters.
    Send(BTreeMap<VoterId, Name>),
    /// Not all voters took it within this time; asking again goes on with it.
    GivenUp(Span),
}

#[derive(Debug)]
struct Sending {
    voters: BTreeMap<VoterId, Name>,
    since: Time,
}

/// The founding as one server knows it.
#[derive(Debug)]
pub struct Founding {
    /// The voters that the settings name, sorted.
    configured: Vec<Name>,
    sending: Option<Sending>,
}

/// Names for a message, sorted.
fn list<'a>(names: impl IntoIterator<Item = &'a Name>) -> String {
    let mut names: Vec<&str> = names.into_iter().map(|name| &**name).collect();
    names.sort_unstable();
    names.join(", ")
}

/// What a founding is answered, each time it is asked for.
pub fn answer(voters: &BTreeMap<VoterId, Name>) -> String {
    format!("a council of {} is founded", list(voters.values()))
}

impl Founding {
    /// With the voters that the settings name.
    pub fn new(configured: &[Name]) -> Self {
        let mut configured = configured.to_vec();
        configured.sort();
        Self { configured, sending: None }
    }

    /// Somebody asks for the founding here. Gives the voters of the group, to be founded here if it is not yet.
    pub fn ask(
        &mut self,
        now: Time,
        own: &Name,
        council: &ConsensusVoter,
        reported: impl Fn(&Name) -> Option<ReportedVoter>,
    ) -> Result<BTreeMap<VoterId, Name>, FoundingError> {
        let voters = if council.is_founded() {
            let voters = council.record().voters.clone();
            self.accepts(&voters)?;
            voters
        } else {
            self.gather(own, council.id(), reported)?
        };
        if council.record().index <= FOUNDING_INDEX {
            self.sending = Some(Sending { voters: voters.clone(), since: now });
        }
        Ok(voters)
    }

    /// Whether these are the voters that the settings name.
    pub fn accepts(&self, voters: &BTreeMap<VoterId, Name>) -> Result<(), FoundingError> {
        let mut named: Vec<&Name> = voters.values().collect();
        named.sort();
        if named.into_iter().eq(&self.configured) {
            return Ok(());
        }
        Err(FoundingError::OtherVoters { runs: list(voters.values()), configured: list(&self.configured) })
    }

    fn gather(
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

    /// What is due; `founded` tells whether a server reported that it belongs to a group.
    pub fn step(&mut self, now: Time, own: &Name, founded: impl Fn(&Name) -> bool) -> FoundingStep {
        let Some(sending) = &self.sending else { return FoundingStep::Idle };
        if sending.voters.values().all(|voter| voter == own || founded(voter)) {
            self.sending = None;
            return FoundingStep::Idle;
        }
        if now < time_after(sending.since, SENT_FOR) {
            return FoundingStep::Send(sending.voters.clone());
        }
        self.sending = None;
        FoundingStep::GivenUp(SENT_FOR)
    }
}

impl FoundingStep {
    /// What to log, if anything.
    pub fn note(&self) -> Option<String> {
        let Self::GivenUp(span) = self else { return None };
        Some(format!(
            "not all voters founded the council within {:.0} s; it may be asked for again",
            span_seconds(*span)
        ))
    }
}
