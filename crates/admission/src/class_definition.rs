//! Request classes as the configuration defines them.

use crate::time::Span;
use serde::{Deserialize, Serialize};

/// A request class with those of its settings that are given by its place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassDefinition {
    /// Name, latency objective, deadline, effect and priority weight.
    pub profile: ClassProfile,
    /// Whether its runs may make upstream calls; from `specifics.calls_by_class`.
    pub calls: bool,
    /// Part of the priority weight that is earned without the upstream call; from
    /// `specifics.class_skip_worth`.
    #[serde(rename = "skip_worth")]
    pub skip_weight: f64,
}

impl Default for ClassDefinition {
    /// The class of a free slot, which no request is in.
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

/// The times, the effect and the priority weight of a request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassProfile {
    /// Its name; empty for the class of a free slot.
    pub name: String,
    /// Latency objective: a response within this time of the first attempt earns the full weight.
    #[serde(rename = "promise")]
    pub latency_objective: Span,
    /// How long a client waits, over all attempts.
    pub deadline: Span,
    /// Whether a request may run again.
    pub effect: Idempotency,
    /// Part of the weight that a response after the objective and before the deadline still earns.
    #[serde(default)]
    pub late_value: f64,
    /// For requests with an idempotency key: time after its arrival within which one can arrive again.
    #[serde(default)]
    pub window: Span,
    /// Priority weight of one request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Times the request's own work by which the objective grows, up to the deadline.
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: f64,
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Idempotent: may run any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Idempotent by its key: runs once on a server within the window.
    #[serde(rename = "by_key")]
    Keyed,
    /// Not idempotent: runs once.
    #[serde(rename = "once")]
    NonIdempotent,
}
