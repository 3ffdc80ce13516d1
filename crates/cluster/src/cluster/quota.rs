//! What the counts of the fleet are for: a tenant's quota as it comes to for this server, and the budget of retries.

use super::Cluster;
use crate::MS;
use crate::counters::{CellId, Reading, WINDOW, WorkCount};
use gradepin_admission::{Span, Time, span_seconds};
use std::collections::BTreeMap;

impl Cluster {
    /// A request came: of which cell, whether it is a retry, and what it is estimated to take.
    pub fn arrived(&mut self, now: Time, cell: CellId, is_retry: bool, estimate: Span) {
        let work = WorkCount {
            requested_ms: (estimate.0 / MS) as u32,
            served_ms: 0,
            first_attempts: u32::from(!is_retry),
            retries: u32::from(is_retry),
        };
        self.counters.count(now, cell, work);
    }

    /// A request was served, with so much core time.
    pub fn served(&mut self, now: Time, cell: CellId, took: Span) {
        let served_ms = (took.0 / MS) as u32;
        self.counters.count(now, cell, WorkCount { served_ms, ..WorkCount::default() });
    }

    /// What was requested and served in these cells over the fleet.
    pub fn read(&self, now: Time, wanted: impl Fn(CellId) -> bool) -> Reading {
        self.counters.read(now, wanted)
    }

    /// What a tenant's quota for the fleet comes to for this server, whose module holds what it sees itself against an
    /// even part of the quota: as much more or less as it sees more or less than an even part. Alone, the quota as set.
    pub fn quota(&self, now: Time, quota: f64, wanted: impl Fn(CellId) -> bool) -> f64 {
        let reading = self.counters.read(now, &wanted);
        let own = self.counters.local(&wanted);
        if reading.sum.requested_ms == 0 || own.requested_ms == 0 {
            return quota;
        }
        let fleet = reading.sum.requested_ms.max(own.requested_ms);
        let part = f64::from(own.requested_ms) / f64::from(fleet);
        quota * part * reading.servers.min(self.settings.servers) as f64
    }

    /// The part of its fleet-wide quota that each key may use here, by what was requested here and by all servers heard;
    /// `key_of` tells whose a cell is. One pass over the counters, however many keys there are.
    pub fn quota_parts<K: Ord + Copy>(
        &self,
        now: Time,
        key_of: impl Fn(CellId) -> Option<K>,
    ) -> BTreeMap<K, f64> {
        let fleet = self.counters.sums(now, &key_of);
        let servers = fleet.servers.min(self.settings.servers) as f64;
        let part = |(key, own): (K, WorkCount)| {
            let requested_ms = fleet.sums.get(&key).map_or(0, |sum| sum.requested_ms);
            let share = f64::from(own.requested_ms) / f64::from(requested_ms.max(own.requested_ms));
            (key, if requested_ms == 0 { 1.0 } else { share * servers })
        };
        let local = self.counters.local_sums(&key_of);
        local.into_iter().filter(|(_, own)| own.requested_ms > 0).map(part).collect()
    }

    /// Whether a retry is within the fleet's budget of them: all while they are few, else at random the part that the
    /// budget has room for. Alone, by what came here alone.
    pub fn admits_retry(&mut self, now: Time) -> bool {
        let Some(ratio) = self.settings.retry_ratio else { return true };
        let fleet = self.counters.read(now, |_| true).sum;
        let own = self.counters.local(|_| true);
        let counted = if own.retries > fleet.retries { own } else { fleet };
        // Some are always taken: of few requests a rate says nothing.
        let room = ratio * f64::from(counted.first_attempts) + ratio * span_seconds(WINDOW);
        let retries = f64::from(counted.retries);
        retries <= room || self.random() * retries < room
    }
}
