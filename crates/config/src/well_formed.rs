//! The minimum requirements that every entry of a state meets, whether it came from a start file, a commit, a snapshot or a peer.
//!
//! A class name is a single word of the processor's line protocol, and the admission module computes with the numbers. So a
//! name with whitespace or a number that is not finite must never enter a state. Validation of changes is stricter than this.

use crate::change::{ClassDefinition, Rule};
use gradepin_admission::Tenant;

/// Whether a class has a one-word name, a non-zero latency objective and deadline, and finite numbers.
pub(crate) fn is_well_formed_class(class: &ClassDefinition) -> bool {
    let ClassDefinition { profile, skip_weight, .. } = class;
    let numbers = [profile.late_value, profile.priority_weight, profile.objective_stretch, *skip_weight];
    is_single_token(&profile.name)
        && profile.latency_objective.0 > 0
        && profile.deadline.0 > 0
        && numbers.into_iter().all(f64::is_finite)
}

/// Whether the quota and portion of a tenant are finite.
pub(crate) fn is_well_formed_tenant(tenant: &Tenant) -> bool {
    tenant.quota_rps.is_finite() && tenant.portion.is_finite()
}

/// Whether the number of a rule is finite; every duration is well-formed.
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
