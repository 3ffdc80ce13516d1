//! What a transaction or a settings file changed, and why a transaction can't be applied.

use gradepin_config::change::Name;

/// Names that a log line lists of one kind of change.
const MAX_LISTED_NAMES: usize = 8;

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
    #[error("expected a class with a name, a latency objective and a deadline above 0, got '{0}'")]
    BadClass(Name),
    /// A tenant has no name.
    #[error("expected a tenant with a name")]
    BadTenant,
    /// No class would be left.
    #[error("expected a class that stays, got all removed")]
    NoClass,
    /// More would be in force than may be, or slots that open requests still refer to leave no capacity.
    #[error("expected capacity for at most {max} {what}, got {got}")]
    TooMany {
        /// Classes or tenants.
        what: &'static str,
        /// How many may be in force.
        max: usize,
        /// How many would be.
        got: usize,
    },
    /// A settings file is being applied, and the order of the two would be undefined.
    #[error("expected no file being applied, got one at its change {0}")]
    ReloadUnderWay(usize),
}

/// What a transaction or a file changed: classes by kind of change, and counts of tenants and rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ApplySummary {
    /// Classes that are new.
    pub added: NameList,
    /// Classes in force with another definition.
    pub changed: NameList,
    /// Classes that were removed.
    pub removed: NameList,
    /// Classes that had been removed and are in force again.
    pub restored: NameList,
    /// Count of tenants added, changed or removed.
    pub tenants: usize,
    /// Count of rules set.
    pub rules: usize,
}

/// A count of names, and the first [`MAX_LISTED_NAMES`] of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NameList {
    /// How many names.
    pub count: usize,
    /// The first ones.
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

    /// The listed names, and how many more there are, for the log.
    pub(super) fn text(&self) -> String {
        let more = self.count - self.first.len();
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{:?}{more}", self.first)
    }
}

/// How many names would be in force, and how many of them need a new slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct NameDemand {
    /// Names in force.
    pub(super) in_force: usize,
    /// Names that have no slot.
    pub(super) new: usize,
}
