//! `gradepin-testkit scale`: its commands.

use super::connections::{self, ConnectionsArgs};
use super::consensus::{self, ConsensusArgs};
use super::fleet::host::{self, HostArgs};
use super::fleet::{self, FleetArgs};
use super::gossip::GossipArgs;
use super::requests::{self, RequestsArgs};
use super::settings::{self, SettingsArgs};
use super::{counters, membership};
use clap::{Args, Subcommand};
use std::error::Error;

/// Arguments of `scale`.
#[derive(Debug, Args)]
pub struct ScaleArgs {
    #[command(subcommand)]
    command: ScaleCommand,
}

/// Measurement to run.
#[derive(Debug, Subcommand)]
enum ScaleCommand {
    /// A server by the classes and tenants of its settings: start-up time, memory, CPU, gaps during reloads
    Settings(SettingsArgs),
    /// A request by the size of the settings: CPU time and added latency
    Requests(RequestsArgs),
    /// A connection: memory and CPU, up to the descriptor limit
    Connections(ConnectionsArgs),
    /// Membership by the number of servers: messages, bytes and CPU
    Membership(GossipArgs),
    /// Gossiped counter rows and leases by the number of servers: bytes by message kind
    Counters(GossipArgs),
    /// Consensus by the number of grants: latency, syncs and bytes on disk
    Consensus(ConsensusArgs),
    /// Many hollow servers (without processor and threads) in a few processes, with real daemons among them
    Fleet(FleetArgs),
    /// Host hollow servers, for `fleet`
    #[command(hide = true)]
    FleetHost(HostArgs),
}

/// Runs the measurements; returns `false` if a budget that is claimed to hold doesn't.
pub fn run(args: ScaleArgs) -> Result<bool, Box<dyn Error>> {
    match args.command {
        ScaleCommand::Settings(args) => settings::run(&args),
        ScaleCommand::Requests(args) => requests::run(&args),
        ScaleCommand::Connections(args) => connections::run(&args),
        ScaleCommand::Membership(args) => membership::run(&args),
        ScaleCommand::Counters(args) => counters::run(&args),
        ScaleCommand::Consensus(args) => consensus::run(&args),
        ScaleCommand::Fleet(args) => fleet::run(args),
        ScaleCommand::FleetHost(args) => host::run(&args).map(|()| true),
    }
}
