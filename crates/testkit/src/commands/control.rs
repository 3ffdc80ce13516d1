//! `gradepin-testkit control`: a stand-in control plane.

use super::shared::each_second;
use crate::control::Control;
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Arguments of `control`.
#[derive(Debug, Args)]
pub struct ControlArgs {
    /// Address to listen at
    #[arg(long, default_value = "127.0.0.1:7946")]
    pub listen: SocketAddr,
}

/// Runs the stand-in until a signal, with one line per second.
pub fn run(args: ControlArgs) -> Result<bool, Box<dyn Error>> {
    let control = Control::start(args.listen)?;
    println!("a control plane at {}", control.address());
    each_second(|second| {
        println!(
            "{second:>4} s  ready: {}",
            control.roster().ready(Instant::now(), Duration::ZERO).join(" ")
        );
        true
    })?;
    Ok(true)
}
