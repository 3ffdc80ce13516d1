//! Messages between the supervising process and its host processes, as JSON: a plan in a file, one order per line on the
//! standard input of the host, and one report per line on its standard output. A host ends with its input.

use super::cut::Cut;
use super::layout::{Place, Region};
use super::spend::Spend;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A server of the fleet as known to hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Neighbour {
    /// Gossip address, which it also sends from.
    pub address: SocketAddr,
    /// Region of the server.
    pub region: Region,
    /// Whether the server is a real daemon.
    pub real: bool,
}

/// Plan of a host process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostPlan {
    /// Configuration file of a real daemon, whose settings and limits hollow servers use.
    pub config: PathBuf,
    /// Settings file of that daemon, with keys and seeds of the fleet. `None` runs hollow servers without a cluster, to measure
    /// the cost of requests alone.
    pub settings: Option<PathBuf>,
    /// Hollow servers of this host.
    pub places: Vec<Place>,
    /// All servers of the fleet, including those of this host.
    pub fleet: Vec<Neighbour>,
    /// Requests per second and server.
    pub rate: f64,
    /// Mean time of a run, in ms.
    pub run_ms: f64,
    /// Random seed.
    pub seed: u64,
    /// Interval between status polls of each server, in ms.
    pub look_ms: u64,
    /// Extra cost of the first server of this host, if any.
    pub spend: Spend,
}

/// Order of the supervising process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Replace the partition between regions.
    Cut(Cut),
    /// Report now, with this number.
    Report(u32),
}

/// Counters of a server since its start, and its current membership.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerFigures {
    /// Other servers considered alive.
    pub up: u64,
    /// Servers with recent enough counts, including itself.
    pub heard: u64,
    /// Datagrams sent, including those dropped by a partition.
    pub sent: u64,
    /// Bytes sent, including dropped ones.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub taken: u64,
    /// Datagrams dropped for a counted reason.
    pub dropped: u64,
    /// Datagrams not sent because of the limit on bytes.
    pub withheld: u64,
    /// CPU time in nanoseconds.
    pub cpu_ns: u64,
    /// Requests that arrived.
    pub asked: u64,
    /// Requests that were served.
    pub served: u64,
    /// Time since which the membership has been complete, in Unix ms; `None` while it isn't.
    pub whole_since_ms: Option<u64>,
}

/// Datagrams of one kind that hollow servers received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindFigures {
    /// Message kind.
    pub kind: String,
    /// Whether real daemons sent them.
    pub from_real: bool,
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size in bytes.
    pub bytes: u64,
}

/// Delays of a host behind its due times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// Median, in ms.
    pub p50_ms: f64,
    /// 99th percentile, in ms.
    pub p99_ms: f64,
    /// Maximum, in ms.
    pub most_ms: f64,
}

/// Report of a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Number of the order; `None` for periodic reports.
    pub number: Option<u32>,
    /// Time of the report, in Unix ms.
    pub at_ms: u64,
    /// CPU time of the process so far in nanoseconds, without polls and reports.
    pub cpu_ns: u64,
    /// CPU time of polls and reports so far, in nanoseconds.
    pub beside_ns: u64,
    /// Delays since the previous numbered report.
    pub late: Lateness,
    /// Datagrams dropped by a partition.
    pub cut: u64,
    /// Figures of the servers, in the order of the plan.
    pub servers: Vec<ServerFigures>,
    /// Received datagrams by kind.
    pub kinds: Vec<KindFigures>,
}
