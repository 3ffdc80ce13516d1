//! All state of the tile server, and all changes to it: inputs in, effects out.
//!
//! The reducer hosts one [`Controller`] and decides nothing itself. It does no I/O and reads no clock, so a
//! test can drive it through any course of events. This file steps and routes; each concern has a file with the state
//! that it alone changes.

mod agreed;
mod calls;
mod cells;
mod claims;
mod configuration;
mod configuration_calls;
mod connections;
mod drain;
mod fleet;
mod housekeeping;
mod keeping;
mod link;
mod operators;
mod requests;
mod runs;
mod settings;

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
use agreed::Agreed;
use configuration::Committed;
use connections::Connections;
use drain::Drain;
use fleet::Fleet;
pub use fleet::{cell_names, lent_share};
use gradepin_admission::{
    Action, ClassDefinition, Controller, Event, Settings, Span, Tenant, Time, time_after,
};
use housekeeping::Duties;
use keeping::Past;
use link::Link;
use requests::{Open, Requests, State};
use settings::Changes;
pub use settings::{Applied, ApplyError, Named};
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
    moment: Timestamp,
    requests: Requests,
    conns: Connections,
    keys: IdempotencyTable,
    ledger: IdempotencyLog,
    /// Where the process after this one in an upgrade shares what runs.
    claims: PendingClaims,
    past: Past,
    link: Link,
    drain: Drain,
    duties: Duties,
    /// What it shares with other servers, where they may talk to each other.
    fleet: Fleet,
    /// Its part in what that fleet agrees on.
    agreed: Agreed,
    /// Classes, tenants and rules by committed revisions, where that service is on.
    committed: Committed,
    active: bool,
    hint: Option<f64>,
    registration: Registration,
    /// The classes and tenants in force; `settings` are all others.
    classes: Classes,
    tenants: Tenants,
    changes: Changes,
    /// Calls to the ledger made so far.
    calls: UpstreamCallId,
    /// The drain that operators order at their door, and the figures they scrape.
    door: OperatorDrain,
    tally: RequestMetrics,
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
            moment: Timestamp::default(),
            requests: Requests::new(config),
            conns: Connections::new(config.connections()),
            keys: IdempotencyTable::new(config.memory(RESULTS_PART)),
            ledger: IdempotencyLog::off(),
            claims: PendingClaims::default(),
            past: Past::new(config.seed()?),
            link: Link::default(),
            drain: Drain::new(Span(config.stop_ms.saturating_mul(MS))),
            duties: Duties::default(),
            fleet: Fleet::default(),
            agreed: Agreed::default(),
            committed: Committed::default(),
            active: false,
            hint: None,
            registration,
            classes,
            tenants: Tenants::new(tenants),
            changes: Changes::starting(window),
            calls: 0,
            door: OperatorDrain::default(),
            tally: RequestMetrics::default(),
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
        self.claims = PendingClaims::shared();
        self.past.salt = salt.unwrap_or(self.past.salt);
        self
    }

    /// With a store that is being opened, whose records go by this ledger.
    pub fn with_store(mut self, ledger: IdempotencyLog, pool: Arc<BufferPool>) -> Self {
        (self.ledger, self.past.pool) = (ledger, pool);
        self
    }

    /// Takes in all inputs, lets the module decide once, and appends what is to be done.
    pub fn step(
        &mut self,
        moment: Timestamp,
        inputs: impl IntoIterator<Item = Input>,
        effects: &mut Vec<Effect>,
    ) {
        self.moment = moment;
        self.past.step(moment.now);
        for input in inputs {
            self.input(input);
        }
        self.reload_step();
        self.fire();
        self.decide();
        self.agreed_step();
        self.configuration_step();
        self.fleet_step();
        self.housekeeping();
        effects.append(&mut self.effects);
    }

    /// When [`Reducer::step`] must be called again though nothing came in.
    pub fn wake_at(&self) -> Option<Time> {
        if !self.events.is_empty() || self.changes.is_pending() || !self.effects.is_empty() {
            return Some(self.moment.now);
        }
        let timer = self.duties.timer_at(self.moment.now, self.link.open_since);
        let own = earliest(
            earliest(timer, self.drain.wake_at()),
            earliest(self.ledger.wake_at(), self.past.hope()),
        );
        let own = earliest(earliest(own, self.fleet.wake_at(self.moment.now)), self.agreed.wake_at());
        let own = self.configuration_wake_at(own);
        earliest(earliest(own, self.registration.wake_at(self.moment.now)), Some(self.duties.wake_at()))
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
            self.conns.took(*conn);
        }
        if let Input::Request { connection: conn, sequence: seq, .. }
        | Input::InvalidRequest { connection: conn, sequence: seq, .. }
        | Input::HealthCheck { connection: conn, sequence: seq } = &input
            && self.came_twice(*conn, *seq)
        {
            return;
        }
        match input {
            Input::ConnectionOpened(conn) => self.opened(conn),
            Input::ConnectionHalfClosed(conn) => self.input_ended(conn),
            Input::ConnectionLate(conn) => self.late(conn),
            Input::ConnectionClosed(conn) => self.closed(conn),
            Input::Request { connection: conn, sequence: seq, request: call } => self.call(conn, seq, *call),
            Input::InvalidRequest { connection: conn, sequence: seq, error: misuse, text: why } => {
                self.invalid(conn, seq, None, misuse, why)
            }
            Input::Cancel { connection: conn, sequence: seq } => self.cancel(conn, seq),
            Input::HealthCheck { connection: conn, sequence: seq } => {
                self.conns.rest(conn, self.moment.now);
                let good = self.active && self.door.draining_since().is_none();
                let health =
                    Response::Health { healthy: good, store: self.ledger.standing(self.moment.now).word() };
                self.effects.push(Effect::Respond {
                    connection: conn,
                    sequence: seq,
                    response: health,
                    capacity_hint: self.hint,
                });
                self.close_if_over(conn);
            }
            Input::LinkUp { link, cold, age } => self.link_up(link, cold, age),
            Input::LinkDown => {
                self.registration.processor_silent(self.moment.now);
                self.link.down();
            }
            Input::ProcessorRestarted => self.restarted(),
            Input::RunCompleted { notice, id, end, took, result } => {
                if self.link.notice(notice, self.moment.now) {
                    self.complete(&id, end, took, result);
                } else if self.keys.hopes() {
                    self.learned(&id, end, &result);
                }
            }
            Input::UpstreamCallRequested { notice, id, body } => {
                if self.link.notice(notice, self.moment.now) {
                    self.asks(&id, body);
                }
            }
            Input::UpstreamCallEnded { id, call: number, outcome, reply } => {
                self.called(&id, number, outcome, reply)
            }
            Input::RunClaimed { id, claim } => self.claimed(&id, claim),
            Input::RunsShared { salt } => {
                self.past.salt = salt;
                self.log(Level::Info, "keyed runs are shared from now on".into());
            }
            Input::GaugesRead { number: tag, values } => {
                self.link.heard = self.moment.now;
                self.used(tag, &values);
            }
            Input::RunNotStarted(id) => self.rejected(&id),
            Input::ConnectionThrottled { connection: conn, duration: pause } => {
                self.conns.paced(conn, time_after(self.moment.now, pause))
            }
            Input::ShutdownNotice => self.terminate(),
            Input::StoppedAccepting => self.drain.handover.stopped(),
            Input::TakeOutOfService => {
                if !self.asks_to_leave() {
                    self.take_out();
                }
            }
            Input::ReturnToService => {
                self.asks_to_stay();
                self.take_in();
            }
            Input::VoterStateWritten { number } => self.council_written(number),
            Input::VoterStateFailed { recovered: found, reason: why } => self.council_failed(*found, &why),
            Input::ConfigurationWritten(written) => self.configuration_written(written),
            Input::StagedSettingsChanged { active: settings, staged } => self.settings_are(settings, staged),
            Input::RolloutStepFailed { release, reason: why } => self.change_failed(release, why),
            Input::RegistryReply { ticket, reply } => self.registration.reply(self.moment.now, ticket, reply),
            Input::Reload(config) => self.reload(config),
            Input::ReloadRejected { reason: why } => self.reload_refused(&why),
            Input::AdminRequest { id, request: call } => self.admin(id, call),
            Input::StoreRecovered(recovered) => self.recovered(*recovered),
            Input::StorePersisted { number: upto } => {
                for id in self.ledger.persisted(self.moment.now, upto) {
                    if self.requests.running(&id).is_some() {
                        self.begin(&id);
                    }
                }
            }
            Input::PeerDatagram(envelope) => self.envelope_received(&envelope),
            Input::PeerDatagramsDropped(dropped) => self.envelopes_dropped(&dropped),
            Input::AuthenticationKeysReloaded(keys) => self.fleet_keys(keys),
            Input::StoreFailed { number: upto, reason: why } => {
                for id in self.ledger.failed(self.moment.now, upto, &why) {
                    self.never_ran(&id);
                }
            }
        }
    }

    fn decide(&mut self) {
        let Some(controller) = &mut self.controller else { return };
        if self.events.is_empty() && !self.duties.has_turn(self.moment.now) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        controller.handle(self.moment.now, &self.events, &mut actions);
        self.events.clear();
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        for id in self.requests.decided() {
            self.forget(&id);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.process(&id),
            Action::Reject { id, retry_after, last } => {
                self.finish(&id, Response::Rejected { retry_after: retry_after, no_failover: last })
            }
            Action::Fail(id) => {
                let late = self.is_late(&id);
                self.finish(&id, Response::Failed { timed_out: late });
            }
            Action::RetainIdempotencyKey { id, retain_for } => {
                let until = time_after(self.moment.now, retain_for);
                if let Some((token, print)) = self.requests.get(&id).and_then(Open::key) {
                    self.keys.remember(token, print, &id, until);
                }
            }
            Action::ReleaseIdempotencyKey(id) => {
                if let Some(token) = self.requests.get(&id).and_then(|open| open.token.as_ref()) {
                    self.keys.release(token, &id);
                }
            }
            Action::JoinRun(id) => {
                let Some(open) = self.requests.get_mut(&id) else { return };
                open.state = State::Joined(self.moment.now);
                let token = open.token.clone();
                let end = token.map_or(Some(RunOutcome::Failed), |token| self.keys.join(&token, &id));
                if let Some(end) = end {
                    self.joined(&id, end);
                }
            }
            Action::ReportHealth { active, .. } => {
                if active != self.active {
                    self.active = active;
                    self.registration.health(self.moment.now, active);
                    self.changed();
                    self.log(Level::Info, format!("health is {}", if active { "good" } else { "bad" }));
                }
            }
            Action::AdvertiseCapacity(value) => self.hint = Some(value),
            Action::SetIdleTimeout(span) => self.conns.idle_limit(span),
            Action::SetTimer(time) => self.duties.remind(time),
            Action::Log(text) => self.log(Level::Info, text),
            Action::CallUpstream { id, timeout } => self.ask_below(&id, timeout),
            Action::StopRun(id) => self.interrupt(&id),
            Action::SkipUpstreamCall(_) => {
                self.log(
                    Level::Error,
                    "the module asked to go on without a call, which the processor can't".into(),
                );
            }
        }
    }
}
