//! What a voter does about configuration changes: the leader validates a request against the content and proposes it; every
//! voter brings its copy of the content forward by what is applied.
//!
//! The content is not in the group's log snapshots: it is had from the voter's own durable copy, which the host makes when it
//! is asked to before the log is compacted, or from peers. A voter without the content of the last revision refuses requests.

use super::{ConsensusVoter, StateRole, VoterEffect, VoterId};
use crate::configuration_log::{
    ConfigurationEntry, ConfigurationRejected, ConfigurationRequest, ConfigurationSettings, MAX_ENTRY_BYTES,
};
use gradepin_config::change::{Commit, Revision};
use gradepin_config::configuration::Configuration;
use gradepin_config::digest::Version;
use gradepin_config::log::{CommitLog, LogLimits};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Nobody waits for the number of such a proposal: its answer goes by the request id.
const UNNUMBERED: u64 = 0;

/// What becomes of a request at a voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalAccepted {
    /// It is committed.
    Committed(Revision),
    /// It waits to be committed, under this revision if it is.
    Proposed(Revision),
}

/// Why a voter doesn't take a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalRejected {
    /// Another voter leads, or nobody that is heard here.
    NotLeader(Option<VoterId>),
    /// It is refused.
    Rejected(ConfigurationRejected),
}

/// What a leader has proposed on top of the content, in its term.
#[derive(Debug)]
struct Ahead {
    term: u64,
    state: Configuration,
    /// Revisions by request id.
    proposed: BTreeMap<Arc<str>, Revision>,
}

/// A voter's copy of the content.
#[derive(Debug)]
pub(super) struct Content {
    set: ConfigurationSettings,
    state: Option<Configuration>,
    /// Commits applied by this process: they bring a copy forward that the host hands in late.
    recent: CommitLog,
    ahead: Option<Ahead>,
    durable: Revision,
    asked_durable: Revision,
}

impl Default for Content {
    fn default() -> Self {
        Self {
            set: ConfigurationSettings::default(),
            state: None,
            recent: CommitLog::after_revision(Revision(0), LogLimits::default()),
            ahead: None,
            durable: Revision(0),
            asked_durable: Revision(0),
        }
    }
}

impl Content {
    fn revision(&self) -> Option<Revision> {
        self.state.as_ref().map(Configuration::revision)
    }

    /// The replicated state was read from a snapshot: what was applied before it is not known here.
    pub(super) fn restart(&mut self, committed: Version) {
        self.recent.restart(committed.revision);
        self.ahead = None;
    }

    /// A commit was applied. Says so if the copy is found to be another content than the group's.
    fn committed(&mut self, entry: &ConfigurationEntry) -> Option<String> {
        let commit = &entry.commit;
        if self.recent.push(Arc::clone(commit)).is_err() {
            self.recent.restart(commit.revision);
        }
        let state = self.state.as_mut().filter(|state| state.revision() == entry.base.revision)?;
        let same = state.version() == entry.base;
        if same && state.apply(commit).is_ok() && state.version() == entry.result {
            return None;
        }
        self.state = None;
        Some(format!(
            "the configuration here at revision {} is not the group's; it is left out until it was fetched from peers",
            entry.base.revision
        ))
    }

    /// A copy of the content from the host; one that is older than what is here changes nothing.
    fn hold(&mut self, configuration: &Configuration, committed: Version) {
        if self.revision().is_some_and(|revision| revision >= configuration.revision()) {
            return;
        }
        let mut state = configuration.clone();
        let missing = self.recent.after(state.revision()).into_iter().flatten();
        for commit in missing {
            if state.apply(commit).is_err() {
                return;
            }
        }
        if state.revision() == committed.revision
            && committed.revision > Revision(0)
            && state.version() != committed
        {
            return;
        }
        self.state = Some(state);
    }
}

impl ConsensusVoter {
    /// How changes are committed here when this voter leads.
    pub fn set_configuration(&mut self, mut set: ConfigurationSettings) {
        set.entry_bytes = set.entry_bytes.min(MAX_ENTRY_BYTES);
        self.content.set = set;
    }

    /// The host holds this content: from its durable copy, its start file or its peers.
    pub fn hold_configuration(&mut self, configuration: &Configuration) {
        self.content.hold(configuration, self.record.configuration.version());
    }

    /// The content that this voter holds; a clone of it shares its entries.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.content.state.as_ref()
    }

    /// The host's durable copy has this revision.
    pub fn configuration_durable(&mut self, revision: Revision) {
        self.content.durable = revision.max(self.content.durable);
    }

    /// Whether the log may be compacted as of now; if not, the host is asked for a durable copy.
    pub(super) fn may_compact(&mut self) -> bool {
        let committed = self.record.configuration.version().revision;
        if self.content.durable >= committed {
            return true;
        }
        if self.content.asked_durable < committed {
            self.content.asked_durable = committed;
            self.effects.push(VoterEffect::MakeDurable(committed));
        }
        false
    }

    /// Asks for a change here: on the leader it is validated and proposed; [`VoterEffect::Committed`] tells of its commit.
    pub fn request(&mut self, request: &ConfigurationRequest) -> Result<ProposalAccepted, ProposalRejected> {
        let id = &request.proposal.request_id;
        if let Some(revision) = self.record.configuration.revision_of(id) {
            return Ok(ProposalAccepted::Committed(revision));
        }
        let term = self.leads_and_is_current()?;
        if self.content.ahead.as_ref().is_none_or(|ahead| ahead.term != term) {
            self.content.ahead = Some(self.start_ahead(term).map_err(ProposalRejected::Rejected)?);
        }
        if let Some(revision) = self.content.ahead.as_ref().and_then(|ahead| ahead.proposed.get(id)) {
            return Ok(ProposalAccepted::Proposed(*revision));
        }
        self.validate_and_propose(request).map_err(ProposalRejected::Rejected)
    }

    /// The term, if this voter leads and has applied an entry of it: only then does it know all that was committed before.
    fn leads_and_is_current(&self) -> Result<u64, ProposalRejected> {
        let Some(node) = &self.node else { return Err(ProposalRejected::NotLeader(None)) };
        if node.raft.state != StateRole::Leader {
            return Err(ProposalRejected::NotLeader(Some(node.raft.leader_id).filter(|id| *id != 0)));
        }
        let term = node.raft.term;
        let applied = node.raft.raft_log.term(self.record.index).unwrap_or(0);
        if applied == term { Ok(term) } else { Err(ProposalRejected::NotLeader(None)) }
    }

    fn start_ahead(&self, term: u64) -> Result<Ahead, ConfigurationRejected> {
        let committed = self.record.configuration.version().revision;
        let current = self.content.state.as_ref().filter(|state| state.revision() == committed);
        let state = current.cloned();
        let state = state.ok_or(ConfigurationRejected::Behind { has: self.content.revision(), committed })?;
        Ok(Ahead { term, state, proposed: BTreeMap::new() })
    }

    fn validate_and_propose(
        &mut self,
        request: &ConfigurationRequest,
    ) -> Result<ProposalAccepted, ConfigurationRejected> {
        let proposal = &request.proposal;
        self.record.configuration.knows_since(request.seen)?;
        let set = self.content.set;
        let Some(ahead) = &self.content.ahead else { return Err(ConfigurationRejected::Busy) };
        ahead.state.check(proposal)?;
        let base = ahead.state.version();
        let commit = Arc::new(Commit {
            revision: base.revision.next(),
            author: proposal.author.clone(),
            reason: proposal.reason.clone(),
            request_id: proposal.request_id.clone(),
            proposed_at_ms: request.asked_at_ms,
            transaction: proposal.transaction.clone(),
        });
        let came = postcard::to_stdvec(&*commit).map_or(usize::MAX, |bytes| bytes.len());
        if came > set.entry_bytes as usize {
            return Err(ConfigurationRejected::TooLong { limit: set.entry_bytes, came });
        }
        let mut state = ahead.state.clone();
        state.apply(&commit).map_err(|_| ConfigurationRejected::Busy)?;
        let (result, revision) = (state.version(), commit.revision);
        let entry = ConfigurationEntry { base, result, seen: request.seen, history: set.history, commit };
        self.propose(UNNUMBERED, entry.command()).map_err(|_| ConfigurationRejected::Busy)?;
        if let Some(ahead) = &mut self.content.ahead {
            ahead.state = state;
            ahead.proposed.insert(proposal.request_id.clone(), revision);
        }
        Ok(ProposalAccepted::Proposed(revision))
    }

    /// An entry was applied and gave a new revision.
    pub(super) fn configuration_committed(&mut self, entry: &ConfigurationEntry) {
        if let Some(why) = self.content.committed(entry) {
            self.effects.push(VoterEffect::Log(true, why));
        }
        if let Some(ahead) = &mut self.content.ahead {
            ahead.proposed.remove(&entry.commit.request_id);
            // With nothing under way the content itself is the state to go by again.
            if ahead.proposed.is_empty() {
                self.content.ahead = None;
            }
        }
        self.effects.push(VoterEffect::Committed(Arc::clone(&entry.commit)));
    }
}
