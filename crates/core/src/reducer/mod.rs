//! All state of the tile server, and all changes to it: inputs in, effects out.
//!
//! The reducer hosts one [`Controller`] and decides nothing itself. It does no I/O and reads no clock, so a
//! test can drive it through any course of events. This file steps and routes; each concern has a file with the state
//! that it alone changes.

mod admin;
mod agreements;
mod cluster;
mod configuration;
mod configuration_admin;
mod connections;
mod counter_cells;
mod drain;
mod open_requests;
mod persistence;
mod processor_link;
mod run_claims;
mod runs;
mod schedule;
mod settings_changes;
mod upstream_calls;

use crate::admin::OperatorDrain;
use crate::buffer_pool::BufferPool;
use crate::classes::Classes;
use crate::config::{Config, ConfigError};
use crate::handover::Handover;
use crate::idempotency_log::IdempotencyLog;
use crate::idempotency_table::{IdempotencyTable, RunOutcome};
use crate::messages::{Effect, Input, Response, UpstreamCallId, earliest};
use crate::pending_claims::PendingClaims;
use crate::registration::Registration;
use crate::request_metrics::RequestMetrics;
use crate::tenants::Tenants;
use crate::timestamp::Timestamp;
use agreements::Agreements;
use cluster::ClusterState;
pub use cluster::{cell_names, lent_share};
use configuration::ConfigurationState;
use connections::Connections;
use drain::Drain;
use gradepin_admission::{
    Action, ClassDefinition, Controller, Event, Settings, Span, Tenant, Time, time_after,
};
use open_requests::{OpenRequest, OpenRequests, State};
use persistence::Recovery;
use processor_link::ProcessorLink;
use schedule::Schedule;
use settings_changes::SettingsChanges;
pub use settings_changes::{ApplyError, ApplySummary, NameList};
use slog::Level;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Part of the memory for the results of keyed runs.
const RESULTS_PART: usize = 6;

/// The state of one tile server.
pub struct Reducer {
    settings: Arc<Settings>,
    config: Config,
    seed: u64,
    controller: Option<Controller>,
    timestamp: Timestamp,
    requests: OpenRequests,
    connections: Connections,
    idempotency_table: IdempotencyTable,
    idempotency_log: IdempotencyLog,
    /// Where the process after this one in an upgrade shares what runs.
    pending_claims: PendingClaims,
    recovery: Recovery,
    processor: ProcessorLink,
    drain: Drain,
    schedule: Schedule,
    /// What it shares with other servers, where they may talk to each other.
    cluster: ClusterState,
    /// Its part in what that fleet agrees on.
    agreements: Agreements,
    /// Classes, tenants and rules by committed revisions, where that service is on.
    configuration: ConfigurationState,
    healthy: bool,
    capacity_hint: Option<f64>,
    registration: Registration,
    /// The classes and tenants in force; `settings` are all others.
    classes: Classes,
    tenants: Tenants,
    settings_changes: SettingsChanges,
    /// Calls to the ledger made so far.
    last_upstream_call: UpstreamCallId,
    /// The drain that operators order at their door, and the figures they scrape.
    operator_drain: OperatorDrain,
    metrics: RequestMetrics,
    /// For the module's next turn.
    events: Vec<Event>,
    actions: Vec<Action>,
    effects: Vec<Effect>,
}

impl Reducer {
    /// The state at the start of a server.
    pub fn new(
        config: &Config,
        settings: Arc<Settings>,
        registration: Registration,
    ) -> Result<Self, ConfigError> {
        let (rest, classes, tenants) = Arc::unwrap_or_clone(settings).split();
        let config = Config { settings: rest, ..config.clone() };
        Self::with_definitions(&config, classes, tenants, registration)
    }

    /// The same, with the classes and tenants, in slots by their order, apart from the settings of the configuration.
    pub fn with_definitions(
        config: &Config,
        classes: Vec<Arc<ClassDefinition>>,
        tenants: Vec<Arc<Tenant>>,
        registration: Registration,
    ) -> Result<Self, ConfigError> {
        let settings = config.settings.clone();
        let classes = Classes::new(classes);
        let window = classes.longest_window();
        Ok(Self {
            seed: config.seed()?,
            config: config.clone(),
            settings: Arc::new(settings),
            controller: None,
            timestamp: Timestamp::default(),
            requests: OpenRequests::new(config),
            connections: Connections::new(config.connections()),
            idempotency_table: IdempotencyTable::new(config.memory(RESULTS_PART)),
            idempotency_log: IdempotencyLog::off(),
            pending_claims: PendingClaims::default(),
            recovery: Recovery::new(config.seed()?),
            processor: ProcessorLink::default(),
            drain: Drain::new(Span(config.stop_ms.saturating_mul(MS))),
            schedule: Schedule::default(),
            cluster: ClusterState::default(),
            agreements: Agreements::default(),
            configuration: ConfigurationState::default(),
            healthy: false,
            capacity_hint: None,
            registration,
            classes,
            tenants: Tenants::new(tenants),
            settings_changes: SettingsChanges::new(window),
            last_upstream_call: 0,
            operator_drain: OperatorDrain::default(),
            metrics: RequestMetrics::default(),
            events: Vec::new(),
            actions: Vec::new(),
            effects: Vec::new(),
        })
    }

    /// For a process whose listener is inherited and shared with the one that comes after it in an upgrade.
    pub fn sharing_listener(mut self) -> Self {
        self.drain.handover = Handover::shared();
        self
    }

    /// For a process that shares its keyed runs with the other one of an upgrade; this salt keys the prints of both, and is
    /// told later ([`Input::RunsShared`]) where they can't be shared yet. Not beside a store, which has one owner and a salt
    /// of its own.
    pub fn sharing_runs(mut self, salt: Option<u64>) -> Self {
        self.pending_claims = PendingClaims::shared();
        self.recovery.salt = salt.unwrap_or(self.recovery.salt);
        self
    }

    /// With a store that is being opened, whose records go by this ledger.
    pub fn with_store(mut self, ledger: IdempotencyLog, pool: Arc<BufferPool>) -> Self {
        (self.idempotency_log, self.recovery.pool) = (ledger, pool);
        self
    }

    /// Takes in all inputs, lets the module decide once, and appends what is to be done.
    pub fn step(
        &mut self,
        moment: Timestamp,
        inputs: impl IntoIterator<Item = Input>,
        effects: &mut Vec<Effect>,
    ) {
        self.timestamp = moment;
        self.recovery.note_step(moment.now);
        for input in inputs {
            self.input(input);
        }
        self.reload_step();
        self.fire_timers();
        self.decide();
        self.agreements_step();
        self.configuration_step();
        self.cluster_step();
        self.periodic_step();
        effects.append(&mut self.effects);
    }

    /// When [`Reducer::step`] must be called again though nothing came in.
    pub fn wake_at(&self) -> Option<Time> {
        if !self.events.is_empty() || self.settings_changes.is_reloading() || !self.effects.is_empty() {
            return Some(self.timestamp.now);
        }
        let timer = self.schedule.timer_due_at(self.timestamp.now, self.processor.reading_since);
        let own = earliest(
            earliest(timer, self.drain.wake_at()),
            earliest(self.idempotency_log.wake_at(), self.recovery.wait_until()),
        );
        let own =
            earliest(earliest(own, self.cluster.wake_at(self.timestamp.now)), self.agreements.wake_at());
        let own = self.configuration_wake_at(own);
        earliest(earliest(own, self.registration.wake_at(self.timestamp.now)), Some(self.schedule.wake_at()))
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(Effect::Log { level, text });
    }

    fn input(&mut self, input: Input) {
        if let Input::Request { connection: conn, .. }
        | Input::InvalidRequest { connection: conn, .. }
        | Input::Cancel { connection: conn, .. }
        | Input::HealthCheck { connection: conn, .. } = &input
        {
            self.connections.message_received(*conn);
        }
        if let Input::Request { connection: conn, sequence: seq, .. }
        | Input::InvalidRequest { connection: conn, sequence: seq, .. }
        | Input::HealthCheck { connection: conn, sequence: seq } = &input
            && self.reject_duplicate_sequence(*conn, *seq)
        {
            return;
        }
        match input {
            Input::ConnectionOpened(conn) => self.connection_opened(conn),
            Input::ConnectionHalfClosed(conn) => self.connection_half_closed(conn),
            Input::ConnectionLate(conn) => self.connection_late(conn),
            Input::ConnectionClosed(conn) => self.connection_closed(conn),
            Input::Request { connection: conn, sequence: seq, request: call } => {
                self.receive_request(conn, seq, *call)
            }
            Input::InvalidRequest { connection: conn, sequence: seq, error: misuse, text: why } => {
                self.reject_invalid(conn, seq, None, misuse, why)
            }
            Input::Cancel { connection: conn, sequence: seq } => self.cancel_request(conn, seq),
            Input::HealthCheck { connection: conn, sequence: seq } => {
                self.connections.touch_and_rest(conn, self.timestamp.now);
                let good = self.healthy && self.operator_drain.draining_since().is_none();
                let health = Response::Health {
                    healthy: good,
                    store: self.idempotency_log.standing(self.timestamp.now).word(),
                };
                self.effects.push(Effect::Respond {
                    connection: conn,
                    sequence: seq,
                    response: health,
                    capacity_hint: self.capacity_hint,
                });
                self.close_if_done(conn);
            }
            Input::LinkUp { link, cold, age } => self.link_up(link, cold, age),
            Input::LinkDown => {
                self.registration.processor_silent(self.timestamp.now);
                self.processor.disconnected();
            }
            Input::ProcessorRestarted => self.processor_restarted(),
            Input::RunCompleted { notice, id, end, took, result } => {
                if self.processor.accept_notice(notice, self.timestamp.now) {
                    self.run_completed(&id, end, took, result);
                } else if self.idempotency_table.hopes() {
                    self.recovered_run_completed(&id, end, &result);
                }
            }
            Input::UpstreamCallRequested { notice, id, body } => {
                if self.processor.accept_notice(notice, self.timestamp.now) {
                    self.upstream_call_requested(&id, body);
                }
            }
            Input::UpstreamCallEnded { id, call: number, outcome, reply } => {
                self.upstream_call_ended(&id, number, outcome, reply)
            }
            Input::RunClaimed { id, claim } => self.run_claimed(&id, claim),
            Input::RunsShared { salt } => {
                self.recovery.salt = salt;
                self.log(Level::Info, "keyed runs are shared from now on".into());
            }
            Input::GaugesRead { number: tag, values } => {
                self.processor.last_heard_at = self.timestamp.now;
                self.gauges_read(tag, &values);
            }
            Input::RunNotStarted(id) => self.run_not_started(&id),
            Input::ConnectionThrottled { connection: conn, duration: pause } => {
                self.connections.throttled(conn, time_after(self.timestamp.now, pause))
            }
            Input::ShutdownNotice => self.begin_shutdown(),
            Input::StoppedAccepting => self.drain.handover.stopped(),
            Input::TakeOutOfService => {
                if !self.request_permit_to_leave() {
                    self.take_out_of_service();
                }
            }
            Input::ReturnToService => {
                self.withdraw_permit_request();
                self.return_to_service();
            }
            Input::VoterStateWritten { number } => self.voter_state_written(number),
            Input::VoterStateFailed { recovered: found, reason: why } => {
                self.voter_state_failed(*found, &why)
            }
            Input::ConfigurationWritten(written) => self.configuration_written(written),
            Input::StagedSettingsChanged { active: settings, staged } => {
                self.staged_settings_changed(settings, staged)
            }
            Input::RolloutStepFailed { release, reason: why } => self.rollout_step_failed(release, why),
            Input::RegistryReply { ticket, reply } => {
                self.registration.reply(self.timestamp.now, ticket, reply)
            }
            Input::Reload(config) => self.reload(config),
            Input::ReloadRejected { reason: why } => self.reload_rejected(&why),
            Input::AdminRequest { id, request: call } => self.admin_request(id, call),
            Input::StoreRecovered(recovered) => self.store_recovered(*recovered),
            Input::StorePersisted { number: upto } => {
                for id in self.idempotency_log.persisted(self.timestamp.now, upto) {
                    if self.requests.running(&id).is_some() {
                        self.send_run(&id);
                    }
                }
            }
            Input::PeerDatagram(envelope) => self.peer_datagram_received(&envelope),
            Input::PeerDatagramsDropped(dropped) => self.peer_datagrams_dropped(&dropped),
            Input::AuthenticationKeysReloaded(keys) => self.authentication_keys_reloaded(keys),
            Input::StoreFailed { number: upto, reason: why } => {
                for id in self.idempotency_log.failed(self.timestamp.now, upto, &why) {
                    self.reject_unstarted_run(&id);
                }
            }
        }
    }

    fn decide(&mut self) {
        let Some(controller) = &mut self.controller else { return };
        if self.events.is_empty() && !self.schedule.admission_is_due(self.timestamp.now) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        controller.handle(self.timestamp.now, &self.events, &mut actions);
        self.events.clear();
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        for id in self.requests.end_batch() {
            self.forget_request(&id);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start_run(&id),
            Action::Reject { id, retry_after, last } => self
                .respond_and_release(&id, Response::Rejected { retry_after: retry_after, no_failover: last }),
            Action::Fail(id) => {
                let late = self.is_past_deadline(&id);
                self.respond_and_release(&id, Response::Failed { timed_out: late });
            }
            Action::RetainIdempotencyKey { id, retain_for } => {
                let until = time_after(self.timestamp.now, retain_for);
                if let Some((token, print)) = self.requests.get(&id).and_then(OpenRequest::key) {
                    self.idempotency_table.remember(token, print, &id, until);
                }
            }
            Action::ReleaseIdempotencyKey(id) => {
                if let Some(token) = self.requests.get(&id).and_then(|open| open.token.as_ref()) {
                    self.idempotency_table.release(token, &id);
                }
            }
            Action::JoinRun(id) => {
                let Some(open) = self.requests.get_mut(&id) else { return };
                open.state = State::Joined(self.timestamp.now);
                let token = open.token.clone();
                let end =
                    token.map_or(Some(RunOutcome::Failed), |token| self.idempotency_table.join(&token, &id));
                if let Some(end) = end {
                    self.respond_to_repeat(&id, end);
                }
            }
            Action::ReportHealth { active, .. } => {
                if active != self.healthy {
                    self.healthy = active;
                    self.registration.health(self.timestamp.now, active);
                    self.report_change();
                    self.log(Level::Info, format!("health is {}", if active { "good" } else { "bad" }));
                }
            }
            Action::AdvertiseCapacity(value) => self.capacity_hint = Some(value),
            Action::SetIdleTimeout(span) => self.connections.set_idle_timeout(span),
            Action::SetTimer(time) => self.schedule.set_timer(time),
            Action::Log(text) => self.log(Level::Info, text),
            Action::CallUpstream { id, timeout } => self.start_upstream_call(&id, timeout),
            Action::StopRun(id) => self.stop_run(&id),
            Action::SkipUpstreamCall(_) => {
                self.log(
                    Level::Error,
                    "the module asked to go on without a call, which the processor can't".into(),
                );
            }
        }
    }
}
