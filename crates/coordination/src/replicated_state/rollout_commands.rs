//! Applies rollout commands to the replicated state, and answers queries about the rollout.

use super::{CommandOutcome, DenialReason, Purpose, ReplicatedState, Target};
use crate::ids::{Epoch, LogIndex, Name, RolloutNumber};
use crate::rollout::{
    EnrolledServer, ReleaseKind, Rollout, RolloutCommand, RolloutError, RolloutPlan, RolloutState,
    Transition, assign_batches,
};
use std::collections::BTreeMap;
use std::sync::Arc;

impl ReplicatedState {
    /// Applies a rollout command; an error changes nothing and becomes the denial.
    pub(super) fn apply_rollout_command(
        &mut self,
        index: LogIndex,
        command: RolloutCommand,
    ) -> Result<CommandOutcome, DenialReason> {
        match self.change_rollout(index, command) {
            Ok(()) => Ok(CommandOutcome::Done),
            Err(error) => Err(DenialReason::Invalid(error.to_string())),
        }
    }

    fn change_rollout(&mut self, index: LogIndex, command: RolloutCommand) -> Result<(), RolloutError> {
        match command {
            RolloutCommand::Start { plan, operator, versions } => {
                self.start_rollout(index, *plan, operator, versions)
            }
            RolloutCommand::Halt { name, operator, reason } => {
                let transition = self.rollout_named(&name)?.halt(reason.clone())?;
                let action = format!("release {name} halted");
                self.record_transition(transition, index, operator, action, reason);
                Ok(())
            }
            RolloutCommand::Resume { name, halt_count, operator } => {
                self.rollout_named(&name)?.resume(halt_count)?;
                self.record_action(index, operator, format!("release {name} resumed"), String::new());
                Ok(())
            }
            RolloutCommand::RollBack { name, operator, reason } => {
                let transition = self.rollout_named(&name)?.roll_back(reason.clone());
                let action = format!("release {name} goes back");
                self.record_transition(transition, index, operator, action, reason);
                Ok(())
            }
            RolloutCommand::RecordProgress { number, server, progress } => {
                self.rollout_numbered(number)?.record_progress(&server, progress)
            }
            RolloutCommand::StartBatch { number, batch } => self.rollout_numbered(number)?.start_batch(batch),
            RolloutCommand::Finish { number } => self.rollout_numbered(number)?.finish(),
        }
    }

    fn record_transition(
        &mut self,
        transition: Transition,
        index: LogIndex,
        operator: Name,
        action: String,
        reason: String,
    ) {
        if transition == Transition::Applied {
            self.record_action(index, operator, action, reason);
        }
    }

    fn rollout_named(&mut self, name: &str) -> Result<&mut Rollout, RolloutError> {
        let rollout = self.rollout.as_mut().ok_or_else(|| RolloutError::NoRollout(name.to_string()))?;
        if rollout.plan.name != name {
            let expected = rollout.plan.name.clone();
            return Err(RolloutError::OtherName { expected, got: name.to_string() });
        }
        Ok(rollout)
    }

    fn rollout_numbered(&mut self, number: RolloutNumber) -> Result<&mut Rollout, RolloutError> {
        let rollout = self.rollout.as_mut().filter(|rollout| rollout.number == number);
        rollout.ok_or(RolloutError::Superseded)
    }

    fn start_rollout(
        &mut self,
        index: LogIndex,
        plan: RolloutPlan,
        operator: Name,
        versions: Vec<(Name, String)>,
    ) -> Result<(), RolloutError> {
        if let Some(last) = &self.rollout
            && (last.is_open() || last.plan.name == plan.name)
        {
            return repeated_start(last, &plan);
        }
        plan.check()?;
        let versions: BTreeMap<Name, String> = versions.into_iter().collect();
        let enrolled = |(name, version): (&Name, &String)| {
            let (name, member) = self.roster.get_key_value(name)?;
            Some(EnrolledServer { name, zone: &member.zone, version: version.clone() })
        };
        let enrolled: Vec<EnrolledServer<'_>> = versions.iter().filter_map(enrolled).collect();
        if enrolled.is_empty() {
            return Err(RolloutError::NoServers);
        }
        let servers = assign_batches(&plan, &enrolled);
        let action = format!("release {} started", plan.name);
        self.record_action(index, Arc::clone(&operator), action, String::new());
        let state = RolloutState::Running;
        self.rollout =
            Some(Rollout { number: index, plan, operator, state, batch: 0, halt_count: 0, servers });
        Ok(())
    }

    /// Denies a step of rollout `number` unless that rollout updates servers or rolls them back.
    pub(super) fn rollout_is_moving(&self, number: RolloutNumber) -> Result<(), DenialReason> {
        match &self.rollout {
            None => Err(DenialReason::Rollout("there is no release".into())),
            Some(rollout) if rollout.number != number => {
                Err(DenialReason::Rollout("another release has replaced it".into()))
            }
            Some(rollout) if rollout.is_moving() => Ok(()),
            Some(rollout) => Err(DenialReason::Rollout(rollout.state.to_string())),
        }
    }

    /// Updates the rollout's progress when the holder of a permit for one of its steps may begin.
    pub(super) fn record_step_begun(&mut self, epoch: Epoch) {
        let Some(permit) = self.permits.get(&epoch) else { return };
        if let (Target::Server(name), Purpose::Rollout(number)) = (&permit.target, &permit.purpose)
            && let Some(rollout) = self.rollout.as_mut().filter(|rollout| rollout.number == *number)
        {
            rollout.record_step_begun(name);
        }
    }

    /// Returns the program version that the rollout wants a server to run, if there is one; the supervisor that starts the
    /// server's process reads it.
    pub fn program_for(&self, name: &str) -> Option<String> {
        let rollout = self.rollout.as_ref().filter(|rollout| rollout.plan.kind == ReleaseKind::Program)?;
        Some(rollout.target_version(rollout.servers.get(name)?))
    }
}

/// Handles a start while a rollout is open, or under the name of the last rollout. Starting the same plan again succeeds
/// without effect, also when the repeated command arrives after the rollout is done.
fn repeated_start(last: &Rollout, plan: &RolloutPlan) -> Result<(), RolloutError> {
    let was_rolled_back = matches!(last.state, RolloutState::RolledBack(_));
    if last.plan == *plan && !was_rolled_back {
        return Ok(());
    }
    let state = last.state.clone();
    if last.is_open() {
        return Err(RolloutError::InProgress { name: last.plan.name.clone(), state });
    }
    Err(RolloutError::NameUsed { name: plan.name.clone(), state })
}
