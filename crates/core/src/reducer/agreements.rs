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
use gradepin_coordination::messages::ServerReport;
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
pub(super) struct Agreements {
    pub(super) agent: Option<Box<ServerAgent>>,
    zone: String,
    program_version: String,
    settings_digest: String,
    staged_digests: Vec<String>,
    failed_step: Option<(u64, String)>,
    service_totals: BTreeMap<CellId, ServiceTotal>,
    reported_ready: bool,
    next_report_at: Time,
    /// Grows with each failure of the council's folder: writes of before are nobody's.
    voter_state_generation: u64,
    last_ticket: u64,
}

impl Agreements {
    pub(super) fn is_on(&self) -> bool {
        self.agent.is_some()
    }

    /// When something is due though nothing comes in.
    pub(super) fn wake_at(&self) -> Option<Time> {
        self.agent.as_ref().map(|agent| agent.wake_at().min(self.next_report_at))
    }
}

impl Reducer {
    /// With a part in what the fleet agrees on; `program` and `settings` are the versions that run here.
    pub fn with_agent(
        mut self,
        agent: ServerAgent,
        zone: String,
        program_version: String,
        settings_digest: String,
    ) -> Self {
        self.agreements = Agreements {
            agent: Some(Box::new(agent)),
            zone,
            program_version,
            settings_digest,
            ..Agreements::default()
        };
        self
    }

    /// A server said something, in this life of its.
    pub(super) fn consensus_message_received(&mut self, from: &Arc<str>, life: u64, word: &[u8]) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.word(self.timestamp.now, from, life, word);
        }
    }

    /// What was written in the council's folder is durable.
    pub(super) fn voter_state_written(&mut self, number: u64) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.written(number);
        }
    }

    /// It couldn't be; the folder was read anew.
    pub(super) fn voter_state_failed(&mut self, found: VoterState, why: &str) {
        self.agreements.voter_state_generation += 1;
        if let Some(agent) = &mut self.agreements.agent {
            agent.failed(self.timestamp.now, found);
            self.log(Level::Error, format!("the council's folder failed: {why}; it was read anew"));
        }
    }

    /// Settings are staged here, by their digests, and those in force have this one.
    pub(super) fn staged_settings_changed(&mut self, settings: Option<String>, staged: Vec<String>) {
        self.agreements.settings_digest =
            settings.unwrap_or_else(|| std::mem::take(&mut self.agreements.settings_digest));
        self.agreements.staged_digests = staged;
        self.agreements.next_report_at = self.timestamp.now;
    }

    /// This server couldn't take a step of a release.
    pub(super) fn rollout_step_failed(&mut self, release: u64, why: String) {
        self.log(Level::Error, format!("this server's step of release {release} failed: {why}"));
        self.agreements.failed_step = Some((release, why));
        self.agreements.next_report_at = self.timestamp.now;
    }

    /// A first try came, or was served: counted in its office's part of its class, in the class, and in the office, for the
    /// comparison of versions. A part may be too thin to tell of, where the whole is not.
    pub(super) fn count_for_rollback(&mut self, tenant: Option<usize>, class: usize, came: u32, served: u32) {
        if !self.agreements.is_on() {
            return;
        }
        let whole = self.counter_cell(None, class);
        let of_office = tenant.map(|tenant| self.counter_cell(Some(tenant), class));
        let office = self.tenant_cell(tenant);
        let totals = &mut self.agreements.service_totals;
        for cell in [Some(whole), office, of_office].into_iter().flatten() {
            if totals.len() < MOST_CELLS || totals.contains_key(&cell) {
                let total = totals.entry(cell).or_default();
                total.came = total.came.saturating_add(came);
                total.served = total.served.saturating_add(served);
            }
        }
    }

    /// An operator wants this server out: at once where nobody is to be asked, else once there is a permit. Whether it is asked for.
    pub(super) fn request_permit_to_leave(&mut self) -> bool {
        let now = self.timestamp.now;
        let Some(agent) = &mut self.agreements.agent else { return false };
        agent.leave(now);
        self.log(Level::Info, "asking the fleet for a permit to leave".into());
        true
    }

    /// An operator wants it to stay.
    pub(super) fn withdraw_permit_request(&mut self) {
        if let Some(agent) = &mut self.agreements.agent {
            agent.stay(self.timestamp.now);
        }
    }

    /// Its turn in a step.
    pub(super) fn agreements_step(&mut self) {
        let now = self.timestamp.now;
        if !self.agreements.is_on() {
            return;
        }
        let ready = self.ready().is_ok();
        let agreements = &mut self.agreements;
        if now >= agreements.next_report_at || ready != agreements.reported_ready {
            (agreements.next_report_at, agreements.reported_ready) = (time_after(now, LOOK), ready);
            let report = ServerReport {
                zone: agreements.zone.clone(),
                ready,
                program: agreements.program_version.clone(),
                settings: agreements.settings_digest.clone(),
                staged: agreements.staged_digests.clone(),
                failed: agreements.failed_step.clone(),
                totals: agreements.service_totals.iter().map(|(cell, total)| (cell.0, *total)).collect(),
                ..ServerReport::default()
            };
            if let Some(agent) = &mut agreements.agent {
                agent.tells(now, report);
            }
        }
        let mut asked = Vec::new();
        if let Some(agent) = &mut self.agreements.agent {
            agent.step(now, &mut asked);
        }
        for effect in asked {
            self.agent_effect(effect);
        }
    }

    fn agent_effect(&mut self, effect: AgentEffect) {
        let now = self.timestamp.now;
        match effect {
            AgentEffect::Send(to, word) => self.send_to_peer(&to, &word),
            AgentEffect::Write(number, records) => {
                self.effects.push(Effect::WriteVoterState {
                    generation: self.agreements.voter_state_generation,
                    number,
                    records,
                });
            }
            AgentEffect::PermitGranted(epoch, until) => {
                if now < until {
                    self.log(Level::Info, format!("leaving by permit {epoch}"));
                    self.take_out_of_service();
                } else {
                    self.log(Level::Warning, format!("permit {epoch} came too late to begin; asking again"));
                    self.request_permit_to_leave();
                }
            }
            AgentEffect::PermitDenied(why) => self.log(Level::Warning, format!("not leaving: {why}")),
            AgentEffect::StepGranted(turn, until) => {
                let (kind, version) = (turn.kind, turn.version.clone());
                if now >= until {
                    self.log(Level::Warning, format!("the turn for {version} came too late to begin"));
                    if let Some(agent) = &mut self.agreements.agent {
                        agent.missed();
                    }
                    return;
                }
                let what = if kind == ReleaseKind::Program { "program" } else { "settings" };
                self.log(Level::Info, format!("changing to {what} {version} by permit {}", turn.epoch));
                self.effects.push(Effect::StartRolloutStep { step: Box::new(turn), start_before: until });
            }
            AgentEffect::Configuration(effect) => self.consensus_configuration_effect(effect),
            AgentEffect::Log(bad, text) => {
                self.log(if bad { Level::Warning } else { Level::Info }, text);
            }
        }
    }

    /// An operator's call about the fleet's agreements.
    pub(super) fn agreement_request(&mut self, call: AgreementRequest) -> AgreementResponse {
        let now = self.timestamp.now;
        let Some(agent) = &mut self.agreements.agent else { return AgreementResponse::Off };
        match call {
            AgreementRequest::Status => AgreementResponse::Status(Box::new(agent.status(now))),
            AgreementRequest::Command(order) => {
                self.agreements.last_ticket += 1;
                let ticket = self.agreements.last_ticket;
                match agent.order(now, ticket, *order) {
                    Ok(()) => AgreementResponse::Ticket(ticket),
                    Err(why) => AgreementResponse::Completed(Err(why)),
                }
            }
            AgreementRequest::CommandStatus { ticket } => {
                AgreementResponse::CommandStatus(agent.became(ticket))
            }
            AgreementRequest::FoundGroup => {
                AgreementResponse::Completed(agent.found(now).map_err(|why| why.to_string()))
            }
            AgreementRequest::TargetVersion { server: name } => {
                AgreementResponse::TargetVersion(agent.record().and_then(|record| record.program_for(&name)))
            }
            AgreementRequest::Leave => {
                self.request_permit_to_leave();
                AgreementResponse::Completed(Ok("asking for a permit".into()))
            }
            AgreementRequest::Stay => {
                self.withdraw_permit_request();
                self.return_to_service();
                AgreementResponse::Completed(Ok("staying".into()))
            }
        }
    }
}
