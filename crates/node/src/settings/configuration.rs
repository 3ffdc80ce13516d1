//! Settings of the configuration service: where the last good state is kept, and how changes spread.

use super::reader::Block;
use gradepin_admission::Span;
use gradepin_cluster::peer::MAX_NAME_BYTES;
use std::collections::BTreeMap;
use std::path::PathBuf;

const MS: u64 = 1_000_000;
/// A state that nobody confirmed for so long is told as stale: some times the 14 s in which a change is in force.
const STALE_AFTER: Span = Span(60_000 * MS);
/// Commits kept for people and for servers that are a little behind.
const HISTORY: u64 = 1_024;
/// Bytes a second sent for changes, snapshots aside; shared with membership on the same network.
const BYTES_PER_SECOND: u64 = 32_000;
/// Bytes a second of snapshots served to those who are far behind.
const SNAPSHOT_BYTES_PER_SECOND: u64 = 64_000;

/// How this server takes part in the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationSettings {
    /// A folder of this server's own for the last good state; none: it starts from its start file.
    pub folder: Option<PathBuf>,
    /// The age past which the state is told as stale.
    pub stale_after: Span,
    /// Commits kept.
    pub history: usize,
    /// Bytes a second sent, snapshots aside, at the most.
    pub bytes_per_second: u32,
    /// Bytes a second of snapshots served, at the most.
    pub snapshot_bytes_per_second: u32,
    /// The region of each zone that is in one.
    pub regions: BTreeMap<String, String>,
}

/// Reads the block.
pub fn read(mut block: Block<'_>) -> ConfigurationSettings {
    let bytes = |block: &mut Block<'_>, name: &str, usual: u64| {
        block.whole(name, 4_000..=10_000_000).unwrap_or(usual) as u32
    };
    let settings = ConfigurationSettings {
        folder: block.word("folder").map(PathBuf::from),
        stale_after: block.span_ms("stale-after-ms", 1_000..=86_400_000).unwrap_or(STALE_AFTER),
        history: block.whole("history", 16..=65_536).unwrap_or(HISTORY) as usize,
        bytes_per_second: bytes(&mut block, "bytes-per-second", BYTES_PER_SECOND),
        snapshot_bytes_per_second: bytes(&mut block, "snapshot-bytes-per-second", SNAPSHOT_BYTES_PER_SECOND),
        regions: regions(&mut block),
    };
    block.end();
    settings
}

fn regions(block: &mut Block<'_>) -> BTreeMap<String, String> {
    let mut regions: BTreeMap<String, String> = BTreeMap::new();
    for (region, node) in block.each("region") {
        let mut inside = node.block();
        if regions.values().any(|known| *known == region) {
            node.problem("the same region twice");
        }
        let zones = inside.each("zone");
        if zones.is_empty() && !inside.has("zone") {
            node.problem("expected a zone in the region, as in zone \"lahti-1\"");
        }
        for (zone, node) in zones {
            if zone.len() > MAX_NAME_BYTES {
                node.problem(&format!("expected zone of {MAX_NAME_BYTES} bytes at the most"));
            }
            if regions.contains_key(&zone) {
                node.problem("the same zone twice");
            }
            regions.insert(zone, region.clone());
            node.no_block();
            node.end_properties();
        }
        inside.end();
        node.end_properties();
    }
    regions
}

impl ConfigurationSettings {
    /// The region of a zone; the zone itself where it is in none.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}

#[cfg(test)]
mod tests;
