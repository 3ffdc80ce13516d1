//! Operator commands on the leader: each is checked against the reports of servers, then proposed.

use super::proposals::Waiter;
use super::servers::ReportingServer;
use super::{Controller, ControllerEffect};
use crate::consensus::{ConsensusVoter, ProposalError, VoterId};
use crate::ids::{Epoch, Name, Ticket};
use crate::messages::{CommandFailure, CommandResult, OperatorCommand, OperatorCommandReply};
use crate::replicated_state::{Command, DenialReason, PermitEnd, Purpose, Target};
use crate::rollout::{PlanError, ReleaseKind, RolloutCommand, RolloutPlan};
use gradepin_admission::Time;
use slog::Level;
use std::sync::Arc;

/// Why the leader rejects an operator's command.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
enum CommandRejected {
    /// Only a server without a fresh report can be removed.
    #[error("server {0} still reports; only a server that doesn't report can be removed")]
    ServerIsPresent(Name),
    /// A server requests its permit itself.
    #[error("a server requests its own permit: order {0} to leave instead")]
    RequestedByServer(Name),
    /// Some reporting servers lack the staged settings.
    #[error("settings {version} aren't staged on {servers}")]
    NotStaged { version: String, servers: String },
    #[error("{0} is not a voter")]
    NotVoter(Name),
    /// The server doesn't report a voter identity.
    #[error(
        "{0} has not reported a voter identity: it doesn't report, or its settings have no council folder"
    )]
    UnknownIdentity(Name),
    #[error("{0} is already a voter with its present disk")]
    AlreadyVoter(Name),
    #[error("{0} has no permit")]
    NoPermit(Target),
    #[error("the permit of {target} is held by {holder}")]
    OtherHolder { target: Target, holder: Name },
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Denied(#[from] DenialReason),
    #[error(transparent)]
    Proposal(#[from] ProposalError),
}

impl Controller {
    /// Executes an operator's command. The result follows as [`ControllerEffect::CommandReply`] with the same ticket.
    pub fn execute(
        &mut self,
        now: Time,
        consensus: &mut ConsensusVoter,
        ticket: Ticket,
        command: OperatorCommand,
    ) {
        if let OperatorCommand::Rollout(RolloutCommand::Halt { name, .. }) = &command {
            // Effective on this voter before the halt is committed.
            self.halt(consensus.state(), name);
        }
        if consensus.leader_term().is_none() {
            let leader = consensus.leader().and_then(|id| consensus.state().voters.get(&id).cloned());
            return self.reply_to_command(ticket, OperatorCommandReply::Redirect(leader));
        }
        if let Err(reason) = self.try_execute(now, consensus, ticket, command) {
            self.finish_command(ticket, Err(CommandFailure(reason.to_string())));
        }
    }

    /// Sends an operator the result of a command.
    pub(super) fn finish_command(&mut self, ticket: Ticket, result: CommandResult) {
        self.reply_to_command(ticket, OperatorCommandReply::Done(result));
    }

    fn reply_to_command(&mut self, ticket: Ticket, reply: OperatorCommandReply) {
        self.effects.push(ControllerEffect::CommandReply { ticket, reply });
    }

    fn try_execute(
        &mut self,
        now: Time,
        consensus: &mut ConsensusVoter,
        ticket: Ticket,
        command: OperatorCommand,
    ) -> Result<(), CommandRejected> {
        let command = match command {
            OperatorCommand::GrantPermit { target, operator } => {
                self.grant_permit(now, consensus, target, operator)?
            }
            OperatorCommand::EndPermit { target, operator } => end_permit(consensus, &target, &operator)?,
            OperatorCommand::ReleasePermit { epoch, operator, reason } => {
                Command::ReleasePermit { epoch, operator, reason }
            }
            OperatorCommand::RemoveServer { name, operator, reason } => {
                self.remove_server(now, name, operator, reason)?
            }
            OperatorCommand::ChangeVoter { name, add, operator } => {
                let text = self.change_voter(consensus, &name, add)?;
                let log_text = format!("{operator}: {text}");
                self.effects.push(ControllerEffect::Log { level: Level::Info, text: log_text });
                self.finish_command(ticket, Ok(text));
                return Ok(());
            }
            OperatorCommand::StartRollout { plan, operator } => {
                self.start_rollout(now, consensus, plan, operator)?
            }
            OperatorCommand::Rollout(command) => Command::Rollout(command),
        };
        self.proposals.propose(now, consensus, command, Waiter::Operator { ticket })?;
        Ok(())
    }

    fn remove_server(
        &mut self,
        now: Time,
        name: Name,
        operator: Name,
        reason: String,
    ) -> Result<Command, CommandRejected> {
        if self.servers.get_fresh(now, &name).is_some() {
            return Err(CommandRejected::ServerIsPresent(name));
        }
        self.servers.remove(&name);
        Ok(Command::RemoveServer { name, operator, reason })
    }

    fn grant_permit(
        &self,
        now: Time,
        consensus: &ConsensusVoter,
        target: Target,
        operator: Name,
    ) -> Result<Command, CommandRejected> {
        if let Target::Server(name) = target {
            return Err(CommandRejected::RequestedByServer(name));
        }
        self.context(now, consensus.state()).fits(&target)?;
        Ok(Command::Reserve { target, holder: operator, incarnation: 0, purpose: Purpose::Drain })
    }

    fn start_rollout(
        &self,
        now: Time,
        consensus: &ConsensusVoter,
        plan: Box<RolloutPlan>,
        operator: Name,
    ) -> Result<Command, CommandRejected> {
        plan.check()?;
        let roster = consensus.state().roster.keys();
        let reporting: Vec<(&Name, &ReportingServer)> =
            roster.filter_map(|name| Some((name, self.servers.get_fresh(now, name)?))).collect();
        if plan.kind == ReleaseKind::Settings {
            check_staged(&plan.version, &reporting)?;
        }
        let version_of = |(name, server): &(&Name, &ReportingServer)| {
            (Arc::clone(name), server.report.version(plan.kind).clone())
        };
        let versions = reporting.iter().map(version_of).collect();
        Ok(Command::Rollout(RolloutCommand::Start { plan, operator, versions }))
    }

    /// Proposes a change of the voters; returns the text for the operator.
    fn change_voter(
        &self,
        consensus: &mut ConsensusVoter,
        name: &Name,
        add: bool,
    ) -> Result<String, CommandRejected> {
        let voters = &consensus.state().voters;
        let present: Vec<VoterId> = voters.iter().filter(|(_, of)| *of == name).map(|(id, _)| *id).collect();
        let reported = self.servers.get(name).and_then(|server| server.report.voter);
        if !add {
            // If a server is a voter with two disks, remove the disk that it no longer reports.
            let replaced = present.iter().copied().find(|id| Some(*id) != reported);
            let id = replaced.or(present.first().copied());
            let id = id.ok_or_else(|| CommandRejected::NotVoter(Arc::clone(name)))?;
            consensus.change_membership(id, None)?;
            return Ok(format!("proposed: remove voter {name} (disk {id:x})"));
        }
        let id = reported.ok_or_else(|| CommandRejected::UnknownIdentity(Arc::clone(name)))?;
        if present.contains(&id) {
            return Err(CommandRejected::AlreadyVoter(Arc::clone(name)));
        }
        consensus.change_membership(id, Some(name))?;
        Ok(format!("proposed: add voter {name} (disk {id:x})"))
    }
}

/// Checks that all reporting servers have the settings staged.
fn check_staged(version: &String, reporting: &[(&Name, &ReportingServer)]) -> Result<(), CommandRejected> {
    let lacks_them = |(_, server): &&(&Name, &ReportingServer)| !server.report.staged.contains(version);
    let lacking: Vec<&str> = reporting.iter().filter(lacks_them).map(|(name, _)| &***name).collect();
    if lacking.is_empty() {
        return Ok(());
    }
    Err(CommandRejected::NotStaged { version: version.clone(), servers: lacking.join(", ") })
}

/// Ends a permit that an operator holds, for a zone or a service member.
fn end_permit(
    consensus: &ConsensusVoter,
    target: &Target,
    operator: &Name,
) -> Result<Command, CommandRejected> {
    let permit = consensus.state().permit_of(target);
    let (epoch, permit): (Epoch, _) = permit.ok_or_else(|| CommandRejected::NoPermit(target.clone()))?;
    if permit.holder != *operator {
        let holder = Arc::clone(&permit.holder);
        return Err(CommandRejected::OtherHolder { target: target.clone(), holder });
    }
    Ok(Command::End { epoch, observed: PermitEnd::HolderCancelled(permit.incarnation) })
}
