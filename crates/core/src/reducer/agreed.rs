//! The server's part in what the fleet agrees on: permits to leave, turns in a release, and the council where this server is a
//! voter. Words go over the fleet's datagrams; files and commands are the shell's.
//!
//! Not here: what is agreed and when, which is [`gradepin_coordination`]'. Without a council block nothing here does anything, and
//! SIGTERM means what it always did: a server that the platform stops is out without a permit.

use super::{MS, Reducer};
use crate::admin::{AgreementRequest, AgreementResponse};
use crate::messages::Effect;
use gradepin_admission::{Span, Time, time_after};
use gradepin_cluster::counters::CellId;
use gradepin_coordination::consensus::VoterState;
use gradepin_coordination::messages::{FailedStep, ServerReport};
use gradepin_coordination::rollback::ServiceTotal;
use gradepin_coordination::rollout::ReleaseKind;
use gradepin_coordination::server_agent::{AgentEffect, ServerAgent};
use slog::Level;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Between looks at what this server tells of itself; a change of readiness is seen at once.
const LOOK: Span = Span(250 * MS);
/// Cells that are told of; what more there is, isn't compared.
const MOST_CELLS: usize = 48;

/// What the reducer holds of it.
#[derive(Default)]
pub(super) struct Agreed {
    pub(super) part: Option<Box<ServerAgent>>,
    zone: String,
    program: String,
    settings: String,
    staged: Vec<String>,
    failed: Option<(u64, String)>,
    totals: BTreeMap<CellId, ServiceTotal>,
    ready: bool,
    next_look: Time,
    /// Grows with each failure of the council's folder: writes of before are nobody's.
    generation: u64,
    tickets: u64,
}

impl Agreed {
    pub(super) fn is_on(&self) -> bool {
        self.part.is_some()
    }

    /// When something is due though nothing comes in.
    pub(super) fn wake_at(&self) -> Option<Time> {
        self.part.as_ref().map(|part| part.wake_at().min(self.next_look))
    }
}

impl Reducer {
    /// With a part in what the fleet agrees on; `program` and `settings` are the versions that run here.
    pub fn with_part(mut self, part: ServerAgent, zone: String, program: String, settings: String) -> Self {
        self.agreed = Agreed { part: Some(Box::new(part)), zone, program, settings, ..Agreed::default() };
        self
    }

    /// A server said something, in this life of its.
    pub(super) fn agreed_word(&mut self, from: &Arc<str>, life: u64, word: &[u8]) {
        if let Some(part) = &mut self.agreed.part {
            part.receive(self.moment.now, from, life, word);
        }
    }

    /// What was written in the council's folder is durable.
    pub(super) fn council_written(&mut self, number: u64) {
        if let Some(part) = &mut self.agreed.part {
            part.write_completed(number);
        }
    }

    /// It couldn't be; the folder was read anew.
    pub(super) fn council_failed(&mut self, found: VoterState, why: &str) {
        self.agreed.generation += 1;
        if let Some(part) = &mut self.agreed.part {
            part.write_failed(self.moment.now, found);
            self.log(Level::Error, format!("the council's folder failed: {why}; it was read anew"));
        }
    }

    /// Settings are staged here, by their digests, and those in force have this one.
    pub(super) fn settings_are(&mut self, settings: Option<String>, staged: Vec<String>) {
        self.agreed.settings = settings.unwrap_or_else(|| std::mem::take(&mut self.agreed.settings));
        self.agreed.staged = staged;
        self.agreed.next_look = self.moment.now;
    }

    /// This server couldn't take a step of a release.
    pub(super) fn change_failed(&mut self, release: u64, why: String) {
        self.log(Level::Error, format!("this server's step of release {release} failed: {why}"));
        self.agreed.failed = Some((release, why));
        self.agreed.next_look = self.moment.now;
    }

    /// A first try came, or was served: counted in its office's part of its class, in the class, and in the office, for the
    /// comparison of versions. A part may be too thin to tell of, where the whole is not.
    pub(super) fn agreed_count(&mut self, tenant: Option<usize>, class: usize, came: u32, served: u32) {
        if !self.agreed.is_on() {
            return;
        }
        let whole = self.fleet_cell(None, class);
        let of_office = tenant.map(|tenant| self.fleet_cell(Some(tenant), class));
        let office = self.fleet_tenant_cell(tenant);
        let totals = &mut self.agreed.totals;
        for cell in [Some(whole), office, of_office].into_iter().flatten() {
            if totals.len() < MOST_CELLS || totals.contains_key(&cell) {
                let total = totals.entry(cell).or_default();
                total.received = total.received.saturating_add(came);
                total.served = total.served.saturating_add(served);
            }
        }
    }

    /// An operator wants this server out: at once where nobody is to be asked, else once there is a permit. Whether it is asked for.
    pub(super) fn asks_to_leave(&mut self) -> bool {
        let now = self.moment.now;
        let Some(part) = &mut self.agreed.part else { return false };
        part.request_permit(now);
        self.log(Level::Info, "asking the fleet for a permit to leave".into());
        true
    }

    /// An operator wants it to stay.
    pub(super) fn asks_to_stay(&mut self) {
        if let Some(part) = &mut self.agreed.part {
            part.cancel_permit(self.moment.now);
        }
    }

    /// Its turn in a step.
    pub(super) fn agreed_step(&mut self) {
        let now = self.moment.now;
        if !self.agreed.is_on() {
            return;
        }
        let ready = self.ready().is_ok();
        let agreed = &mut self.agreed;
        if now >= agreed.next_look || ready != agreed.ready {
            (agreed.next_look, agreed.ready) = (time_after(now, LOOK), ready);
            let report = ServerReport {
                zone: agreed.zone.clone(),
                ready,
                program: agreed.program.clone(),
                settings: agreed.settings.clone(),
                staged: agreed.staged.clone(),
                failed: agreed.failed.clone().map(|(rollout, reason)| FailedStep { rollout, reason }),
                totals: agreed.totals.iter().map(|(cell, total)| (cell.0, *total)).collect(),
                ..ServerReport::default()
            };
            if let Some(part) = &mut agreed.part {
                part.set_report(now, report);
            }
        }
        let mut asked = Vec::new();
        if let Some(part) = &mut self.agreed.part {
            part.step(now, &mut asked);
        }
        for effect in asked {
            self.agreed_effect(effect);
        }
    }

    fn agreed_effect(&mut self, effect: AgentEffect) {
        let now = self.moment.now;
        match effect {
            AgentEffect::Send { to, message } => self.fleet_post(&to, &message),
            AgentEffect::Write { number, records } => {
                self.effects.push(Effect::WriteVoterState(self.agreed.generation, number, records));
            }
            AgentEffect::PermitGranted { epoch, expires_at: until } => {
                if now < until {
                    self.log(Level::Info, format!("leaving by permit {epoch}"));
                    self.take_out();
                } else {
                    self.log(Level::Warning, format!("permit {epoch} came too late to begin; asking again"));
                    self.asks_to_leave();
                }
            }
            AgentEffect::PermitDenied { reason } => {
                self.log(Level::Warning, format!("not leaving: {reason}"))
            }
            AgentEffect::StepGranted { assignment: turn, expires_at: until } => {
                let (kind, version) = (turn.kind, turn.version.clone());
                if now >= until {
                    self.log(Level::Warning, format!("the turn for {version} came too late to begin"));
                    if let Some(part) = &mut self.agreed.part {
                        part.step_expired();
                    }
                    return;
                }
                let what = if kind == ReleaseKind::Program { "program" } else { "settings" };
                self.log(Level::Info, format!("changing to {what} {version} by permit {}", turn.epoch));
                self.effects.push(Effect::StartRolloutStep(Box::new(turn), until));
            }
            AgentEffect::Configuration(effect) => self.configuration_agreed(effect),
            AgentEffect::Log { level, text } => self.log(level, text),
        }
    }

    /// An operator's call about the fleet's agreements.
    pub(super) fn agreed_call(&mut self, call: AgreementRequest) -> AgreementResponse {
        let now = self.moment.now;
        let Some(part) = &mut self.agreed.part else { return AgreementResponse::Off };
        match call {
            AgreementRequest::Status => AgreementResponse::Status(Box::new(part.status(now))),
            AgreementRequest::Command(order) => {
                self.agreed.tickets += 1;
                let ticket = self.agreed.tickets;
                match part.submit(now, ticket, *order) {
                    Ok(()) => AgreementResponse::Ticket(ticket),
                    Err(why) => AgreementResponse::Completed(Err(why.to_string())),
                }
            }
            AgreementRequest::CommandStatus(ticket) => {
                AgreementResponse::CommandStatus(part.command_status(ticket))
            }
            AgreementRequest::FoundGroup => {
                AgreementResponse::Completed(part.found(now).map_err(|why| why.to_string()))
            }
            AgreementRequest::TargetVersion(name) => {
                AgreementResponse::TargetVersion(part.state().and_then(|state| state.program_for(&name)))
            }
            AgreementRequest::Leave => {
                self.asks_to_leave();
                AgreementResponse::Completed(Ok("asking for a permit".into()))
            }
            AgreementRequest::Stay => {
                self.asks_to_stay();
                self.take_in();
                AgreementResponse::Completed(Ok("staying".into()))
            }
        }
    }
}
