//! `gradepin-testkit scale consensus`: cost of committed entries for voters with files on a real disk, by their number.

use super::figure::Figure;
use super::options::{Options, check_interrupted, check_resources, progress};
use super::report::Report;
use crate::bench::council::{GrantFigures, measure};
use crate::{fleet, interrupt};
use clap::Args;
use std::error::Error;

/// Default sizes, in grants; each grant takes several log entries.
const SIZES: [u64; 5] = [40, 120, 360, 1_080, 3_240];
/// Grants per day in the planned fleet: one for each server update or restart.
const GRANTS_A_DAY: f64 = 1_700.0;
const MEMORY_NEEDED_MB: u64 = 100;
const DESCRIPTORS: u64 = 64;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct ConsensusArgs {
    /// Common arguments; sizes are grants of permits
    #[command(flatten)]
    pub options: Options,
    /// Number of voters
    #[arg(long, default_value_t = 3)]
    pub voters: usize,
}

/// Runs the measurements; returns `false` if a budget that is claimed to hold doesn't.
pub fn run(args: &ConsensusArgs) -> Result<bool, Box<dyn Error>> {
    let end = interrupt::flag()?;
    check_resources(DESCRIPTORS, MEMORY_NEEDED_MB)?;
    let sizes = args.options.sizes_or(&SIZES);
    let bar = progress(sizes.len(), "consensus");
    let mut p50 =
        Figure::new("consensus.p50", "from a server's question until it may begin, half of the grants", "ms");
    let mut p99 = Figure::new("consensus.p99", "the same, 99 in 100", "ms");
    let mut syncs = Figure::new("consensus.syncs", "syncs of all voters for a grant and its end", "syncs");
    let mut bytes = Figure::new("consensus.disk", "kept by a voter: log and snapshot", "B");
    for size in sizes {
        check_interrupted(&end)?;
        bar.set_message(format!("{size} grants"));
        let folder = fleet::folder(&format!("scale-consensus-{size}"))?;
        let granted = measure(&folder, args.voters, size);
        fleet::remove(&folder);
        let GrantFigures { p50_ms, p99_ms, syncs: syncs_each, bytes: stored_bytes } = granted?;
        p50.add(size, p50_ms);
        p99.add(size, p99_ms);
        syncs.add(size, syncs_each);
        bytes.add(size, stored_bytes as f64);
        bar.inc(1);
    }
    bar.finish_and_clear();
    args.options.finish(&Report {
        command: "consensus",
        sizes_of: "grants",
        target: args.options.target_or(GRANTS_A_DAY),
        seed: args.options.seed,
        figures: vec![p50, p99, syncs, bytes],
        not_scored: None,
    })
}
