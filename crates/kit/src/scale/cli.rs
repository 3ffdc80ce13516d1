//! `gradepin-kit scale`: its commands.

use super::fleet::host::{self, HostArgs};
use super::fleet::{self, FleetArgs};
use clap::{Args, Subcommand};
use std::error::Error;

/// Settings of `scale`.
#[derive(Debug, Args)]
pub struct ScaleArgs {
    #[command(subcommand)]
    command: ScaleCommand,
}

/// What is measured.
#[derive(Debug, Subcommand)]
enum ScaleCommand {
    /// A server by the classes and tenants of its settings: start, memory, CPU, gaps while it reloads
    Settings(PendingArgs),
    /// A request by the size of the settings: CPU, and the time that the server adds
    Requests(PendingArgs),
    /// A connection: bytes and CPU, up to what descriptors allow
    Connections(PendingArgs),
    /// Membership by the number of servers: messages, bytes and CPU
    Membership(PendingArgs),
    /// Gossiped counter rows and leases by the number of servers: bytes by the kind of message
    Counters(PendingArgs),
    /// Consensus by entries, voters and the size of the snapshot
    Consensus(PendingArgs),
    /// Many servers without a processor in a few processes, with real ones among them
    Fleet(FleetArgs),
    /// Host hollow servers, for `fleet`
    #[command(hide = true)]
    FleetHost(HostArgs),
}

/// Settings of a command that is not there yet.
#[derive(Debug, Args)]
struct PendingArgs {}

/// Measures; false if a budget that is claimed to hold doesn't.
pub fn run(args: ScaleArgs) -> Result<bool, Box<dyn Error>> {
    let pending = |name: &str| Err(format!("scale {name} is not there yet").into());
    match args.command {
        ScaleCommand::Settings(_) => pending("settings"),
        ScaleCommand::Requests(_) => pending("requests"),
        ScaleCommand::Connections(_) => pending("connections"),
        ScaleCommand::Membership(_) => pending("membership"),
        ScaleCommand::Counters(_) => pending("counters"),
        ScaleCommand::Consensus(_) => pending("consensus"),
        ScaleCommand::Fleet(args) => fleet::run(args),
        ScaleCommand::FleetHost(args) => host::run(&args).map(|()| true),
    }
}
