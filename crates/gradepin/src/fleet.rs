//! `gradepin fleet`: queries and operator commands of the fleet through the admin endpoint of any server.

pub(crate) mod table;

use crate::admin_client;
use clap::{Args, Subcommand};
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::replicated_state::{Name, Target};
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Server to call, and the operator who calls it.
#[derive(Debug, Args)]
pub(crate) struct Caller {
    /// Admin endpoint of a server
    #[arg(long = "door", value_name = "IP:PORT")]
    pub address: SocketAddr,
    /// Operator's name for the audit log; defaults to $USER
    #[arg(long)]
    by: Option<String>,
}

impl Caller {
    /// The operator's name for the audit log.
    pub(crate) fn by(&self) -> Name {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        Arc::from(self.by.clone().or_else(user).unwrap_or_else(|| "somebody".into()))
    }
}

/// Queries and operator commands of the fleet.
#[derive(Debug, Subcommand)]
pub(crate) enum FleetCommand {
    /// Show servers, permits, release and consensus group, and the age of this view
    Status {
        /// Admin endpoint of a server
        #[arg(long = "door", value_name = "IP:PORT")]
        address: SocketAddr,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Found the consensus group, once, at one of the voters; all voters must be running with empty folders
    Found {
        #[command(flatten)]
        caller: Caller,
    },
    /// Make this server request a permit and then leave
    Leave {
        #[command(flatten)]
        caller: Caller,
    },
    /// Withdraw the request to leave, or end its permit
    #[command(name = "stay")]
    CancelLeave {
        #[command(flatten)]
        caller: Caller,
    },
    /// Grant a permit for all servers of a zone (`zone NAME`) or for a member of a service (`service GROUP/MEMBER`)
    #[command(name = "out")]
    GrantPermit {
        #[command(flatten)]
        caller: Caller,
        #[command(subcommand)]
        subject: Subject,
    },
    /// End a permit that was granted with `out`
    #[command(name = "in")]
    EndPermit {
        #[command(flatten)]
        caller: Caller,
        #[command(subcommand)]
        subject: Subject,
    },
    /// Release a permit whose holder will not return
    #[command(name = "free")]
    ReleasePermit {
        #[command(flatten)]
        caller: Caller,
        /// Epoch of the permit
        epoch: u64,
        /// Reason, for the audit log
        #[arg(long)]
        why: String,
    },
    /// Remove from the roster a server that will not return
    #[command(name = "strike")]
    RemoveServer {
        #[command(flatten)]
        caller: Caller,
        /// Name of the server
        name: String,
        /// Reason, for the audit log
        #[arg(long)]
        why: String,
    },
    /// Make a server a voter, identified by the folder that it reports; used after a lost disk, before the old
    /// identity is removed
    Voter {
        #[command(flatten)]
        caller: Caller,
        /// Name of the server
        name: String,
        /// Remove the voter instead of adding it
        #[arg(long = "out")]
        remove: bool,
    },
}

/// Subject of a permit.
#[derive(Debug, Subcommand)]
pub(crate) enum Subject {
    /// All servers of a zone
    Zone {
        /// Name of the zone
        name: String,
    },
    /// A member of a dependency
    Service {
        /// Dependency and member, as GROUP/MEMBER
        name: String,
    },
}

impl Subject {
    fn target(&self) -> Result<Target> {
        match self {
            Self::Zone { name } => Ok(Target::Zone(Arc::from(name.as_str()))),
            Self::Service { name } => {
                let (group, member) = name.split_once('/').ok_or("expected GROUP/MEMBER, as in ledger/a")?;
                Ok(Target::Service { service: Arc::from(group), member: Arc::from(member) })
            }
        }
    }
}

/// Queries the status of the fleet as seen by one server.
pub(crate) fn status(address: SocketAddr) -> Result<Value> {
    Ok(serde_json::from_str(&admin_client::call(address, "GET", "/fleet/status", "")?.into_success()?)?)
}

/// Executes a command and prints the answer.
pub(crate) fn run(command: FleetCommand) -> Result<()> {
    let post = |address, path| admin_client::call(address, "POST", path, "")?.into_success();
    let text = match command {
        FleetCommand::Status { address, json: true } => status(address)?.to_string(),
        FleetCommand::Status { address, json: false } => table::render(&status(address)?),
        FleetCommand::Found { caller } => post(caller.address, "/fleet/found")?,
        FleetCommand::Leave { caller } => post(caller.address, "/fleet/leave")?,
        FleetCommand::CancelLeave { caller } => post(caller.address, "/fleet/stay")?,
        FleetCommand::GrantPermit { caller, subject } => {
            let order = OperatorCommand::GrantPermit { target: subject.target()?, operator: caller.by() };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::EndPermit { caller, subject } => {
            let order = OperatorCommand::EndPermit { target: subject.target()?, operator: caller.by() };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::ReleasePermit { caller, epoch, why } => {
            let order = OperatorCommand::ReleasePermit { epoch, operator: caller.by(), reason: why };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::RemoveServer { caller, name, why } => {
            let order =
                OperatorCommand::RemoveServer { name: Arc::from(name), operator: caller.by(), reason: why };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::Voter { caller, name, remove } => {
            let name = Arc::from(name);
            let order = OperatorCommand::ChangeVoter { name, add: !remove, operator: caller.by() };
            admin_client::order(caller.address, &order)?
        }
    };
    println!("{text}");
    Ok(())
}
