//! The `config` block: the folder of the configuration service's last good state, and how changes are disseminated.

use super::kdl_reader::{Block, NANOSECONDS_PER_MS};
use gradepin_admission::Span;
use gradepin_cluster::peer::MAX_NAME_BYTES;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Several times the 14 s after which a change is in force.
const DEFAULT_STALE_AFTER: Span = Span(60_000 * NANOSECONDS_PER_MS);
/// Commits kept for operators and for servers that are only a few revisions behind.
const DEFAULT_HISTORY_COMMITS: u64 = 1_024;
/// Low enough to share the network with the membership protocol.
const DEFAULT_BYTES_PER_SECOND: u64 = 32_000;
const DEFAULT_SNAPSHOT_BYTES_PER_SECOND: u64 = 64_000;

/// This server's part in the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationSettings {
    /// Folder for the last good state, used by this server alone; `None` to start from the configuration file.
    pub folder: Option<PathBuf>,
    /// A state without a confirmation for this long is reported as stale.
    pub stale_after: Span,
    /// Number of commits kept for operators and for servers that are only a few revisions behind.
    pub history: usize,
    /// Limit of the bytes sent per second, except for snapshots.
    pub bytes_per_second: u32,
    /// Limit of the snapshot bytes sent per second to servers that are far behind.
    pub snapshot_bytes_per_second: u32,
    /// Region of each zone that is in one.
    pub regions: BTreeMap<String, String>,
}

/// Reads the block.
pub(super) fn read(mut block: Block<'_>) -> ConfigurationSettings {
    let bytes_per_second = |block: &mut Block<'_>, name: &str, default: u64| {
        block.integer(name, 4_000..=10_000_000).unwrap_or(default) as u32
    };
    let settings = ConfigurationSettings {
        folder: block.text("folder").map(PathBuf::from),
        stale_after: block.milliseconds("stale-after-ms", 1_000..=86_400_000).unwrap_or(DEFAULT_STALE_AFTER),
        history: block.integer("history", 16..=65_536).unwrap_or(DEFAULT_HISTORY_COMMITS) as usize,
        bytes_per_second: bytes_per_second(&mut block, "bytes-per-second", DEFAULT_BYTES_PER_SECOND),
        snapshot_bytes_per_second: bytes_per_second(
            &mut block,
            "snapshot-bytes-per-second",
            DEFAULT_SNAPSHOT_BYTES_PER_SECOND,
        ),
        regions: regions(&mut block),
    };
    block.end();
    settings
}

/// Reads the zones of each region.
fn regions(block: &mut Block<'_>) -> BTreeMap<String, String> {
    let mut regions: BTreeMap<String, String> = BTreeMap::new();
    for (region, node) in block.each("region") {
        let mut children = node.block();
        if regions.values().any(|known| *known == region) {
            node.problem("the same region twice");
        }
        let zones = children.each("zone");
        if zones.is_empty() && !children.has("zone") {
            node.problem("expected a zone in the region, as in zone \"lahti-1\"");
        }
        for (zone, node) in zones {
            if zone.len() > MAX_NAME_BYTES {
                node.problem(format!("expected zone of at most {MAX_NAME_BYTES} bytes"));
            }
            if regions.contains_key(&zone) {
                node.problem("the same zone twice");
            }
            regions.insert(zone, region.clone());
            node.no_block();
            node.end();
        }
        children.end();
        node.end();
    }
    regions
}

impl ConfigurationSettings {
    /// The region of a zone, or the zone itself if it is in none.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}

#[cfg(test)]
mod tests;
