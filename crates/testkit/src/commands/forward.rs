//! `gradepin-testkit forward`: a bare forwarder, for measurements.

use crate::forward;
use clap::Args;
use std::error::Error;
use std::net::SocketAddr;

/// Settings of `forward`.
#[derive(Debug, Args)]
pub struct ForwardArgs {
    /// Where it listens for Thrift
    #[arg(long)]
    pub listen: SocketAddr,
    /// The processor of each connection
    #[arg(long, required = true)]
    pub processor: Vec<SocketAddr>,
}

/// Forwards until it is ended.
pub fn run(args: ForwardArgs) -> Result<bool, Box<dyn Error>> {
    forward::forward(args.listen, &args.processor)?;
    Ok(true)
}
