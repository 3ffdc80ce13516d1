//! The minimum that every entry of a state fulfils, from whatever source it came: start file, commit, snapshot or peer.
//!
//! The processor reads a class name as one word of a line, and the admission module computes with the numbers, so a name with
//! white space or a number that is not finite must never get into a state. Changes are held to more than this by validation.

use crate::change::{ClassDefinition, Rule};
use gradepin_admission::Tenant;

/// Whether a class has a name of one word, times above 0 and finite numbers.
pub(crate) fn is_well_formed_class(class: &ClassDefinition) -> bool {
    let ClassDefinition { profile, skip_weight, .. } = class;
    let numbers = [profile.late_value, profile.priority_weight, profile.objective_stretch, *skip_weight];
    is_single_token(&profile.name)
        && profile.latency_objective.0 > 0
        && profile.deadline.0 > 0
        && numbers.into_iter().all(f64::is_finite)
}

/// Whether a tenant has finite numbers.
pub(crate) fn is_well_formed_tenant(tenant: &Tenant) -> bool {
    tenant.quota_rps.is_finite() && tenant.portion.is_finite()
}

/// Whether a rule has a finite number; times are always valid.
pub(crate) fn is_well_formed_rule(rule: &Rule) -> bool {
    match rule {
        Rule::AnswerSlack(_) | Rule::Cold(_) | Rule::DrainGrace(_) | Rule::Fall(_) => true,
        Rule::ColdShare(number) | Rule::OverShareWorth(number) | Rule::TipMultiple(number) => {
            number.is_finite()
        }
    }
}

fn is_single_token(name: &str) -> bool {
    !name.is_empty() && !name.contains(|c: char| c.is_whitespace() || c.is_control())
}
