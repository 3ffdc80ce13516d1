//! Estimates the age of a retry from the timeouts that callers give to first attempts.
//!
//! A request does not say how long ago its first attempt began. However, callers of one kind give each first
//! attempt the same fraction of the class's deadline. A retry that arrives with another fraction was given
//! the remaining time, and the difference is its age. Without the estimate, a retry would be treated as new
//! work with all of its time left.

use crate::demand::RecentDemand;
use crate::request::Request;
use crate::settings::Settings;

/// Difference, as a fraction of the deadline, up to which two timeouts count as equal. Equal timeouts differ
/// by the network latency.
const TIMEOUT_TOLERANCE: f64 = 0.01;
/// Number of patterns that are kept; a new pattern replaces the rarest.
const MAX_PATTERNS: usize = 8;
/// Fraction of the observed first attempts above which a pattern is not noise.
const MIN_PATTERN_SHARE: f64 = 0.05;
/// Fraction of all first attempts that must repeat a known timeout before patterns are used.
const MIN_REPEATED_SHARE: f64 = 0.25;

/// A timeout that callers give to first attempts.
#[derive(Debug)]
struct TimeoutPattern {
    /// The timeout as a fraction of the deadline of the class.
    deadline_fraction: f64,
    /// Decaying count of first attempts with this timeout.
    observations: f64,
}

impl TimeoutPattern {
    fn matches(&self, deadline_fraction: f64) -> bool {
        (self.deadline_fraction - deadline_fraction).abs() < TIMEOUT_TOLERANCE
    }
}

/// The timeouts of first attempts, most frequent first; at most [`MAX_PATTERNS`].
#[derive(Debug, Default)]
pub(crate) struct RetryPatterns {
    patterns: Vec<TimeoutPattern>,
}

impl RetryPatterns {
    /// Fraction of the class's deadline that had passed before this attempt was sent. 0 for first attempts,
    /// and where the age is unknown.
    pub(crate) fn elapsed_fraction(
        &self,
        request: &Request,
        timeout_fraction: f64,
        settings: &Settings,
        demand: &RecentDemand,
    ) -> f64 {
        let shows_age = self.shows_age(request, settings, demand);
        if shows_age && !self.is_first_attempt_timeout(timeout_fraction) {
            (1.0 - timeout_fraction).max(0.0)
        } else {
            0.0
        }
    }

    /// Whether the age of a request can be derived from its timeout.
    fn shows_age(&self, request: &Request, settings: &Settings, demand: &RecentDemand) -> bool {
        // Where retries are not marked, any request may be a retry. Only tier 0 is called by clients, whose
        // timeouts have these patterns.
        let may_be_retry = (request.retry || !settings.callers.marks_retries) && settings.tier == 0;
        let repeated: f64 = self.patterns.iter().map(|pattern| (pattern.observations - 1.0).max(0.0)).sum();
        let has_patterns = repeated > MIN_REPEATED_SHARE * demand.first_attempts();
        may_be_retry && has_patterns && request.expires_in.is_some()
    }

    fn is_first_attempt_timeout(&self, timeout_fraction: f64) -> bool {
        let observations: f64 = self.patterns.iter().map(|pattern| pattern.observations).sum();
        let is_frequent = |pattern: &TimeoutPattern| pattern.observations > MIN_PATTERN_SHARE * observations;
        self.patterns.iter().any(|pattern| pattern.matches(timeout_fraction) && is_frequent(pattern))
    }

    /// Adds the timeout of a first attempt, as a fraction of the deadline of its class.
    pub(crate) fn learn(&mut self, timeout_fraction: f64) {
        if let Some(known) = self.patterns.iter_mut().find(|pattern| pattern.matches(timeout_fraction)) {
            known.observations += 1.0;
            return;
        }
        self.patterns.push(TimeoutPattern { deadline_fraction: timeout_fraction, observations: 1.0 });
        self.patterns.sort_by(|a, b| b.observations.total_cmp(&a.observations));
        self.patterns.truncate(MAX_PATTERNS);
    }

    /// Multiplies all counts by the [`decay_factor`](crate::demand::decay_factor) of a period.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.patterns.iter_mut().for_each(|pattern| pattern.observations *= factor);
    }
}
