//! The timeouts of callers, learnt from first attempts, and from them the age of a retry.
//!
//! A request does not say how long ago its first attempt began. But callers of one kind give each first
//! attempt the same fraction of the class's deadline; a retry that arrives with another fraction was given
//! what remained, and the difference is its age. Guards against retries that are taken for new work with
//! all their time left.

use crate::demand::RecentDemand;
use crate::request::Request;
use crate::settings::Settings;

/// Fraction of the deadline within which two timeouts count as the same; they differ by the time on the way
/// here.
const TIMEOUT_TOLERANCE: f64 = 0.01;
/// Patterns kept; a new one takes the place of the rarest.
const MAX_PATTERNS: usize = 8;
/// Share of the observed first attempts from which on a pattern is no noise.
const MIN_PATTERN_SHARE: f64 = 0.05;
/// Share of all first attempts that must repeat a known timeout for the patterns to say anything.
const MIN_REPEATED_SHARE: f64 = 0.25;

/// A timeout of first attempts, as a fraction of their class's deadline.
#[derive(Debug)]
struct TimeoutPattern {
    deadline_fraction: f64,
    /// Decaying count of first attempts with it.
    observations: f64,
}

impl TimeoutPattern {
    fn matches(&self, deadline_fraction: f64) -> bool {
        (self.deadline_fraction - deadline_fraction).abs() < TIMEOUT_TOLERANCE
    }
}

/// The timeouts seen in first attempts; at most [`MAX_PATTERNS`].
#[derive(Debug, Default)]
pub(crate) struct RetryPatterns {
    patterns: Vec<TimeoutPattern>,
}

impl RetryPatterns {
    /// Fraction of the class's deadline that had passed before this attempt was sent: 0 for first attempts,
    /// and where nothing is known.
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

    /// Whether the timeout of a request says how old it is.
    fn shows_age(&self, request: &Request, settings: &Settings, demand: &RecentDemand) -> bool {
        // Where no retry is marked, any request may be one. Only the first tier is called by clients'
        // callers.
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

    /// Takes in the timeout of a first attempt.
    pub(crate) fn learn(&mut self, timeout_fraction: f64) {
        if let Some(known) = self.patterns.iter_mut().find(|pattern| pattern.matches(timeout_fraction)) {
            known.observations += 1.0;
            return;
        }
        self.patterns.push(TimeoutPattern { deadline_fraction: timeout_fraction, observations: 1.0 });
        self.patterns.sort_by(|a, b| b.observations.total_cmp(&a.observations));
        self.patterns.truncate(MAX_PATTERNS);
    }

    /// Ends a period; see [`crate::demand::decay_factor`].
    pub(crate) fn decay(&mut self, factor: f64) {
        self.patterns.iter_mut().for_each(|pattern| pattern.observations *= factor);
    }
}
