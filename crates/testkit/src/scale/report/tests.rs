use super::*;
use crate::scale::figure::{Budget, Claim};

fn report(claim: Claim) -> Report {
    let mut figure = Figure::new("x.bytes", "bytes of x", "B").within(Budget::at_most(500.0, claim));
    [10, 30, 90, 270, 810].into_iter().for_each(|size| figure.add(size, size as f64));
    let figures = vec![figure];
    Report { command: "x", sizes_of: "servers", target: 1_000.0, seed: 7, figures, not_scored: None }
}

#[test]
fn report_contains_sizes_values_fit_and_budget() {
    let text = report(Claim::Fails).lines().join("\n");
    for part in [
        "seed 7",
        "810: 810",
        "linear, residual 0.0%",
        "at 1000: 1000 B, by the fit",
        "fails by a factor of 2.00",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert!(report(Claim::Fails).keeps_claims() && !report(Claim::Holds).keeps_claims());
    assert_eq!(report(Claim::Holds).json()["figures"][0]["budget"]["verdict"]["holds"], false);
    assert!(report(Claim::Fails).plot().unwrap().contains("x.bytes: linear"));
}

/// Guards against claims based on a load generator that was too slow, whatever the figures are.
#[test]
fn run_without_score_keeps_no_claim() {
    let late = Report { not_scored: Some("late".into()), ..report(Claim::Fails) };
    assert!(!late.keeps_claims() && late.lines().join("\n").contains("NOT SCORED: late"));
}
