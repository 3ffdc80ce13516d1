//! The command line of the kit.

mod commands;

use clap::Parser;
use commands::Command;
use gradepin_testkit::drill::NotScored;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Stand-ins, fleets and drills for gradepin, all on loopback addresses")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    match Cli::parse().command.run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("gradepin-testkit: {message}");
            ExitCode::from(if message.is::<NotScored>() { NotScored::EXIT_STATUS } else { 2 })
        }
    }
}
