//! Founds the consensus group with its first voters, and answers requests to found it.
//!
//! Founding is idempotent: a response may be lost or a voter's report late, so founding may be requested again at any voter and
//! any time, and the same voters get the same response. Invariant: a group that has committed an entry is never founded again,
//! because a voter that is founded twice could forget a vote. A late voter learns of such a group from the group's leader.

use crate::consensus::{ConsensusVoter, VoterId};
use crate::ids::{LogIndex, Name};
use gradepin_admission::{Span, Time, span_seconds, time_after};
use std::collections::BTreeMap;

/// Time for which the founding is sent to voters that haven't accepted it. Another request restarts it.
const SEND_TIMEOUT: Span = Span(10_000_000_000);
/// Index of the state that every voter is founded with; a greater one means that a leader has committed an entry.
const FOUNDING_INDEX: LogIndex = 1;

/// Reason for not founding the group.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FoundingError {
    /// This server has no voter state.
    #[error("this server has no council folder")]
    NoFolder,
    /// A voter that the settings name has not reported lately.
    #[error("{0} has not reported lately; retry once it reports")]
    NotHeard(Name),
    /// A voter that the settings name has no voter state.
    #[error("{0} has no council folder")]
    NoFolderAt(Name),
    /// This server belongs to no group and another voter does.
    #[error(
        "{0} already belongs to a council: its leader updates this server within a second if it is a voter there, otherwise add it as a voter"
    )]
    RunsElsewhere(Name),
    /// This server belongs to a group whose voters differ from those in the settings.
    #[error("a council of {runs} runs already, the settings here name {configured}")]
    OtherVoters {
        /// Names of the group's voters.
        runs: String,
        /// Names of the voters in the settings.
        configured: String,
    },
    /// The settings name an unsupported number of voters, or two of them report the same identity.
    #[error("expected 3 or 5 voters, or 1, got {0}")]
    Count(usize),
}

/// The voter state of another server, as that server reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedVoter {
    /// Identity of the voter state, if the server has one.
    pub id: Option<VoterId>,
    /// Whether the voter state belongs to a consensus group.
    pub founded: bool,
}

/// Next step of a founding in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoundingStep {
    /// Nothing to do.
    Idle,
    /// Send these voters to the other voters, so that they found the group too.
    Send(BTreeMap<VoterId, Name>),
    /// Not all voters accepted the founding within this time; sending stops until the next request.
    TimedOut(Span),
}

#[derive(Debug)]
struct Sending {
    voters: BTreeMap<VoterId, Name>,
    since: Time,
}

/// The founding on one server.
#[derive(Debug)]
pub struct Founding {
    /// Names of the voters in the settings, sorted.
    configured: Vec<Name>,
    sending: Option<Sending>,
}

/// Joins names in sorted order.
fn list_names<'a>(names: impl IntoIterator<Item = &'a Name>) -> String {
    let mut names: Vec<&str> = names.into_iter().map(|name| &**name).collect();
    names.sort_unstable();
    names.join(", ")
}

/// Returns the response to each request of a founding that succeeded.
pub fn response(voters: &BTreeMap<VoterId, Name>) -> String {
    format!("a council of {} is founded", list_names(voters.values()))
}

impl Founding {
    /// Creates a founding for the voters in the settings.
    pub fn new(configured: &[Name]) -> Self {
        let mut configured = configured.to_vec();
        configured.sort();
        Self { configured, sending: None }
    }

    /// Handles a request to found the group. Returns the voters of the group; the caller founds it here if it isn't founded
    /// yet.
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

    /// Checks that these are the voters in the settings.
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

    /// Returns the next step; `is_founded` tells whether a server has reported that it belongs to a group.
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
    /// Returns the warning to log, if the step is a failure.
    pub fn warning(&self) -> Option<String> {
        let Self::TimedOut(span) = self else { return None };
        Some(format!(
            "not all voters accepted the founding of the council within {:.0} s; request it again",
            span_seconds(*span)
        ))
    }
}
