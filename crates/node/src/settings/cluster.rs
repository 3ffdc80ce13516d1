//! The `cluster` block: how the servers of a fleet reach each other, detect failures and lend slots.

use super::kdl_reader::{Block, NANOSECONDS_PER_MS, OldName};
use gradepin_admission::Span;
use gradepin_cluster::authentication::{AuthenticationKeys, InvalidKeys};
use gradepin_cluster::leases::LeaseSettings;
use gradepin_cluster::members::FailureDetection;
use gradepin_cluster::peer::MAX_NAME_BYTES;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum number of seeds; more of them don't find more servers.
const MAX_SEEDS: usize = 16;
/// The largest clock drift for which leases can be configured, in millionths.
const MAX_DRIFT_PPM: u64 = 200_000;
const DEFAULT_BYTES_PER_SECOND: u64 = 32_000;
const DEFAULT_PROBES_PER_SECOND: f64 = 2.0;
/// Names in the `cluster` block up to version 0.2.
const OLD_NAMES: [OldName; 7] = [
    OldName { old: "probe-ms", new: "probe-period-ms" },
    OldName { old: "answer-ms", new: "probe-timeout-ms" },
    OldName { old: "suspect-ms", new: "suspicion-timeout-ms" },
    OldName { old: "bytes-a-second", new: "max-bytes-per-second" },
    OldName { old: "repeats", new: "retry-ratio" },
    OldName { old: "probes-a-second", new: "probes-per-second" },
    OldName { old: "slots", new: "leases" },
];
/// Names in the `leases` block up to version 0.2, where the block was called `slots`.
const OLD_LEASE_NAMES: [OldName; 5] = [
    OldName { old: "lease-ms", new: "duration-ms" },
    OldName { old: "call-ms", new: "max-call-ms" },
    OldName { old: "drift", new: "max-clock-drift" },
    OldName { old: "part", new: "lendable-share" },
    OldName { old: "drill-ignores-ends", new: "drill-ignore-expiry" },
];

/// Membership in a fleet whose servers exchange datagrams.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Address on which datagrams are received.
    pub listen: SocketAddr,
    /// Address at which other servers reach this one.
    pub advertise: SocketAddr,
    /// Name of the zone, whose servers can fail together.
    pub zone: String,
    /// Addresses of the servers that are contacted first at the start.
    pub seeds: Vec<SocketAddr>,
    /// File with the keys that authenticate datagrams.
    pub key_file: PathBuf,
    /// Timing of probes and suspicion.
    pub failure_detection: FailureDetection,
    /// Limit of the bytes sent per second.
    pub max_bytes_per_second: u32,
    /// Retries per first attempt that the fleet accepts; `None` for no limit.
    pub retry_ratio: Option<f64>,
    /// Health checks per second, of all servers together, to a shared upstream that seems to be down.
    pub probes_per_second: f64,
    /// Leases of slots of the shared upstream, if servers lend them; `upstream_linger` is set by
    /// [`FleetSettings::lease_settings`].
    pub leases: Option<LeaseSettings>,
}

/// Why a key file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeysError {
    /// The file can't be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        error: std::io::Error,
    },
    /// The file has no valid keys.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The error and its line.
        error: InvalidKeys,
    },
}

/// Reads the keys that authenticate the fleet's datagrams.
///
/// # Errors
/// If the file can't be read or has no valid keys.
pub fn keys(path: &Path) -> Result<AuthenticationKeys, KeysError> {
    let text = std::fs::read_to_string(path).map_err(|error| KeysError::Read { path: path.into(), error })?;
    AuthenticationKeys::parse(&text).map_err(|error| KeysError::Invalid { path: path.into(), error })
}

/// Reads the block; `None` if a required node is missing, which is a problem.
pub(super) fn read(mut block: Block<'_>) -> Option<FleetSettings> {
    block.accept_old_names(&OLD_NAMES);
    let listen = required(&mut block, "listen", "listen \"127.0.0.1:7947\"", Block::address);
    let advertise = block.address("advertise").or(listen);
    if let Some(address) = advertise.filter(|address| address.ip().is_unspecified() || address.port() == 0) {
        block.problem(format!("expected advertise to be an address that others reach, got {address}"));
    }
    let key_file = required(&mut block, "key-file", "key-file \"/etc/gradepin/fleet.keys\"", Block::text);
    let zone = block.text("zone").unwrap_or_default();
    if zone.len() > MAX_NAME_BYTES {
        block.problem(format!("expected zone of at most {MAX_NAME_BYTES} bytes"));
    }
    let seeds = seeds(&mut block);
    let failure_detection = failure_detection(&mut block);
    let max_bytes_per_second =
        block.integer("max-bytes-per-second", 4_000..=10_000_000).unwrap_or(DEFAULT_BYTES_PER_SECOND) as u32;
    let retry_ratio = block.number("retry-ratio", 0.0..=10.0);
    let probes_per_second =
        block.number("probes-per-second", 0.01..=1_000.0).unwrap_or(DEFAULT_PROBES_PER_SECOND);
    let leases = block.block("leases").map(leases);
    block.end();
    Some(FleetSettings {
        listen: listen?,
        advertise: advertise?,
        zone,
        seeds,
        key_file: key_file?.into(),
        failure_detection,
        max_bytes_per_second,
        retry_ratio,
        probes_per_second,
        leases,
    })
}

/// Reads a node without a default; adds a problem if it is missing.
fn required<'p, T>(
    block: &mut Block<'p>,
    name: &str,
    example: &str,
    read: impl Fn(&mut Block<'p>, &str) -> Option<T>,
) -> Option<T> {
    let value = read(block, name);
    if value.is_none() && !block.has(name) {
        block.problem(format!("expected a {name}, as in {example}"));
    }
    value
}

fn seeds(block: &mut Block<'_>) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for (text, node) in block.each("seed") {
        match text.parse::<SocketAddr>() {
            Ok(seed) if seeds.contains(&seed) => node.problem("the same seed twice"),
            Ok(seed) => seeds.push(seed),
            Err(_) => node.problem(format!("expected seed to be IP:PORT, got {text:?}")),
        }
        node.end();
    }
    if seeds.is_empty() && !block.has("seed") {
        block
            .problem("expected a seed, as in seed \"127.0.0.1:7947\"; the first server uses its own address");
    }
    if seeds.len() > MAX_SEEDS {
        block.problem(format!("expected at most {MAX_SEEDS} seeds"));
    }
    seeds
}

fn failure_detection(block: &mut Block<'_>) -> FailureDetection {
    let default = FailureDetection::default();
    let settings = FailureDetection {
        probe_period: block.milliseconds("probe-period-ms", 100..=60_000).unwrap_or(default.probe_period),
        probe_timeout: block.milliseconds("probe-timeout-ms", 10..=30_000).unwrap_or(default.probe_timeout),
        suspicion_timeout: block
            .milliseconds("suspicion-timeout-ms", 200..=600_000)
            .unwrap_or(default.suspicion_timeout),
    };
    if settings.probe_timeout.0 * 2 > settings.probe_period.0 {
        block.problem(
            "expected probe-timeout-ms of at most half of probe-period-ms: in the rest other servers are asked to probe",
        );
    }
    if settings.suspicion_timeout < settings.probe_period {
        block.problem(
            "expected suspicion-timeout-ms of probe-period-ms or more: a suspected server needs time to refute it",
        );
    }
    settings
}

fn leases(mut block: Block<'_>) -> LeaseSettings {
    block.accept_old_names(&OLD_LEASE_NAMES);
    let default = LeaseSettings::default();
    let settings = LeaseSettings {
        duration: block.milliseconds("duration-ms", 200..=60_000).unwrap_or(default.duration),
        max_call: block.milliseconds("max-call-ms", 50..=60_000).unwrap_or(default.max_call),
        upstream_linger: default.upstream_linger,
        max_drift_ppm: block
            .fraction("max-clock-drift")
            .map_or(default.max_drift_ppm, |fraction| (fraction * 1e6) as u64),
        lendable_permille: block
            .fraction("lendable-share")
            .map_or(default.lendable_permille, |fraction| (fraction * 1e3) as u32),
        ignore_expiry: block.boolean("drill-ignore-expiry").unwrap_or(false),
    };
    if settings.max_drift_ppm > MAX_DRIFT_PPM {
        block.problem("expected max-clock-drift from 0 to 0.2: a clock further off than that is broken");
    }
    block.end();
    settings
}

impl FleetSettings {
    /// Builds the settings of the leases; `linger` is how long the shared upstream still works on an abandoned call.
    pub fn lease_settings(&self, linger: Span) -> LeaseSettings {
        LeaseSettings {
            upstream_linger: linger.max(Span(NANOSECONDS_PER_MS)),
            ..self.leases.clone().unwrap_or_default()
        }
    }
}

#[cfg(test)]
mod tests;
