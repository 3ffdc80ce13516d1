//! The committed configuration: brings revisions that the consensus group committed into force, and has them made durable.
//!
//! Owns the [`ConfigurationService`]. Its messages go over the cluster's datagrams behind [`CONFIGURATION_TAG`]; transactions
//! are applied by [`Reducer::apply_transaction`], one a step. Not here: what is committed and in which order, which is the
//! consensus group's, and which server gets it from whom, which is [`gradepin_config::dissemination`]'s. Without a service
//! nothing here has an effect.
//!
//! Invariant: what is in force is a prefix of the committed log, except while a complete state is being installed, which takes
//! several steps; the revision that is shown is the last one that is completely in force.

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

/// Between updates of the members, and checks of the age of the state.
const CHECK_INTERVAL: Span = Span(500 * MS);
/// After a transaction that could not be applied, until the difference to the committed state is computed and tried again.
const RETRY_INTERVAL: Span = Span(1_000 * MS);

/// A transaction that waits to be applied.
struct PendingTransaction {
    transaction: Transaction,
    /// The state that is reached with it; none in the middle of an installation.
    reaches: Option<Configuration>,
}

/// A transaction that could not be applied.
pub(super) struct ApplyFailure {
    /// Why not.
    pub(super) reason: String,
    retry_at: Time,
}

/// The configuration service of this server.
pub(super) struct ConfigurationService {
    /// What the server started with.
    pub(super) start: ConfigurationStart,
    /// Exchanges revisions with other servers.
    pub(super) dissemination: Dissemination,
    /// The last state that was completely in force.
    pub(super) in_force: Configuration,
    /// What the reducer goes by, also in the middle of an installation. Its revision has no meaning.
    content: Configuration,
    pending: VecDeque<PendingTransaction>,
    /// Why the next transaction can't be applied.
    pub(super) failure: Option<ApplyFailure>,
    /// Servers that are up, as dissemination knows them.
    members: BTreeMap<Name, Arc<Member>>,
    started_at: Time,
    next_check: Time,
    /// Whether the log says that the state is stale.
    reported_stale: bool,
    /// The last durable revision.
    durable: Revision,
    /// Where the state came from.
    pub(super) source: Source,
    /// Changes that operators proposed at this server.
    pub(super) proposals: PendingProposals,
}

impl ConfigurationService {
    fn new(start: ConfigurationStart, now: Time) -> Self {
        let own = start.own.clone();
        let dissemination =
            Dissemination::new(start.dissemination.clone(), own, start.state.clone(), start.seed, now);
        // A state that was read from the disk is durable there.
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

    /// The age of the state: since it was last confirmed as the newest one.
    pub(super) fn age(&self, now: Time) -> Span {
        let since = self.dissemination.status().confirmed_at.unwrap_or(self.started_at);
        Span(now.0.saturating_sub(since.0))
    }

    /// Whether the state is older than the settings allow.
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

    /// A commit comes into force after all that is pending.
    fn add_commit(&mut self, commit: &Commit) {
        let mut reaches = self.last_pending_state().clone();
        // One that doesn't fit is found when it is applied, and the difference is computed then.
        let _ = reaches.apply(commit);
        let transaction = commit.transaction.clone();
        self.pending.push_back(PendingTransaction { transaction, reaches: Some(reaches) });
    }

    /// A complete state comes into force in place of all that is pending.
    fn add_state(&mut self, target: &Configuration) {
        self.pending.clear();
        let transactions = self.content.difference_to(target);
        let pending =
            transactions.into_iter().map(|transaction| PendingTransaction { transaction, reaches: None });
        self.pending.extend(pending);
        match self.pending.back_mut() {
            Some(last) => last.reaches = Some(target.clone()),
            None => self.in_force = target.clone(),
        }
    }

    fn last_pending_state(&self) -> &Configuration {
        let reached = self.pending.iter().rev().find_map(|pending| pending.reaches.as_ref());
        reached.unwrap_or(&self.in_force)
    }

    /// A transaction was applied.
    fn applied(&mut self, pending: PendingTransaction) {
        match pending.reaches {
            Some(state) => {
                self.content = state.clone();
                self.in_force = state;
            }
            None => self.apply_to_content(pending.transaction),
        }
    }

    /// Applies a part of an installation, for which no commit exists.
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

/// The configuration service, where it is on.
#[derive(Default)]
pub(super) struct ConfigurationState {
    /// None where classes, tenants and rules come from the settings file.
    pub(super) service: Option<Box<ConfigurationService>>,
}

impl ConfigurationState {
    /// When something is due though nothing comes in.
    pub(super) fn wake_at(&self, now: Time) -> Option<Time> {
        self.service.as_ref().map(|service| service.wake_at(now))
    }

    /// The metrics, where the service is on.
    pub(super) fn metrics(&self, now: Time) -> Option<ConfigurationMetrics> {
        let service = self.service.as_ref()?;
        Some(ConfigurationMetrics {
            revision: service.in_force.revision().0,
            age_s: span_seconds(service.age(now)),
        })
    }
}

impl Reducer {
    /// With the configuration service, for a server that was made with the classes, tenants and rules of `start` and that has
    /// an agent ([`Reducer::with_agent`]).
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

    /// Takes a message of another server, if it is one of the configuration service; false if it is not.
    pub(super) fn configuration_message(&mut self, from: &Name, content: &[u8]) -> bool {
        let Some((&CONFIGURATION_TAG, message)) = content.split_first() else { return false };
        if let Some(service) = &mut self.configuration.service {
            service.dissemination.receive(self.timestamp.now, from, message);
        }
        true
    }

    /// The consensus group's effects on the configuration.
    pub(super) fn consensus_configuration_effect(&mut self, effect: ConfigurationEffect) {
        let now = self.timestamp.now;
        let Some(service) = &mut self.configuration.service else { return };
        match effect {
            ConfigurationEffect::Committed(commit) => service.dissemination.committed(now, commit),
            ConfigurationEffect::Answered(response) => service.proposals.answered(now, response),
            // Each state is saved as it comes into force, so all that may be left is to say that it is durable.
            ConfigurationEffect::MakeDurable(_) => {
                let durable = service.durable;
                if let Some(agent) = &mut self.agreements.agent {
                    agent.configuration_durable(durable);
                }
            }
        }
    }

    /// The shell has written a configuration, or could not.
    pub(super) fn configuration_written(&mut self, result: ConfigurationSaveResult) {
        let revision = match result {
            ConfigurationSaveResult::Durable(revision) => revision,
            ConfigurationSaveResult::Failed { reason } => {
                let text = format!("the configuration could not be written, it is tried again: {reason}");
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

    /// The service's part of a step.
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

    /// Has a state of the cluster made durable, and reports to the agent that it is held here.
    fn save_configuration(&mut self, state: Snapshot, commit: Option<Arc<Commit>>) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.offer_configuration(state.configuration());
        }
        if let Some(service) = &mut self.configuration.service {
            service.source = Source::Fleet;
        }
        self.effects.push(Effect::SaveConfiguration(Box::new(ConfigurationSave { state, commit })));
    }

    /// Applies the next transaction; one a step, so that requests are not held up by many.
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
                self.log(Level::Error, format!("a committed change can't be applied here: {reason}"));
            }
        }
    }

    /// Tells dissemination which servers are up, and which of them vote.
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

    /// Logs once when the state becomes stale, and once when it no longer is.
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
            let text =
                format!("revision {revision} was not confirmed for {age:.0} s: stale, serving goes on");
            self.log(Level::Warning, text);
        } else {
            self.log(Level::Info, format!("revision {revision} is confirmed again"));
        }
    }
}

#[cfg(test)]
mod tests;
