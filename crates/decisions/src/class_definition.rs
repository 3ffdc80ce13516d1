//! Request classes as the configuration defines them.

use crate::time::Span;
use serde::{Deserialize, Serialize};

/// A request class with the settings of it that the module keeps beside its profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassDefinition {
    /// Name, latency target, deadline, effect and worth.
    pub profile: Profile,
    /// Whether its runs call the shared dependency; `specifics.calls_by_class` of the configuration file.
    pub calls: bool,
    /// Worth kept when the call is left out, as a part; `specifics.class_skip_worth` of the configuration file.
    pub skip_worth: f64,
}

impl Default for ClassDefinition {
    /// The class of a free slot, which no request is in.
    fn default() -> Self {
        let (name, none, never) = (String::new(), Span(0), Span(u64::MAX));
        let (effect, worth) = (Effect::Once, 0.0);
        let profile = Profile {
            name,
            promise: never,
            deadline: never,
            effect,
            late_value: 0.0,
            window: none,
            worth,
            aim_stretch: 0.0,
        };
        Self { profile, calls: true, skip_worth: 0.0 }
    }
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Profile {
    pub name: String,
    /// An answer within this long of the first try earns the full worth.
    pub promise: Span,
    /// How long a client waits for all tries together.
    pub deadline: Span,
    pub effect: Effect,
    #[serde(default)]
    pub late_value: f64,
    /// For keyed classes: how long after its arrival a request can come again.
    #[serde(default)]
    pub window: Span,
    pub worth: f64,
    /// The aim grows by this many times the request's own work.
    #[serde(default)]
    pub aim_stretch: f64,
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Safe to repeat.
    Repeatable,
    /// Runs once a worker for each key within the window.
    ByKey,
    /// Unsafe: runs once.
    Once,
}
