//! Decisions by the fleet's counters: the fraction of a tenant's quota that this server may use, and the
//! retry budget.

use super::Cluster;
use crate::MS;
use crate::counters::{CellId, Reading, WINDOW, WorkCount};
use gradepin_admission::{Span, Time, span_seconds};
use std::collections::BTreeMap;

impl Cluster {
    /// Counts a received request in its cell, with its estimated core time and whether it is a retry.
    pub fn arrived(&mut self, now: Time, cell: CellId, is_retry: bool, estimate: Span) {
        let work = WorkCount {
            requested_ms: (estimate.0 / MS) as u32,
            served_ms: 0,
            first_attempts: u32::from(!is_retry),
            retries: u32::from(is_retry),
        };
        self.counters.count(now, cell, work);
    }

    /// Counts a served request in its cell, with the core time that it took.
    pub fn served(&mut self, now: Time, cell: CellId, took: Span) {
        let served_ms = (took.0 / MS) as u32;
        self.counters.count(now, cell, WorkCount { served_ms, ..WorkCount::default() });
    }

    /// The work requested and served in these cells over the fleet.
    pub fn read(&self, now: Time, wanted: impl Fn(CellId) -> bool) -> Reading {
        self.counters.read(now, wanted)
    }

    /// A tenant's fleet-wide quota, scaled for this server. The admission module compares this server's
    /// demand with an even fraction of the quota, so the quota is scaled up or down if this server receives
    /// more or less than an even fraction of the demand. Without peers, the configured quota.
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

    /// The fraction of its fleet-wide quota that each key may use on this server: the work requested here
    /// over the work requested at all servers whose counters are known. `key_of` maps a cell to its key. One
    /// pass over the counters, whatever the number of keys.
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

    /// Whether a retry is within the fleet's retry budget: always while retries are few, otherwise a random
    /// part that the budget allows. Without peers, by the requests of this server alone.
    pub fn admits_retry(&mut self, now: Time) -> bool {
        let Some(ratio) = self.settings.retry_ratio else { return true };
        let fleet = self.counters.read(now, |_| true).sum;
        let own = self.counters.local(|_| true);
        let counted = if own.retries > fleet.retries { own } else { fleet };
        // A minimum of retries is always admitted, because a ratio of few requests is not meaningful.
        let allowed_retries = ratio * f64::from(counted.first_attempts) + ratio * span_seconds(WINDOW);
        let retries = f64::from(counted.retries);
        retries <= allowed_retries || self.random() * retries < allowed_retries
    }
}
