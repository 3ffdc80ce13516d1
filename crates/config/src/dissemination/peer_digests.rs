//! Which peers confirm the state of this server, and which contradict it.
//!
//! One peer with another digest for a revision that is known here is most likely wrong itself. Two of them, and more than
//! those who confirm, mean that this server's own state is wrong.

use crate::change::Name;
use crate::digest::Version;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;

/// How long a digest of a peer counts.
const VALIDITY: Span = Span(60_000_000_000);
/// Peers, or mismatched records, remembered in each table.
const MAX_ENTRIES: usize = 64;
/// Peers that it takes to doubt the state of this server.
const MIN_CONTRADICTING: usize = 2;

/// What peers reported of the state that this server is in.
#[derive(Debug, Default)]
pub struct PeerDigests {
    confirming: BTreeMap<Name, Time>,
    contradicting: BTreeMap<Name, Time>,
    mismatches: Vec<Mismatch>,
}

/// A record for the next revision whose digest did not match the state after its commit.
#[derive(Debug, PartialEq, Eq)]
struct Mismatch {
    version: Version,
    source: Name,
}

fn record(reports: &mut BTreeMap<Name, Time>, now: Time, name: &Name) {
    if reports.len() >= MAX_ENTRIES && !reports.contains_key(name) {
        reports.retain(|_, reported_at| now < time_after(*reported_at, VALIDITY));
    }
    if reports.len() < MAX_ENTRIES || reports.contains_key(name) {
        reports.insert(name.clone(), now);
    }
}

fn count_valid(reports: &BTreeMap<Name, Time>, now: Time) -> usize {
    reports.values().filter(|reported_at| now < time_after(**reported_at, VALIDITY)).count()
}

impl PeerDigests {
    /// A peer reported the digest that is known here.
    pub fn confirm(&mut self, now: Time, name: &Name) {
        self.contradicting.remove(name);
        record(&mut self.confirming, now, name);
    }

    /// A peer reported another digest. Returns whether the state of this server is in doubt.
    pub fn contradict(&mut self, now: Time, name: &Name) -> bool {
        self.confirming.remove(name);
        record(&mut self.contradicting, now, name);
        let contradicting = count_valid(&self.contradicting, now);
        contradicting >= MIN_CONTRADICTING && contradicting > count_valid(&self.confirming, now)
    }

    /// A peer sent a record for the next revision whose digest does not match here. Where two peers sent the same record, this
    /// server's own state is in doubt, and these peers are returned; otherwise the result is empty.
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

    /// Forgets all reports: another state is in force.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
