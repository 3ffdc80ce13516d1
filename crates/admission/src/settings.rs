//! Settings of the admission module, as the host reads them from its configuration, and their validation.

use crate::class_definition::{ClassDefinition, ClassError, ClassProfile};
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

/// Why settings can't be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AdmissionSettingsError {
    /// A setting is out of its range.
    #[error("expected settings: {name} {range}, got {value}")]
    OutOfRange {
        /// Path of the setting, with the names of the settings file.
        name: &'static str,
        /// The allowed range, in words.
        range: &'static str,
        /// The rejected value.
        value: f64,
    },
    /// A class lacks a value, or has an unusable one.
    #[error("expected settings: profiles[{class}].{}", .error.text())]
    Class {
        /// Name of the class.
        class: String,
        /// The value.
        error: ClassError,
    },
}

impl Settings {
    /// Checks that a server can serve within the rules by these settings: what a configuration needs besides
    /// its keys before it may come into force.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
    pub fn check(&self) -> Result<(), AdmissionSettingsError> {
        check_positive("number of profiles", self.profiles.len() as f64)?;
        check_positive("rules.tip_multiple", self.rules.max_concurrency_per_core)?;
        // A share above 1 would advertise a negative capacity.
        check_share("rules.cold_share", self.rules.cold_capacity)?;
        check_non_negative("over_share_worth", self.over_quota_weight)?;
        self.specifics.check()?;
        self.tenants.iter().try_for_each(Tenant::check)?;
        self.class_definitions().try_for_each(|definition| {
            let class = || definition.profile.name.clone();
            definition.check().map_err(|error| AdmissionSettingsError::Class { class: class(), error })
        })
    }

    /// The classes, each with its values in the lists that are indexed by class. A class past the end of such
    /// a list makes upstream calls and earns nothing without them.
    pub fn class_definitions(&self) -> impl Iterator<Item = ClassDefinition> + '_ {
        let Specifics { calls_by_class, class_skip_weights, .. } = &self.specifics;
        self.profiles.iter().enumerate().map(|(index, profile)| ClassDefinition {
            profile: profile.clone(),
            calls: calls_by_class.get(index).copied().unwrap_or(true),
            skip_weight: class_skip_weights.get(index).copied().unwrap_or(0.0),
        })
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
        let classes = self.class_definitions().map(Arc::new).collect();
        self.profiles = Vec::new();
        self.specifics.calls_by_class = Vec::new();
        self.specifics.class_skip_weights = Vec::new();
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

type CheckResult = Result<(), AdmissionSettingsError>;

pub(crate) fn check_positive(name: &'static str, value: f64) -> CheckResult {
    check(name, "above 0", value, value > 0.0 && value.is_finite())
}

pub(crate) fn check_non_negative(name: &'static str, value: f64) -> CheckResult {
    check(name, "of 0 or more", value, value >= 0.0 && value.is_finite())
}

fn check_share(name: &'static str, value: f64) -> CheckResult {
    check(name, "from 0 to 1", value, (0.0..=1.0).contains(&value))
}

fn check(name: &'static str, range: &'static str, value: f64, is_usable: bool) -> CheckResult {
    if is_usable { Ok(()) } else { Err(AdmissionSettingsError::OutOfRange { name, range, value }) }
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

impl Tenant {
    fn check(&self) -> CheckResult {
        check_non_negative("customers[].quota_rps", self.quota_rps)?;
        check_non_negative("customers[].portion", self.portion)
    }
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
