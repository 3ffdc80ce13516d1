//! The rules of a configuration: at most one value per kind, in a fixed order of the kinds.

use crate::change::Rule;
use crate::digest::{Digest, StateEntry};
use gradepin_admission::Settings;

/// Number of variants of [`Rule`].
const KIND_COUNT: usize = 7;

/// The rules that are set, at most one per kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSet {
    /// Indexed by [`Rule::kind_index`]; `None` where a rule is not set.
    rules: [Option<Rule>; KIND_COUNT],
}

impl Rule {
    /// The key of the rule in documents and in error messages.
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

    /// Sets this rule in settings of the admission module.
    pub fn write(&self, settings: &mut Settings) {
        match *self {
            Self::AnswerSlack(span) => settings.rules.answer_slack = span,
            Self::Cold(span) => settings.rules.warm_up_time = span,
            Self::ColdShare(share) => settings.rules.cold_capacity = share,
            Self::DrainGrace(span) => settings.rules.drain_grace = span,
            Self::Fall(span) => settings.rules.overload_window = span,
            Self::TipMultiple(multiple) => settings.rules.max_concurrency_per_core = multiple,
            Self::OverShareWorth(fraction) => settings.over_quota_weight = fraction,
        }
    }
}

impl RuleSet {
    /// The values of all rules in `settings`.
    pub fn of(settings: &Settings) -> Self {
        let rules = &settings.rules;
        let all = [
            Rule::AnswerSlack(rules.answer_slack),
            Rule::Cold(rules.warm_up_time),
            Rule::ColdShare(rules.cold_capacity),
            Rule::DrainGrace(rules.drain_grace),
            Rule::Fall(rules.overload_window),
            Rule::TipMultiple(rules.max_concurrency_per_core),
            Rule::OverShareWorth(settings.over_quota_weight),
        ];
        Self { rules: all.map(Some) }
    }

    /// Sets a rule; returns the previous value of the same kind, if any.
    pub fn put(&mut self, rule: Rule) -> Option<Rule> {
        self.rules[rule.kind_index()].replace(rule)
    }

    /// The rule that is set of the same kind as `rule`; the value of `rule` is ignored.
    pub fn same_kind(&self, rule: &Rule) -> Option<Rule> {
        self.rules[rule.kind_index()]
    }

    /// The rules that are set, in the order of their kinds.
    pub fn iter(&self) -> impl Iterator<Item = Rule> + '_ {
        self.rules.iter().flatten().copied()
    }

    /// The sum of the digests of the rules that are set.
    pub fn digest(&self) -> Digest {
        self.iter().fold(Digest::default(), |sum, rule| sum.plus(StateEntry::Rule(rule).digest()))
    }
}
