//! Configuration changes on a voter: the leader validates a request against the content and proposes it; every voter applies
//! what is committed to its copy of the content.
//!
//! The content isn't in the log's snapshots: it comes from the voter's own durable copy, which the host makes when asked before
//! the log is compacted, or from peers. Invariant: a leader proposes only against the content of the last committed revision
//! with all that it has proposed in its term on top; a voter without that content rejects requests.

use super::{ConsensusVoter, NO_VOTER, StateRole, VoterEffect, VoterId};
use crate::configuration_log::{
    ConfigurationEntry, ConfigurationRejected, ConfigurationRequest, ConfigurationSettings, MAX_ENTRY_BYTES,
};
use crate::ids::{Name, Term, Ticket};
use crate::replicated_state::Command;
use gradepin_config::change::{Commit, Revision};
use gradepin_config::configuration::Configuration;
use gradepin_config::digest::Version;
use gradepin_config::log::{CommitLog, LogLimits};
use slog::Level;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of these proposals: their outcome is matched by request id.
const UNNUMBERED: Ticket = 0;

/// What a voter does with a request that it accepts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalAccepted {
    /// It is committed already.
    Committed(Revision),
    /// It is proposed, and has this revision if it is committed.
    Proposed(Revision),
}

/// Why a voter rejects a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalRejected {
    /// Another voter leads, or none that is known here.
    NotLeader(Option<VoterId>),
    /// The change is rejected.
    Rejected(ConfigurationRejected),
}

/// The content with what a leader has proposed in its term and isn't committed yet.
#[derive(Debug)]
struct ProposedContent {
    term: Term,
    content: Configuration,
    /// The revisions of uncommitted proposals, by request id.
    revisions: BTreeMap<Name, Revision>,
}

/// A committed change couldn't be applied: this voter's copy of the content isn't the group's.
#[derive(Debug, thiserror::Error)]
#[error(
    "the configuration here at revision {revision} is not the group's; it is left out until it was fetched from peers"
)]
struct ContentDiverged {
    revision: Revision,
}

/// A voter's copy of the content.
#[derive(Debug)]
pub(super) struct Content {
    settings: ConfigurationSettings,
    current: Option<Configuration>,
    /// Commits applied by this process, which bring a copy up to date that the host provides late.
    recent: CommitLog,
    proposed: Option<ProposedContent>,
    /// The revision of the host's durable copy.
    durable: Revision,
    /// The last revision that the host was asked to make durable.
    requested_durable: Revision,
}

impl Default for Content {
    fn default() -> Self {
        Self {
            settings: ConfigurationSettings::default(),
            current: None,
            recent: CommitLog::after_revision(Revision(0), LogLimits::default()),
            proposed: None,
            durable: Revision(0),
            requested_durable: Revision(0),
        }
    }
}

impl Content {
    fn revision(&self) -> Option<Revision> {
        self.current.as_ref().map(Configuration::revision)
    }

    /// The replicated state was loaded from a snapshot: commits before it aren't known here.
    pub(super) fn restart(&mut self, committed: Version) {
        self.recent.restart(committed.revision);
        self.proposed = None;
    }

    /// Applies a commit. A copy that turns out to differ from the group's content is dropped.
    fn apply(&mut self, entry: &ConfigurationEntry) -> Result<(), ContentDiverged> {
        let commit = &entry.commit;
        if self.recent.push(Arc::clone(commit)).is_err() {
            self.recent.restart(commit.revision);
        }
        let is_base = |content: &&mut Configuration| content.revision() == entry.base.revision;
        let Some(content) = self.current.as_mut().filter(is_base) else { return Ok(()) };
        let is_same_base = content.version() == entry.base;
        if is_same_base && content.apply(commit).is_ok() && content.version() == entry.result {
            return Ok(());
        }
        self.current = None;
        Err(ContentDiverged { revision: entry.base.revision })
    }

    /// Takes a copy of the content from the host, unless it is older than what is here or isn't the group's.
    fn offer(&mut self, configuration: &Configuration, committed: Version) {
        if self.revision().is_some_and(|revision| revision >= configuration.revision()) {
            return;
        }
        let mut content = configuration.clone();
        let later_commits = self.recent.after(content.revision()).into_iter().flatten();
        for commit in later_commits {
            if content.apply(commit).is_err() {
                return;
            }
        }
        let is_committed_revision =
            committed.revision > Revision(0) && content.revision() == committed.revision;
        if is_committed_revision && content.version() != committed {
            return;
        }
        self.current = Some(content);
    }

    /// Removes a committed request from the proposals.
    fn forget_proposal(&mut self, request_id: &Name) {
        let Some(proposed) = &mut self.proposed else { return };
        proposed.revisions.remove(request_id);
        // Without uncommitted proposals the current content is what to validate against again.
        if proposed.revisions.is_empty() {
            self.proposed = None;
        }
    }
}

impl ConsensusVoter {
    /// Sets how this voter commits changes when it leads.
    pub fn set_configuration(&mut self, mut settings: ConfigurationSettings) {
        settings.entry_bytes = settings.entry_bytes.min(MAX_ENTRY_BYTES);
        self.content.settings = settings;
    }

    /// The host provides the content: its durable copy, its start file or its peers'.
    pub fn offer_configuration(&mut self, configuration: &Configuration) {
        self.content.offer(configuration, self.state.configuration.version());
    }

    /// This voter's copy of the content; a clone of it shares its entries.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.content.current.as_ref()
    }

    /// The host's durable copy has this revision.
    pub fn configuration_durable(&mut self, revision: Revision) {
        self.content.durable = revision.max(self.content.durable);
    }

    /// Whether the log may be compacted now; if not, the host is asked for a durable copy.
    pub(super) fn may_compact(&mut self) -> bool {
        let committed = self.state.configuration.version().revision;
        if self.content.durable >= committed {
            return true;
        }
        if self.content.requested_durable < committed {
            self.content.requested_durable = committed;
            self.effects.push(VoterEffect::MakeDurable(committed));
        }
        false
    }

    /// Requests a change: a leader validates and proposes it, and [`VoterEffect::Committed`] reports its commit.
    pub fn propose_configuration(
        &mut self,
        request: &ConfigurationRequest,
    ) -> Result<ProposalAccepted, ProposalRejected> {
        let id = &request.proposal.request_id;
        if let Some(revision) = self.state.configuration.revision_of(id) {
            return Ok(ProposalAccepted::Committed(revision));
        }
        let term = self.current_leader_term()?;
        if self.content.proposed.as_ref().is_none_or(|proposed| proposed.term != term) {
            self.content.proposed = Some(self.start_proposing(term).map_err(ProposalRejected::Rejected)?);
        }
        if let Some(revision) = self.content.proposed.as_ref().and_then(|proposed| proposed.revisions.get(id))
        {
            return Ok(ProposalAccepted::Proposed(*revision));
        }
        self.validate_and_propose(request).map_err(ProposalRejected::Rejected)
    }

    /// The term, if this voter leads and has applied an entry of it: only then does it know all that was committed before.
    fn current_leader_term(&self) -> Result<Term, ProposalRejected> {
        let Some(node) = &self.node else { return Err(ProposalRejected::NotLeader(None)) };
        if node.raft.state != StateRole::Leader {
            let leader = Some(node.raft.leader_id).filter(|id| *id != NO_VOTER);
            return Err(ProposalRejected::NotLeader(leader));
        }
        let term = node.raft.term;
        let applied_term = node.raft.raft_log.term(self.state.index).unwrap_or(0);
        if applied_term == term { Ok(term) } else { Err(ProposalRejected::NotLeader(None)) }
    }

    fn start_proposing(&self, term: Term) -> Result<ProposedContent, ConfigurationRejected> {
        let committed = self.state.configuration.version().revision;
        let current = self.content.current.as_ref().filter(|content| content.revision() == committed);
        match current {
            Some(content) => {
                Ok(ProposedContent { term, content: content.clone(), revisions: BTreeMap::new() })
            }
            None => Err(ConfigurationRejected::Behind { has: self.content.revision(), committed }),
        }
    }

    fn validate_and_propose(
        &mut self,
        request: &ConfigurationRequest,
    ) -> Result<ProposalAccepted, ConfigurationRejected> {
        let proposal = &request.proposal;
        self.state.configuration.check_seen(request.seen)?;
        let settings = self.content.settings;
        let Some(proposed) = &self.content.proposed else { return Err(ConfigurationRejected::Busy) };
        proposed.content.check_proposal(proposal)?;
        let base = proposed.content.version();
        let commit = commit_of(request, base.revision.next());
        check_length(&commit, settings.entry_bytes)?;
        let mut content = proposed.content.clone();
        content.apply(&commit).map_err(|_| ConfigurationRejected::Busy)?;
        let (result, revision) = (content.version(), commit.revision);
        let entry =
            ConfigurationEntry { base, result, seen: request.seen, history: settings.history, commit };
        self.propose(UNNUMBERED, Command::Configuration(Box::new(entry)))
            .map_err(|_| ConfigurationRejected::Busy)?;
        if let Some(proposed) = &mut self.content.proposed {
            proposed.content = content;
            proposed.revisions.insert(proposal.request_id.clone(), revision);
        }
        Ok(ProposalAccepted::Proposed(revision))
    }

    /// An entry was applied and gave a new revision.
    pub(super) fn configuration_committed(&mut self, entry: &ConfigurationEntry) {
        if let Err(diverged) = self.content.apply(entry) {
            self.log(Level::Warning, diverged.to_string());
        }
        self.content.forget_proposal(&entry.commit.request_id);
        self.effects.push(VoterEffect::Committed(Arc::clone(&entry.commit)));
    }
}

fn commit_of(request: &ConfigurationRequest, revision: Revision) -> Arc<Commit> {
    let proposal = &request.proposal;
    Arc::new(Commit {
        revision,
        author: proposal.author.clone(),
        reason: proposal.reason.clone(),
        request_id: proposal.request_id.clone(),
        proposed_at_ms: request.requested_at_ms,
        transaction: proposal.transaction.clone(),
    })
}

fn check_length(commit: &Commit, limit: u32) -> Result<(), ConfigurationRejected> {
    let entry_bytes = postcard::to_stdvec(commit).map_or(usize::MAX, |bytes| bytes.len());
    if entry_bytes > limit as usize {
        return Err(ConfigurationRejected::TooLong { limit, got: entry_bytes });
    }
    Ok(())
}
