//! Servers for a simulation: the real one, which is the reducer with its decision module, and common alternatives for
//! comparison.
//!
//!
//! All implement [`Node`]. The alternatives share [`shell::Shell`], which has the duties of every server (a single final
//! answer, idempotency keys, the drain), and differ in the [`shell::Policy`] that admits and orders requests.

mod codel;
mod dagor;
mod fixed;
mod gradient;
pub mod shell;

use crate::scenario::{FaultKind, Scenario};
use gradepin_admission::{
    Callers, CapacitySignal, ClassProfile, Goal, Idempotency, Limits as Site, Prices, Rules, Settings, Span,
    Specifics, StopMode, Tenant, Time, UpstreamKind, WeightBasis,
};
use gradepin_core::config::{Config, Limits};
use gradepin_core::messages::{Effect, Input};
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_core::timestamp::Timestamp;
use shell::{Shell, ShellSpec};
use std::sync::Arc;

/// A server driven by a simulation.
pub trait Node: Send {
    /// Processes all inputs and appends the resulting effects.
    fn step(&mut self, moment: Timestamp, inputs: &mut Vec<Input>, effects: &mut Vec<Effect>);

    /// Time of the next step if there is no input before.
    fn wake_at(&self) -> Option<Time>;
}

impl Node for Reducer {
    fn step(&mut self, moment: Timestamp, inputs: &mut Vec<Input>, effects: &mut Vec<Effect>) {
        Reducer::step(self, moment, inputs.drain(..), effects);
    }

    fn wake_at(&self) -> Option<Time> {
        Reducer::wake_at(self)
    }
}

/// Kind of server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The product: the real reducer with the real decision module.
    Gradepin,
    /// Thread pool: two runs and four waiting requests per core, FIFO.
    Pool,
    /// Fixed concurrency limit with a short queue that discards expired requests.
    Fixed,
    /// Controlled delay: a short waiting time and LIFO order while the queue doesn't drain.
    Codel,
    /// Concurrency limit that follows the run time (Netflix concurrency-limits, Gradient2).
    Gradient,
    /// Precedence threshold that follows the waiting time (DAGOR).
    Dagor,
}

impl Kind {
    /// All kinds, the product first.
    pub const ALL: [Self; 6] =
        [Self::Gradepin, Self::Pool, Self::Fixed, Self::Codel, Self::Gradient, Self::Dagor];

    /// Name in settings and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gradepin => "gradepin",
            Self::Pool => "pool",
            Self::Fixed => "fixed",
            Self::Codel => "codel",
            Self::Gradient => "gradient",
            Self::Dagor => "dagor",
        }
    }

    /// Returns the kind with this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Creates the node of a server at each start.
#[derive(Debug, Clone)]
pub struct NodeFactories {
    settings: Vec<Arc<Settings>>,
    stop_ms: u64,
}

/// Parameters of a server start.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// Machine on which the server starts.
    pub machine: usize,
    /// Seed of the server's random numbers.
    pub seed: u64,
}

impl NodeFactories {
    /// Settings of the servers in a scenario; the same for all policies.
    pub fn new(scenario: &Scenario) -> Self {
        let shared = settings(scenario);
        let settings = scenario
            .machines
            .iter()
            .map(|machine| {
                let mut own = shared.clone();
                own.specifics.memory_kb = machine.memory_kb;
                own.specifics.n_cores = machine.cores;
                Arc::new(own)
            })
            .collect();
        // Servers know a single time from the shutdown notice to the stop: the shortest one of the scenario's
        // deployments.
        let drains = scenario.faults.iter().filter_map(|fault| match fault.what {
            FaultKind::Deploy { drain_s, .. } => Some((drain_s * 1e3) as u64),
            _ => None,
        });
        Self { settings, stop_ms: drains.min().unwrap_or(4_000) }
    }

    /// Creates the node of a server that starts.
    pub fn node(&self, kind: Kind, start: Start, registration: Registration) -> Box<dyn Node> {
        let settings = &self.settings[start.machine];
        let cores = settings.specifics.n_cores;
        let spec = ShellSpec::new(settings, self.stop_ms);
        match kind {
            Kind::Gradepin => {
                let config = config(settings, start, self.stop_ms);
                let reducer = Reducer::new(&config, Arc::clone(settings), registration);
                Box::new(reducer.expect("formatted hex digits are a valid seed"))
            }
            Kind::Pool => Box::new(Shell::new(spec, fixed::Fixed::pool(cores), registration)),
            Kind::Fixed => Box::new(Shell::new(spec, fixed::Fixed::waiting_queue(cores), registration)),
            Kind::Codel => Box::new(Shell::new(spec, codel::Codel::new(settings), registration)),
            Kind::Gradient => Box::new(Shell::new(spec, gradient::Gradient::new(settings), registration)),
            Kind::Dagor => Box::new(Shell::new(spec, dagor::Dagor::new(settings), registration)),
        }
    }
}

/// Shortest latency objective of all classes in nanoseconds, from which the comparison policies derive their waiting
/// times.
fn shortest_objective(settings: &Settings) -> f64 {
    settings.profiles.iter().map(|profile| profile.latency_objective.0).min().unwrap_or(0) as f64
}

fn config(settings: &Settings, start: Start, stop_ms: u64) -> Config {
    let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    Config {
        name: format!("n{}", start.machine),
        listen: unused_address,
        processor: unused_address,
        control: unused_address,
        seed: format!("{:016x}", start.seed),
        stop_ms,
        lends: false,
        admin_addr: None,
        upstream: Some(unused_address),
        limits: Limits { sockets: 4_096, memory_mb: 192 },
        settings: settings.clone(),
    }
}

const MS: u64 = 1_000_000;

fn ms(ms: u64) -> Span {
    Span(ms * MS)
}

/// The settings that operators configure, as the platform supplies them: neither the speed of the cores nor the
/// behaviour of clients is known.
fn settings(scenario: &Scenario) -> Settings {
    let terms = scenario.terms();
    Settings {
        min_batch_interval: ms(2),
        servers: scenario.machines.iter().filter(|machine| !machine.spare).count() as u32,
        tier: 0,
        profiles: terms
            .classes
            .iter()
            .map(|class| ClassProfile {
                name: class.name.clone(),
                latency_objective: ms(class.latency_objective_ms),
                deadline: ms(class.deadline_ms),
                effect: if class.window_ms.is_some() { Idempotency::Keyed } else { Idempotency::Idempotent },
                late_value: class.late_value,
                window: ms(class.window_ms.unwrap_or(0)),
                priority_weight: class.priority_weight,
                objective_stretch: 0.0,
            })
            .collect(),
        tenants: terms
            .tenants
            .iter()
            .map(|tenant| Tenant {
                name: tenant.name.clone(),
                quota_rps: tenant.share * terms.capacity,
                portion: tenant.share,
            })
            .collect(),
        callers: Callers { marks_retries: true },
        goal: Goal { overall: 0.4, worst_class: 0.2, worst_tenant: 0.1, worst_window: 0.3 },
        limits: Site { max_retry_after: ms(1_000), retry_after: true },
        prices: Prices { late_fail: 0.083, waste: 0.08, ..Prices::default() },
        weight_basis: WeightBasis::Request,
        over_quota_weight: terms.over_quota_weight,
        rules: Rules {
            answer_slack: ms(100),
            warm_up_time: ms(18_000),
            cold_capacity: 0.21,
            drain_grace: ms(1_800),
            overload_window: ms(1_500),
            max_concurrency_per_core: 8.0,
        },
        specifics: Specifics {
            capacity_signal: CapacitySignal::PrecedenceThreshold,
            upstream: UpstreamKind::Off,
            calls_by_class: vec![false; terms.classes.len()],
            class_skip_weights: vec![0.0; terms.classes.len()],
            clients_total: scenario.proxies.len() as u32,
            gauges: ["core_use", "on_cores", "heap_share", "links"].map(str::to_string).to_vec(),
            signal_lifetime: ms(1_000),
            client_idle_timeout: ms(15_000),
            idempotency_key_kb: scenario.key_kb,
            endpoint_list_follows_health: true,
            memory_kb: 1.0,
            n_cores: 1,
            propagates_deadline: true,
            run_factor: scenario.run_factor,
            call_share_window: ms(5_000),
            stop_mode: StopMode::Off,
            reports_disconnects: true,
            ..Specifics::default()
        },
    }
}
