//! `gradepin-kit scale fleet`: many servers without a processor in a few processes, with real ones among them.

use clap::Args;
use std::error::Error;

/// Settings of `scale fleet`.
#[derive(Debug, Args)]
pub struct FleetArgs {}

/// Plays the fleet; false if a budget is not kept.
pub fn run(_args: FleetArgs) -> Result<bool, Box<dyn Error>> {
    Err("scale fleet is not there yet".into())
}
