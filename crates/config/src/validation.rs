//! Validation of transactions. [`check_transaction`] runs before a proposal, at its commit, and on every server that applies it.
//! [`check_usable`] runs before a proposal; a server repeats it before it takes a class into force.
//!
//! Its cost is proportional to the size of the transaction, not of the state. It is stricter than the daemon's check of its
//! configuration file: it also rejects a deadline below the latency objective, numbers outside of plausible ranges, and texts
//! above the length limits. As in the file, the portions of all tenants need not sum to 1.
//!
//! Each error names the path in the transaction, what was expected there and what was found.

use crate::change::{
    Change, ClassDefinition, MAX_CHANGES, MAX_CLASSES, MAX_NAME_BYTES, MAX_TENANTS, MAX_TEXT_BYTES, Proposal,
    Rule, Transaction,
};
use crate::chunk::{ChunkNumber, MAX_CHUNK_ENTRIES};
use gradepin_admission::{Span, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::ops::RangeInclusive;

/// The longest deadline, latency objective, window or duration of a rule: one day. A longer value indicates a wrong unit.
pub const MAX_SPAN: Span = Span(86_400_000_000_000);
/// The maximum priority weight of a class.
pub const MAX_PRIORITY_WEIGHT: f64 = 1e9;
/// The maximum quota of a tenant, in requests per second.
pub const MAX_QUOTA_RPS: f64 = 1e9;
/// The maximum of the objective stretch of a class and of the concurrency per core.
pub const MAX_MULTIPLE: f64 = 1e6;

/// Why a transaction or a start file is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: expected {expected}, got {actual}")]
pub struct Invalid {
    /// Where the invalid value is, for example `changes[3].class.label-save.deadline`.
    pub path: String,
    /// The values that are allowed at the path.
    pub expected: String,
    /// The value found at the path.
    #[serde(rename = "came")]
    pub actual: String,
}

impl Invalid {
    /// An error at `path`, where `expected` was required and `actual` was found.
    pub fn new(path: impl Into<String>, expected: impl Into<String>, actual: impl Into<String>) -> Self {
        Self { path: path.into(), expected: expected.into(), actual: actual.into() }
    }
}

/// The parts of the current state that validation depends on.
pub(crate) trait EntryIndex {
    /// Number of classes in force.
    fn class_count(&self) -> usize;
    /// Number of tenants in force.
    fn tenant_count(&self) -> usize;
    /// Whether a class of this name is in force.
    fn has_class(&self, name: &str) -> bool;
    /// Whether a tenant of this name is in force.
    fn has_tenant(&self, name: &str) -> bool;
    /// Number of classes and tenants in one chunk.
    fn chunk_entries(&self, number: ChunkNumber) -> usize;
}

type CheckResult = Result<(), Invalid>;

/// Checks that `count` is at most `max`; `counted` names the counted items in the error.
pub(crate) fn check_max(path: &str, count: usize, max: usize, counted: &str) -> CheckResult {
    if count <= max {
        return Ok(());
    }
    Err(Invalid::new(path, format!("at most {max} {counted}"), count.to_string()))
}

/// Checks that the chunk of a new entry's name has capacity for it.
pub(crate) fn check_chunk_capacity(entries: &dyn EntryIndex, path: &str, name: &str) -> CheckResult {
    let present = entries.chunk_entries(ChunkNumber::of(name));
    check_max(path, present + 1, MAX_CHUNK_ENTRIES, "entries in the chunk of this name")
}

/// Checks the author, reason and request id of a proposal.
pub(crate) fn check_proposal_texts(proposal: &Proposal) -> CheckResult {
    check_text("author", &proposal.author, MAX_NAME_BYTES)?;
    check_text("reason", &proposal.reason, MAX_TEXT_BYTES)?;
    check_text("request_id", &proposal.request_id, MAX_TEXT_BYTES)
}

/// Checks a transaction against the entries of a state.
pub(crate) fn check_transaction(entries: &dyn EntryIndex, transaction: &Transaction) -> CheckResult {
    let changes = &transaction.changes;
    if changes.is_empty() {
        return Err(Invalid::new("changes", "at least one change", "none"));
    }
    check_max("changes", changes.len(), MAX_CHANGES, "changes")?;
    let mut checker = TransactionChecker::new(entries);
    for (index, change) in changes.iter().enumerate() {
        checker.check_change(index, change)?;
    }
    checker.check_totals()
}

/// Checks that requests of each class that a transaction adds or replaces could be served within the rules
/// ([`ClassDefinition::check`]).
pub(crate) fn check_usable(transaction: &Transaction) -> CheckResult {
    for (index, change) in transaction.changes.iter().enumerate() {
        if let Change::PutClass(class) = change {
            class.check().map_err(|error| {
                let path = format!("{}.{}", change_path(index, "class", &class.profile.name), error.key);
                Invalid::new(path, error.range, error.value.to_string())
            })?;
        }
    }
    Ok(())
}

fn change_path(index: usize, kind: &str, name: &str) -> String {
    format!("changes[{index}].{kind}.{}", printable(name))
}

/// Checks the changes of a transaction one by one and tracks how many entries there would be after each.
struct TransactionChecker<'a> {
    entries: &'a dyn EntryIndex,
    /// Kind and name of each entry or rule changed so far; a transaction may change each only once.
    seen: HashSet<(&'static str, &'a str)>,
    /// Number of classes after the changes so far.
    classes: usize,
    /// Number of tenants after the changes so far.
    tenants: usize,
    /// New entries per chunk. Removed entries are not subtracted: real states stay far below the limit per chunk.
    added: HashMap<ChunkNumber, usize>,
}

impl<'a> TransactionChecker<'a> {
    fn new(entries: &'a dyn EntryIndex) -> Self {
        let (classes, tenants) = (entries.class_count(), entries.tenant_count());
        Self { entries, seen: HashSet::new(), classes, tenants, added: HashMap::new() }
    }

    fn check_change(&mut self, index: usize, change: &'a Change) -> CheckResult {
        let (kind, name) = match change {
            Change::PutClass(class) => ("class", class.profile.name.as_str()),
            Change::RemoveClass(name) => ("class", &**name),
            Change::PutTenant(tenant) => ("tenant", tenant.name.as_str()),
            Change::RemoveTenant(name) => ("tenant", &**name),
            Change::PutRule(rule) => ("rule", rule.name()),
        };
        let path = change_path(index, kind, name);
        if !self.seen.insert((kind, name)) {
            return Err(Invalid::new(path, "each name once in a transaction", "the name twice"));
        }
        match change {
            Change::PutClass(new) => {
                check_class(&path, new)?;
                if !self.entries.has_class(name) {
                    self.classes += 1;
                    self.check_added(&path, name)?;
                }
            }
            Change::RemoveClass(_) => {
                check_in_force(&path, self.entries.has_class(name), "class")?;
                self.classes -= 1;
            }
            Change::PutTenant(new) => {
                check_tenant(&path, new)?;
                if !self.entries.has_tenant(name) {
                    self.tenants += 1;
                    self.check_added(&path, name)?;
                }
            }
            Change::RemoveTenant(_) => {
                check_in_force(&path, self.entries.has_tenant(name), "tenant")?;
                self.tenants -= 1;
            }
            Change::PutRule(new) => check_rule(&path, new)?,
        }
        Ok(())
    }

    fn check_added(&mut self, path: &str, name: &str) -> CheckResult {
        let number = ChunkNumber::of(name);
        let added = self.added.entry(number).or_default();
        *added += 1;
        let present = self.entries.chunk_entries(number);
        check_max(path, present + *added, MAX_CHUNK_ENTRIES, "entries in the chunk of this name")
    }

    fn check_totals(&self) -> CheckResult {
        if self.classes == 0 {
            return Err(Invalid::new("changes", "at least one class left", "the last class removed"));
        }
        check_max("changes", self.classes, MAX_CLASSES, "classes in force")?;
        check_max("changes", self.tenants, MAX_TENANTS, "tenants in force")
    }
}

fn check_in_force(path: &str, is_in_force: bool, kind: &str) -> CheckResult {
    if is_in_force {
        Ok(())
    } else {
        Err(Invalid::new(path, format!("a {kind} in force"), "an unknown name"))
    }
}

/// A name for error messages: truncated to [`MAX_NAME_BYTES`] characters, without control characters.
fn printable(name: &str) -> String {
    name.chars().take(MAX_NAME_BYTES).filter(|c| !c.is_control()).collect()
}

fn check_class(path: &str, class: &ClassDefinition) -> CheckResult {
    let profile = &class.profile;
    check_text(path, &profile.name, MAX_NAME_BYTES)?;
    if profile.name.contains(char::is_whitespace) {
        // In the line protocol of the processor, a class name is a single word.
        return Err(Invalid::new(path, "a name without spaces", format!("'{}'", printable(&profile.name))));
    }
    let at = |field: &str| format!("{path}.{field}");
    check_span(&at("promise"), profile.latency_objective, Span(1))?;
    check_span(&at("deadline"), profile.deadline, Span(1))?;
    if profile.deadline < profile.latency_objective {
        let expected = format!("at least the promise of {} ns", profile.latency_objective.0);
        return Err(Invalid::new(at("deadline"), expected, format!("{} ns", profile.deadline.0)));
    }
    check_span(&at("window"), profile.window, Span(0))?;
    check_number(&at("late_value"), profile.late_value, 0.0..=1.0)?;
    check_number(&at("worth"), profile.priority_weight, 0.0..=MAX_PRIORITY_WEIGHT)?;
    check_number(&at("aim_stretch"), profile.objective_stretch, 0.0..=MAX_MULTIPLE)?;
    check_number(&at("skip_worth"), class.skip_weight, 0.0..=1.0)
}

fn check_tenant(path: &str, tenant: &Tenant) -> CheckResult {
    check_text(path, &tenant.name, MAX_NAME_BYTES)?;
    check_number(&format!("{path}.quota_rps"), tenant.quota_rps, 0.0..=MAX_QUOTA_RPS)?;
    check_number(&format!("{path}.portion"), tenant.portion, 0.0..=1.0)
}

fn check_rule(path: &str, rule: &Rule) -> CheckResult {
    match *rule {
        Rule::AnswerSlack(value) | Rule::Cold(value) | Rule::DrainGrace(value) | Rule::Fall(value) => {
            check_span(path, value, Span(0))
        }
        Rule::ColdShare(share) => check_number(path, share, f64::MIN_POSITIVE..=1.0),
        Rule::TipMultiple(multiple) => check_number(path, multiple, f64::MIN_POSITIVE..=MAX_MULTIPLE),
        Rule::OverShareWorth(fraction) => check_number(path, fraction, 0.0..=1.0),
    }
}

fn check_text(path: &str, text: &str, max_bytes: usize) -> CheckResult {
    if text.is_empty() {
        return Err(Invalid::new(path, "a text", "an empty one"));
    }
    check_max(path, text.len(), max_bytes, "bytes of text")?;
    if text.contains(char::is_control) {
        return Err(Invalid::new(path, "no control characters", "one or more"));
    }
    Ok(())
}

fn check_span(path: &str, span: Span, min: Span) -> CheckResult {
    if (min..=MAX_SPAN).contains(&span) {
        return Ok(());
    }
    let expected = format!("from {} to {} ns", min.0, MAX_SPAN.0);
    Err(Invalid::new(path, expected, format!("{} ns", span.0)))
}

fn check_number(path: &str, number: f64, range: RangeInclusive<f64>) -> CheckResult {
    if range.contains(&number) {
        return Ok(());
    }
    let expected = match *range.start() == f64::MIN_POSITIVE {
        true => format!("above 0 and at most {}", range.end()),
        false => format!("from {} to {}", range.start(), range.end()),
    };
    Err(Invalid::new(path, expected, number.to_string()))
}
