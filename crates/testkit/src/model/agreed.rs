//! `gradepin-testkit model releases`: seeds of releases over a large fleet in virtual time.

use clap::Args;
use gradepin_coordination::rollout::RolloutState;
use gradepin_model::consensus::{Outcome, Scenario, play};
use rayon::prelude::*;
use std::time::Instant;

/// Settings on the command line.
#[derive(Debug, Args)]
pub struct ReleasesArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds, each with troubles of its own
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Servers, in three zones
    #[arg(long, default_value_t = 300)]
    servers: usize,
    /// Voters of the council
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// The most that may be out, and of one zone
    #[arg(long, default_value_t = 30)]
    most: u32,
    /// See `most`
    #[arg(long, default_value_t = 15)]
    zone: u32,
    /// By how much the new version serves worse, from 0 to 1
    #[arg(long, default_value_t = 0.0)]
    worse_by: f64,
    /// Without troubles
    #[arg(long)]
    calm: bool,
    /// How long is looked after each wave, in ms
    #[arg(long, default_value_t = 10_000)]
    looks_ms: u64,
    /// The longest that a release may take, in seconds
    #[arg(long, default_value_t = 600)]
    patience: u64,
}

/// Plays them all and prints what they came to; whether the promise held on each.
pub fn run(args: &ReleasesArgs) -> bool {
    let begin = Instant::now();
    let day = |seed| Scenario {
        seed,
        servers: args.servers,
        voters: args.voters,
        most: args.most,
        zone: args.zone,
        worse_by: args.worse_by,
        faults: !args.calm,
        looks_ms: args.looks_ms,
        patience_s: args.patience,
    };
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    let outcomes: Vec<(u64, Outcome)> = seeds.par_iter().map(|&seed| (seed, play(&day(seed)))).collect();
    let broken: Vec<(u64, &String)> =
        outcomes.iter().filter_map(|(seed, outcome)| Some((*seed, outcome.broken.as_ref()?))).collect();
    let count =
        |holds: &dyn Fn(&RolloutState) -> bool| outcomes.iter().filter(|(_, o)| holds(&o.state)).count();
    let mut took: Vec<f64> = outcomes.iter().map(|(_, outcome)| outcome.took_s).collect();
    took.sort_by(f64::total_cmp);
    let at = |part: f64| took[((took.len() as f64 * part) as usize).min(took.len() - 1)];
    let mean = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(|(_, outcome)| figure(outcome)).sum::<f64>() / outcomes.len().max(1) as f64
    };
    println!(
        "{} servers, {} voters, {} may be out and {} of a zone, {} seeds: {:.0} s on {} threads",
        args.servers,
        args.voters,
        args.most,
        args.zone,
        args.seeds,
        begin.elapsed().as_secs_f64(),
        rayon::current_num_threads()
    );
    println!("  seeds with the promise broken: {} of {}", broken.len(), outcomes.len());
    broken.iter().take(5).for_each(|(seed, why)| println!("    seed {seed}: {why}"));
    println!(
        "  done {}, undone {}, halted {}, else {}; {:.1} s in the middle, {:.1} s at the most; {:.3} of the servers ready in the mean",
        count(&|state| *state == RolloutState::Done),
        count(&|state| matches!(state, RolloutState::RolledBack(_))),
        count(&|state| matches!(state, RolloutState::Halted(_))),
        count(&|state| matches!(state, RolloutState::Running | RolloutState::RollingBack(_))),
        at(0.5),
        at(1.0),
        mean(&|outcome| outcome.ready)
    );
    println!("  servers that had the new version: {:.1} in the mean", mean(&|outcome| outcome.had as f64));
    broken.is_empty()
}
