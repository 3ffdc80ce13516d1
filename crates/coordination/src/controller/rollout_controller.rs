//! The rollout of a release: whose turn it is, when a batch is over, and when the release stops or rolls back.
//!
//! Each step is a command; nothing here moves the release by itself. A server has its turn by a permit, changes, and counts
//! once it is stable with the wanted version.

use super::permits::{MAX_INCARNATIONS, PermitController};
use super::servers::{HeardServer, ServerTable};
use super::{Context, ControllerEffect, KeyedCommand, MS};
use crate::messages::{ServerReport, StepAssignment};
use crate::replicated_state::{
    Command, MAX_TEXT_BYTES, Name, Permit, PermitStage, Purpose, ReplicatedState, Target,
};
use crate::rollback::RegressionDetector;
use crate::rollout::{Batch, Rollout, RolloutCommand, RolloutServer, RolloutState, ServerProgress};
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A server is told of its turn so often.
const TURN_INTERVAL: Span = Span(500 * MS);
/// Between steps of the watch on the whole fleet's service.
const WATCH_STEP: Span = Span(5_000 * MS);
/// So many servers that are gone without a permit are a fault of their own, and a hundredth of a large fleet.
const SEVERAL: usize = 2;
/// The part of a large fleet, as a divisor.
const SEVERAL_OF_FLEET: usize = 100;
/// A fall of the whole fleet's service by less than this stops nothing.
const MIN_FLEET_FALL: f64 = 0.05;
/// Who stops a release where nobody did by hand.
const AUTOMATIC: &str = "the council";

/// What one step of the rollout comes to.
#[derive(Debug, Default)]
pub(super) struct RolloutStep {
    pub commands: Vec<KeyedCommand>,
    pub effects: Vec<ControllerEffect>,
}

impl RolloutStep {
    fn order(&mut self, key: &str, order: RolloutCommand) {
        self.commands.push(KeyedCommand { key: format!("release {key}"), command: Command::Release(order) });
    }

    fn server_stepped(&mut self, number: u64, name: &Name, step: ServerProgress) {
        let server = Arc::clone(name);
        self.order(&format!("step {name}"), RolloutCommand::Stepped { number, server, step });
    }

    /// Halts the release, and rolls it back if the plan says so.
    fn stop(&mut self, release: &Rollout, why: String) {
        let name = release.plan.name.clone();
        let by: Name = Arc::from(AUTOMATIC);
        let rolls_back = release.plan.goes_back && release.state == RolloutState::Running;
        self.effects.push(ControllerEffect::Log(true, format!("release {name} stops: {why}")));
        let order = if rolls_back {
            RolloutCommand::Back { name, by, why }
        } else {
            RolloutCommand::Halt { name, by, why }
        };
        self.order("stop", order);
    }
}

/// A fall of the whole fleet's service, as parts of all tries.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetFall {
    before: f64,
    since: f64,
}

impl FleetFall {
    /// Why a release waits that no server has begun.
    pub(super) fn hold(self, name: &str) -> String {
        format!("release {name} waits: {self}, and no server has the version")
    }
}

impl std::fmt::Display for FleetFall {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the fleet serves {:.3}, {:.3} before", self.since, self.before)
    }
}

/// What this leader knows of the rollout beside the replicated state.
#[derive(Debug)]
pub(super) struct RolloutController {
    watch: RegressionDetector,
    /// The release that is watched.
    watched: Option<u64>,
    /// Whether the release goes forward or back.
    forward: Option<bool>,
    next_watch_step: Time,
    /// Since when all of the batch are whole.
    batch_whole_since: Option<Time>,
    /// Whether the open release waits for a fall of service that it can't have caused.
    is_held: bool,
    /// Releases that were ordered to halt here, agreed or not, with the halts known then.
    halted: BTreeMap<String, u32>,
}

impl RolloutController {
    pub(super) fn new(now: Time) -> Self {
        Self {
            watch: RegressionDetector::default(),
            watched: None,
            forward: None,
            next_watch_step: now,
            batch_whole_since: None,
            is_held: false,
            halted: BTreeMap::new(),
        }
    }

    /// A new term begins, or this one is over.
    pub(super) fn begin_term(&mut self) {
        self.watch = RegressionDetector::default();
        self.watched = None;
        self.batch_whole_since = None;
    }

    /// A server reported: what it counted is its old or its new version's.
    pub(super) fn reported(
        &mut self,
        record: &ReplicatedState,
        name: &Name,
        incarnation: u64,
        report: &ServerReport,
    ) {
        let release = record.release.as_ref().filter(|release| self.watched == Some(release.number));
        let Some(release) = release else { return };
        let Some(server) = release.servers.get(name) else { return };
        let has = report.version(release.plan.kind);
        let is_new =
            if *has == release.plan.version { Some(true) } else { (*has == server.before).then_some(false) };
        self.watch.told(name, incarnation, is_new, &report.totals);
    }

    /// Whether a halt was ordered here that the replicated state doesn't know yet.
    pub(super) fn is_halted(&self, record: &ReplicatedState) -> bool {
        record.release.as_ref().is_some_and(|release| {
            self.halted.get(&release.plan.name).is_some_and(|halts| release.halts <= *halts)
        })
    }

    /// A halt was ordered somewhere: no further step here, agreed or not.
    pub(super) fn halt(&mut self, record: &ReplicatedState, name: &str) {
        if let Some(release) = record.release.as_ref().filter(|release| release.plan.name == name) {
            self.halted.insert(name.to_string(), release.halts);
        }
    }

    /// Moves the release that is open.
    pub(super) fn step(&mut self, context: &Context<'_>, permits: &mut PermitController) -> RolloutStep {
        let mut out = RolloutStep::default();
        let Some(release) = context.record.release.as_ref().filter(|release| release.is_open()) else {
            self.watched = None;
            self.forward = None;
            return out;
        };
        self.step_watch(context.now, release.number);
        if matches!(release.state, RolloutState::Halted(_)) || self.is_halted(context.record) {
            return out;
        }
        let forward = release.state == RolloutState::Running;
        if self.forward != Some(forward) {
            // What was seen of the way forward says nothing of the way back.
            permits.restart_all(context.now);
            self.forward = Some(forward);
        }
        if forward && let Some(worse) = self.worse_cell(context, release) {
            out.stop(release, worse);
            return out;
        }
        if forward && self.hold(context.servers, release, &mut out) {
            return out;
        }
        if forward && let Some(fall) = self.fleet_fall(release) {
            out.stop(release, fall.to_string());
            return out;
        }
        for name in release.turns() {
            if step_server(context, permits, release, name, &mut out) == Progress::Stops {
                return out;
            }
        }
        self.step_batch(context.now, release, &mut out);
        out
    }

    fn step_watch(&mut self, now: Time, number: u64) {
        if self.watched != Some(number) {
            self.watch = RegressionDetector::default();
            self.watched = Some(number);
            self.next_watch_step = now;
            self.is_held = false;
        }
        if now >= self.next_watch_step {
            self.watch.next_step();
            self.next_watch_step = time_after(now, WATCH_STEP);
        }
    }

    /// Why the release is to stop by what servers of its version count beside those of the old one, if it is.
    fn worse_cell(&self, context: &Context<'_>, release: &Rollout) -> Option<String> {
        let worse = self.watch.worse(release.plan.worse)?;
        let name = context.settings.cell_names.get(&worse.cell).cloned();
        let name = name.unwrap_or_else(|| format!("cell {:x}", worse.cell));
        Some(format!(
            "{name} is served to {:.3} by the new version and to {:.3} by the old, by {} tries",
            worse.new, worse.old, worse.tries
        ))
    }

    fn fleet_fall(&self, release: &Rollout) -> Option<FleetFall> {
        let least = release.plan.worse.max(MIN_FLEET_FALL);
        self.watch.fleet_falls(least).map(|(before, since)| FleetFall { before, since })
    }

    /// The fall of the fleet's service while no server has the release's version: nothing of the release can be the cause,
    /// and there is nothing to roll back.
    pub(super) fn fall_from_outside(&self, servers: &ServerTable, release: &Rollout) -> Option<FleetFall> {
        let plan = &release.plan;
        let has_begun = release.servers.values().any(|server| server.step != ServerProgress::Pending);
        if self.watched != Some(release.number) || release.state != RolloutState::Running || has_begun {
            return None;
        }
        if servers.reports().any(|(_, report)| *report.version(plan.kind) == plan.version) {
            return None;
        }
        self.fleet_fall(release)
    }

    /// Holds the release while the fleet's service falls from outside, and says so once; whether it is held.
    fn hold(&mut self, servers: &ServerTable, release: &Rollout, out: &mut RolloutStep) -> bool {
        let fall = self.fall_from_outside(servers, release);
        let name = &release.plan.name;
        match fall {
            Some(fall) if !self.is_held => out.effects.push(ControllerEffect::Log(true, fall.hold(name))),
            None if self.is_held => {
                let text = format!("release {name} waits no longer: the fleet serves as before");
                out.effects.push(ControllerEffect::Log(false, text));
            }
            _ => {}
        }
        self.is_held = fall.is_some();
        self.is_held
    }

    /// Ends the release where all are there, or begins the next batch where this one has been whole for its pause.
    fn step_batch(&mut self, now: Time, release: &Rollout, out: &mut RolloutStep) {
        let number = release.number;
        let forward = release.state == RolloutState::Running;
        let is_done = |server: &RolloutServer| match server.step {
            ServerProgress::Updated => forward,
            ServerProgress::Pending | ServerProgress::RolledBack => !forward,
            _ => false,
        };
        if release.servers.values().all(is_done) {
            return out.order("over", RolloutCommand::Over { number });
        }
        if !forward || !release.wave_is_whole() {
            self.batch_whole_since = None;
            return;
        }
        let since = *self.batch_whole_since.get_or_insert(now);
        let pause = release.plan.waves.get(release.wave as usize).map_or(Span(0), Batch::pause);
        if now >= time_after(since, pause) {
            self.batch_whole_since = None;
            out.order("wave", RolloutCommand::Wave { number, wave: release.wave + 1 });
        }
    }
}

/// Whether the rollout goes on after a look at one server.
#[derive(Debug, PartialEq, Eq)]
enum Progress {
    GoesOn,
    Stops,
}

/// What is due with one server whose turn it is.
fn step_server(
    context: &Context<'_>,
    permits: &mut PermitController,
    release: &Rollout,
    name: &Name,
    out: &mut RolloutStep,
) -> Progress {
    let Some(server) = release.servers.get(name) else { return Progress::GoesOn };
    let (now, plan) = (context.now, &release.plan);
    let forward = release.state == RolloutState::Running;
    let wanted = if forward { &plan.version } else { &server.before };
    let heard = context.servers.get_fresh(now, name);
    let has_wanted = heard.is_some_and(|heard| heard.report.version(plan.kind) == wanted);
    if has_wanted && context.servers.is_stable(now, name, plan.steady()) {
        out.server_stepped(
            release.number,
            name,
            if forward { ServerProgress::Updated } else { ServerProgress::RolledBack },
        );
        return Progress::GoesOn;
    }
    let permit = context.record.permit_of(&Target::Server(Arc::clone(name)));
    let permit = permit.filter(|(_, permit)| permit.purpose == Purpose::Release(release.number));
    let Some((epoch, permit)) = permit else {
        reserve(context, release, name, heard, out);
        return Progress::GoesOn;
    };
    let Some(observed) = permits.get_mut(epoch) else { return Progress::GoesOn };
    let incarnations = observed.incarnations.len();
    if let Some(why) = failure(context, release, permit, observed.since, incarnations, heard) {
        if others_are_gone(context, name) {
            // More is lost than it: that is no fault of the version, whose time counts from when they are back.
            observed.restart(now);
            return Progress::GoesOn;
        }
        let text = format!("{name}: {why}");
        let step = if forward { ServerProgress::Failed(why) } else { ServerProgress::RollbackFailed(why) };
        out.server_stepped(release.number, name, step);
        out.stop(release, text);
        return Progress::Stops;
    }
    let is_due = observed.turn_sent_at.is_none_or(|at| now >= time_after(at, TURN_INTERVAL));
    if is_due && heard.is_some() && !has_wanted {
        observed.turn_sent_at = Some(now);
        let turn =
            StepAssignment { release: release.number, epoch, kind: plan.kind, version: wanted.clone() };
        out.effects.push(ControllerEffect::Turn { to: Arc::clone(name), turn });
    }
    Progress::GoesOn
}

/// Reserves a permit for a server whose turn it is. Who isn't there can't be told; who is there and doesn't fit waits.
fn reserve(
    context: &Context<'_>,
    release: &Rollout,
    name: &Name,
    heard: Option<&HeardServer>,
    out: &mut RolloutStep,
) {
    let Some(heard) = heard else { return };
    let target = Target::Server(Arc::clone(name));
    if context.fits(&target).is_err() {
        return;
    }
    let command = Command::Reserve {
        target,
        holder: Arc::clone(name),
        life: heard.incarnation,
        purpose: Purpose::Release(release.number),
    };
    out.commands.push(KeyedCommand { key: format!("reserve {name}"), command });
}

/// Why a server's step failed, if it did: by its own word, by a process that ends again and again, or by time.
fn failure(
    context: &Context<'_>,
    release: &Rollout,
    permit: &Permit,
    since: Time,
    incarnations: usize,
    heard: Option<&HeardServer>,
) -> Option<String> {
    let reported = heard.and_then(|heard| heard.report.failed.as_ref());
    if let Some((_, why)) = reported.filter(|(of, _)| *of == release.number) {
        // In the record as in the acts: a reason of any length would be an entry that no message can carry.
        return Some(why[..why.floor_char_boundary(MAX_TEXT_BYTES)].to_string());
    }
    if permit.stage != PermitStage::Begun {
        return None;
    }
    if incarnations > MAX_INCARNATIONS {
        return Some("its process ends again and again".into());
    }
    let is_late = context.now >= time_after(since, release.plan.ready());
    is_late.then(|| format!("not ready within {} ms", release.plan.ready_ms))
}

/// Whether more is gone than one server, which nobody agreed on: all of its zone, or several of the fleet. It may have lost
/// its power, or be cut off, with them.
fn others_are_gone(context: &Context<'_>, name: &Name) -> bool {
    let record = context.record;
    let Some(zone) = record.roster.get(name).map(|member| &member.zone) else { return false };
    let (planned, unplanned) = (record.out_by_permit(), context.unplanned());
    let others = record.roster.iter().filter(|(other, _)| *other != name && !planned.contains(*other));
    let (mut zone_there, mut zone_gone, mut all_gone) = (0, 0, 0);
    for (other, member) in others {
        let is_gone = unplanned.contains(other);
        all_gone += usize::from(is_gone);
        if member.zone == *zone {
            zone_there += usize::from(!is_gone);
            zone_gone += usize::from(is_gone);
        }
    }
    let zone_is_gone = zone_there == 0 && zone_gone > 0;
    zone_is_gone || all_gone >= SEVERAL.max(record.roster.len() / SEVERAL_OF_FLEET)
}
