//! Real daemons of a fleet, started as in other fleets of the test kit, under the same load as hollow servers. Their figures
//! come from their admin endpoints.

use super::layout::{Region, Shape};
use super::messages::{Neighbour, ServerFigures};
use super::resources::cpu_ns_of;
use crate::fleet::{self, Fleet, FleetSpec, PeersSpec};
use crate::harness::play::ask_text;
use crate::load::{Proxy, ProxyBehavior, StaticServers};
use crate::processor::Spec;
use crate::registry::server::unix_ms;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Factor on the times of the classes; 4 gives the full times.
const CLASS_TIME_SCALE: u64 = 4;
/// Ledger slots of each server, which no run uses.
const LEDGER_SLOTS: f64 = 4.0;

/// Parameters of the daemons.
#[derive(Debug, Clone)]
pub struct DaemonsSpec {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Number of daemons.
    pub servers: usize,
    /// Whether the daemons form a cluster.
    pub connected: bool,
    /// Requests per second and daemon.
    pub rate: f64,
    /// Mean time of a run.
    pub run: Duration,
    /// Random seed.
    pub seed: u64,
    /// Zones and regions of the fleet.
    pub shape: Shape,
}

/// Running daemons; they are killed when dropped.
pub struct Daemons {
    fleet: Fleet,
    listen: Vec<SocketAddr>,
    folder: PathBuf,
    others: u64,
    /// Time since which the membership of each has been complete, in Unix ms.
    whole_since_ms: Vec<Option<u64>>,
    /// Client proxies, one per daemon.
    proxies: Vec<Proxy>,
}

impl Daemons {
    /// Starts the daemons with a proxy each and waits until they are ready. `others` is the size of a complete membership.
    pub fn start(spec: &DaemonsSpec, folder: &Path, others: usize) -> io::Result<Self> {
        let listen: Vec<SocketAddr> = (0..spec.servers).map(|_| fleet::peer_address()).collect();
        let zone = |n: usize| spec.shape.zone_name(n % spec.shape.zones_of_first());
        let peers = PeersSpec {
            listen: listen.clone(),
            advertise: listen.clone(),
            zones: (0..spec.servers).map(zone).collect(),
            ledgers: vec![SocketAddr::from(([127, 0, 0, 1], 9)); spec.servers],
            share: LEDGER_SLOTS,
            lends: true,
            plain: false,
        };
        let processor = Spec {
            cores: 16,
            classes: vec![("sheet-view".into(), spec.run)],
            seed: spec.seed,
            ..Spec::default()
        };
        let fleet = Fleet::start(&FleetSpec {
            daemon: spec.daemon.clone(),
            servers: spec.servers,
            processor,
            scale: CLASS_TIME_SCALE,
            callers: 1,
            peers: spec.connected.then_some(peers),
            folder: folder.into(),
            ..FleetSpec::default()
        })?;
        let proxy = |(n, node): (usize, &fleet::Node)| {
            let list = StaticServers { all: vec![node.address], turn: 0 };
            let behavior = ProxyBehavior::thrift(spec.rate, 1, true);
            Proxy::start(n as u64 + 1, spec.seed + n as u64, behavior, Box::new(list))
        };
        let proxies = if spec.rate > 0.0 {
            fleet.nodes.iter().enumerate().map(proxy).collect::<io::Result<Vec<Proxy>>>()?
        } else {
            Vec::new()
        };
        let whole_since_ms = vec![None; spec.servers];
        let others = others as u64;
        Ok(Self { fleet, listen, folder: folder.into(), others, whole_since_ms, proxies })
    }

    /// Configuration and settings files of the first daemon, which hollow servers use.
    pub fn files(&self) -> (PathBuf, PathBuf) {
        (self.folder.join("n0.json"), self.folder.join("n0.kdl"))
    }

    /// The daemons as known to the hosts.
    pub fn neighbours(&self) -> Vec<Neighbour> {
        let one = |address: &SocketAddr| Neighbour { address: *address, region: Region(0), real: true };
        self.listen.iter().map(one).collect()
    }

    /// Process IDs.
    pub fn pids(&self) -> Vec<u32> {
        self.fleet.nodes.iter().filter_map(fleet::Node::pid).collect()
    }

    /// Resident memory of each daemon, in bytes.
    pub fn memory(&self) -> Vec<u64> {
        self.fleet.nodes.iter().filter_map(fleet::Node::memory).collect()
    }

    /// Current figures of each daemon; `None` for one that doesn't answer in time.
    pub fn figures(&mut self) -> Vec<Option<ServerFigures>> {
        let now = unix_ms();
        let mut all = Vec::new();
        for (n, node) in self.fleet.nodes.iter().enumerate() {
            let figures = ask_text(node.admin(), "/stats").map(|text| ServerFigures {
                cpu_ns: node.pid().and_then(cpu_ns_of).unwrap_or_default(),
                ..parse(&text)
            });
            let complete = figures.as_ref().is_some_and(|figures| figures.up >= self.others);
            let since = &mut self.whole_since_ms[n];
            *since = complete.then(|| since.unwrap_or(now));
            let since = *since;
            all.push(figures.map(|figures| ServerFigures { whole_since_ms: since, ..figures }));
        }
        all
    }

    /// Figures of unconnected daemons, which have no admin endpoint: only the CPU time so far.
    pub fn figures_alone(&self) -> Vec<Option<ServerFigures>> {
        let one =
            |pid| ServerFigures { cpu_ns: cpu_ns_of(pid).unwrap_or_default(), ..ServerFigures::default() };
        self.pids().into_iter().map(|pid| Some(one(pid))).collect()
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        // Proxies must stop before the daemons end.
        for proxy in self.proxies.drain(..) {
            proxy.stop();
        }
    }
}

/// Extracts the figures from a metrics page.
fn parse(text: &str) -> ServerFigures {
    let sum = |name: &str, label: &str| -> u64 {
        let value = |line: &str| {
            let (head, value) = line.rsplit_once(' ')?;
            let found = head.starts_with(name) && head.contains(label);
            found.then(|| value.parse::<f64>().ok()).flatten()
        };
        text.lines().filter_map(value).sum::<f64>() as u64
    };
    ServerFigures {
        up: sum("server_fleet_members", "\"up\""),
        heard: sum("server_fleet_heard", ""),
        sent: sum("server_fleet_datagrams_total", "\"sent\""),
        sent_bytes: sum("server_fleet_sent_bytes_total", ""),
        taken: sum("server_fleet_datagrams_total", "\"taken\""),
        dropped: sum("server_fleet_dropped_total", ""),
        withheld: sum("server_fleet_datagrams_total", "\"withheld\""),
        cpu_ns: 0,
        asked: sum("server_operations_total", ""),
        served: sum("server_operations_total", "\"fulfilled\""),
        whole_since_ms: None,
    }
}

#[cfg(test)]
mod tests;
