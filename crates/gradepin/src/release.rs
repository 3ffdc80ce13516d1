//! `gradepin release`: queries and orders of releases, at the admin endpoint of any server.

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

/// Queries and orders of releases.
#[derive(Debug, Subcommand)]
pub(crate) enum ReleaseCommand {
    /// Read a plan and print what it would do
    Plan {
        /// The plan
        file: PathBuf,
    },
    /// Stage settings on a server: checked completely there, and applied in its step
    Stage {
        /// The admin endpoint of that server
        #[arg(long = "door", value_name = "IP:PORT")]
        address: SocketAddr,
        /// The configuration
        file: PathBuf,
    },
    /// Start a release
    Start {
        #[command(flatten)]
        caller: Caller,
        /// The plan
        file: PathBuf,
    },
    /// Its progress
    Status {
        /// The admin endpoint of a server
        #[arg(long = "door", value_name = "IP:PORT")]
        address: SocketAddr,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Start no further step from now on, committed or not
    Halt {
        #[command(flatten)]
        caller: Caller,
        /// The release's name
        name: String,
        /// Why
        #[arg(long, default_value = "by hand")]
        why: String,
    },
    /// Resume after the halt that the status shows now
    Resume {
        #[command(flatten)]
        caller: Caller,
        /// The release's name
        name: String,
    },
    /// Roll back, in the reverse order and under the same limits
    Back {
        #[command(flatten)]
        caller: Caller,
        /// The release's name
        name: String,
        /// Why
        #[arg(long, default_value = "by hand")]
        why: String,
    },
}

/// Carries out a command and prints the answer.
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
        ReleaseCommand::Back { caller, name, why } => {
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
