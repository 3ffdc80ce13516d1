//! The command line of the tile server.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use gradepin::node::{config::Config, log, serve};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "A tile server that decides what it takes, runs and turns away")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM and the stop time of the configuration
    Serve {
        /// The configuration, as JSON; without it, the file that GW_CONFIG names
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Read and check a configuration, and say what it holds
    Check {
        /// The configuration, as JSON; without it, the file that GW_CONFIG names
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Print the version
    Version,
}

fn load(path: Option<PathBuf>) -> Result<(Config, PathBuf), String> {
    let path = path.or_else(|| std::env::var_os("GW_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config FILE or set GW_CONFIG")?;
    Ok((Config::load(&path)?, path))
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve { config } => {
            let (config, file) = load(config)?;
            let log = log::root(&config.name);
            serve::serve(config, file, &log)
        }
        Command::Check { config } => {
            let (config, _) = load(config)?;
            let (classes, tenants) = (config.settings.profiles.len(), config.settings.customers.len());
            println!("{}: listens on {}, {classes} classes, {tenants} tenants", config.name, config.listen);
            Ok(())
        }
        Command::Version => {
            println!("gradepin {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gradepin: {message}");
            ExitCode::FAILURE
        }
    }
}
