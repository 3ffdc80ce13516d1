//! Settings of the admission module, as the host reads them from its configuration, and their validation.

use crate::class_definition::{ClassDefinition, ClassProfile};
use crate::numbers::{full_share, whole as whole_number};
use crate::specifics::Specifics;
use crate::time::Span;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Settings of the admission module of a server. Unknown keys are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Settings {
    /// Shortest time between two batches of events.
    #[serde(rename = "granularity")]
    pub min_batch_interval: Span,
    /// Number of servers in this tier when the server started.
    #[serde(default = "one", deserialize_with = "whole_number")]
    pub servers: u32,
    /// Tier of this server on the path of a request; tier 0 is the one that clients reach.
    #[serde(default, deserialize_with = "whole_number")]
    pub tier: u32,
    /// The request classes. The index of a class is its slot in [`Request::class`](crate::Request::class).
    pub profiles: Vec<ClassProfile>,
    /// The tenants. The index of a tenant is its slot in [`Request::tenant`](crate::Request::tenant).
    #[serde(default)]
    #[serde(rename = "customers")]
    pub tenants: Vec<Tenant>,
    /// Facts about the callers of this server.
    #[serde(default)]
    pub callers: Callers,
    /// Weights of the parts of the site's score.
    #[serde(default)]
    pub goal: Goal,
    /// Limits on the advice that this server may give.
    #[serde(default)]
    pub limits: Limits,
    /// Deductions from the site's score.
    #[serde(default)]
    pub prices: Prices,
    /// Whether the priority weight of a class applies per request or per unit of work.
    #[serde(default)]
    #[serde(rename = "worth_by")]
    pub weight_basis: WeightBasis,
    /// Priority weight of a request over its tenant's quota, as a fraction of the weight of its class.
    #[serde(default = "full_share")]
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Figures of the platform's rules.
    pub rules: Rules,
    /// Facts about this server and its site.
    pub specifics: Specifics,
}

/// A setting that is out of its range.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("expected settings: {name} {range}, got {value}")]
pub struct AdmissionSettingsError {
    /// Path of the setting, with the names of the settings file.
    pub name: &'static str,
    /// The allowed range, in words.
    pub range: &'static str,
    /// The rejected value.
    pub value: f64,
}

impl Settings {
    /// Checks that all settings are in their range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn check(&self) -> Result<(), AdmissionSettingsError> {
        let positive = |name: &'static str, value: f64| {
            let good = value > 0.0 && value.is_finite();
            if good { Ok(()) } else { Err(AdmissionSettingsError { name, range: "above 0", value }) }
        };
        positive("number of profiles", self.profiles.len() as f64)?;
        positive("specifics.n_cores", f64::from(self.specifics.n_cores))?;
        positive("specifics.memory_kb", self.specifics.memory_kb)?;
        positive("specifics.run_factor", self.specifics.run_factor)?;
        positive("rules.tip_multiple", self.rules.max_concurrency_per_core)?;
        // A share above 1 would advertise a negative capacity.
        let (name, value) = ("rules.cold_share", self.rules.cold_capacity);
        if !(0.0..=1.0).contains(&value) {
            return Err(AdmissionSettingsError { name, range: "from 0 to 1", value });
        }
        for profile in &self.profiles {
            positive("profiles[].deadline", profile.deadline.0 as f64)?;
            positive("profiles[].promise", profile.latency_objective.0 as f64)?;
        }
        Ok(())
    }

    /// Index of the class with the given name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.profiles.iter().position(|profile| profile.name == name)
    }

    /// Index of the tenant with the given name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.name == name)
    }
}

impl Settings {
    /// Separates the classes and the tenants from the global settings. Lists that are indexed by class move
    /// into the class definitions.
    pub fn split(mut self) -> SplitSettings {
        let calls = std::mem::take(&mut self.specifics.calls_by_class);
        let skip_weights = std::mem::take(&mut self.specifics.class_skip_weights);
        let define = |(index, profile): (usize, ClassProfile)| {
            let calls = calls.get(index).copied().unwrap_or(true);
            Arc::new(ClassDefinition {
                profile,
                calls,
                skip_weight: skip_weights.get(index).copied().unwrap_or(0.0),
            })
        };
        let classes = std::mem::take(&mut self.profiles).into_iter().enumerate().map(define).collect();
        let tenants = std::mem::take(&mut self.tenants).into_iter().map(Arc::new).collect();
        SplitSettings { global: self, classes, tenants }
    }
}

/// Settings with their classes and tenants separated, each in the order of the settings.
#[derive(Debug, Clone)]
pub struct SplitSettings {
    /// The settings without classes, tenants and per-class lists.
    pub global: Settings,
    /// The class definitions; the index of a class is its slot.
    pub classes: Vec<Arc<ClassDefinition>>,
    /// The tenants; the index of a tenant is its slot.
    pub tenants: Vec<Arc<Tenant>>,
}

fn one() -> u32 {
    1
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name that requests give as their tenant.
    pub name: String,
    /// Quota in requests per second, over all servers together; 0 for no quota.
    #[serde(default)]
    pub quota_rps: f64,
    /// Fraction of the total capacity that is intended for the tenant, from 0 to 1.
    #[serde(default)]
    pub portion: f64,
}

/// Facts about the callers of this server.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Callers {
    /// Whether callers mark retries and hedged requests.
    #[serde(default)]
    #[serde(rename = "marks_retry")]
    pub marks_retries: bool,
}

/// Weights of the parts of the site's score.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Goal {
    /// Weight of the score over all requests.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Weight of the class with the lowest score.
    pub worst_class: f64,
    /// Weight of the tenant with the lowest score, within its quota.
    pub worst_tenant: f64,
    /// Weight of the 10 seconds with the lowest score.
    pub worst_window: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { overall: 1.0, worst_class: 0.0, worst_tenant: 0.0, worst_window: 0.0 }
    }
}

/// Limits on the advice that this server may give.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Longest Retry-After that callers follow.
    pub max_retry_after: Span,
    /// Whether rejections may carry a Retry-After.
    pub retry_after: bool,
}

/// Deductions from the site's score: points per unit of the stated rate.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// Points for open connections; the rate is their mean number divided by 100 times the servers.
    pub connection: f64,
    /// Points for new connections per first attempt.
    pub handshake: f64,
    /// Points for priority weight that is still unserved when its latency objective has passed.
    pub late_fail: f64,
    /// Points for upstream calls per first attempt.
    #[serde(rename = "origin")]
    pub upstream_call: f64,
    /// Points for work without a useful response, as a fraction of the offered work.
    pub waste: f64,
}

/// The unit to which the priority weight of a class applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightBasis {
    /// Each request has the weight of its class.
    #[default]
    Request,
    /// Each unit of a request's work has the weight of its class.
    Work,
}

/// Figures of the platform's rules.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Rules {
    /// Time after its deadline within which a response still counts.
    #[serde(default)]
    pub answer_slack: Span,
    /// Time after which cold cores have reached their full speed.
    #[serde(default)]
    #[serde(rename = "cold")]
    pub warm_up_time: Span,
    /// Minimum initial speed of cold cores, as a fraction of their full speed from 0 to 1.
    #[serde(default = "full_share")]
    #[serde(rename = "cold_share")]
    pub cold_capacity: f64,
    /// Time after the notice of a shutdown after which arriving requests are not run.
    pub drain_grace: Span,
    /// Time over which the runs on the cores are averaged for the comparison with `max_concurrency_per_core`.
    #[serde(rename = "fall")]
    pub overload_window: Span,
    /// Mean number of concurrent runs per core that a warm server survives.
    #[serde(rename = "tip_multiple")]
    pub max_concurrency_per_core: f64,
}
