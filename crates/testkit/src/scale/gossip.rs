//! Fleets of the model that talk over modelled datagrams, for the commands that measure their parts: the real membership, counter rows
//! and leases, in virtual time and without requests.

use super::budgets::ZONES;
use super::options::{Options, check_resources, progress};
use crate::fleet::{cpu_of, memory_of};
use clap::Args;
use gradepin_model::peers::{Kind, Outcome, Spec, play};
use std::error::Error;
use std::time::Duration;

/// The sizes without others; the planned one is 2.5 times the largest, which takes minutes of CPU already.
pub const SIZES: [u64; 6] = [12, 25, 52, 108, 224, 448];
/// What the model holds for a pair of servers, in bytes; measured at 1,100.
const BYTES_A_PAIR: u64 = 1_000;
/// Ticks of a server in a second, for a stand-in that burns more in each.
const TICKS_S: f64 = 10.0;

/// Settings on the command line.
#[derive(Debug, Args)]
pub struct GossipArgs {
    /// Settings of all commands
    #[command(flatten)]
    pub options: Options,
    /// Seconds of virtual time
    #[arg(long, default_value_t = 40.0)]
    pub seconds: f64,
    /// From when on is counted, in seconds: until then servers that all start at once tell each other of all of them
    #[arg(long, default_value_t = 30.0)]
    pub from: f64,
    /// A stand-in that costs more, to try the verdict out: so many bytes a second more of membership
    #[arg(long, default_value_t = 0)]
    pub stand_in_bytes: usize,
    /// A stand-in that costs more: so many ms of CPU more in each tick of 100 ms
    #[arg(long, default_value_t = 0)]
    pub stand_in_cpu_ms: u64,
}

/// What a fleet came to.
pub struct Gossip {
    /// Servers.
    pub size: u64,
    /// Seconds that were counted.
    counted_s: f64,
    /// Seconds that were played.
    played_s: f64,
    outcome: Outcome,
    cpu: Duration,
    memory: u64,
}

impl Gossip {
    fn a_server_second(&self, count: u64) -> f64 {
        count as f64 / self.size as f64 / self.counted_s
    }

    /// Bytes a second that a server sent of a kind.
    pub fn bytes_s(&self, kind: Kind) -> f64 {
        self.a_server_second(self.outcome.traffic.of(kind).bytes)
    }

    /// Datagrams a second that a server sent of a kind.
    pub fn datagrams_s(&self, kind: Kind) -> f64 {
        self.a_server_second(self.outcome.traffic.of(kind).datagrams)
    }

    /// Bytes a second that a server sent in all.
    pub fn all_bytes_s(&self) -> f64 {
        self.a_server_second(self.outcome.traffic.all().bytes)
    }

    /// The part of the fleet that a server's counts are of.
    pub fn heard(&self) -> f64 {
        self.outcome.heard
    }

    /// Percent of a core that a server took, what the model takes round it included.
    pub fn cpu_percent(&self) -> f64 {
        100.0 * self.cpu.as_secs_f64() / self.size as f64 / self.played_s
    }

    /// MB that a server took at the most, what the model takes round it included.
    pub fn memory_mb(&self) -> f64 {
        self.memory as f64 / 1e6 / self.size as f64
    }
}

/// Plays a fleet of each size.
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
    let own = std::process::id();
    let before = cpu_of(own).unwrap_or_default();
    let base = memory_of(own, "VmRSS").unwrap_or(0);
    let outcome = play(&spec);
    burn(own, args.stand_in_cpu_ms as f64 / 1e3 * TICKS_S * args.seconds * size as f64);
    Gossip {
        size,
        counted_s: (args.seconds - args.from).max(0.1),
        played_s: args.seconds,
        outcome,
        cpu: cpu_of(own).unwrap_or_default().saturating_sub(before),
        memory: memory_of(own, "VmHWM").unwrap_or(0).saturating_sub(base),
    }
}

/// Uses so many seconds of CPU, by the system's own count of it.
fn burn(own: u32, seconds: f64) {
    let until = cpu_of(own).unwrap_or_default() + Duration::from_secs_f64(seconds);
    while seconds > 0.0 && cpu_of(own).is_some_and(|used| used < until) {
        std::hint::black_box((0..50_000_u64).fold(0, |sum, n| sum ^ n.wrapping_mul(n)));
    }
}
