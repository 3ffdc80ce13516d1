//! Facts about this server and its site, and the modes that a site supports.

use crate::numbers::{full_share, whole as whole_number};
use crate::settings::{AdmissionSettingsError, check_non_negative, check_positive};
use crate::time::Span;
use serde::Deserialize;

/// The kind of upstream that runs of this server call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A single dependency that all servers share.
    Shared,
    /// The next tier of servers, which run the same program.
    Tier,
    /// Runs make no upstream calls.
    #[default]
    Off,
}

/// The way in which the processor can stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// Runs cannot be stopped.
    #[default]
    Off,
    /// Stopping discards the work of the run.
    Abort,
    /// Stopping pauses the run; it can be resumed.
    #[serde(rename = "suspend")]
    Pause,
}

/// The meaning of the value that is advertised with every response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacitySignal {
    /// The lowest precedence of requests that callers should send.
    #[serde(rename = "threshold")]
    PrecedenceThreshold,
    /// The number of requests that each caller may have open here; a fractional part allows one by chance.
    #[serde(rename = "window")]
    ConcurrencyWindow,
    /// The probability with which a caller that has selected this server sends the request to it.
    #[serde(rename = "share_of")]
    AcceptanceProbability,
    /// No value is advertised.
    #[default]
    Off,
}

/// Facts about this server and its site.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Specifics {
    /// The meaning of the advertised value.
    #[serde(default)]
    #[serde(rename = "advert")]
    pub capacity_signal: CapacitySignal,
    /// The kind of upstream that runs of this server call.
    #[serde(default)]
    #[serde(rename = "below")]
    pub upstream: UpstreamKind,
    /// Whether runs may make upstream calls, by class; true for classes that are missing from the list.
    #[serde(default)]
    pub calls_by_class: Vec<bool>,
    /// This server's share of the upstream calls that the shared dependency survives, as a mean number of
    /// outstanding calls; may be below 1.
    #[serde(default)]
    #[serde(rename = "calls_out")]
    pub call_share: f64,
    /// Fraction of the priority weight that is earned without the upstream call, by class; 0 for classes that
    /// are missing from the list.
    #[serde(default)]
    #[serde(rename = "class_skip_worth")]
    pub class_skip_weights: Vec<f64>,
    /// Number of callers of this tier when the server started.
    #[serde(default, deserialize_with = "whole_number")]
    pub clients_total: u32,
    /// Time for which the response to a read may serve other reads; 0 if it may not.
    #[serde(default)]
    pub fresh_for: Span,
    /// Whether health checks do real work, unless they report the stored status.
    #[serde(default)]
    pub full_checks: bool,
    /// Names of the gauges, in the order in which the host receives them.
    #[serde(default)]
    pub gauges: Vec<String>,
    /// Time for which a caller uses an advertised value.
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
    /// Size of an entry in the table of idempotency keys, in kilobytes.
    #[serde(default)]
    #[serde(rename = "kb_per_key")]
    pub idempotency_key_kb: f64,
    /// Longest time for which a call remains outstanding at the dependency after it was given up.
    #[serde(default)]
    pub linger: Span,
    /// Whether a server that fails health checks is removed from the endpoint list.
    #[serde(default)]
    #[serde(rename = "list_follows")]
    pub endpoint_list_follows_health: bool,
    /// Memory of the server, in kilobytes. The server fails when requests and keys need more.
    pub memory_kb: f64,
    /// Number of cores of the server. Their speed is unknown.
    #[serde(deserialize_with = "whole_number")]
    pub n_cores: u32,
    /// Whether requests carry the time that their caller still waits.
    #[serde(default)]
    #[serde(rename = "passes_deadline")]
    pub propagates_deadline: bool,
    /// Memory of a running request, as a multiple of its memory while queued.
    #[serde(default = "full_share")]
    pub run_factor: f64,
    /// Time over which the outstanding calls at the dependency are averaged.
    #[serde(default)]
    #[serde(rename = "share_span")]
    pub call_share_window: Span,
    /// The way in which the processor can stop a run.
    #[serde(default)]
    pub stop_mode: StopMode,
    /// Whether the host reports that a caller has disconnected.
    #[serde(default)]
    #[serde(rename = "tells_gone")]
    pub reports_disconnects: bool,
}

impl Specifics {
    /// Checks that all values are in their range.
    pub(crate) fn check(&self) -> Result<(), AdmissionSettingsError> {
        check_positive("specifics.n_cores", f64::from(self.n_cores))?;
        check_positive("specifics.memory_kb", self.memory_kb)?;
        check_positive("specifics.run_factor", self.run_factor)?;
        check_non_negative("specifics.kb_per_key", self.idempotency_key_kb)?;
        if self.upstream != UpstreamKind::Shared {
            return Ok(());
        }
        check_positive("specifics.calls_out", self.call_share)?;
        check_positive("specifics.share_span", self.call_share_window.0 as f64)
    }
}
