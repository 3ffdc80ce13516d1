//! What the supervisor and a host process tell each other: a plan in a file, orders a line each on the host's standard
//! input, reports a line each on its standard output. The end of the input is the end of the host.

use super::cut::Cut;
use super::layout::{Place, Region};
use super::spend::Spend;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Another server as a host has to know it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Neighbour {
    /// Where it takes and sends datagrams.
    pub address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Whether it is a real daemon.
    pub real: bool,
}

/// What a host process is to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostPlan {
    /// The configuration of a real daemon of the fleet: hollow servers take its settings and limits.
    pub config: PathBuf,
    /// Its own settings, with the fleet's keys and seeds. None: hollow servers by themselves, to know what requests cost.
    pub settings: Option<PathBuf>,
    /// The servers that it hosts.
    pub places: Vec<Place>,
    /// All servers of the fleet, these among them.
    pub fleet: Vec<Neighbour>,
    /// Requests a second of each server.
    pub rate: f64,
    /// What a run takes in the mean, in ms.
    pub run_ms: f64,
    /// For all that is drawn.
    pub seed: u64,
    /// Between looks at what each server knows, in ms.
    pub look_ms: u64,
    /// What the first of its servers spends beside its work, if anything.
    pub spend: Spend,
}

/// What the supervisor orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Regions are cut from the others, or no longer.
    Cut(Cut),
    /// Report now, under this number.
    Report(u32),
}

/// What one server did since its start, and what it knows now.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerFigures {
    /// Others that it holds to be up.
    pub up: u64,
    /// Servers whose counts are young enough for it, itself among them.
    pub heard: u64,
    /// Datagrams and bytes that it sent, those that a cut dropped among them.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams taken, and those it dropped for a reason of its own.
    pub taken: u64,
    /// See `taken`.
    pub dropped: u64,
    /// Datagrams not sent for the bound on bytes.
    pub withheld: u64,
    /// CPU that its work took, in nanoseconds.
    pub cpu_ns: u64,
    /// Requests that came, and those that were served.
    pub asked: u64,
    /// See `asked`.
    pub served: u64,
    /// Since when it has known all others, in Unix ms; none while it doesn't.
    pub whole_since_ms: Option<u64>,
}

/// Datagrams of one kind that hollow servers received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindFigures {
    /// What they carry.
    pub kind: String,
    /// Whether real daemons sent them.
    pub from_real: bool,
    /// How many.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// How late a host did what was due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// At the 50th percentile, in ms.
    pub p50_ms: f64,
    /// At the 99th.
    pub p99_ms: f64,
    /// At the most.
    pub most_ms: f64,
}

/// What a host tells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The order's number; none for those that come by themselves.
    pub number: Option<u32>,
    /// When, in Unix ms.
    pub at_ms: u64,
    /// CPU of the whole process so far, in nanoseconds, without what looks and reports took.
    pub cpu_ns: u64,
    /// What those took.
    pub beside_ns: u64,
    /// How late it was since the numbered report before.
    pub late: Lateness,
    /// Datagrams that a cut dropped.
    pub cut: u64,
    /// Its servers, in the order of the plan.
    pub servers: Vec<ServerFigures>,
    /// By kind.
    pub kinds: Vec<KindFigures>,
}
