//! The JSON form of a transaction that operators write, with the keys of the configuration file.
//!
//! The order within a document is irrelevant because each name may occur only once. A class or tenant in a document completely
//! replaces the one of the same name. Field names are part of the interface; a field that is renamed here keeps its JSON name
//! through a serde attribute.

use crate::change::{Change, ClassDefinition, Name, Rule, Transaction};
use gradepin_admission::{ClassProfile, Idempotency, Span, Tenant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Changes of classes, tenants and rules. Unknown keys are rejected, so that a mistyped key doesn't silently leave a default in
/// place.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Classes to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<ClassEntry>,
    /// Names of classes to remove.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub remove_classes: Vec<Name>,
    /// Tenants to add or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantEntry>,
    /// Names of tenants to remove.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub remove_tenants: Vec<Name>,
    /// Rules to set.
    #[serde(skip_serializing_if = "RuleEntries::is_empty")]
    pub rules: RuleEntries,
}

/// A class, with the fields of [`ClassProfile`]. Durations are in nanoseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ClassEntry {
    pub name: String,
    #[serde(rename = "promise")]
    pub latency_objective: Span,
    pub deadline: Span,
    pub effect: Idempotency,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    #[serde(default)]
    pub late_value: f64,
    #[serde(default)]
    pub window: Span,
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: f64,
    /// Whether requests of the class make upstream calls (`specifics.calls_by_class` in the configuration file).
    #[serde(default = "default_calls")]
    pub calls: bool,
    /// The value of a skipped request, from 0 to 1 (`specifics.class_skip_worth` in the configuration file).
    #[serde(default)]
    #[serde(rename = "skip_worth")]
    pub skip_weight: f64,
}

/// A tenant, with the fields of [`Tenant`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct TenantEntry {
    pub name: String,
    #[serde(default)]
    pub quota_rps: f64,
    #[serde(default)]
    pub portion: f64,
}

/// Rules, one field per variant of [`Rule`]. Absent rules are not changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RuleEntries {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_slack: Option<Span>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Span>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cold_share")]
    pub cold_capacity: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drain_grace: Option<Span>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fall: Option<Span>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tip_multiple")]
    pub max_concurrency_per_core: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: Option<f64>,
}

fn default_calls() -> bool {
    true
}

impl RuleEntries {
    fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// The rules that are present, in the order of the fields.
    pub fn iter(&self) -> impl Iterator<Item = Rule> {
        let all = [
            self.answer_slack.map(Rule::AnswerSlack),
            self.cold.map(Rule::Cold),
            self.cold_capacity.map(Rule::ColdShare),
            self.drain_grace.map(Rule::DrainGrace),
            self.fall.map(Rule::Fall),
            self.max_concurrency_per_core.map(Rule::TipMultiple),
            self.over_quota_weight.map(Rule::OverShareWorth),
        ];
        all.into_iter().flatten()
    }

    fn set(&mut self, rule: Rule) {
        match rule {
            Rule::AnswerSlack(span) => self.answer_slack = Some(span),
            Rule::Cold(span) => self.cold = Some(span),
            Rule::ColdShare(share) => self.cold_capacity = Some(share),
            Rule::DrainGrace(span) => self.drain_grace = Some(span),
            Rule::Fall(span) => self.fall = Some(span),
            Rule::TipMultiple(multiple) => self.max_concurrency_per_core = Some(multiple),
            Rule::OverShareWorth(fraction) => self.over_quota_weight = Some(fraction),
        }
    }
}

impl From<ClassEntry> for ClassDefinition {
    fn from(entry: ClassEntry) -> Self {
        let profile = ClassProfile {
            name: entry.name,
            latency_objective: entry.latency_objective,
            deadline: entry.deadline,
            effect: entry.effect,
            late_value: entry.late_value,
            window: entry.window,
            priority_weight: entry.priority_weight,
            objective_stretch: entry.objective_stretch,
        };
        Self { profile, calls: entry.calls, skip_weight: entry.skip_weight }
    }
}

impl From<&ClassDefinition> for ClassEntry {
    fn from(class: &ClassDefinition) -> Self {
        let profile = class.profile.clone();
        Self {
            name: profile.name,
            latency_objective: profile.latency_objective,
            deadline: profile.deadline,
            effect: profile.effect,
            priority_weight: profile.priority_weight,
            late_value: profile.late_value,
            window: profile.window,
            objective_stretch: profile.objective_stretch,
            calls: class.calls,
            skip_weight: class.skip_weight,
        }
    }
}

impl From<TenantEntry> for Tenant {
    fn from(entry: TenantEntry) -> Self {
        Self { name: entry.name, quota_rps: entry.quota_rps, portion: entry.portion }
    }
}

impl From<&Tenant> for TenantEntry {
    fn from(tenant: &Tenant) -> Self {
        Self { name: tenant.name.clone(), quota_rps: tenant.quota_rps, portion: tenant.portion }
    }
}

impl From<Document> for Transaction {
    /// Orders rules first, then classes, then tenants; for each kind, removals come last.
    fn from(document: Document) -> Self {
        let class = |entry| Change::PutClass(Arc::new(ClassDefinition::from(entry)));
        let tenant = |entry| Change::PutTenant(Arc::new(Tenant::from(entry)));
        let mut changes: Vec<Change> = document.rules.iter().map(Change::PutRule).collect();
        changes.extend(document.classes.into_iter().map(class));
        changes.extend(document.remove_classes.into_iter().map(Change::RemoveClass));
        changes.extend(document.tenants.into_iter().map(tenant));
        changes.extend(document.remove_tenants.into_iter().map(Change::RemoveTenant));
        Self { changes }
    }
}

impl From<&Transaction> for Document {
    fn from(transaction: &Transaction) -> Self {
        let mut document = Self::default();
        for change in &transaction.changes {
            match change {
                Change::PutClass(class) => document.classes.push((&**class).into()),
                Change::RemoveClass(name) => document.remove_classes.push(Arc::clone(name)),
                Change::PutTenant(tenant) => document.tenants.push((&**tenant).into()),
                Change::RemoveTenant(name) => document.remove_tenants.push(Arc::clone(name)),
                Change::PutRule(rule) => document.rules.set(*rule),
            }
        }
        document
    }
}
