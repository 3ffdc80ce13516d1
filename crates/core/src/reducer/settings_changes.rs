//! Changes of the active settings: a transaction is applied at once and completely, or not at all.
//!
//! Owns the edition of the active names and the name changes that the shell is to learn. A change costs by its own size;
//! nothing here goes through all classes or tenants. Not here: which changes are valid by themselves, which their author's side
//! checks, and settings files that are read again ([`super::settings_reload`]).

use super::Reducer;
use super::apply_summary::{ApplyError, ApplySummary, NameDemand};
use super::settings_reload::PendingReload;
use crate::classes::{Put, Settled};
use crate::messages::{Effect, NameChange};
use gradepin_admission::{ClassDefinition, Settings, Span, Tenant};
use gradepin_config::change::{Change, MAX_CLASSES, MAX_TENANTS, Name, Rule, Transaction};
use slog::Level;
use std::collections::HashMap;
use std::sync::Arc;

/// Slots of removed classes that one step looks at.
const MAX_RELEASES_PER_STEP: usize = 128;

/// Changes of the active settings that are under way, and what the shell knows of the active names.
#[derive(Debug, Default)]
pub(super) struct SettingsChanges {
    /// The settings file that is being applied.
    pub(super) reload: Option<PendingReload>,
    /// Number of the last change of the active names. A settings file is compared with the names of one edition.
    pub(super) edition: u64,
    /// Whether classes, tenants and rules come from committed revisions: a settings file changes all else.
    pub(super) is_committed: bool,
    /// The longest idempotency window that the shell was given.
    longest_window: Span,
    /// Changes of names for the shell, not sent yet.
    name_changes: Vec<NameChange>,
}

impl SettingsChanges {
    /// At the start, with the longest idempotency window of the classes.
    pub(super) fn new(longest_window: Span) -> Self {
        Self { longest_window, ..Self::default() }
    }

    /// Classes, tenants and rules come from committed revisions from now on.
    pub(super) fn set_committed(&mut self) {
        self.is_committed = true;
    }

    /// Whether a settings file is being applied.
    pub(super) fn is_reloading(&self) -> bool {
        self.reload.is_some()
    }

    /// Begins a new edition if names have changed since the last one.
    pub(super) fn end_edition(&mut self) {
        self.edition += u64::from(!self.name_changes.is_empty());
    }
}

impl Reducer {
    /// Classes, tenants and rules come from committed revisions: a settings file that is read again changes all else.
    pub fn with_committed_settings(mut self) -> Self {
        self.settings_changes.set_committed();
        self
    }

    /// Applies a transaction completely or not at all, at a cost that goes by its size. Its effects come with the next step,
    /// which is due at once.
    pub fn apply_transaction(&mut self, transaction: &Transaction) -> Result<ApplySummary, ApplyError> {
        if let Some(reload) = &self.settings_changes.reload {
            return Err(ApplyError::ReloadUnderWay(reload.applied_changes));
        }
        self.check_transaction(&transaction.changes)?;
        let mut summary = ApplySummary::default();
        let mut settings = None;
        for change in &transaction.changes {
            if let Change::PutRule(rule) = change {
                set_rule(settings.get_or_insert_with(|| Settings::clone(&self.settings)), *rule);
            }
            self.apply(change, &mut summary);
        }
        if let Some(settings) = settings {
            self.replace_settings(settings);
        }
        self.settings_changes.end_edition();
        self.publish_names();
        self.log_summary(&summary);
        Ok(summary)
    }

    /// Whether every change can be applied, by the names that the ones before it leave.
    fn check_transaction(&self, changes: &[Change]) -> Result<(), ApplyError> {
        let mut classes = NameTally::new(self.classes.in_force());
        let mut tenants = NameTally::new(self.tenants.in_force());
        for change in changes {
            match change {
                Change::PutClass(class) => {
                    check_class(class)?;
                    let name = &class.profile.name;
                    classes.put(name, self.classes.is_in_force(name), || !self.classes.has_slot(name));
                }
                Change::PutTenant(tenant) if tenant.name.is_empty() => return Err(ApplyError::BadTenant),
                Change::PutTenant(tenant) => {
                    let name = &tenant.name;
                    tenants.put(name, self.tenants.is_in_force(name), || !self.tenants.has_slot(name));
                }
                Change::RemoveClass(name) if !classes.remove(name, self.classes.is_in_force(name)) => {
                    return Err(ApplyError::UnknownClass(Name::clone(name)));
                }
                Change::RemoveTenant(name) if !tenants.remove(name, self.tenants.is_in_force(name)) => {
                    return Err(ApplyError::UnknownTenant(Name::clone(name)));
                }
                Change::RemoveClass(_) | Change::RemoveTenant(_) | Change::PutRule(_) => {}
            }
        }
        if classes.in_force == 0 {
            return Err(ApplyError::NoClass);
        }
        self.check_slots(classes.demand(), tenants.demand())
    }

    /// Whether the names that would be in force, and the slots that new ones need, are within the bounds.
    pub(super) fn check_slots(&self, classes: NameDemand, tenants: NameDemand) -> Result<(), ApplyError> {
        if classes.in_force > MAX_CLASSES || classes.new > self.classes.free_slots() {
            return Err(ApplyError::TooMany { what: "classes", max: MAX_CLASSES, got: classes.in_force });
        }
        if tenants.in_force > MAX_TENANTS || tenants.new > self.tenants.free_slots() {
            return Err(ApplyError::TooMany { what: "tenants", max: MAX_TENANTS, got: tenants.in_force });
        }
        Ok(())
    }

    /// Applies one change; rules are applied by the caller, all at once.
    pub(super) fn apply(&mut self, change: &Change, summary: &mut ApplySummary) {
        match change {
            Change::PutClass(class) => self.put_class(class, summary),
            Change::RemoveClass(name) => self.remove_class(name, summary),
            Change::PutTenant(tenant) => self.put_tenant(tenant, summary),
            Change::RemoveTenant(name) => self.remove_tenant(name, summary),
            Change::PutRule(_) => summary.rules += 1,
        }
    }

    fn put_class(&mut self, class: &Arc<ClassDefinition>, summary: &mut ApplySummary) {
        let (slot, put) = self.classes.put(self.timestamp.now, Arc::clone(class));
        match put {
            Put::Same => return,
            Put::Added => summary.added.add(&class.profile.name),
            Put::Changed => summary.changed.add(&class.profile.name),
            Put::Back => summary.restored.add(&class.profile.name),
        }
        self.put_admission_class(slot);
        let handle = self.classes.handle(slot);
        self.settings_changes.name_changes.push(NameChange::Class { handle, class: Arc::clone(class) });
    }

    fn remove_class(&mut self, name: &str, summary: &mut ApplySummary) {
        let Some(slot) = self.classes.remove(self.timestamp.now, name) else { return };
        summary.removed.add(name);
        let class = Arc::clone(self.classes.defined(slot));
        self.settings_changes.name_changes.push(NameChange::ClassRemoved(class));
    }

    /// Gives the admission module the class that holds in a slot now.
    fn put_admission_class(&mut self, slot: usize) {
        if let Some(controller) = &mut self.controller {
            controller.put_class(slot, Arc::clone(self.classes.get(slot)));
        }
    }

    fn put_tenant(&mut self, tenant: &Arc<Tenant>, summary: &mut ApplySummary) {
        let placed = self.tenants.put(Arc::clone(tenant));
        if placed.put == Put::Same {
            return;
        }
        summary.tenants += 1;
        let forgotten = placed.evicted.map(NameChange::TenantForgotten);
        self.settings_changes.name_changes.extend(forgotten);
        let handle = self.tenants.handle(placed.slot);
        self.settings_changes.name_changes.push(NameChange::Tenant { handle, tenant: Arc::clone(tenant) });
        self.put_admission_tenant(placed.slot, tenant.quota_rps, placed.put == Put::Added);
    }

    fn remove_tenant(&mut self, name: &str, summary: &mut ApplySummary) {
        let slot = self.tenants.find(name);
        let tenant = slot.and_then(|slot| self.tenants.get(slot)).map(Arc::clone);
        let (Some(slot), Some(tenant)) = (self.tenants.remove(name), tenant) else { return };
        summary.tenants += 1;
        self.settings_changes.name_changes.push(NameChange::TenantRemoved(tenant));
        // Without a quota: the admission module bounds no tenant by a quota of 0.
        self.put_admission_tenant(slot, 0.0, false);
    }

    /// Gives the admission module the quota of the tenant in a slot, and whether it is another tenant than before.
    fn put_admission_tenant(&mut self, slot: usize, quota_rps: f64, is_another: bool) {
        self.forget_reported_quota(slot);
        if let Some(controller) = &mut self.controller {
            controller.put_tenant(slot, quota_rps, is_another);
        }
    }

    /// Replaces all settings but classes and tenants.
    pub(super) fn replace_settings(&mut self, settings: Settings) {
        self.settings = Arc::new(settings);
        if let Some(controller) = &mut self.controller {
            controller.set_global_settings(Settings::clone(&self.settings));
        }
        self.cluster_settings_changed();
    }

    /// Sends the shell the names that have changed, and the longest idempotency window if that has.
    pub(super) fn publish_names(&mut self) {
        let changes = std::mem::take(&mut self.settings_changes.name_changes);
        if !changes.is_empty() {
            self.effects.push(Effect::UpdateNames { edition: self.settings_changes.edition, changes });
        }
        let window = self.classes.longest_window();
        if window != std::mem::replace(&mut self.settings_changes.longest_window, window) {
            self.effects.push(Effect::SetLongestWindow(window));
        }
    }

    /// Logs what was applied.
    pub(super) fn log_summary(&mut self, summary: &ApplySummary) {
        let ApplySummary { added, removed, restored, .. } = summary;
        let (added, removed, restored) = (added.text(), removed.text(), restored.text());
        let text = format!("settings in force: classes added {added}, dropped {removed}, back {restored}");
        self.log(Level::Info, text);
    }

    /// Frees the slots of removed classes that nothing refers to, and ends the idempotency of classes that are keyed no more
    /// once their windows are over. Returns whether more are due.
    pub(super) fn release_class_slots(&mut self) -> bool {
        if !self.events.is_empty() {
            // Events of requests that are closed here and not yet handled by the admission module refer to slots.
            return false;
        }
        for settled in self.classes.settle(self.timestamp.now, MAX_RELEASES_PER_STEP) {
            match settled {
                Settled::Freed(slot, class) => {
                    self.forget_run_estimate(slot);
                    self.settings_changes.name_changes.push(NameChange::ClassForgotten(class));
                    self.put_admission_class(slot);
                }
                Settled::Unkeyed(slot) => self.put_admission_class(slot),
            }
        }
        self.publish_names();
        self.classes.is_due(self.timestamp.now)
    }
}

/// The names in force as the changes of a transaction leave them, without a copy of those that it doesn't touch.
struct NameTally<'a> {
    in_force: usize,
    /// Names that had no slot.
    new: usize,
    /// Whether each name that the transaction touches is in force after the changes so far.
    touched: HashMap<&'a str, bool>,
}

impl<'a> NameTally<'a> {
    fn new(in_force: usize) -> Self {
        Self { in_force, new: 0, touched: HashMap::new() }
    }

    fn put(&mut self, name: &'a str, known: bool, without_slot: impl FnOnce() -> bool) {
        match self.touched.insert(name, true) {
            Some(was_in_force) => self.in_force += usize::from(!was_in_force),
            None => {
                self.in_force += usize::from(!known);
                self.new += usize::from(without_slot());
            }
        }
    }

    /// Returns whether a name was in force.
    fn remove(&mut self, name: &'a str, known: bool) -> bool {
        let was_in_force = self.touched.insert(name, false).unwrap_or(known);
        self.in_force -= usize::from(was_in_force);
        was_in_force
    }

    fn demand(&self) -> NameDemand {
        NameDemand { in_force: self.in_force, new: self.new }
    }
}

fn check_class(class: &ClassDefinition) -> Result<(), ApplyError> {
    let profile = &class.profile;
    if profile.name.is_empty() || profile.latency_objective.0 == 0 || profile.deadline.0 == 0 {
        return Err(ApplyError::BadClass(Name::from(profile.name.as_str())));
    }
    Ok(())
}

fn set_rule(settings: &mut Settings, rule: Rule) {
    let rules = &mut settings.rules;
    match rule {
        Rule::AnswerSlack(span) => rules.answer_slack = span,
        Rule::Cold(span) => rules.warm_up_time = span,
        Rule::ColdShare(share) => rules.cold_capacity = share,
        Rule::DrainGrace(span) => rules.drain_grace = span,
        Rule::Fall(span) => rules.overload_window = span,
        Rule::TipMultiple(multiple) => rules.max_concurrency_per_core = multiple,
        Rule::OverShareWorth(priority_weight) => settings.over_quota_weight = priority_weight,
    }
}
