//! `gradepin fleet`: queries and orders of the fleet, at the admin endpoint of any server.

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

/// Which server is called, and who calls.
#[derive(Debug, Args)]
pub(crate) struct Caller {
    /// The admin endpoint of a server
    #[arg(long = "door", value_name = "IP:PORT")]
    pub address: SocketAddr,
    /// Who calls, for the record; without it the user of the environment
    #[arg(long)]
    by: Option<String>,
}

impl Caller {
    /// Who calls, for the record.
    pub(crate) fn by(&self) -> Name {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        Arc::from(self.by.clone().or_else(user).unwrap_or_else(|| "somebody".into()))
    }
}

/// Queries and orders of the fleet.
#[derive(Debug, Subcommand)]
pub(crate) enum FleetCommand {
    /// Servers, permits, release and consensus group, and how old this view of them is
    Status {
        /// The admin endpoint of a server
        #[arg(long = "door", value_name = "IP:PORT")]
        address: SocketAddr,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Found the consensus group, once, at one of the voters; all must run, each with an empty folder
    Found {
        #[command(flatten)]
        caller: Caller,
    },
    /// Have this server request a permit and leave by it
    Leave {
        #[command(flatten)]
        caller: Caller,
    },
    /// Withdraw that request, or end its permit
    Stay {
        #[command(flatten)]
        caller: Caller,
    },
    /// Grant a permit for all servers of a zone or a member of a service: `zone NAME` or `service GROUP/MEMBER`
    Out {
        #[command(flatten)]
        caller: Caller,
        #[command(subcommand)]
        subject: Subject,
    },
    /// End such a permit
    In {
        #[command(flatten)]
        caller: Caller,
        #[command(subcommand)]
        subject: Subject,
    },
    /// Release a permit whose holder won't come back
    Free {
        #[command(flatten)]
        caller: Caller,
        /// The permit's epoch
        epoch: u64,
        /// Why
        #[arg(long)]
        why: String,
    },
    /// Remove a server that won't come back from the roster
    Strike {
        #[command(flatten)]
        caller: Caller,
        /// Its name
        name: String,
        /// Why
        #[arg(long)]
        why: String,
    },
    /// Make a server a voter, by the folder that it reports: after a lost disk, before its old identity is removed
    Voter {
        #[command(flatten)]
        caller: Caller,
        /// Its name
        name: String,
        /// Remove it instead
        #[arg(long)]
        out: bool,
    },
}

/// What a permit is for.
#[derive(Debug, Subcommand)]
pub(crate) enum Subject {
    /// All servers of a zone
    Zone {
        /// Its name
        name: String,
    },
    /// A member of a dependency
    Service {
        /// GROUP/MEMBER
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

/// The status of the fleet as one server sees it.
pub(crate) fn status(address: SocketAddr) -> Result<Value> {
    Ok(serde_json::from_str(&admin_client::call(address, "GET", "/fleet/status", "")?.into_success()?)?)
}

/// Carries out a command and prints the answer.
pub(crate) fn run(command: FleetCommand) -> Result<()> {
    let post = |address, path| admin_client::call(address, "POST", path, "")?.into_success();
    let text = match command {
        FleetCommand::Status { address, json: true } => status(address)?.to_string(),
        FleetCommand::Status { address, json: false } => table::render(&status(address)?),
        FleetCommand::Found { caller } => post(caller.address, "/fleet/found")?,
        FleetCommand::Leave { caller } => post(caller.address, "/fleet/leave")?,
        FleetCommand::Stay { caller } => post(caller.address, "/fleet/stay")?,
        FleetCommand::Out { caller, subject } => {
            let order = OperatorCommand::GrantPermit { target: subject.target()?, operator: caller.by() };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::In { caller, subject } => {
            let order = OperatorCommand::EndPermit { target: subject.target()?, operator: caller.by() };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::Free { caller, epoch, why } => {
            let order = OperatorCommand::ReleasePermit { epoch, operator: caller.by(), reason: why };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::Strike { caller, name, why } => {
            let order =
                OperatorCommand::RemoveServer { name: Arc::from(name), operator: caller.by(), reason: why };
            admin_client::order(caller.address, &order)?
        }
        FleetCommand::Voter { caller, name, out } => {
            let name = Arc::from(name);
            let order = OperatorCommand::ChangeVoter { name, add: !out, operator: caller.by() };
            admin_client::order(caller.address, &order)?
        }
    };
    println!("{text}");
    Ok(())
}
