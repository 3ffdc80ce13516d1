//! Configuration changes on a voter: the leader validates a request against the content and proposes it; every voter applies
//! committed changes to its copy of the content.
//!
//! Snapshots of the log don't contain the content. It comes from peers or from the voter's own durable copy, which the host
//! writes on request before the log is compacted. Invariant: a leader validates a request against the content of the last
//! committed revision plus its own uncommitted proposals of the term; a voter without that content rejects requests.

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

/// Proposal number of all configuration changes: their outcomes are matched by request id instead.
const UNNUMBERED: Ticket = 0;

/// Status of a request that a voter accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalAccepted {
    /// The request is already committed as this revision.
    Committed(Revision),
    /// The request is proposed, and gets this revision if it is committed.
    Proposed(Revision),
}

/// Reason for rejecting a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalRejected {
    /// This voter doesn't lead, or hasn't applied an entry of its term yet; names the leader if another one is known.
    NotLeader(Option<VoterId>),
    /// The leader rejected the change.
    Rejected(ConfigurationRejected),
}

/// The content with a leader's uncommitted proposals of its term applied.
#[derive(Debug)]
struct ProposedContent {
    term: Term,
    content: Configuration,
    /// Revisions of the uncommitted proposals, by request id.
    revisions: BTreeMap<Name, Revision>,
}

/// A committed change couldn't be applied because this voter's copy of the content differs from the group's.
#[derive(Debug, thiserror::Error)]
#[error(
    "the local configuration at revision {revision} differs from the council's; dropped until it is fetched from a peer"
)]
struct ContentDiverged {
    revision: Revision,
}

/// A voter's copy of the configuration content.
#[derive(Debug)]
pub(super) struct Content {
    settings: ConfigurationSettings,
    current: Option<Configuration>,
    /// Commits applied by this process; they bring an older copy that the host provides up to date.
    recent: CommitLog,
    proposed: Option<ProposedContent>,
    /// Revision of the host's durable copy.
    durable: Revision,
    /// Last revision that the host was asked to make durable.
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

    /// Restarts after the replicated state was loaded from a snapshot, whose commits aren't known here.
    pub(super) fn restart(&mut self, committed: Version) {
        self.recent.restart(committed.revision);
        self.proposed = None;
    }

    /// Applies a commit, and drops the copy if it turns out to differ from the group's content.
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

    /// Adopts a copy from the host, unless it isn't newer than the present one or its digest differs from the committed one.
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
        // Without uncommitted proposals, requests are validated against the current content again.
        if proposed.revisions.is_empty() {
            self.proposed = None;
        }
    }
}

impl ConsensusVoter {
    /// Sets the limits on changes that apply while this voter leads.
    pub fn set_configuration(&mut self, mut settings: ConfigurationSettings) {
        settings.entry_bytes = settings.entry_bytes.min(MAX_ENTRY_BYTES);
        self.content.settings = settings;
    }

    /// Offers content from the host: its durable copy, its start file or a copy of a peer.
    pub fn offer_configuration(&mut self, configuration: &Configuration) {
        self.content.offer(configuration, self.state.configuration.version());
    }

    /// This voter's copy of the content, if it has one. Clones share their entries, so they are cheap.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.content.current.as_ref()
    }

    /// Records that the host's durable copy has this revision.
    pub fn configuration_durable(&mut self, revision: Revision) {
        self.content.durable = revision.max(self.content.durable);
    }

    /// Whether the configuration is durable, so the log may be compacted. If it isn't, asks the host once per revision to make
    /// it so.
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

    /// Requests a change. A leader validates and proposes it; [`VoterEffect::Committed`] reports its commit.
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

    /// Returns the term if this voter leads and has applied an entry of the term. Before that, it may not know all committed
    /// entries.
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

    /// Handles an applied entry that created a new revision.
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
