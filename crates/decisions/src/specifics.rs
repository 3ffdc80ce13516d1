//! Facts about this server and its site, and the modes that a site can have.

use crate::numbers::{full_share, whole as whole_number};
use crate::time::Span;
use serde::Deserialize;

/// What lies below a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Below {
    /// One dependency that every worker uses.
    Shared,
    /// The next tier, running this same code.
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
    Suspend,
}

/// What callers do with the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Advert {
    /// They send nothing of a lower precedence.
    Threshold,
    /// Each has at most this many requests out here.
    Window,
    /// The chance that one coming here doesn't pass by.
    ShareOf,
    /// There is no signal.
    #[default]
    Off,
}

/// Facts about this worker and its site.
#[derive(Debug, Clone, Default, Deserialize)]
#[allow(missing_docs)]
pub struct Specifics {
    #[serde(default)]
    pub advert: Advert,
    #[serde(default)]
    pub below: Below,
    #[serde(default)]
    pub calls_by_class: Vec<bool>,
    /// Share of the calls that the dependency survives, as a mean count in hand.
    #[serde(default)]
    pub calls_out: f64,
    #[serde(default)]
    pub class_skip_worth: Vec<f64>,
    #[serde(default, deserialize_with = "whole_number")]
    pub clients_total: u32,
    /// How long a read's answer may serve others.
    #[serde(default)]
    pub fresh_for: Span,
    #[serde(default)]
    pub full_checks: bool,
    /// Names of the gauges, in the order in which they come.
    #[serde(default)]
    pub gauges: Vec<String>,
    #[serde(default)]
    pub heeded: Span,
    #[serde(default)]
    pub idle: Span,
    #[serde(default)]
    pub just_started: bool,
    #[serde(default)]
    pub kb_per_key: f64,
    /// How long an abandoned call stays in the dependency's hands.
    #[serde(default)]
    pub linger: Span,
    #[serde(default)]
    pub list_follows: bool,
    pub memory_kb: f64,
    #[serde(deserialize_with = "whole_number")]
    pub n_cores: u32,
    #[serde(default)]
    pub passes_deadline: bool,
    #[serde(default = "full_share")]
    pub run_factor: f64,
    /// Window over which calls in hand are averaged.
    #[serde(default)]
    pub share_span: Span,
    #[serde(default)]
    pub stop_mode: StopMode,
    #[serde(default)]
    pub tells_gone: bool,
}
