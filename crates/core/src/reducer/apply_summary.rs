//! Summary of the changes made by a transaction or a settings file, and the reasons why a transaction can't be applied.

use gradepin_admission::ClassError;
use gradepin_config::change::Name;

/// Maximum number of names of each kind of change that a log line lists.
const MAX_LISTED_NAMES: usize = 8;

/// Why a transaction can't be applied. None of its changes take effect then.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// The transaction removes a class that is not in force.
    #[error("expected the name of a class in force, got '{0}'")]
    UnknownClass(Name),
    /// The transaction removes a tenant that is not in force.
    #[error("expected the name of a tenant in force, got '{0}'")]
    UnknownTenant(Name),
    /// A class has an empty name.
    #[error("expected a class with a name")]
    UnnamedClass,
    /// A class lacks a value, or has an unusable one.
    #[error("class '{class}': {error}")]
    UnusableClass {
        /// Name of the class.
        class: Name,
        /// The value.
        error: ClassError,
    },
    /// A tenant has an empty name.
    #[error("expected a tenant with a name")]
    BadTenant,
    /// No class would remain in force.
    #[error("expected a class that stays, got all removed")]
    NoClass,
    /// More classes or tenants would be in force than allowed, or too few slots are free because open requests still
    /// refer to those of removed names.
    #[error("expected capacity for at most {max} {kind}, got {got}")]
    TooMany {
        /// `"classes"` or `"tenants"`.
        kind: &'static str,
        /// Maximum number in force.
        max: usize,
        /// Number that would be in force.
        got: usize,
    },
    /// A settings file is being applied, so the order of the two changes would be undefined. Holds the number of the
    /// file's changes applied so far.
    #[error("expected no reload in progress, got one at its change {0}")]
    ReloadUnderWay(usize),
}

/// The changes made by a transaction or a settings file: classes by kind of change, and counts of tenants and rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ApplySummary {
    /// New classes.
    pub added: NameList,
    /// Classes whose definition was replaced.
    pub changed: NameList,
    /// Removed classes.
    pub removed: NameList,
    /// Classes that had been removed and are in force again.
    pub restored: NameList,
    /// Number of tenants added, changed or removed.
    pub tenants: usize,
    /// Number of rules set.
    pub rules: usize,
}

/// The number of names, and the first `MAX_LISTED_NAMES` of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NameList {
    /// Number of names, listed or not.
    pub count: usize,
    /// The first `MAX_LISTED_NAMES` names.
    pub first: Vec<String>,
}

impl NameList {
    /// Counts a name, and lists it if it is one of the first.
    pub(super) fn add(&mut self, name: &str) {
        self.count += 1;
        if self.first.len() < MAX_LISTED_NAMES {
            self.first.push(name.to_string());
        }
    }

    /// Formats the listed names and the number of further ones for the log.
    pub(super) fn text(&self) -> String {
        let more = self.count - self.first.len();
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{:?}{more}", self.first)
    }
}

/// The demand of a change: names that would be in force, and new slots that it needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct NameDemand {
    pub(super) in_force: usize,
    /// Names that need a new slot.
    pub(super) new: usize,
}
