//! The request metrics that operators scrape: final responses by class and kind, runs sent to the processor, and settings files
//! taken or rejected at a reload. All count from the start of the process and never go down.
//!
//! Counts are kept by the name of the class, so that a class that is removed at a reload keeps its counts, and goes on from
//! there if it comes back. Not here: the text format, which is the shell's.

use crate::configuration::ConfigurationMetrics;
use crate::response::Response;
use gradepin_cluster::cluster::ClusterStatus;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Class names that are counted apart; further ones count under [`OTHER_CLASSES`]. Guards against metrics that grow without
/// bound over many reloads.
pub const MAX_COUNTED_CLASSES: usize = 64;
/// The name under which classes beyond [`MAX_COUNTED_CLASSES`] are counted.
pub const OTHER_CLASSES: &str = "other";

/// Counts of the final responses of a class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Served with the result of a run.
    pub fulfilled: u64,
    /// Rejected: the attempt never ran.
    pub throttled: u64,
    /// Failed, of an unknown outcome, or invalid.
    pub faulted: u64,
}

/// What a scrape shows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// By class name, in the order of names.
    pub classes: Vec<(Arc<str>, ResponseCounts)>,
    /// Count of runs sent to the processor; one that is sent again on a new link counts again.
    pub relayed: u64,
    /// Requests that are owed a response.
    pub open: u64,
    /// Count of settings files taken at a reload.
    pub cfg_accepted: u64,
    /// Count of settings files rejected at a reload.
    pub cfg_invalid: u64,
    /// State of the cluster, where servers talk to each other.
    pub fleet: Option<Box<ClusterStatus>>,
    /// State of the committed configuration, where that service is on.
    pub configuration: Option<ConfigurationMetrics>,
}

/// The counters.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    classes: BTreeMap<Arc<str>, ResponseCounts>,
    relayed: u64,
    cfg_accepted: u64,
    cfg_invalid: u64,
}

impl RequestMetrics {
    /// Counts the final response to a request of this class. Health checks are no requests.
    pub fn count_response(&mut self, class: &str, response: &Response) {
        let counts = self.counts(class);
        match response {
            Response::Served(_) => counts.fulfilled += 1,
            Response::Rejected { .. } => counts.throttled += 1,
            Response::Failed { .. } | Response::OutcomeUnknown | Response::Invalid { .. } => {
                counts.faulted += 1;
            }
            Response::Health { .. } => {}
        }
    }

    /// Counts a run that is sent to the processor.
    pub fn count_run(&mut self) {
        self.relayed += 1;
    }

    /// Counts a settings file that was read again.
    pub fn count_reload(&mut self, accepted: bool) {
        if accepted {
            self.cfg_accepted += 1;
        } else {
            self.cfg_invalid += 1;
        }
    }

    /// All counts, with the requests that are open now.
    pub fn snapshot(&self, open: u64) -> MetricsSnapshot {
        MetricsSnapshot {
            classes: self.classes.iter().map(|(name, counts)| (Arc::clone(name), *counts)).collect(),
            relayed: self.relayed,
            open,
            cfg_accepted: self.cfg_accepted,
            cfg_invalid: self.cfg_invalid,
            fleet: None,
            configuration: None,
        }
    }

    fn counts(&mut self, class: &str) -> &mut ResponseCounts {
        let is_counted_apart = self.classes.contains_key(class) || self.classes.len() < MAX_COUNTED_CLASSES;
        let name = if is_counted_apart { class } else { OTHER_CLASSES };
        self.classes.entry(Arc::from(name)).or_default()
    }
}

#[cfg(test)]
mod tests;
