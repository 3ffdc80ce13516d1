//! Changes of the settings in force: a transaction at once, whole or not at all, and a file that was read again in
//! pieces of bounded size, in one order. Each costs by what it changes; nothing here goes through all classes or tenants.
//!
//! Not here: which changes are valid by themselves, which their author's side checks, and where files are read.

use super::{MS, Reducer};
use crate::classes::{Put, Settled};
use crate::messages::{Effect, NameChange};
use crate::reload::Reload;
use gradepin_admission::{ClassDefinition, Settings, Span, Tenant, UpstreamKind};
use gradepin_config::change::{Change, MAX_CLASSES, MAX_TENANTS, Name, Rule, Transaction};
use slog::Level;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Changes of a file that one step applies; 100 changes at once took 0.9 ms in a debug build, at 10,000 classes and 110,000
/// tenants.
const PIECE: usize = 64;
/// Slots of dropped classes that one step looks at.
const SETTLED: usize = 128;
/// Names that the log tells of one kind of change.
const NAMES_TOLD: usize = 8;

/// Why a transaction can't be applied; nothing of it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// It removes a class that is not in force.
    #[error("expected the name of a class in force, got '{0}'")]
    UnknownClass(Name),
    /// It removes a tenant that is not in force.
    #[error("expected the name of a tenant in force, got '{0}'")]
    UnknownTenant(Name),
    /// A class has no name, or a time that must be above 0 is 0.
    #[error("expected a class with a name, a promise and a deadline above 0, got '{0}'")]
    BadClass(Name),
    /// A tenant has no name.
    #[error("expected a tenant with a name")]
    BadTenant,
    /// No class would be left.
    #[error("expected a class that stays, got all removed")]
    NoClass,
    /// More would be in force than may be, or slots that open requests still refer to leave no room.
    #[error("expected room for at most {most} {what}, got {came}")]
    TooMany {
        /// Classes or tenants.
        what: &'static str,
        /// The bound.
        most: usize,
        /// How many there would be.
        came: usize,
    },
    /// A file is being applied; the order of the two would not be told.
    #[error("expected no file being applied, got one at its change {0}")]
    ReloadUnderWay(usize),
}

/// What was applied: classes by what became of them, the first names of each kind, and how many tenants and rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Applied {
    /// Classes that are new.
    pub added: Named,
    /// Classes in force with other figures.
    pub changed: Named,
    /// Classes removed.
    pub dropped: Named,
    /// Classes that were removed before and are back.
    pub back: Named,
    /// Tenants added, changed or removed.
    pub tenants: usize,
    /// Rules set.
    pub rules: usize,
}

/// How many, and the first of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Named {
    /// How many.
    pub count: usize,
    /// The names of the first ones.
    pub first: Vec<String>,
}

impl Named {
    fn add(&mut self, name: &str) {
        self.count += 1;
        if self.first.len() < NAMES_TOLD {
            self.first.push(name.to_string());
        }
    }

    fn text(&self) -> String {
        let more = self.count - self.first.len();
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{:?}{more}", self.first)
    }
}

/// A file that is being applied.
#[derive(Debug)]
struct Pending {
    reload: Box<Reload>,
    next: usize,
    applied: Applied,
}

/// The reducer's books on changes of settings.
#[derive(Debug, Default)]
pub(super) struct Changes {
    pending: Option<Pending>,
    /// Of changes of the names in force; files are compared with those of one number.
    edition: u64,
    /// Classes, tenants and rules come from committed revisions: a file changes all else.
    committed: bool,
    window: Span,
    names: Vec<NameChange>,
}

impl Changes {
    /// At the start, with the longest window of the classes.
    pub(super) fn starting(window: Span) -> Self {
        Self { window, ..Self::default() }
    }

    /// Classes, tenants and rules come from committed revisions.
    pub(super) fn set_committed(&mut self) {
        self.committed = true;
    }

    /// Whether a file is being applied.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }
}

impl Reducer {
    /// Classes, tenants and rules come from committed revisions: a file that is read again changes all else.
    pub fn with_committed_settings(mut self) -> Self {
        self.changes.set_committed();
        self
    }

    /// Applies a transaction, whole or not at all, at a cost that goes by its size. Its effects come with the next step,
    /// which is due at once.
    pub fn apply_transaction(&mut self, transaction: &Transaction) -> Result<Applied, ApplyError> {
        if let Some(pending) = &self.changes.pending {
            return Err(ApplyError::ReloadUnderWay(pending.next));
        }
        self.check_transaction(&transaction.changes)?;
        let mut applied = Applied::default();
        let mut rest = None;
        for change in &transaction.changes {
            if let Change::PutRule(rule) = change {
                set_rule(rest.get_or_insert_with(|| Settings::clone(&self.settings)), *rule);
            }
            self.apply(change, &mut applied);
        }
        if let Some(rest) = rest {
            self.set_rest(rest);
        }
        self.changes.edition += u64::from(!self.changes.names.is_empty());
        self.tell_names();
        self.log_applied(&applied);
        Ok(applied)
    }

    /// Whether every change can be applied in its turn, by the names that the ones before leave.
    fn check_transaction(&self, changes: &[Change]) -> Result<(), ApplyError> {
        let mut classes = Tally::new(self.classes.in_force());
        let mut tenants = Tally::new(self.tenants.in_force());
        for change in changes {
            match change {
                Change::PutClass(class) => {
                    let profile = &class.profile;
                    if profile.name.is_empty() || profile.latency_objective.0 == 0 || profile.deadline.0 == 0
                    {
                        return Err(ApplyError::BadClass(Name::from(profile.name.as_str())));
                    }
                    classes.put(&profile.name, self.classes.knows(&profile.name), || {
                        !self.classes.has_slot(&profile.name)
                    });
                }
                Change::PutTenant(tenant) if tenant.name.is_empty() => return Err(ApplyError::BadTenant),
                Change::PutTenant(tenant) => {
                    tenants.put(&tenant.name, self.tenants.knows(&tenant.name), || {
                        !self.tenants.has_slot(&tenant.name)
                    });
                }
                Change::RemoveClass(name) if !classes.remove(name, self.classes.knows(name)) => {
                    return Err(ApplyError::UnknownClass(Name::clone(name)));
                }
                Change::RemoveTenant(name) if !tenants.remove(name, self.tenants.knows(name)) => {
                    return Err(ApplyError::UnknownTenant(Name::clone(name)));
                }
                Change::RemoveClass(_) | Change::RemoveTenant(_) | Change::PutRule(_) => {}
            }
        }
        if classes.in_force == 0 {
            return Err(ApplyError::NoClass);
        }
        self.check_room(classes.in_force, classes.new, tenants.in_force, tenants.new)
    }

    fn check_room(
        &self,
        classes: usize,
        new_classes: usize,
        tenants: usize,
        new_tenants: usize,
    ) -> Result<(), ApplyError> {
        if classes > MAX_CLASSES || new_classes > self.classes.room() {
            return Err(ApplyError::TooMany { what: "classes", most: MAX_CLASSES, came: classes });
        }
        if tenants > MAX_TENANTS || new_tenants > self.tenants.room() {
            return Err(ApplyError::TooMany { what: "tenants", most: MAX_TENANTS, came: tenants });
        }
        Ok(())
    }

    fn apply(&mut self, change: &Change, applied: &mut Applied) {
        match change {
            Change::PutClass(class) => self.put_class(class, applied),
            Change::RemoveClass(name) => {
                if let Some(slot) = self.classes.remove(self.moment.now, name) {
                    applied.dropped.add(name);
                    let dropped = NameChange::ClassRemoved(Arc::clone(self.classes.defined(slot)));
                    self.changes.names.push(dropped);
                }
            }
            Change::PutTenant(tenant) => self.put_tenant(tenant, applied),
            Change::RemoveTenant(name) => self.remove_tenant(name, applied),
            Change::PutRule(_) => applied.rules += 1,
        }
    }

    fn put_class(&mut self, class: &Arc<ClassDefinition>, applied: &mut Applied) {
        let (slot, put) = self.classes.put(self.moment.now, Arc::clone(class));
        match put {
            Put::Same => return,
            Put::Added => applied.added.add(&class.profile.name),
            Put::Changed => applied.changed.add(&class.profile.name),
            Put::Back => applied.back.add(&class.profile.name),
        }
        self.tell_class(slot);
        self.changes
            .names
            .push(NameChange::Class { handle: self.classes.handle(slot), class: Arc::clone(class) });
    }

    /// The module goes by what holds for the class in a slot now.
    fn tell_class(&mut self, slot: usize) {
        if let Some(controller) = &mut self.controller {
            controller.put_class(slot, Arc::clone(self.classes.get(slot)));
        }
    }

    fn put_tenant(&mut self, tenant: &Arc<Tenant>, applied: &mut Applied) {
        let placed = self.tenants.put(Arc::clone(tenant));
        if placed.put == Put::Same {
            return;
        }
        applied.tenants += 1;
        self.changes.names.extend(placed.gone.map(NameChange::TenantForgotten));
        let handle = self.tenants.handle(placed.slot);
        self.changes.names.push(NameChange::Tenant { handle, tenant: Arc::clone(tenant) });
        self.tell_tenant(placed.slot, tenant.quota_rps, placed.put == Put::Added);
    }

    fn remove_tenant(&mut self, name: &str, applied: &mut Applied) {
        let slot = self.tenants.find(name);
        let tenant = slot.and_then(|slot| self.tenants.get(slot)).map(Arc::clone);
        let (Some(slot), Some(tenant)) = (self.tenants.remove(name), tenant) else { return };
        applied.tenants += 1;
        self.changes.names.push(NameChange::TenantRemoved(tenant));
        // Of no share: the module sets no bound by a quota of 0.
        self.tell_tenant(slot, 0.0, false);
    }

    fn tell_tenant(&mut self, slot: usize, quota_rps: f64, another: bool) {
        self.fleet_tenant_changed(slot);
        if let Some(controller) = &mut self.controller {
            controller.put_tenant(slot, quota_rps, another);
        }
    }

    /// All settings but classes and tenants are these from now on.
    fn set_rest(&mut self, rest: Settings) {
        self.settings = Arc::new(rest);
        if let Some(controller) = &mut self.controller {
            controller.set_rest(Settings::clone(&self.settings));
        }
        self.fleet_retuned();
    }

    /// Tells the shell which names have changed.
    fn tell_names(&mut self) {
        let changes = std::mem::take(&mut self.changes.names);
        if !changes.is_empty() {
            self.effects.push(Effect::UpdateNames { edition: self.changes.edition, changes });
        }
        let window = self.classes.longest_window();
        if window != std::mem::replace(&mut self.changes.window, window) {
            self.effects.push(Effect::SetLongestWindow(window));
        }
    }

    fn log_applied(&mut self, applied: &Applied) {
        let Applied { added, dropped, back, .. } = applied;
        let (added, dropped, back) = (added.text(), dropped.text(), back.text());
        let text = format!("settings in force: classes added {added}, dropped {dropped}, back {back}");
        self.log(Level::Info, text);
    }

    /// A file read at a reload could not be used; the configuration in force stays.
    pub(super) fn reload_refused(&mut self, why: &str) {
        self.tally.reloaded(false);
        self.log(Level::Error, format!("the configuration was turned down, all stays as it was: {why}"));
        self.effects.push(Effect::ReloadFinished);
    }

    /// Takes over what may change while serving; where the classes and tenants can't be taken, nothing of the file is.
    pub(super) fn reload(&mut self, mut reload: Box<Reload>) {
        if self.changes.committed {
            reload.changes.clear();
            (reload.new_classes, reload.new_tenants) = (0, 0);
        } else if let Err(why) = self.check_reload(&reload) {
            return self.reload_refused(&why);
        }
        self.changes.pending = Some(Pending { reload, next: 0, applied: Applied::default() });
        self.reload_step();
    }

    fn check_reload(&self, reload: &Reload) -> Result<(), String> {
        if self.changes.pending.is_some() {
            return Err("expected the file before to be in force, got another".into());
        }
        if reload.compared_at != self.changes.edition {
            return Err("expected a file compared with what is in force, got a change since".into());
        }
        self.check_room(0, reload.new_classes, 0, reload.new_tenants).map_err(|why| why.to_string())
    }

    /// Applies the next piece of a file; with the last one it is in force.
    pub(super) fn reload_step(&mut self) {
        let Some(mut pending) = self.changes.pending.take() else { return };
        let end = pending.reload.changes.len().min(pending.next + PIECE);
        for place in pending.next..end {
            self.apply(&pending.reload.changes[place], &mut pending.applied);
        }
        pending.next = end;
        let done = end == pending.reload.changes.len();
        self.changes.edition += u64::from(!self.changes.names.is_empty());
        self.tell_names();
        if done {
            self.reloaded(*pending.reload, &pending.applied);
        } else {
            self.changes.pending = Some(pending);
        }
    }

    /// The classes and tenants of a file are in force; the rest of it now is too.
    fn reloaded(&mut self, reload: Reload, applied: &Applied) {
        let mut config = reload.config;
        self.tally.reloaded(true);
        let called = self.settings.specifics.below == UpstreamKind::Shared;
        let mut rest = std::mem::take(&mut config.settings);
        if self.changes.committed {
            rest.rules = self.settings.rules.clone();
            rest.over_quota_weight = self.settings.over_quota_weight;
            let text = "classes, tenants and rules hold as committed; the file's are not used";
            self.log(Level::Info, text.into());
        }
        self.set_rest(rest);
        self.log_applied(applied);
        if (&config.name, config.listen) != (&self.config.name, self.config.listen) {
            self.log(Level::Warning, "a new name or address to listen on takes a restart".into());
        }
        if config.processor != self.config.processor {
            self.effects.push(Effect::SetProcessorAddress(config.processor));
        }
        if config.control != self.config.control {
            self.effects.push(Effect::SetControlAddress(config.control));
        }
        let calls = self.settings.specifics.below == UpstreamKind::Shared;
        let moved = |ledger: &SocketAddr| Some(*ledger) != self.config.ledger || (calls && !called);
        if let Some(ledger) = config.ledger.filter(moved) {
            // Calls out to the old address end there; new ones go to the new.
            self.effects.push(Effect::SetUpstreamAddress(ledger));
            self.config.ledger = Some(ledger);
        }
        // The new control plane is to hear of this server at once, whether or not it knows the old one's list.
        self.changed();
        self.drain.stop = Span(config.stop_ms.saturating_mul(MS));
        let (processor, control) = (config.processor, config.control);
        self.log(Level::Info, format!("reloaded: the processor is at {processor}, control at {control}"));
        (self.config.processor, self.config.control) = (processor, control);
        self.effects.push(Effect::ReloadFinished);
    }

    /// Frees the slots of dropped classes that nothing refers to, and has classes that were keyed be so no more once their
    /// windows are past; whether more are due.
    pub(super) fn settle_classes(&mut self) -> bool {
        if !self.events.is_empty() {
            // Of requests that are over here and not yet in the module's books.
            return false;
        }
        for settled in self.classes.settle(self.moment.now, SETTLED) {
            match settled {
                Settled::Freed(slot, class) => {
                    self.fleet_class_gone(slot);
                    self.changes.names.push(NameChange::ClassForgotten(class));
                    self.tell_class(slot);
                }
                Settled::Unkeyed(slot) => self.tell_class(slot),
            }
        }
        self.tell_names();
        self.classes.is_due(self.moment.now)
    }
}

/// The names in force as the changes of a transaction leave them, without a copy of those it leaves alone.
struct Tally<'a> {
    in_force: usize,
    /// Names that had no slot.
    new: usize,
    touched: HashMap<&'a str, bool>,
}

impl<'a> Tally<'a> {
    fn new(in_force: usize) -> Self {
        Self { in_force, new: 0, touched: HashMap::new() }
    }

    fn put(&mut self, name: &'a str, known: bool, without_slot: impl FnOnce() -> bool) {
        match self.touched.insert(name, true) {
            Some(before) => self.in_force += usize::from(!before),
            None => {
                self.in_force += usize::from(!known);
                self.new += usize::from(without_slot());
            }
        }
    }

    /// Whether there was one of this name.
    fn remove(&mut self, name: &'a str, known: bool) -> bool {
        let there = self.touched.insert(name, false).unwrap_or(known);
        self.in_force -= usize::from(there);
        there
    }
}

fn set_rule(settings: &mut Settings, rule: Rule) {
    let rules = &mut settings.rules;
    match rule {
        Rule::AnswerSlack(span) => rules.answer_slack = span,
        Rule::Cold(span) => rules.cold = span,
        Rule::ColdShare(share) => rules.cold_capacity = share,
        Rule::DrainGrace(span) => rules.drain_grace = span,
        Rule::Fall(span) => rules.fall = span,
        Rule::TipMultiple(multiple) => rules.max_concurrency_per_core = multiple,
        Rule::OverShareWorth(priority_weight) => settings.over_quota_weight = priority_weight,
    }
}
