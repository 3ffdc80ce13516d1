//! Results of a run, as text and for the JSON file.

use super::budget::{self, Uneven};
use super::figures::{Comparison, KindRate, Rates};
use super::messages::Lateness;
use super::play::{Alone, Played};
use super::resources::Used;
use serde::Serialize;

/// Maximum 99th percentile of host delay in a scored run, in ms. Beyond it servers skip time like starved processes.
pub const MAX_LATE_MS: f64 = 40.0;
/// Maximum fraction of datagrams lost at full sockets in a scored run.
const MAX_LOST: f64 = 0.01;
/// Tolerance for rounding when a value is compared with its budget.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Results for one fleet size. All fields go into the JSON file.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Number of servers.
    pub servers: usize,
    /// Number of real daemons among them.
    pub real: usize,
    /// Requests per second and server.
    pub rate: f64,
    /// Random seed.
    pub seed: u64,
    /// Reason why the run isn't scored, if so.
    pub not_scored: Option<String>,
    /// Delays of the hosts in the steady state.
    pub late: Lateness,
    /// Fraction of lost datagrams.
    pub lost: f64,
    /// Seconds from the start until complete membership.
    pub known_s: Option<f64>,
    /// Seconds from the end of the partition until complete membership.
    pub healed_s: Option<f64>,
    /// Mean rates of a hollow server in the steady state; CPU time is that for control.
    pub hollow: Rates,
    /// Mean rates of a real daemon in the steady state; CPU time is that for control.
    pub real_one: Rates,
    /// CPU time of an unconnected hollow server, in ms per second.
    pub alone_hollow_cpu_ms: f64,
    /// CPU time of an unconnected real daemon, in ms per second.
    pub alone_real_cpu_ms: f64,
    /// Total CPU time of a hollow server without the waits of its host for sockets, in ms per second.
    pub turns_cpu_ms: f64,
    /// Hollow server relative to real daemon.
    pub compared: Option<Comparison>,
    /// Datagrams to hollow servers by kind.
    pub kinds: Vec<KindRate>,
    /// Memory of the hosts per hollow server, in bytes.
    pub hollow_memory: u64,
    /// Mean memory of a real daemon, in bytes.
    pub real_memory: u64,
    /// Smallest number of other servers considered alive by any server, at the end of the steady state.
    pub least_up: u64,
    /// Mean number of other servers considered alive.
    pub mean_up: f64,
    /// Smallest number of servers with recent counts.
    pub least_heard: u64,
    /// Mean number of servers with recent counts.
    pub mean_heard: f64,
    /// Datagrams dropped by a partition.
    pub cut_dropped: u64,
    /// Hollow servers with excess cost.
    pub uneven: Vec<Uneven>,
    /// Resource usage of the run.
    pub used: Used,
}

impl Outcome {
    /// Summarizes a run.
    pub fn new(servers: usize, real: usize, rate: f64, seed: u64, played: &Played, alone: &Alone) -> Self {
        let steady = &played.steady;
        let hollow_mean = Rates::mean(&steady.hollow);
        let real_mean = Rates::mean(&steady.real);
        let hollow = hollow_mean.of_control(steady.host_cpu_ms, alone.hollow_cpu_ms);
        let real_one = real_mean.of_control(real_mean.cpu_ms, alone.real_cpu_ms);
        let all = played.last.hollow.iter().chain(played.last.real.iter().flatten());
        let up: Vec<u64> = all.clone().map(|one| one.up).collect();
        let heard: Vec<u64> = all.map(|one| one.heard).collect();
        Self {
            servers,
            real,
            rate,
            seed,
            not_scored: not_scored(steady.late, steady.lost),
            late: steady.late,
            lost: steady.lost,
            known_s: played.known_s,
            healed_s: played.healed_s,
            hollow,
            real_one,
            alone_hollow_cpu_ms: alone.hollow_cpu_ms,
            alone_real_cpu_ms: alone.real_cpu_ms,
            turns_cpu_ms: hollow_mean.cpu_ms,
            compared: Comparison::of(&hollow, &real_one),
            kinds: steady.kinds.clone(),
            hollow_memory: played.hollow_memory,
            real_memory: mean(&played.real_memory) as u64,
            least_up: up.iter().min().copied().unwrap_or_default(),
            mean_up: mean(&up),
            least_heard: heard.iter().min().copied().unwrap_or_default(),
            mean_heard: mean(&heard),
            cut_dropped: played.cut_dropped,
            uneven: budget::uneven(&steady.hollow, steady.seconds),
            used: played.used,
        }
    }

    /// Prints the results.
    pub fn print(&self, was_cut: bool) {
        let Self { servers, real, rate, seed, .. } = self;
        println!("{servers} servers, {real} of them real, {rate} requests/s each, seed {seed}");
        self.print_knowledge(was_cut);
        self.print_costs();
        self.print_used();
    }

    fn print_knowledge(&self, was_cut: bool) {
        let seconds = |s: Option<f64>| s.map_or("not in its time".into(), |s| format!("after {s:.2} s"));
        println!("  all know all {} of the start", seconds(self.known_s));
        if was_cut {
            println!("  all know all {} of the end of a cut between regions", seconds(self.healed_s));
        }
        let others = self.servers - 1;
        println!(
            "  members up: {} at the least, {:.1} in the mean, of {others}; counts heard: {} and {:.1} of {}",
            self.least_up, self.mean_up, self.least_heard, self.mean_heard, self.servers
        );
    }

    fn print_costs(&self) {
        for (name, rates, memory) in
            [("hollow", &self.hollow, self.hollow_memory), ("real", &self.real_one, self.real_memory)]
        {
            println!(
                "  {name:<6} {:>7.1} datagrams/s {:>8.0} bytes/s sent {:>8.2} ms/s of CPU for control {:>7.2} MB",
                rates.datagrams,
                rates.bytes,
                rates.cpu_ms,
                memory as f64 / 1e6
            );
        }
        println!(
            "  CPU without others, taken off: {:.2} ms/s hollow, {:.2} ms/s real; a hollow server's own turns take {:.2} ms/s \
             in all",
            self.alone_hollow_cpu_ms, self.alone_real_cpu_ms, self.turns_cpu_ms
        );
        for kind in &self.kinds {
            let from = if kind.from_real { "real" } else { "hollow" };
            println!(
                "  {:<12} from a {from:<6} server {:>7.2} datagrams/s {:>8.0} bytes/s (as hollow servers received them)",
                kind.kind, kind.datagrams, kind.bytes
            );
        }
        self.print_compared();
    }

    fn print_compared(&self) {
        let Some(compared) = &self.compared else { return };
        println!(
            "  hollow by real: messages {:.3}, bytes {:.3}, CPU of control {:.3}",
            compared.datagrams, compared.bytes, compared.cpu
        );
        for (what, part) in compared.differences() {
            println!("  DIFFERS by more than 15%: {what}, hollow by real {part:.3}");
        }
    }

    fn print_used(&self) {
        let Used { processes, memory, descriptors, cores } = self.used;
        println!(
            "  used: {processes} processes, {:.0} MB resident at the most, {descriptors} descriptors, {cores:.2} cores; hosts \
             late by {:.2} ms at p50, {:.2} at p99, {:.1} at the most; {:.2}% of datagrams lost",
            memory as f64 / 1e6,
            self.late.p50_ms,
            self.late.p99_ms,
            self.late.most_ms,
            100.0 * self.lost
        );
        if let Some(why) = &self.not_scored {
            println!("  not scored: {why}");
        }
    }

    /// Compares bytes, CPU time and memory, in this order, with their budgets.
    pub fn budgets(&self) -> Vec<BudgetCheck> {
        let bytes = self.hollow.bytes.max(self.real_one.bytes);
        let cpu = self.hollow.cpu_ms.max(self.real_one.cpu_ms);
        let memory = self.hollow_memory.max(self.real_memory) as f64;
        vec![
            BudgetCheck::new("bytes/s sent a server", bytes, budget::BYTES),
            BudgetCheck::new("ms/s of CPU for control a server", cpu, budget::CPU_MS),
            BudgetCheck::new("bytes of memory a server", memory, budget::MEMORY as f64),
        ]
    }
}

/// A value with its budget.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BudgetCheck {
    /// Description of the value.
    pub what: String,
    /// Measured value.
    pub value: f64,
    /// Upper limit.
    pub budget: f64,
}

impl BudgetCheck {
    fn new(what: &str, value: f64, budget: f64) -> Self {
        Self { what: what.into(), value, budget }
    }

    /// Whether the value is within the budget.
    pub fn holds(&self) -> bool {
        self.value <= self.budget + ROUNDING_TOLERANCE
    }
}

fn not_scored(late: Lateness, lost: f64) -> Option<String> {
    if late.p99_ms > MAX_LATE_MS {
        return Some(format!(
            "the host was late by {:.1} ms at p99, more than {MAX_LATE_MS:.0} ms",
            late.p99_ms
        ));
    }
    (lost > MAX_LOST).then(|| format!("{:.1}% of the datagrams were lost at full sockets", 100.0 * lost))
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

#[cfg(test)]
mod tests;
