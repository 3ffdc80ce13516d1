//! The `store` block: the folder in which keyed runs outlive the process, and the limits of that log.

use super::kdl_reader::{Block, NANOSECONDS_PER_MS};
use gradepin_admission::{Idempotency, Span};
use gradepin_core::config::Config;
use gradepin_store::log::Limits;
use std::path::PathBuf;

const BYTES_PER_MIB: u64 = 1 << 20;
/// Memory that one run uses during recovery.
const RECOVERED_RUN_BYTES: usize = 600;
/// Recovered runs may use the memory divided by this number.
const RUNS_MEMORY_DIVISOR: usize = 2;
/// Recovered results may use the memory divided by this number, as in the idempotency table.
const RESULTS_MEMORY_DIVISOR: usize = 6;
const DEFAULT_PERSIST_TIMEOUT: Span = Span(250 * NANOSECONDS_PER_MS);
const DEFAULT_MAX_MIB: u64 = 512;
const DEFAULT_SEGMENT_MIB: u64 = 4;

/// Settings of the store of keyed runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// Folder on a durable disk, used by this server alone.
    pub path: PathBuf,
    /// How long an intent may take to become durable before its request is rejected.
    pub persist_timeout: Span,
    /// Maximum total size of all segments, in bytes.
    pub max_bytes: u64,
    /// Size of one segment, in bytes.
    pub segment_bytes: u64,
}

/// Reads the block; `None` if it has no path, which adds a problem.
pub(super) fn read(mut block: Block<'_>) -> Option<StoreSettings> {
    let path = block.text("path");
    if path.is_none() && !block.has("path") {
        block.problem("expected a path, as in path \"/var/lib/gradepin/n3\"");
    }
    let persist_timeout = block.milliseconds("patience-ms", 10..=10_000).unwrap_or(DEFAULT_PERSIST_TIMEOUT);
    let max_mib = block.integer("most-mb", 8..=65_536).unwrap_or(DEFAULT_MAX_MIB);
    let segment_mib = block.integer("segment-mb", 1..=1_024).unwrap_or(DEFAULT_SEGMENT_MIB);
    if max_mib < 2 * segment_mib {
        block.problem(
            "expected most-mb of twice segment-mb or more: one segment is written while the other one expires",
        );
    }
    block.end();
    Some(StoreSettings {
        path: path?.into(),
        persist_timeout,
        max_bytes: max_mib * BYTES_PER_MIB,
        segment_bytes: segment_mib * BYTES_PER_MIB,
    })
}

impl StoreSettings {
    /// Builds the limits of the log of a server with this configuration.
    pub fn limits(&self, config: &Config) -> Limits {
        let keyed = config.settings.profiles.iter().filter(|profile| profile.effect == Idempotency::Keyed);
        Limits {
            segment_bytes: self.segment_bytes,
            max_bytes: self.max_bytes,
            max_result_bytes: config.memory(RESULTS_MEMORY_DIVISOR),
            max_records: config.memory(RUNS_MEMORY_DIVISOR) / RECOVERED_RUN_BYTES,
            window: keyed.map(|profile| profile.window).max().unwrap_or_default(),
        }
    }
}
