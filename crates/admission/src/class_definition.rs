//! Request classes as the configuration defines them: times, idempotency and priority weight.
//!
//! [`ClassDefinition::check`] is the one statement of what a class needs before it may come into force. Each
//! way into force calls it: the configuration file at a start and at a reload, a proposed transaction and an
//! applied one.

use crate::time::Span;
use serde::{Deserialize, Serialize};

/// A value of a class that is missing or unusable.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("expected {}", self.text())]
pub struct ClassError {
    /// The key of the value in the settings file.
    pub key: &'static str,
    /// The allowed range, in words.
    pub range: &'static str,
    /// The rejected value; 0 if the key is missing.
    pub value: f64,
}

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

impl ClassError {
    /// The key, its range and the rejected value.
    pub(crate) fn text(&self) -> String {
        format!("{} {}, got {}", self.key, self.range, self.value)
    }
}

impl ClassDefinition {
    /// Checks that requests of the class can be served within the rules.
    ///
    /// # Errors
    ///
    /// Returns the first value that is missing or unusable.
    pub fn check(&self) -> Result<(), ClassError> {
        self.profile.check()?;
        check_share("skip_worth", self.skip_weight)
    }
}

impl ClassProfile {
    fn check(&self) -> Result<(), ClassError> {
        check_span("promise", "above 0", self.latency_objective)?;
        check_span("deadline", "above 0", self.deadline)?;
        if self.effect == Idempotency::Keyed {
            // Without a window, each repeat of a request would run it again.
            check_span("window", "above 0, since the effect is by_key", self.window)?;
        }
        check_share("late_value", self.late_value)?;
        check_non_negative("worth", self.priority_weight)?;
        check_non_negative("aim_stretch", self.objective_stretch)
    }
}

fn check_span(key: &'static str, range: &'static str, span: Span) -> Result<(), ClassError> {
    check(key, range, span.0 as f64, span.0 > 0)
}

fn check_share(key: &'static str, value: f64) -> Result<(), ClassError> {
    check(key, "from 0 to 1", value, (0.0..=1.0).contains(&value))
}

fn check_non_negative(key: &'static str, value: f64) -> Result<(), ClassError> {
    check(key, "of 0 or more", value, value >= 0.0 && value.is_finite())
}

fn check(key: &'static str, range: &'static str, value: f64, is_usable: bool) -> Result<(), ClassError> {
    if is_usable { Ok(()) } else { Err(ClassError { key, range, value }) }
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
    /// Above 0 in a keyed class that is in force.
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
