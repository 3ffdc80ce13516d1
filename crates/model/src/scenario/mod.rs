//! A day: everything of it that is drawn before it begins. [`Ranges`] says what days there are; a seed draws one.

mod ranges;

pub use ranges::{Ranges, SettingError};

use crate::service_report::{Class, Ms, Tenant, Terms};
use serde::{Deserialize, Serialize};

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// What counts of it.
    pub class: Class,
    /// Its part of the traffic.
    pub share: f64,
    /// Mean work of a request on a core of speed 1, reading included, in milliseconds, and its coefficient of variation
    /// (lognormal).
    pub work_ms: f64,
    /// See `work_ms`.
    pub cv: f64,
    /// Memory as a multiple of the day's.
    pub memory: f64,
}

/// An office.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TenantSpec {
    /// Its name and its share.
    #[serde(rename = "office")]
    pub tenant: Tenant,
    /// Its part of the traffic, which may be more.
    pub traffic: f64,
}

/// A machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Cores.
    pub cores: u32,
    /// Speed of each; 1 is the yardstick.
    pub speed: f64,
    /// Machine room.
    pub zone: usize,
    /// Jobs on the cores past which less is done in total, and how quickly it falls.
    pub knee: f64,
    /// See `knee`.
    pub thrash: f64,
    /// Part of its speed when it starts cold, and seconds until it is warm.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold_s: f64,
    /// Memory for held and running requests and remembered keys.
    pub memory_kb: f64,
    /// As callers that weigh servers know it.
    pub weight: f64,
    /// Nothing runs on it until a deploy puts a successor there.
    #[serde(default)]
    pub spare: bool,
}

/// How a client proxy chooses among the servers of its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pick {
    /// One after the other.
    Round,
    /// The one with the fewest of its own requests open.
    Least,
    /// Of two at random the one with fewer open.
    Two,
    /// One after the other, by the weights of the machines.
    Weighted,
    /// By the request's key, else by its office and rank (rendezvous hashing).
    Hash,
    /// The one that answered fastest of late; one in ten at random.
    Fastest,
}

/// What a client proxy does when a try comes to nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// See [`Pick`].
    pub pick: Pick,
    /// Further tries after one that failed or timed out.
    pub retries: u32,
    /// Goes on through its list after a refusal, until every server on it was tried.
    pub walks: bool,
    /// Further tries at the most, as a part of the first ones; none for no limit.
    pub budget: Option<f64>,
    /// How long it waits for a try, as a part of the deadline.
    pub try_share: f64,
    /// Before a further try after a failure, in milliseconds, more or less.
    pub backoff_ms: f64,
    /// A second copy of a request that is safe to repeat, after this part of its aim.
    pub copy_after: Option<f64>,
}

impl RetryPolicy {
    /// One that asks once.
    pub fn plain(pick: Pick) -> Self {
        Self {
            pick,
            retries: 0,
            walks: false,
            budget: None,
            try_share: 1.0,
            backoff_ms: 35.0,
            copy_after: None,
        }
    }

    /// By its name.
    pub fn named(name: &str) -> Option<Self> {
        let plain = Self::plain(Pick::Round);
        Some(match name {
            "none" => plain,
            "unlimited" => Self { retries: 1, walks: true, try_share: 0.57, ..plain },
            "budgeted" => Self { retries: 1, walks: true, budget: Some(0.1), try_share: 0.57, ..plain },
            "hasty" => Self { retries: 3, walks: true, try_share: 0.2, backoff_ms: 10.0, ..plain },
            "copies" => Self { retries: 1, copy_after: Some(0.6), try_share: 0.57, ..plain },
            _ => return None,
        })
    }

    /// The names of all.
    pub const NAMES: [&str; 5] = ["none", "unlimited", "budgeted", "hasty", "copies"];
}

/// A client proxy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProxySpec {
    /// Machine room.
    pub zone: usize,
    /// What it does.
    #[serde(rename = "habit")]
    pub retry_policy: RetryPolicy,
    /// Whether it heeds the level, the advice to stay away and the wish not to try elsewhere.
    #[serde(rename = "heeds")]
    pub respects_advice: bool,
    /// Servers that it keeps to; 0 for all.
    pub subset: usize,
}

/// The network.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NetSpec {
    /// Machine rooms.
    pub zones: usize,
    /// One way within a room and between rooms, in milliseconds.
    pub same_ms: f64,
    /// See `same_ms`.
    pub cross_ms: f64,
    /// What a delay is off by at the most, as a part of it.
    pub jitter: f64,
    /// Part of the messages that are lost once and sent again by the transport.
    pub loss: f64,
    /// How long that takes, in milliseconds.
    pub resend_ms: f64,
    /// Part of the cancels that never come.
    pub deaf: f64,
}

/// How client proxies learn of servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoverySpec {
    /// The platform's list: changes reach each client proxy so many seconds late; a server that is silent for so long is
    /// taken off.
    List {
        /// Seconds that a change of state is late, drawn for each change and proxy.
        notice_s: [f64; 2],
        /// Seconds without a report.
        silent_s: f64,
    },
    /// A registry of Eureka's kind: servers register and renew leases, client proxies fetch by their own clock, and answers
    /// come from a cache.
    Registry {
        /// Seconds between heartbeats.
        heartbeat_s: f64,
        /// Seconds between fetches.
        refresh_s: f64,
        /// Seconds that an answer may be old.
        cache_s: f64,
        /// Seconds without a heartbeat after which a lease may be evicted.
        lease_s: f64,
    },
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Traffic times `size`; it rises and falls within `edge_s`.
    Burst {
        /// How much.
        size: f64,
        /// Seconds of rise and of fall.
        edge_s: f64,
    },
    /// Machines die and come back cold after the trouble's length.
    Crash,
    /// Machines run so many times slower.
    Slow {
        /// How much.
        factor: f64,
    },
    /// Servers are replaced, so many at a time, by cold successors; each has `drain_s` from the notice to the stop.
    Deploy {
        /// At a time.
        batch: usize,
        /// Seconds.
        drain_s: f64,
        /// Where the successors start, at the notice; without any each starts on the machine of the one before, once that
        /// is stopped.
        #[serde(default)]
        successors: Vec<usize>,
    },
    /// Runs make no progress; requests are still read.
    Hang,
    /// Nothing happens on the machines: neither runs nor the server.
    Pause,
    /// The roster's keeper can't be reached.
    RegistryAway,
    /// A machine room is cut off from the others.
    ZoneCut {
        /// Which.
        zone: usize,
    },
}

/// A trouble, when, and where.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Seconds from the day's beginning.
    pub at_s: f64,
    /// How long.
    pub len_s: f64,
    /// What.
    pub what: FaultKind,
    /// The machines that it strikes.
    pub on: Vec<usize>,
}

/// A whole day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Of all that happens in it.
    pub seed: u64,
    /// Seconds in which first tries come.
    pub seconds: f64,
    /// First tries as a part of what the cores can do.
    pub load: f64,
    /// Course of the traffic: seconds and a factor, linear between.
    pub shape: Vec<(f64, f64)>,
    /// Classes.
    pub classes: Vec<ClassSpec>,
    /// Offices.
    #[serde(rename = "offices")]
    pub tenants: Vec<TenantSpec>,
    /// Part of the capacity that the shares are of.
    pub quota_of_capacity: f64,
    /// Machines, each with one server.
    pub machines: Vec<Machine>,
    /// Client proxies.
    pub proxies: Vec<ProxySpec>,
    /// Network.
    pub net: NetSpec,
    /// Roster.
    #[serde(rename = "roster")]
    pub discovery: DiscoverySpec,
    /// Troubles.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Of the mean work, what reading a request takes, whatever is then decided.
    pub read_share: f64,
    /// Unread requests a core; more get no connection.
    pub backlog_per_core: u32,
    /// Memory of a held request, its variation, and what a running one takes of it.
    pub hold_kb: f64,
    /// See `hold_kb`.
    pub size_cv: f64,
    /// See `hold_kb`.
    pub run_factor: f64,
    /// Memory of a remembered key.
    pub key_kb: f64,
    /// Seconds until a server that fell over starts again.
    pub restart_s: f64,
}

impl Scenario {
    /// Mean work of a request, in milliseconds.
    pub fn mean_work_ms(&self) -> f64 {
        let sum: f64 = self.classes.iter().map(|class| class.share * class.work_ms).sum();
        sum / self.classes.iter().map(|class| class.share).sum::<f64>()
    }

    /// Requests a second that the cores can run.
    pub fn capacity(&self) -> f64 {
        let used = self.machines.iter().filter(|machine| !machine.spare);
        let cores: f64 = used.map(|machine| f64::from(machine.cores) * machine.speed).sum();
        cores * 1e3 / self.mean_work_ms()
    }

    /// What counts on it.
    pub fn terms(&self) -> Terms {
        let classes = self.classes.iter().map(|class| class.class.clone()).collect();
        let tenants = self.tenants.iter().map(|tenant| tenant.tenant.clone()).collect();
        let capacity = self.capacity() * self.quota_of_capacity;
        Terms { classes, tenants, ..Terms::brief(capacity) }
    }

    /// First tries a second before the day's course: its load of what the cores can do.
    pub fn pace(&self) -> f64 {
        self.load * self.capacity()
    }

    /// First tries a second at a time, of a day with this pace.
    pub fn rate(&self, pace: f64, at_s: f64) -> f64 {
        let course = match self.shape.iter().position(|(s, _)| *s > at_s) {
            None => self.shape.last().map_or(1.0, |(_, factor)| *factor),
            Some(0) => self.shape[0].1,
            Some(next) => {
                let ((s0, f0), (s1, f1)) = (self.shape[next - 1], self.shape[next]);
                f0 + (f1 - f0) * (at_s - s0) / (s1 - s0).max(1e-9)
            }
        };
        let bursts: f64 = self.faults.iter().map(|fault| fault.burst(at_s)).product();
        pace * course * bursts
    }

    /// The most that [`Scenario::rate`] ever is.
    pub fn top_rate(&self, pace: f64) -> f64 {
        let course = self.shape.iter().map(|(_, factor)| *factor).fold(0.0, f64::max);
        let course = if self.shape.is_empty() { 1.0 } else { course };
        let bursts: f64 = self.faults.iter().map(|fault| fault.top_burst()).product();
        pace * course * bursts
    }

    /// The longest that any caller waits.
    pub fn longest_ms(&self) -> Ms {
        self.classes.iter().map(|class| class.class.deadline_ms).max().unwrap_or(0)
    }
}

impl Fault {
    fn top_burst(&self) -> f64 {
        if let FaultKind::Burst { size, .. } = self.what { size.max(1.0) } else { 1.0 }
    }

    fn burst(&self, at_s: f64) -> f64 {
        let FaultKind::Burst { size, edge_s } = self.what else { return 1.0 };
        let (since, left) = (at_s - self.at_s, self.at_s + self.len_s - at_s);
        let height = (since.min(left) / edge_s.max(1e-9)).clamp(0.0, 1.0);
        1.0 + (size - 1.0) * height
    }

    /// All machines that it names.
    pub fn machines(&self) -> impl Iterator<Item = &usize> {
        let successors = match &self.what {
            FaultKind::Deploy { successors, .. } => &successors[..],
            _ => &[],
        };
        self.on.iter().chain(successors)
    }

    /// In a word.
    pub fn word(&self) -> &'static str {
        match self.what {
            FaultKind::Burst { .. } => "burst",
            FaultKind::Crash => "crash",
            FaultKind::Slow { .. } => "slow",
            FaultKind::Deploy { .. } => "deploy",
            FaultKind::Hang => "hang",
            FaultKind::Pause => "pause",
            FaultKind::RegistryAway => "registry away",
            FaultKind::ZoneCut { .. } => "zone cut",
        }
    }
}
