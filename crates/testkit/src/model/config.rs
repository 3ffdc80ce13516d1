//! `gradepin-testkit model config`: seeded dissemination of configuration changes in a fleet in virtual time.

use clap::{Args, ValueEnum};
use gradepin_config::dissemination::Selection;
use gradepin_model::config::{Lags, Outcome, PROMISE_S, Spec, play};
use rayon::prelude::*;
use std::time::Instant;

/// Peer selection, as a command-line value.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum Way {
    Epidemic,
    Relays,
    Voters,
}

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct ConfigArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, each a day with its own faults
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Number of servers, in up to 15 zones of up to 4 regions
    #[arg(long, default_value_t = 1_100)]
    servers: usize,
    /// Number of voters; by default alternately 3 and 5
    #[arg(long)]
    voters: Option<usize>,
    /// Seconds of virtual time; a shorter day has a shorter region split
    #[arg(long, default_value_t = 420.0)]
    seconds: f64,
    /// Factor on the rate of changes and faults of an ordinary day
    #[arg(long, default_value_t = 24.0)]
    compression: f64,
    /// Peer selection
    #[arg(long, value_enum, default_value = "epidemic")]
    way: Way,
    /// Initial number of classes
    #[arg(long, default_value_t = 20)]
    classes: usize,
    /// Initial number of tenants
    #[arg(long, default_value_t = 200)]
    tenants: usize,
    /// Fraction of lost datagrams
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// Number of servers that serve bad data; by default one of 300
    #[arg(long)]
    bad: Option<usize>,
    /// Run without changes, faults and incidents, to measure the idle cost
    #[arg(long)]
    calm: bool,
    /// Run without the incidents
    #[arg(long)]
    no_incidents: bool,
    /// Limit of snapshot bytes that a server sends per second
    #[arg(long)]
    snapshot_bytes: Option<f64>,
    /// Disable the checks of digests and order. The run must fail
    #[arg(long)]
    plain: bool,
}

impl ConfigArgs {
    fn spec(&self, seed: u64) -> Spec {
        let selection = match self.way {
            Way::Epidemic => Selection::Epidemic,
            Way::Relays => Selection::Relays,
            Way::Voters => Selection::Voters,
        };
        let mut spec = Spec::ordinary(seed, self.servers, self.seconds, selection);
        spec.compression = self.compression;
        spec.classes = self.classes;
        spec.tenants = self.tenants;
        spec.loss = self.loss;
        spec.voters = self.voters.unwrap_or(spec.voters).min(self.servers);
        spec.bad = self.bad.unwrap_or(spec.bad);
        spec.settings.skip_checks = self.plain;
        spec.settings.snapshot_bytes_per_second =
            self.snapshot_bytes.unwrap_or(spec.settings.snapshot_bytes_per_second);
        spec.ordinary = !self.calm;
        if self.calm || self.no_incidents {
            spec.incidents.clear();
        }
        spec
    }
}

fn mean(outcomes: &[(u64, Outcome)], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(|(_, outcome)| figure(outcome)).sum::<f64>() / outcomes.len().max(1) as f64
}

fn most(outcomes: &[(u64, Outcome)], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(|(_, outcome)| figure(outcome)).fold(0.0, f64::max)
}

fn sum(outcomes: &[(u64, Outcome)], figure: impl Fn(&Outcome) -> u64) -> u64 {
    outcomes.iter().map(|(_, outcome)| figure(outcome)).sum()
}

/// Simulates all seeds and prints a summary; returns whether all guarantees held.
pub fn run(args: &ConfigArgs) -> bool {
    let begin = Instant::now();
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    let outcomes: Vec<(u64, Outcome)> =
        seeds.par_iter().map(|&seed| (seed, play(&args.spec(seed)))).collect();
    let took_s = begin.elapsed().as_secs_f64();
    println!(
        "{} servers, {} seeds of {} s, changes and faults {} times as often as in an ordinary day, {:?}: {took_s:.0} s on {} threads",
        args.servers,
        args.seeds,
        args.seconds,
        args.compression,
        args.way,
        rayon::current_num_threads()
    );
    let mut lags = Lags::default();
    outcomes.iter().for_each(|(_, outcome)| lags.merge(&outcome.lags));
    println!(
        "  in force on a reachable server: p50 {:.2} s, p99 {:.2} s, latest {:.2} s, of {} (bound {PROMISE_S} s; past it {})",
        lags.quantile(0.5),
        lags.quantile(0.99),
        lags.latest(),
        lags.count(),
        lags.beyond(PROMISE_S)
    );
    println!(
        "  {} changes; prefixes broken: {}; servers without all changes at the end: {}",
        sum(&outcomes, |outcome| outcome.changes as u64),
        sum(&outcomes, |outcome| outcome.broken),
        sum(&outcomes, |outcome| outcome.behind_at_end as u64)
    );
    for (seed, words) in outcomes.iter().filter_map(|(seed, o)| Some((seed, o.broken_first.first()?))).take(5)
    {
        println!("    seed {seed}: {words}");
    }
    bytes(&outcomes);
    println!(
        "  snapshots installed: {}; sources left out: {}, of them not bad: {}",
        sum(&outcomes, |outcome| outcome.installed),
        sum(&outcomes, |outcome| outcome.left_out),
        sum(&outcomes, |outcome| outcome.left_out_wrongly)
    );
    let server_seconds = args.servers as f64 * args.seconds * args.seeds as f64;
    let threads = rayon::current_num_threads().min(args.seeds as usize) as f64;
    println!(
        "  the model's own CPU, at the most: {:.3}% of a core for each server, {:.1} messages a second of each",
        100.0 * took_s * threads / server_seconds,
        sum(&outcomes, |outcome| outcome.messages) as f64 / server_seconds
    );
    let failed: Vec<u64> = outcomes.iter().filter(|(_, o)| !o.kept()).map(|(seed, _)| *seed).collect();
    println!(
        "  seeds that did not keep the promise: {} of {} {:?}",
        failed.len(),
        args.seeds,
        &failed[..failed.len().min(10)]
    );
    failed.is_empty()
}

fn bytes(outcomes: &[(u64, Outcome)]) {
    println!(
        "  bytes a second a server: {:.0} in the mean (adverts and requests {:.0}, commits {:.0}, snapshots {:.0}), {:.0} in the busiest second of any",
        mean(outcomes, |outcome| outcome.bytes.mean_s),
        mean(outcomes, |outcome| outcome.bytes.small_s),
        mean(outcomes, |outcome| outcome.bytes.commits_s),
        mean(outcomes, |outcome| outcome.bytes.snapshots_s),
        most(outcomes, |outcome| outcome.bytes.most_s)
    );
    println!(
        "  bytes a second a voter: {:.0} in the mean, {:.0} in the busiest second; limit of a burst {:.0}; above it: {} times",
        mean(outcomes, |outcome| outcome.bytes.voters_s),
        most(outcomes, |outcome| outcome.bytes.voters_most_s),
        most(outcomes, |outcome| outcome.bytes.limit),
        sum(outcomes, |outcome| outcome.bytes.over_limit)
    );
}
