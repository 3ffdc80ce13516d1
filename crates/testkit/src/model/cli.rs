//! `gradepin-testkit model`: simulated days of the fleet model, sweeps over settings, and evaluation of their results.

use super::experiment::Experiment;
use super::results::{self, FIGURES, Line};
use super::{Plan, agreed, config, peers, plots, report, trace};
use crate::fleet::memory_of;
use clap::{Args, Subcommand};
use gradepin_model::scenario::Scenario;
use gradepin_model::world::{Outcome, World};
use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct DayArgs {
    /// Seed of the day and of all random events in it
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// gradepin, pool, fixed, codel, gradient or dagor
    #[arg(long, default_value = "gradepin")]
    policy: String,
    /// A setting, such as 'load=0.9..1.1'; may be repeated
    #[arg(long, value_parser = setting)]
    set: Vec<(String, String)>,
    /// Use the complete day in this JSON file instead of drawing one
    #[arg(long, conflicts_with = "set")]
    day: Option<PathBuf>,
}

fn setting(text: &str) -> Result<(String, String), String> {
    let pair = text.split_once('=').map(|(name, value)| (name.trim().to_string(), value.trim().to_string()));
    pair.ok_or_else(|| format!("expected NAME=VALUE, got '{text}'"))
}

impl DayArgs {
    fn plan(&self) -> Result<Plan, Box<dyn Error>> {
        let mut plan = Plan::default();
        plan.set("policy", &self.policy)?;
        for (name, value) in &self.set {
            plan.set(name, value)?;
        }
        Ok(plan)
    }

    fn drawn(&self, plan: &Plan) -> Result<Scenario, Box<dyn Error>> {
        match &self.day {
            Some(path) => Ok(serde_json::from_str(&fs::read_to_string(path)?)?),
            None => Ok(plan.ranges.draw(self.seed)),
        }
    }
}

/// Command of the model.
#[derive(Debug, Subcommand)]
pub enum ModelCommand {
    /// Simulate one day: figures, and optionally an HTML report
    Run {
        #[command(flatten)]
        day: DayArgs,
        /// Write an HTML report to this file
        #[arg(long)]
        html: Option<PathBuf>,
        /// Write the outcome as JSON to this file
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write the plots as SVG into this folder
        #[arg(long)]
        svg: Option<PathBuf>,
        /// Write the day itself as JSON to this file, to be edited and run with --day
        #[arg(long)]
        save: Option<PathBuf>,
    },
    /// Shared ledger slots over simulated datagrams: many seeds, each checked against the bound
    Peers(peers::PeersArgs),
    /// Rollouts over a large fleet, with power failures of zones and partitions
    Releases(agreed::ReleasesArgs),
    /// Dissemination of configuration changes in a large fleet, checked for delay and order
    Config(config::ConfigArgs),
    /// Run the missing runs of an experiment; Ctrl-C stops, and the same command resumes
    Sweep {
        /// Experiment file in KDL
        file: PathBuf,
        /// Results file with one JSON line per run; a CSV file is written beside it
        #[arg(long)]
        out: PathBuf,
        /// Number of threads; by default one per core
        #[arg(long)]
        threads: Option<usize>,
        /// Hide the progress bar
        #[arg(long)]
        quiet: bool,
    },
    /// Compare one value of a setting with the others, paired by seed
    Compare {
        /// Results file of a sweep
        results: PathBuf,
        /// Setting to compare by
        #[arg(long, default_value = "policy")]
        by: String,
        /// Value that the others are compared with
        #[arg(long, default_value = "gradepin")]
        base: String,
        /// Figure to evaluate
        #[arg(long, default_value = "g")]
        figure: String,
    },
    /// Report the results of a sweep as an HTML page with plots
    Plot {
        /// Results file of a sweep
        results: PathBuf,
        /// Setting on the x axis
        #[arg(long, default_value = "load")]
        x: String,
        /// Setting with one curve per value
        #[arg(long, default_value = "policy")]
        curves: String,
        /// Figure to evaluate
        #[arg(long, default_value = "g")]
        figure: String,
        /// Value that differences are relative to
        #[arg(long, default_value = "gradepin")]
        base: String,
        /// Use only runs with this value, such as 'servers=12'; may be repeated
        #[arg(long, value_parser = setting)]
        only: Vec<(String, String)>,
        /// Output file; a name that ends in .svg gives the plot alone
        #[arg(long)]
        out: PathBuf,
    },
    /// Write the attempts of a request, or at a machine, as a Chrome trace
    Trace {
        #[command(flatten)]
        day: DayArgs,
        /// Number of the request in the day
        #[arg(long, conflicts_with = "machine")]
        request: Option<u32>,
        /// Number of the machine
        #[arg(long)]
        machine: Option<u32>,
        /// Output file
        #[arg(long)]
        out: PathBuf,
    },
    /// Measure simulation speed by the number of servers
    Speed {
        /// Numbers of servers
        #[arg(long, value_delimiter = ',', default_values_t = [12, 50, 200, 1_000])]
        servers: Vec<usize>,
        /// Requests per second and server, without retries
        #[arg(long, default_value_t = 10.0)]
        rate: f64,
        /// Length of each day in seconds
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Write a plot as SVG to this file
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}

/// Runs a command; `end` is set by Ctrl-C.
pub fn run(command: ModelCommand, end: &AtomicBool) -> Result<bool, Box<dyn Error>> {
    match command {
        ModelCommand::Peers(args) => peers::run(&args),
        ModelCommand::Releases(args) => Ok(agreed::run(&args)),
        ModelCommand::Config(args) => Ok(config::run(&args)),
        ModelCommand::Run { day, html, json, svg, save } => {
            let plan = day.plan()?;
            let drawn = day.drawn(&plan)?;
            if let Some(path) = save {
                fs::write(path, serde_json::to_string_pretty(&drawn)?)?;
            }
            let outcome = World::new(drawn.clone(), plan.policy)?.play()?;
            print(&outcome);
            let title = format!("{}, day {}", plan.policy.name(), day.seed);
            if let Some(path) = html {
                fs::write(path, report::day(&title, &drawn, &outcome)?)?;
            }
            if let Some(path) = json {
                fs::write(path, serde_json::to_string(&outcome)?)?;
            }
            if let Some(folder) = svg {
                fs::create_dir_all(&folder)?;
                let names = |of: Vec<&String>| of.into_iter().cloned().collect::<Vec<String>>();
                let classes = names(drawn.classes.iter().map(|class| &class.class.name).collect());
                let offices = names(drawn.tenants.iter().map(|office| &office.tenant.name).collect());
                for (name, plot) in plots::course(&outcome, &classes, &offices)? {
                    fs::write(folder.join(format!("{name}.svg")), plot)?;
                }
            }
            Ok(outcome.violations.is_empty())
        }
        ModelCommand::Sweep { file, out, threads, quiet } => {
            let experiment = Experiment::parse(&fs::read_to_string(&file)?)?;
            let mut pool = rayon::ThreadPoolBuilder::new();
            if let Some(threads) = threads {
                pool = pool.num_threads(threads.max(1));
            }
            let start = Instant::now();
            let swept = pool.build()?.install(|| results::sweep(&experiment, &out, quiet, end))?;
            println!(
                "{}: {} runs found, {} played in {:.1} s{}",
                experiment.name,
                swept.found,
                swept.played,
                start.elapsed().as_secs_f64(),
                if swept.cut { "; cut short, the same command goes on" } else { "" }
            );
            Ok(!swept.cut)
        }
        ModelCommand::Compare { results, by, base, figure } => {
            let lines = checked(results::read(&results)?, &[&by], &figure)?;
            for d in results::compare(&lines, &by, &base, &figure) {
                let rest: Vec<String> =
                    d.rest.iter().map(|(name, value)| format!("{name} {value}")).collect();
                let e = d.estimate;
                println!(
                    "{:<48} {base} less {:<10} {:+.4} ({:+.4} to {:+.4}, {} pairs){}",
                    rest.join(", "),
                    d.value,
                    e.mean,
                    e.low,
                    e.high,
                    d.pairs,
                    if e.differs() { "" } else { " within noise" }
                );
            }
            Ok(true)
        }
        ModelCommand::Plot { results, x, curves, figure, base, only, out } => {
            let mut lines = checked(results::read(&results)?, &[&x, &curves], &figure)?;
            for (name, value) in &only {
                lines.retain(|line| line.value(name) == Some(value));
            }
            if lines.is_empty() {
                return Err("expected some results, got none".into());
            }
            let text = if out.extension().is_some_and(|extension| extension == "svg") {
                let told: Vec<String> = only.iter().map(|(name, value)| format!("{name} {value}")).collect();
                plots::sweep(&lines, &x, &curves, &figure, &format!("{figure} {}", told.join(", ")))?
            } else {
                let differences = results::compare(&lines, &curves, &base, &figure);
                let name = results.file_stem().map(|name| name.to_string_lossy().into_owned());
                report::sweep(&name.unwrap_or_default(), &lines, (&x, &curves), &figure, &differences)?
            };
            fs::write(out, text)?;
            Ok(true)
        }
        ModelCommand::Trace { day, request, machine, out } => {
            let which = match (request, machine) {
                (Some(request), None) => trace::Which::Request(request),
                (None, Some(machine)) => trace::Which::Machine(machine),
                _ => return Err("expected --request or --machine".into()),
            };
            let plan = day.plan()?;
            let mut world = World::new(day.drawn(&plan)?, plan.policy)?;
            world.record();
            let outcome = world.play()?;
            let (bytes, count) = trace::chrome(&outcome.traces, which);
            if count == 0 {
                return Err("expected a request or a machine of that day, got one without a try".into());
            }
            fs::write(&out, bytes)?;
            println!("{count} tries");
            Ok(true)
        }
        ModelCommand::Speed { servers, rate, seconds, svg } => speed(&servers, rate, seconds, svg),
    }
}

fn checked(lines: Vec<Line>, settings: &[&str], figure: &str) -> Result<Vec<Line>, Box<dyn Error>> {
    if !FIGURES.contains(&figure) {
        return Err(format!("expected one of {} as figure, got '{figure}'", FIGURES.join(", ")).into());
    }
    for setting in settings {
        if lines.iter().any(|line| line.value(setting).is_none()) {
            return Err(format!("expected results of an experiment that varies '{setting}'").into());
        }
    }
    Ok(lines)
}

fn print(outcome: &Outcome) {
    let report = &outcome.report;
    let parts = report.parts();
    println!(
        "G {:.4}: whole {:.4}, worst 10 s {:.4} from {} s, worst class {:.4}, worst office {:.4}",
        report.score,
        parts[0],
        parts[1],
        report.worst.0 / 1_000,
        parts[2],
        parts[3]
    );
    let t = &outcome.total;
    println!(
        "{} asked in {} tries: {} served, {} given up; tries: {} refused, {} failed, {} timed out",
        t.asked, t.tries, t.served, t.given_up, t.refused, t.failed, t.timed_out
    );
    println!(
        "not sent: {} told to stay away, {} below the level, {} no server left; late {:.4}, wasted {:.4}; {} events",
        t.away,
        t.below_level,
        t.exhausted,
        report.deduction_rates[0],
        report.deduction_rates[1],
        outcome.events
    );
    for broken in outcome.violations.iter().take(10) {
        println!(
            "NOT KEPT at {} ms, server {}, try {:?}: {}",
            broken.at_ms, broken.server, broken.attempt, broken.violation
        );
    }
    for (ms, machine) in &outcome.unsettled {
        println!("machine {machine} came to no rest at {ms} ms");
    }
}

/// Simulates a day for each number of servers, in this thread.
fn speed(servers: &[usize], rate: f64, seconds: f64, svg: Option<PathBuf>) -> Result<bool, Box<dyn Error>> {
    let mut curve = Vec::new();
    for &count in servers {
        let mut plan = Plan::default();
        for (name, value) in [
            ("servers", count.to_string()),
            ("proxies", count.div_ceil(20).max(4).to_string()),
            ("seconds", seconds.to_string()),
            ("load", "0.7".to_string()),
        ] {
            plan.set(name, &value)?;
        }
        let mut day = plan.ranges.draw(1);
        day.load = rate * count as f64 / day.capacity();
        let start = Instant::now();
        let outcome = World::new(day, plan.policy)?.play()?;
        let took = start.elapsed().as_secs_f64();
        let each = outcome.events as f64 / took;
        println!(
            "{count} servers, {:.0} s: {} first tries, {} events in {took:.2} s, {:.0} events a second, {} MB",
            seconds,
            outcome.total.asked,
            outcome.events,
            each,
            memory_of(std::process::id(), "VmHWM").unwrap_or(0) / 1_000_000
        );
        curve.push((count as f64, each));
    }
    if let Some(path) = svg {
        let labels = plots::Labels {
            title: "Events played a second on one core",
            x: "servers",
            y: "events a second",
            log: true,
        };
        fs::write(path, plots::draw(&labels, &[plots::Curve::plain("gradepin", curve)])?)?;
    }
    Ok(true)
}
