use super::*;

fn linear(budget: Budget) -> Figure {
    let mut figure = Figure::new("x.y", "what", "B").within(budget);
    [10, 30, 90, 270, 810].into_iter().for_each(|size| figure.add(size, 2.0 * size as f64));
    figure
}

#[test]
fn budget_reports_the_factor() {
    let verdict = Budget::at_most(4.0, Claim::Holds).judge(6.0);
    assert_eq!((verdict.holds, verdict.factor), (false, 1.5));
    let verdict = Budget::at_least(0.5, Claim::Holds).judge(1.0);
    assert_eq!((verdict.holds, verdict.factor), (true, 2.0));
    assert!(!Budget::at_most(4.0, Claim::Holds).judge(f64::NAN).holds);
}

#[test]
fn claim_is_checked_at_the_planned_size() {
    assert!(linear(Budget::at_most(2_100.0, Claim::Holds)).keeps_claim(1_000.0));
    assert!(!linear(Budget::at_most(1_900.0, Claim::Holds)).keeps_claim(1_000.0));
    assert!(linear(Budget::at_most(1_900.0, Claim::Fails)).keeps_claim(1_000.0));
    // Too far for the fit, so the claim is unproven and counts as not kept.
    assert!(!linear(Budget::at_most(1e9, Claim::Holds)).keeps_claim(10_000.0));
}

#[test]
fn measured_value_takes_precedence_over_the_fit() {
    let mut figure = linear(Budget::at_most(1.0, Claim::Fails));
    figure.add(2_430, 1.0);
    assert_eq!(figure.at_target(2_430.0), Ok(TargetValue { value: 1.0, measured: true }));
}
