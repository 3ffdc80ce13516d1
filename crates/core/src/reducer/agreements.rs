//! The server's part in the fleet's agreements: permits to leave, rollout steps, and the consensus group if this server
//! is a voter.
//!
//! Messages are sent in the cluster's datagrams; the shell handles files and commands. [`gradepin_coordination`]
//! decides what is agreed and when. Without a consensus group nothing here has an effect. SIGTERM needs no permit: a
//! server that the platform stops leaves without one.

use super::{MS, Reducer};
use crate::admin::{AgreementRequest, AgreementResponse};
use crate::messages::Effect;
use gradepin_admission::{Span, Time, time_after};
use gradepin_cluster::counters::CellId;
use gradepin_coordination::consensus::VoterState;
use gradepin_coordination::messages::{CommandFailure, FailedStep, ServerReport, StepAssignment};
use gradepin_coordination::regression::ServiceTotal;
use gradepin_coordination::rollout::ReleaseKind;
use gradepin_coordination::server_agent::{AgentEffect, ServerAgent};
use slog::Level;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Interval between this server's reports to the consensus group. A change of readiness is reported at once.
const REPORT_INTERVAL: Span = Span(250 * MS);
/// Maximum number of cells whose totals are reported; further cells are not compared.
const MAX_REPORTED_CELLS: usize = 48;

/// The reducer's state of the agreements.
#[derive(Default)]
pub(super) struct Agreements {
    /// Agent of this server; `None` without a consensus group.
    pub(super) agent: Option<Box<ServerAgent>>,
    zone: String,
    /// Version of the running program.
    program_version: String,
    /// Digest of the active settings.
    settings_digest: String,
    /// Digests of the staged settings.
    staged_digests: Vec<String>,
    /// The latest rollout step that failed on this server.
    failed_step: Option<FailedStep>,
    /// Request totals of this process by cell, for the comparison of versions.
    service_totals: BTreeMap<CellId, ServiceTotal>,
    reported_ready: bool,
    next_report_at: Time,
    /// Incremented each time writing the voter state fails; pending writes of earlier generations are void.
    voter_state_generation: u64,
    /// Ticket of the latest operator command.
    last_ticket: u64,
}

impl Agreements {
    pub(super) fn is_enabled(&self) -> bool {
        self.agent.is_some()
    }

    /// Next time at which a step is due without input.
    pub(super) fn wake_at(&self) -> Option<Time> {
        self.agent.as_ref().map(|agent| agent.wake_at().min(self.next_report_at))
    }

    fn report(&self, ready: bool) -> ServerReport {
        ServerReport {
            zone: self.zone.clone(),
            ready,
            program: self.program_version.clone(),
            settings: self.settings_digest.clone(),
            staged: self.staged_digests.clone(),
            failed: self.failed_step.clone(),
            totals: self.service_totals.iter().map(|(cell, total)| (cell.0, *total)).collect(),
            ..ServerReport::default()
        }
    }
}

impl Reducer {
    /// Adds the agent of a server in this zone. `program_version` is the version of its program, `settings_digest` the
    /// digest of its active settings.
    pub fn with_agent(
        mut self,
        agent: ServerAgent,
        zone: String,
        program_version: String,
        settings_digest: String,
    ) -> Self {
        let agent = Some(Box::new(agent));
        self.agreements =
            Agreements { agent, zone, program_version, settings_digest, ..Agreements::default() };
        self
    }

    /// Handles a message from another server's agent or voter.
    pub(super) fn consensus_message_received(&mut self, from: &Arc<str>, incarnation: u64, message: &[u8]) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.receive(self.timestamp.now, from, incarnation, message);
        }
    }

    /// Reports to the agent that records of the voter state up to this number are durable.
    pub(super) fn voter_state_written(&mut self, number: u64) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.write_completed(number);
        }
    }

    /// Handles a failure to write records of the voter state: the voter continues from the state that was recovered
    /// from its folder.
    pub(super) fn voter_state_failed(&mut self, recovered: VoterState, reason: &str) {
        self.agreements.voter_state_generation += 1;
        if let Some(agent) = &mut self.agreements.agent {
            agent.write_failed(self.timestamp.now, recovered);
            let text = format!(
                "consensus: writing the voter state failed: {reason}; continuing from the state on disk"
            );
            self.log(Level::Error, text);
        }
    }

    /// Updates the digests of the staged settings and, if `active` is set, of the active settings.
    pub(super) fn staged_settings_changed(&mut self, active: Option<String>, staged: Vec<String>) {
        if let Some(active) = active {
            self.agreements.settings_digest = active;
        }
        self.agreements.staged_digests = staged;
        self.agreements.next_report_at = self.timestamp.now;
    }

    /// Records and reports a rollout step that failed on this server.
    pub(super) fn rollout_step_failed(&mut self, release: u64, reason: String) {
        self.log(Level::Error, format!("rollout: this server's step of release {release} failed: {reason}"));
        self.agreements.failed_step = Some(FailedStep { rollout: release, reason });
        self.agreements.next_report_at = self.timestamp.now;
    }

    /// Counts first attempts that arrived or were served, for the comparison of versions. They are counted for the
    /// class, for the tenant and for both together, as the last cell may have too few requests to compare.
    pub(super) fn count_for_rollback(
        &mut self,
        tenant: Option<usize>,
        class: usize,
        arrived: u32,
        served: u32,
    ) {
        if !self.agreements.is_enabled() {
            return;
        }
        let class_cell = self.counter_cell(None, class);
        let tenant_class_cell = tenant.map(|tenant| self.counter_cell(Some(tenant), class));
        let tenant_cell = self.tenant_cell(tenant);
        let totals = &mut self.agreements.service_totals;
        for cell in [Some(class_cell), tenant_cell, tenant_class_cell].into_iter().flatten() {
            if totals.len() < MAX_REPORTED_CELLS || totals.contains_key(&cell) {
                let total = totals.entry(cell).or_default();
                total.received = total.received.saturating_add(arrived);
                total.served = total.served.saturating_add(served);
            }
        }
    }

    /// Requests a permit to leave; returns false if there is no consensus group.
    pub(super) fn request_permit_to_leave(&mut self) -> bool {
        let Some(agent) = &mut self.agreements.agent else { return false };
        agent.request_permit(self.timestamp.now);
        self.log(Level::Info, "requesting a permit to leave the fleet".into());
        true
    }

    /// Withdraws the request for a permit, if there is one.
    pub(super) fn withdraw_permit_request(&mut self) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.cancel_permit(self.timestamp.now);
        }
    }

    /// Performs the agent's part of a step.
    pub(super) fn agreements_step(&mut self) {
        if !self.agreements.is_enabled() {
            return;
        }
        let now = self.timestamp.now;
        let ready = self.readiness().is_ok();
        if now >= self.agreements.next_report_at || ready != self.agreements.reported_ready {
            self.agreements.next_report_at = time_after(now, REPORT_INTERVAL);
            self.agreements.reported_ready = ready;
            let report = self.agreements.report(ready);
            if let Some(agent) = &mut self.agreements.agent {
                agent.set_report(now, report);
            }
        }
        let mut effects = Vec::new();
        if let Some(agent) = &mut self.agreements.agent {
            agent.step(now, &mut effects);
        }
        for effect in effects {
            self.agent_effect(effect);
        }
    }

    fn agent_effect(&mut self, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { to, message } => self.send_to_peer(&to, &message),
            AgentEffect::Write { number, records } => {
                let generation = self.agreements.voter_state_generation;
                self.effects.push(Effect::WriteVoterState { generation, number, records });
            }
            AgentEffect::PermitGranted { epoch, expires_at } => {
                if self.timestamp.now < expires_at {
                    self.log(Level::Info, format!("permit {epoch} granted; leaving the fleet"));
                    self.take_out_of_service();
                } else {
                    self.log(
                        Level::Warning,
                        format!("permit {epoch} arrived after it expired; requesting another"),
                    );
                    self.request_permit_to_leave();
                }
            }
            AgentEffect::PermitDenied { reason } => {
                self.log(
                    Level::Warning,
                    format!("permit to leave denied: {reason}; the server stays in service"),
                );
            }
            AgentEffect::StepGranted { assignment, expires_at } => {
                self.start_rollout_step(assignment, expires_at);
            }
            AgentEffect::Configuration(effect) => self.consensus_configuration_effect(effect),
            AgentEffect::Log { level, text } => self.log(level, text),
        }
    }

    fn start_rollout_step(&mut self, step: StepAssignment, start_before: Time) {
        let version = &step.version;
        if self.timestamp.now >= start_before {
            self.log(
                Level::Warning,
                format!(
                    "rollout: permit for the step to {version} arrived after it expired; step not started"
                ),
            );
            if let Some(agent) = &mut self.agreements.agent {
                agent.step_expired();
            }
            return;
        }
        let kind = if step.kind == ReleaseKind::Program { "program" } else { "settings" };
        self.log(Level::Info, format!("rollout: changing to {kind} {version} with permit {}", step.epoch));
        self.effects.push(Effect::StartRolloutStep { step: Box::new(step), start_before });
    }

    /// Answers an operator's request about the agreements.
    pub(super) fn agreement_request(&mut self, request: AgreementRequest) -> AgreementResponse {
        let now = self.timestamp.now;
        let Some(agent) = &mut self.agreements.agent else { return AgreementResponse::Off };
        match request {
            AgreementRequest::Status => AgreementResponse::Status(Box::new(agent.status(now))),
            AgreementRequest::Command(command) => {
                self.agreements.last_ticket += 1;
                let ticket = self.agreements.last_ticket;
                match agent.submit(now, ticket, *command) {
                    Ok(()) => AgreementResponse::Ticket(ticket),
                    Err(error) => AgreementResponse::Completed(Err(CommandFailure(error.to_string()))),
                }
            }
            AgreementRequest::CommandStatus { ticket } => {
                AgreementResponse::CommandStatus(agent.command_status(ticket))
            }
            AgreementRequest::FoundGroup => AgreementResponse::Completed(
                agent.found(now).map_err(|error| CommandFailure(error.to_string())),
            ),
            AgreementRequest::TargetVersion { server } => {
                let version = agent.state().and_then(|state| state.program_for(&server));
                AgreementResponse::TargetVersion(version)
            }
            AgreementRequest::Leave => {
                self.request_permit_to_leave();
                AgreementResponse::Completed(Ok("asking for a permit".into()))
            }
            AgreementRequest::Stay => {
                self.operator_returns();
                AgreementResponse::Completed(Ok("staying".into()))
            }
        }
    }
}
