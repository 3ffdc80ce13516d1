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
#[command(version, about = "A tile server that decides what it takes, runs and turns away")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct Files {
    /// The configuration, as JSON; without it, the file that GW_CONFIG names
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' settings, as KDL; without it all that they switch on is off
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// The version of this program, as releases name it
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
    /// Serve until SIGTERM and the stop time of the configuration
    Serve {
        #[command(flatten)]
        files: Files,
        /// The format of log lines on standard error
        #[arg(long, value_enum, default_value = "text")]
        log_format: Format,
    },
    /// Read and check the configuration and the operators' settings, and print what they hold
    Check {
        #[command(flatten)]
        files: Files,
    },
    /// Take a running server out of service: registry and control plane are notified at once, then it drains
    Leave {
        /// The server's process id
        #[arg(long)]
        pid: i32,
        /// Return it to service instead, if its drain has not begun
        #[arg(long)]
        cancel: bool,
    },
    /// The state of the fleet that the consensus group holds: permits, voters
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Releases of programs and settings over the fleet, in batches
    Release {
        #[command(subcommand)]
        command: ReleaseCommand,
    },
    /// The configuration of the fleet: changes, their spread, history
    #[command(
        after_help = "Exit status: 0 done, 1 refused or not valid, 3 another revision is in force than expected, 4 not taken now, \
                            5 not known whether it was committed: ask again with the same --request-id"
    )]
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Inspect the store of keyed runs, without a server
    Store {
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Print the version
    Version,
}

/// The files that a command was given, read and checked.
struct LoadedFiles {
    config: Config,
    operator: OperatorSettings,
    /// Where both came from.
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
            // A start checks this too: it fails where a route names an unknown class.
            let names = ActiveSettings::new(&config.settings);
            Routes::new(scgi, names.clone(), |class| names.class(class).is_some())?;
        }
        let sources =
            ServerFiles { config: path, operator_settings: self.settings, version: self.program_version };
        Ok(LoadedFiles { config, operator, sources })
    }
}

/// Runs a command. Ok(false) is exit status 1 without a message: the command has printed what is wrong.
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
    // Before any file is read: until then each signal ends the process.
    let signals =
        signals::install().map_err(|source| StartError::System { resource: "signals".into(), source })?;
    let LoadedFiles { config, operator, sources } = files.load()?;
    let inherited = InheritedListener::from_env()?;
    let log = log::root(&config.name, log_format.into());
    serve::serve(config, operator, sources, inherited, signals, &log)?;
    Ok(())
}

/// Sends a running server the signal to leave, or to come back.
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
                // `eprintln!` would panic where standard error is closed; the exit status must not change for that.
                let _ = writeln!(std::io::stderr(), "gradepin: {line}");
            }
            let status = message.downcast_ref::<ConfigError>().map(ConfigError::exit_status);
            status.map_or(ExitCode::FAILURE, ExitCode::from)
        }
    }
}
