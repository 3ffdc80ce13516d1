//! The command line of the test kit.

use crate::commands::Command;
use crate::drill::NotScored;
use clap::Parser;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Stand-ins, fleets and drills for gradepin, all on loopback addresses")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Runs the command of this process. The exit status is 0 if all checks passed, 1 if one failed, 2 for an error, and 3 if
/// the machine was too slow for a verdict.
pub fn main() -> ExitCode {
    match Cli::parse().command.run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("gradepin-testkit: {message}");
            ExitCode::from(if message.is::<NotScored>() { NotScored::EXIT_STATUS } else { 2 })
        }
    }
}
