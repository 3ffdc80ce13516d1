//! The rules of a configuration: at most one value of each kind, in a fixed order of kinds.

use crate::change::Rule;
use crate::digest::{Digest, StateEntry};
use gradepin_admission::Settings;

/// Kinds of rules.
const KIND_COUNT: usize = 7;

/// The rules that are set.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSet {
    /// By the index of the kind.
    rules: [Option<Rule>; KIND_COUNT],
}

impl Rule {
    /// The key of the rule in documents and messages.
    pub fn name(&self) -> &'static str {
        match self {
            Self::AnswerSlack(_) => "answer_slack",
            Self::Cold(_) => "cold",
            Self::ColdShare(_) => "cold_share",
            Self::DrainGrace(_) => "drain_grace",
            Self::Fall(_) => "fall",
            Self::TipMultiple(_) => "tip_multiple",
            Self::OverShareWorth(_) => "over_share_worth",
        }
    }

    /// The index of the kind of rule.
    fn kind_index(&self) -> usize {
        match self {
            Self::AnswerSlack(_) => 0,
            Self::Cold(_) => 1,
            Self::ColdShare(_) => 2,
            Self::DrainGrace(_) => 3,
            Self::Fall(_) => 4,
            Self::TipMultiple(_) => 5,
            Self::OverShareWorth(_) => 6,
        }
    }

    /// Writes this rule into settings of the admission module.
    pub fn write(&self, settings: &mut Settings) {
        match *self {
            Self::AnswerSlack(span) => settings.rules.answer_slack = span,
            Self::Cold(span) => settings.rules.cold = span,
            Self::ColdShare(share) => settings.rules.cold_capacity = share,
            Self::DrainGrace(span) => settings.rules.drain_grace = span,
            Self::Fall(span) => settings.rules.fall = span,
            Self::TipMultiple(multiple) => settings.rules.max_concurrency_per_core = multiple,
            Self::OverShareWorth(fraction) => settings.over_quota_weight = fraction,
        }
    }
}

impl RuleSet {
    /// All rules of settings.
    pub fn of(settings: &Settings) -> Self {
        let rules = &settings.rules;
        let all = [
            Rule::AnswerSlack(rules.answer_slack),
            Rule::Cold(rules.cold),
            Rule::ColdShare(rules.cold_capacity),
            Rule::DrainGrace(rules.drain_grace),
            Rule::Fall(rules.fall),
            Rule::TipMultiple(rules.max_concurrency_per_core),
            Rule::OverShareWorth(settings.over_quota_weight),
        ];
        Self { rules: all.map(Some) }
    }

    /// Sets a rule; returns the value that it replaced.
    pub fn put(&mut self, rule: Rule) -> Option<Rule> {
        self.rules[rule.kind_index()].replace(rule)
    }

    /// The rule in force of the same kind.
    pub fn same_kind(&self, rule: &Rule) -> Option<Rule> {
        self.rules[rule.kind_index()]
    }

    /// The rules that are set, in the order of their kinds.
    pub fn iter(&self) -> impl Iterator<Item = Rule> + '_ {
        self.rules.iter().flatten().copied()
    }

    /// The sum of the digests of all rules.
    pub fn digest(&self) -> Digest {
        self.iter().fold(Digest::default(), |sum, rule| sum.plus(StateEntry::Rule(rule).digest()))
    }
}
