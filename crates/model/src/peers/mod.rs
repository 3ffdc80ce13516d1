//! Simulates the state shared between servers: the real [`gradepin_cluster`] on every server, over simulated datagrams,
//! with clock drift, partitions, stopped and killed processes, and a ledger that counts concurrent calls. There are no
//! client requests and no decision module; a run is a single call.
//!
//!
//! Runs thousands of seeds at fleet sizes that can't be reached with sockets, and compares lending with static shares
//! and with an allocator that has complete information.

mod faults;
mod traffic;
mod world;

pub use faults::{Fault, FaultKind, Faults, draw};
pub use traffic::{Kind, Sent, Traffic};
pub use world::play;

/// How the slots of the ledger are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each server has its own fixed share.
    Static,
    /// Servers lend and borrow slots by leases.
    Lending,
    /// Leases whose expiry is ignored; the bound must be violated.
    Plain,
    /// A single pool in which the longest waiting run gets the next slot; no real system has this information.
    AllKnowing,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Seed of everything drawn.
    pub seed: u64,
    /// Number of servers; server `n` is in zone `n % zones`.
    pub servers: usize,
    /// Number of zones.
    pub zones: usize,
    /// Duration in seconds.
    pub seconds: f64,
    /// Time in seconds from which service is counted; a server lends nothing for some seconds after its start.
    pub count_from_s: f64,
    /// How slots are divided.
    pub sharing: Sharing,
    /// Slots of each server.
    pub share: f64,
    /// Offered load as a fraction of the ledger's capacity.
    pub load: f64,
    /// Load on a server of the first zone as a multiple of the load on the others.
    pub lean: f64,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Fraction of datagrams duplicated.
    pub doubled: f64,
    /// Smallest and largest delay of a datagram in seconds.
    pub delay_s: [f64; 2],
    /// Largest relative deviation of a clock's rate.
    pub drift: f64,
    /// One of this many servers gets a fifth of a core; 0 for none.
    pub starved: usize,
    /// Mean duration of a call in seconds.
    pub call_s: f64,
    /// Additional membership bytes per second sent by each server, to test the measurement of traffic.
    pub stand_in_bytes_s: usize,
    /// Faults injected.
    pub faults: Faults,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            seed: 1,
            servers: 12,
            zones: 3,
            seconds: 30.0,
            count_from_s: 0.0,
            sharing: Sharing::Lending,
            share: 3.0,
            load: 0.85,
            lean: 4.0,
            loss: 0.01,
            doubled: 0.01,
            delay_s: [0.000_2, 0.005],
            drift: 0.01,
            starved: 0,
            call_s: 0.1,
            stand_in_bytes_s: 0,
            faults: Faults::default(),
        }
    }
}

/// A time at which more calls were in progress than the ledger has slots.
#[derive(Debug, Clone, PartialEq)]
pub struct BoundViolation {
    /// Time in seconds.
    pub at_s: f64,
    /// Server that made the excess call.
    pub server: usize,
    /// Number of calls in progress.
    pub calls: usize,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Total number of slots.
    pub bound: usize,
    /// Largest number of concurrent calls.
    pub most: usize,
    /// All violations of the bound.
    pub breaks: Vec<BoundViolation>,
    /// Number of runs that needed a call.
    pub asked: usize,
    /// Number of runs whose call succeeded.
    pub served: usize,
    /// Calls that failed because the server couldn't connect to the ledger.
    pub refused: usize,
    /// For each membership change, seconds until all reachable servers knew it.
    pub known_s: Vec<f64>,
    /// Changes that were not known everywhere at the end.
    pub unknown: usize,
    /// Bytes per second sent by a server, averaged over all servers.
    pub bytes_s: f64,
    /// Largest value of any server.
    pub most_bytes_s: f64,
    /// Datagrams and bytes sent by all servers since `count_from_s`, by kind.
    pub traffic: Traffic,
    /// Times that a healthy server was believed dead, per server and minute.
    pub wrongly_dead: f64,
    /// Longest time in seconds for which a healthy server was believed dead.
    pub longest_wrong_s: f64,
    /// Fraction of the request weight whose tenant was wrongly judged to be within or over its quota.
    pub misjudged: f64,
    /// Mean fraction of the fleet covered by a server's counters.
    pub heard: f64,
}

impl Outcome {
    /// Fraction of the runs whose call succeeded.
    pub fn service(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}
