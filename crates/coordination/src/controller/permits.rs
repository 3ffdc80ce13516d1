//! Ends permits: once the holder is back and stable, or once a released permit gives no right to begin any more.
//!
//! A holder's right to begin lasts [`BEGIN_TIMEOUT`] from its request on its own clock. The leader treats the right as expired
//! only when it has expired on any clock within the allowed drift. A later incarnation has none of the rights of an earlier
//! one.

use super::requests::MAX_COMMIT_LATENCY;
use super::servers::ReportingServer;
use super::{Context, KeyedCommand, NANOS_PER_MS};
use crate::ids::{Epoch, Incarnation, Name};
use crate::messages::BEGIN_TIMEOUT;
use crate::replicated_state::{Command, Permit, PermitEnd, PermitStage, Purpose, ReplicatedState, Target};
use gradepin_admission::{Span, Time, time_after};
use std::collections::{BTreeMap, BTreeSet};

/// A reserved permit that isn't begun ends after this time, if its server has been ready throughout.
const UNUSED_TIMEOUT: Span = Span(30_000 * NANOS_PER_MS);
/// Maximum incarnations of one server within a step; more count as a crash loop.
pub(super) const MAX_INCARNATIONS: usize = 3;
const PARTS_PER_MILLION: u64 = 1_000_000;

/// What this leader has observed of a permit in its term.
#[derive(Debug)]
pub(super) struct ObservedPermit {
    stage: PermitStage,
    begin_grants: u32,
    /// Time of the last change of stage or grants, or of the restart of the step's timeout.
    pub since: Time,
    /// First incarnation reported since the last grant; a later one has no right to begin.
    first_incarnation: Option<Incarnation>,
    /// Incarnations that reported since the step's timeout started; at most [`MAX_INCARNATIONS`] + 1.
    pub incarnations: BTreeSet<Incarnation>,
    /// Time of the last assignment of the step to the permit's server.
    pub assigned_at: Option<Time>,
}

impl ObservedPermit {
    fn new(now: Time, permit: &Permit) -> Self {
        Self {
            stage: permit.stage.clone(),
            begin_grants: permit.begin_grants,
            since: now,
            first_incarnation: None,
            incarnations: BTreeSet::new(),
            assigned_at: None,
        }
    }

    fn update(&mut self, now: Time, permit: &Permit) {
        if self.stage == permit.stage && self.begin_grants == permit.begin_grants {
            return;
        }
        self.stage = permit.stage.clone();
        self.begin_grants = permit.begin_grants;
        self.since = now;
        // The new right belongs to the incarnation that reports next, or to a later one.
        self.first_incarnation = None;
    }

    /// Restarts the step's timeout and its count of incarnations.
    pub(super) fn restart(&mut self, now: Time) {
        self.since = now;
        self.incarnations.clear();
    }
}

/// This leader's observations of the permits in the replicated state, by epoch.
#[derive(Debug, Default)]
pub(super) struct PermitController {
    observed: BTreeMap<Epoch, ObservedPermit>,
}

impl PermitController {
    /// Records the incarnation of a server that reported, with the permits for that server.
    pub(super) fn record_report(&mut self, state: &ReplicatedState, name: &Name, incarnation: Incarnation) {
        for (epoch, observed) in &mut self.observed {
            let target = state.permits.get(epoch).map(|permit| &permit.target);
            let is_for_server = matches!(target, Some(Target::Server(server)) if server == name);
            if is_for_server && observed.incarnations.len() <= MAX_INCARNATIONS {
                observed.incarnations.insert(incarnation);
            }
        }
    }

    /// Returns the observations of a permit.
    pub(super) fn get_mut(&mut self, epoch: Epoch) -> Option<&mut ObservedPermit> {
        self.observed.get_mut(&epoch)
    }

    /// Restarts timeouts and assignments of all steps, after the rollout changed its direction.
    pub(super) fn restart_all(&mut self, now: Time) {
        for observed in self.observed.values_mut() {
            observed.restart(now);
            observed.assigned_at = None;
        }
    }

    /// Returns the commands for permits that have ended.
    pub(super) fn ended(&mut self, context: &Context<'_>) -> Vec<KeyedCommand> {
        let state = context.state;
        self.observed.retain(|epoch, _| state.permits.contains_key(epoch));
        let mut commands = Vec::new();
        for (epoch, permit) in &state.permits {
            let new = || ObservedPermit::new(context.now, permit);
            let observed = self.observed.entry(*epoch).or_insert_with(new);
            observed.update(context.now, permit);
            if let Some(command) = end_command(context, *epoch, permit, observed) {
                commands.push(KeyedCommand { key: format!("permit {epoch}"), command });
            }
        }
        commands
    }
}

/// Returns the command that ends a permit, if it has ended.
fn end_command(
    context: &Context<'_>,
    epoch: Epoch,
    permit: &Permit,
    observed: &mut ObservedPermit,
) -> Option<Command> {
    let now = context.now;
    let holder = match &permit.target {
        Target::Server(name) => context.servers.get(name),
        _ => None,
    };
    let may_still_begin = has_right_to_begin(context, permit, observed, holder);
    let is_stable = |name: &Name, span: Span| context.servers.is_stable(now, name, span);
    let end = Command::End { epoch, observed: PermitEnd::Stable(permit.begin_grants) };
    match (&permit.stage, &permit.target) {
        (PermitStage::Released, _) if !may_still_begin => Some(Command::PermitExpired { epoch }),
        (PermitStage::Begun, Target::Server(name))
            if !may_still_begin && is_stable(name, context.settings.stabilization) =>
        {
            Some(end)
        }
        (PermitStage::Reserved, Target::Server(name))
            if now >= time_after(observed.since, UNUSED_TIMEOUT) && is_stable(name, UNUSED_TIMEOUT) =>
        {
            Some(end)
        }
        _ => None,
    }
}

/// Whether a holder may still begin its outage by an earlier grant.
fn has_right_to_begin(
    context: &Context<'_>,
    permit: &Permit,
    observed: &mut ObservedPermit,
    holder: Option<&ReportingServer>,
) -> bool {
    if observed.first_incarnation.is_none() {
        observed.first_incarnation = holder.map(|server| server.incarnation);
    }
    let has_restarted = holder
        .is_some_and(|server| observed.first_incarnation.is_some_and(|first| server.incarnation > first));
    let has_expired = context.now >= time_after(observed.since, right_to_begin(context));
    !(has_restarted || has_expired || has_target_version(context, permit, holder))
}

/// Whether a holder already runs the version that its permit was for, so it won't begin again.
fn has_target_version(context: &Context<'_>, permit: &Permit, holder: Option<&ReportingServer>) -> bool {
    let Purpose::Rollout(number) = &permit.purpose else { return false };
    let Target::Server(name) = &permit.target else { return false };
    let rollout = context.state.rollout.as_ref().filter(|rollout| rollout.number == *number);
    let (Some(rollout), Some(holder)) = (rollout, holder) else { return false };
    let runs = holder.report.version(rollout.plan.kind);
    rollout.servers.get(name).is_some_and(|server| *runs == rollout.target_version(server))
}

/// Maximum duration of a right to begin on this leader's clock, if this clock is the fastest and the holder's the slowest
/// allowed.
fn right_to_begin(context: &Context<'_>) -> Span {
    let drift_ppm = context.settings.max_drift_ppm;
    let fastest = PARTS_PER_MILLION + drift_ppm;
    let slowest = PARTS_PER_MILLION - drift_ppm.min(PARTS_PER_MILLION - 1);
    let nanos = u128::from(BEGIN_TIMEOUT.0) * u128::from(fastest) / u128::from(slowest);
    Span(nanos as u64 + MAX_COMMIT_LATENCY.0)
}
