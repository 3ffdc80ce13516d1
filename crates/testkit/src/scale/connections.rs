//! `gradepin-testkit scale connections`: what connections that rest take of a real server, up to what descriptors allow.

use super::budgets::{CALLERS, CPU_PERCENT, MEMORY_MB};
use super::figure::{Budget, Claim, Figure};
use super::gaps::Prober;
use super::options::{Options, check_resources, go_on, progress, rest};
use super::report::Report;
use super::server::{Server, Wanted};
use crate::{fleet, interrupt};
use clap::Args;
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;

/// Connections of the sizes without others; the largest is half of what a process may have here.
const SIZES: [u64; 5] = [560, 1_120, 2_250, 4_500, 9_000];
/// Descriptors of the server that are no places for callers, and as many of this process.
const KEPT_BACK: u64 = 256;
const MEMORY_NEEDED_MB: u64 = 400;
const TENANTS: u64 = 11;

/// Settings on the command line.
#[derive(Debug, Args)]
pub struct ConnectionsArgs {
    /// Settings of all commands; sizes are connections to one server
    #[command(flatten)]
    pub options: Options,
    /// Seconds for which they rest
    #[arg(long, default_value_t = 2.0)]
    pub seconds: f64,
    /// The daemon's program, if it is not beside this one
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// What one size came to.
struct Row {
    memory_mb: f64,
    bytes: f64,
    cpu_us: f64,
    rest_percent: f64,
    held: f64,
}

/// Measures; false if a budget that is claimed to hold doesn't.
pub fn run(args: &ConnectionsArgs) -> Result<bool, Box<dyn Error>> {
    let end = interrupt::flag()?;
    let sizes = args.options.sizes_or(&SIZES);
    let largest = sizes.last().copied().unwrap_or(0);
    check_resources(largest * 8 / 7 + KEPT_BACK, MEMORY_NEEDED_MB)?;
    let daemon = args.daemon.clone().map_or_else(fleet::daemon, Ok)?;
    let mut memory = Figure::new("connections.memory", "resident memory with so many", "MB")
        .within(Budget::at_most(MEMORY_MB, Claim::Holds));
    let mut bytes = Figure::new("connections.bytes", "resident memory more for each", "B");
    let mut cpu = Figure::new("connections.cpu", "CPU for each, from its opening to its first answer", "us");
    let mut resting = Figure::new("connections.rest-cpu", "CPU while all of them rest", "% of a core")
        .within(Budget::at_most(CPU_PERCENT, Claim::Holds));
    let mut held = Figure::new("connections.held", "part of them that still stands at the end", "of 1");
    let bar = progress(sizes.len(), "connections");
    for size in sizes {
        bar.set_message(format!("{size} connections"));
        // Past seven eighths of its table a server closes what rests for each newcomer.
        let sockets = u32::try_from(size * 8 / 7 + KEPT_BACK)?;
        let wanted = Wanted { daemon: &daemon, tenants: TENANTS, sockets, seed: args.options.seed };
        let row = measure(&wanted, size, args.seconds, &end)?;
        memory.add(size, row.memory_mb);
        bytes.add(size, row.bytes);
        cpu.add(size, row.cpu_us);
        resting.add(size, row.rest_percent);
        held.add(size, row.held);
        bar.inc(1);
    }
    bar.finish_and_clear();
    args.options.finish(&Report {
        command: "connections",
        sizes_of: "connections to one server",
        target: args.options.target_or(CALLERS),
        seed: args.options.seed,
        figures: vec![memory, bytes, cpu, resting, held],
        not_scored: None,
    })
}

fn measure(wanted: &Wanted<'_>, size: u64, rest_s: f64, end: &AtomicBool) -> Result<Row, Box<dyn Error>> {
    let server = Server::start(wanted)?;
    let (memory_before, cpu_before) = (server.memory_mb(), server.cpu());
    let mut callers = Vec::new();
    for _ in 0..size {
        go_on(end)?;
        let mut caller = Prober::connect(server.node().address)?;
        caller.ask()?;
        callers.push(caller);
    }
    let cpu_opened = server.cpu();
    let memory_mb = server.memory_mb();
    rest(end, rest_s)?;
    let rest_cpu = server.cpu().saturating_sub(cpu_opened);
    let standing = callers.iter_mut().filter_map(|caller| caller.ask().ok()).filter(|good| *good).count();
    let each = size.max(1) as f64;
    Ok(Row {
        memory_mb,
        bytes: (memory_mb - memory_before).max(0.0) * 1e6 / each,
        cpu_us: cpu_opened.saturating_sub(cpu_before).as_secs_f64() * 1e6 / each,
        rest_percent: 100.0 * rest_cpu.as_secs_f64() / rest_s,
        held: standing as f64 / each,
    })
}
