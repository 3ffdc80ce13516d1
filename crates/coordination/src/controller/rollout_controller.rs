//! Advances the rollout on the leader: starts batches, finishes the rollout, and halts it or rolls it back if service
//! regresses.
//!
//! Input: reports and the replicated state. Output: commands to propose and effects. The rollout changes only by committed
//! commands. The steps of single servers are in [`server_step`].

mod server_step;

use super::permits::PermitController;
use super::servers::ServerTable;
use super::{Context, ControllerEffect, KeyedCommand, NANOS_PER_MS};
use crate::ids::{Incarnation, Name, RolloutNumber};
use crate::messages::ServerReport;
use crate::regression::{FleetFall, RegressionDetector, Version};
use crate::replicated_state::{Command, ReplicatedState};
use crate::rollout::{Batch, Rollout, RolloutCommand, RolloutServer, RolloutState, ServerProgress};
use gradepin_admission::{Span, Time, time_after};
use server_step::{ServerStepResult, step_server};
use slog::Level;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Length of the intervals by which the fleet's served fraction is compared.
const SERVICE_INTERVAL: Span = Span(5_000 * NANOS_PER_MS);
/// A fall of the fleet's served fraction below this never stops a rollout, whatever its plan tolerates.
const MIN_FLEET_FALL: f64 = 0.05;
/// Operator name of automatic halts and rollbacks in the operator actions.
const AUTOMATIC_OPERATOR: &str = "the council";

/// Commands and effects of one step of the rollout.
#[derive(Debug, Default)]
pub(super) struct RolloutStep {
    /// Commands to propose, in order.
    pub commands: Vec<KeyedCommand>,
    /// Effects to execute, in order.
    pub effects: Vec<ControllerEffect>,
}

impl RolloutStep {
    fn propose(&mut self, key: &str, command: RolloutCommand) {
        let command = Command::Rollout(command);
        self.commands.push(KeyedCommand { key: format!("release {key}"), command });
    }

    fn record_progress(&mut self, number: RolloutNumber, name: &Name, progress: ServerProgress) {
        let server = Arc::clone(name);
        self.propose(&format!("step {name}"), RolloutCommand::RecordProgress { number, server, progress });
    }

    /// Stops the rollout after a fault: rolls it back if the plan says so and it isn't rolling back already, otherwise halts
    /// it.
    fn stop(&mut self, rollout: &Rollout, reason: String) {
        let name = rollout.plan.name.clone();
        let operator: Name = Arc::from(AUTOMATIC_OPERATOR);
        self.log(Level::Warning, format!("release {name} stops: {reason}"));
        let rolls_back = rollout.plan.rolls_back && rollout.state == RolloutState::Running;
        let command = if rolls_back {
            RolloutCommand::RollBack { name, operator, reason }
        } else {
            RolloutCommand::Halt { name, operator, reason }
        };
        self.propose("stop", command);
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(ControllerEffect::Log { level, text });
    }
}

impl FleetFall {
    /// Text for holding a rollout that no server has begun.
    pub(super) fn hold_text(self, name: &str) -> String {
        format!("release {name} waits: {self}, and no server has the version")
    }
}

impl std::fmt::Display for FleetFall {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the fleet's served fraction is {:.3}, down from {:.3}", self.since, self.before)
    }
}

/// This leader's observations of the rollout, beyond the replicated state.
#[derive(Debug)]
pub(super) struct RolloutController {
    detector: RegressionDetector,
    /// The rollout that the detector's counts belong to.
    compared: Option<RolloutNumber>,
    /// Whether the last step updated servers (true) or rolled them back (false).
    was_running: Option<bool>,
    next_interval: Time,
    /// Time since which all servers up to the current batch are updated.
    batch_updated_since: Option<Time>,
    /// Whether the open rollout is held because service fell for a cause other than the rollout.
    is_held: bool,
    /// Rollouts that were halted here, committed or not, with the halt count known at that time.
    halted: BTreeMap<String, u32>,
}

impl RolloutController {
    /// Creates a controller that hasn't observed a rollout.
    pub(super) fn new(now: Time) -> Self {
        Self {
            detector: RegressionDetector::default(),
            compared: None,
            was_running: None,
            next_interval: now,
            batch_updated_since: None,
            is_held: false,
            halted: BTreeMap::new(),
        }
    }

    /// Drops the observations of an earlier term, at the start or end of this voter's leadership.
    pub(super) fn start_term(&mut self) {
        self.detector = RegressionDetector::default();
        self.compared = None;
        self.batch_updated_since = None;
    }

    /// Adds the totals in a server's report to the counts of the version that the server runs.
    pub(super) fn record_report(
        &mut self,
        state: &ReplicatedState,
        name: &Name,
        incarnation: Incarnation,
        report: &ServerReport,
    ) {
        let rollout = state.rollout.as_ref().filter(|rollout| self.compared == Some(rollout.number));
        let Some(rollout) = rollout else { return };
        let Some(server) = rollout.servers.get(name) else { return };
        let runs = report.version(rollout.plan.kind);
        let version = if *runs == rollout.plan.version {
            Some(Version::New)
        } else if *runs == server.previous_version {
            Some(Version::Old)
        } else {
            None
        };
        self.detector.record_totals(name, incarnation, version, &report.totals);
    }

    /// Whether the rollout was halted here and the halt isn't in the replicated state yet.
    pub(super) fn is_halted(&self, state: &ReplicatedState) -> bool {
        state.rollout.as_ref().is_some_and(|rollout| {
            self.halted.get(&rollout.plan.name).is_some_and(|halts| rollout.halt_count <= *halts)
        })
    }

    /// An operator halted the rollout: this voter takes no further step, even before the halt is committed.
    pub(super) fn halt(&mut self, state: &ReplicatedState, name: &str) {
        if let Some(rollout) = state.rollout.as_ref().filter(|rollout| rollout.plan.name == name) {
            self.halted.insert(name.to_string(), rollout.halt_count);
        }
    }

    /// Takes the next step of the open rollout.
    pub(super) fn step(&mut self, context: &Context<'_>, permits: &mut PermitController) -> RolloutStep {
        let mut step = RolloutStep::default();
        let Some(rollout) = context.state.rollout.as_ref().filter(|rollout| rollout.is_open()) else {
            self.compared = None;
            self.was_running = None;
            return step;
        };
        self.step_detector(context.now, rollout.number);
        if matches!(rollout.state, RolloutState::Halted(_)) || self.is_halted(context.state) {
            return step;
        }
        let is_running = rollout.state == RolloutState::Running;
        if self.was_running != Some(is_running) {
            // Observations from before the change of direction don't apply to steps in the new one.
            permits.restart_all(context.now);
            self.was_running = Some(is_running);
        }
        if is_running && self.service_forbids_step(context, rollout, &mut step) {
            return step;
        }
        for name in rollout.servers_due() {
            if step_server(context, permits, rollout, name, &mut step) == ServerStepResult::Stopped {
                return step;
            }
        }
        self.step_batch(context.now, rollout, &mut step);
        step
    }

    /// Stops or holds the rollout if service regressed; returns whether no step may be taken now.
    fn service_forbids_step(
        &mut self,
        context: &Context<'_>,
        rollout: &Rollout,
        step: &mut RolloutStep,
    ) -> bool {
        if let Some(regression) = self.regression(context, rollout) {
            step.stop(rollout, regression);
            return true;
        }
        if self.hold(context.servers, rollout, step) {
            return true;
        }
        match self.fleet_fall(rollout) {
            Some(fall) => {
                step.stop(rollout, fall.to_string());
                true
            }
            None => false,
        }
    }

    fn step_detector(&mut self, now: Time, number: RolloutNumber) {
        if self.compared != Some(number) {
            self.detector = RegressionDetector::default();
            self.compared = Some(number);
            self.next_interval = now;
            self.is_held = false;
        }
        if now >= self.next_interval {
            self.detector.next_interval();
            self.next_interval = time_after(now, SERVICE_INTERVAL);
        }
    }

    /// Describes the cell in which the new version serves significantly less than the old one, if there is one.
    fn regression(&self, context: &Context<'_>, rollout: &Rollout) -> Option<String> {
        let worst = self.detector.worst_regression(rollout.plan.tolerated_regression)?;
        let name = context.settings.cell_names.get(&worst.cell).cloned();
        let name = name.unwrap_or_else(|| format!("cell {:x}", worst.cell));
        Some(format!(
            "served fraction of {name}: {:.3} with the new version, {:.3} with the old one, after {} attempts",
            worst.new, worst.old, worst.attempts
        ))
    }

    fn fleet_fall(&self, rollout: &Rollout) -> Option<FleetFall> {
        let tolerated = rollout.plan.tolerated_regression.max(MIN_FLEET_FALL);
        self.detector.fleet_fall(tolerated)
    }

    /// Returns a fall of the fleet's served fraction while no server has begun: the rollout can't be the cause, and there is
    /// nothing to roll back.
    pub(super) fn external_fall(&self, servers: &ServerTable, rollout: &Rollout) -> Option<FleetFall> {
        let plan = &rollout.plan;
        let is_compared = self.compared == Some(rollout.number) && rollout.state == RolloutState::Running;
        let has_begun = rollout.servers.values().any(|server| server.progress != ServerProgress::Pending);
        if !is_compared || has_begun {
            return None;
        }
        if servers.reports().any(|(_, report)| *report.version(plan.kind) == plan.version) {
            return None;
        }
        self.fleet_fall(rollout)
    }

    /// Holds the rollout while service has fallen for another cause, and logs each change; returns whether it is held.
    fn hold(&mut self, servers: &ServerTable, rollout: &Rollout, step: &mut RolloutStep) -> bool {
        let fall = self.external_fall(servers, rollout);
        let name = &rollout.plan.name;
        match fall {
            Some(fall) if !self.is_held => step.log(Level::Warning, fall.hold_text(name)),
            None if self.is_held => {
                let text = format!("release {name} continues: the fleet's served fraction has recovered");
                step.log(Level::Info, text);
            }
            _ => {}
        }
        self.is_held = fall.is_some();
        self.is_held
    }

    /// Finishes the rollout if all servers are in their final state, or starts the next batch once the current one has been
    /// updated for its pause.
    fn step_batch(&mut self, now: Time, rollout: &Rollout, step: &mut RolloutStep) {
        let number = rollout.number;
        let is_running = rollout.state == RolloutState::Running;
        let is_final = |server: &RolloutServer| match server.progress {
            ServerProgress::Updated => is_running,
            ServerProgress::Pending | ServerProgress::RolledBack => !is_running,
            _ => false,
        };
        if rollout.servers.values().all(is_final) {
            return step.propose("over", RolloutCommand::Finish { number });
        }
        if !is_running || !rollout.is_batch_updated() {
            self.batch_updated_since = None;
            return;
        }
        let since = *self.batch_updated_since.get_or_insert(now);
        let pause = rollout.plan.batches.get(rollout.batch as usize).map_or(Span(0), Batch::pause);
        if now >= time_after(since, pause) {
            self.batch_updated_since = None;
            step.propose("wave", RolloutCommand::StartBatch { number, batch: rollout.batch + 1 });
        }
    }
}
