//! Settings of the module as the host reads them from its configuration, and their validation.

use crate::class_definition::{ClassDefinition, ClassProfile};
use crate::numbers::{full_share, whole as whole_number};
use crate::specifics::Specifics;
use crate::time::Span;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Settings of a server, as the host reads them at its start. Keys that are not known are skipped.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Settings {
    /// Shortest time between two batches.
    #[serde(rename = "granularity")]
    pub min_batch_interval: Span,
    /// Servers of this tier at this start.
    #[serde(default = "one", deserialize_with = "whole_number")]
    pub servers: u32,
    /// This server's tier: its place on the path of a request, 0 for the one that clients' callers reach.
    #[serde(default, deserialize_with = "whole_number")]
    pub tier: u32,
    /// The request classes; their places are the indexes that [`crate::Request`] names.
    pub profiles: Vec<ClassProfile>,
    /// The tenants; their places are the indexes that [`crate::Request`] names.
    #[serde(default)]
    #[serde(rename = "customers")]
    pub tenants: Vec<Tenant>,
    /// How callers behave.
    #[serde(default)]
    pub callers: Callers,
    /// Weights of the parts of the result.
    #[serde(default)]
    pub goal: Goal,
    /// What the site allows.
    #[serde(default)]
    pub limits: Limits,
    /// Points taken off the result.
    #[serde(default)]
    pub prices: Prices,
    /// What the priority weight of a class counts for.
    #[serde(default)]
    #[serde(rename = "worth_by")]
    pub weight_basis: WeightBasis,
    /// Priority weight of a request over its tenant's quota, as a part of its class's weight.
    #[serde(default = "full_share")]
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Figures of the platform's rules.
    pub rules: Rules,
    /// Facts about this server and its site.
    pub specifics: Specifics,
}

/// A setting that the module cannot work with.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("expected settings: {name} {range}, got {value}")]
pub struct AdmissionSettingsError {
    /// Its path in the settings.
    pub name: &'static str,
    /// The values that it may have.
    pub range: &'static str,
    /// The value that it has.
    pub value: f64,
}

impl Settings {
    /// Checks that the module can work with these settings.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
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
        // Past 1 a negative capacity would be advertised.
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

    /// Index of the class with a name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.profiles.iter().position(|profile| profile.name == name)
    }

    /// Index of the tenant with a name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.name == name)
    }
}

impl Settings {
    /// Splits off the classes and the tenants, in the order of the settings. Settings that name classes by
    /// their place move into the definitions.
    pub fn split(mut self) -> SplitSettings {
        let calls = std::mem::take(&mut self.specifics.calls_by_class);
        let skip_worths = std::mem::take(&mut self.specifics.class_skip_weights);
        let define = |(place, profile): (usize, ClassProfile)| {
            let calls = calls.get(place).copied().unwrap_or(true);
            Arc::new(ClassDefinition {
                profile,
                calls,
                skip_weight: skip_worths.get(place).copied().unwrap_or(0.0),
            })
        };
        let classes = std::mem::take(&mut self.profiles).into_iter().enumerate().map(define).collect();
        let tenants = std::mem::take(&mut self.tenants).into_iter().map(Arc::new).collect();
        SplitSettings { global: self, classes, tenants }
    }
}

/// Settings with their classes and tenants apart, each in the order of the settings.
#[derive(Debug, Clone)]
pub struct SplitSettings {
    /// The settings without classes and tenants.
    pub global: Settings,
    /// The classes.
    pub classes: Vec<Arc<ClassDefinition>>,
    /// The tenants.
    pub tenants: Vec<Arc<Tenant>>,
}

fn one() -> u32 {
    1
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within its quota, over all servers together; 0 for no quota.
    #[serde(default)]
    pub quota_rps: f64,
    /// Its part of the service, from 0 to 1.
    #[serde(default)]
    pub portion: f64,
}

/// How callers behave.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Callers {
    /// Whether retries and hedged requests are marked.
    #[serde(default)]
    #[serde(rename = "marks_retry")]
    pub marks_retries: bool,
}

/// Weights of the parts of the result.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Goal {
    /// Of the result over all requests.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Of the weakest class.
    pub worst_class: f64,
    /// Of the weakest tenant, within its quota.
    pub worst_tenant: f64,
    /// Of the weakest 10 seconds.
    pub worst_window: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { overall: 1.0, worst_class: 0.0, worst_tenant: 0.0, worst_window: 0.0 }
    }
}

/// What the site allows.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The longest Retry-After that callers follow.
    pub max_retry_after: Span,
    /// Whether a Retry-After is passed on to callers.
    pub retry_after: bool,
}

/// Points taken off the result, each times its share or rate.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// For open connections, as a mean over 100 times the servers.
    pub connection: f64,
    /// For new connections, per first attempt.
    pub handshake: f64,
    /// For weight left unserved once its latency objective has passed.
    pub late_fail: f64,
    /// For upstream calls, per first attempt.
    #[serde(rename = "origin")]
    pub upstream_call: f64,
    /// For work that served nothing, as a share of the work offered.
    pub waste: f64,
}

/// What the priority weight of a class counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightBasis {
    /// Each request counts for the weight of its class.
    #[default]
    Request,
    /// Each unit of a request's work counts for it.
    Work,
}

/// Figures of the platform's rules.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Rules {
    /// How long after its deadline a response still counts.
    #[serde(default)]
    pub answer_slack: Span,
    /// Time within which cold cores are fully warm.
    #[serde(default)]
    #[serde(rename = "cold")]
    pub warm_up_time: Span,
    /// Share of their full speed with which cold cores begin at least, from 0 to 1.
    #[serde(default = "full_share")]
    #[serde(rename = "cold_share")]
    pub cold_capacity: f64,
    /// Requests that arrive later than this after the notice of a shutdown are not run.
    pub drain_grace: Span,
    /// Time over which the runs on the cores are averaged, when their number is held against what a server
    /// survives.
    #[serde(rename = "fall")]
    pub overload_window: Span,
    /// Runs at once per core that a warm server survives.
    #[serde(rename = "tip_multiple")]
    pub max_concurrency_per_core: f64,
}
