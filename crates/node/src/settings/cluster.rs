//! Settings of the fleet: how servers reach each other, and what they share.

use super::reader::{Block, OldName};
use gradepin_admission::Span;
use gradepin_cluster::authentication::{AuthenticationKeys, InvalidKeys};
use gradepin_cluster::leases::LeaseSettings;
use gradepin_cluster::members::FailureDetection;
use gradepin_cluster::peer::MAX_NAME_BYTES;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MS: u64 = 1_000_000;
/// A fleet's seeds; more are no better.
const MAX_SEEDS: usize = 16;
/// The largest drift of a clock in millionths that leases are made for.
const MAX_DRIFT_PPM: u64 = 200_000;
/// Names up to version 0.2 in the `cluster` block.
const OLD_NAMES: [OldName; 7] = [
    OldName { old: "probe-ms", new: "probe-period-ms" },
    OldName { old: "answer-ms", new: "probe-timeout-ms" },
    OldName { old: "suspect-ms", new: "suspicion-timeout-ms" },
    OldName { old: "bytes-a-second", new: "max-bytes-per-second" },
    OldName { old: "repeats", new: "retry-ratio" },
    OldName { old: "probes-a-second", new: "probes-per-second" },
    OldName { old: "slots", new: "leases" },
];
/// Names up to version 0.2 in the `leases` block, which was called `slots`.
const OLD_LEASE_NAMES: [OldName; 5] = [
    OldName { old: "lease-ms", new: "duration-ms" },
    OldName { old: "call-ms", new: "max-call-ms" },
    OldName { old: "drift", new: "max-clock-drift" },
    OldName { old: "part", new: "lendable-share" },
    OldName { old: "drill-ignores-ends", new: "drill-ignore-expiry" },
];

/// Servers that talk to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Where datagrams are taken.
    pub listen: SocketAddr,
    /// Where others reach that.
    pub advertise: SocketAddr,
    /// The group of servers that may fail together.
    pub zone: String,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The file with the fleet's keys.
    pub key_file: PathBuf,
    /// How quickly the fleet notices.
    pub failure_detection: FailureDetection,
    /// Bytes sent in a second at the most.
    pub max_bytes_per_second: u32,
    /// Repeated tries for each first one that the fleet takes.
    pub retry_ratio: Option<f64>,
    /// Probes a second of the whole fleet to a ledger that looks dead.
    pub probes_per_second: f64,
    /// How slots of the shared ledger are lent, if they are; its linger is told by the configuration.
    pub leases: Option<LeaseSettings>,
}

/// Why the fleet's keys can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeysError {
    /// The file can't be read.
    #[error("{}: {why}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        why: std::io::Error,
    },
    /// It holds no keys.
    #[error("{}: {why}", path.display())]
    Bad {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        why: InvalidKeys,
    },
}

/// Reads the fleet's keys.
pub fn keys(path: &Path) -> Result<AuthenticationKeys, KeysError> {
    let text = std::fs::read_to_string(path).map_err(|why| KeysError::Read { path: path.into(), why })?;
    AuthenticationKeys::parse(&text).map_err(|why| KeysError::Bad { path: path.into(), why })
}

/// Reads the block; none if something that has no default is missing, and then that is a problem.
pub fn read(mut block: Block<'_>) -> Option<FleetSettings> {
    block.accept_old_names(&OLD_NAMES);
    let listen = block.address("listen");
    if listen.is_none() && !block.has("listen") {
        block.problem("expected a listen, as in listen \"127.0.0.1:7947\"");
    }
    let advertise = block.address("advertise").or(listen);
    if let Some(address) = advertise.filter(|address| address.ip().is_unspecified() || address.port() == 0) {
        block.problem(&format!("expected advertise to be an address that others reach, got {address}"));
    }
    let key_file = block.word("key-file");
    if key_file.is_none() && !block.has("key-file") {
        block.problem("expected a key-file, as in key-file \"/etc/gradepin/fleet.keys\"");
    }
    let zone = block.word("zone").unwrap_or_default();
    if zone.len() > MAX_NAME_BYTES {
        block.problem(&format!("expected zone of {MAX_NAME_BYTES} bytes at the most"));
    }
    let mut seeds = Vec::new();
    for (text, node) in block.each("seed") {
        match text.parse::<SocketAddr>() {
            Ok(seed) if seeds.contains(&seed) => node.problem("the same seed twice"),
            Ok(seed) => seeds.push(seed),
            Err(_) => node.problem(&format!("expected seed to be IP:PORT, got {text:?}")),
        }
        node.end_properties();
    }
    if seeds.is_empty() && !block.has("seed") {
        block.problem("expected a seed, as in seed \"127.0.0.1:7947\"; the first server names itself");
    }
    if seeds.len() > MAX_SEEDS {
        block.problem(&format!("expected {MAX_SEEDS} seeds at the most"));
    }
    let usual = FailureDetection::default();
    let failure_detection = FailureDetection {
        probe_period: block.span_ms("probe-period-ms", 100..=60_000).unwrap_or(usual.probe_period),
        probe_timeout: block.span_ms("probe-timeout-ms", 10..=30_000).unwrap_or(usual.probe_timeout),
        suspicion_timeout: block
            .span_ms("suspicion-timeout-ms", 200..=600_000)
            .unwrap_or(usual.suspicion_timeout),
    };
    if failure_detection.probe_timeout.0 * 2 > failure_detection.probe_period.0 {
        block.problem(
            "expected probe-timeout-ms of half of probe-period-ms at the most: others are asked to probe meanwhile",
        );
    }
    if failure_detection.suspicion_timeout < failure_detection.probe_period {
        block.problem(
            "expected suspicion-timeout-ms of probe-period-ms or more: a suspect must get to refute it",
        );
    }
    let max_bytes_per_second =
        block.whole("max-bytes-per-second", 4_000..=10_000_000).unwrap_or(32_000) as u32;
    let retry_ratio = block.number("retry-ratio", 0.0..=10.0);
    let probes_per_second = block.number("probes-per-second", 0.01..=1_000.0).unwrap_or(2.0);
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

fn leases(mut block: Block<'_>) -> LeaseSettings {
    block.accept_old_names(&OLD_LEASE_NAMES);
    let usual = LeaseSettings::default();
    let set = LeaseSettings {
        duration: block.span_ms("duration-ms", 200..=60_000).unwrap_or(usual.duration),
        max_call: block.span_ms("max-call-ms", 50..=60_000).unwrap_or(usual.max_call),
        upstream_linger: usual.upstream_linger,
        max_drift_ppm: block
            .share("max-clock-drift")
            .map_or(usual.max_drift_ppm, |share| (share * 1e6) as u64),
        lendable_permille: block
            .share("lendable-share")
            .map_or(usual.lendable_permille, |share| (share * 1e3) as u32),
        ignore_expiry: block.truth("drill-ignore-expiry").unwrap_or(false),
    };
    if set.max_drift_ppm > MAX_DRIFT_PPM {
        block.problem("expected max-clock-drift from 0 to 0.2: a clock further off than that is broken");
    }
    block.end();
    set
}

impl FleetSettings {
    /// How slots are lent by a server whose configuration tells how long an abandoned call stays with the ledger.
    pub fn lease_settings(&self, linger: Span) -> LeaseSettings {
        LeaseSettings { upstream_linger: linger.max(Span(MS)), ..self.leases.clone().unwrap_or_default() }
    }
}

#[cfg(test)]
mod tests;
