//! Least-squares fits, by relative errors, of figures to the sizes at which they were measured.
//!
//! A fit is refused where it would mislead: with too few sizes, with sizes that are too close or unevenly spaced in the
//! logarithm, beyond a maximum factor of extrapolation, and where the slope changes at the largest sizes.

use std::fmt;

/// Minimum number of sizes for a fit.
pub const MIN_SIZES: usize = 5;
/// Maximum extrapolation, as a multiple of the largest size.
pub const MAX_EXTRAPOLATION: f64 = 4.0;
/// Minimum ratio of consecutive sizes; with closer ones a slope can't be told from noise.
pub const MIN_STEP: f64 = 1.5;
/// Maximum deviation of a logarithmic step from the mean step, as a fraction of it.
const STEP_TOLERANCE: f64 = 0.2;
/// Score penalty per parameter, in units of the residual.
const PARAMETER_PENALTY: f64 = 0.01;
/// Allowed relative deviation of the largest size from the fit of the others, beside twice the residual of that fit.
const LARGEST_SIZE_TOLERANCE: f64 = 0.25;
/// Minimum number of sizes for a form with a bend; its four parameters would fit fewer sizes arbitrarily.
const MIN_SIZES_WITH_BEND: usize = 6;
/// Minimum number of sizes beyond a bend for extrapolation.
const MIN_SIZES_BEYOND_BEND: usize = 3;
/// Values below this fraction of the largest are scaled as if they had it, because zero has no relative error.
const SCALE_FLOOR: f64 = 1e-3;

/// Measured value at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Size in the unit of the command, such as servers or tenants.
    pub size: f64,
    /// Value in the unit of the figure.
    pub value: f64,
}

/// Growth of a figure with the size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Form {
    /// Independent of the size.
    Constant,
    /// Proportional to the logarithm, plus a constant.
    Logarithmic,
    /// Proportional, plus a constant.
    Linear,
    /// Proportional to the square, plus a constant.
    Square,
    /// Linear, with another slope from this size on.
    Bent(f64),
}

impl Form {
    /// Terms of the form at a size, to be multiplied by the weights.
    fn terms(self, size: f64) -> Vec<f64> {
        match self {
            Self::Constant => vec![1.0],
            Self::Logarithmic => vec![1.0, size.ln()],
            Self::Linear => vec![1.0, size],
            Self::Square => vec![1.0, size * size],
            Self::Bent(at) => vec![1.0, size.min(at), (size - at).max(0.0)],
        }
    }

    /// Number of fitted parameters, including the position of a bend.
    fn parameters(self) -> usize {
        match self {
            Self::Constant => 1,
            Self::Logarithmic | Self::Linear | Self::Square => 2,
            Self::Bent(_) => 4,
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Constant => f.write_str("constant"),
            Self::Logarithmic => f.write_str("logarithmic"),
            Self::Linear => f.write_str("linear"),
            Self::Square => f.write_str("square"),
            Self::Bent(at) => write!(f, "linear, bends at {at:.0}"),
        }
    }
}

/// Reason why a fit is impossible or may not be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum FitError {
    /// Fewer sizes than the minimum.
    #[error("expected {MIN_SIZES} sizes or more, got {0}")]
    TooFew(usize),
    /// Consecutive sizes are too close.
    #[error("expected each size to be {MIN_STEP} times the one before or more, got {before} and {after}")]
    TooClose {
        /// The smaller size.
        before: f64,
        /// The next size.
        after: f64,
    },
    /// Uneven steps, which would give some sizes more weight than others.
    #[error("expected sizes spaced evenly in the logarithm, got steps from {least:.2} to {most:.2} times")]
    Uneven {
        /// Smallest step.
        least: f64,
        /// Largest step.
        most: f64,
    },
    /// A value that is not finite.
    #[error("expected a finite figure at each size, got {value} at {size}")]
    NoNumber {
        /// Size of the value.
        size: f64,
        /// The value.
        value: f64,
    },
    /// The target is too far beyond the measured sizes.
    #[error(
        "{target:.0} is {factor:.1} times the largest size measured; a fit is used up to {MAX_EXTRAPOLATION}"
    )]
    TooFar {
        /// Requested size.
        target: f64,
        /// Requested size as a multiple of the largest measured one.
        factor: f64,
    },
    /// The fit of the other sizes contradicts the largest size.
    #[error(
        "the slope bends at the largest size: the others say {expected:.3}, measured {measured:.3}; measure larger ones"
    )]
    BendsAtTheEnd {
        /// Value at the largest size by the fit of the others.
        expected: f64,
        /// Measured value at the largest size.
        measured: f64,
    },
}

/// A fitted form.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// Form with the best score.
    pub form: Form,
    /// Weights of the terms of the form.
    pub weights: Vec<f64>,
    /// Root mean square of the relative errors.
    pub residual: f64,
    points: Vec<Point>,
}

impl Fit {
    /// Fits the form with the smallest residual plus penalty for its parameters.
    pub fn of(points: &[Point]) -> Result<Self, FitError> {
        let mut points = points.to_vec();
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
        check(&points)?;
        best(&points).ok_or(FitError::TooFew(points.len()))
    }

    /// Value of the form at a size, without a check whether it may be used there.
    pub fn at(&self, size: f64) -> f64 {
        self.form.terms(size).iter().zip(&self.weights).map(|(term, weight)| term * weight).sum()
    }

    /// Value at a size, if the fit may be used there.
    pub fn extrapolate(&self, target: f64) -> Result<f64, FitError> {
        let Some((last, others)) = self.points.split_last() else { return Err(FitError::TooFew(0)) };
        if target <= last.size {
            return Ok(self.at(target));
        }
        let factor = target / last.size;
        if factor > MAX_EXTRAPOLATION {
            return Err(FitError::TooFar { target, factor });
        }
        if let Some(expected) = self.contradicted_value(*last, others) {
            return Err(FitError::BendsAtTheEnd { expected, measured: last.value });
        }
        Ok(self.at(target))
    }

    /// Expected value at the largest size, if the fit of the other sizes contradicts it or too few sizes lie beyond a bend.
    fn contradicted_value(&self, last: Point, others: &[Point]) -> Option<f64> {
        if let Form::Bent(at) = self.form {
            let past = self.points.iter().filter(|point| point.size > at).count();
            return (past < MIN_SIZES_BEYOND_BEND).then(|| self.at(last.size));
        }
        let without = best(others)?;
        let expected = without.at(last.size);
        let off = (expected - last.value).abs() / last.value.abs().max(f64::MIN_POSITIVE);
        (off > LARGEST_SIZE_TOLERANCE + 2.0 * without.residual).then_some(expected)
    }
}

fn check(points: &[Point]) -> Result<(), FitError> {
    if points.len() < MIN_SIZES {
        return Err(FitError::TooFew(points.len()));
    }
    if let Some(bad) = points.iter().find(|point| !point.value.is_finite()) {
        return Err(FitError::NoNumber { size: bad.size, value: bad.value });
    }
    let steps: Vec<f64> = points.windows(2).map(|pair| pair[1].size / pair[0].size).collect();
    if let Some(index) = steps.iter().position(|step| !step.is_finite() || *step < MIN_STEP) {
        return Err(FitError::TooClose { before: points[index].size, after: points[index + 1].size });
    }
    let mean = steps.iter().map(|step| step.ln()).sum::<f64>() / steps.len() as f64;
    if steps.iter().any(|step| (step.ln() - mean).abs() > STEP_TOLERANCE * mean) {
        let least = steps.iter().copied().fold(f64::INFINITY, f64::min);
        let most = steps.iter().copied().fold(0.0, f64::max);
        return Err(FitError::Uneven { least, most });
    }
    Ok(())
}

/// Best form for these points. A bend has at least two sizes on each side.
fn best(points: &[Point]) -> Option<Fit> {
    let plain = [Form::Constant, Form::Logarithmic, Form::Linear, Form::Square];
    let bends = points.len() >= MIN_SIZES_WITH_BEND;
    let inner = points.get(1..points.len().saturating_sub(2)).filter(|_| bends).unwrap_or_default();
    let bent = inner.iter().map(|point| Form::Bent(point.size));
    let fits = plain.into_iter().chain(bent).filter_map(|form| fit_form(form, points));
    let score = |fit: &Fit| fit.residual + PARAMETER_PENALTY * fit.form.parameters() as f64;
    fits.min_by(|a, b| score(a).total_cmp(&score(b)))
}

/// Least squares of the relative errors; `None` if the points don't determine the form.
fn fit_form(form: Form, points: &[Point]) -> Option<Fit> {
    if form.parameters() >= points.len() {
        return None;
    }
    let largest = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
    let scale = |point: &Point| point.value.abs().max(largest * SCALE_FLOOR).max(f64::MIN_POSITIVE);
    let rows: Vec<Vec<f64>> = points
        .iter()
        .map(|point| form.terms(point.size).iter().map(|term| term / scale(point)).collect())
        .collect();
    let values: Vec<f64> = points.iter().map(|point| point.value / scale(point)).collect();
    let weights = solve(&rows, &values)?;
    let fit = Fit { form, weights, residual: 0.0, points: points.to_vec() };
    let errors = points.iter().map(|point| ((fit.at(point.size) - point.value) / scale(point)).powi(2));
    let residual = (errors.sum::<f64>() / points.len() as f64).sqrt();
    residual.is_finite().then_some(Fit { residual, ..fit })
}

/// Solves the normal equations by elimination with pivoting, each column scaled to its largest entry.
fn solve(rows: &[Vec<f64>], values: &[f64]) -> Option<Vec<f64>> {
    let count = rows.first()?.len();
    let scales: Vec<f64> =
        (0..count).map(|column| rows.iter().map(|row| row[column].abs()).fold(0.0, f64::max)).collect();
    if scales.contains(&0.0) {
        return None;
    }
    let entry = |row: &Vec<f64>, column: usize| row[column] / scales[column];
    let mut matrix: Vec<Vec<f64>> = (0..count)
        .map(|i| {
            let products = (0..count).map(|j| rows.iter().map(|row| entry(row, i) * entry(row, j)).sum());
            let value = rows.iter().zip(values).map(|(row, value)| entry(row, i) * value).sum();
            products.chain([value]).collect()
        })
        .collect();
    for column in 0..count {
        let pivot =
            (column..count).max_by(|&a, &b| matrix[a][column].abs().total_cmp(&matrix[b][column].abs()))?;
        matrix.swap(column, pivot);
        if matrix[column][column].abs() < 1e-12 {
            return None;
        }
        let head = matrix[column].clone();
        for (index, row) in matrix.iter_mut().enumerate().filter(|(index, _)| *index != column) {
            debug_assert_ne!(index, column);
            let times = row[column] / head[column];
            row.iter_mut().zip(&head).for_each(|(value, by)| *value -= times * by);
        }
    }
    Some((0..count).map(|index| matrix[index][count] / matrix[index][index] / scales[index]).collect())
}

#[cfg(test)]
mod tests;
