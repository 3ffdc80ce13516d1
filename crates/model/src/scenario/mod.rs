//! A scenario: every parameter that is drawn before a simulation starts. [`Ranges`] defines the possible scenarios; a
//! seed draws one.

mod ranges;

pub use ranges::{Ranges, SettingError};

use crate::service_report::{Class, Ms, Tenant, Terms};
use serde::{Deserialize, Serialize};

/// A request class with its traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Class as used in the score.
    pub class: Class,
    /// Fraction of the traffic.
    pub share: f64,
    /// Mean work of a request in milliseconds on a core of speed 1, reading included; lognormally distributed.
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// Memory of a request as a multiple of the scenario's `hold_kb`.
    pub memory: f64,
}

/// A tenant with its traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TenantSpec {
    /// Name and quota.
    #[serde(rename = "office")]
    pub tenant: Tenant,
    /// Fraction of the traffic, which may exceed the quota.
    pub traffic: f64,
}

/// A machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Number of cores.
    pub cores: u32,
    /// Speed of each core, relative to 1.
    pub speed: f64,
    /// Zone of the machine.
    pub zone: usize,
    /// Number of runs above which throughput falls.
    pub knee: f64,
    /// How fast throughput falls above `knee`.
    pub thrash: f64,
    /// Fraction of the speed at a cold start.
    pub cold_from: f64,
    /// Seconds from a cold start to full speed.
    pub cold_s: f64,
    /// Memory for waiting requests, running requests and idempotency keys.
    pub memory_kb: f64,
    /// Weight of the server for client proxies that weight servers.
    pub weight: f64,
    /// No server runs here until a deployment starts a successor.
    #[serde(default)]
    pub spare: bool,
}

/// Load-balancing policy of a client proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pick {
    /// Round robin.
    Round,
    /// Fewest open attempts of this client proxy.
    Least,
    /// Fewer open attempts among two random servers.
    Two,
    /// Round robin weighted by machine.
    Weighted,
    /// Rendezvous hashing by idempotency key, or by tenant and precedence.
    Hash,
    /// Lowest recent latency; one attempt in ten goes to a random server.
    Fastest,
}

/// Load balancing and retries of a client proxy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// Load-balancing policy.
    pub pick: Pick,
    /// Number of retries after a failure or timeout.
    pub retries: u32,
    /// Whether a rejected request is tried at every server of the list.
    pub walks: bool,
    /// Retry budget as a fraction of the first attempts; `None` for no limit.
    pub budget: Option<f64>,
    /// Attempt timeout as a fraction of the deadline.
    pub try_share: f64,
    /// Mean backoff in milliseconds before a retry after a failure.
    pub backoff_ms: f64,
    /// Delay of a hedged request, as a fraction of the latency objective; only for classes that are safe to repeat.
    pub copy_after: Option<f64>,
}

impl RetryPolicy {
    /// A policy without retries.
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

    /// Returns the policy with this name.
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

    /// Names of all policies.
    pub const NAMES: [&str; 5] = ["none", "unlimited", "budgeted", "hasty", "copies"];
}

/// A client proxy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProxySpec {
    /// Zone of the client proxy.
    pub zone: usize,
    /// Load balancing and retries.
    #[serde(rename = "habit")]
    pub retry_policy: RetryPolicy,
    /// Whether it respects the precedence threshold, Retry-After and the request not to fail over.
    #[serde(rename = "heeds")]
    pub respects_advice: bool,
    /// Number of servers that it uses; 0 for all.
    pub subset: usize,
}

/// Parameters of the network.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NetSpec {
    /// Number of zones.
    pub zones: usize,
    /// One-way delay within a zone, in milliseconds.
    pub same_ms: f64,
    /// One-way delay between zones, in milliseconds.
    pub cross_ms: f64,
    /// Largest deviation of a delay, as a fraction of it.
    pub jitter: f64,
    /// Fraction of messages that are lost once and retransmitted.
    pub loss: f64,
    /// Retransmission delay in milliseconds.
    pub resend_ms: f64,
    /// Fraction of cancellations that are lost.
    #[serde(rename = "deaf")]
    pub cancellation_loss: f64,
}

/// How client proxies discover servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoverySpec {
    /// The platform's list: each client proxy learns of a change after a delay, and a server that stops reporting is
    /// removed.
    List {
        /// Range of the delay in seconds, drawn for each change and client proxy.
        notice_s: [f64; 2],
        /// Seconds without a report after which a server is removed.
        silent_s: f64,
    },
    /// A registry like Eureka: servers register and renew leases, client proxies poll at their own interval, and
    /// answers come from a cache.
    Registry {
        /// Seconds between heartbeats.
        heartbeat_s: f64,
        /// Seconds between polls.
        refresh_s: f64,
        /// Largest age of a cached answer in seconds.
        cache_s: f64,
        /// Seconds without a heartbeat after which a lease may be evicted.
        lease_s: f64,
    },
}

/// Kind of a fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Traffic rises to `size` times its rate, with ramps of `edge_s`.
    Burst {
        /// Factor on the traffic.
        size: f64,
        /// Seconds of the ramp at the start and at the end.
        edge_s: f64,
    },
    /// Machines crash and start cold after the duration of the fault.
    Crash,
    /// Machines run slower.
    Slow {
        /// Factor on the duration of all work.
        factor: f64,
    },
    /// A rolling deployment replaces servers with cold successors.
    Deploy {
        /// Servers replaced at a time.
        batch: usize,
        /// Seconds from the shutdown notice to the stop of a server.
        drain_s: f64,
        /// Machines on which the successors start at the shutdown notice. If empty, each successor starts on the
        /// same machine after the stop.
        #[serde(default)]
        successors: Vec<usize>,
    },
    /// Runs make no progress; requests are still read.
    Hang,
    /// Neither runs nor the server make progress.
    Pause,
    /// The list service or registry is unreachable.
    RegistryAway,
    /// A zone is partitioned from the others.
    ZoneCut {
        /// Number of the zone.
        zone: usize,
    },
}

/// A fault with its time and machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start in seconds.
    pub at_s: f64,
    /// Duration in seconds.
    pub len_s: f64,
    /// Kind of the fault.
    pub what: FaultKind,
    /// Machines affected.
    pub on: Vec<usize>,
}

/// All parameters of a simulation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Seed of everything drawn during the simulation.
    pub seed: u64,
    /// Seconds during which first attempts arrive.
    pub seconds: f64,
    /// First attempts as a fraction of the capacity of the cores.
    pub load: f64,
    /// Traffic over time: seconds and a factor, interpolated linearly.
    pub shape: Vec<(f64, f64)>,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
    /// Tenants.
    #[serde(rename = "offices")]
    pub tenants: Vec<TenantSpec>,
    /// Fraction of the capacity that the quotas refer to.
    pub quota_of_capacity: f64,
    /// Machines, each with one server.
    pub machines: Vec<Machine>,
    /// Client proxies.
    pub proxies: Vec<ProxySpec>,
    /// Network.
    pub net: NetSpec,
    /// Service discovery.
    #[serde(rename = "roster")]
    pub discovery: DiscoverySpec,
    /// Faults in order of their start.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Work of reading a request as a fraction of the mean work; it is spent whatever the decision.
    pub read_share: f64,
    /// Unread requests per core above which connections are refused.
    pub backlog_per_core: u32,
    /// Mean memory of a waiting request.
    pub hold_kb: f64,
    /// Coefficient of variation of the memory of a request.
    pub size_cv: f64,
    /// Memory of a running request as a multiple of that of a waiting one.
    pub run_factor: f64,
    /// Memory of a stored idempotency key.
    pub key_kb: f64,
    /// Seconds until a server that failed from overload is restarted.
    pub restart_s: f64,
}

impl Scenario {
    /// Mean work of a request, in milliseconds.
    pub fn mean_work_ms(&self) -> f64 {
        let sum: f64 = self.classes.iter().map(|class| class.share * class.work_ms).sum();
        sum / self.classes.iter().map(|class| class.share).sum::<f64>()
    }

    /// Requests per second that the cores can run.
    pub fn capacity(&self) -> f64 {
        let used = self.machines.iter().filter(|machine| !machine.spare);
        let cores: f64 = used.map(|machine| f64::from(machine.cores) * machine.speed).sum();
        cores * 1e3 / self.mean_work_ms()
    }

    /// Parameters of the score.
    pub fn terms(&self) -> Terms {
        let classes = self.classes.iter().map(|class| class.class.clone()).collect();
        let tenants = self.tenants.iter().map(|tenant| tenant.tenant.clone()).collect();
        let capacity = self.capacity() * self.quota_of_capacity;
        Terms { classes, tenants, ..Terms::specified(capacity) }
    }

    /// First attempts per second before the traffic shape and bursts are applied.
    pub fn base_rate(&self) -> f64 {
        self.load * self.capacity()
    }

    /// First attempts per second at a time, given the base rate.
    pub fn rate(&self, base_rate: f64, at_s: f64) -> f64 {
        let course = match self.shape.iter().position(|(s, _)| *s > at_s) {
            None => self.shape.last().map_or(1.0, |(_, factor)| *factor),
            Some(0) => self.shape[0].1,
            Some(next) => {
                let ((s0, f0), (s1, f1)) = (self.shape[next - 1], self.shape[next]);
                f0 + (f1 - f0) * (at_s - s0) / (s1 - s0).max(1e-9)
            }
        };
        let bursts: f64 = self.faults.iter().map(|fault| fault.burst(at_s)).product();
        base_rate * course * bursts
    }

    /// Upper bound of [`Scenario::rate`].
    pub fn max_rate(&self, base_rate: f64) -> f64 {
        let course = self.shape.iter().map(|(_, factor)| *factor).fold(0.0, f64::max);
        let course = if self.shape.is_empty() { 1.0 } else { course };
        let bursts: f64 = self.faults.iter().map(|fault| fault.top_burst()).product();
        base_rate * course * bursts
    }

    /// Longest deadline of all classes.
    pub fn longest_deadline_ms(&self) -> Ms {
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

    /// All machines that the fault names, successors included.
    pub fn machines(&self) -> impl Iterator<Item = &usize> {
        let successors = match &self.what {
            FaultKind::Deploy { successors, .. } => &successors[..],
            _ => &[],
        };
        self.on.iter().chain(successors)
    }

    /// Name of the kind, as used in reports.
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
