//! Settings of what the fleet agrees on: the council, the most that may be out, and how a release changes this server.

use super::reader::Block;
use gradepin_admission::Span;
use gradepin_coordination::replicated_state::{Limits, Name};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// A council's voters at the most: more are slower, and no safer in practice.
const MOST_VOTERS: usize = 7;

/// What the fleet agrees on.
#[derive(Debug, Clone, PartialEq)]
pub struct CouncilSettings {
    /// The voters, by their servers' names.
    pub voters: Vec<Name>,
    /// This server's folder, if it may be a voter; and where settings are staged.
    pub folder: Option<PathBuf>,
    /// See `folder`.
    pub stage: Option<PathBuf>,
    /// The most that may be out.
    pub limits: Limits,
    /// How long a server must have been ready before its permit is over.
    pub steady: Span,
    /// A server that wasn't heard for so long counts as out.
    pub fresh: Span,
    /// Whether a leave without a permit to be had waits, or is refused.
    pub waits: bool,
    /// The command that replaces this server's program.
    pub replace: Option<PathBuf>,
    /// A drill's: nothing is ever too many.
    pub plain: bool,
}

/// Reads the block.
pub fn read(mut block: Block<'_>) -> CouncilSettings {
    let mut voters: Vec<Name> = Vec::new();
    for (name, node) in block.each("voter") {
        if voters.iter().any(|known| **known == *name) {
            node.problem("the same voter twice");
        }
        voters.push(Arc::from(name));
        node.end_properties();
    }
    if voters.is_empty() && !block.has("voter") {
        block.problem("expected a voter, as in voter \"n0\", for each of 3 or 5 servers");
    } else if voters.len().is_multiple_of(2) || voters.len() > MOST_VOTERS {
        block.problem("expected 3 or 5 voters: of an even number the last one adds nothing");
    }
    let mut limits = Limits::default();
    let most = |block: &mut Block<'_>, name: &str, usual: u32| {
        block.whole(name, 0..=4_096).map_or(usual, |number| number as u32)
    };
    limits.fleet = most(&mut block, "most-out", limits.fleet);
    limits.zone = most(&mut block, "most-out-of-a-zone", limits.zone);
    limits.zones = most(&mut block, "most-zones-out", limits.zones);
    if let Some(mut services) = block.block("most-out-of-services") {
        let mut all = BTreeMap::new();
        for name in services.names() {
            if let Some(most) = services.whole(&name, 0..=4_096) {
                all.insert(Arc::from(name), most as u32);
            }
        }
        services.end();
        limits.services = all;
    }
    let steady = block.span_ms("steady-ms", 100..=3_600_000).unwrap_or(Span(3_000 * MS));
    let fresh = block.span_ms("fresh-ms", 1_000..=60_000).unwrap_or(Span(2_000 * MS));
    let waits = block.choice("without-permit", &["wait", "refuse"]).is_none_or(|place| place == 0);
    let set = CouncilSettings {
        voters,
        folder: block.word("folder").map(PathBuf::from),
        stage: block.word("stage").map(PathBuf::from),
        limits,
        steady,
        fresh,
        waits,
        replace: block.word("replace-command").map(PathBuf::from),
        plain: block.truth("drill-ignores-limits").unwrap_or(false),
    };
    block.end();
    set
}
