//! The command line of the tile server.

mod admin_client;
mod config;
mod fleet;
mod store;

use clap::{Parser, Subcommand, ValueEnum};
use config::{ConfigCommand, ConfigError};
use fleet::{FleetCommand, ReleaseCommand};
use gradepin_core::config::Config;
use gradepin_node::frontend::scgi::routes::Routes;
use gradepin_node::inherited_listener::InheritedListener;
use gradepin_node::log::{self, LogFormat};
use gradepin_node::settings::cluster::keys;
use gradepin_node::settings::{ActiveSettings, OperatorSettings};
use gradepin_node::{config as configuration, serve};
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
    /// Our own settings, as KDL; without it all that they switch on is off
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// What this program is called in releases
    #[arg(long, default_value = env!("CARGO_PKG_VERSION"))]
    program_version: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM and the stop time of the configuration
    Serve {
        #[command(flatten)]
        files: Files,
        /// The form of log lines on standard error
        #[arg(long, value_enum, default_value = "text")]
        log_format: Format,
    },
    /// Read and check the configuration and our own settings, and say what they hold
    Check {
        #[command(flatten)]
        files: Files,
    },
    /// Take a running server out of service: told to the registry and the control plane at once, then drained
    Leave {
        /// The server's process id
        #[arg(long)]
        pid: i32,
        /// Take it back in instead, if its drain has not begun
        #[arg(long)]
        cancel: bool,
    },
    /// What the fleet agrees on: who may be out, the council
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Releases of programs and settings over the fleet, in waves
    Release {
        #[command(subcommand)]
        command: ReleaseCommand,
    },
    /// The configuration that the fleet agrees on: changes, their spread, history
    #[command(
        after_help = "Exit status: 0 done, 1 refused or not valid, 3 another revision is in force than expected, 4 not taken now, \
                            5 not known whether it was committed: ask again with the same --request-id"
    )]
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Look into the store of keyed runs, without a server
    Store {
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Print the version
    Version,
}

impl Files {
    fn load(self) -> Result<(Config, OperatorSettings, serve::Files), Box<dyn Error>> {
        let path = self.config.or_else(|| std::env::var_os("GW_CONFIG").map(PathBuf::from));
        let path = path.ok_or("no configuration: give --config FILE or set GW_CONFIG")?;
        let own = self.settings.as_deref().map(OperatorSettings::load).transpose()?.unwrap_or_default();
        let config = configuration::load(&path)?;
        if let Some(scgi) = &own.scgi {
            // As `serve` would: a route to a class that isn't there ends the start.
            let names = ActiveSettings::new(&config.settings);
            Routes::new(scgi, names.clone(), |class| names.class(class).is_some())?;
        }
        Ok((config, own, serve::Files { config: path, own: self.settings, version: self.program_version }))
    }
}

fn run(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Serve { files, log_format } => {
            // Before a file is read, which takes its time: until then each signal ends the process.
            let signals = serve::signals()?;
            let (config, own, files) = files.load()?;
            let format = match log_format {
                Format::Text => LogFormat::Text,
                Format::Json => LogFormat::Json,
            };
            let handed = InheritedListener::from_env()?;
            let log = log::root(&config.name, format);
            serve::serve(config, own, files, handed, signals, &log)?;
            Ok(true)
        }
        Command::Check { files } => {
            let (config, own, _) = files.load()?;
            for warning in &own.warnings {
                println!("warning: {warning}");
            }
            let (classes, tenants) = (config.settings.profiles.len(), config.settings.customers.len());
            println!("{}: listens on {}, {classes} classes, {tenants} tenants", config.name, config.listen);
            match own.registry {
                None => println!("registry: off"),
                Some(registry) => {
                    let id = registry.instance.as_ref().unwrap_or(&config.name);
                    println!("registry: {} as {id}, {} service URLs", registry.app, registry.urls.len());
                }
            }
            match own.scgi {
                None => println!("scgi: off"),
                Some(scgi) => {
                    let listeners = scgi.listen.len() + scgi.unix.len();
                    println!("scgi: {listeners} listeners, {} routes", scgi.routes.len());
                }
            }
            match own.store {
                None => println!("store: off"),
                Some(store) => println!("store: {}", store.path.display()),
            }
            match own.cluster {
                None => println!("cluster: off"),
                Some(cluster) => {
                    let keys = keys(&cluster.key_file)?;
                    let (zone, seeds) = (&cluster.zone, cluster.seeds.len());
                    let lends = if cluster.leases.is_some() { "lends" } else { "doesn't lend" };
                    if let Some(council) = &own.consensus {
                        let voters: Vec<&str> = council.voters.iter().map(|name| &**name).collect();
                        let most = &council.limits;
                        println!(
                            "council: voters {}; {} of the fleet may be out, {} of a zone",
                            voters.join(", "),
                            most.fleet,
                            most.zone
                        );
                    }
                    println!(
                        "cluster: {} in zone '{zone}', {seeds} seeds, {keys:?}, {lends} slots",
                        cluster.advertise
                    );
                }
            }
            Ok(true)
        }
        Command::Leave { pid, cancel } => {
            let process = Pid::from_raw(pid).filter(|_| pid > 1).ok_or("expected a process id")?;
            let signal = if cancel { Signal::USR2 } else { Signal::USR1 };
            kill_process(process, signal).map_err(|e| format!("process {pid}: {e}"))?;
            Ok(true)
        }
        Command::Fleet { command } => fleet::fleet(command),
        Command::Release { command } => fleet::release(command),
        Command::Config { command } => {
            config::run(command)?;
            Ok(true)
        }
        Command::Store { command } => store::run(command),
        Command::Version => {
            println!("gradepin {}", env!("CARGO_PKG_VERSION"));
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            for line in message.to_string().lines() {
                // The status counts where nobody reads the message: `eprintln!` would panic.
                let _ = writeln!(std::io::stderr(), "gradepin: {line}");
            }
            let status = message.downcast_ref::<ConfigError>().map(ConfigError::exit_status);
            status.map_or(ExitCode::FAILURE, ExitCode::from)
        }
    }
}
