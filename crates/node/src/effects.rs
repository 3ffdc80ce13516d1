//! Executes the effects of the reducer, each by one call to the part that is responsible for it.
//!
//! Nothing here blocks the main thread or makes decisions. Immediate results of an effect become inputs of the next
//! step ([`EffectExecutor::execute`]) and are not queued: the main thread empties the queues, so it would wait for
//! itself if one were full.

use crate::admin::Admin;
use crate::claims::Claims;
use crate::clock::Clock;
use crate::configuration_writer::ConfigurationWriter;
use crate::control::Control;
use crate::frontend::Frontend;
use crate::peer_datagrams::PeerDatagrams;
use crate::processor::Processor;
use crate::registry::Registry;
use crate::reload::ConfigReloader;
use crate::settings::ActiveSettings;
use crate::staging::StagingArea;
use crate::store::Store;
use crate::upstream_client::{UpstreamClient, UpstreamStarter};
use crate::voter_storage::VoterStorage;
use crossbeam_channel::Sender;
use gradepin_admission::{Outcome, RequestId, Span, Time};
use gradepin_coordination::messages::StepAssignment;
use gradepin_core::messages::{Effect, Input, UpstreamCallId};
use slog::{Level, Logger, error, info, warn};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;

/// All running parts of a server. Fields are dropped in the order of declaration: the part started last comes first.
pub(crate) struct EffectExecutor {
    /// The link to the processor.
    pub processor: Processor,
    /// Calls to the shared upstream, if one is configured.
    pub upstream: Option<UpstreamClient>,
    /// Starts [`Self::upstream`] if a reload is the first to configure an address.
    pub upstream_starter: UpstreamStarter,
    /// Requests to the registry.
    pub registry: Option<Registry>,
    /// Connections of clients.
    pub frontend: Frontend,
    /// Requests of operators.
    pub admin: Option<Admin>,
    /// The store of keyed runs.
    pub store: Option<Store>,
    /// Applies staged settings.
    pub reloader: ConfigReloader,
    /// Notifies the reload thread that it may compare the next file.
    pub reload_finished: Sender<()>,
    /// Writes the last good configuration; dropping it waits for the disk.
    pub configuration_writer: Option<ConfigurationWriter>,
    /// Datagrams to other servers.
    pub peers: Option<PeerDatagrams>,
    /// Writes a voter's state.
    pub voter_storage: Option<VoterStorage>,
    /// Executes rollout steps on this server.
    pub staging: Option<Arc<StagingArea>>,
    /// Reports to the control plane.
    pub control: Control,
    /// Keyed runs shared with the other process of an upgrade.
    pub claims: Option<Claims>,
    /// Classes and tenants by name, as the front ends look them up.
    pub names: ActiveSettings,
    /// Sender of urgent inputs, for threads that effects start.
    pub urgent_inputs: Sender<Input>,
    /// The reducer's clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

/// Concurrent upstream calls if a reload is the first to configure an upstream; the descriptors reserved at the start
/// suffice for no more.
const MAX_CALLS_OF_ADDED_UPSTREAM: usize = 4;

impl EffectExecutor {
    /// Executes one effect and appends its immediate results to the inputs of the next step. Breaks at
    /// [`Effect::Exit`].
    pub(crate) fn execute(&mut self, effect: Effect, arrived: &mut Vec<Input>) -> ControlFlow<()> {
        match effect {
            Effect::Respond { connection, sequence, response, capacity_hint } => {
                self.frontend.respond(connection, sequence, &response, capacity_hint);
            }
            Effect::ChargeConnection { connection, violation } => self.frontend.charge(connection, violation),
            Effect::RequestDrain(connection) => self.frontend.request_drain(connection),
            Effect::StopAccepting => self.frontend.stop_accepting(),
            Effect::StopReading => self.frontend.stop_reading(),
            Effect::CloseConnection(connection) => self.frontend.close(connection),
            Effect::CloseIdleConnection { connection, messages_received } => {
                self.frontend.close_when_idle(connection, messages_received);
            }
            Effect::CloseLateConnection { connection, messages_received } => {
                self.frontend.close_timed_out(connection, messages_received);
            }
            Effect::StartRun { link, id, class, body } => {
                self.processor.begin(link, &id, &class.profile.name, &body);
            }
            Effect::StopRun { link, id } => self.processor.interrupt(link, &id),
            Effect::ReadGauges { link, number } => self.processor.usage(link, number),
            Effect::DeliverUpstreamReply { link, id, reply } => self.processor.answer(link, &id, &reply),
            Effect::ReconnectProcessor { link } => self.processor.reconnect(link),
            Effect::ReplayNotices => self.processor.replay_notices(),
            Effect::SetProcessorAddress(address) => self.processor.retarget(address),
            Effect::CallUpstream { id, call, body, timeout, send_before } => {
                arrived.extend(self.call_upstream(id, call, &body, timeout, send_before));
            }
            Effect::SetUpstreamAddress(address) => self.set_upstream_address(address),
            Effect::ReportReadiness { ready } => self.report_readiness(ready),
            Effect::SetControlAddress(address) => self.control.retarget(address),
            Effect::AskRegistry(request) => if_present(&self.registry, |registry| registry.ask(request)),
            Effect::SendPeerDatagram { to, datagram } => {
                if_present(&self.peers, |peers| peers.send(to, &datagram));
            }
            Effect::PersistRecords { number, batch } => {
                if_present(&self.store, |store| store.persist(number, batch));
            }
            Effect::SaveConfiguration(save) => {
                if_present(&self.configuration_writer, |writer| writer.save(save.state, save.commit));
            }
            Effect::WriteVoterState { generation, number, records } => {
                if_present(&self.voter_storage, |storage| storage.write(generation, number, records));
            }
            Effect::StartRolloutStep { step, start_before } => {
                arrived.extend(self.start_rollout_step(*step, start_before));
            }
            Effect::ClaimRun { id, key, fingerprint, timeout } => {
                if_present(&self.claims, |claims| claims.claim(id, key, fingerprint, timeout));
            }
            Effect::LookUpRun { lookup, key, fingerprint } => {
                if_present(&self.claims, |claims| claims.look_up(lookup, key, fingerprint));
            }
            Effect::ReleaseClaim { key, fingerprint, outcome } => {
                if_present(&self.claims, |claims| claims.release(key, fingerprint, outcome));
            }
            Effect::SetLongestWindow(window) => {
                if_present(&self.claims, |claims| claims.set_longest_window(window));
            }
            Effect::UpdateNames { edition, changes } => self.names.publish(edition, changes),
            Effect::ReloadFinished => self.notify_reload_finished(),
            Effect::AnswerAdmin { id, response } => {
                if_present(&self.admin, |admin| admin.answer(id, response));
            }
            Effect::Log { level, text } => self.write_log_line(level, &text),
            Effect::Exit => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    /// Hands a call to the upstream threads; if that is not possible, returns the input that ends the call. Without
    /// that input the run would wait until its client gives up.
    fn call_upstream(
        &self,
        id: RequestId,
        call: UpstreamCallId,
        body: &[u8],
        timeout: Span,
        send_before: Option<Time>,
    ) -> Option<Input> {
        let send_before = send_before.map(|at| self.clock.instant(at));
        match &self.upstream {
            Some(upstream) => upstream.call((id, call), body, timeout, send_before).err(),
            None => {
                let outcome = Outcome::ConnectFailed;
                Some(Input::UpstreamCallEnded { id, call, outcome, reply: None })
            }
        }
    }

    fn set_upstream_address(&mut self, address: SocketAddr) {
        if let Some(upstream) = &self.upstream {
            return upstream.retarget(address);
        }
        match self.upstream_starter.start(address, MAX_CALLS_OF_ADDED_UPSTREAM) {
            Ok(upstream) => self.upstream = Some(upstream),
            Err(e) => error!(self.log, "can't start upstream threads; upstream calls fail"; "error" => %e),
        }
    }

    fn report_readiness(&self, ready: bool) {
        if let Err(e) = self.control.report(ready) {
            info!(self.log, "can't send a report to the control plane"; "error" => %e);
        }
    }

    /// Starts a rollout step on a separate thread; if that fails, returns the input that reports the failed step.
    fn start_rollout_step(&self, step: StepAssignment, start_before: Time) -> Option<Input> {
        let release = step.rollout;
        let reason = match &self.staging {
            Some(staging) => staging
                .start_step(step, start_before, self.clock, self.urgent_inputs.clone(), self.reloader.clone())
                .err()?
                .to_string(),
            None => "no staging area is configured".to_string(),
        };
        Some(Input::RolloutStepFailed { release, reason })
    }

    /// Notifies the reload thread that a reload is finished; if the queue is full, it was already notified.
    fn notify_reload_finished(&self) {
        let _ = self.reload_finished.try_send(());
    }

    fn write_log_line(&self, level: Level, text: &str) {
        match level {
            Level::Info => info!(self.log, "{}", text),
            Level::Warning => warn!(self.log, "{}", text),
            _ => error!(self.log, "{}", text),
        }
    }
}

/// Calls a part if it is running; otherwise the effect is ignored.
fn if_present<P>(part: &Option<P>, call: impl FnOnce(&P)) {
    if let Some(part) = part {
        call(part);
    }
}
