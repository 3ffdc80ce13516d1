//! Operators' orders, on the leader.

use super::proposals::Waiter;
use super::servers::HeardServer;
use super::{Controller, ControllerEffect};
use crate::consensus::{ConsensusVoter, VoterId};
use crate::messages::{OperatorCommand, OperatorCommandReply};
use crate::replicated_state::{Command, Name, PermitEnd, Purpose, Target};
use crate::rollout::{ReleaseKind, RolloutCommand, RolloutPlan};
use gradepin_admission::Time;
use std::sync::Arc;

impl Controller {
    /// An operator orders something; what it came to is told by [`ControllerEffect::OrderReply`] with the ticket.
    pub fn order(&mut self, now: Time, council: &mut ConsensusVoter, ticket: u64, order: OperatorCommand) {
        if let OperatorCommand::Rollout(RolloutCommand::Halt { name, .. }) = &order {
            // It takes effect here before anybody agrees.
            self.halt(council.record(), name);
        }
        if council.leads().is_none() {
            let leader = council.leader().and_then(|id| council.record().voters.get(&id).cloned());
            return self.order_reply(ticket, OperatorCommandReply::Redirect(leader));
        }
        if let Err(why) = self.try_order(now, council, ticket, order) {
            self.order_reply(ticket, OperatorCommandReply::Done(Err(why)));
        }
    }

    fn order_reply(&mut self, ticket: u64, reply: OperatorCommandReply) {
        self.effects.push(ControllerEffect::OrderReply { ticket, reply });
    }

    fn try_order(
        &mut self,
        now: Time,
        council: &mut ConsensusVoter,
        ticket: u64,
        order: OperatorCommand,
    ) -> Result<(), String> {
        let command = match order {
            OperatorCommand::GrantPermit { target, by } => self.take_out(now, council, target, by)?,
            OperatorCommand::EndPermit { target, by } => put_in(council, &target, &by)?,
            OperatorCommand::ReleasePermit { epoch, by, why } => Command::ReleasePermit { epoch, by, why },
            OperatorCommand::RemoveServer { name, by, why } => {
                if self.servers.get_fresh(now, &name).is_some() {
                    return Err(format!("{name} is there"));
                }
                self.servers.remove(&name);
                Command::RemoveServer { name, by, why }
            }
            OperatorCommand::ChangeVoter { name, puts_in, by } => {
                let text = self.change_voters(council, &name, puts_in)?;
                self.effects.push(ControllerEffect::Log(false, format!("{by}: {text}")));
                self.order_reply(ticket, OperatorCommandReply::Done(Ok(text)));
                return Ok(());
            }
            OperatorCommand::StartRollout { plan, by } => self.start_release(now, council, plan, by)?,
            OperatorCommand::Rollout(order) => Command::Release(order),
        };
        let proposed = self.proposals.propose(now, council, command, Waiter::Operator(ticket));
        proposed.map(drop).map_err(|why| why.to_string())
    }

    fn take_out(
        &self,
        now: Time,
        council: &ConsensusVoter,
        target: Target,
        by: Name,
    ) -> Result<Command, String> {
        if let Target::Server(name) = &target {
            return Err(format!("a server asks itself: tell {name} to leave"));
        }
        self.context(now, council.record()).fits(&target).map_err(|why| why.to_string())?;
        Ok(Command::Reserve { target, holder: by, life: 0, purpose: Purpose::Drain })
    }

    fn start_release(
        &self,
        now: Time,
        council: &ConsensusVoter,
        plan: Box<RolloutPlan>,
        by: Name,
    ) -> Result<Command, String> {
        plan.check()?;
        let roster = council.record().roster.keys();
        let heard: Vec<(&Name, &HeardServer)> =
            roster.filter_map(|name| Some((name, self.servers.get_fresh(now, name)?))).collect();
        if plan.kind == ReleaseKind::Settings {
            let lacks: Vec<&str> = heard
                .iter()
                .filter(|(_, heard)| !heard.report.staged.contains(&plan.version))
                .map(|(name, _)| &***name)
                .collect();
            if !lacks.is_empty() {
                return Err(format!("settings {} aren't staged on {}", plan.version, lacks.join(", ")));
            }
        }
        let before = heard
            .iter()
            .map(|(name, heard)| (Arc::clone(name), heard.report.version(plan.kind).clone()))
            .collect();
        Ok(Command::Release(RolloutCommand::Start { plan, by, before }))
    }

    fn change_voters(
        &self,
        council: &mut ConsensusVoter,
        name: &Name,
        puts_in: bool,
    ) -> Result<String, String> {
        let voters = &council.record().voters;
        let present: Vec<VoterId> = voters.iter().filter(|(_, of)| *of == name).map(|(id, _)| *id).collect();
        let reported = self.servers.get(name).and_then(|heard| heard.report.voter);
        if !puts_in {
            // Of two disks of one name the one goes that isn't there any more.
            let id = present.iter().copied().find(|id| Some(*id) != reported).or(present.first().copied());
            let id = id.ok_or_else(|| format!("{name} is no voter"))?;
            council.change(id, None).map_err(|why| why.to_string())?;
            return Ok(format!("{name} (disk {id:x}) is to be no voter any more"));
        }
        let id = reported
            .ok_or_else(|| format!("{name} isn't heard, or its settings name no store for a council"))?;
        if present.contains(&id) {
            return Err(format!("{name} is a voter with this disk"));
        }
        council.change(id, Some(name)).map_err(|why| why.to_string())?;
        Ok(format!("{name} (disk {id:x}) is to be a voter"))
    }
}

/// Ends the permit of a zone or of a service's member.
fn put_in(council: &ConsensusVoter, target: &Target, by: &Name) -> Result<Command, String> {
    let permit = council.record().permit_of(target);
    let (epoch, permit) = permit.ok_or_else(|| format!("{target} has no permit"))?;
    if permit.holder != *by {
        return Err(format!("the permit of {target} is {}'s", permit.holder));
    }
    Ok(Command::End { epoch, by: PermitEnd::HolderCancelled(permit.life) })
}
