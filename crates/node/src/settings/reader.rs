//! Takes a KDL document apart, and keeps what is wrong with it.

use super::{Problem, kdl_text};
use gradepin_admission::Span;
use kdl::{KdlNode, KdlValue};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// A node's name of an earlier version, which is taken for one version more.
#[derive(Debug, Clone, Copy)]
pub struct OldName {
    /// As it was called.
    pub old: &'static str,
    /// As it is called.
    pub new: &'static str,
}

/// What is wrong, by the place in the text; and what is taken though it is out of date.
pub struct Problems<'t> {
    text: &'t str,
    found: RefCell<Vec<(usize, String)>>,
    warnings: RefCell<Vec<(usize, String)>>,
}

impl<'t> Problems<'t> {
    pub fn new(text: &'t str) -> Self {
        Self { text, found: RefCell::default(), warnings: RefCell::default() }
    }

    fn add(&self, offset: usize, what: impl Into<String>) {
        self.found.borrow_mut().push((offset, what.into()));
    }

    fn warn(&self, offset: usize, what: String) {
        self.warnings.borrow_mut().push((offset, what));
    }

    /// What is taken though it is out of date, in the order of the text.
    pub fn warnings(&self) -> Vec<Problem> {
        self.placed(self.warnings.borrow().clone())
    }

    /// What is wrong, in the order of the text.
    pub fn into_sorted(self) -> Vec<Problem> {
        self.placed(self.found.borrow().clone())
    }

    fn placed(&self, mut found: Vec<(usize, String)>) -> Vec<Problem> {
        found.sort();
        found.dedup();
        let told = found.into_iter().map(|(offset, what)| {
            let (line, column) = kdl_text::place(self.text, offset);
            Problem { line, column, what }
        });
        told.collect()
    }
}

/// The nodes of a document or between a node's braces. Each is taken by its name; what is left at the end is unknown.
pub struct Block<'p> {
    nodes: Vec<KdlNode>,
    taken: BTreeSet<usize>,
    at: usize,
    problems: &'p Problems<'p>,
}

/// A node that may stand several times.
pub struct Repeated<'p> {
    node: KdlNode,
    properties: BTreeSet<String>,
    problems: &'p Problems<'p>,
}

fn offset(node: &KdlNode) -> usize {
    // The span of a node takes in what stands before it on its line.
    node.name().span().offset()
}

impl<'p> Block<'p> {
    /// The whole document; none if it is no KDL.
    pub fn document(text: &str, problems: &'p Problems<'p>) -> Option<Self> {
        match kdl_text::parse(text) {
            Ok(document) => Some(Self::of(document.nodes().to_vec(), 0, problems)),
            Err(faults) => {
                faults.into_iter().for_each(|fault| problems.add(fault.offset, fault.what));
                None
            }
        }
    }

    fn of(nodes: Vec<KdlNode>, at: usize, problems: &'p Problems<'p>) -> Self {
        Self { nodes, taken: BTreeSet::new(), at, problems }
    }

    /// Something is wrong with the block itself.
    pub fn problem(&self, what: &str) {
        self.problems.add(self.at, what);
    }

    /// Takes nodes by their names of an earlier version too, each with a warning; call it before anything is read. Both
    /// names of one node in a block are a problem, as it is not told which of them counts.
    pub fn accept_old_names(&mut self, names: &[OldName]) {
        for OldName { old, new } in names {
            let has_new = self.has(new);
            for node in self.nodes.iter_mut().filter(|node| node.name().value() == *old) {
                let at = offset(node);
                if has_new {
                    self.problems
                        .add(at, format!("'{old}' is the old name of '{new}', which stands here too"));
                } else {
                    let what =
                        format!("'{old}' is called '{new}' now; the next version won't take the old name");
                    self.problems.warn(at, what);
                }
                // The name changes within the identifier, which keeps its place in the text.
                node.name_mut().set_value(*new);
            }
        }
    }

    /// Whether a node of the name stands here, right or wrong.
    pub fn has(&self, name: &str) -> bool {
        self.nodes.iter().any(|node| node.name().value() == name)
    }

    fn take(&mut self, name: &str) -> Option<KdlNode> {
        let mut found = None;
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.name().value() == name) {
            self.taken.insert(n);
            if found.is_some() {
                self.problems.add(offset(node), format!("'{name}' stands twice"));
            } else {
                found = Some(node.clone());
            }
        }
        found
    }

    /// The node's one argument.
    fn value(&mut self, name: &str, what: &str) -> Option<(usize, KdlValue)> {
        let node = self.take(name)?;
        if node.children().is_some() {
            self.problems.add(offset(&node), format!("expected no children of {name}"));
        }
        match node.entries() {
            [one] if one.name().is_none() => Some((offset(&node), one.value().clone())),
            _ => {
                self.problems.add(offset(&node), format!("expected {name} to be {what}"));
                None
            }
        }
    }

    fn wrong<T>(&self, at: usize, name: &str, what: &str, value: &KdlValue) -> Option<T> {
        self.problems.add(at, format!("expected {name} to be {what}, got {}", shown(value)));
        None
    }

    /// A whole number in a range.
    pub fn whole(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let (at, value) = self.value(name, "one whole number")?;
        let Some(number) = value.as_integer() else {
            return self.wrong(at, name, "a whole number", &value);
        };
        let found = u64::try_from(number).ok().filter(|number| range.contains(number));
        if found.is_none() {
            let (least, most) = (range.start(), range.end());
            self.problems.add(at, format!("expected {name} from {least} to {most}, got {number}"));
        }
        found
    }

    /// A text that is not empty.
    pub fn word(&mut self, name: &str) -> Option<String> {
        let (at, value) = self.value(name, "one word")?;
        match value.as_string().filter(|text| !text.is_empty()) {
            Some(text) => Some(text.to_string()),
            None => self.wrong(at, name, "a word", &value),
        }
    }

    /// One of some words, by its place among them.
    pub fn choice(&mut self, name: &str, words: &[&str]) -> Option<usize> {
        let (at, value) = self.value(name, "one word")?;
        let place = value.as_string().and_then(|text| words.iter().position(|word| *word == text));
        if place.is_none() {
            let words: Vec<String> = words.iter().map(|word| format!("{word:?}")).collect();
            let what = format!("expected {name} {}, got {}", words.join(" or "), shown(&value));
            self.problems.add(at, what);
        }
        place
    }

    /// Milliseconds.
    pub fn span_ms(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<Span> {
        self.whole(name, range).map(|ms| Span(ms * 1_000_000))
    }

    /// A part of a whole.
    pub fn share(&mut self, name: &str) -> Option<f64> {
        self.number(name, 0.0..=1.0)
    }

    /// A number.
    pub fn number(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let (at, value) = self.value(name, "one number")?;
        let number = value.as_float().or(value.as_integer().map(|whole| whole as f64));
        match number {
            Some(number) if range.contains(&number) => Some(number),
            Some(_) => {
                let (least, most) = (range.start(), range.end());
                self.problems
                    .add(at, format!("expected {name} from {least} to {most}, got {}", shown(&value)));
                None
            }
            None => self.wrong(at, name, "a number", &value),
        }
    }

    /// A time: a whole number of nanoseconds, or a text with a unit, as in "250ms".
    pub fn time(&mut self, name: &str) -> Option<Span> {
        const WHAT: &str = "nanoseconds, or a time as in \"250ms\" or \"4s\"";
        let (at, value) = self.value(name, WHAT)?;
        let whole = value.as_integer().and_then(|number| u64::try_from(number).ok()).map(Span);
        match whole.or_else(|| value.as_string().and_then(time_with_unit)) {
            Some(time) => Some(time),
            None => self.wrong(at, name, WHAT, &value),
        }
    }

    pub fn truth(&mut self, name: &str) -> Option<bool> {
        let (at, value) = self.value(name, "#true or #false")?;
        match value.as_bool() {
            Some(truth) => Some(truth),
            None => self.wrong(at, name, "#true or #false", &value),
        }
    }

    pub fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let (at, value) = self.value(name, "one address")?;
        match value.as_string().and_then(|text| text.parse().ok()) {
            Some(address) => Some(address),
            None => self.wrong(at, name, "IP:PORT", &value),
        }
    }

    /// A node with children.
    pub fn block(&mut self, name: &str) -> Option<Block<'p>> {
        let node = self.take(name)?;
        if !node.entries().is_empty() {
            self.problems.add(offset(&node), format!("expected {name} to have children only"));
        }
        let nodes = node.children().map_or_else(Vec::new, |children| children.nodes().to_vec());
        Some(Self::of(nodes, offset(&node), self.problems))
    }

    /// All nodes of a name, each with its one argument, a text.
    pub fn each(&mut self, name: &str) -> Vec<(String, Repeated<'p>)> {
        let mut all = Vec::new();
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.name().value() == name) {
            self.taken.insert(n);
            let arguments: Vec<&KdlValue> = node
                .entries()
                .iter()
                .filter(|entry| entry.name().is_none())
                .map(|entry| entry.value())
                .collect();
            match arguments[..] {
                [KdlValue::String(text)] => {
                    let properties = BTreeSet::new();
                    all.push((
                        text.clone(),
                        Repeated { node: node.clone(), properties, problems: self.problems },
                    ));
                }
                _ => self.problems.add(offset(node), format!("expected {name} to have one text")),
            }
        }
        all
    }

    /// The names of all nodes, each once.
    pub fn names(&self) -> BTreeSet<String> {
        self.nodes.iter().map(|node| node.name().value().to_string()).collect()
    }

    /// All nodes, names and their one text each.
    pub fn rest_as_words(&mut self) -> Vec<(String, String)> {
        self.names().into_iter().filter_map(|name| Some((name.clone(), self.word(&name)?))).collect()
    }

    /// Whatever was not taken is unknown.
    pub fn end(self) {
        for (n, node) in self.nodes.iter().enumerate() {
            if !self.taken.contains(&n) {
                self.problems.add(offset(node), format!("an unknown node '{}'", node.name().value()));
            }
        }
    }
}

impl<'p> Repeated<'p> {
    /// What stands between its braces.
    pub fn block(&self) -> Block<'p> {
        let nodes = self.node.children().map_or_else(Vec::new, |children| children.nodes().to_vec());
        Block::of(nodes, offset(&self.node), self.problems)
    }

    /// Nothing may stand between braces.
    pub fn no_block(&self) {
        if self.node.children().is_some() {
            self.problem("expected no children");
        }
    }

    /// A property that is a text.
    pub fn property(&mut self, name: &str) -> Option<String> {
        self.properties.insert(name.to_string());
        let value = self.node.get(name)?;
        match value.as_string() {
            Some(text) => Some(text.to_string()),
            None => {
                self.problem(&format!("expected {name} to be a text, got {}", shown(value)));
                None
            }
        }
    }

    /// Something is wrong with the node.
    pub fn problem(&self, what: &str) {
        self.problems.add(offset(&self.node), what);
    }

    /// Whatever property was not asked for is unknown.
    pub fn end_properties(self) {
        for name in self.node.entries().iter().filter_map(|entry| entry.name()) {
            if !self.properties.contains(name.value()) {
                self.problem(&format!("an unknown property '{}'", name.value()));
            }
        }
    }
}

/// A time as in `4s`, `250ms`, `10us` or `7ns`, with a whole number.
fn time_with_unit(text: &str) -> Option<Span> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let nanoseconds = match &text[digits.len()..] {
        "s" => 1_000_000_000,
        "ms" => 1_000_000,
        "us" => 1_000,
        "ns" => 1,
        _ => return None,
    };
    digits.parse::<u64>().ok()?.checked_mul(nanoseconds).map(Span)
}

/// A value as it would be written.
fn shown(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => format!("{text:?}"),
        KdlValue::Float(number) => format!("{number:?}"),
        other => other.to_string(),
    }
}
