//! Requests of servers for permits, and the replies to them.

use super::proposals::{PendingProposal, Waiter};
use super::{Controller, ControllerEffect, MS};
use crate::consensus::{ConsensusVoter, ProposalError};
use crate::messages::{OperatorCommandReply, PermitAction, PermitReply, PermitRequest};
use crate::replicated_state::{
    Command, CommandOutcome, DenialReason, Name, PermitEnd, Purpose, ReplicatedState, Target,
};
use crate::rollout::Rollout;
use gradepin_admission::{Span, Time};
use std::sync::Arc;

/// A reply to begin goes by who was heard no longer ago than this when it was proposed and agreed on.
pub(super) const AGREED_WITHIN: Span = Span(1_000 * MS);

impl Controller {
    /// A server asks; the reply comes as [`ControllerEffect::Reply`].
    pub fn request(
        &mut self,
        now: Time,
        council: &mut ConsensusVoter,
        from: &Name,
        incarnation: u64,
        request: PermitRequest,
    ) {
        let number = request.number;
        let (command, begins) = match self.command_for(now, council, from, incarnation, request.action) {
            Ok(proposed) => proposed,
            Err(reply) => return self.reply(from, number, reply),
        };
        let waiter = Waiter::Server { name: Arc::clone(from), number, begins };
        if let Err(why) = self.proposals.propose(now, council, command, waiter) {
            let leader = match why {
                ProposalError::NotLeader(id) => council.record().voters.get(&id).cloned(),
                ProposalError::Busy
                | ProposalError::NoLeader
                | ProposalError::NotVoter
                | ProposalError::TooLong => None,
            };
            self.reply(from, number, PermitReply::Redirect(leader));
        }
    }

    /// The command that a request comes to, with a target where it asks to begin; or the reply where nothing is proposed.
    fn command_for(
        &self,
        now: Time,
        council: &ConsensusVoter,
        from: &Name,
        incarnation: u64,
        action: PermitAction,
    ) -> Result<(Command, Option<Target>), PermitReply> {
        let record = council.record();
        let leads = council.leads().is_some();
        let target = Target::Server(Arc::clone(from));
        let holder = Arc::clone(from);
        match action {
            PermitAction::Reserve => {
                if leads {
                    self.context(now, record).fits(&target).map_err(PermitReply::Wait)?;
                }
                let purpose = Purpose::Drain;
                Ok((Command::Reserve { target, holder, life: incarnation, purpose }, None))
            }
            PermitAction::Begin(epoch) => {
                if leads && record.permits.contains_key(&epoch) {
                    self.may_begin(now, record, epoch, &target).map_err(PermitReply::Wait)?;
                }
                Ok((Command::Begin { epoch, holder, life: incarnation }, Some(target)))
            }
            PermitAction::Cancel(epoch) => {
                let is_its = record.permits.get(&epoch).is_none_or(|permit| permit.holder == *from);
                if !is_its {
                    return Err(PermitReply::Ended);
                }
                Ok((Command::End { epoch, by: PermitEnd::HolderCancelled(incarnation) }, None))
            }
        }
    }

    /// Whether a step may begin: it fits, and its release was not halted here.
    fn may_begin(
        &self,
        now: Time,
        record: &ReplicatedState,
        epoch: u64,
        target: &Target,
    ) -> Result<(), DenialReason> {
        if let Some(Purpose::Release(number)) = record.permits.get(&epoch).map(|permit| &permit.purpose)
            && let Some(release) = record.release.as_ref().filter(|release| release.number == *number)
        {
            self.goes_on(record, release)?;
        }
        self.context(now, record).fits(target)
    }

    /// Whether a release that is open may take a further step.
    fn goes_on(&self, record: &ReplicatedState, release: &Rollout) -> Result<(), DenialReason> {
        let name = &release.plan.name;
        if self.rollout.is_halted(record) {
            return Err(DenialReason::Release(format!("{name} is ordered to halt")));
        }
        match self.rollout.fall_from_outside(&self.servers, release) {
            Some(fall) => Err(DenialReason::Release(fall.hold(name))),
            None => Ok(()),
        }
    }

    fn reply(&mut self, to: &Name, number: u64, reply: PermitReply) {
        self.effects.push(ControllerEffect::Reply { to: Arc::clone(to), number, reply });
    }

    /// A proposal of this controller was applied.
    pub fn applied(&mut self, now: Time, record: &ReplicatedState, number: u64, outcome: CommandOutcome) {
        let Some(PendingProposal { at, waiter }) = self.proposals.take(number) else { return };
        match waiter {
            Waiter::Nobody => {}
            Waiter::Operator(ticket) => {
                let result = match outcome {
                    CommandOutcome::Done => Ok("done".to_string()),
                    CommandOutcome::Permit(epoch, _) => Ok(format!("permit {epoch}")),
                    CommandOutcome::Denied(why) => Err(why.to_string()),
                    CommandOutcome::Revision(revision) => Ok(format!("revision {revision}")),
                    CommandOutcome::NotCommitted(why) => Err(why.to_string()),
                };
                self.effects
                    .push(ControllerEffect::OrderReply { ticket, reply: OperatorCommandReply::Done(result) });
            }
            Waiter::Server { name, number, begins } => {
                let reply = match (outcome, begins) {
                    (CommandOutcome::Denied(why), _) => PermitReply::Wait(why),
                    (CommandOutcome::Permit(epoch, _), Some(target)) => {
                        self.reply_to_begin(now, at, record, epoch, &target)
                    }
                    (CommandOutcome::Permit(epoch, _), None) => PermitReply::Reserved(epoch),
                    (
                        CommandOutcome::Done | CommandOutcome::Revision(_) | CommandOutcome::NotCommitted(_),
                        _,
                    ) => PermitReply::Ended,
                };
                self.reply(&name, number, reply);
            }
        }
    }

    /// Looks once more at who is heard, now that it is agreed on.
    fn reply_to_begin(
        &self,
        now: Time,
        proposed_at: Time,
        record: &ReplicatedState,
        epoch: u64,
        target: &Target,
    ) -> PermitReply {
        let is_late = now.0.saturating_sub(proposed_at.0) > AGREED_WITHIN.0;
        match self.may_begin(now, record, epoch, target) {
            Ok(()) if !is_late => PermitReply::Begin(epoch),
            Ok(()) => PermitReply::Wait(DenialReason::Invalid("it took too long to agree; ask again".into())),
            Err(why) => PermitReply::Wait(why),
        }
    }
}
