use super::*;

const SIZES: [f64; 6] = [10.0, 30.0, 90.0, 270.0, 810.0, 2430.0];

fn points(sizes: &[f64], value: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes.iter().map(|&size| Point { size, value: value(size) }).collect()
}

/// Deterministic noise factor of a size, up to `part` above or below 1.
fn noisy(size: f64, part: f64) -> f64 {
    1.0 + part * (size * 12.9898).sin()
}

#[test]
fn each_form_is_found_under_noise() {
    type Value = fn(f64) -> f64;
    let cases: [(Form, Value); 4] = [
        (Form::Constant, |_| 7.0),
        (Form::Logarithmic, |size| 5.0 + 3.0 * size.ln()),
        (Form::Linear, |size| 20.0 + 0.5 * size),
        (Form::Square, |size| 30.0 + 0.01 * size * size),
    ];
    for (form, value) in cases {
        let fit = Fit::of(&points(&SIZES, |size| value(size) * noisy(size, 0.01))).unwrap();
        assert_eq!(fit.form, form);
        assert!(fit.residual < 0.02, "{fit:?}");
        let target = 4.0 * 2430.0;
        let extrapolated = fit.extrapolate(target).unwrap();
        assert!(
            (extrapolated / value(target) - 1.0).abs() < 0.1,
            "{form}: {extrapolated} for {}",
            value(target)
        );
    }
}

#[test]
fn bend_is_found_and_needs_three_sizes_beyond_it() {
    let bent = |at: f64| move |size: f64| 10.0 + 0.2 * size.min(at) + 4.0 * (size - at).max(0.0);
    let fit = Fit::of(&points(&SIZES, bent(90.0))).unwrap();
    assert_eq!(fit.form, Form::Bent(90.0));
    assert!((fit.extrapolate(5000.0).unwrap() / bent(90.0)(5000.0) - 1.0).abs() < 1e-6);
    let late = Fit::of(&points(&SIZES, bent(270.0))).unwrap();
    assert_eq!(late.form, Form::Bent(270.0));
    assert!(matches!(late.extrapolate(5000.0), Err(FitError::BendsAtTheEnd { .. })));
}

/// Guards against misleading fits of sizes that are too few, too close or uneven.
#[test]
fn too_few_close_or_uneven_sizes_are_refused() {
    let of = |sizes: &[f64]| Fit::of(&points(sizes, |size| size)).unwrap_err();
    assert_eq!(of(&[1.0, 10.0, 100.0, 1000.0]), FitError::TooFew(4));
    assert!(matches!(of(&[100.0, 110.0, 120.0, 130.0, 140.0]), FitError::TooClose { .. }));
    assert!(matches!(of(&[10.0, 10.0, 30.0, 90.0, 270.0]), FitError::TooClose { .. }));
    assert!(matches!(of(&[10.0, 20.0, 40.0, 80.0, 800.0]), FitError::Uneven { .. }));
    let nan = points(&SIZES, |size| if size > 800.0 { f64::NAN } else { 1.0 });
    assert!(matches!(Fit::of(&nan), Err(FitError::NoNumber { .. })));
}

/// Guards against misleading fits of values that are flat up to the last size and steep there.
#[test]
fn a_slope_that_bends_at_the_largest_size_is_not_extrapolated() {
    for rise in [2.0, 10.0] {
        let fit = Fit::of(&points(&SIZES, |size| if size > 2000.0 { 5.0 * rise } else { 5.0 })).unwrap();
        let refused = fit.extrapolate(3000.0);
        assert!(matches!(refused, Err(FitError::BendsAtTheEnd { .. })), "{fit:?} {refused:?}");
        assert!(fit.extrapolate(2430.0).is_ok(), "measured sizes need no extrapolation");
    }
}

#[test]
fn extrapolation_beyond_the_maximum_is_refused() {
    let fit = Fit::of(&points(&SIZES, |size| size)).unwrap();
    assert!(fit.extrapolate(MAX_EXTRAPOLATION * 2430.0).is_ok());
    assert!(matches!(fit.extrapolate(MAX_EXTRAPOLATION * 2430.0 + 1.0), Err(FitError::TooFar { .. })));
}

#[test]
fn zeros_are_fitted() {
    let fit = Fit::of(&points(&SIZES, |_| 0.0)).unwrap();
    assert_eq!((fit.form, fit.at(99.0)), (Form::Constant, 0.0));
}
