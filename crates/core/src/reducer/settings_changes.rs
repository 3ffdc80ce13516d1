//! Changes of the active settings: a transaction is applied completely in one step, or not at all.
//!
//! Owns the edition of the active names and the name changes that the shell is to learn. The cost of a change depends
//! only on its own size: nothing here iterates over all classes or tenants. The author's side checks whether a change
//! is valid by itself; reloads of the settings file are handled in [`super::settings_reload`].

use super::Reducer;
use super::apply_summary::{ApplyError, ApplySummary, NameDemand};
use super::settings_reload::PendingReload;
use crate::classes::{PutResult, SlotExpiry};
use crate::messages::{Effect, NameChange};
use gradepin_admission::{ClassDefinition, Settings, Span, Tenant};
use gradepin_config::change::{Change, MAX_CLASSES, MAX_TENANTS, Name, Rule, Transaction};
use slog::Level;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of removed classes' slots that one step checks.
const MAX_RELEASES_PER_STEP: usize = 128;

/// Pending changes of the active settings, and what the shell knows of the active names.
#[derive(Debug, Default)]
pub(super) struct SettingsChanges {
    /// The reload that is being applied.
    pub(super) reload: Option<PendingReload>,
    /// Number of the latest change of the active names. A settings file is compared with the names of one edition.
    pub(super) edition: u64,
    /// Whether classes, tenants and rules come from committed revisions; a settings file then changes everything else.
    pub(super) is_committed: bool,
    /// The longest idempotency window, as last sent to the shell.
    longest_window: Span,
    /// Name changes that were not sent to the shell yet.
    name_changes: Vec<NameChange>,
}

impl SettingsChanges {
    /// Creates the initial state with the longest idempotency window of the classes.
    pub(super) fn new(longest_window: Span) -> Self {
        Self { longest_window, ..Self::default() }
    }

    /// Has classes, tenants and rules come from committed revisions from now on.
    pub(super) fn set_committed(&mut self) {
        self.is_committed = true;
    }

    pub(super) fn is_reloading(&self) -> bool {
        self.reload.is_some()
    }

    /// Begins a new edition if names have changed since the last one.
    pub(super) fn end_edition(&mut self) {
        self.edition += u64::from(!self.name_changes.is_empty());
    }
}

impl Reducer {
    /// Configures a server whose classes, tenants and rules come from committed revisions. A reload of the settings
    /// file then changes everything else.
    pub fn with_committed_settings(mut self) -> Self {
        self.settings_changes.set_committed();
        self
    }

    /// Applies a transaction completely or not at all. Its cost depends on the size of the transaction. Its effects are
    /// returned by the next step, which is due at once.
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
        self.bring_stop_forward();
        self.log_summary(&summary);
        Ok(summary)
    }

    /// Checks that every change can be applied, given the names that the preceding changes leave in force.
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

    /// Checks that the names that would be in force, and the slots that new names need, are within the limits.
    pub(super) fn check_slots(&self, classes: NameDemand, tenants: NameDemand) -> Result<(), ApplyError> {
        if classes.in_force > MAX_CLASSES || classes.new > self.classes.free_slots() {
            return Err(ApplyError::TooMany { kind: "classes", max: MAX_CLASSES, got: classes.in_force });
        }
        if tenants.in_force > MAX_TENANTS || tenants.new > self.tenants.free_slots() {
            return Err(ApplyError::TooMany { kind: "tenants", max: MAX_TENANTS, got: tenants.in_force });
        }
        Ok(())
    }

    /// Applies one change and adds it to the summary. The caller applies rules, all at once.
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
            PutResult::Unchanged => return,
            PutResult::Added => summary.added.add(&class.profile.name),
            PutResult::Changed => summary.changed.add(&class.profile.name),
            PutResult::Restored => summary.restored.add(&class.profile.name),
        }
        self.put_admission_class(slot);
        let handle = self.classes.handle(slot);
        self.settings_changes.name_changes.push(NameChange::Class { handle, class: Arc::clone(class) });
    }

    fn remove_class(&mut self, name: &str, summary: &mut ApplySummary) {
        let Some(slot) = self.classes.remove(self.timestamp.now, name) else { return };
        summary.removed.add(name);
        let class = Arc::clone(self.classes.configured(slot));
        self.settings_changes.name_changes.push(NameChange::ClassRemoved(class));
    }

    /// Passes the class in a slot on to the admission module, by its effective definition.
    fn put_admission_class(&mut self, slot: usize) {
        if let Some(controller) = &mut self.controller {
            controller.put_class(slot, Arc::clone(self.classes.get(slot)));
        }
    }

    fn put_tenant(&mut self, tenant: &Arc<Tenant>, summary: &mut ApplySummary) {
        let placed = self.tenants.put(Arc::clone(tenant));
        if placed.put == PutResult::Unchanged {
            return;
        }
        summary.tenants += 1;
        let forgotten = placed.evicted.map(NameChange::TenantForgotten);
        self.settings_changes.name_changes.extend(forgotten);
        let handle = self.tenants.handle(placed.slot);
        self.settings_changes.name_changes.push(NameChange::Tenant { handle, tenant: Arc::clone(tenant) });
        self.put_admission_tenant(placed.slot, tenant.quota_rps, placed.put == PutResult::Added);
    }

    fn remove_tenant(&mut self, name: &str, summary: &mut ApplySummary) {
        let slot = self.tenants.find(name);
        let tenant = slot.and_then(|slot| self.tenants.get(slot)).map(Arc::clone);
        let (Some(slot), Some(tenant)) = (self.tenants.remove(name), tenant) else { return };
        summary.tenants += 1;
        self.settings_changes.name_changes.push(NameChange::TenantRemoved(tenant));
        // The admission module does not limit a tenant whose quota is 0.
        self.put_admission_tenant(slot, 0.0, false);
    }

    /// Passes the quota of the tenant in a slot on to the admission module. `is_another` says whether the slot held
    /// another tenant before.
    fn put_admission_tenant(&mut self, slot: usize, quota_rps: f64, is_another: bool) {
        self.forget_reported_quota(slot);
        if let Some(controller) = &mut self.controller {
            controller.put_tenant(slot, quota_rps, is_another);
        }
    }

    /// Replaces all settings except classes and tenants.
    pub(super) fn replace_settings(&mut self, settings: Settings) {
        self.settings = Arc::new(settings);
        if let Some(controller) = &mut self.controller {
            controller.set_global_settings(Settings::clone(&self.settings));
        }
        self.cluster_settings_changed();
    }

    /// Sends the shell the names that have changed and, if it has changed, the longest idempotency window.
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

    pub(super) fn log_summary(&mut self, summary: &ApplySummary) {
        let ApplySummary { added, removed, restored, .. } = summary;
        let (added, removed, restored) = (added.text(), removed.text(), restored.text());
        let text = format!("settings changed: classes added {added}, removed {removed}, restored {restored}");
        self.log(Level::Info, text);
    }

    /// Frees the slots of removed classes that nothing refers to. Classes that are no longer keyed stop being treated
    /// as keyed once their windows are over. Returns whether more slots are due.
    pub(super) fn release_class_slots(&mut self) -> bool {
        if !self.events.is_empty() {
            // Pending events of requests that are already closed here still refer to slots.
            return false;
        }
        for expired in self.classes.expire_slots(self.timestamp.now, MAX_RELEASES_PER_STEP) {
            match expired {
                SlotExpiry::Freed(slot, class) => {
                    self.forget_run_time_estimate(slot);
                    self.settings_changes.name_changes.push(NameChange::ClassForgotten(class));
                    self.put_admission_class(slot);
                }
                SlotExpiry::Unkeyed(slot) => self.put_admission_class(slot),
            }
        }
        self.publish_names();
        self.classes.is_due(self.timestamp.now)
    }
}

/// Tracks the names in force while a transaction is checked, without copying those that it doesn't change.
struct NameTally<'a> {
    in_force: usize,
    /// Number of names that need a new slot.
    new: usize,
    /// Whether each name that the transaction changes is in force after the changes so far.
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

    /// Removes a name; returns whether it was in force.
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
    if class.profile.name.is_empty() {
        return Err(ApplyError::UnnamedClass);
    }
    let name = || Name::from(class.profile.name.as_str());
    class.check().map_err(|error| ApplyError::UnusableClass { class: name(), error })
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
