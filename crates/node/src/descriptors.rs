//! How many descriptors the process may hold: what its configuration says, and what the system allows.
//!
//! The places of client connections are counted from `limits.sockets`, and what is kept back for all else is left beside
//! them. Where the system allows fewer, idle clients would take those too: then nobody is accepted any more, no fallen
//! link is made again, and no operator is answered.

use gradepin_core::config::Limits;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use slog::{Logger, warn};

/// What is kept back, the operators' callers and calls to the ledger included, and some places for clients: a server goes
/// by no fewer, whatever the system allows.
const LEAST: usize = 96;

/// Has the system allow as many as the configuration says, as far as it does, and goes by what it allows.
pub fn apply_system_limit(limits: &mut Limits, log: &Logger) {
    let allowed = usize::try_from(raise(limits.sockets as u64)).unwrap_or(usize::MAX);
    if allowed < limits.sockets {
        warn!(log, "the system allows fewer descriptors than limits.sockets, and the server goes by that";
            "allowed" => allowed, "configured" => limits.sockets);
        limits.sockets = allowed.max(LEAST);
    }
}

/// Raises the soft limit towards this number, as far as the hard one lets it; says what is allowed then.
fn raise(wanted: u64) -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let current = limit.current.unwrap_or(u64::MAX);
    if current >= wanted {
        return current;
    }
    let raised = limit.maximum.map_or(wanted, |most| most.min(wanted));
    // Where it is denied, what is allowed is as it was.
    match setrlimit(Resource::Nofile, Rlimit { current: Some(raised), maximum: limit.maximum }) {
        Ok(()) => raised,
        Err(_) => current,
    }
}
