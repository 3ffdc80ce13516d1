//! `gradepin release`: queries and operator commands of releases through the admin endpoint of any server.

mod plan;

use crate::admin_client;
use crate::fleet::{self, Caller, table};
use clap::Subcommand;
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::rollout::RolloutCommand;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Queries and operator commands of releases.
#[derive(Debug, Subcommand)]
pub(crate) enum ReleaseCommand {
    /// Validate a plan and print its effect
    Plan {
        /// File of the plan
        file: PathBuf,
    },
    /// Stage settings on a server: they are fully validated now and applied in the server's step of a release
    Stage {
        /// Admin endpoint of that server
        #[arg(long = "door", value_name = "IP:PORT")]
        address: SocketAddr,
        /// File of the configuration
        file: PathBuf,
    },
    /// Start a release
    Start {
        #[command(flatten)]
        caller: Caller,
        /// File of the plan
        file: PathBuf,
    },
    /// Show the progress of the release
    Status {
        /// Admin endpoint of a server
        #[arg(long = "door", value_name = "IP:PORT")]
        address: SocketAddr,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Halt a release: no further step starts, even if it is already committed
    Halt {
        #[command(flatten)]
        caller: Caller,
        /// Name of the release
        name: String,
        /// Reason, for the audit log
        #[arg(long, default_value = "by hand")]
        why: String,
    },
    /// Resume a release after the halt that the status currently shows
    Resume {
        #[command(flatten)]
        caller: Caller,
        /// Name of the release
        name: String,
    },
    /// Roll back a release, in reverse order and under the same limits
    #[command(name = "back")]
    RollBack {
        #[command(flatten)]
        caller: Caller,
        /// Name of the release
        name: String,
        /// Reason, for the audit log
        #[arg(long, default_value = "by hand")]
        why: String,
    },
}

/// Executes a command and prints the answer.
pub(crate) fn run(command: ReleaseCommand) -> Result<()> {
    let text = match command {
        ReleaseCommand::Plan { file } => plan::describe(&plan::load(&file)?),
        ReleaseCommand::Stage { address, file } => {
            admin_client::call(address, "POST", "/fleet/stage", &read(&file)?)?.into_success()?
        }
        ReleaseCommand::Start { caller, file } => {
            let order =
                OperatorCommand::StartRollout { plan: Box::new(plan::load(&file)?), operator: caller.by() };
            admin_client::order(caller.address, &order)?
        }
        ReleaseCommand::Status { address, json: true } => fleet::status(address)?["release"].to_string(),
        ReleaseCommand::Status { address, json: false } => table::render(&fleet::status(address)?),
        ReleaseCommand::Halt { caller, name, why } => {
            order(&caller, RolloutCommand::Halt { name, operator: caller.by(), reason: why })?
        }
        ReleaseCommand::Resume { caller, name } => {
            let status = fleet::status(caller.address)?;
            let halt_count = status["release"]["halts"].as_u64().ok_or("there is no release")? as u32;
            order(&caller, RolloutCommand::Resume { name, halt_count, operator: caller.by() })?
        }
        ReleaseCommand::RollBack { caller, name, why } => {
            order(&caller, RolloutCommand::RollBack { name, operator: caller.by(), reason: why })?
        }
    };
    println!("{text}");
    Ok(())
}

fn order(caller: &Caller, command: RolloutCommand) -> Result<String> {
    admin_client::order(caller.address, &OperatorCommand::Rollout(command))
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()).into())
}
