//! Responses about permits, rollouts and the consensus group.
//!
//! ```text
//! GET /fleet/status  {"leader": "n1", "voter": true, "age_s": 0.2, "limits": {..},
//!                     "servers": [{"name", "zone", "ready", "permit", "program", "settings", "step"}, ..],
//!                     "permits": [{"epoch", "target", "holder", "for", "stage"}, ..],
//!                     "release": {"name", "state", "wave", "halts", ..}, "waits": {"for_s", "why"}, "acts": [..]}
//! POST /fleet/found  200 each time the group is founded; 409 if other voters have a group, or one can't be reached
//! POST /fleet/order  202 and a ticket; GET /fleet/order?ticket=N  202 while it is pending, 200 with the result, or 409
//!                     with the reason
//! ```

use super::http::Response;
use gradepin_coordination::replicated_state::{
    Limits, Member, Name, Permit, PermitStage, Purpose, ReplicatedState, Target,
};
use gradepin_coordination::rollout::{Rollout, ServerProgress};
use gradepin_coordination::server_agent::{AgentStatus, CommandStatus, KnownState, RunningVersions};
use gradepin_core::admin::AgreementResponse;
use serde_json::{Value, json};

/// Maximum number of operator actions in the status, latest first.
const MAX_ACTIONS: usize = 8;

/// Converts a response of the reducer to an HTTP response.
pub(super) fn response(answer: &AgreementResponse) -> Response {
    match answer {
        AgreementResponse::Off => {
            Response::text(404, "this server takes no part in what a fleet agrees on\n")
        }
        AgreementResponse::Status(status) => Response::json(200, format!("{}\n", status_json(status))),
        AgreementResponse::Ticket(ticket) => Response::text(202, format!("{ticket}\n")),
        AgreementResponse::CommandStatus(CommandStatus::Pending) => Response::text(202, "under way\n"),
        AgreementResponse::CommandStatus(CommandStatus::Unknown) => {
            Response::text(404, "no order of this ticket is known here\n")
        }
        AgreementResponse::CommandStatus(CommandStatus::Finished(Ok(result)))
        | AgreementResponse::Completed(Ok(result)) => Response::text(200, format!("{result}\n")),
        AgreementResponse::CommandStatus(CommandStatus::Finished(Err(failure)))
        | AgreementResponse::Completed(Err(failure)) => Response::text(409, format!("{failure}\n")),
        AgreementResponse::TargetVersion(Some(version)) => Response::text(200, format!("{version}\n")),
        AgreementResponse::TargetVersion(None) => {
            Response::text(404, "no release says which version it shall have\n")
        }
    }
}

fn status_json(status: &AgentStatus) -> Value {
    let mut value = json!({
        "leader": status.leader.as_deref(),
        "voter": status.is_voter,
        "lost": status.exclusion,
        "unsure": status.restricts_votes,
    });
    value["waits"] = match &status.waiting_request {
        Some(waiting) => json!({"for_s": waiting.waiting_s, "why": waiting.reason}),
        None => Value::Null,
    };
    let Some(KnownState { state, age_s }) = &status.known_state else { return value };
    value["age_s"] = if age_s.is_finite() { json!(age_s) } else { Value::Null };
    value["index"] = json!(state.index);
    value["voters"] = json!(state.voters.values().map(|name| &**name).collect::<Vec<_>>());
    value["limits"] = limits_json(&state.limits);
    let servers = state.roster.iter().map(|(name, member)| server_json(name, member, state, status));
    value["servers"] = servers.collect();
    value["permits"] = state.permits.iter().map(|(epoch, permit)| permit_json(*epoch, permit)).collect();
    value["release"] = state.rollout.as_ref().map_or(Value::Null, rollout_json);
    let actions = state.operator_actions.iter().rev().take(MAX_ACTIONS);
    value["acts"] = actions
        .map(|action| {
            json!({"index": action.index, "by": &*action.operator, "what": action.action, "why": action.reason})
        })
        .collect();
    value
}

fn limits_json(limits: &Limits) -> Value {
    json!({
        "fleet": limits.fleet,
        "zone": limits.zone,
        "zones": limits.zones,
        "services": limits.services,
    })
}

fn server_json(name: &Name, member: &Member, state: &ReplicatedState, status: &AgentStatus) -> Value {
    let permit = state.permit_of(&Target::Server(name.clone())).map(|(epoch, _)| epoch);
    let RunningVersions { program, settings } = status.versions.get(name).cloned().unwrap_or_default();
    let in_rollout = state.rollout.as_ref().and_then(|rollout| rollout.servers.get(name));
    // Only voters know which servers don't report readiness.
    let ready = status.is_voter.then(|| !status.not_ready.contains(name));
    json!({
        "name": &**name,
        "zone": &*member.zone,
        "ready": ready,
        "permit": permit,
        "program": program,
        "settings": settings,
        "step": in_rollout.map(|server| progress_label(&server.progress)),
    })
}

fn permit_json(epoch: u64, permit: &Permit) -> Value {
    let purpose = match permit.purpose {
        Purpose::Drain => "drain".to_string(),
        Purpose::Rollout(number) => format!("release {number}"),
    };
    json!({
        "epoch": epoch,
        "target": permit.target.to_string(),
        "holder": &*permit.holder,
        "for": purpose,
        "stage": stage_label(&permit.stage),
    })
}

fn rollout_json(rollout: &Rollout) -> Value {
    json!({
        "name": rollout.plan.name,
        "number": rollout.number,
        "version": rollout.plan.version,
        "by": &*rollout.operator,
        "state": rollout.state.to_string(),
        "open": rollout.is_open(),
        "wave": rollout.batch,
        "waves": rollout.plan.batches.len(),
        "halts": rollout.halt_count,
    })
}

fn stage_label(stage: &PermitStage) -> &'static str {
    match stage {
        PermitStage::Reserved => "reserved",
        PermitStage::Begun => "begun",
        PermitStage::Released => "freed",
    }
}

fn progress_label(progress: &ServerProgress) -> String {
    match progress {
        ServerProgress::Pending => "waits".into(),
        ServerProgress::Updating => "changes".into(),
        ServerProgress::Updated => "new".into(),
        ServerProgress::Failed(reason) => format!("failed: {reason}"),
        ServerProgress::RollingBack => "goes back".into(),
        ServerProgress::RolledBack => "back".into(),
        ServerProgress::RollbackFailed(reason) => format!("can't go back: {reason}"),
    }
}

#[cfg(test)]
mod tests;
