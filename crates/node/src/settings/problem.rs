//! Problems of a settings file with their position in the text, collected while the file is read.

use std::cell::RefCell;

/// A problem at one position of a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {kind}")]
pub struct Problem {
    /// Number of the line, from 1.
    pub line: usize,
    /// Number of the character in the line, from 1.
    pub column: usize,
    /// Kind of the problem, with the expected and the actual value.
    pub kind: ProblemKind,
}

/// A kind of problem, with the expected and the actual value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The text is no KDL or JSON, or exceeds a limit of the parser.
    #[error("{0}")]
    Syntax(String),
    /// No node of this name is known here.
    #[error("an unknown node '{0}'")]
    UnknownNode(String),
    /// No property of this name is known on this node.
    #[error("an unknown property '{0}'")]
    UnknownProperty(String),
    /// A node that must be unique occurs twice.
    #[error("'{0}' occurs twice")]
    DuplicateNode(String),
    /// A node doesn't have exactly one argument.
    #[error("expected {name} to be {expected}")]
    WrongArguments {
        /// Name of the node.
        name: String,
        /// Description of the argument.
        expected: &'static str,
    },
    /// A value has the wrong type or format.
    #[error("expected {name} to be {expected}, got {got}")]
    WrongValue {
        /// Name of the node or property.
        name: String,
        /// Description of a valid value.
        expected: &'static str,
        /// The value as written.
        got: String,
    },
    /// A value is none of the known words.
    #[error("expected {name} {expected}, got {got}")]
    UnknownWord {
        /// Name of the node.
        name: String,
        /// The known words, quoted.
        expected: String,
        /// The value as written.
        got: String,
    },
    /// A number is out of range.
    #[error("expected {name} from {min} to {max}, got {got}")]
    OutOfRange {
        /// Name of the node.
        name: String,
        /// The minimum, inclusive.
        min: String,
        /// The maximum, inclusive.
        max: String,
        /// The value as written.
        got: String,
    },
    /// A unique node must have no children, but has some.
    #[error("expected no children of {0}")]
    ChildrenOf(String),
    /// A repeatable node must have no children, but has some.
    #[error("expected no children")]
    Children,
    /// A node that may only have children has arguments or properties.
    #[error("expected {0} to have children only")]
    ChildrenOnly(String),
    /// A repeatable node doesn't have exactly one text as argument.
    #[error("expected {0} to have one text")]
    OneText(String),
    /// A node has the name of an earlier version; a warning.
    #[error("'{old}' was renamed to '{new}'; the next version will reject the old name")]
    RenamedNode {
        /// Name of the earlier version.
        old: &'static str,
        /// Name of this version.
        new: &'static str,
    },
    /// Both names of a renamed node occur in one block.
    #[error("'{old}' is the old name of '{new}', which is present too")]
    OldAndNewName {
        /// Name of the earlier version.
        old: &'static str,
        /// Name of this version.
        new: &'static str,
    },
    /// A value contradicts another one or is invalid for the given reason.
    #[error("{0}")]
    Invalid(String),
}

type ProblemList = RefCell<Vec<(usize, ProblemKind)>>;

/// Problems and warnings with their offsets in the text.
pub(super) struct Problems<'t> {
    text: &'t str,
    problems: ProblemList,
    warnings: ProblemList,
}

impl<'t> Problems<'t> {
    /// Creates an empty collection for this text.
    pub(super) fn new(text: &'t str) -> Self {
        Self { text, problems: RefCell::default(), warnings: RefCell::default() }
    }

    /// Adds a problem, which makes the file unusable.
    pub(super) fn add(&self, offset: usize, kind: ProblemKind) {
        self.problems.borrow_mut().push((offset, kind));
    }

    /// Adds a warning; the file can still be used.
    pub(super) fn warn(&self, offset: usize, kind: ProblemKind) {
        self.warnings.borrow_mut().push((offset, kind));
    }

    /// The warnings, in the order of the text.
    pub(super) fn warnings(&self) -> Vec<Problem> {
        self.sorted(&self.warnings)
    }

    /// The problems, in the order of the text.
    pub(super) fn into_sorted(self) -> Vec<Problem> {
        self.sorted(&self.problems)
    }

    fn sorted(&self, found: &ProblemList) -> Vec<Problem> {
        let mut found: Vec<(usize, String, ProblemKind)> =
            found.borrow().iter().map(|(offset, kind)| (*offset, kind.to_string(), kind.clone())).collect();
        found.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        found.dedup_by(|a, b| (a.0, &a.1) == (b.0, &b.1));
        let problems = found.into_iter().map(|(offset, _, kind)| problem(self.text, offset, kind));
        problems.collect()
    }
}

/// Creates the problem at a byte offset of a text.
pub(super) fn problem(text: &str, offset: usize, kind: ProblemKind) -> Problem {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    Problem { line, column, kind }
}
