use super::*;
use proptest::prelude::*;

/// The budgets that the operators specify, below, at and above an allowance of 30.
#[test]
fn the_budget_matches_the_operators_figures() {
    let rounded = |allowed: f64| (budget(allowed) * 100.0).round() / 100.0;
    let under = [(0.0, 3.0), (1.0, 7.0), (4.0, 13.0), (25.0, 43.0), (29.0, 48.16)];
    let from_30_on = [(30.0, 42.95), (36.0, 50.0), (100.0, 122.0), (400.0, 442.0)];
    for (allowed, most) in under.into_iter().chain(from_30_on) {
        assert_eq!(rounded(allowed), most, "{allowed}");
    }
    assert_eq!(rounded(-1.0), 3.0);
}

/// Rule 4 of the wire specification: `tip_multiple` runs per core at full speed, fewer at a lower speed, and one per
/// core at speed 0.
#[test]
fn cold_capacity_matches_the_wire_specification() {
    assert_eq!(sustained_concurrency(6.0, 8.0, 1.0), 48.0);
    assert!((sustained_concurrency(6.0, 8.0, 0.21) - 14.82).abs() < 1e-9);
    assert_eq!(sustained_concurrency(6.0, 8.0, 0.0), 6.0);
}

proptest! {
    /// The moving average equals the sum over every time unit of the span.
    #[test]
    fn the_mean_matches_a_sum_over_time(
        steps in proptest::collection::vec((0..40_u64, 0..9_u32), 1..60),
        span in 0..120_u64,
        later in 0..50_u64,
    ) {
        let mut mean = MeanOver::new(span);
        let (mut now, mut course) = (0, Vec::<f64>::new());
        for (gap, count) in steps {
            let last = course.last().copied().unwrap_or(0.0);
            now += gap;
            course.resize(now as usize, last);
            course.push(f64::from(count));
            mean.set(now, f64::from(count));
            let told = mean.mean(now);
            let from = (now as usize).saturating_sub(span as usize);
            let sum: f64 = course[from..now as usize].iter().sum();
            let true_mean = if span == 0 { f64::from(count) } else { sum / span as f64 };
            prop_assert!((told - true_mean).abs() < 1e-9, "{told} {true_mean}");
        }
        let last = course.last().copied().unwrap_or(0.0);
        course.resize((now + later) as usize + 1, last);
        let from = ((now + later) as usize).saturating_sub(span as usize);
        let sum: f64 = course[from..(now + later) as usize].iter().sum();
        let true_mean = if span == 0 { last } else { sum / span as f64 };
        prop_assert!((mean.mean(now + later) - true_mean).abs() < 1e-9);
    }
}
