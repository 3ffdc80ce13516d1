//! `gradepin-testkit scale connections`: cost of idle connections to a real server, up to the descriptor limit.

use super::budgets::{CALLERS, CPU_PERCENT, MEMORY_MB};
use super::figure::{Budget, Claim, Figure};
use super::gaps::Prober;
use super::options::{Options, check_interrupted, check_resources, progress, wait};
use super::report::Report;
use super::server::{Server, ServerSpec};
use crate::{fleet, interrupt};
use clap::Args;
use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;

/// Default sizes, in connections; the largest is half of the descriptor limit of a process.
const SIZES: [u64; 5] = [560, 1_120, 2_250, 4_500, 9_000];
/// Descriptors reserved for other uses than connections, in the server and in this process.
const RESERVED_DESCRIPTORS: u64 = 256;
const MEMORY_NEEDED_MB: u64 = 400;
const TENANTS: u64 = 11;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct ConnectionsArgs {
    /// Common arguments; sizes are connections to one server
    #[command(flatten)]
    pub options: Options,
    /// Seconds for which the connections are idle
    #[arg(long, default_value_t = 2.0)]
    pub seconds: f64,
    /// Path of the daemon's program; by default the one beside this program
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

/// Results for one size.
struct Row {
    memory_mb: f64,
    bytes: f64,
    cpu_us: f64,
    rest_percent: f64,
    held: f64,
}

/// Runs the measurements; returns `false` if a budget that is claimed to hold doesn't.
pub fn run(args: &ConnectionsArgs) -> Result<bool, Box<dyn Error>> {
    let end = interrupt::flag()?;
    let sizes = args.options.sizes_or(&SIZES);
    let largest = sizes.last().copied().unwrap_or(0);
    check_resources(largest * 8 / 7 + RESERVED_DESCRIPTORS, MEMORY_NEEDED_MB)?;
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
        // With over seven eighths of its connection limit in use, a server closes an idle connection for each new one.
        let sockets = u32::try_from(size * 8 / 7 + RESERVED_DESCRIPTORS)?;
        let spec = ServerSpec { daemon: &daemon, tenants: TENANTS, sockets, seed: args.options.seed };
        let row = measure(&spec, size, args.seconds, &end)?;
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

fn measure(spec: &ServerSpec<'_>, size: u64, rest_s: f64, end: &AtomicBool) -> Result<Row, Box<dyn Error>> {
    let server = Server::start(spec)?;
    let (memory_before, cpu_before) = (server.memory_mb(), server.cpu());
    let mut clients = Vec::new();
    for _ in 0..size {
        check_interrupted(end)?;
        let mut client = Prober::connect(server.node().address)?;
        client.ask()?;
        clients.push(client);
    }
    let cpu_opened = server.cpu();
    let memory_mb = server.memory_mb();
    wait(end, rest_s)?;
    let rest_cpu = server.cpu().saturating_sub(cpu_opened);
    let still_open = clients.iter_mut().filter_map(|client| client.ask().ok()).filter(|good| *good).count();
    let each = size.max(1) as f64;
    Ok(Row {
        memory_mb,
        bytes: (memory_mb - memory_before).max(0.0) * 1e6 / each,
        cpu_us: cpu_opened.saturating_sub(cpu_before).as_secs_f64() * 1e6 / each,
        rest_percent: 100.0 * rest_cpu.as_secs_f64() / rest_s,
        held: still_open as f64 / each,
    })
}
