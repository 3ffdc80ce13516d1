//! `gradepin-testkit forward`: a minimal forwarder for benchmarks.

use crate::forward;
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;

/// Arguments of `forward`.
#[derive(Debug, Args)]
pub struct ForwardArgs {
    /// Thrift address to listen at
    #[arg(long)]
    pub listen: SocketAddr,
    /// Processor address; repeat it for each connection
    #[arg(long, required = true)]
    pub processor: Vec<SocketAddr>,
}

/// Forwards until all connections have ended.
pub fn run(args: ForwardArgs) -> Result<bool, Box<dyn Error>> {
    forward::forward(args.listen, &args.processor)?;
    Ok(true)
}
