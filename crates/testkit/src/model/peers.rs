//! `gradepin-testkit model peers`: shared ledger slots over simulated datagrams, for many seeds.

use super::plots::{Curve, Labels, draw as svg};
use clap::{Args, ValueEnum};
use gradepin_model::peers::{Faults, Outcome, Sharing, Spec, draw, play};
use rayon::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Sharing of ledger slots, as a command-line value.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum Ways {
    Static,
    Lending,
    Plain,
    AllKnowing,
}

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct PeersArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, each a day with its own faults
    #[arg(long, default_value_t = 100)]
    seeds: u64,
    /// Number of servers in three zones
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Length of a day in seconds
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Sharing of the ledger slots
    #[arg(long, value_enum, default_value = "lending")]
    sharing: Ways,
    /// Demand as a fraction of the ledger's capacity
    #[arg(long, default_value_t = 0.85)]
    load: f64,
    /// Load factor of servers in the first zone relative to others
    #[arg(long, default_value_t = 4.0)]
    lean: f64,
    /// Fraction of lost datagrams
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// One of this many servers has only a fifth of a core; 0 for none
    #[arg(long, default_value_t = 0)]
    starved: usize,
    /// Maximum relative clock drift
    #[arg(long, default_value_t = 0.01)]
    drift: f64,
    /// Run without faults
    #[arg(long)]
    calm: bool,
    /// Start of the counted time, in seconds
    #[arg(long, default_value_t = 0.0)]
    count_from: f64,
    /// Plot the served fraction of each way of sharing by load factor of the first zone, as SVG
    #[arg(long)]
    plot_lean: Option<PathBuf>,
    /// Plot the time until all servers know a change by datagram loss, as SVG
    #[arg(long)]
    plot_known: Option<PathBuf>,
}

impl PeersArgs {
    fn spec(&self, seed: u64) -> Spec {
        let troubles = if self.calm { Faults::default() } else { draw(seed, self.servers, self.seconds) };
        Spec {
            seed,
            servers: self.servers,
            seconds: self.seconds,
            sharing: match self.sharing {
                Ways::Static => Sharing::Static,
                Ways::Lending => Sharing::Lending,
                Ways::Plain => Sharing::Plain,
                Ways::AllKnowing => Sharing::AllKnowing,
            },
            load: self.load,
            lean: self.lean,
            loss: self.loss,
            starved: self.starved,
            drift: self.drift,
            count_from_s: self.count_from,
            faults: troubles,
            ..Spec::default()
        }
    }
}

/// Plots the served fraction of each way of sharing by load factor of the first zone.
fn plot_lean(args: &PeersArgs, path: &Path) -> Result<(), Box<dyn Error>> {
    let ways = [
        ("static shares", Sharing::Static),
        ("leases", Sharing::Lending),
        ("one that knows all", Sharing::AllKnowing),
    ];
    let curve = |(name, sharing): (&str, Sharing)| {
        let points = [1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0].map(|lean| {
            let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
            let served: f64 = seeds
                .par_iter()
                .map(|&seed| play(&Spec { lean, sharing, ..args.spec(seed) }).service())
                .sum();
            (lean, served / seeds.len().max(1) as f64)
        });
        Curve::plain(name, points.into())
    };
    let labels = Labels {
        title: "Served, by how much more one of three zones asks for",
        x: "times as much as a server of the others",
        y: "part of the runs",
        log: false,
    };
    Ok(std::fs::write(path, svg(&labels, &ways.map(curve))?)?)
}

/// Plots the time until all servers know a change, by datagram loss.
fn plot_known(args: &PeersArgs, path: &Path) -> Result<(), Box<dyn Error>> {
    let curve = |loss: f64| {
        let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
        let known = seeds.par_iter().flat_map(|&seed| play(&Spec { loss, ..args.spec(seed) }).known_s);
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        let points = (1..=100)
            .filter_map(|part| Some((*known.get(known.len() * part / 100 - 1)?, part as f64 / 100.0)));
        Curve::plain(&format!("{:.0}% lost", 100.0 * loss), points.collect())
    };
    let labels =
        Labels { title: "Changes that all know of", x: "seconds", y: "part of the changes", log: false };
    Ok(std::fs::write(path, svg(&labels, &[0.0, 0.1, 0.3].map(curve))?)?)
}

/// Simulates all seeds and prints a summary; returns whether the bound held for each.
pub fn run(args: &PeersArgs) -> Result<bool, Box<dyn Error>> {
    if let Some(path) = &args.plot_lean {
        plot_lean(args, path)?;
    }
    if let Some(path) = &args.plot_known {
        plot_known(args, path)?;
    }
    if args.plot_lean.is_some() || args.plot_known.is_some() {
        return Ok(true);
    }
    let begin = Instant::now();
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    let outcomes: Vec<(u64, Outcome)> =
        seeds.par_iter().map(|&seed| (seed, play(&args.spec(seed)))).collect();
    let broken: Vec<&(u64, Outcome)> =
        outcomes.iter().filter(|(_, outcome)| !outcome.breaks.is_empty()).collect();
    let mean = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(|(_, outcome)| figure(outcome)).sum::<f64>() / outcomes.len().max(1) as f64
    };
    let most = |figure: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(|(_, o)| figure(o)).fold(0.0, f64::max);
    let mut known: Vec<f64> = outcomes.iter().flat_map(|(_, outcome)| outcome.known_s.clone()).collect();
    known.sort_by(f64::total_cmp);
    let at = |part: f64| known.get(((known.len() as f64 * part) as usize).min(known.len().saturating_sub(1)));
    println!(
        "{} servers, {} seeds of {} s, {:?}: {:.0} s on {} threads",
        args.servers,
        args.seeds,
        args.seconds,
        args.sharing,
        begin.elapsed().as_secs_f64(),
        rayon::current_num_threads()
    );
    println!("  seeds with a bound broken: {} of {}", broken.len(), outcomes.len());
    for (seed, outcome) in broken.iter().take(5) {
        let first = &outcome.breaks[0];
        println!(
            "    seed {seed}: {} of {} under way at {:.3} s by n{}, {} times in all",
            first.calls,
            outcome.bound,
            first.at_s,
            first.server,
            outcome.breaks.len()
        );
    }
    println!("  served: {:.4} in the mean", mean(&Outcome::service));
    if let (Some(middle), Some(late)) = (at(0.5), at(0.99)) {
        println!(
            "  a change was known to all after: p50 {middle:.2} s, p99 {late:.2} s, of {}; unknown at the end {}",
            known.len(),
            outcomes.iter().map(|(_, outcome)| outcome.unknown).sum::<usize>()
        );
    }
    println!(
        "  bytes a second a server: {:.0} in the mean, {:.0} at the most",
        mean(&|outcome| outcome.bytes_s),
        most(&|outcome| outcome.most_bytes_s)
    );
    println!(
        "  wrongly held dead: {:.3} times a server and minute, {:.1} s at the longest",
        mean(&|outcome| outcome.wrongly_dead),
        most(&|outcome| outcome.longest_wrong_s)
    );
    println!(
        "  counts: of {:.3} of the fleet in the mean; offices' weight misjudged {:.4}",
        mean(&|outcome| outcome.heard),
        mean(&|outcome| outcome.misjudged)
    );
    Ok(broken.is_empty())
}
