//! The commands of the kit, a module each.

mod ask;
mod bench;
mod control;
mod drill;
mod explore;
mod fleet;
mod forward;
mod load;
mod processor;
mod registry;
mod shared;

use crate::interrupt;
use crate::model::cli::{self as model, ModelCommand};
use crate::scale::cli::{self as scale, ScaleArgs};
use clap::Subcommand;
use std::error::Error;

/// What the kit does.
#[derive(Subcommand)]
pub enum Command {
    /// Explore permits exhaustively in the small, with every rule and without each of three
    Explore(explore::ExploreArgs),
    /// A fleet of real servers with all their stand-ins and client proxies; a line a second, Ctrl-C drains it
    Fleet(fleet::FleetArgs),
    /// A stand-in processor
    Processor(processor::ProcessorArgs),
    /// A stand-in control plane; a line a second with who is ready
    Control(control::ControlArgs),
    /// A stand-in registry with Eureka's API; a line a second with what it holds
    Registry(registry::RegistryArgs),
    /// Asks a registry, or takes an instance out there: for people, and for trying a registry out
    Ask(ask::AskArgs),
    /// Measurements that compare two ways in one run
    Bench(bench::BenchArgs),
    /// Open-loop load on servers that run already: Poisson arrivals, times from the schedule, whatever the servers do
    Load(load::LoadArgs),
    /// A bare forwarder, for measurements: a thread and a processor link a connection, no decisions
    Forward(forward::ForwardArgs),
    /// The fleet in virtual time: days, sweeps of them, plots
    Model {
        #[command(subcommand)]
        command: ModelCommand,
    },
    /// Plays failures against real servers; a line a claim, status 1 if any is not kept, 3 if the machine was too late to say
    Drill(drill::DrillArgs),
    /// What a server, and a fleet, cost by size: figures, fits, and budgets at the size that an installation is planned for
    Scale(ScaleArgs),
}

impl Command {
    /// Carries it out; false if a claim, a drill or a budget was not kept.
    pub fn run(self) -> Result<bool, Box<dyn Error>> {
        match self {
            Self::Explore(args) => explore::run(args),
            Self::Fleet(args) => fleet::run(args),
            Self::Processor(args) => processor::run(args),
            Self::Control(args) => control::run(args),
            Self::Registry(args) => registry::run(args),
            Self::Ask(args) => ask::run(args),
            Self::Bench(args) => bench::run(args),
            Self::Load(args) => load::run(args),
            Self::Forward(args) => forward::run(args),
            Self::Model { command } => model::run(command, &*interrupt::flag()?),
            Self::Drill(args) => drill::run(args),
            Self::Scale(args) => scale::run(args),
        }
    }
}
