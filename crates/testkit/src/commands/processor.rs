//! `gradepin-testkit processor`: a stand-in processor.

use super::shared::each_second;
use crate::processor::{Processor, Spec};
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Arguments of `processor`.
#[derive(Debug, Args)]
pub struct ProcessorArgs {
    /// Address to listen at
    #[arg(long, default_value = "127.0.0.1:9300")]
    pub listen: SocketAddr,
    /// Number of cores
    #[arg(long, default_value_t = 6)]
    pub cores: u32,
    /// Speed of a core; work is given for speed 1
    #[arg(long, default_value_t = 1.0)]
    pub speed: f64,
    /// Fraction of full speed at the start
    #[arg(long = "cold-share", default_value_t = 1.0)]
    pub cold_capacity: f64,
    /// Seconds until full speed
    #[arg(long, default_value_t = 18.0)]
    pub warms_in_s: f64,
    /// Mean work of a run, in ms on a core of speed 1
    #[arg(long, default_value_t = 60)]
    pub work_ms: u64,
    /// Seed of the work of each run
    #[arg(long, default_value_t = 7)]
    pub seed: u64,
    /// Slowdowns by time, such as '5000 8.4; 20000 1': 8.4 times slower from 5 s on, full speed from 20 s on
    #[arg(long, default_value = "", value_parser = slowdowns)]
    pub slow: Arc<[(u64, f64)]>,
}

/// Parses slowdown steps into milliseconds since the start and the factor from then on.
fn slowdowns(text: &str) -> Result<Arc<[(u64, f64)]>, String> {
    let steps = text.split(';').map(str::trim).filter(|step| !step.is_empty()).map(|step| {
        let (ms, times) = step.split_once(' ').ok_or("expected MS TIMES")?;
        let ms = ms.parse().map_err(|_| format!("expected milliseconds, got '{ms}'"))?;
        let times: f64 = times.trim().parse().map_err(|_| format!("expected a number, got '{times}'"))?;
        if times >= 1.0 { Ok((ms, times)) } else { Err(format!("expected 1 or more, got {times}")) }
    });
    steps.collect()
}

/// Runs the stand-in until a signal, with one line per second.
pub fn run(args: ProcessorArgs) -> Result<bool, Box<dyn Error>> {
    let ProcessorArgs { listen, cores, speed, cold_capacity, warms_in_s, work_ms, seed, slow } = args;
    let classes = vec![("any".to_string(), Duration::from_millis(work_ms))];
    let warms_in = Duration::from_secs_f64(warms_in_s.max(0.0));
    let spec = Spec { cores, speed, cold_capacity, warms_in, classes, seed, ..Spec::default() };
    let processor = Processor::start(listen, spec)?;
    println!("a processor of {cores} cores at {}", processor.address());
    each_second(|second| {
        let steps = slow.iter().filter(|(ms, _)| *ms <= second * 1000);
        processor.slow_down(steps.max_by_key(|(ms, _)| *ms).map_or(1.0, |(_, times)| *times));
        println!("{second:>4} s  running {:>3}  begun {:>4}", processor.running(), processor.begun().len());
        true
    })?;
    Ok(true)
}
