//! The `council` block: the consensus group of the fleet, its limits of servers out of service, and how rollouts change
//! this server.

use super::kdl_reader::{Block, NANOSECONDS_PER_MS};
use gradepin_admission::Span;
use gradepin_coordination::replicated_state::{Limits, Name};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

/// Maximum number of voters; more would be slower but in practice not safer.
const MAX_VOTERS: usize = 7;
/// Upper bound of each limit of servers out of service.
const MAX_LIMIT: u64 = 4_096;
const DEFAULT_STABILIZATION: Span = Span(3_000 * NANOSECONDS_PER_MS);
const DEFAULT_FRESH_FOR: Span = Span(2_000 * NANOSECONDS_PER_MS);

/// The consensus group, and this server's part in permits and rollouts.
#[derive(Debug, Clone, PartialEq)]
pub struct ConsensusSettings {
    /// Server names of the voters.
    pub voters: Vec<Name>,
    /// Folder of this server's voter state, if it may be a voter.
    pub folder: Option<PathBuf>,
    /// Folder in which settings are staged for rollouts.
    pub staging_folder: Option<PathBuf>,
    /// Limits of servers that are out of service at the same time.
    pub limits: Limits,
    /// Stabilization period: how long a server must have been ready before its permit ends.
    pub stabilization: Span,
    /// A server without a message for this long counts as out of service.
    pub fresh_for: Span,
    /// Whether a leave waits for a permit that is not granted immediately; otherwise it is rejected.
    pub waits_for_permit: bool,
    /// The command that replaces this server's program.
    pub replace_command: Option<PathBuf>,
    /// Whether the limits are ignored, in drills only.
    pub ignore_limits: bool,
}

/// Reads the block.
pub(super) fn read(mut block: Block<'_>) -> ConsensusSettings {
    let voters = voters(&mut block);
    let limits = limits(&mut block);
    let stabilization = block.milliseconds("steady-ms", 100..=3_600_000).unwrap_or(DEFAULT_STABILIZATION);
    let fresh_for = block.milliseconds("fresh-ms", 1_000..=60_000).unwrap_or(DEFAULT_FRESH_FOR);
    let waits_for_permit = block.choice("without-permit", &["wait", "refuse"]).is_none_or(|index| index == 0);
    let settings = ConsensusSettings {
        voters,
        folder: block.text("folder").map(PathBuf::from),
        staging_folder: block.text("stage").map(PathBuf::from),
        limits,
        stabilization,
        fresh_for,
        waits_for_permit,
        replace_command: block.text("replace-command").map(PathBuf::from),
        ignore_limits: block.boolean("drill-ignores-limits").unwrap_or(false),
    };
    block.end();
    settings
}

fn voters(block: &mut Block<'_>) -> Vec<Name> {
    let mut voters: Vec<Name> = Vec::new();
    for (name, node) in block.each("voter") {
        if voters.iter().any(|known| **known == *name) {
            node.problem("the same voter twice");
        }
        voters.push(Arc::from(name));
        node.end();
    }
    if voters.is_empty() && !block.has("voter") {
        block.problem("expected a voter, as in voter \"n0\", for each of 3 or 5 servers");
    } else if voters.len().is_multiple_of(2) || voters.len() > MAX_VOTERS {
        block.problem(
            "expected 3 or 5 voters: an even number tolerates no more failures than one voter fewer",
        );
    }
    voters
}

fn limits(block: &mut Block<'_>) -> Limits {
    let mut limits = Limits::default();
    limits.fleet = limit(block, "most-out").unwrap_or(limits.fleet);
    limits.zone = limit(block, "most-out-of-a-zone").unwrap_or(limits.zone);
    limits.zones = limit(block, "most-zones-out").unwrap_or(limits.zones);
    if let Some(mut services) = block.block("most-out-of-services") {
        let mut limits_by_service = BTreeMap::new();
        for name in services.names() {
            if let Some(limit) = limit(&mut services, &name) {
                limits_by_service.insert(Arc::from(name), limit);
            }
        }
        services.end();
        limits.services = limits_by_service;
    }
    limits
}

fn limit(block: &mut Block<'_>, name: &str) -> Option<u32> {
    block.integer(name, 0..=MAX_LIMIT).map(|number| number as u32)
}
