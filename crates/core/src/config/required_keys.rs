//! The keys that a configuration file must have although the admission module has defaults for them. The defaults are for
//! hosts that have no such settings. In a file, a key is missing because the file is damaged or incomplete, and a default in
//! its place could break a rule: a server that takes a wrong cost for the memory of a run exceeds its memory.
//!
//! The types here only check that their keys are present. Keys without a default are required by [`super::Config`] itself,
//! and the window of a keyed class by its value ([`gradepin_admission::ClassDefinition::check`]). Optional keys are
//! `aim_stretch` of a class, `passes_deadline`, `admin_addr` and `ledger`, and `customers` at a site without tenants.
#![allow(dead_code, reason = "the fields stand for keys; only their presence matters")]

use serde::Deserialize;
use serde::de::IgnoredAny;

/// A key that must be present with any value.
type Required = IgnoredAny;

/// The required keys of a configuration file.
#[derive(Deserialize)]
pub(super) struct RequiredKeys {
    settings: Settings,
}

impl RequiredKeys {
    /// Whether the tenants are missing although the file weights the service to a tenant.
    pub(super) fn lacks_tenants(&self) -> bool {
        self.settings.customers.is_none() && self.settings.goal.worst_tenant > 0.0
    }
}

#[derive(Deserialize)]
struct Settings {
    servers: Required,
    tier: Required,
    profiles: Vec<Class>,
    customers: Option<Vec<Tenant>>,
    callers: Callers,
    goal: Goal,
    limits: AdviceLimits,
    prices: Prices,
    worth_by: Required,
    over_share_worth: Required,
    rules: Rules,
    specifics: Specifics,
}

#[derive(Deserialize)]
struct Class {
    late_value: Required,
}

#[derive(Deserialize)]
struct Tenant {
    quota_rps: Required,
    portion: Required,
}

#[derive(Deserialize)]
struct Callers {
    marks_retry: Required,
}

#[derive(Deserialize)]
struct Goal {
    whole: Required,
    worst_class: Required,
    worst_tenant: f64,
    worst_window: Required,
}

#[derive(Deserialize)]
struct AdviceLimits {
    max_retry_after: Required,
    retry_after: Required,
}

#[derive(Deserialize)]
struct Prices {
    connection: Required,
    handshake: Required,
    late_fail: Required,
    origin: Required,
    waste: Required,
}

#[derive(Deserialize)]
struct Rules {
    answer_slack: Required,
    cold: Required,
    cold_share: Required,
}

#[derive(Deserialize)]
struct Specifics {
    advert: Required,
    below: Required,
    calls_by_class: Required,
    calls_out: Required,
    class_skip_worth: Required,
    clients_total: Required,
    fresh_for: Required,
    full_checks: Required,
    gauges: Required,
    heeded: Required,
    idle: Required,
    just_started: Required,
    kb_per_key: Required,
    linger: Required,
    list_follows: Required,
    run_factor: Required,
    share_span: Required,
    stop_mode: Required,
    tells_gone: Required,
}
