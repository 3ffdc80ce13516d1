//! The cluster state of one server, as owned by its reducer. It takes received datagrams and returns
//! datagrams to send, and answers whether calls, retries and quotas are permitted.
//!
//! This module determines the order in which the components run, the bound on bytes per second and the
//! content of datagrams; every other decision is made by a component. Received datagrams are handled in
//! `receive`, sent ones in `send`, calls to the shared upstream in `upstream`, quotas and the retry budget in
//! `quota`, and the operators' view is in `status`.

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

/// Interval at which rows are gossiped and leases are maintained.
const TICK: Span = Span(100 * MS);
/// Maximum interval between two writes of the own row; a change in the number of whole spare slots is written
/// at the next tick.
const WRITE_INTERVAL: Span = Span(1_000 * MS);
/// Separates these random numbers from those of the membership, which uses the same seed.
const RNG_STREAM: u64 = 0x636c_7573;

/// The severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// An operator may have to act.
    Warning,
}

/// An effect for the shell to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterEffect {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The authenticated datagram.
        datagram: Vec<u8>,
    },
    /// Deliver a message that another server sent with [`Cluster::post`].
    Post {
        /// The name of the sender.
        from: Arc<str>,
        /// The incarnation of the sender.
        incarnation: Incarnation,
        /// The message, opaque to the cluster.
        content: Vec<u8>,
    },
    /// Write a log line.
    Log(Severity, String),
}

/// The cluster state of one server.
pub struct Cluster {
    settings: ClusterSettings,
    started_at: Time,
    members: Members,
    replay_window: ReplayWindow,
    counters: Counters,
    leases: LeaseTable,
    circuit_breaker: CircuitBreaker,
    rng: Pcg64Mcg,
    /// The sequence number of the last datagram sent.
    number: u64,
    next_tick: Time,
    next_lease_step: Time,
    next_write: Time,
    /// The spare amount in the own row, in thousandths of a slot.
    published_spare: u32,
    budget: SendBudget,
    /// When each server was last notified of a greater incarnation; only recent entries are kept.
    notified: BTreeMap<Arc<str>, Time>,
    reassembly: Reassembly,
    /// The message number of the last post.
    posts: u32,
    effects: Vec<ClusterEffect>,
    status: ClusterStatus,
}

impl Cluster {
    /// The state of a server that starts now.
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

    /// Replaces the authentication keys after a reload.
    pub fn set_keys(&mut self, keys: AuthenticationKeys) {
        self.settings.keys = keys;
    }

    /// Sets the size of the fleet and the own share, in slots, after a reload. No share: slots aren't lent.
    pub fn reconfigure(&mut self, servers: usize, share: Option<f64>) {
        self.settings.servers = servers;
        self.settings.share = share;
        self.leases.set_share(share.unwrap_or(0.0));
    }

    /// Runs all tasks that are due, and appends their effects.
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
        for line in self.circuit_breaker.take_log_lines() {
            self.effects.push(ClusterEffect::Log(Severity::Info, line));
        }
        effects.append(&mut self.effects);
    }

    fn membership_changed(&mut self, now: Time, change: MembershipChange) {
        let (severity, text) = match change {
            MembershipChange::Up(peer) => {
                (Severity::Info, format!("server {} is up, in zone '{}'", peer.name, peer.zone))
            }
            MembershipChange::Down(peer) => (Severity::Warning, format!("server {} is down", peer.name)),
            MembershipChange::Rejoined(incarnation) => {
                let text = format!(
                    "other servers considered this one dead; it rejoins as incarnation {:x}",
                    incarnation.0
                );
                (Severity::Warning, text)
            }
            MembershipChange::Paused(paused) => {
                let seconds = span_seconds(paused);
                let text = format!(
                    "this process did not run for {seconds:.1} s; its failure detector skips that time"
                );
                (Severity::Warning, text)
            }
        };
        self.effects.push(ClusterEffect::Log(severity, text));
        // The own row holds the own incarnation, which may have changed.
        self.next_write = self.next_write.min(now);
    }

    fn tick(&mut self, now: Time) {
        self.next_tick = time_after(now, TICK);
        self.counters.drop_expired(now);
        self.write_own_row(now);
        let random = self.random();
        let others = self.peer_observations(now);
        self.circuit_breaker.update_peer_observations(now, others, random);
        self.gossip(now);
    }

    /// Writes this server's row when it is due, or when the number of whole spare slots has changed.
    fn write_own_row(&mut self, now: Time) {
        let spare = if self.settings.share.is_some() { self.leases.spare(now) } else { 0 };
        let has_changed = spare / SLOT != self.published_spare / SLOT;
        if now < self.next_write && !has_changed {
            return;
        }
        let own = self.members.own().clone();
        let observation = self.circuit_breaker.observation(now);
        self.counters.write(now, own.incarnation, &own.zone, spare, observation);
        self.next_write = time_after(now, WRITE_INTERVAL);
        self.published_spare = spare;
    }

    /// A uniform random number from 0 to below 1.
    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// When [`Cluster::step`] must run next if nothing is received before.
    pub fn wake_at(&self, now: Time) -> Time {
        self.members.wake_at(now).min(self.next_tick).min(self.next_lease_step)
    }

    /// Announces to the other members that this server leaves the cluster.
    pub fn leave(&mut self, now: Time) {
        self.members.leave(now);
    }

    /// The membership of the fleet as seen by this server.
    pub fn members(&self) -> &Members {
        &self.members
    }
}
