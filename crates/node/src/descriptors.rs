//! The number of file descriptors that the process may hold, by its configuration and by the system.
//!
//! The limit of client connections is `limits.sockets` less a reserve for all else. Where the system allows fewer, idle
//! clients would take the reserve too: no connection would be accepted, no lost link made again, no operator answered.

use gradepin_core::config::Limits;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use slog::{Logger, warn};

/// The reserve, with those of operators' requests and upstream calls, and some client connections: a server assumes no fewer,
/// whatever the system allows.
const MIN_DESCRIPTORS: usize = 96;

/// Raises the system's limit to `limits.sockets` as far as the system lets it, and lowers `limits.sockets` to what is
/// allowed then.
pub(crate) fn apply_system_limit(limits: &mut Limits, log: &Logger) {
    let allowed = usize::try_from(raise(limits.sockets as u64)).unwrap_or(usize::MAX);
    if allowed < limits.sockets {
        warn!(log, "the system allows fewer descriptors than limits.sockets; using the system's limit";
            "allowed" => allowed, "configured" => limits.sockets);
        limits.sockets = allowed.max(MIN_DESCRIPTORS);
    }
}

/// Raises the soft limit towards `wanted`, as far as the hard limit lets it; returns the limit then in force.
fn raise(wanted: u64) -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let current = limit.current.unwrap_or(u64::MAX);
    if current >= wanted {
        return current;
    }
    let raised = limit.maximum.map_or(wanted, |max| max.min(wanted));
    // Where that is denied, the limit is as it was.
    match setrlimit(Resource::Nofile, Rlimit { current: Some(raised), maximum: limit.maximum }) {
        Ok(()) => raised,
        Err(_) => current,
    }
}
