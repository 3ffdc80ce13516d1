//! The figures that operators scrape: final answers by class and kind, runs handed to the processor, and files
//! taken or turned down at a reload. All count from the start of the process and never go down.
//!
//! Counts are kept by the class's name, so that a class dropped at a reload keeps what it had and one that comes back
//! goes on from there. Not here: how the figures are written out, which is the shell's.

use crate::configuration::ConfigurationMetrics;
use crate::response::Response;
use gradepin_cluster::cluster::ClusterStatus;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Class names counted at the most; a reload that brings more counts the rest under [`OTHER_CLASSES`]. Guards against
/// figures that grow without bound over many reloads.
pub const MAX_COUNTED_CLASSES: usize = 64;
/// The name under which classes beyond [`MAX_COUNTED_CLASSES`] are counted.
pub const OTHER_CLASSES: &str = "other";

/// Final answers of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Served with the result of a run.
    pub fulfilled: u64,
    /// Turned away: the try never ran.
    pub throttled: u64,
    /// Failed, or of an outcome that can't be learned, or not taken.
    pub faulted: u64,
}

/// What a scrape shows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// By class name, in the order of names.
    pub classes: Vec<(Arc<str>, ResponseCounts)>,
    /// Runs handed to the processor, repeats of a begin on a new link too.
    pub relayed: u64,
    /// Requests taken and owed an answer.
    pub open: u64,
    /// Configuration files taken at a reload.
    pub cfg_accepted: u64,
    /// Configuration files turned down at a reload.
    pub cfg_invalid: u64,
    /// What it knows of other servers and shares with them, where they talk to each other.
    pub fleet: Option<Box<ClusterStatus>>,
    /// The committed configuration, where that service is on.
    pub configuration: Option<ConfigurationMetrics>,
}

/// The counts as they run.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    classes: BTreeMap<Arc<str>, ResponseCounts>,
    relayed: u64,
    cfg_accepted: u64,
    cfg_invalid: u64,
}

impl RequestMetrics {
    /// A final answer to a request of this class. Answers that are no requests' are not counted.
    pub fn answered(&mut self, class: &str, answer: &Response) {
        let counts = self.counts(class);
        match answer {
            Response::Served(_) => counts.fulfilled += 1,
            Response::Rejected { .. } => counts.throttled += 1,
            Response::Failed { .. } | Response::OutcomeUnknown | Response::Invalid { .. } => {
                counts.faulted += 1
            }
            Response::Health { .. } => {}
        }
    }

    /// A run was handed to the processor.
    pub fn relayed(&mut self) {
        self.relayed += 1;
    }

    /// A file was read at a reload, and taken or not.
    pub fn reloaded(&mut self, taken: bool) {
        if taken {
            self.cfg_accepted += 1;
        } else {
            self.cfg_invalid += 1;
        }
    }

    /// The figures, with the requests open now.
    pub fn stats(&self, open: u64) -> MetricsSnapshot {
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
        let name = if self.classes.contains_key(class) || self.classes.len() < MAX_COUNTED_CLASSES {
            class
        } else {
            OTHER_CLASSES
        };
        self.classes.entry(Arc::from(name)).or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::buffer_pool::BufferPool;
    use gradepin_admission::Span;

    fn served() -> Response {
        Response::Served(Arc::new(BufferPool::new(1).copy(b"tile").unwrap()))
    }

    /// Guards the figures against a kind of answer counted under another, and a class lost at a reload.
    #[test]
    fn answers_count_by_class_and_kind() {
        let mut tally = RequestMetrics::default();
        let refused = Response::Rejected { retry_after: Span(0), no_failover: false };
        tally.answered("read", &served());
        tally.answered("read", &refused);
        tally.answered("write", &Response::Failed { timed_out: true });
        tally.answered("write", &Response::OutcomeUnknown);
        tally.answered("write", &Response::Health { healthy: true, store: None });
        tally.relayed();
        tally.reloaded(true);
        tally.reloaded(false);
        tally.reloaded(false);
        let stats = tally.stats(3);
        let read = ResponseCounts { fulfilled: 1, throttled: 1, faulted: 0 };
        let write = ResponseCounts { fulfilled: 0, throttled: 0, faulted: 2 };
        assert_eq!(stats.classes, vec![(Arc::from("read"), read), (Arc::from("write"), write)]);
        assert_eq!((stats.relayed, stats.open, stats.cfg_accepted, stats.cfg_invalid), (1, 3, 1, 2));
    }

    /// Guards memory over many reloads: names past the bound share one count.
    #[test]
    fn names_are_bounded() {
        let mut tally = RequestMetrics::default();
        for n in 0..MAX_COUNTED_CLASSES + 10 {
            tally.answered(&format!("class-{n}"), &served());
        }
        let stats = tally.stats(0);
        assert_eq!(stats.classes.len(), MAX_COUNTED_CLASSES + 1);
        let other = stats
            .classes
            .iter()
            .find(|(name, _)| &**name == OTHER_CLASSES)
            .map(|(_, counts)| counts.fulfilled);
        assert_eq!(other, Some(10));
    }
}
