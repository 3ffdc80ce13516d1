//! What servers share, over modelled datagrams: the real [`gradepin_cluster`] on every server, clocks that drift, cuts,
//! stops, kills and a ledger that counts the calls under way. No requests and no module: a run is one call.
//!
//! It is for seeds by the thousand, at sizes that sockets don't reach, and for what sharing earns beside static shares and
//! beside a divider that knows all.

mod faults;
mod traffic;
mod world;

pub use faults::{Fault, FaultKind, Faults, draw};
pub use traffic::{Kind, Sent, Traffic};
pub use world::play;

/// How slots of the ledger are shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each server its own share, and no word between them.
    Static,
    /// Leases, as they are.
    Lending,
    /// Leases without their rules of time: it must break the bound.
    Plain,
    /// One pool, and whoever waits longest gets the next slot: nobody can have that.
    AllKnowing,
}

/// A day of the peers.
#[derive(Debug, Clone)]
pub struct Spec {
    /// For everything that is drawn.
    pub seed: u64,
    /// Servers, in so many zones.
    pub servers: usize,
    /// See `servers`.
    pub zones: usize,
    /// How long it lasts.
    pub seconds: f64,
    /// From when on service is counted: a server that starts lends nothing for some seconds.
    pub count_from_s: f64,
    /// How slots are shared.
    pub sharing: Sharing,
    /// Slots of each server.
    pub share: f64,
    /// The part of the ledger's capacity that is asked for.
    pub load: f64,
    /// How much more each server of the first zone is asked than one of another.
    pub lean: f64,
    /// The part of datagrams that is lost, and that comes twice.
    pub loss: f64,
    /// See `loss`.
    pub doubled: f64,
    /// The least and the most that a datagram takes, in seconds.
    pub delay_s: [f64; 2],
    /// Clocks run so much too fast or too slow at the most.
    pub drift: f64,
    /// One of so many servers has a fifth of a core; none at 0.
    pub starved: usize,
    /// The mean of what a call takes in seconds.
    pub call_s: f64,
    /// A stand-in that costs more: each server sends so many more bytes a second, as membership. For trying a measurement out.
    pub stand_in_bytes_s: usize,
    /// What happens.
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

/// A moment at which more calls were under way than the ledger has slots.
#[derive(Debug, Clone, PartialEq)]
pub struct Break {
    /// When, in seconds.
    pub at_s: f64,
    /// The server whose call was one too many.
    pub server: usize,
    /// Calls under way then.
    pub calls: usize,
}

/// What a day came to.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Slots in all.
    pub bound: usize,
    /// The most calls that were under way.
    pub most: usize,
    /// Each time that the bound was passed.
    pub breaks: Vec<Break>,
    /// Runs that wanted a call, and those whose call went well.
    pub asked: usize,
    /// See `asked`.
    pub served: usize,
    /// Calls that were refused by a ledger that is dead for their server.
    pub refused: usize,
    /// For each change, the time in seconds until all that could know did.
    pub known_s: Vec<f64>,
    /// Changes that not all knew at the end.
    pub unknown: usize,
    /// Bytes a second that a server sent, the mean and the most of all.
    pub bytes_s: f64,
    /// See `bytes_s`.
    pub most_bytes_s: f64,
    /// What all servers sent, by kind, from `count_from_s` on.
    pub traffic: Traffic,
    /// Times that a server that was there all along was believed dead, for each server and minute.
    pub wrongly_dead: f64,
    /// The longest time in seconds that one was.
    pub longest_wrong_s: f64,
    /// The part of the requests' weight whose office was misjudged as within or beyond its share.
    pub misjudged: f64,
    /// The mean part of the fleet that a server's counts were of.
    pub heard: f64,
}

impl Outcome {
    /// The part of the runs whose call went well.
    pub fn service(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}
