//! The one check of transactions: before a proposal, at its commit, and on every server.
//!
//! It costs the size of the transaction. What the daemon takes in its configuration file is taken here too, but for a
//! deadline under the latency target, figures out of any sensible range, and texts past the bounds. That the portions
//! of all tenants sum to 1 is not asked, as the daemon does not ask it of a file.

use crate::change::{
    Change, ClassDefinition, MAX_CHANGES, MAX_CLASSES, MAX_NAME_BYTES, MAX_TENANTS, MAX_TEXT_BYTES, Proposal,
    Rule, Transaction,
};
use crate::chunk::{ChunkNumber, MAX_CHUNK_ENTRIES};
use gradepin_admission::{Span, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::ops::RangeInclusive;

/// The longest span of any kind: a day. Longer ones are units mixed up.
pub const MAX_SPAN: Span = Span(86_400_000_000_000);
/// The greatest worth of a class.
pub const MAX_WORTH: f64 = 1e9;
/// The greatest quota of a tenant, in requests a second.
pub const MAX_QUOTA_RPS: f64 = 1e9;
/// The greatest stretch of a latency target, and of the concurrency that a server survives.
pub const MAX_MULTIPLE: f64 = 1e6;

/// Why a transaction is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: expected {expected}, got {came}")]
pub struct Invalid {
    /// Where, as in `changes[3].class.label-save.deadline`.
    pub path: String,
    /// What may stand there.
    pub expected: String,
    /// What stands there.
    pub came: String,
}

impl Invalid {
    /// An error at a place.
    pub fn new(path: impl Into<String>, expected: impl Into<String>, came: impl Into<String>) -> Self {
        Self { path: path.into(), expected: expected.into(), came: came.into() }
    }
}

/// What validation reads of the state that a transaction would change.
pub(crate) trait EntryIndex {
    /// Classes in force.
    fn class_count(&self) -> usize;
    /// Tenants in force.
    fn tenant_count(&self) -> usize;
    /// Whether a class of this name is in force.
    fn has_class(&self, name: &str) -> bool;
    /// Whether a tenant of this name is in force.
    fn has_tenant(&self, name: &str) -> bool;
    /// Entries, classes and tenants together, in one chunk.
    fn chunk_entries(&self, number: ChunkNumber) -> usize;
}

type Checked = Result<(), Invalid>;

/// A bound on a number of things.
pub(crate) fn at_most(path: &str, count: usize, most: usize, what: &str) -> Checked {
    if count <= most {
        return Ok(());
    }
    Err(Invalid::new(path, format!("at most {most} {what}"), count.to_string()))
}

/// Checks that the chunk of a new name has capacity for one more entry.
pub(crate) fn check_chunk_capacity(entries: &dyn EntryIndex, path: &str, name: &str) -> Checked {
    let present = entries.chunk_entries(ChunkNumber::of(name));
    at_most(path, present + 1, MAX_CHUNK_ENTRIES, "entries whose names hash alike")
}

/// Author, reason and request id of a proposal.
pub(crate) fn texts(proposal: &Proposal) -> Checked {
    text("author", &proposal.author, MAX_NAME_BYTES)?;
    text("reason", &proposal.reason, MAX_TEXT_BYTES)?;
    text("request_id", &proposal.request_id, MAX_TEXT_BYTES)
}

/// A transaction against a state.
pub(crate) fn transaction(entries: &dyn EntryIndex, transaction: &Transaction) -> Checked {
    let changes = &transaction.changes;
    if changes.is_empty() {
        return Err(Invalid::new("changes", "at least one change", "none"));
    }
    at_most("changes", changes.len(), MAX_CHANGES, "changes")?;
    let mut counter = ChangeCounter::new(entries);
    for (index, change) in changes.iter().enumerate() {
        counter.count(index, change)?;
    }
    counter.check_totals()
}

/// What a transaction does to the numbers of entries.
struct ChangeCounter<'a> {
    entries: &'a dyn EntryIndex,
    seen: HashSet<(&'static str, &'a str)>,
    classes: usize,
    tenants: usize,
    /// New entries by chunk; those removed are not taken off, as the bound is far from any real state.
    added: HashMap<ChunkNumber, usize>,
}

impl<'a> ChangeCounter<'a> {
    fn new(entries: &'a dyn EntryIndex) -> Self {
        let (classes, tenants) = (entries.class_count(), entries.tenant_count());
        Self { entries, seen: HashSet::new(), classes, tenants, added: HashMap::new() }
    }

    fn count(&mut self, index: usize, change: &'a Change) -> Checked {
        let (kind, name) = match change {
            Change::PutClass(class) => ("class", class.profile.name.as_str()),
            Change::RemoveClass(name) => ("class", &**name),
            Change::PutTenant(tenant) => ("tenant", tenant.name.as_str()),
            Change::RemoveTenant(name) => ("tenant", &**name),
            Change::PutRule(rule) => ("rule", rule.name()),
        };
        let path = format!("changes[{index}].{kind}.{}", shown(name));
        if !self.seen.insert((kind, name)) {
            return Err(Invalid::new(path, "each name once in a transaction", "the name twice"));
        }
        match change {
            Change::PutClass(new) => {
                class(&path, new)?;
                if !self.entries.has_class(name) {
                    self.classes += 1;
                    self.added(&path, name)?;
                }
            }
            Change::RemoveClass(_) => {
                known(&path, self.entries.has_class(name), "class")?;
                self.classes -= 1;
            }
            Change::PutTenant(new) => {
                tenant(&path, new)?;
                if !self.entries.has_tenant(name) {
                    self.tenants += 1;
                    self.added(&path, name)?;
                }
            }
            Change::RemoveTenant(_) => {
                known(&path, self.entries.has_tenant(name), "tenant")?;
                self.tenants -= 1;
            }
            Change::PutRule(new) => rule(&path, new)?,
        }
        Ok(())
    }

    fn added(&mut self, path: &str, name: &str) -> Checked {
        let number = ChunkNumber::of(name);
        let added = self.added.entry(number).or_default();
        *added += 1;
        let present = self.entries.chunk_entries(number);
        at_most(path, present + *added, MAX_CHUNK_ENTRIES, "entries whose names hash alike")
    }

    fn check_totals(&self) -> Checked {
        if self.classes == 0 {
            return Err(Invalid::new("changes", "at least one class left", "the last class removed"));
        }
        at_most("changes", self.classes, MAX_CLASSES, "classes in force")?;
        at_most("changes", self.tenants, MAX_TENANTS, "tenants in force")
    }
}

fn known(path: &str, known: bool, kind: &str) -> Checked {
    if known { Ok(()) } else { Err(Invalid::new(path, format!("a {kind} in force"), "an unknown name")) }
}

/// A name as it can stand in a path: cut where it is too long.
fn shown(name: &str) -> String {
    name.chars().take(MAX_NAME_BYTES).filter(|c| !c.is_control()).collect()
}

fn class(path: &str, class: &ClassDefinition) -> Checked {
    let profile = &class.profile;
    text(path, &profile.name, MAX_NAME_BYTES)?;
    if profile.name.contains(char::is_whitespace) {
        // A class is a word of a line to the processor.
        return Err(Invalid::new(path, "a name without spaces", format!("'{}'", shown(&profile.name))));
    }
    let at = |field: &str| format!("{path}.{field}");
    span(&at("promise"), profile.latency_objective, Span(1))?;
    span(&at("deadline"), profile.deadline, Span(1))?;
    if profile.deadline < profile.latency_objective {
        let expected = format!("at least the promise of {} ns", profile.latency_objective.0);
        return Err(Invalid::new(at("deadline"), expected, format!("{} ns", profile.deadline.0)));
    }
    span(&at("window"), profile.window, Span(0))?;
    number(&at("late_value"), profile.late_value, 0.0..=1.0)?;
    number(&at("worth"), profile.priority_weight, 0.0..=MAX_WORTH)?;
    number(&at("aim_stretch"), profile.objective_stretch, 0.0..=MAX_MULTIPLE)?;
    number(&at("skip_worth"), class.skip_weight, 0.0..=1.0)
}

fn tenant(path: &str, tenant: &Tenant) -> Checked {
    text(path, &tenant.name, MAX_NAME_BYTES)?;
    number(&format!("{path}.quota_rps"), tenant.quota_rps, 0.0..=MAX_QUOTA_RPS)?;
    number(&format!("{path}.portion"), tenant.portion, 0.0..=1.0)
}

fn rule(path: &str, rule: &Rule) -> Checked {
    match *rule {
        Rule::AnswerSlack(value) | Rule::Cold(value) | Rule::DrainGrace(value) | Rule::Fall(value) => {
            span(path, value, Span(0))
        }
        Rule::ColdShare(share) => number(path, share, f64::MIN_POSITIVE..=1.0),
        Rule::TipMultiple(multiple) => number(path, multiple, f64::MIN_POSITIVE..=MAX_MULTIPLE),
        Rule::OverShareWorth(part) => number(path, part, 0.0..=1.0),
    }
}

fn text(path: &str, text: &str, most: usize) -> Checked {
    if text.is_empty() {
        return Err(Invalid::new(path, "a text", "an empty one"));
    }
    at_most(path, text.len(), most, "bytes of text")?;
    if text.contains(char::is_control) {
        return Err(Invalid::new(path, "no control characters", "one or more"));
    }
    Ok(())
}

fn span(path: &str, span: Span, least: Span) -> Checked {
    if (least..=MAX_SPAN).contains(&span) {
        return Ok(());
    }
    let expected = format!("from {} to {} ns", least.0, MAX_SPAN.0);
    Err(Invalid::new(path, expected, format!("{} ns", span.0)))
}

fn number(path: &str, number: f64, range: RangeInclusive<f64>) -> Checked {
    if range.contains(&number) {
        return Ok(());
    }
    let expected = match *range.start() == f64::MIN_POSITIVE {
        true => format!("above 0 and at most {}", range.end()),
        false => format!("from {} to {}", range.start(), range.end()),
    };
    Err(Invalid::new(path, expected, number.to_string()))
}
