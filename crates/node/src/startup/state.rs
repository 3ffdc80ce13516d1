//! Builds the reducer and the values derived from the configuration before its classes and tenants move into the
//! reducer.

use crate::clock::Clock;
use crate::inherited_listener::InheritedListener;
use crate::settings::{ActiveSettings, OperatorSettings};
use gradepin_admission::{Settings, Span, SplitSettings};
use gradepin_core::buffer_pool::{BUFFER_BYTES, BufferPool};
use gradepin_core::config::{Config, ConfigError};
use gradepin_core::idempotency_log::IdempotencyLog;
use gradepin_core::reducer::{Reducer, cell_names};
use gradepin_core::registration::Registration;
use gradepin_registry::membership::Membership;
use gradepin_store::log::Limits;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of free buffers in the pool, about 9 MB.
const MAX_POOLED_BUFFERS: usize = 2048;
/// Free buffers use at most the memory divided by this number.
const POOL_MEMORY_DIVISOR: usize = 16;

/// The reducer, and the values that the start of other parts needs.
pub(super) struct ServerState {
    /// The reducer, which owns all state of the server.
    pub reducer: Reducer,
    /// Classes and tenants by name, for the front ends; the definitions are shared with the reducer.
    pub names: ActiveSettings,
    /// Names of the cells of leases and counters, for operators.
    pub cell_names: BTreeMap<u32, String>,
    /// Limits of the idempotency store, if there is one.
    pub store_limits: Option<Limits>,
    /// The longest idempotency window of any class.
    pub longest_window: Span,
    /// The id of this server's instance in the registry; empty without a registry.
    pub instance_id: String,
    /// Buffers for bodies, results and frames.
    pub pool: Arc<BufferPool>,
    /// The clock of the reducer.
    pub clock: Clock,
    /// The configured seed, for random numbers that need not differ between processes.
    pub seed: u64,
}

impl ServerState {
    /// Builds the reducer. Classes and tenants are moved from `config` into it, so that they are in memory only once.
    pub(super) fn build(
        config: &mut Config,
        operator: &OperatorSettings,
        inherited: &InheritedListener,
    ) -> Result<Self, ConfigError> {
        let cell_names = cell_names(&config.settings);
        let store_limits = operator.store.as_ref().map(|store| store.limits(config));
        let longest_window = longest_window(&config.settings);
        let SplitSettings { global, classes, tenants } = std::mem::take(&mut config.settings).split();
        config.settings = global;
        let names = ActiveSettings::of(&classes, &tenants);
        let clock = Clock::start();
        let seed = config.seed()?;
        let membership = operator.registry.as_ref().map(|registry| registry.membership(config));
        let instance_id =
            membership.as_ref().map(|membership| membership.instance.id.clone()).unwrap_or_default();
        let membership = membership.map(|settings| Membership::new(settings, seed, clock.read().now));
        let registration = Registration::new(membership, operator.leave_hold);
        let mut reducer = Reducer::with_definitions(config, classes, tenants, registration)?;
        if inherited.accept_fd.is_some() {
            reducer = reducer.sharing_listener();
        }
        let pool = BufferPool::new(MAX_POOLED_BUFFERS.min(config.memory(POOL_MEMORY_DIVISOR) / BUFFER_BYTES));
        if let Some(store) = &operator.store {
            reducer = reducer.with_store(IdempotencyLog::opening(store.persist_timeout), Arc::clone(&pool));
        }
        Ok(Self { reducer, names, cell_names, store_limits, longest_window, instance_id, pool, clock, seed })
    }
}

/// The longest time during which a keyed request may be repeated, over all classes.
fn longest_window(settings: &Settings) -> Span {
    settings.profiles.iter().map(|profile| profile.window).max().unwrap_or_default()
}
