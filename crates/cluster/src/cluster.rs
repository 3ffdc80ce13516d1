//! The cluster as the reducer of one server holds it: datagrams in, datagrams out, and what the server may do.
//!
//! Owns the order in which its components run, the bound on bytes per second and the content of datagrams; every decision
//! is made by a component. Received datagrams are handled in `receive`, sent ones in `send`, calls to the shared upstream in
//! `upstream`, quotas and the retry budget in `quota`, the operators' view in `status`.

mod envelope;
mod message;
mod quota;
mod receive;
mod send;
mod settings;
mod status;
mod upstream;

pub use envelope::Envelope;
pub use message::MessageKind;
pub use settings::ClusterSettings;
pub use status::{ClusterStatus, FleetView, MemberView};
pub use upstream::CallDecision;

use crate::MS;
use crate::authentication::AuthenticationKeys;
use crate::circuit_breaker::CircuitBreaker;
use crate::counters::Counters;
use crate::fragments::Reassembly;
use crate::leases::{LeaseTable, SLOT};
use crate::members::{Members, MembershipChange};
use crate::peer::Incarnation;
use crate::replay_window::ReplayWindow;
use gradepin_admission::{Span, Time, span_seconds, time_after};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use send::SendBudget;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval at which rows are gossiped and leases maintained.
const TICK: Span = Span(100 * MS);
/// Maximum interval between two writes of the own row; a change of the spare slots is written at once.
const WRITE_INTERVAL: Span = Span(1_000 * MS);
/// Separates these random numbers from those of the membership, which has the same seed.
const RNG_STREAM: u64 = 0x636c_7573;

/// The severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// An operator may have to act.
    Warning,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterEffect {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes.
        datagram: Vec<u8>,
    },
    /// Another server posted something that isn't the cluster's own.
    Post {
        /// The sender.
        from: Arc<str>,
        /// Its incarnation.
        incarnation: Incarnation,
        /// What was posted.
        content: Vec<u8>,
    },
    /// Write a line into the log.
    Log(Severity, String),
}

/// One server's part of the fleet.
pub struct Cluster {
    settings: ClusterSettings,
    started_at: Time,
    members: Members,
    replay_window: ReplayWindow,
    counters: Counters,
    leases: LeaseTable,
    circuit_breaker: CircuitBreaker,
    rng: Pcg64Mcg,
    /// The number of the last datagram sent.
    number: u64,
    next_tick: Time,
    next_lease_step: Time,
    next_write: Time,
    /// The spare slots in the own row, in thousandths.
    published_spare: u32,
    budget: SendBudget,
    /// When each server was last sent a notice that it knows an outdated incarnation.
    notified: BTreeMap<Arc<str>, Time>,
    reassembly: Reassembly,
    /// The number of the last post.
    posts: u32,
    effects: Vec<ClusterEffect>,
    status: ClusterStatus,
}

impl Cluster {
    /// A server that starts.
    pub fn new(settings: ClusterSettings, now: Time) -> Self {
        let (own, seeds) = (settings.own.clone(), settings.seeds.clone());
        let name = Arc::clone(&own.name);
        let share = settings.share.unwrap_or(0.0);
        Self {
            started_at: now,
            members: Members::new(own, seeds, &settings.failure_detection, settings.seed, now),
            replay_window: ReplayWindow::default(),
            counters: Counters::new(name),
            leases: LeaseTable::new(settings.leases.clone(), share, now),
            circuit_breaker: CircuitBreaker::new(settings.probes_per_second, settings.servers),
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ RNG_STREAM),
            number: 0,
            next_tick: now,
            next_lease_step: now,
            next_write: now,
            published_spare: 0,
            budget: SendBudget::new(settings.max_bytes_per_second, now),
            notified: BTreeMap::new(),
            reassembly: Reassembly::default(),
            posts: 0,
            effects: Vec::new(),
            status: ClusterStatus::default(),
            settings,
        }
    }

    /// New keys, read at a reload.
    pub fn set_keys(&mut self, keys: AuthenticationKeys) {
        self.settings.keys = keys;
    }

    /// A new size of the fleet and a new share, after a reload.
    pub fn reconfigure(&mut self, servers: usize, share: Option<f64>) {
        self.settings.servers = servers;
        self.settings.share = share;
        self.leases.set_share(share.unwrap_or(0.0));
    }

    /// Does what is due, and appends what is to be done.
    pub fn step(&mut self, now: Time, effects: &mut Vec<ClusterEffect>) {
        if self.members.wake_at(now) <= now || now >= self.next_tick {
            self.members.step(now);
        }
        for change in self.members.changes() {
            self.membership_changed(now, change);
        }
        if now >= self.next_tick {
            self.tick(now);
        }
        if now >= self.next_lease_step {
            self.step_leases(now);
        }
        for (peer, data) in self.members.sends() {
            self.send(now, &peer, MessageKind::Membership, &data);
        }
        for note in self.circuit_breaker.take_notes() {
            self.effects.push(ClusterEffect::Log(Severity::Info, note));
        }
        effects.append(&mut self.effects);
    }

    fn membership_changed(&mut self, now: Time, change: MembershipChange) {
        let (severity, text) = match change {
            MembershipChange::Up(peer) => {
                (Severity::Info, format!("{} is up, in zone '{}'", peer.name, peer.zone))
            }
            MembershipChange::Down(peer) => (Severity::Warning, format!("{} is believed dead", peer.name)),
            MembershipChange::Rejoined(incarnation) => {
                let text = format!("believed dead by others; back as incarnation {:x}", incarnation.0);
                (Severity::Warning, text)
            }
            MembershipChange::Paused(paused) => {
                let seconds = span_seconds(paused);
                let text =
                    format!("this process did not run for {seconds:.1} s; it doubts itself before others");
                (Severity::Warning, text)
            }
        };
        self.effects.push(ClusterEffect::Log(severity, text));
        // The own incarnation may have changed, and the own row with it.
        self.next_write = self.next_write.min(now);
    }

    fn tick(&mut self, now: Time) {
        self.next_tick = time_after(now, TICK);
        self.counters.forget(now);
        self.write_own_row(now);
        let random = self.random();
        let others = self.peer_observations(now);
        self.circuit_breaker.observed_by_others(now, others, random);
        self.gossip(now);
    }

    /// Writes this server's row when it is due, or when the number of complete spare slots has changed.
    fn write_own_row(&mut self, now: Time) {
        let spare = if self.settings.share.is_some() { self.leases.spare(now) } else { 0 };
        let has_moved = spare / SLOT != self.published_spare / SLOT;
        if now < self.next_write && !has_moved {
            return;
        }
        let own = self.members.own().clone();
        let observation = self.circuit_breaker.observation(now);
        self.counters.write(now, own.incarnation, &own.zone, spare, observation);
        self.next_write = time_after(now, WRITE_INTERVAL);
        self.published_spare = spare;
    }

    /// Evenly from 0 to 1.
    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// When [`Cluster::step`] must be called again though nothing came.
    pub fn wake_at(&self, now: Time) -> Time {
        self.members.wake_at(now).min(self.next_tick).min(self.next_lease_step)
    }

    /// Announces to the other members that this server leaves the cluster.
    pub fn leave(&mut self, now: Time) {
        self.members.leave(now);
    }

    /// The members.
    pub fn members(&self) -> &Members {
        &self.members
    }
}
