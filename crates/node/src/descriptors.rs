//! Reconciles the configured limit of file descriptors with the limit of the system.
//!
//! Client connections may use `limits.sockets` minus a reserve for everything else. If the system allows fewer
//! descriptors than configured, idle clients would use up the reserve: the server could not accept connections,
//! reconnect to the processor or answer operators.

use gradepin_core::config::Limits;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use slog::{Logger, warn};

/// Lower bound of `limits.sockets`, whatever the system allows: the reserve, operators' requests, upstream calls and
/// some client connections.
const MIN_DESCRIPTORS: usize = 96;

/// Raises the process's descriptor limit to `limits.sockets` as far as the hard limit allows, and lowers
/// `limits.sockets` to the resulting limit.
pub(crate) fn apply_system_limit(limits: &mut Limits, log: &Logger) {
    let allowed = usize::try_from(raise(limits.sockets as u64)).unwrap_or(usize::MAX);
    if allowed < limits.sockets {
        warn!(log, "the system allows fewer descriptors than limits.sockets; accepting fewer client connections";
            "allowed" => allowed, "configured" => limits.sockets);
        limits.sockets = allowed.max(MIN_DESCRIPTORS);
    }
}

/// Raises the soft limit to `wanted`, or to the hard limit if that is lower; returns the limit in force afterwards.
fn raise(wanted: u64) -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let current = limit.current.unwrap_or(u64::MAX);
    if current >= wanted {
        return current;
    }
    let raised = limit.maximum.map_or(wanted, |max| max.min(wanted));
    // If the system denies the change, the previous limit stays in force.
    match setrlimit(Resource::Nofile, Rlimit { current: Some(raised), maximum: limit.maximum }) {
        Ok(()) => raised,
        Err(_) => current,
    }
}
