//! Settings of the store.

use super::reader::Block;
use gradepin_admission::{Idempotency, Span};
use gradepin_core::config::Config;
use gradepin_store::log::Limits;
use std::path::PathBuf;

const MS: u64 = 1_000_000;
const MB: u64 = 1 << 20;
/// What a run takes while it is read and taken over, in bytes; measured at 100,000 of them. Half of the memory may go
/// there.
const RUN: usize = 600;
const RUNS_PART: usize = 2;
/// A recovery brings back results of this part of the memory at the most: what the table of keys keeps.
const RESULTS_PART: usize = 6;

/// Where keyed runs are kept beyond the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// A folder of this server's own, on a disk that lasts.
    pub path: PathBuf,
    /// How long an intent may take to become durable before its request is refused.
    pub patience: Span,
    /// All segments together, in bytes.
    pub most_bytes: u64,
    /// One segment, in bytes.
    pub segment_bytes: u64,
}

/// Reads the block; none if it names no folder, and then that is a problem.
pub fn read(mut block: Block<'_>) -> Option<StoreSettings> {
    let path = block.word("path");
    if path.is_none() && !block.has("path") {
        block.problem("expected a path, as in path \"/var/lib/gradepin/n3\"");
    }
    let patience = block.span_ms("patience-ms", 10..=10_000).unwrap_or(Span(250 * MS));
    let most = block.whole("most-mb", 8..=65_536).unwrap_or(512);
    let segment = block.whole("segment-mb", 1..=1_024).unwrap_or(4);
    if most < 2 * segment {
        block.problem(
            "expected most-mb of twice segment-mb or more: one segment is written while another ends",
        );
    }
    block.end();
    let (most_bytes, segment_bytes) = (most * MB, segment * MB);
    path.map(|path| StoreSettings { path: path.into(), patience, most_bytes, segment_bytes })
}

impl StoreSettings {
    /// The bounds of the log of a server with this configuration.
    pub fn limits(&self, config: &Config) -> Limits {
        let keyed = config.settings.profiles.iter().filter(|profile| profile.effect == Idempotency::Keyed);
        Limits {
            segment_bytes: self.segment_bytes,
            most_bytes: self.most_bytes,
            most_results: config.memory(RESULTS_PART),
            most_records: config.memory(RUNS_PART) / RUN,
            window: keyed.map(|profile| profile.window).max().unwrap_or_default(),
        }
    }
}
