//! What the fleet agrees on, as the door tells it.
//!
//! ```text
//! GET /fleet/status  {"leader": "n1", "voter": true, "age_s": 0.2, "limits": {..}, "servers": [{"name", "zone", "heard", "permit",
//!                     "program", "settings", "step"}, ..], "permits": [{"epoch", "target", "holder", "for", "stage"}, ..],
//!                     "release": {"name", "state", "wave", "halts", ..}, "waits": {"for_s", "why"}, "acts": [..]}
//! POST /fleet/found  200 "a council of n0, n1, n2 is founded", each time it is asked for; 409 where other voters have one, or one
//!                     isn't heard
//! POST /fleet/order  202 and a ticket; GET /fleet/order?ticket=N  202 while it is under way, 200 and what came of it, or 409 and why not
//! ```

use super::http::Response;
use gradepin_coordination::replicated_state::{Limits, PermitStage, Purpose, Target};
use gradepin_coordination::rollout::{Rollout, ServerProgress};
use gradepin_coordination::server_agent::{AgentStatus, CommandStatus, KnownState, RunningVersions};
use gradepin_core::admin::AgreementResponse;
use serde_json::{Value, json};

/// The response to a call about the fleet's agreements.
pub fn response(answer: &AgreementResponse) -> Response {
    let said = |said: &Result<String, String>| match said {
        Ok(text) => Response::text(200, format!("{text}\n")),
        Err(why) => Response::text(409, format!("{why}\n")),
    };
    match answer {
        AgreementResponse::Off => {
            Response::text(404, "this server takes no part in what a fleet agrees on\n")
        }
        AgreementResponse::Status(status) => {
            let mut response = Response::text(200, format!("{}\n", value(status)));
            response.content_type = "application/json";
            response
        }
        AgreementResponse::Ticket(ticket) => Response::text(202, format!("{ticket}\n")),
        AgreementResponse::CommandStatus(CommandStatus::Pending) => Response::text(202, "under way\n"),
        AgreementResponse::CommandStatus(CommandStatus::Unknown) => {
            Response::text(404, "no order of this ticket is known here\n")
        }
        AgreementResponse::CommandStatus(CommandStatus::Finished(Ok(text))) => said(&Ok(text.clone())),
        AgreementResponse::CommandStatus(CommandStatus::Finished(Err(why))) => said(&Err(why.to_string())),
        AgreementResponse::Completed(answer) => said(answer),
        AgreementResponse::TargetVersion(Some(version)) => Response::text(200, format!("{version}\n")),
        AgreementResponse::TargetVersion(None) => {
            Response::text(404, "no release says which version it shall have\n")
        }
    }
}

fn stage(stage: &PermitStage) -> &'static str {
    match stage {
        PermitStage::Reserved => "reserved",
        PermitStage::Begun => "begun",
        PermitStage::Released => "freed",
    }
}

fn step(step: &ServerProgress) -> String {
    match step {
        ServerProgress::Pending => "waits".into(),
        ServerProgress::Updating => "changes".into(),
        ServerProgress::Updated => "new".into(),
        ServerProgress::Failed(why) => format!("failed: {why}"),
        ServerProgress::RollingBack => "goes back".into(),
        ServerProgress::RolledBack => "back".into(),
        ServerProgress::RollbackFailed(why) => format!("can't go back: {why}"),
    }
}

fn limits(limits: &Limits) -> Value {
    json!({"fleet": limits.fleet, "zone": limits.zone, "zones": limits.zones, "services": limits.services})
}

fn release(release: &Rollout) -> Value {
    json!({
        "name": release.plan.name, "number": release.number, "version": release.plan.version, "by": &*release.operator,
        "state": release.state.to_string(), "open": release.is_open(), "wave": release.batch,
        "waves": release.plan.batches.len(), "halts": release.halt_count,
    })
}

fn value(status: &AgentStatus) -> Value {
    let mut value = json!({
        "leader": status.leader.as_deref(), "voter": status.is_voter, "lost": status.exclusion,
        "unsure": status.restricts_votes,
    });
    value["waits"] = status
        .waiting_request
        .as_ref()
        .map_or(Value::Null, |request| json!({"for_s": request.waiting_s, "why": request.reason}));
    let Some(KnownState { state: record, age_s }) = &status.known_state else { return value };
    value["age_s"] = if age_s.is_finite() { json!(age_s) } else { Value::Null };
    value["index"] = json!(record.index);
    value["voters"] = json!(record.voters.values().map(|name| &**name).collect::<Vec<_>>());
    value["limits"] = limits(&record.limits);
    let servers = record.roster.iter().map(|(name, member)| {
        let permit = record.permit_of(&Target::Server(name.clone())).map(|(epoch, _)| epoch);
        let RunningVersions { program, settings } = status.versions.get(name).cloned().unwrap_or_default();
        let of = record.rollout.as_ref().and_then(|release| release.servers.get(name));
        // Who isn't heard to be ready is known to voters alone.
        let heard = status.is_voter.then(|| !status.not_ready.contains(name));
        json!({"name": &**name, "zone": &*member.zone, "ready": heard, "permit": permit, "program": program,
               "settings": settings, "step": of.map(|server| step(&server.progress))})
    });
    value["servers"] = servers.collect();
    let permits = record.permits.iter().map(|(epoch, permit)| {
        let purpose = match permit.purpose {
            Purpose::Drain => "drain".to_string(),
            Purpose::Release(number) => format!("release {number}"),
        };
        json!({"epoch": epoch, "target": permit.target.to_string(), "holder": &*permit.holder, "for": purpose,
               "stage": stage(&permit.stage)})
    });
    value["permits"] = permits.collect();
    value["release"] = record.rollout.as_ref().map_or(Value::Null, release);
    let acts = record.operator_actions.iter().rev().take(8);
    value["acts"] = acts
        .map(|act| json!({"index": act.index, "by": &*act.operator, "what": act.action, "why": act.reason}))
        .collect();
    value
}

#[cfg(test)]
mod tests;
