//! Reads transactions of the configuration from KDL or JSON documents.
//!
//! Both forms use the keys of the configuration file, which are mapped here. In KDL, times are nanoseconds or texts
//! with a unit. Problems of the document are reported with line and column; `gradepin_config` validates the values.

use super::kdl_reader::{Block, RepeatedNode};
use super::problem::{Problem, ProblemKind, Problems};
use gradepin_admission::{Idempotency, Span};
use gradepin_config::document::{ClassEntry, Document, RuleEntries, TenantEntry};
use gradepin_config::{Name, Transaction};
use std::ops::RangeInclusive;

/// Maximum size of a document; a transaction with the maximum number of changes fits.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Unbounded, so that `gradepin_config` alone checks the values.
const ANY: RangeInclusive<f64> = f64::NEG_INFINITY..=f64::INFINITY;
const EFFECTS: [&str; 3] = ["repeatable", "by_key", "once"];

/// The form of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A KDL document, in which times may have a unit.
    Kdl,
    /// A JSON document, in which times are nanoseconds.
    Json,
}

impl Form {
    /// The form of a file according to its extension: JSON for `.json`, KDL otherwise.
    pub fn of(path: &std::path::Path) -> Self {
        let json = path.extension().is_some_and(|extension| extension.eq_ignore_ascii_case("json"));
        if json { Self::Json } else { Self::Kdl }
    }
}

/// Parses a document.
///
/// # Errors
/// All problems of a KDL document, or the first one of a JSON document.
pub fn parse(text: &str, form: Form) -> Result<Transaction, Vec<Problem>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("expected at most {MAX_DOCUMENT_BYTES} bytes, got {}", text.len());
        return Err(vec![Problem { line: 1, column: 1, kind: ProblemKind::Syntax(message) }]);
    }
    match form {
        Form::Kdl => kdl(text),
        Form::Json => json(text),
    }
}

fn json(text: &str) -> Result<Transaction, Vec<Problem>> {
    let document = serde_json::from_str::<Document>(text);
    let problem = |error: serde_json::Error| {
        let text = error.to_string();
        let place = format!(" at line {} column {}", error.line(), error.column());
        let kind = ProblemKind::Syntax(text.strip_suffix(&place).unwrap_or(&text).to_string());
        vec![Problem { line: error.line().max(1), column: error.column().max(1), kind }]
    };
    document.map(Transaction::from).map_err(problem)
}

fn kdl(text: &str) -> Result<Transaction, Vec<Problem>> {
    let problems = Problems::new(text);
    let mut document = Document::default();
    if let Some(mut root) = Block::document(text, &problems) {
        let classes = root.each("class").into_iter();
        document.classes = classes.filter_map(|(name, node)| class(name, node)).collect();
        document.remove_classes = names(&mut root, "remove-class");
        document.tenants = root.each("tenant").into_iter().map(|(name, node)| tenant(name, node)).collect();
        document.remove_tenants = names(&mut root, "remove-tenant");
        document.rules = root.block("rules").map(rules).unwrap_or_default();
        root.end();
    }
    let problems = problems.into_sorted();
    if problems.is_empty() { Ok(document.into()) } else { Err(problems) }
}

fn names(root: &mut Block<'_>, node: &str) -> Vec<Name> {
    let named = root.each(node).into_iter().map(|(name, node)| {
        node.no_block();
        node.end();
        Name::from(name)
    });
    named.collect()
}

/// Adds a problem if a node without a default is missing in a class.
fn required<T>(block: &Block<'_>, name: &str, value: Option<T>) -> Option<T> {
    if value.is_none() && !block.has(name) {
        block.problem(format!("expected {name} in the class"));
    }
    value
}

fn class(name: String, node: RepeatedNode<'_>) -> Option<ClassEntry> {
    let mut block = node.block();
    node.end();
    let effect = match block.choice("effect", &EFFECTS) {
        Some(0) => Some(Idempotency::Idempotent),
        Some(1) => Some(Idempotency::Keyed),
        Some(_) => Some(Idempotency::NonIdempotent),
        None => None,
    };
    let effect = required(&block, "effect", effect);
    let latency_objective = block.time("promise");
    let latency_objective = required(&block, "promise", latency_objective);
    let deadline = block.time("deadline");
    let deadline = required(&block, "deadline", deadline);
    let priority_weight = block.number("worth", ANY);
    let priority_weight = required(&block, "worth", priority_weight);
    let late_value = block.number("late_value", ANY).unwrap_or(0.0);
    let window = block.time("window").unwrap_or(Span(0));
    let objective_stretch = block.number("aim_stretch", ANY).unwrap_or(0.0);
    let calls = block.boolean("calls").unwrap_or(true);
    let skip_weight = block.number("skip_worth", ANY).unwrap_or(0.0);
    block.end();
    Some(ClassEntry {
        name,
        latency_objective: latency_objective?,
        deadline: deadline?,
        effect: effect?,
        priority_weight: priority_weight?,
        late_value,
        window,
        objective_stretch,
        calls,
        skip_weight,
    })
}

fn tenant(name: String, node: RepeatedNode<'_>) -> TenantEntry {
    let mut block = node.block();
    node.end();
    let quota_rps = block.number("quota_rps", ANY).unwrap_or(0.0);
    let portion = block.number("portion", ANY).unwrap_or(0.0);
    block.end();
    TenantEntry { name, quota_rps, portion }
}

fn rules(mut block: Block<'_>) -> RuleEntries {
    let rules = RuleEntries {
        answer_slack: block.time("answer_slack"),
        cold: block.time("cold"),
        cold_capacity: block.number("cold_share", ANY),
        drain_grace: block.time("drain_grace"),
        fall: block.time("fall"),
        max_concurrency_per_core: block.number("tip_multiple", ANY),
        over_quota_weight: block.number("over_share_worth", ANY),
    };
    block.end();
    rules
}

#[cfg(test)]
mod tests;
