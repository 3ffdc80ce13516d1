//! State and rules of a registry without I/O or clock: leases, overrides, eviction with self-preservation, the queue of
//! changes, and the response cache. Follows the public description of Eureka 1.x.

use gradepin_registry::instance::{ActionType, Applications, Instance, InstanceStatus, hash_code};
use std::collections::{BTreeMap, VecDeque};

/// Settings of a registry; all times in milliseconds.
#[derive(Debug, Clone)]
pub struct RegistrySettings {
    /// Interval between evictions of expired leases.
    pub evict_every_ms: u64,
    /// Fraction of the expected heartbeats below which no lease is evicted.
    pub preserve_share: f64,
    /// Whether self-preservation is on.
    pub preserves: bool,
    /// Lifetime of a cached response.
    pub cache_ms: u64,
    /// Time for which a change stays in the queue used for deltas.
    pub delta_ms: u64,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        let (evict_every_ms, cache_ms, delta_ms) = (60_000, 30_000, 180_000);
        Self { evict_every_ms, preserve_share: 0.85, preserves: true, cache_ms, delta_ms }
    }
}

/// Result of an operation that returns no content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The operation succeeded.
    Done,
    /// The instance is unknown, or its record is older than the instance's own and must be registered again.
    NotFound,
}

/// An operation that a registry replicates to its peers.
#[derive(Debug, Clone, PartialEq)]
pub enum Replicated {
    /// A registration.
    Register(Box<Instance>),
    /// A heartbeat.
    Renew(String, String, u64),
    /// A removal.
    Cancel(String, String),
    /// A status override.
    Override(String, String, InstanceStatus, u64),
    /// The removal of a status override, and the status from then on.
    ClearOverride(String, String, InstanceStatus, u64),
}

#[derive(Debug)]
struct Lease {
    instance: Instance,
    renewed_ms: u64,
}

/// A cached response and the time of its creation.
type Cached = Option<(u64, Applications)>;

/// A registry.
#[derive(Debug)]
pub struct Registry {
    set: RegistrySettings,
    leases: BTreeMap<(String, String), Lease>,
    overrides: BTreeMap<(String, String), InstanceStatus>,
    changes: VecDeque<(u64, Instance)>,
    full: Cached,
    delta: Cached,
    version: u64,
    /// Times of the heartbeats during the last minute.
    renewals: VecDeque<u64>,
    next_evict_ms: u64,
}

type Key = (String, String);

fn key(app: &str, id: &str) -> Key {
    (app.to_uppercase(), id.to_string())
}

impl Registry {
    /// Creates an empty registry that starts at `now_ms`.
    pub fn new(set: RegistrySettings, now_ms: u64) -> Self {
        Self {
            next_evict_ms: now_ms + set.evict_every_ms,
            set,
            leases: BTreeMap::new(),
            overrides: BTreeMap::new(),
            changes: VecDeque::new(),
            full: None,
            delta: None,
            version: 0,
            renewals: VecDeque::new(),
        }
    }

    fn changed(&mut self, now_ms: u64, key: &Key, action: ActionType) {
        let Some(lease) = self.leases.get_mut(key) else { return };
        lease.instance.updated_ms = now_ms;
        let told = Instance { action, ..lease.instance.clone() };
        self.version += 1;
        self.changes.push_back((now_ms, told));
        while self.changes.front().is_some_and(|(at, _)| at + self.set.delta_ms < now_ms) {
            self.changes.pop_front();
        }
    }

    /// Effective status: the instance's own status if it is down or starting; otherwise the override, if any;
    /// otherwise the status of the lease if that is up or out of service; otherwise the instance's own.
    fn status(&self, key: &Key, says: InstanceStatus, replicated: bool) -> InstanceStatus {
        if !matches!(says, InstanceStatus::Up | InstanceStatus::OutOfService) {
            return says;
        }
        if let Some(&status) = self.overrides.get(key) {
            return status;
        }
        let shows = self.leases.get(key).map(|lease| lease.instance.status).filter(|_| !replicated);
        shows
            .filter(|status| matches!(status, InstanceStatus::Up | InstanceStatus::OutOfService))
            .unwrap_or(says)
    }

    /// Registers an instance, or replaces its record unless that is newer.
    pub fn register(&mut self, mut instance: Instance, replicated: bool, now_ms: u64) {
        let key = key(&instance.app, &instance.id);
        if let Some(lease) = self.leases.get(&key).filter(|lease| lease.instance.dirty_ms > instance.dirty_ms)
        {
            instance = lease.instance.clone();
        }
        if instance.overridden != InstanceStatus::Unknown && !self.overrides.contains_key(&key) {
            self.overrides.insert(key.clone(), instance.overridden);
        }
        instance.status = self.status(&key, instance.status, replicated);
        instance.overridden = self.overrides.get(&key).copied().unwrap_or_default();
        (instance.lease.registered_ms, instance.lease.renewed_ms) = (now_ms, now_ms);
        if instance.status == InstanceStatus::Up && instance.lease.up_ms == 0 {
            instance.lease.up_ms = now_ms;
        }
        self.leases.insert(key.clone(), Lease { instance, renewed_ms: now_ms });
        self.changed(now_ms, &key, ActionType::Added);
    }

    /// Renews a lease. `dirty_ms` is the time of the instance's own last change, if it sent one.
    pub fn renew(&mut self, app: &str, id: &str, dirty_ms: Option<u64>, now_ms: u64) -> Outcome {
        let key = key(app, id);
        let Some(lease) = self.leases.get_mut(&key) else { return Outcome::NotFound };
        // The record is older than the instance's own: it must register again.
        if lease.instance.status == InstanceStatus::Unknown
            || dirty_ms.is_some_and(|dirty| dirty > lease.instance.dirty_ms)
        {
            return Outcome::NotFound;
        }
        lease.renewed_ms = now_ms;
        lease.instance.lease.renewed_ms = now_ms;
        self.renewals.push_back(now_ms);
        while self.renewals.front().is_some_and(|&at| at + 60_000 < now_ms) {
            self.renewals.pop_front();
        }
        Outcome::Done
    }

    /// Removes a registration.
    pub fn cancel(&mut self, app: &str, id: &str, now_ms: u64) -> Outcome {
        let key = key(app, id);
        if !self.leases.contains_key(&key) {
            return Outcome::NotFound;
        }
        self.changed(now_ms, &key, ActionType::Deleted);
        self.leases.remove(&key);
        self.overrides.remove(&key);
        Outcome::Done
    }

    /// Sets a status override.
    pub fn override_status(
        &mut self,
        app: &str,
        id: &str,
        status: InstanceStatus,
        dirty_ms: u64,
        now_ms: u64,
    ) -> Outcome {
        let key = key(app, id);
        let Some(lease) = self.leases.get_mut(&key) else { return Outcome::NotFound };
        lease.renewed_ms = now_ms;
        lease.instance.dirty_ms = lease.instance.dirty_ms.max(dirty_ms);
        let same = lease.instance.status == status && self.overrides.get(&key) == Some(&status);
        (lease.instance.status, lease.instance.overridden) = (status, status);
        if !same {
            self.overrides.insert(key.clone(), status);
            self.changed(now_ms, &key, ActionType::Modified);
        }
        Outcome::Done
    }

    /// Removes a status override, after which the instance has this status. Without an override, nothing changes.
    pub fn clear_override(
        &mut self,
        app: &str,
        id: &str,
        status: InstanceStatus,
        dirty_ms: u64,
        now_ms: u64,
    ) -> Outcome {
        let key = key(app, id);
        let Some(lease) = self.leases.get_mut(&key) else { return Outcome::NotFound };
        lease.renewed_ms = now_ms;
        if self.overrides.remove(&key).is_some() {
            lease.instance.overridden = InstanceStatus::Unknown;
            lease.instance.status = status;
            lease.instance.dirty_ms = lease.instance.dirty_ms.max(dirty_ms);
            self.changed(now_ms, &key, ActionType::Modified);
        }
        Outcome::Done
    }

    /// Adds entries to an instance's metadata.
    pub fn metadata(&mut self, app: &str, id: &str, pairs: &[(String, String)], now_ms: u64) -> Outcome {
        let key = key(app, id);
        let Some(lease) = self.leases.get_mut(&key) else { return Outcome::NotFound };
        lease.instance.metadata.extend(pairs.iter().cloned());
        self.changed(now_ms, &key, ActionType::Modified);
        Outcome::Done
    }

    /// Applies an operation replicated by a peer.
    pub fn replicate(&mut self, told: Replicated, now_ms: u64) -> Outcome {
        match told {
            Replicated::Register(instance) => {
                self.register(*instance, true, now_ms);
                Outcome::Done
            }
            Replicated::Renew(app, id, dirty) => self.renew(&app, &id, Some(dirty), now_ms),
            Replicated::Cancel(app, id) => self.cancel(&app, &id, now_ms),
            Replicated::Override(app, id, status, dirty) => {
                self.override_status(&app, &id, status, dirty, now_ms)
            }
            Replicated::ClearOverride(app, id, status, dirty) => {
                self.clear_override(&app, &id, status, dirty, now_ms)
            }
        }
    }

    /// Whether self-preservation is active: too few heartbeats arrive to conclude that an expired lease means a
    /// failed instance.
    pub fn preserving(&self) -> bool {
        let expected: f64 =
            self.leases.values().map(|l| 60.0 / l.instance.lease.renewal_s.max(1) as f64).sum();
        self.set.preserves && (self.renewals.len() as f64) < self.set.preserve_share * expected
    }

    /// Evicts expired leases when the interval has passed, at most as many as self-preservation allows.
    pub fn evict(&mut self, now_ms: u64) -> usize {
        if now_ms < self.next_evict_ms {
            return 0;
        }
        self.next_evict_ms = now_ms + self.set.evict_every_ms;
        if self.preserving() {
            return 0;
        }
        let late = |lease: &&Lease| now_ms > lease.renewed_ms + 1_000 * lease.instance.lease.duration_s;
        let late: Vec<Key> =
            self.leases.iter().filter(|(_, l)| late(l)).map(|(key, _)| key.clone()).collect();
        let most = self.leases.len() - (self.leases.len() as f64 * self.set.preserve_share) as usize;
        let most = if self.set.preserves { most } else { late.len() };
        for key in late.iter().take(most) {
            self.cancel(&key.0, &key.1, now_ms);
        }
        late.len().min(most)
    }

    /// Drops a lease silently; used to inject a fault.
    pub fn forget(&mut self, app: &str, id: &str) {
        self.leases.remove(&key(app, id));
        self.overrides.remove(&key(app, id));
    }

    /// Returns an instance.
    pub fn instance(&self, app: &str, id: &str) -> Option<&Instance> {
        self.leases.get(&key(app, id)).map(|lease| &lease.instance)
    }

    /// All instances, uncached.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.leases.values().map(|lease| &lease.instance)
    }

    fn applications(&self, instances: Vec<Instance>) -> Applications {
        let hash_code = hash_code(self.instances().map(|i| i.status));
        Applications { version: self.version.to_string(), hash_code, instances }
    }

    /// All applications from the response cache.
    pub fn full(&mut self, now_ms: u64) -> &Applications {
        if self.full.as_ref().is_none_or(|(at, _)| at + self.set.cache_ms <= now_ms) {
            self.full = Some((now_ms, self.applications(self.instances().cloned().collect())));
        }
        &self.full.get_or_insert_with(Default::default).1
    }

    /// Latest change of each recently changed instance, from the response cache.
    pub fn delta(&mut self, now_ms: u64) -> &Applications {
        if self.delta.as_ref().is_none_or(|(at, _)| at + self.set.cache_ms <= now_ms) {
            let mut last = BTreeMap::<(&str, &str), &Instance>::new();
            for (at, change) in &self.changes {
                if at + self.set.delta_ms >= now_ms {
                    last.insert((&change.app, &change.id), change);
                }
            }
            let changes = last.into_values().cloned().collect();
            self.delta = Some((now_ms, self.applications(changes)));
        }
        &self.delta.get_or_insert_with(Default::default).1
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one(id: &str, status: InstanceStatus, dirty_ms: u64) -> Instance {
        Instance { id: id.into(), app: "TILES".into(), status, dirty_ms, ..Instance::default() }
    }

    fn of(n: u64) -> Registry {
        let set = RegistrySettings { cache_ms: 0, evict_every_ms: 1_000, ..RegistrySettings::default() };
        let mut registry = Registry::new(set, 0);
        for n in 0..n {
            registry.register(one(&format!("n{n}"), InstanceStatus::Up, 1), false, 0);
        }
        registry
    }

    fn shows(registry: &Registry, id: &str) -> Option<InstanceStatus> {
        registry.instance("tiles", id).map(|i| i.status)
    }

    #[test]
    fn an_override_outlives_a_registration_and_its_removal_brings_the_state_told() {
        let mut r = of(1);
        assert_eq!(r.override_status("tiles", "n0", InstanceStatus::OutOfService, 2, 2), Outcome::Done);
        r.register(one("n0", InstanceStatus::Up, 3), false, 3);
        assert_eq!(shows(&r, "n0"), Some(InstanceStatus::OutOfService));
        r.register(one("n0", InstanceStatus::Starting, 4), false, 4);
        assert_eq!(shows(&r, "n0"), Some(InstanceStatus::Starting), "what isn't up is shown as it says");
        r.clear_override("tiles", "n0", InstanceStatus::Up, 5, 5);
        assert_eq!(shows(&r, "n0"), Some(InstanceStatus::Up));
        r.register(one("n0", InstanceStatus::OutOfService, 6), false, 6);
        assert_eq!(shows(&r, "n0"), Some(InstanceStatus::Up), "a lease that is up is trusted more");
    }

    #[test]
    fn an_older_record_doesnt_replace_a_newer_one_and_a_newer_one_must_register() {
        let mut r = of(0);
        r.register(one("n0", InstanceStatus::Down, 9), false, 1);
        r.register(one("n0", InstanceStatus::Up, 8), false, 2);
        assert_eq!(shows(&r, "n0"), Some(InstanceStatus::Down));
        assert_eq!(r.renew("tiles", "n0", Some(8), 3), Outcome::Done);
        assert_eq!(r.renew("tiles", "n0", Some(10), 3), Outcome::NotFound);
        assert_eq!(r.renew("tiles", "n1", None, 3), Outcome::NotFound);
    }

    #[test]
    fn leases_run_out_unless_most_heartbeats_are_missing() {
        let mut r = of(20);
        let alive = |r: &mut Registry, ids: u64, until: u64| {
            for ms in (0..until).step_by(30_000) {
                for n in 0..ids {
                    r.renew("tiles", &format!("n{n}"), None, ms);
                }
            }
        };
        alive(&mut r, 19, 120_000);
        assert_eq!((r.evict(120_000), shows(&r, "n19")), (1, None));
        assert!(r.instances().count() == 19 && !r.preserving());
        // Half of the remaining instances go silent, which is attributed to the network.
        let mut r = of(20);
        alive(&mut r, 10, 120_000);
        assert!(r.preserving());
        assert_eq!((r.evict(120_000), r.instances().count()), (0, 20));
    }

    #[test]
    fn a_delta_tells_each_changed_instance_once_with_the_code_of_all() {
        let mut r = of(2);
        r.override_status("tiles", "n0", InstanceStatus::OutOfService, 2, 10);
        r.cancel("tiles", "n1", 20);
        let delta = r.delta(30).clone();
        assert_eq!(delta.hash_code, "OUT_OF_SERVICE_1_");
        let told: Vec<(&str, ActionType)> =
            delta.instances.iter().map(|i| (i.id.as_str(), i.action)).collect();
        assert_eq!(told, [("n0", ActionType::Modified), ("n1", ActionType::Deleted)]);
        assert_eq!(r.full(30).instances.len(), 1);
        assert!(r.delta(300_000).instances.is_empty(), "changes leave the queue");
    }
}
