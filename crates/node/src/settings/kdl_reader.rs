//! Reads typed values from the nodes of a KDL document and collects problems.
//!
//! Each reader returns `None` if a node is absent or invalid; an invalid node adds a problem. Every node must be read
//! by its name: nodes that are left at [`Block::end`] are unknown, which is a problem too. Names of an earlier version
//! are mapped with [`OldName`] before anything is read.

use super::kdl_text;
use super::problem::{ProblemKind, Problems};
use gradepin_admission::Span;
use kdl::{KdlNode, KdlValue};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Spans have nanoseconds, most settings milliseconds.
pub(super) const NANOSECONDS_PER_MS: u64 = 1_000_000;

const TIME: &str = "nanoseconds, or a time as in \"250ms\" or \"4s\"";
const BOOLEAN: &str = "#true or #false";

/// A name of the previous version, which this version still accepts.
#[derive(Debug, Clone, Copy)]
pub(super) struct OldName {
    /// Name in the previous version.
    pub old: &'static str,
    /// Name in this version.
    pub new: &'static str,
}

/// The nodes of a document, or the children of a node.
pub(super) struct Block<'p> {
    nodes: Vec<KdlNode>,
    /// Indexes of the nodes that were read.
    read: BTreeSet<usize>,
    /// Byte offset of the block in the text.
    offset: usize,
    problems: &'p Problems<'p>,
}

/// A repeatable node with one text as argument, and properties.
pub(super) struct RepeatedNode<'p> {
    node: KdlNode,
    /// Names of the properties that were read.
    read: BTreeSet<String>,
    problems: &'p Problems<'p>,
}

/// The only argument of a node, and the offset of the node.
struct Argument {
    offset: usize,
    value: KdlValue,
}

/// Offset of a node's name. The span of the node itself includes the space before it.
fn offset(node: &KdlNode) -> usize {
    node.name().span().offset()
}

fn children(node: &KdlNode) -> Vec<KdlNode> {
    node.children().map_or_else(Vec::new, |children| children.nodes().to_vec())
}

impl<'p> Block<'p> {
    /// Parses the nodes of a document; `None` if the text is no KDL.
    pub(super) fn document(text: &str, problems: &'p Problems<'p>) -> Option<Self> {
        match kdl_text::parse(text) {
            Ok(document) => Some(Self::new(document.nodes().to_vec(), 0, problems)),
            Err(errors) => {
                for error in errors {
                    problems.add(error.offset, ProblemKind::Syntax(error.message));
                }
                None
            }
        }
    }

    fn new(nodes: Vec<KdlNode>, offset: usize, problems: &'p Problems<'p>) -> Self {
        Self { nodes, read: BTreeSet::new(), offset, problems }
    }

    /// Adds a problem at the position of the block.
    pub(super) fn problem(&self, text: impl Into<String>) {
        self.problems.add(self.offset, ProblemKind::Invalid(text.into()));
    }

    /// Accepts nodes with names of the previous version too, each with a warning; must be called before anything is
    /// read. The old and the new name in the same block are a problem, because either value could be intended.
    pub(super) fn accept_old_names(&mut self, names: &[OldName]) {
        for &OldName { old, new } in names {
            let has_new = self.has(new);
            for node in self.nodes.iter_mut().filter(|node| node.name().value() == old) {
                let offset = offset(node);
                if has_new {
                    self.problems.add(offset, ProblemKind::OldAndNewName { old, new });
                } else {
                    self.problems.warn(offset, ProblemKind::RenamedNode { old, new });
                }
                // The identifier keeps its span in the text.
                node.name_mut().set_value(new);
            }
        }
    }

    /// Whether the block has a node of this name, valid or not.
    pub(super) fn has(&self, name: &str) -> bool {
        self.nodes.iter().any(|node| node.name().value() == name)
    }

    /// The node of this name; adds a problem for each further one.
    fn node(&mut self, name: &str) -> Option<KdlNode> {
        let mut first = None;
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.name().value() == name) {
            self.read.insert(index);
            if first.is_some() {
                self.problems.add(offset(node), ProblemKind::DuplicateNode(name.into()));
            } else {
                first = Some(node.clone());
            }
        }
        first
    }

    /// The only argument of a node.
    fn argument(&mut self, name: &str, expected: &'static str) -> Option<Argument> {
        let node = self.node(name)?;
        let offset = offset(&node);
        if node.children().is_some() {
            self.problems.add(offset, ProblemKind::ChildrenOf(name.into()));
        }
        match node.entries() {
            [entry] if entry.name().is_none() => Some(Argument { offset, value: entry.value().clone() }),
            _ => {
                self.problems.add(offset, ProblemKind::WrongArguments { name: name.into(), expected });
                None
            }
        }
    }

    /// Adds a problem if an argument could not be converted to a value.
    fn check_value<T>(
        &self,
        name: &str,
        expected: &'static str,
        argument: &Argument,
        value: Option<T>,
    ) -> Option<T> {
        if value.is_none() {
            let (name, got) = (name.to_string(), shown(&argument.value));
            self.problems.add(argument.offset, ProblemKind::WrongValue { name, expected, got });
        }
        value
    }

    /// Reads an integer in a range.
    pub(super) fn integer(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let argument = self.argument(name, "one whole number")?;
        let number = self.check_value(name, "a whole number", &argument, argument.value.as_integer())?;
        let in_range = u64::try_from(number).ok().filter(|number| range.contains(number));
        if in_range.is_none() {
            let (min, max) = (range.start().to_string(), range.end().to_string());
            let (name, got) = (name.to_string(), number.to_string());
            self.problems.add(argument.offset, ProblemKind::OutOfRange { name, min, max, got });
        }
        in_range
    }

    /// Reads a text that is not empty.
    pub(super) fn text(&mut self, name: &str) -> Option<String> {
        let argument = self.argument(name, "one word")?;
        let text = argument.value.as_string().filter(|text| !text.is_empty()).map(String::from);
        self.check_value(name, "a word", &argument, text)
    }

    /// Reads one of `words` and returns its index among them.
    pub(super) fn choice(&mut self, name: &str, words: &[&str]) -> Option<usize> {
        let argument = self.argument(name, "one word")?;
        let index = argument.value.as_string().and_then(|text| words.iter().position(|word| *word == text));
        if index.is_none() {
            let words: Vec<String> = words.iter().map(|word| format!("{word:?}")).collect();
            let (expected, got) = (words.join(" or "), shown(&argument.value));
            let kind = ProblemKind::UnknownWord { name: name.into(), expected, got };
            self.problems.add(argument.offset, kind);
        }
        index
    }

    /// Reads a time in milliseconds.
    pub(super) fn milliseconds(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<Span> {
        self.integer(name, range).map(|ms| Span(ms * NANOSECONDS_PER_MS))
    }

    /// Reads a fraction from 0 to 1.
    pub(super) fn fraction(&mut self, name: &str) -> Option<f64> {
        self.number(name, 0.0..=1.0)
    }

    /// Reads a number in a range.
    pub(super) fn number(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let argument = self.argument(name, "one number")?;
        let number = argument.value.as_float().or(argument.value.as_integer().map(|integer| integer as f64));
        let number = self.check_value(name, "a number", &argument, number)?;
        if !range.contains(&number) {
            let (min, max) = (range.start().to_string(), range.end().to_string());
            let (name, got) = (name.to_string(), shown(&argument.value));
            self.problems.add(argument.offset, ProblemKind::OutOfRange { name, min, max, got });
            return None;
        }
        Some(number)
    }

    /// Reads a time: an integer in nanoseconds, or a text with a unit, as in "250ms".
    pub(super) fn time(&mut self, name: &str) -> Option<Span> {
        let argument = self.argument(name, TIME)?;
        let nanoseconds = argument.value.as_integer().and_then(|number| u64::try_from(number).ok());
        let time = nanoseconds.map(Span).or_else(|| argument.value.as_string().and_then(time_with_unit));
        self.check_value(name, TIME, &argument, time)
    }

    /// Reads a boolean.
    pub(super) fn boolean(&mut self, name: &str) -> Option<bool> {
        let argument = self.argument(name, BOOLEAN)?;
        self.check_value(name, BOOLEAN, &argument, argument.value.as_bool())
    }

    /// Reads an IP address with a port.
    pub(super) fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let argument = self.argument(name, "one address")?;
        let address = argument.value.as_string().and_then(|text| text.parse().ok());
        self.check_value(name, "IP:PORT", &argument, address)
    }

    /// Returns the children of a node, which must have nothing else.
    pub(super) fn block(&mut self, name: &str) -> Option<Block<'p>> {
        let node = self.node(name)?;
        let offset = offset(&node);
        if !node.entries().is_empty() {
            self.problems.add(offset, ProblemKind::ChildrenOnly(name.into()));
        }
        Some(Self::new(children(&node), offset, self.problems))
    }

    /// All nodes of this name, each with its only argument, a text.
    pub(super) fn each(&mut self, name: &str) -> Vec<(String, RepeatedNode<'p>)> {
        let mut all = Vec::new();
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.name().value() == name) {
            self.read.insert(index);
            let arguments = node.entries().iter().filter(|entry| entry.name().is_none());
            let arguments: Vec<&KdlValue> = arguments.map(|entry| entry.value()).collect();
            let [KdlValue::String(text)] = arguments[..] else {
                self.problems.add(offset(node), ProblemKind::OneText(name.into()));
                continue;
            };
            let node = RepeatedNode { node: node.clone(), read: BTreeSet::new(), problems: self.problems };
            all.push((text.clone(), node));
        }
        all
    }

    /// The names of all nodes, without duplicates.
    pub(super) fn names(&self) -> BTreeSet<String> {
        self.nodes.iter().map(|node| node.name().value().to_string()).collect()
    }

    /// Reads all nodes, each of which must have one text.
    pub(super) fn texts_by_name(&mut self) -> Vec<(String, String)> {
        self.names().into_iter().filter_map(|name| Some((name.clone(), self.text(&name)?))).collect()
    }

    /// Ends reading and adds a problem for each node that was not read.
    pub(super) fn end(self) {
        for (index, node) in self.nodes.iter().enumerate() {
            if !self.read.contains(&index) {
                let name = node.name().value().to_string();
                self.problems.add(offset(node), ProblemKind::UnknownNode(name));
            }
        }
    }
}

impl<'p> RepeatedNode<'p> {
    /// Returns the children of the node.
    pub(super) fn block(&self) -> Block<'p> {
        Block::new(children(&self.node), offset(&self.node), self.problems)
    }

    /// Adds a problem if the node has children.
    pub(super) fn no_block(&self) {
        if self.node.children().is_some() {
            self.problems.add(offset(&self.node), ProblemKind::Children);
        }
    }

    /// Reads a property that is a text.
    pub(super) fn property(&mut self, name: &str) -> Option<String> {
        self.read.insert(name.to_string());
        let value = self.node.get(name)?;
        let text = value.as_string().map(String::from);
        if text.is_none() {
            let (name, expected, got) = (name.to_string(), "a text", shown(value));
            let kind = ProblemKind::WrongValue { name, expected, got };
            self.problems.add(offset(&self.node), kind);
        }
        text
    }

    /// Adds a problem at the position of the node.
    pub(super) fn problem(&self, text: impl Into<String>) {
        self.problems.add(offset(&self.node), ProblemKind::Invalid(text.into()));
    }

    /// Ends reading and adds a problem for each property that was not read.
    pub(super) fn end(self) {
        for name in self.node.entries().iter().filter_map(|entry| entry.name()) {
            if !self.read.contains(name.value()) {
                let kind = ProblemKind::UnknownProperty(name.value().to_string());
                self.problems.add(offset(&self.node), kind);
            }
        }
    }
}

/// Parses a time with an integer and a unit, as in `4s`, `250ms`, `10us` or `7ns`.
fn time_with_unit(text: &str) -> Option<Span> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit_ns = match &text[digits.len()..] {
        "s" => 1_000_000_000,
        "ms" => 1_000_000,
        "us" => 1_000,
        "ns" => 1,
        _ => return None,
    };
    digits.parse::<u64>().ok()?.checked_mul(unit_ns).map(Span)
}

/// Formats a value in KDL.
fn shown(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => format!("{text:?}"),
        KdlValue::Float(number) => format!("{number:?}"),
        other => other.to_string(),
    }
}
