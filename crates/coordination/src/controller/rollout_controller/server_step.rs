//! The step of one server of the rollout: reserve a permit, assign the step, and record progress once the server is stable with
//! the target version. A failed step stops the rollout, unless other servers are out too, which points to another cause.

use super::RolloutStep;
use crate::controller::permits::{MAX_INCARNATIONS, ObservedPermit, PermitController};
use crate::controller::servers::ReportingServer;
use crate::controller::{Context, ControllerEffect, KeyedCommand, NANOS_PER_MS};
use crate::ids::{Epoch, MAX_TEXT_BYTES, Name};
use crate::messages::StepAssignment;
use crate::replicated_state::{Command, Permit, PermitStage, Purpose, Target};
use crate::rollout::{Rollout, RolloutState, ServerProgress};
use gradepin_admission::{Span, time_after};
use std::sync::Arc;

/// Interval at which the same step is assigned to a server again; an assignment may be lost.
const ASSIGNMENT_INTERVAL: Span = Span(500 * NANOS_PER_MS);
/// Minimum other servers out without a permit for a failure to count as caused by something other than the version.
const MIN_OTHERS_OUT: usize = 2;
/// In a large fleet that minimum is the fleet's size divided by this number.
const FLEET_PER_OTHER_OUT: usize = 100;

/// Whether the rollout continues after a step of one server.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ServerStepResult {
    /// The step is done, in progress, or not possible yet.
    Continues,
    /// The step failed, and a halt or rollback of the rollout is proposed.
    Stopped,
}

/// A server whose step is due, with its target version.
struct DueServer<'a> {
    rollout: &'a Rollout,
    name: &'a Name,
    target_version: &'a String,
    /// The server's last report, if it is fresh.
    reporting: Option<&'a ReportingServer>,
}

impl DueServer<'_> {
    fn has_target_version(&self) -> bool {
        let kind = self.rollout.plan.kind;
        self.reporting.is_some_and(|server| server.report.version(kind) == self.target_version)
    }
}

/// Advances the step of one server.
pub(super) fn step_server(
    context: &Context<'_>,
    permits: &mut PermitController,
    rollout: &Rollout,
    name: &Name,
    step: &mut RolloutStep,
) -> ServerStepResult {
    let Some(server) = rollout.servers.get(name) else { return ServerStepResult::Continues };
    let is_update = rollout.state == RolloutState::Running;
    let target_version = if is_update { &rollout.plan.version } else { &server.previous_version };
    let reporting = context.servers.get_fresh(context.now, name);
    let server = DueServer { rollout, name, target_version, reporting };
    let is_stable = context.servers.is_stable(context.now, name, rollout.plan.stabilization());
    if server.has_target_version() && is_stable {
        let progress = if is_update { ServerProgress::Updated } else { ServerProgress::RolledBack };
        step.record_progress(rollout.number, name, progress);
        return ServerStepResult::Continues;
    }
    let permit = context.state.permit_of(&Target::Server(Arc::clone(name)));
    let permit = permit.filter(|(_, permit)| permit.purpose == Purpose::Rollout(rollout.number));
    let Some((epoch, permit)) = permit else {
        reserve(context, &server, step);
        return ServerStepResult::Continues;
    };
    let Some(observed) = permits.get_mut(epoch) else { return ServerStepResult::Continues };
    let Some(reason) = failure(context, &server, permit, observed) else {
        assign(context, &server, epoch, observed, step);
        return ServerStepResult::Continues;
    };
    if others_are_out(context, name) {
        // Probably a power failure or a partition rather than the version: restart the timeout.
        observed.restart(context.now);
        return ServerStepResult::Continues;
    }
    let text = format!("{name}: {reason}");
    let progress =
        if is_update { ServerProgress::Failed(reason) } else { ServerProgress::RollbackFailed(reason) };
    step.record_progress(rollout.number, name, progress);
    step.stop(rollout, text);
    ServerStepResult::Stopped
}

/// Assigns the step to a server that has a permit for it, at most once per [`ASSIGNMENT_INTERVAL`].
fn assign(
    context: &Context<'_>,
    server: &DueServer<'_>,
    epoch: Epoch,
    observed: &mut ObservedPermit,
    step: &mut RolloutStep,
) {
    let now = context.now;
    let is_due = observed.assigned_at.is_none_or(|at| now >= time_after(at, ASSIGNMENT_INTERVAL));
    if !is_due || server.reporting.is_none() || server.has_target_version() {
        return;
    }
    observed.assigned_at = Some(now);
    let assignment = StepAssignment {
        rollout: server.rollout.number,
        epoch,
        kind: server.rollout.plan.kind,
        version: server.target_version.clone(),
    };
    step.effects.push(ControllerEffect::AssignStep { to: Arc::clone(server.name), assignment });
}

/// Proposes to reserve a permit for a reporting server, if the limits allow it.
fn reserve(context: &Context<'_>, server: &DueServer<'_>, step: &mut RolloutStep) {
    let Some(reporting) = server.reporting else { return };
    let target = Target::Server(Arc::clone(server.name));
    if context.fits(&target).is_err() {
        return;
    }
    let command = Command::Reserve {
        target,
        holder: Arc::clone(server.name),
        incarnation: reporting.incarnation,
        purpose: Purpose::Rollout(server.rollout.number),
    };
    step.commands.push(KeyedCommand { key: format!("reserve {}", server.name), command });
}

/// Returns why a server's step failed: by its own report, by a crash loop, or by timeout.
fn failure(
    context: &Context<'_>,
    server: &DueServer<'_>,
    permit: &Permit,
    observed: &ObservedPermit,
) -> Option<String> {
    let rollout = server.rollout;
    let failed = server.reporting.and_then(|server| server.report.failed.as_ref());
    if let Some(failed) = failed.filter(|failed| failed.rollout == rollout.number) {
        // Cut the reason: an entry with a long one might not fit into any message.
        let end = failed.reason.floor_char_boundary(MAX_TEXT_BYTES);
        return Some(failed.reason[..end].to_string());
    }
    if permit.stage != PermitStage::Begun {
        return None;
    }
    if observed.incarnations.len() > MAX_INCARNATIONS {
        return Some("its process restarts repeatedly".into());
    }
    let is_late = context.now >= time_after(observed.since, rollout.plan.ready_timeout());
    is_late.then(|| format!("not ready within {} ms", rollout.plan.ready_timeout_ms))
}

/// Whether other servers are out without a permit too: the rest of this server's zone, or several in the fleet.
fn others_are_out(context: &Context<'_>, name: &Name) -> bool {
    let state = context.state;
    let Some(zone) = state.roster.get(name).map(|member| &member.zone) else { return false };
    let (planned, not_ready) = (state.out_by_permit(), context.not_ready());
    let others = state.roster.iter().filter(|(other, _)| *other != name && !planned.contains(*other));
    let (mut ready_in_zone, mut out_in_zone, mut out_in_fleet) = (0, 0, 0);
    for (other, member) in others {
        let is_out = not_ready.contains(other);
        out_in_fleet += usize::from(is_out);
        if member.zone == *zone {
            ready_in_zone += usize::from(!is_out);
            out_in_zone += usize::from(is_out);
        }
    }
    let is_zone_out = ready_in_zone == 0 && out_in_zone > 0;
    is_zone_out || out_in_fleet >= MIN_OTHERS_OUT.max(state.roster.len() / FLEET_PER_OTHER_OUT)
}
