//! The committed configuration: applies the revisions that the consensus group committed, and has them made durable.
//!
//! Owns the [`ConfigurationService`]. Its messages are sent in the cluster's datagrams, marked by
//! [`CONFIGURATION_TAG`]. [`Reducer::apply_transaction`] applies at most one transaction per step. The consensus group
//! decides what is committed and in which order; [`gradepin_config::dissemination`] decides which server gets it from
//! which. Without the service nothing here has an effect.
//!
//! Invariant: the state in force is a prefix of the committed log, except while a complete state is installed, which
//! takes several steps. The reported revision is always the last one that is completely in force.

use super::configuration_admin::PendingProposals;
use super::{MS, Reducer};
use crate::configuration::{
    CONFIGURATION_TAG, ConfigurationMetrics, ConfigurationSave, ConfigurationSaveResult, ConfigurationStart,
};
use crate::messages::Effect;
use gradepin_admission::{Span, Time, span_seconds, time_after};
use gradepin_config::admin::Source;
use gradepin_config::dissemination::{Dissemination, DisseminationEffect, Member};
use gradepin_config::{Commit, Configuration, Name, Revision, Snapshot, Transaction};
use gradepin_coordination::server_agent::ConfigurationEffect;
use slog::Level;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Interval between updates of the member list, and between checks of the age of the state.
const CHECK_INTERVAL: Span = Span(500 * MS);
/// Delay after a transaction could not be applied, until the difference to the committed state is recomputed and
/// applied.
const RETRY_INTERVAL: Span = Span(1_000 * MS);

/// A transaction that is not applied yet.
struct PendingTransaction {
    transaction: Transaction,
    /// The state once this transaction is applied; `None` for an intermediate step of an installation.
    resulting_state: Option<Configuration>,
}

/// The failure to apply a transaction.
pub(super) struct ApplyFailure {
    /// Error message for logs and status replies.
    pub(super) reason: String,
    retry_at: Time,
}

/// The configuration service of this server.
pub(super) struct ConfigurationService {
    /// Initial state and settings of the service.
    pub(super) start: ConfigurationStart,
    pub(super) dissemination: Dissemination,
    /// The latest state that was completely in force.
    pub(super) in_force: Configuration,
    /// The classes, tenants and rules that the reducer currently applies, even in the middle of an installation. Its
    /// revision has no meaning.
    content: Configuration,
    pending: VecDeque<PendingTransaction>,
    /// Set after a transaction failed, until it is retried.
    pub(super) failure: Option<ApplyFailure>,
    /// Servers that are up, as last reported to dissemination.
    members: BTreeMap<Name, Arc<Member>>,
    started_at: Time,
    next_check: Time,
    /// Whether the state was last logged as stale.
    reported_stale: bool,
    /// The latest durable revision.
    durable: Revision,
    pub(super) source: Source,
    /// Changes that operators proposed at this server.
    pub(super) proposals: PendingProposals,
}

impl ConfigurationService {
    fn new(start: ConfigurationStart, now: Time) -> Self {
        let own = start.own.clone();
        let dissemination =
            Dissemination::new(start.dissemination.clone(), own, start.state.clone(), start.seed, now);
        // A state that was read from the disk is already durable.
        let is_durable = start.source == Source::Snapshot;
        Self {
            dissemination,
            in_force: start.state.clone(),
            content: start.state.clone(),
            pending: VecDeque::new(),
            failure: None,
            members: BTreeMap::new(),
            started_at: now,
            next_check: now,
            reported_stale: false,
            durable: if is_durable { start.state.revision() } else { Revision(0) },
            source: start.source,
            proposals: PendingProposals::default(),
            start,
        }
    }

    /// Returns the time since the state was last confirmed to be the newest.
    pub(super) fn age(&self, now: Time) -> Span {
        let since = self.dissemination.status().confirmed_at.unwrap_or(self.started_at);
        Span(now.0.saturating_sub(since.0))
    }

    /// Whether the age of the state exceeds the configured limit.
    pub(super) fn is_stale(&self, now: Time) -> bool {
        self.age(now) > self.start.stale_after
    }

    fn wake_at(&self, now: Time) -> Time {
        let apply_at = match &self.failure {
            Some(failure) => failure.retry_at,
            None if !self.pending.is_empty() => now,
            None => self.next_check,
        };
        apply_at.min(self.next_check).min(self.dissemination.wake_at(now))
    }

    fn region(&self, zone: &Name) -> Name {
        self.start.regions.get(&**zone).map_or_else(|| Arc::clone(zone), |region| Arc::from(region.as_str()))
    }

    /// Queues a commit behind all pending transactions.
    fn add_commit(&mut self, commit: &Commit) {
        let mut resulting_state = self.last_pending_state().clone();
        // A commit that can't be applied to this state is detected when it is due, and the difference to the committed
        // state is applied instead.
        let _ = resulting_state.apply(commit);
        let transaction = commit.transaction.clone();
        self.pending.push_back(PendingTransaction { transaction, resulting_state: Some(resulting_state) });
    }

    /// Replaces all pending transactions by those that lead to a complete state.
    fn add_state(&mut self, target: &Configuration) {
        self.pending.clear();
        let transactions = self.content.difference_to(target);
        let pending = transactions
            .into_iter()
            .map(|transaction| PendingTransaction { transaction, resulting_state: None });
        self.pending.extend(pending);
        match self.pending.back_mut() {
            Some(last) => last.resulting_state = Some(target.clone()),
            None => self.in_force = target.clone(),
        }
    }

    fn last_pending_state(&self) -> &Configuration {
        let reached = self.pending.iter().rev().find_map(|pending| pending.resulting_state.as_ref());
        reached.unwrap_or(&self.in_force)
    }

    /// Records that a transaction was applied.
    fn applied(&mut self, pending: PendingTransaction) {
        match pending.resulting_state {
            Some(state) => {
                self.content = state.clone();
                self.in_force = state;
            }
            None => self.apply_to_content(pending.transaction),
        }
    }

    /// Applies an intermediate step of an installation, for which no commit exists.
    fn apply_to_content(&mut self, transaction: Transaction) {
        let none = Name::from("");
        let commit = Commit {
            revision: self.content.revision().next(),
            author: none.clone(),
            reason: none.clone(),
            request_id: none,
            proposed_at_ms: 0,
            transaction,
        };
        let _ = self.content.apply(&commit);
    }
}

/// The configuration service, if it is enabled.
#[derive(Default)]
pub(super) struct ConfigurationState {
    /// `None` if classes, tenants and rules come from the settings file.
    pub(super) service: Option<Box<ConfigurationService>>,
}

impl ConfigurationState {
    /// Next time at which a step is due without input.
    pub(super) fn wake_at(&self, now: Time) -> Option<Time> {
        self.service.as_ref().map(|service| service.wake_at(now))
    }

    /// The metrics; `None` if the service is not enabled.
    pub(super) fn metrics(&self, now: Time) -> Option<ConfigurationMetrics> {
        let service = self.service.as_ref()?;
        Some(ConfigurationMetrics {
            revision: service.in_force.revision().0,
            age_s: span_seconds(service.age(now)),
        })
    }
}

impl Reducer {
    /// Adds the configuration service. The server must have been created with the classes, tenants and rules of
    /// `start`, and must have an agent ([`Reducer::with_agent`]).
    pub fn with_configuration(mut self, start: ConfigurationStart, now: Time) -> Self {
        self.settings_changes.set_committed();
        if let Some(agent) = &mut self.agreements.agent {
            agent.offer_configuration(&start.state);
        }
        if start.source == Source::StartFile {
            let state = Snapshot::of(&start.state);
            self.effects.push(Effect::SaveConfiguration(Box::new(ConfigurationSave { state, commit: None })));
        }
        let service = ConfigurationService::new(start, now);
        if let Some(agent) = &mut self.agreements.agent {
            agent.configuration_durable(service.durable);
        }
        self.configuration.service = Some(Box::new(service));
        self
    }

    /// Handles a message of another server if it belongs to the configuration service; returns false otherwise.
    pub(super) fn configuration_message(&mut self, from: &Name, content: &[u8]) -> bool {
        let Some((&CONFIGURATION_TAG, message)) = content.split_first() else { return false };
        if let Some(service) = &mut self.configuration.service {
            service.dissemination.receive(self.timestamp.now, from, message);
        }
        true
    }

    /// Carries out the consensus group's effects on the configuration.
    pub(super) fn consensus_configuration_effect(&mut self, effect: ConfigurationEffect) {
        let now = self.timestamp.now;
        let Some(service) = &mut self.configuration.service else { return };
        match effect {
            ConfigurationEffect::Committed(commit) => service.dissemination.committed(now, commit),
            ConfigurationEffect::Answered(response) => service.proposals.answered(now, response),
            // Each state is saved when it is queued, so it only remains to report which revision is durable.
            ConfigurationEffect::MakeDurable(_) => {
                let durable = service.durable;
                if let Some(agent) = &mut self.agreements.agent {
                    agent.configuration_durable(durable);
                }
            }
        }
    }

    /// Handles the result of writing a configuration to the disk.
    pub(super) fn configuration_written(&mut self, result: ConfigurationSaveResult) {
        let revision = match result {
            ConfigurationSaveResult::Durable(revision) => revision,
            ConfigurationSaveResult::Failed { reason } => {
                let text = format!("configuration: saving failed, will be retried: {reason}");
                return self.log(Level::Error, text);
            }
        };
        if let Some(service) = &mut self.configuration.service {
            service.durable = service.durable.max(revision);
        }
        if let Some(agent) = &mut self.agreements.agent {
            agent.configuration_durable(revision);
        }
    }

    /// Performs the service's part of a step.
    pub(super) fn configuration_step(&mut self) {
        let now = self.timestamp.now;
        let Some(service) = &self.configuration.service else { return };
        if now >= service.next_check {
            self.update_members();
            self.check_staleness();
        }
        let mut effects = Vec::new();
        if let Some(service) = &mut self.configuration.service {
            service.dissemination.step(now, &mut effects);
        }
        for effect in effects {
            self.dissemination_effect(effect);
        }
        self.apply_next_transaction();
    }

    fn dissemination_effect(&mut self, effect: DisseminationEffect) {
        match effect {
            DisseminationEffect::Send { to, bytes } => {
                let mut content = Vec::with_capacity(1 + bytes.len());
                content.push(CONFIGURATION_TAG);
                content.extend_from_slice(&bytes);
                self.send_to_peer(&to, &content);
            }
            DisseminationEffect::Apply(commit) => self.receive_commit(commit),
            DisseminationEffect::Install(snapshot) => self.receive_state(snapshot),
            DisseminationEffect::Log { is_warning, text } => {
                let level = if is_warning { Level::Warning } else { Level::Info };
                self.log(level, format!("configuration: {text}"));
            }
        }
    }

    fn receive_commit(&mut self, commit: Arc<Commit>) {
        let Some(service) = &mut self.configuration.service else { return };
        service.add_commit(&commit);
        let state = Snapshot::of(service.last_pending_state());
        self.save_configuration(state, Some(commit));
    }

    fn receive_state(&mut self, snapshot: Snapshot) {
        let Some(service) = &mut self.configuration.service else { return };
        service.add_state(snapshot.configuration());
        self.save_configuration(snapshot, None);
    }

    /// Has a state from the cluster made durable, and offers it to the agent.
    fn save_configuration(&mut self, state: Snapshot, commit: Option<Arc<Commit>>) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.offer_configuration(state.configuration());
        }
        if let Some(service) = &mut self.configuration.service {
            service.source = Source::Fleet;
        }
        self.effects.push(Effect::SaveConfiguration(Box::new(ConfigurationSave { state, commit })));
    }

    /// Applies the next transaction. Only one is applied per step, so that requests are not delayed by many.
    fn apply_next_transaction(&mut self) {
        let now = self.timestamp.now;
        let Some(service) = &mut self.configuration.service else { return };
        if let Some(failure) = &service.failure {
            if now < failure.retry_at {
                return;
            }
            service.failure = None;
            let target = service.dissemination.state().clone();
            service.add_state(&target);
        }
        let Some(next) = service.pending.pop_front() else { return };
        let applied = self.apply_transaction(&next.transaction);
        let Some(service) = &mut self.configuration.service else { return };
        match applied {
            Ok(_) => service.applied(next),
            Err(error) => {
                let reason = error.to_string();
                service.pending.clear();
                let retry_at = time_after(now, RETRY_INTERVAL);
                service.failure = Some(ApplyFailure { reason: reason.clone(), retry_at });
                self.log(
                    Level::Error,
                    format!(
                        "configuration: committed change could not be applied, will be retried: {reason}"
                    ),
                );
            }
        }
    }

    /// Updates dissemination's list of the servers that are up and of those that are voters.
    fn update_members(&mut self) {
        let now = self.timestamp.now;
        let Some(view) = self.cluster.view(now) else { return };
        let record = self.agreements.agent.as_ref().and_then(|agent| agent.state());
        let Some(service) = &mut self.configuration.service else { return };
        service.next_check = time_after(now, CHECK_INTERVAL);
        let votes = |name: &Name| match record {
            Some(record) => record.voters.values().any(|voter| voter == name),
            None => service.start.voters.contains(name),
        };
        let up = view.members.iter().filter(|member| member.up).map(|member| {
            let (name, zone) = (Arc::clone(&member.name), Arc::clone(&member.zone));
            Member { region: service.region(&zone), voter: votes(&name), name, zone }
        });
        let up: BTreeMap<Name, Member> = up.map(|member| (Arc::clone(&member.name), member)).collect();
        let down = service.members.keys().filter(|name| !up.contains_key(*name)).cloned();
        for name in down.collect::<Vec<Name>>() {
            service.members.remove(&name);
            service.dissemination.member_down(&name);
        }
        for (name, member) in up {
            if service.members.get(&name).is_none_or(|known| **known != member) {
                let member = Arc::new(member);
                service.members.insert(name, Arc::clone(&member));
                service.dissemination.member_up(member);
            }
        }
    }

    /// Logs once when the state becomes stale, and once when it is confirmed again.
    fn check_staleness(&mut self) {
        let now = self.timestamp.now;
        let Some(service) = &mut self.configuration.service else { return };
        service.next_check = time_after(now, CHECK_INTERVAL);
        let is_stale = service.is_stale(now);
        if std::mem::replace(&mut service.reported_stale, is_stale) == is_stale {
            return;
        }
        let (revision, age) = (service.in_force.revision(), span_seconds(service.age(now)));
        if is_stale {
            let text = format!(
                "configuration: revision {revision} not confirmed for {age:.0} s; stale, but still in use"
            );
            self.log(Level::Warning, text);
        } else {
            self.log(Level::Info, format!("configuration: revision {revision} confirmed again"));
        }
    }
}

#[cfg(test)]
mod tests;
