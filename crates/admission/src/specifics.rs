//! Facts about this server and its site, and the modes that a site can have.

use crate::numbers::{full_share, whole as whole_number};
use crate::time::Span;
use serde::Deserialize;

/// What the runs of this server call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// One dependency that all servers share.
    Shared,
    /// The next tier of servers, which run this same code.
    Tier,
    /// Nothing.
    #[default]
    Off,
}

/// Whether running work can be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// It can't.
    #[default]
    Off,
    /// Stopping throws the work away.
    Abort,
    /// Stopping pauses it.
    #[serde(rename = "suspend")]
    Pause,
}

/// What callers make of the advertised value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacitySignal {
    /// They send nothing of a lower precedence.
    #[serde(rename = "threshold")]
    PrecedenceThreshold,
    /// Each has at most so many requests open here; of a fraction, one by chance.
    #[serde(rename = "window")]
    ConcurrencyWindow,
    /// The probability with which a caller that comes to this server sends its request here.
    #[serde(rename = "share_of")]
    AcceptanceProbability,
    /// There is no signal.
    #[default]
    Off,
}

/// Facts about this server and its site.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Specifics {
    /// What callers make of the advertised value.
    #[serde(default)]
    #[serde(rename = "advert")]
    pub capacity_signal: CapacitySignal,
    /// What the runs of this server call.
    #[serde(default)]
    #[serde(rename = "below")]
    pub upstream: UpstreamKind,
    /// By class: whether its requests may make upstream calls; where a class is left out, they may.
    #[serde(default)]
    pub calls_by_class: Vec<bool>,
    /// This server's share of the upstream calls that the shared dependency survives, as a mean number of
    /// calls in its hands; possibly below 1.
    #[serde(default)]
    #[serde(rename = "calls_out")]
    pub call_share: f64,
    /// By class: part of the priority weight that is earned without the upstream call; where a class is
    /// left out, none.
    #[serde(default)]
    #[serde(rename = "class_skip_worth")]
    pub class_skip_weights: Vec<f64>,
    /// Callers of this tier at this start.
    #[serde(default, deserialize_with = "whole_number")]
    pub clients_total: u32,
    /// How long the response to a read may serve others; 0 for never.
    #[serde(default)]
    pub fresh_for: Span,
    /// Whether health checks do real work, unless they are answered from the stored status.
    #[serde(default)]
    pub full_checks: bool,
    /// Names of the gauges, in the order in which they come.
    #[serde(default)]
    pub gauges: Vec<String>,
    /// How long a caller keeps an advertised value.
    #[serde(default)]
    #[serde(rename = "heeded")]
    pub signal_lifetime: Span,
    /// Time after which callers close idle connections themselves.
    #[serde(default)]
    #[serde(rename = "idle")]
    pub client_idle_timeout: Span,
    /// Whether the cores start cold.
    #[serde(default)]
    #[serde(rename = "just_started")]
    pub cold_start: bool,
    /// Memory of an entry in the table of idempotency keys, in kilobytes.
    #[serde(default)]
    #[serde(rename = "kb_per_key")]
    pub idempotency_key_kb: f64,
    /// Longest time that a call that was given up stays in the dependency's hands.
    #[serde(default)]
    pub linger: Span,
    /// Whether the endpoint list follows the answers to health checks.
    #[serde(default)]
    #[serde(rename = "list_follows")]
    pub endpoint_list_follows_health: bool,
    /// Memory of the server, in kilobytes; it dies when requests and keys need more.
    pub memory_kb: f64,
    /// Cores of the server, of unknown speed.
    #[serde(deserialize_with = "whole_number")]
    pub n_cores: u32,
    /// Whether requests say how long their caller waits.
    #[serde(default)]
    #[serde(rename = "passes_deadline")]
    pub propagates_deadline: bool,
    /// Memory of a running request as a multiple of that of a held one.
    #[serde(default = "full_share")]
    pub run_factor: f64,
    /// Time over which the calls in the dependency's hands are averaged.
    #[serde(default)]
    #[serde(rename = "share_span")]
    pub call_share_window: Span,
    /// Whether running work can be stopped.
    #[serde(default)]
    pub stop_mode: StopMode,
    /// Whether the server learns that a caller has given up.
    #[serde(default)]
    #[serde(rename = "tells_gone")]
    pub reports_disconnects: bool,
}
