//! Permit requests of servers: turns each into a command to propose, and replies once the command is applied.

use super::proposals::{PendingProposal, Waiter};
use super::{Controller, ControllerEffect, NANOS_PER_MS};
use crate::consensus::{ConsensusVoter, ProposalError};
use crate::ids::{Epoch, Incarnation, Name, Ticket};
use crate::messages::{CommandFailure, CommandResult, PermitAction, PermitReply, PermitRequest};
use crate::replicated_state::{
    Command, CommandOutcome, DenialReason, PermitEnd, Purpose, ReplicatedState, Target,
};
use crate::rollout::Rollout;
use gradepin_admission::{Span, Time};
use std::sync::Arc;

/// Maximum time between the proposal and the commit of a grant to begin; after it the reports that were checked are too old.
pub(super) const MAX_COMMIT_LATENCY: Span = Span(1_000 * NANOS_PER_MS);

/// The command to propose for a request.
struct RequestProposal {
    command: Command,
    /// The target that is to be out of service, if the request is to begin.
    begin_target: Option<Target>,
}

impl Controller {
    /// Handles a server's permit request; the reply follows as [`ControllerEffect::Reply`].
    pub fn request(
        &mut self,
        now: Time,
        consensus: &mut ConsensusVoter,
        from: &Name,
        incarnation: Incarnation,
        request: PermitRequest,
    ) {
        let number = request.number;
        let proposal = match self.proposal_for(now, consensus, from, incarnation, request.action) {
            Ok(proposal) => proposal,
            Err(reply) => return self.reply(from, number, reply),
        };
        let RequestProposal { command, begin_target } = proposal;
        let waiter = Waiter::Server { name: Arc::clone(from), number, begin_target };
        if let Err(error) = self.proposals.propose(now, consensus, command, waiter) {
            let leader = match error {
                ProposalError::NotLeader(leader) => consensus.state().voters.get(&leader).cloned(),
                ProposalError::Busy
                | ProposalError::NoLeader
                | ProposalError::NotVoter
                | ProposalError::TooLong => None,
            };
            self.reply(from, number, PermitReply::Redirect { leader });
        }
    }

    /// Returns the command to propose for a request, or the reply if there is nothing to propose.
    fn proposal_for(
        &self,
        now: Time,
        consensus: &ConsensusVoter,
        from: &Name,
        incarnation: Incarnation,
        action: PermitAction,
    ) -> Result<RequestProposal, PermitReply> {
        let state = consensus.state();
        let is_leader = consensus.leader_term().is_some();
        let target = Target::Server(Arc::clone(from));
        let holder = Arc::clone(from);
        match action {
            PermitAction::Reserve => {
                if is_leader {
                    self.context(now, state).fits(&target).map_err(PermitReply::Wait)?;
                }
                let command = Command::Reserve { target, holder, incarnation, purpose: Purpose::Drain };
                Ok(RequestProposal { command, begin_target: None })
            }
            PermitAction::Begin { epoch } => {
                if is_leader && state.permits.contains_key(&epoch) {
                    self.may_begin(now, state, epoch, &target).map_err(PermitReply::Wait)?;
                }
                let command = Command::Begin { epoch, holder, incarnation };
                Ok(RequestProposal { command, begin_target: Some(target) })
            }
            PermitAction::Cancel { epoch } => {
                if state.permits.get(&epoch).is_some_and(|permit| permit.holder != *from) {
                    return Err(PermitReply::Ended);
                }
                let observed = PermitEnd::HolderCancelled(incarnation);
                Ok(RequestProposal { command: Command::End { epoch, observed }, begin_target: None })
            }
        }
    }

    /// Checks whether a holder may begin: the limits allow it, and the permit's rollout is neither halted nor held here.
    fn may_begin(
        &self,
        now: Time,
        state: &ReplicatedState,
        epoch: Epoch,
        target: &Target,
    ) -> Result<(), DenialReason> {
        if let Some(Purpose::Rollout(number)) = state.permits.get(&epoch).map(|permit| &permit.purpose)
            && let Some(rollout) = state.rollout.as_ref().filter(|rollout| rollout.number == *number)
        {
            self.rollout_may_step(state, rollout)?;
        }
        self.context(now, state).fits(target)
    }

    fn rollout_may_step(&self, state: &ReplicatedState, rollout: &Rollout) -> Result<(), DenialReason> {
        let name = &rollout.plan.name;
        if self.rollout.is_halted(state) {
            return Err(DenialReason::Rollout(format!("an operator halted {name}")));
        }
        match self.rollout.external_fall(&self.servers, rollout) {
            Some(fall) => Err(DenialReason::Rollout(fall.hold_text(name))),
            None => Ok(()),
        }
    }

    fn reply(&mut self, to: &Name, number: Ticket, reply: PermitReply) {
        self.effects.push(ControllerEffect::Reply { to: Arc::clone(to), number, reply });
    }

    /// Handles the outcome of an applied proposal of this controller: replies to the server or operator that waits for it.
    pub fn applied(&mut self, now: Time, state: &ReplicatedState, number: Ticket, outcome: CommandOutcome) {
        let Some(PendingProposal { proposed_at, waiter }) = self.proposals.take(number) else { return };
        match waiter {
            Waiter::Nobody => {}
            Waiter::Operator { ticket } => self.finish_command(ticket, command_result(outcome)),
            Waiter::Server { name, number, begin_target } => {
                let reply = match (outcome, begin_target) {
                    (CommandOutcome::Denied(reason), _) => PermitReply::Wait(reason),
                    (CommandOutcome::Permit { epoch, .. }, Some(target)) => {
                        self.reply_to_begin(now, proposed_at, state, epoch, &target)
                    }
                    (CommandOutcome::Permit { epoch, .. }, None) => PermitReply::Reserved { epoch },
                    (
                        CommandOutcome::Done | CommandOutcome::Revision(_) | CommandOutcome::NotCommitted(_),
                        _,
                    ) => PermitReply::Ended,
                };
                self.reply(&name, number, reply);
            }
        }
    }

    /// Checks limits and reports again after the commit of a grant to begin; servers may have failed since the proposal.
    fn reply_to_begin(
        &self,
        now: Time,
        proposed_at: Time,
        state: &ReplicatedState,
        epoch: Epoch,
        target: &Target,
    ) -> PermitReply {
        let is_late = now.0.saturating_sub(proposed_at.0) > MAX_COMMIT_LATENCY.0;
        match self.may_begin(now, state, epoch, target) {
            Ok(()) if !is_late => PermitReply::Begin { epoch },
            Ok(()) => PermitReply::Wait(DenialReason::Invalid(
                "the grant was committed too late; request it again".into(),
            )),
            Err(reason) => PermitReply::Wait(reason),
        }
    }
}

/// Converts an outcome to the result that an operator is shown.
fn command_result(outcome: CommandOutcome) -> CommandResult {
    match outcome {
        CommandOutcome::Done => Ok("done".to_string()),
        CommandOutcome::Permit { epoch, .. } => Ok(format!("permit {epoch}")),
        CommandOutcome::Denied(reason) => Err(CommandFailure(reason.to_string())),
        CommandOutcome::Revision(revision) => Ok(format!("revision {revision}")),
        CommandOutcome::NotCommitted(reason) => Err(CommandFailure(reason.to_string())),
    }
}
