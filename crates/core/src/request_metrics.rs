//! Request metrics for operators: final responses by class and kind, runs sent to the processor, and settings files
//! accepted or rejected at a reload. All are counters that start at 0 with the process and never decrease.
//!
//! Counts are stored by class name, so that a class that is removed at a reload retains its counts and continues them
//! if it is restored. The shell formats the text.

use crate::configuration::ConfigurationMetrics;
use crate::lifecycle_counters::LifecycleCounters;
use crate::response::Response;
use gradepin_cluster::cluster::ClusterStatus;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of class names with separate counts; further ones are counted under [`OTHER_CLASSES`]. Guards against
/// metrics that grow without limit over many reloads.
pub const MAX_COUNTED_CLASSES: usize = 64;
/// The name under which classes beyond [`MAX_COUNTED_CLASSES`] are counted.
pub const OTHER_CLASSES: &str = "other";

/// Number of final responses of a class, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Requests served with the result of a run.
    pub fulfilled: u64,
    /// Requests rejected without a run.
    pub throttled: u64,
    /// Requests that failed, whose outcome is unknown, or that are invalid.
    pub faulted: u64,
}

/// The values of all metrics at one time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// Response counts by class, sorted by name.
    pub classes: Vec<(Arc<str>, ResponseCounts)>,
    /// Number of runs sent to the processor. A run that is sent again on a new link counts again.
    pub relayed: u64,
    /// Number of requests that are owed a response now.
    pub open: u64,
    /// Number of settings files accepted at a reload.
    pub cfg_accepted: u64,
    /// Number of settings files rejected at a reload.
    pub cfg_invalid: u64,
    /// What happened to connections and requests beside their responses.
    pub lifecycle: LifecycleCounters,
    /// Metrics of the cluster; `None` without a cluster.
    pub fleet: Option<Box<ClusterStatus>>,
    /// Metrics of the committed configuration; `None` if the configuration service is not enabled.
    pub configuration: Option<ConfigurationMetrics>,
}

/// The counters of one process.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    classes: BTreeMap<Arc<str>, ResponseCounts>,
    relayed: u64,
    cfg_accepted: u64,
    cfg_invalid: u64,
    /// What happened to connections and requests beside their responses.
    pub lifecycle: LifecycleCounters,
}

impl RequestMetrics {
    /// Counts the final response to a request of this class. Health checks are not counted.
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

    /// Counts a reload of the settings file.
    pub fn count_reload(&mut self, accepted: bool) {
        if accepted {
            self.cfg_accepted += 1;
        } else {
            self.cfg_invalid += 1;
        }
    }

    /// Returns all counts, with the number of requests that are open now.
    pub fn snapshot(&self, open: u64) -> MetricsSnapshot {
        MetricsSnapshot {
            classes: self.classes.iter().map(|(name, counts)| (Arc::clone(name), *counts)).collect(),
            relayed: self.relayed,
            open,
            cfg_accepted: self.cfg_accepted,
            cfg_invalid: self.cfg_invalid,
            lifecycle: self.lifecycle.clone(),
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
