//! `gradepin-testkit scale consensus`: what agreed entries cost three voters with files on a real disk, by how many there were.

use super::figure::Figure;
use super::options::{Options, check_resources, go_on, progress};
use super::report::Report;
use crate::bench::council::{GrantFigures, measure};
use crate::{fleet, interrupt};
use clap::Args;
use std::error::Error;

/// Grants of the sizes without others; each is some entries.
const SIZES: [u64; 5] = [40, 120, 360, 1_080, 3_240];
/// A day's releases and restarts of the planned fleet, a grant each.
const GRANTS_A_DAY: f64 = 1_700.0;
const MEMORY_NEEDED_MB: u64 = 100;
const DESCRIPTORS: u64 = 64;

/// Settings on the command line.
#[derive(Debug, Args)]
pub struct ConsensusArgs {
    /// Settings of all commands; sizes are grants of permits
    #[command(flatten)]
    pub options: Options,
    /// Voters
    #[arg(long, default_value_t = 3)]
    pub voters: usize,
}

/// Measures; false if a budget that is claimed to hold doesn't.
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
        go_on(&end)?;
        bar.set_message(format!("{size} grants"));
        let folder = fleet::folder(&format!("scale-consensus-{size}"))?;
        let granted = measure(&folder, args.voters, size);
        fleet::remove(&folder);
        let GrantFigures { p50_ms, p99_ms, syncs: syncs_each, bytes: kept } = granted?;
        p50.add(size, p50_ms);
        p99.add(size, p99_ms);
        syncs.add(size, syncs_each);
        bytes.add(size, kept as f64);
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
