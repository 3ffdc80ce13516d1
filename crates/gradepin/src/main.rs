//! The program `gradepin`: its command line, and the exit status of each command.
#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

mod admin_client;
mod check;
mod config;
mod fleet;
mod release;
mod store;

use clap::{Parser, Subcommand, ValueEnum};
use config::{ConfigCommand, ConfigError};
use fleet::FleetCommand;
use gradepin_core::config::Config;
use gradepin_node::frontend::scgi::routes::Routes;
use gradepin_node::inherited_listener::InheritedListener;
use gradepin_node::log::{self, LogFormat};
use gradepin_node::serve::{self, ServerFiles, StartError};
use gradepin_node::settings::{ActiveSettings, OperatorSettings};
use gradepin_node::{config as configuration, signals};
use release::ReleaseCommand;
use rustix::process::{Pid, Signal, kill_process};
use std::error::Error;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use store::StoreCommand;

#[derive(Parser)]
#[command(version, about = "A tile server with admission control, load shedding and fleet coordination")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct Files {
    /// Configuration file (JSON); defaults to the file named by GW_CONFIG
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operator settings (KDL); without them, every feature they enable is off
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Version of this program as named by releases
    #[arg(long, default_value = env!("CARGO_PKG_VERSION"))]
    program_version: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

impl From<Format> for LogFormat {
    fn from(format: Format) -> Self {
        match format {
            Format::Text => Self::Text,
            Format::Json => Self::Json,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM, then drain until the configured stop time
    Serve {
        #[command(flatten)]
        files: Files,
        /// Format of log lines on standard error
        #[arg(long, value_enum, default_value = "text")]
        log_format: Format,
    },
    /// Validate the configuration and the operator settings, and print a summary
    Check {
        #[command(flatten)]
        files: Files,
    },
    /// Take a running server out of service: notifies registry and control plane at once, then drains
    Leave {
        /// Process id of the server
        #[arg(long)]
        pid: i32,
        /// Return the server to service, unless its drain has begun
        #[arg(long)]
        cancel: bool,
    },
    /// Inspect and change the fleet state of the consensus group: servers, permits, voters
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Release programs and settings across the fleet in batches
    Release {
        #[command(subcommand)]
        command: ReleaseCommand,
    },
    /// Inspect and change the configuration of the fleet
    #[command(
        after_help = "Exit status: 0 done, 1 rejected or invalid, 3 the active revision is not the expected one, 4 not accepted now, \
                            5 outcome unknown: retry with the same --request-id"
    )]
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Inspect the idempotency store offline
    Store {
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Print the version
    Version,
}

/// Validated contents of the files named on the command line.
struct LoadedFiles {
    config: Config,
    operator: OperatorSettings,
    /// Paths of both files, for later reloads.
    sources: ServerFiles,
}

impl Files {
    fn load(self) -> Result<LoadedFiles, Box<dyn Error>> {
        let path = self.config.or_else(|| std::env::var_os("GW_CONFIG").map(PathBuf::from));
        let path = path.ok_or("no configuration: give --config FILE or set GW_CONFIG")?;
        let operator = match &self.settings {
            Some(path) => OperatorSettings::load(path)?,
            None => OperatorSettings::default(),
        };
        let config = configuration::load(&path)?;
        if let Some(scgi) = &operator.scgi {
            // `serve` performs the same check at startup: it fails if a route names an unknown class.
            let names = ActiveSettings::new(&config.settings);
            Routes::new(scgi, names.clone(), |class| names.class(class).is_some())?;
        }
        let sources =
            ServerFiles { config: path, operator_settings: self.settings, version: self.program_version };
        Ok(LoadedFiles { config, operator, sources })
    }
}

/// Executes a command. `Ok(false)` means exit status 1 without a further message: the command has already printed the
/// problem.
fn run(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Serve { files, log_format } => serve(files, log_format)?,
        Command::Check { files } => check::print_report(&files.load()?)?,
        Command::Leave { pid, cancel } => leave(pid, cancel)?,
        Command::Fleet { command } => fleet::run(command)?,
        Command::Release { command } => release::run(command)?,
        Command::Config { command } => config::run(command)?,
        Command::Store { command } => return store::run(command),
        Command::Version => println!("gradepin {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(true)
}

fn serve(files: Files, log_format: Format) -> Result<(), Box<dyn Error>> {
    // Installed before any file is read: until then every signal would terminate the process.
    let signals =
        signals::install().map_err(|source| StartError::System { resource: "signals".into(), source })?;
    let LoadedFiles { config, operator, sources } = files.load()?;
    let inherited = InheritedListener::from_env()?;
    let log = log::root(&config.name, log_format.into());
    serve::serve(config, operator, sources, inherited, signals, &log)?;
    Ok(())
}

/// Signals a running server to leave, or to return to service.
fn leave(pid: i32, cancel: bool) -> Result<(), Box<dyn Error>> {
    let process = Pid::from_raw(pid).filter(|_| pid > 1).ok_or("expected a process id")?;
    let signal = if cancel { Signal::USR2 } else { Signal::USR1 };
    kill_process(process, signal).map_err(|e| format!("process {pid}: {e}"))?;
    Ok(())
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            for line in message.to_string().lines() {
                // `eprintln!` panics if standard error is closed, which would change the exit status.
                let _ = writeln!(std::io::stderr(), "gradepin: {line}");
            }
            let status = message.downcast_ref::<ConfigError>().map(ConfigError::exit_status);
            status.map_or(ExitCode::FAILURE, ExitCode::from)
        }
    }
}
