//! `gradepin-testkit model releases`: seeded rollouts over a large fleet in virtual time.

use clap::Args;
use gradepin_coordination::rollout::RolloutState;
use gradepin_model::consensus::{Outcome, Scenario, play};
use rayon::prelude::*;
use std::time::Instant;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct ReleasesArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, each with its own faults
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Number of servers in three zones
    #[arg(long, default_value_t = 300)]
    servers: usize,
    /// Number of voters of the consensus group
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Maximum number of servers that may be out
    #[arg(long, default_value_t = 30)]
    most: u32,
    /// Maximum number of servers of one zone that may be out
    #[arg(long, default_value_t = 15)]
    zone: u32,
    /// Degradation of the new version, from 0 to 1
    #[arg(long, default_value_t = 0.0)]
    worse_by: f64,
    /// Run without faults
    #[arg(long)]
    calm: bool,
    /// Observation time after each wave, in ms
    #[arg(long, default_value_t = 10_000)]
    looks_ms: u64,
    /// Time limit of a rollout, in seconds
    #[arg(long, default_value_t = 600)]
    patience: u64,
}

/// Simulates all seeds and prints a summary; returns whether the limit on servers out held for each.
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
