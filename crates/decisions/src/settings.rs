//! Settings of the module as the host reads them from its configuration, and their validation.

use crate::class_definition::{ClassDefinition, Profile};
use crate::numbers::{full_share, whole as whole_number};
use crate::specifics::Specifics;
use crate::time::Span;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a worker is told when it starts. Unknown keys are skipped.
#[derive(Debug, Clone, Default, Deserialize)]
#[allow(missing_docs)]
pub struct Settings {
    /// The shortest gap between batches.
    pub granularity: Span,
    /// Workers of this tier at this start.
    #[serde(default = "one", deserialize_with = "whole_number")]
    pub servers: u32,
    #[serde(default, deserialize_with = "whole_number")]
    pub tier: u32,
    pub profiles: Vec<Profile>,
    #[serde(default)]
    pub customers: Vec<Customer>,
    #[serde(default)]
    pub callers: Callers,
    #[serde(default)]
    pub goal: Goal,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub worth_by: WorthBy,
    /// Worth of a request over its tenant's share, as a part of its class's worth.
    #[serde(default = "full_share")]
    pub over_share_worth: f64,
    pub rules: Rules,
    pub specifics: Specifics,
}

/// A setting that the module can't work with.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("expected settings: {name} {range}, got {value}")]
pub struct BadSettings {
    /// Which one.
    pub name: &'static str,
    /// What it may be.
    pub range: &'static str,
    /// What was told.
    pub value: f64,
}

impl Settings {
    /// Whether the module can work with these; if not, why.
    pub fn check(&self) -> Result<(), BadSettings> {
        let positive = |name: &'static str, value: f64| {
            let good = value > 0.0 && value.is_finite();
            if good { Ok(()) } else { Err(BadSettings { name, range: "above 0", value }) }
        };
        positive("number of profiles", self.profiles.len() as f64)?;
        positive("specifics.n_cores", f64::from(self.specifics.n_cores))?;
        positive("specifics.memory_kb", self.specifics.memory_kb)?;
        positive("specifics.run_factor", self.specifics.run_factor)?;
        positive("rules.tip_multiple", self.rules.tip_multiple)?;
        // Past 1 the module would say less than nothing to callers.
        let (name, value) = ("rules.cold_share", self.rules.cold_share);
        if !(0.0..=1.0).contains(&value) {
            return Err(BadSettings { name, range: "from 0 to 1", value });
        }
        for profile in &self.profiles {
            positive("profiles[].deadline", profile.deadline.0 as f64)?;
            positive("profiles[].promise", profile.promise.0 as f64)?;
        }
        Ok(())
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.profiles.iter().position(|profile| profile.name == name)
    }

    /// The tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.customers.iter().position(|customer| customer.name == name)
    }
}

impl Settings {
    /// The rest, the classes and the tenants: what the settings of a class are told by its place for is in its definition.
    pub fn split(mut self) -> (Self, Vec<Arc<ClassDefinition>>, Vec<Arc<Customer>>) {
        let calls = std::mem::take(&mut self.specifics.calls_by_class);
        let worths = std::mem::take(&mut self.specifics.class_skip_worth);
        let define = |(place, profile): (usize, Profile)| {
            let calls = calls.get(place).copied().unwrap_or(true);
            Arc::new(ClassDefinition {
                profile,
                calls,
                skip_worth: worths.get(place).copied().unwrap_or(0.0),
            })
        };
        let classes = std::mem::take(&mut self.profiles).into_iter().enumerate().map(define).collect();
        let tenants = std::mem::take(&mut self.customers).into_iter().map(Arc::new).collect();
        (self, classes, tenants)
    }
}

fn one() -> u32 {
    1
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Customer {
    pub name: String,
    /// Requests a second inside its share, for all workers together.
    #[serde(default)]
    pub quota_rps: f64,
    #[serde(default)]
    pub portion: f64,
}

/// How callers behave.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Callers {
    /// Further tries are marked.
    #[serde(default)]
    pub marks_retry: bool,
}

/// Weights of the parts of the result.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Goal {
    pub whole: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
    pub worst_window: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { whole: 1.0, worst_class: 0.0, worst_tenant: 0.0, worst_window: 0.0 }
    }
}

/// What the site lets us do.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The longest `come_back` that is honoured.
    pub max_retry_after: Span,
    /// `come_back` is passed on.
    pub retry_after: bool,
}

/// Points taken off the result.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Prices {
    pub connection: f64,
    pub handshake: f64,
    pub late_fail: f64,
    pub origin: f64,
    pub waste: f64,
}

/// What worth is counted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorthBy {
    /// Each request counts the worth of its class.
    #[default]
    Request,
    /// The worth counts for each unit of work.
    Work,
}

/// Figures of the four rules.
#[derive(Debug, Clone, Default, Deserialize)]
#[allow(missing_docs)]
pub struct Rules {
    #[serde(default)]
    pub answer_slack: Span,
    /// A cold worker is fully warm within this long.
    #[serde(default)]
    pub cold: Span,
    /// And begins at no less than this share of its speed.
    #[serde(default = "full_share")]
    pub cold_share: f64,
    pub drain_grace: Span,
    /// Span over which the crowd is averaged.
    pub fall: Span,
    /// Requests a core that a warm worker survives.
    pub tip_multiple: f64,
}
