//! State of one tile server and every change to it: [`Input`]s in, [`Effect`]s out.
//!
//! The reducer hosts one [`Controller`], which decides about requests, and applies the controller's actions to the
//! state. It does no I/O and reads no clock, so a test can drive it through any sequence of events. This file takes the
//! steps and dispatches inputs. Each concern has its own file, with the state that only this file changes and its
//! methods of [`Reducer`].

mod admin;
mod admission_actions;
mod agreements;
mod apply_summary;
mod arrival_times;
mod cluster;
mod configuration;
mod configuration_admin;
mod connections;
mod counter_cells;
mod drain;
mod due_times;
mod never_ran;
mod open_requests;
mod persistence;
mod processor_link;
mod refusals;
mod request_intake;
mod responses;
mod run_claims;
mod runs;
mod schedule;
mod settings_changes;
mod settings_reload;
mod upstream_calls;

use crate::admin::OperatorDrain;
use crate::buffer_pool::BufferPool;
use crate::classes::Classes;
use crate::config::{Config, ConfigError};
use crate::idempotency_log::IdempotencyLog;
use crate::idempotency_table::IdempotencyTable;
use crate::lifecycle_guard::{LifecycleGuard, Violation};
use crate::messages::{ConnectionId, Effect, Input, SequenceId, UpstreamCallId, earliest};
use crate::pending_claims::PendingClaims;
use crate::registration::Registration;
use crate::request_metrics::RequestMetrics;
use crate::shutdown::Shutdown;
use crate::started_runs::StartedRuns;
use crate::tenants::Tenants;
use crate::timestamp::Timestamp;
use crate::wall_clock::WallClock;
use agreements::Agreements;
pub use apply_summary::{ApplyError, ApplySummary, NameList};
use cluster::ClusterState;
pub use cluster::{cell_names, lent_share};
use configuration::ConfigurationState;
use connections::Connections;
use drain::Drain;
use due_times::LateLog;
use gradepin_admission::{
    Action, ClassDefinition, Controller, Event, Settings, Span, SplitSettings, Tenant, Time,
};
use open_requests::OpenRequests;
use persistence::Recovery;
use processor_link::ProcessorLink;
use refusals::PendingRefusals;
use schedule::Schedule;
use settings_changes::SettingsChanges;
use slog::Level;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Limit of the retained results of keyed runs: the memory of the process divided by this.
const RESULT_MEMORY_DIVISOR: usize = 6;
/// Limit of the ids of started runs: the memory of the process divided by this.
const STARTED_RUNS_MEMORY_DIVISOR: usize = 32;

/// The state of one tile server.
pub struct Reducer {
    /// Active settings, without classes and tenants.
    settings: Arc<Settings>,
    config: Config,
    seed: u64,
    /// The admission module; `None` until the processor's first greeting.
    controller: Option<Controller>,
    /// Time of the current step, with the reference time of `wall_clock`.
    timestamp: Timestamp,
    /// Wall clock of the current step, in Unix milliseconds.
    wall_unix_ms: u64,
    /// The clocks that time stamps of clients refer to.
    wall_clock: WallClock,
    requests: OpenRequests,
    connections: Connections,
    idempotency_table: IdempotencyTable,
    idempotency_log: IdempotencyLog,
    /// Runs of requests without an idempotency key.
    started_runs: StartedRuns,
    /// Runs that wait for their claims, if the two processes of an upgrade share keyed runs.
    pending_claims: PendingClaims,
    /// Refusals that wait for the record of the other process's runs.
    pending_refusals: PendingRefusals,
    recovery: Recovery,
    processor: ProcessorLink,
    drain: Drain,
    schedule: Schedule,
    /// Counters, call slots and limits shared with other servers, if there is a cluster.
    cluster: ClusterState,
    /// This server's part in permits and rollouts, if there is a consensus group.
    agreements: Agreements,
    /// The committed configuration, if the configuration service is enabled.
    configuration: ConfigurationState,
    /// Whether the admission module reports that the server takes requests.
    healthy: bool,
    /// Capacity hint carried by each response; `None` until the admission module sets one.
    capacity_hint: Option<f64>,
    registration: Registration,
    classes: Classes,
    tenants: Tenants,
    settings_changes: SettingsChanges,
    /// Id of the latest call to the shared upstream.
    last_upstream_call: UpstreamCallId,
    operator_drain: OperatorDrain,
    metrics: RequestMetrics,
    late_log: LateLog,
    /// Checks each response, run, close and the exit.
    guard: LifecycleGuard,
    /// Events for the admission module's next decision.
    events: Vec<Event>,
    /// Reused buffer of the admission module's actions; empty between steps.
    actions: Vec<Action>,
    /// Effects of the current step so far.
    effects: Vec<Effect>,
}

/// The fields that all client messages share.
struct ClientMessage {
    connection: ConnectionId,
    sequence: SequenceId,
    /// Whether the message is owed a response.
    is_request: bool,
}

impl ClientMessage {
    fn of(input: &Input) -> Option<Self> {
        match input {
            Input::Request { connection, sequence, .. }
            | Input::InvalidRequest { connection, sequence, .. }
            | Input::HealthCheck { connection, sequence } => {
                Some(Self { connection: *connection, sequence: *sequence, is_request: true })
            }
            Input::Cancel { connection, sequence } => {
                Some(Self { connection: *connection, sequence: *sequence, is_request: false })
            }
            _ => None,
        }
    }
}

impl Reducer {
    /// Creates the initial state of a server. Returns an error if the seed of `config` is not a hexadecimal number.
    pub fn new(
        config: &Config,
        settings: Arc<Settings>,
        registration: Registration,
    ) -> Result<Self, ConfigError> {
        let SplitSettings { global, classes, tenants } = Arc::unwrap_or_clone(settings).split();
        let config = Config { settings: global, ..config.clone() };
        Self::with_definitions(&config, classes, tenants, registration)
    }

    /// Like [`Reducer::new`], with the classes and tenants passed separately from the settings of `config`. They take
    /// slots in the order given.
    pub fn with_definitions(
        config: &Config,
        classes: Vec<Arc<ClassDefinition>>,
        tenants: Vec<Arc<Tenant>>,
        registration: Registration,
    ) -> Result<Self, ConfigError> {
        let settings = config.settings.clone();
        let classes = Classes::new(classes);
        let longest_window = classes.longest_window();
        Ok(Self {
            seed: config.seed()?,
            config: config.clone(),
            settings: Arc::new(settings),
            controller: None,
            timestamp: Timestamp::default(),
            wall_unix_ms: 0,
            wall_clock: WallClock::default(),
            requests: OpenRequests::new(config),
            connections: Connections::new(config.max_connections()),
            idempotency_table: IdempotencyTable::new(config.memory(RESULT_MEMORY_DIVISOR)),
            idempotency_log: IdempotencyLog::disabled(),
            started_runs: StartedRuns::new(config.memory(STARTED_RUNS_MEMORY_DIVISOR)),
            pending_claims: PendingClaims::default(),
            pending_refusals: PendingRefusals::default(),
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
            settings_changes: SettingsChanges::new(longest_window),
            last_upstream_call: 0,
            operator_drain: OperatorDrain::default(),
            metrics: RequestMetrics::default(),
            late_log: LateLog::default(),
            guard: LifecycleGuard::default(),
            events: Vec::new(),
            actions: Vec::new(),
            effects: Vec::new(),
        })
    }

    /// Configures a process whose listening socket is inherited and shared with its successor in an upgrade.
    pub fn sharing_listener(mut self) -> Self {
        self.drain.shutdown = Shutdown::sharing_listener();
        self
    }

    /// Configures a process that shares its keyed runs with the other process of an upgrade. `salt` keys the
    /// fingerprints of both processes; without it, the salt arrives with [`Input::RunsShared`] once the runs can be
    /// shared. Excludes [`Reducer::with_store`]: a store has one owner and its own salt.
    pub fn sharing_runs(mut self, salt: Option<u64>) -> Self {
        self.pending_claims = PendingClaims::shared();
        self.recovery.salt = salt.unwrap_or(self.recovery.salt);
        self
    }

    /// Adds a store that is being opened; `log` decides what is written to it. Recovered results take their buffers
    /// from `pool`.
    pub fn with_store(mut self, log: IdempotencyLog, pool: Arc<BufferPool>) -> Self {
        (self.idempotency_log, self.recovery.pool) = (log, pool);
        self
    }

    /// Applies all inputs in order, lets the admission module decide once, and appends the effects of the step.
    pub fn step(
        &mut self,
        timestamp: Timestamp,
        inputs: impl IntoIterator<Item = Input>,
        effects: &mut Vec<Effect>,
    ) {
        self.read_clocks(timestamp);
        self.recovery.record_first_step(timestamp.now);
        for input in inputs {
            self.input(input);
        }
        self.reload_step();
        self.expire_refusals();
        self.fire_timers();
        self.decide();
        self.agreements_step();
        self.configuration_step();
        self.cluster_step();
        self.periodic_step();
        effects.append(&mut self.effects);
    }

    fn read_clocks(&mut self, reading: Timestamp) {
        let step_ms = self.wall_clock.observe(reading);
        self.wall_unix_ms = reading.unix_ms;
        self.timestamp = Timestamp { now: reading.now, unix_ms: self.wall_clock.reference_ms() };
        if let Some(step_ms) = step_ms {
            self.metrics.lifecycle.clock_steps += 1;
            self.log(
                Level::Warning,
                format!("the wall clock was set by {step_ms} ms; durations are not affected"),
            );
        }
    }

    /// Next time at which [`Reducer::step`] must be called even without input.
    pub fn wake_at(&self) -> Option<Time> {
        let now = self.timestamp.now;
        if !self.events.is_empty() || self.settings_changes.is_reloading() || !self.effects.is_empty() {
            return Some(now);
        }
        let due = [
            self.schedule.timer_due_at(now, self.processor.reading_since),
            self.drain.shutdown.wake_at(now),
            self.pending_refusals.wake_at(),
            self.idempotency_log.wake_at(),
            self.recovery.wait_until(),
            self.cluster.wake_at(now),
            self.agreements.wake_at(),
            self.configuration.wake_at(now),
            self.registration.wake_at(now),
            Some(self.schedule.wake_at()),
        ];
        due.into_iter().fold(None, earliest)
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(Effect::Log { level, text });
    }

    /// Counts a client message on its connection. Returns false if the message must be dropped because its sequence
    /// number is already in use.
    fn accept_message(&mut self, input: &Input) -> bool {
        let Some(message) = ClientMessage::of(input) else { return true };
        self.connections.message_received(message.connection);
        if !message.is_request {
            return true;
        }
        self.connections.request_received(message.connection);
        if self.reject_duplicate_sequence(message.connection, message.sequence) {
            return false;
        }
        self.guard.message_read(message.connection, message.sequence);
        true
    }

    /// Whether the guard allows an action. A denied one is logged.
    fn is_allowed(&mut self, result: Result<(), Violation>) -> bool {
        if let Err(violation) = &result {
            self.log(Level::Error, format!("invariant violated: {violation}"));
        }
        result.is_ok()
    }

    fn input(&mut self, input: Input) {
        if !self.accept_message(&input) {
            return;
        }
        let now = self.timestamp.now;
        match input {
            Input::ConnectionOpened(connection) => self.connection_opened(connection),
            Input::ConnectionHalfClosed(connection) => self.connection_half_closed(connection),
            Input::ConnectionLate(connection) => self.connection_late(connection),
            Input::ConnectionClosed(connection) => self.connection_closed(connection),
            Input::ConnectionThrottled { connection, duration } => {
                self.reading_paused(connection, duration);
            }
            Input::ResponsesDelayed { count, total, longest } => {
                self.responses_delayed(count, total, longest);
            }
            Input::Request { connection, sequence, request } => {
                self.receive_request(connection, sequence, *request);
            }
            Input::InvalidRequest { connection, sequence, error, text } => {
                self.reject_invalid(connection, sequence, None, error, text);
            }
            Input::Cancel { connection, sequence } => {
                self.charge_surplus_cancel(connection);
                self.cancel_request(connection, sequence);
            }
            Input::HealthCheck { connection, sequence } => self.answer_health_check(connection, sequence),
            Input::LinkUp { link, cold, age } => self.link_up(link, cold, age),
            Input::LinkDown => self.link_down(),
            Input::ProcessorRestarted => self.processor_restarted(),
            Input::RunCompleted { notice, id, end, took, result } => {
                self.run_completed(notice, &id, end, took, result);
            }
            Input::UpstreamCallRequested { notice, id, body } => {
                self.upstream_call_requested(notice, &id, body);
            }
            Input::UpstreamCallEnded { id, call, outcome, reply } => {
                self.upstream_call_ended(&id, call, outcome, reply);
            }
            Input::RunClaimed { id, claim } => self.run_claimed(&id, claim),
            Input::RunLookedUp { lookup, run } => self.run_looked_up(lookup, run),
            Input::RunsShared { salt } => self.runs_shared(salt),
            Input::GaugesRead { number, values } => self.gauges_read(number, &values),
            Input::RunNotStarted(id) => self.run_not_started(&id),
            Input::ShutdownNotice => self.begin_shutdown(),
            Input::StoppedAccepting => self.drain.shutdown.accepting_stopped(),
            Input::StoppedReading => self.reading_stopped(),
            Input::TakeOutOfService => self.operator_takes_out(),
            Input::ReturnToService => self.operator_returns(),
            Input::VoterStateWritten { number } => self.voter_state_written(number),
            Input::VoterStateFailed { recovered, reason } => self.voter_state_failed(*recovered, &reason),
            Input::ConfigurationWritten(result) => self.configuration_written(result),
            Input::StagedSettingsChanged { active, staged } => self.staged_settings_changed(active, staged),
            Input::RolloutStepFailed { release, reason } => self.rollout_step_failed(release, reason),
            Input::RegistryReply { ticket, reply } => self.registration.reply(now, ticket, reply),
            Input::Reload(reload) => self.reload(reload),
            Input::ReloadRejected { reason } => self.reload_rejected(&reason),
            Input::AdminRequest { id, request } => self.admin_request(id, request),
            Input::StoreRecovered(recovered) => self.store_recovered(*recovered),
            Input::StorePersisted { number } => self.store_persisted(number),
            Input::StoreFailed { number, reason } => self.store_failed(number, &reason),
            Input::PeerDatagram(envelope) => self.peer_datagram_received(&envelope),
            Input::PeerDatagramsDropped(dropped) => self.peer_datagrams_dropped(&dropped),
            Input::AuthenticationKeysReloaded(keys) => self.authentication_keys_reloaded(keys),
        }
    }
}
