//! Simulated fleets for the commands that measure gossip: the real membership, counter rows and leases over simulated
//! datagrams, in virtual time and without requests.

use super::budgets::ZONES;
use super::options::{Options, check_resources, progress};
use crate::fleet::{cpu_of, memory_of};
use clap::Args;
use gradepin_model::peers::{Kind, Outcome, Spec, play};
use std::error::Error;
use std::time::Duration;

/// Default sizes. The planned size is 2.5 times the largest, which already takes minutes of CPU time.
pub const SIZES: [u64; 6] = [12, 25, 52, 108, 224, 448];
/// Memory of the model per pair of servers, in bytes, at 1,100 servers.
const BYTES_A_PAIR: u64 = 1_000;
/// Gossip ticks per second, for a simulated server with added cost per tick.
const TICKS_S: f64 = 10.0;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct GossipArgs {
    /// Common arguments
    #[command(flatten)]
    pub options: Options,
    /// Seconds of virtual time
    #[arg(long, default_value_t = 40.0)]
    pub seconds: f64,
    /// Start of the counted time, in seconds; before it, servers that start together spread the initial membership
    #[arg(long, default_value_t = 30.0)]
    pub from: f64,
    /// Additional membership bytes per second, to test that the verdict detects them
    #[arg(long, default_value_t = 0)]
    pub stand_in_bytes: usize,
    /// Additional CPU time in ms per tick of 100 ms, to test that the verdict detects it
    #[arg(long, default_value_t = 0)]
    pub stand_in_cpu_ms: u64,
}

/// Results of a fleet.
pub struct Gossip {
    /// Number of servers.
    pub size: u64,
    /// Counted virtual seconds.
    counted_s: f64,
    /// All simulated virtual seconds.
    played_s: f64,
    outcome: Outcome,
    cpu: Duration,
    memory: u64,
}

impl Gossip {
    fn per_server_second(&self, count: u64) -> f64 {
        count as f64 / self.size as f64 / self.counted_s
    }

    /// Bytes of a message kind sent per server and second.
    pub fn bytes_s(&self, kind: Kind) -> f64 {
        self.per_server_second(self.outcome.traffic.of(kind).bytes)
    }

    /// Datagrams of a message kind sent per server and second.
    pub fn datagrams_s(&self, kind: Kind) -> f64 {
        self.per_server_second(self.outcome.traffic.of(kind).datagrams)
    }

    /// Bytes of all kinds sent per server and second.
    pub fn all_bytes_s(&self) -> f64 {
        self.per_server_second(self.outcome.traffic.all().bytes)
    }

    /// Mean fraction of the fleet whose counts a server knows.
    pub fn heard(&self) -> f64 {
        self.outcome.heard
    }

    /// CPU time per server in percent of a core, including the cost of the simulation.
    pub fn cpu_percent(&self) -> f64 {
        100.0 * self.cpu.as_secs_f64() / self.size as f64 / self.played_s
    }

    /// Peak memory per server in MB, including the cost of the simulation.
    pub fn memory_mb(&self) -> f64 {
        self.memory as f64 / 1e6 / self.size as f64
    }
}

/// Simulates a fleet of each size.
pub fn fleets(args: &GossipArgs) -> Result<Vec<Gossip>, Box<dyn Error>> {
    let sizes = args.options.sizes_or(&SIZES);
    let largest = sizes.last().copied().unwrap_or(0);
    check_resources(16, largest * largest * BYTES_A_PAIR / 1_000_000 + 50)?;
    let bar = progress(sizes.len(), "fleets");
    let mut all = Vec::new();
    for size in sizes {
        bar.set_message(format!("{size} servers"));
        all.push(fleet(args, size));
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(all)
}

fn fleet(args: &GossipArgs, size: u64) -> Gossip {
    let spec = Spec {
        seed: args.options.seed,
        servers: size as usize,
        zones: ZONES.min(size as usize),
        seconds: args.seconds,
        count_from_s: args.from,
        stand_in_bytes_s: args.stand_in_bytes,
        ..Spec::default()
    };
    let pid = std::process::id();
    let before = cpu_of(pid).unwrap_or_default();
    let base = memory_of(pid, "VmRSS").unwrap_or(0);
    let outcome = play(&spec);
    burn(pid, args.stand_in_cpu_ms as f64 / 1e3 * TICKS_S * args.seconds * size as f64);
    Gossip {
        size,
        counted_s: (args.seconds - args.from).max(0.1),
        played_s: args.seconds,
        outcome,
        cpu: cpu_of(pid).unwrap_or_default().saturating_sub(before),
        memory: memory_of(pid, "VmHWM").unwrap_or(0).saturating_sub(base),
    }
}

/// Uses `seconds` of CPU time, as accounted by the kernel.
fn burn(pid: u32, seconds: f64) {
    let until = cpu_of(pid).unwrap_or_default() + Duration::from_secs_f64(seconds);
    while seconds > 0.0 && cpu_of(pid).is_some_and(|used| used < until) {
        std::hint::black_box((0..50_000_u64).fold(0, |sum, n| sum ^ n.wrapping_mul(n)));
    }
}
