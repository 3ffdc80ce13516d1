//! The server's part in the configuration service: dissemination over the cluster's messages, and committed revisions brought
//! into force in their order.
//!
//! Not here: what is committed and in which order, which is the consensus group's, and who tells whom, which is
//! [`gradepin_config::dissemination`]'s. Without a start nothing here does anything.
//!
//! Invariant: what is in force is a prefix of the committed log, except while a whole state is being installed, which takes
//! several steps; the revision that is told is the last one that is whole here.

use super::{MS, Reducer};
use crate::configuration::{
    CONFIGURATION_TAG, ConfigurationMetrics, ConfigurationSave, ConfigurationSaveResult, ConfigurationStart,
};
use crate::messages::{Effect, earliest};
use gradepin_admission::{Span, Time, span_seconds, time_after};
use gradepin_config::admin::Source;
use gradepin_config::dissemination::{Dissemination, DisseminationEffect, Member};
use gradepin_config::{Commit, Configuration, Name, Revision, Snapshot, Transaction};
use gradepin_coordination::server_agent::ConfigurationEffect;
use slog::Level;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Between looks at who is up, and at the age of the state.
const LOOK: Span = Span(500 * MS);
/// After a change that the reducer has no room for, what is missing is worked out and tried again.
const RETRY: Span = Span(1_000 * MS);

/// One transaction on the way into force.
struct Step {
    transaction: Transaction,
    /// The state that is reached with it; none in the middle of an installation.
    reaches: Option<Configuration>,
}

/// What the reducer holds of the service.
pub(super) struct Service {
    pub(super) start: ConfigurationStart,
    pub(super) spread: Dissemination,
    /// The last whole state in force.
    pub(super) in_force: Configuration,
    /// What the reducer goes by, also in the middle of an installation. Its revision means nothing.
    content: Configuration,
    steps: VecDeque<Step>,
    /// Why the next step can't be taken, and when it is tried again.
    pub(super) stuck: Option<(String, Time)>,
    members: BTreeMap<Name, Arc<Member>>,
    pub(super) began: Time,
    next_look: Time,
    told_stale: bool,
    durable: Revision,
    pub(super) source: Source,
    pub(super) requests: super::configuration_calls::Requests,
}

impl Service {
    /// The age of the state: since it was last confirmed as the newest one.
    pub(super) fn age(&self, now: Time) -> Span {
        let since = self.spread.status().confirmed_at.unwrap_or(self.began);
        Span(now.0.saturating_sub(since.0))
    }

    /// Whether that is longer than the settings allow.
    pub(super) fn is_stale(&self, now: Time) -> bool {
        self.age(now) > self.start.stale_after
    }

    fn wake_at(&self, now: Time) -> Time {
        let step = match &self.stuck {
            Some((_, until)) => *until,
            None if !self.steps.is_empty() => now,
            None => self.next_look,
        };
        step.min(self.next_look).min(self.spread.wake_at(now))
    }

    fn region(&self, zone: &Name) -> Name {
        self.start.regions.get(&**zone).map_or_else(|| Arc::clone(zone), |region| Arc::from(region.as_str()))
    }

    /// A commit is to come into force after all that waits.
    fn add_commit(&mut self, commit: &Commit) {
        let mut reaches = self.last_reached().clone();
        // One that doesn't fit here is found when it is its turn, and the difference is worked out then.
        let _ = reaches.apply(commit);
        let transaction = commit.transaction.clone();
        self.steps.push_back(Step { transaction, reaches: Some(reaches) });
    }

    /// A whole state is to come into force, whatever waits.
    fn add_state(&mut self, target: &Configuration) {
        self.steps.clear();
        let transactions = self.content.difference_to(target);
        let steps = transactions.into_iter().map(|transaction| Step { transaction, reaches: None });
        self.steps.extend(steps);
        match self.steps.back_mut() {
            Some(last) => last.reaches = Some(target.clone()),
            None => self.in_force = target.clone(),
        }
    }

    fn last_reached(&self) -> &Configuration {
        self.steps.iter().rev().find_map(|step| step.reaches.as_ref()).unwrap_or(&self.in_force)
    }

    /// A step was taken.
    fn reached(&mut self, step: Step) {
        match step.reaches {
            Some(state) => {
                self.content = state.clone();
                self.in_force = state;
            }
            None => {
                let revision = self.content.revision().next();
                let transaction = step.transaction;
                let none = Name::from("");
                let (author, reason, request_id) = (none.clone(), none.clone(), none);
                let piece = Commit { revision, author, reason, request_id, proposed_at_ms: 0, transaction };
                let _ = self.content.apply(&piece);
            }
        }
    }
}

/// The service, where it is on.
#[derive(Default)]
pub(super) struct Committed(pub(super) Option<Box<Service>>);

impl Committed {
    /// When something is due though nothing comes in.
    pub(super) fn wake_at(&self, now: Time) -> Option<Time> {
        self.0.as_ref().map(|service| service.wake_at(now))
    }

    /// The figures, where the service is on.
    pub(super) fn figures(&self, now: Time) -> Option<ConfigurationMetrics> {
        let service = self.0.as_ref()?;
        Some(ConfigurationMetrics {
            revision: service.in_force.revision().0,
            age_s: span_seconds(service.age(now)),
        })
    }
}

impl Reducer {
    /// With the configuration service, for a server that was made with the classes, tenants and rules of the start's state and
    /// that has a part in the fleet's agreements.
    pub fn with_configuration(mut self, start: ConfigurationStart, now: Time) -> Self {
        self.changes.set_committed();
        if let Some(part) = &mut self.agreed.part {
            part.offer_configuration(&start.state);
        }
        let own = start.own.clone();
        let spread =
            Dissemination::new(start.dissemination.clone(), own, start.state.clone(), start.seed, now);
        if start.source == Source::StartFile {
            let state = Snapshot::of(&start.state);
            self.effects.push(Effect::SaveConfiguration(Box::new(ConfigurationSave { state, commit: None })));
        }
        let (state, source) = (start.state.clone(), start.source);
        // What was found on the disk is durable there.
        let durable = if source == Source::Snapshot { state.revision() } else { Revision(0) };
        self.committed.0 = Some(Box::new(Service {
            spread,
            in_force: state.clone(),
            content: state,
            steps: VecDeque::new(),
            stuck: None,
            members: BTreeMap::new(),
            began: now,
            next_look: now,
            told_stale: false,
            durable,
            source,
            requests: Default::default(),
            start,
        }));
        if let Some(part) = &mut self.agreed.part {
            part.configuration_durable(durable);
        }
        self
    }

    /// A message of the service came from a server; whether it was one.
    pub(super) fn configuration_message(&mut self, from: &Name, content: &[u8]) -> bool {
        let Some((&CONFIGURATION_TAG, bytes)) = content.split_first() else { return false };
        if let Some(service) = &mut self.committed.0 {
            service.spread.receive(self.moment.now, from, bytes);
        }
        true
    }

    /// What the consensus group says of the configuration.
    pub(super) fn configuration_agreed(&mut self, effect: ConfigurationEffect) {
        let now = self.moment.now;
        let Some(service) = &mut self.committed.0 else { return };
        match effect {
            ConfigurationEffect::Committed(commit) => service.spread.committed(now, commit),
            ConfigurationEffect::Answered(answered) => service.requests.answered(now, answered),
            // Each state is handed to the writer as it comes into force; all that may be left to say is that it is there.
            ConfigurationEffect::MakeDurable(_) => {
                let durable = service.durable;
                if let Some(part) = &mut self.agreed.part {
                    part.configuration_durable(durable);
                }
            }
        }
    }

    /// What became of a state that was to be written.
    pub(super) fn configuration_written(&mut self, written: ConfigurationSaveResult) {
        let revision = match written {
            ConfigurationSaveResult::Durable(revision) => revision,
            ConfigurationSaveResult::Failed(why) => {
                let text = format!("the configuration could not be written, it is tried again: {why}");
                return self.log(Level::Error, text);
            }
        };
        if let Some(service) = &mut self.committed.0 {
            service.durable = service.durable.max(revision);
        }
        if let Some(part) = &mut self.agreed.part {
            part.configuration_durable(revision);
        }
    }

    /// The service's turn in a step.
    pub(super) fn configuration_step(&mut self) {
        let now = self.moment.now;
        let Some(service) = &self.committed.0 else { return };
        if now >= service.next_look {
            self.look_at_members();
            self.look_at_age();
        }
        let mut asked = Vec::new();
        if let Some(service) = &mut self.committed.0 {
            service.spread.step(now, &mut asked);
        }
        for effect in asked {
            self.spread_effect(effect);
        }
        self.next_revision();
    }

    fn spread_effect(&mut self, effect: DisseminationEffect) {
        match effect {
            DisseminationEffect::Send { to, bytes } => {
                let mut content = Vec::with_capacity(1 + bytes.len());
                content.push(CONFIGURATION_TAG);
                content.extend_from_slice(&bytes);
                self.fleet_post(&to, &content);
            }
            DisseminationEffect::Apply(commit) => self.take_commit(commit),
            DisseminationEffect::Install(snapshot) => self.take_state(snapshot),
            DisseminationEffect::Note { bad, text } => {
                let level = if bad { Level::Warning } else { Level::Info };
                self.log(level, format!("configuration: {text}"));
            }
        }
    }

    fn take_commit(&mut self, commit: Arc<Commit>) {
        let Some(service) = &mut self.committed.0 else { return };
        service.add_commit(&commit);
        let state = Snapshot::of(service.last_reached());
        self.hold_and_save(state, Some(commit));
    }

    fn take_state(&mut self, snapshot: Snapshot) {
        let Some(service) = &mut self.committed.0 else { return };
        service.add_state(snapshot.configuration());
        self.hold_and_save(snapshot, None);
    }

    fn hold_and_save(&mut self, state: Snapshot, commit: Option<Arc<Commit>>) {
        if let Some(part) = &mut self.agreed.part {
            part.offer_configuration(state.configuration());
        }
        if let Some(service) = &mut self.committed.0 {
            service.source = Source::Fleet;
        }
        self.effects.push(Effect::SaveConfiguration(Box::new(ConfigurationSave { state, commit })));
    }

    /// Brings the next transaction into force; one a step, so that requests are not held up by many.
    fn next_revision(&mut self) {
        let now = self.moment.now;
        let Some(service) = &mut self.committed.0 else { return };
        if let Some((_, until)) = &service.stuck {
            if now < *until {
                return;
            }
            service.stuck = None;
            let target = service.spread.state().clone();
            service.add_state(&target);
        }
        let Some(step) = service.steps.pop_front() else { return };
        let applied = self.apply_transaction(&step.transaction);
        let Some(service) = &mut self.committed.0 else { return };
        match applied {
            Ok(_) => service.reached(step),
            Err(why) => {
                let text = why.to_string();
                service.steps.clear();
                service.stuck = Some((text.clone(), time_after(now, RETRY)));
                self.log(Level::Error, format!("a committed change can't be applied here: {text}"));
            }
        }
    }

    /// Tells dissemination who is up, and who votes.
    fn look_at_members(&mut self) {
        let now = self.moment.now;
        let Some(view) = self.fleet.view(now) else { return };
        let record = self.agreed.part.as_ref().and_then(|part| part.state());
        let Some(service) = &mut self.committed.0 else { return };
        service.next_look = time_after(now, LOOK);
        let votes = |name: &Name| match record {
            Some(record) => record.voters.values().any(|voter| voter == name),
            None => service.start.voters.contains(name),
        };
        let up = view.members.iter().filter(|member| member.up).map(|member| {
            let (name, zone) = (Arc::clone(&member.name), Arc::clone(&member.zone));
            Member { region: service.region(&zone), voter: votes(&name), name, zone }
        });
        let up: BTreeMap<Name, Member> = up.map(|member| (Arc::clone(&member.name), member)).collect();
        let gone = service.members.keys().filter(|name| !up.contains_key(*name)).cloned();
        for name in gone.collect::<Vec<Name>>() {
            service.members.remove(&name);
            service.spread.member_down(&name);
        }
        for (name, member) in up {
            if service.members.get(&name).is_none_or(|known| **known != member) {
                let member = Arc::new(member);
                service.members.insert(name, Arc::clone(&member));
                service.spread.member_up(member);
            }
        }
    }

    /// Tells once when the state becomes stale, and once when it no longer is.
    fn look_at_age(&mut self) {
        let now = self.moment.now;
        let Some(service) = &mut self.committed.0 else { return };
        service.next_look = time_after(now, LOOK);
        let stale = service.is_stale(now);
        if std::mem::replace(&mut service.told_stale, stale) == stale {
            return;
        }
        let (revision, age) = (service.in_force.revision(), span_seconds(service.age(now)));
        if stale {
            let text =
                format!("revision {revision} was not confirmed for {age:.0} s: stale, serving goes on");
            self.log(Level::Warning, text);
        } else {
            self.log(Level::Info, format!("revision {revision} is confirmed again"));
        }
    }

    /// When the service is due.
    pub(super) fn configuration_wake_at(&self, other: Option<Time>) -> Option<Time> {
        earliest(other, self.committed.wake_at(self.moment.now))
    }
}

#[cfg(test)]
mod tests;
