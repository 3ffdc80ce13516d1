//! The real daemons of a fleet: started as the kit's fleets are, under the same load as a hollow server has, and asked at
//! their admin endpoints for the same figures.

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

/// Classes have the brief's own times.
const SCALE: u64 = 4;
/// Slots of the shared dependency of each, which no run asks for.
const SHARE: f64 = 4.0;

/// What the daemons are like.
#[derive(Debug, Clone)]
pub struct DaemonsSpec {
    /// The program.
    pub daemon: PathBuf,
    /// How many.
    pub servers: usize,
    /// Whether they talk to each other.
    pub talks: bool,
    /// Requests a second of each.
    pub rate: f64,
    /// What a run takes in the mean.
    pub run: Duration,
    /// For what is drawn.
    pub seed: u64,
    /// Zones of the fleet.
    pub shape: Shape,
}

/// Running daemons; none is left when this is dropped.
pub struct Daemons {
    fleet: Fleet,
    listen: Vec<SocketAddr>,
    folder: PathBuf,
    others: u64,
    /// Since when each has known all others.
    whole_since_ms: Vec<Option<u64>>,
    /// The proxies that ask them, until this is dropped.
    proxies: Vec<Proxy>,
}

impl Daemons {
    /// Starts them, with a proxy for each, and waits until they serve. `others` is how many each is to know.
    pub fn start(spec: &DaemonsSpec, folder: &Path, others: usize) -> io::Result<Self> {
        let listen: Vec<SocketAddr> = (0..spec.servers).map(|_| fleet::peer_address()).collect();
        let zone = |n: usize| spec.shape.zone_name(n % spec.shape.zones_of_first());
        let peers = PeersSpec {
            listen: listen.clone(),
            advertise: listen.clone(),
            zones: (0..spec.servers).map(zone).collect(),
            ledgers: vec![SocketAddr::from(([127, 0, 0, 1], 9)); spec.servers],
            share: SHARE,
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
            scale: SCALE,
            callers: 1,
            peers: spec.talks.then_some(peers),
            folder: folder.into(),
            ..FleetSpec::default()
        })?;
        let proxy = |(n, node): (usize, &fleet::Node)| {
            let list = StaticServers { all: vec![node.address], turn: 0 };
            let habit = ProxyBehavior::thrift(spec.rate, 1, true);
            Proxy::start(n as u64 + 1, spec.seed + n as u64, habit, Box::new(list))
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

    /// The files that hollow servers take their settings from: the configuration and the own settings of the first.
    pub fn files(&self) -> (PathBuf, PathBuf) {
        (self.folder.join("n0.json"), self.folder.join("n0.kdl"))
    }

    /// The daemons as others of the fleet have to know them.
    pub fn neighbours(&self) -> Vec<Neighbour> {
        let one = |address: &SocketAddr| Neighbour { address: *address, region: Region(0), real: true };
        self.listen.iter().map(one).collect()
    }

    /// The ids of their processes.
    pub fn pids(&self) -> Vec<u32> {
        self.fleet.nodes.iter().filter_map(fleet::Node::pid).collect()
    }

    /// The resident memory of each, in bytes.
    pub fn memory(&self) -> Vec<u64> {
        self.fleet.nodes.iter().filter_map(fleet::Node::memory).collect()
    }

    /// What each did so far and knows now; one that doesn't answer in time has no figures.
    pub fn figures(&mut self) -> Vec<Option<ServerFigures>> {
        let now = unix_ms();
        let mut all = Vec::new();
        for (n, node) in self.fleet.nodes.iter().enumerate() {
            let figures = ask_text(node.admin(), "/stats").map(|text| ServerFigures {
                cpu_ns: node.pid().and_then(cpu_ns_of).unwrap_or_default(),
                ..parse(&text)
            });
            let whole = figures.as_ref().is_some_and(|figures| figures.up >= self.others);
            let since = &mut self.whole_since_ms[n];
            *since = whole.then(|| since.unwrap_or(now));
            let since = *since;
            all.push(figures.map(|figures| ServerFigures { whole_since_ms: since, ..figures }));
        }
        all
    }

    /// What can be known of daemons that don't talk, and have no admin endpoint: the CPU of each so far.
    pub fn figures_alone(&self) -> Vec<Option<ServerFigures>> {
        let one =
            |pid| ServerFigures { cpu_ns: cpu_ns_of(pid).unwrap_or_default(), ..ServerFigures::default() };
        self.pids().into_iter().map(|pid| Some(one(pid))).collect()
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        // Before the daemons end: a proxy goes on until it is told to stop.
        for proxy in self.proxies.drain(..) {
            proxy.stop();
        }
    }
}

/// Takes the figures out of a scrape.
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
