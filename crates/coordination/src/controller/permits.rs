//! When permits end: by a holder that is back and stable, by a right to begin that is over, or freed by an operator once
//! that is safe.
//!
//! A permit's right to begin counts by the holder's clock from its request ([`BEGIN_TIMEOUT`]); here it counts as over only
//! by the slowest and the fastest clock. A later incarnation has none of the right that an earlier one was given.

use super::requests::AGREED_WITHIN;
use super::servers::HeardServer;
use super::{Context, KeyedCommand, MS};
use crate::messages::BEGIN_TIMEOUT;
use crate::replicated_state::{
    Command, Name, Permit, PermitEnd, PermitStage, Purpose, ReplicatedState, Target,
};
use gradepin_admission::{Span, Time, time_after};
use std::collections::{BTreeMap, BTreeSet};

/// A permit that was reserved and never begun is over after this, if its server is ready all the while.
const UNUSED_AFTER: Span = Span(30_000 * MS);
/// Incarnations of one server with the new version after which it counts as one that crashes.
pub(super) const MAX_INCARNATIONS: usize = 3;

/// What was observed of a permit since this term began.
#[derive(Debug)]
pub(super) struct ObservedPermit {
    stage: PermitStage,
    begins: u32,
    /// Since when it is as it is.
    pub since: Time,
    /// The incarnation that it began in, as far as it was heard.
    first: Option<u64>,
    /// Those that were heard since.
    pub incarnations: BTreeSet<u64>,
    /// When its server was last told that it is its turn.
    pub turn_sent_at: Option<Time>,
}

impl ObservedPermit {
    fn new(now: Time, permit: &Permit) -> Self {
        Self {
            stage: permit.stage.clone(),
            begins: permit.begins,
            since: now,
            first: None,
            incarnations: BTreeSet::new(),
            turn_sent_at: None,
        }
    }

    fn update(&mut self, now: Time, permit: &Permit) {
        if self.stage == permit.stage && self.begins == permit.begins {
            return;
        }
        self.stage = permit.stage.clone();
        self.begins = permit.begins;
        self.since = now;
        // Its right is of the incarnation that was heard by then, or of a later one.
        self.first = None;
    }

    /// The time in which a step may be taken counts from now.
    pub(super) fn restart(&mut self, now: Time) {
        self.since = now;
        self.incarnations.clear();
    }
}

/// The permits of the replicated state as this leader observed them.
#[derive(Debug, Default)]
pub(super) struct PermitController {
    observed: BTreeMap<u64, ObservedPermit>,
}

impl PermitController {
    /// A server reported.
    pub(super) fn reported(&mut self, record: &ReplicatedState, name: &Name, incarnation: u64) {
        for (epoch, observed) in &mut self.observed {
            let target = record.permits.get(epoch).map(|permit| &permit.target);
            let is_its = matches!(target, Some(Target::Server(of)) if of == name);
            if is_its && observed.incarnations.len() <= MAX_INCARNATIONS {
                observed.incarnations.insert(incarnation);
            }
        }
    }

    /// What was observed of a permit.
    pub(super) fn get_mut(&mut self, epoch: u64) -> Option<&mut ObservedPermit> {
        self.observed.get_mut(&epoch)
    }

    /// The rollout goes the other way: what was observed before says nothing of it.
    pub(super) fn restart_all(&mut self, now: Time) {
        for observed in self.observed.values_mut() {
            observed.restart(now);
            observed.turn_sent_at = None;
        }
    }

    /// Commands that end permits which are over.
    pub(super) fn ended(&mut self, context: &Context<'_>) -> Vec<KeyedCommand> {
        let record = context.record;
        self.observed.retain(|epoch, _| record.permits.contains_key(epoch));
        let mut commands = Vec::new();
        for (epoch, permit) in &record.permits {
            let new = || ObservedPermit::new(context.now, permit);
            let observed = self.observed.entry(*epoch).or_insert_with(new);
            observed.update(context.now, permit);
            if let Some(command) = end_of(context, *epoch, permit, observed) {
                commands.push(KeyedCommand { key: format!("permit {epoch}"), command });
            }
        }
        commands
    }
}

/// The command that ends a permit, if it is over.
fn end_of(
    context: &Context<'_>,
    epoch: u64,
    permit: &Permit,
    observed: &mut ObservedPermit,
) -> Option<Command> {
    let now = context.now;
    let holder = match &permit.target {
        Target::Server(name) => context.servers.get(name),
        _ => None,
    };
    if observed.first.is_none() {
        observed.first = holder.map(|heard| heard.incarnation);
    }
    let restarted = holder.is_some_and(|heard| observed.first.is_some_and(|first| heard.incarnation > first));
    let right_is_over = restarted
        || has_wanted_version(context, permit, holder)
        || now >= time_after(observed.since, right_to_begin(context));
    let stable = |name: &Name, span: Span| context.servers.is_stable(now, name, span);
    let by = PermitEnd::Stable(permit.begins);
    match (&permit.stage, &permit.target) {
        (PermitStage::Released, _) if right_is_over => Some(Command::PermitExpired { epoch }),
        (PermitStage::Begun, Target::Server(name))
            if right_is_over && stable(name, context.settings.stabilization) =>
        {
            Some(Command::End { epoch, by })
        }
        (PermitStage::Reserved, Target::Server(name))
            if now >= time_after(observed.since, UNUSED_AFTER) && stable(name, UNUSED_AFTER) =>
        {
            Some(Command::End { epoch, by })
        }
        _ => None,
    }
}

/// Whether a holder has what its permit was for: then it has no right to begin once more.
fn has_wanted_version(context: &Context<'_>, permit: &Permit, holder: Option<&HeardServer>) -> bool {
    let Purpose::Release(number) = &permit.purpose else { return false };
    let Target::Server(name) = &permit.target else { return false };
    let release = context.record.release.as_ref().filter(|release| release.number == *number);
    let (Some(release), Some(heard)) = (release, holder) else { return false };
    release
        .servers
        .get(name)
        .is_some_and(|server| *heard.report.version(release.plan.kind) == release.wanted(server))
}

/// How long a right to begin may last by the slowest and the fastest clock.
fn right_to_begin(context: &Context<'_>) -> Span {
    let drift = context.settings.max_drift_ppm;
    let fast = 1_000_000 + drift;
    let slow = 1_000_000 - drift.min(999_999);
    let span = u128::from(BEGIN_TIMEOUT.0) * u128::from(fast) / u128::from(slow);
    Span(span as u64 + AGREED_WITHIN.0)
}
