//! Means with confidence intervals.

use gradepin_model::streams::{Streams, one_of};

/// Number of bootstrap resamples per interval.
const RESAMPLES: usize = 2_000;

/// Mean with its 95% confidence interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean of the values.
    pub mean: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
}

impl Estimate {
    /// Percentile bootstrap with a fixed seed, so that the same values give the same interval.
    pub fn of(values: &[f64]) -> Option<Self> {
        if values.is_empty() {
            return None;
        }
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let mut rng = Streams::new(values.len() as u64).of("bootstrap", 0);
        let mut means: Vec<f64> = (0..RESAMPLES)
            .map(|_| (0..values.len()).map(|_| values[one_of(&mut rng, values.len())]).sum::<f64>() / count)
            .collect();
        means.sort_by(f64::total_cmp);
        let at = |part: f64| means[((RESAMPLES - 1) as f64 * part).round() as usize];
        Some(Self { mean, low: at(0.025), high: at(0.975) })
    }

    /// Whether the interval excludes 0, so that a difference is more than noise.
    pub fn differs(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against intervals that are too narrow or too wide.
    #[test]
    fn interval_contains_the_mean_and_narrows_with_more_values() {
        let values = |count: usize| (0..count).map(|n| (n % 10) as f64 / 10.0).collect::<Vec<f64>>();
        let (few, many) = (Estimate::of(&values(20)).unwrap(), Estimate::of(&values(2_000)).unwrap());
        assert!((few.mean - 0.45).abs() < 1e-9 && few.low < 0.45 && few.high > 0.45);
        // The standard error of 20 such values is 0.064.
        assert!((0.2..0.3).contains(&(few.high - few.low)), "{few:?}");
        assert!((0.02..0.03).contains(&(many.high - many.low)), "{many:?}");
        assert!(few.differs() && !Estimate::of(&[-1.0, 1.0, -1.0, 1.0]).unwrap().differs());
        assert_eq!(Estimate::of(&[]), None);
        assert_eq!(Estimate::of(&values(20)), Some(few));
    }
}
