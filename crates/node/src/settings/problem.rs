//! What is wrong in a settings file: errors with their place in the text, collected while the file is read.

use std::cell::RefCell;

/// A problem at one place of a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {kind}")]
pub struct Problem {
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// What is wrong.
    pub kind: ProblemKind,
}

/// What is wrong at a place: what was expected, and what was found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The text is no KDL or JSON, or exceeds a bound of the parser.
    #[error("{0}")]
    Syntax(String),
    /// No node of this name is known here.
    #[error("an unknown node '{0}'")]
    UnknownNode(String),
    /// No property of this name is known on this node.
    #[error("an unknown property '{0}'")]
    UnknownProperty(String),
    /// A node occurs twice that may occur once.
    #[error("'{0}' stands twice")]
    DuplicateNode(String),
    /// A node doesn't have the one argument that it needs.
    #[error("expected {name} to be {expected}")]
    WrongArguments {
        /// Name of the node.
        name: String,
        /// What it needs.
        expected: &'static str,
    },
    /// A value has another type or form.
    #[error("expected {name} to be {expected}, got {got}")]
    WrongValue {
        /// Name of the node or property.
        name: String,
        /// What it needs.
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
        /// The least value, inclusive.
        min: String,
        /// The greatest value, inclusive.
        max: String,
        /// The value as written.
        got: String,
    },
    /// A node has children that takes none.
    #[error("expected no children of {0}")]
    ChildrenOf(String),
    /// The same, for a node that may occur several times.
    #[error("expected no children")]
    Children,
    /// A node has arguments or properties that takes children only.
    #[error("expected {0} to have children only")]
    ChildrenOnly(String),
    /// A node that may occur several times doesn't have one text.
    #[error("expected {0} to have one text")]
    OneText(String),
    /// A node has its name of an earlier version; a warning.
    #[error("'{old}' is called '{new}' now; the next version won't take the old name")]
    RenamedNode {
        /// Name of the earlier version.
        old: &'static str,
        /// Name of this version.
        new: &'static str,
    },
    /// Both names of a renamed node occur in one block.
    #[error("'{old}' is the old name of '{new}', which stands here too")]
    OldAndNewName {
        /// Name of the earlier version.
        old: &'static str,
        /// Name of this version.
        new: &'static str,
    },
    /// A value contradicts another, or can't be used for the reason given.
    #[error("{0}")]
    Invalid(String),
}

type Found = RefCell<Vec<(usize, ProblemKind)>>;

/// Problems and warnings by their offset in the text.
pub(super) struct Problems<'t> {
    text: &'t str,
    problems: Found,
    warnings: Found,
}

impl<'t> Problems<'t> {
    /// None yet, of this text.
    pub(super) fn new(text: &'t str) -> Self {
        Self { text, problems: RefCell::default(), warnings: RefCell::default() }
    }

    /// Adds a problem: the file can't be used.
    pub(super) fn add(&self, offset: usize, kind: ProblemKind) {
        self.problems.borrow_mut().push((offset, kind));
    }

    /// Adds a warning: the file can be used.
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

    fn sorted(&self, found: &Found) -> Vec<Problem> {
        let mut found: Vec<(usize, String, ProblemKind)> =
            found.borrow().iter().map(|(offset, kind)| (*offset, kind.to_string(), kind.clone())).collect();
        found.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        found.dedup_by(|a, b| (a.0, &a.1) == (b.0, &b.1));
        let problems = found.into_iter().map(|(offset, _, kind)| problem(self.text, offset, kind));
        problems.collect()
    }
}

/// A problem at an offset of a text, in bytes.
pub(super) fn problem(text: &str, offset: usize, kind: ProblemKind) -> Problem {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    Problem { line, column, kind }
}
