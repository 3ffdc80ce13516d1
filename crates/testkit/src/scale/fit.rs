//! Fits of a figure to the sizes at which it was measured, by least squares of relative errors, and what they may be used for.
//!
//! A fit is refused where it would lie: with too few sizes, with sizes that are too close or unevenly spaced in the logarithm, past a
//! factor beyond the largest size, and where the slope changes at the largest sizes.

use std::fmt;

/// The fewest sizes that a fit may rest on.
pub const FEWEST_SIZES: usize = 5;
/// The farthest that a fit may be used beyond the largest size.
pub const MOST_FACTOR: f64 = 4.0;
/// Each size is at least so many times the one before: closer ones tell noise from a slope badly.
pub const LEAST_STEP: f64 = 1.5;
/// The steps in the logarithm may differ from their mean by so much of it.
const STEP_TOLERANCE: f64 = 0.2;
/// What a parameter has to earn in residual to be taken.
const PENALTY: f64 = 0.01;
/// The largest size may be off the fit of the others by so much, and by twice that fit's residual.
const LAST_TOLERANCE: f64 = 0.25;
/// A bend is looked for where there are so many sizes: of fewer, its four numbers say anything.
const BEND_SIZES: usize = 6;
/// Sizes that a slope past a bend must rest on to be extrapolated.
const PAST_BEND: usize = 3;
/// Figures smaller than this part of the largest count with this weight: a zero has no relative error.
const FLOOR: f64 = 1e-3;

/// A figure at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The figure.
    pub value: f64,
}

/// How a figure grows with the size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Form {
    /// It doesn't.
    Constant,
    /// With the logarithm.
    Logarithmic,
    /// In proportion, from a base.
    Linear,
    /// With the square, from a base.
    Square,
    /// In proportion, with another slope from this size on.
    Bent(f64),
}

impl Form {
    /// The parts that a fit weighs, at a size.
    fn terms(self, size: f64) -> Vec<f64> {
        match self {
            Self::Constant => vec![1.0],
            Self::Logarithmic => vec![1.0, size.ln()],
            Self::Linear => vec![1.0, size],
            Self::Square => vec![1.0, size * size],
            Self::Bent(at) => vec![1.0, size.min(at), (size - at).max(0.0)],
        }
    }

    /// Numbers that are drawn from the points, the place of a bend among them.
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

/// Why there is no fit, or why one isn't used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// Not enough sizes.
    #[error("expected {FEWEST_SIZES} sizes or more, got {0}")]
    TooFew(usize),
    /// Sizes that say little apart from each other.
    #[error("expected each size to be {LEAST_STEP} times the one before or more, got {before} and {after}")]
    TooClose {
        /// A size.
        before: f64,
        /// The next one.
        after: f64,
    },
    /// Sizes that give some of them more weight than others.
    #[error("expected sizes spaced evenly in the logarithm, got steps from {least:.2} to {most:.2} times")]
    Uneven {
        /// The least step.
        least: f64,
        /// The greatest one.
        most: f64,
    },
    /// A figure that is no number.
    #[error("expected a finite figure at each size, got {value} at {size}")]
    NoNumber {
        /// Where.
        size: f64,
        /// What.
        value: f64,
    },
    /// Too far beyond what was measured.
    #[error("{target:.0} is {factor:.1} times the largest size measured; a fit is used up to {MOST_FACTOR}")]
    TooFar {
        /// The size asked for.
        target: f64,
        /// Times the largest one.
        factor: f64,
    },
    /// The others say something else of the largest size.
    #[error(
        "the slope bends at the largest size: the others say {expected:.3}, measured {measured:.3}; measure larger ones"
    )]
    BendsAtTheEnd {
        /// By the fit of the others.
        expected: f64,
        /// What was measured.
        measured: f64,
    },
}

/// A form with its numbers.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// Which form.
    pub form: Form,
    /// Weights of its terms.
    pub weights: Vec<f64>,
    /// The root of the mean square of the relative errors.
    pub residual: f64,
    points: Vec<Point>,
}

impl Fit {
    /// The form that leaves the least, each parameter charged with a penalty.
    pub fn of(points: &[Point]) -> Result<Self, Refusal> {
        let mut points = points.to_vec();
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
        check(&points)?;
        best(&points).ok_or(Refusal::TooFew(points.len()))
    }

    /// What the form says at a size, whether or not that may be trusted.
    pub fn at(&self, size: f64) -> f64 {
        self.form.terms(size).iter().zip(&self.weights).map(|(term, weight)| term * weight).sum()
    }

    /// The figure at a size, where the fit may be used for it.
    pub fn extrapolate(&self, target: f64) -> Result<f64, Refusal> {
        let Some((last, others)) = self.points.split_last() else { return Err(Refusal::TooFew(0)) };
        if target <= last.size {
            return Ok(self.at(target));
        }
        let factor = target / last.size;
        if factor > MOST_FACTOR {
            return Err(Refusal::TooFar { target, factor });
        }
        if let Some(expected) = self.other_end(*last, others) {
            return Err(Refusal::BendsAtTheEnd { expected, measured: last.value });
        }
        Ok(self.at(target))
    }

    /// What the other sizes say of the largest one, if that is something else, or if the slope past a bend rests on too few.
    fn other_end(&self, last: Point, others: &[Point]) -> Option<f64> {
        if let Form::Bent(at) = self.form {
            let past = self.points.iter().filter(|point| point.size > at).count();
            return (past < PAST_BEND).then(|| self.at(last.size));
        }
        let without = best(others)?;
        let expected = without.at(last.size);
        let off = (expected - last.value).abs() / last.value.abs().max(f64::MIN_POSITIVE);
        (off > LAST_TOLERANCE + 2.0 * without.residual).then_some(expected)
    }
}

fn check(points: &[Point]) -> Result<(), Refusal> {
    if points.len() < FEWEST_SIZES {
        return Err(Refusal::TooFew(points.len()));
    }
    if let Some(bad) = points.iter().find(|point| !point.value.is_finite()) {
        return Err(Refusal::NoNumber { size: bad.size, value: bad.value });
    }
    let steps: Vec<f64> = points.windows(2).map(|pair| pair[1].size / pair[0].size).collect();
    if let Some(place) = steps.iter().position(|step| !step.is_finite() || *step < LEAST_STEP) {
        return Err(Refusal::TooClose { before: points[place].size, after: points[place + 1].size });
    }
    let mean = steps.iter().map(|step| step.ln()).sum::<f64>() / steps.len() as f64;
    if steps.iter().any(|step| (step.ln() - mean).abs() > STEP_TOLERANCE * mean) {
        let least = steps.iter().copied().fold(f64::INFINITY, f64::min);
        let most = steps.iter().copied().fold(0.0, f64::max);
        return Err(Refusal::Uneven { least, most });
    }
    Ok(())
}

/// The best of all forms for these points; a bend only where two sizes or more lie on each side of it.
fn best(points: &[Point]) -> Option<Fit> {
    let plain = [Form::Constant, Form::Logarithmic, Form::Linear, Form::Square];
    let bends = points.len() >= BEND_SIZES;
    let inner = points.get(1..points.len().saturating_sub(2)).filter(|_| bends).unwrap_or_default();
    let bent = inner.iter().map(|point| Form::Bent(point.size));
    let fits = plain.into_iter().chain(bent).filter_map(|form| fit_form(form, points));
    let score = |fit: &Fit| fit.residual + PENALTY * fit.form.parameters() as f64;
    fits.min_by(|a, b| score(a).total_cmp(&score(b)))
}

/// Least squares of the relative errors; none if the points don't settle the form.
fn fit_form(form: Form, points: &[Point]) -> Option<Fit> {
    if form.parameters() >= points.len() {
        return None;
    }
    let largest = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
    let scale = |point: &Point| point.value.abs().max(largest * FLOOR).max(f64::MIN_POSITIVE);
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

/// The normal equations, each column scaled to its largest entry, by elimination with pivots.
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
        for (place, row) in matrix.iter_mut().enumerate().filter(|(place, _)| *place != column) {
            debug_assert_ne!(place, column);
            let times = row[column] / head[column];
            row.iter_mut().zip(&head).for_each(|(value, by)| *value -= times * by);
        }
    }
    Some((0..count).map(|place| matrix[place][count] / matrix[place][place] / scales[place]).collect())
}

#[cfg(test)]
mod tests;
