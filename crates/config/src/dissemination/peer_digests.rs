//! Tracks which peers confirm the state of this server and which contradict it.
//!
//! A single peer with a different digest for a known revision is most likely faulty itself. At least two contradicting peers,
//! if they outnumber the confirming ones, mean that the state of this server is wrong.

use crate::change::Name;
use crate::digest::Version;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// How long the report of a peer is counted.
const REPORT_VALIDITY: Span = Span(60_000_000_000);
/// Maximum number of peers or mismatched records in each table.
const MAX_ENTRIES: usize = 64;
/// Minimum number of contradicting peers before the state of this server is considered doubtful.
const MIN_CONTRADICTING: usize = 2;

/// Reports of peers about the state of this server, with the time of each.
#[derive(Debug, Default)]
pub struct PeerDigests {
    confirming: BTreeMap<Name, Time>,
    contradicting: BTreeMap<Name, Time>,
    mismatches: Vec<Mismatch>,
}

/// The version in a record of the next revision that did not match the state after its commit, and the peer that sent it.
#[derive(Debug, PartialEq, Eq)]
struct Mismatch {
    version: Version,
    source: Name,
}

fn record(reports: &mut BTreeMap<Name, Time>, now: Time, name: &Name) {
    if reports.len() >= MAX_ENTRIES && !reports.contains_key(name) {
        reports.retain(|_, reported_at| now < time_after(*reported_at, REPORT_VALIDITY));
    }
    if reports.len() < MAX_ENTRIES || reports.contains_key(name) {
        reports.insert(name.clone(), now);
    }
}

fn count_valid(reports: &BTreeMap<Name, Time>, now: Time) -> usize {
    reports.values().filter(|reported_at| now < time_after(**reported_at, REPORT_VALIDITY)).count()
}

impl PeerDigests {
    /// Records that a peer reported the same digest as this server for a revision.
    pub fn confirm(&mut self, now: Time, name: &Name) {
        self.contradicting.remove(name);
        record(&mut self.confirming, now, name);
    }

    /// Records that a peer reported a different digest. Returns whether the state of this server is now doubtful.
    pub fn contradict(&mut self, now: Time, name: &Name) -> bool {
        self.confirming.remove(name);
        record(&mut self.contradicting, now, name);
        let contradicting = count_valid(&self.contradicting, now);
        contradicting >= MIN_CONTRADICTING && contradicting > count_valid(&self.confirming, now)
    }

    /// Records that a peer sent a record of the next revision whose digest does not match the resulting state. If at least two
    /// peers sent the same record, the state of this server is doubtful and these peers are returned; otherwise none are.
    pub fn record_mismatch(&mut self, version: Version, name: &Name) -> Vec<Name> {
        self.mismatches.retain(|other| other.version.revision == version.revision);
        let mismatch = Mismatch { version, source: name.clone() };
        if !self.mismatches.contains(&mismatch) && self.mismatches.len() < MAX_ENTRIES {
            self.mismatches.push(mismatch);
        }
        let same = self.mismatches.iter().filter(|other| other.version == version);
        let sources: Vec<Name> = same.map(|other| other.source.clone()).collect();
        if sources.len() >= MIN_CONTRADICTING { sources } else { Vec::new() }
    }

    /// Removes all reports, after another state came into force.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
