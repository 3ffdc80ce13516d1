//! Request classes as the configuration defines them: times, idempotency and priority weight.

use crate::time::Span;
use serde::{Deserialize, Serialize};

/// A request class, together with the per-class lists of the settings at its index.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassDefinition {
    /// The entry of the class in `profiles`.
    pub profile: ClassProfile,
    /// Whether runs of the class may make upstream calls; from `specifics.calls_by_class`.
    pub calls: bool,
    /// Fraction of the priority weight that a request earns without its upstream call; from
    /// `specifics.class_skip_worth`.
    #[serde(rename = "skip_worth")]
    pub skip_weight: f64,
}

impl Default for ClassDefinition {
    /// The definition of a free slot, to which no request belongs.
    fn default() -> Self {
        let (name, none, never) = (String::new(), Span(0), Span(u64::MAX));
        let (effect, priority_weight) = (Idempotency::NonIdempotent, 0.0);
        let profile = ClassProfile {
            name,
            latency_objective: never,
            deadline: never,
            effect,
            late_value: 0.0,
            window: none,
            priority_weight,
            objective_stretch: 0.0,
        };
        Self { profile, calls: true, skip_weight: 0.0 }
    }
}

/// Times, idempotency and priority weight of a request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassProfile {
    /// Name that requests give as their method; empty for a free slot.
    pub name: String,
    /// Latency objective: a response within this time of the first attempt earns the full priority weight.
    #[serde(rename = "promise")]
    pub latency_objective: Span,
    /// Time that a client waits for a response, over all attempts.
    pub deadline: Span,
    /// Whether a repeated request may run again.
    pub effect: Idempotency,
    /// Fraction of the priority weight that a response after the objective and before the deadline earns.
    #[serde(default)]
    pub late_value: f64,
    /// For requests with an idempotency key: time after its arrival within which a request may be repeated.
    #[serde(default)]
    pub window: Span,
    /// Priority weight of one request, or of one unit of work; see [`crate::WeightBasis`].
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Multiple of the request's declared work that is added to the objective, up to the deadline.
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: f64,
}

/// Whether a repeated request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// May run any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Idempotent by its key: runs at most once on a server within the window of its class.
    #[serde(rename = "by_key")]
    Keyed,
    /// Must run at most once; repeats cannot be recognized.
    #[serde(rename = "once")]
    NonIdempotent,
}
