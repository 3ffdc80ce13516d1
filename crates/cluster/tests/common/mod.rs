//! Two servers that exchange datagrams in virtual time.
#![allow(dead_code)]

use gradepin_admission::{Span, Time, time_after};
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_cluster::cluster::{Cluster, ClusterEffect, ClusterSettings, Envelope};
use gradepin_cluster::leases::LeaseSettings;
use gradepin_cluster::members::FailureDetection;
use gradepin_cluster::peer::{Incarnation, Peer};
use std::net::SocketAddr;
use std::sync::Arc;

pub const MS: u64 = 1_000_000;

/// One of two servers, with an own share of 4 slots and a retry budget.
pub fn cluster(n: u16, incarnation: u64, now: Time) -> Cluster {
    cluster_with(n, incarnation, now, |_| ())
}

/// The same, with settings changed by `change`.
pub fn cluster_with(
    n: u16,
    incarnation: u64,
    now: Time,
    change: impl FnOnce(&mut ClusterSettings),
) -> Cluster {
    let address = SocketAddr::from(([127, 0, 0, 1], n));
    let own = Peer {
        name: Arc::from(format!("n{n}")),
        incarnation: Incarnation(incarnation),
        address,
        zone: Arc::from("z"),
    };
    let mut settings = ClusterSettings {
        own,
        seeds: vec![SocketAddr::from(([127, 0, 0, 1], 1))],
        keys: AuthenticationKeys::of([3; 32]),
        failure_detection: FailureDetection::default(),
        max_bytes_per_second: 32_000,
        servers: 2,
        share: Some(4.0),
        leases: LeaseSettings::default(),
        probes_per_second: 2.0,
        retry_ratio: Some(0.2),
        seed: u64::from(n),
    };
    change(&mut settings);
    Cluster::new(settings, now)
}

/// Two servers, and the datagrams that they exchanged.
pub struct TwoServers {
    pub servers: [Cluster; 2],
    pub now: Time,
    /// All delivered datagrams, each with the index of the receiver.
    pub delivered: Vec<(usize, Vec<u8>)>,
    /// Whether all datagrams are lost.
    pub is_cut: bool,
}

impl TwoServers {
    pub fn new() -> Self {
        let now = Time(1_000 * MS);
        Self {
            servers: [cluster(1, 10, now), cluster(2, 20, now)],
            now,
            delivered: Vec::new(),
            is_cut: false,
        }
    }

    /// Runs for this time in steps of 10 ms.
    pub fn run(&mut self, ms: u64) {
        let keys = AuthenticationKeys::of([3; 32]);
        for _ in 0..ms / 10 {
            self.now = time_after(self.now, Span(10 * MS));
            for n in 0..2 {
                let mut effects = Vec::new();
                self.servers[n].step(self.now, &mut effects);
                for effect in effects {
                    if let ClusterEffect::Send { datagram, .. } = effect
                        && !self.is_cut
                    {
                        let envelope =
                            Envelope::open(&keys, &datagram).expect("a sent datagram has a valid tag");
                        self.servers[1 - n].receive(self.now, &envelope);
                        self.delivered.push((1 - n, datagram));
                    }
                }
            }
        }
    }
}
