//! Commands of the test kit, one module each.

mod ask;
mod bench;
mod control;
mod drill;
mod explore;
mod fault_proxy;
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

/// Command of the test kit.
#[derive(Subcommand)]
pub enum Command {
    /// Explore the permit protocol exhaustively within small bounds, with all rules and with one left out
    Explore(explore::ExploreArgs),
    /// Run a fleet of real servers with stand-ins and client proxies; one line per second, Ctrl-C drains it
    Fleet(fleet::FleetArgs),
    /// Run a stand-in processor
    Processor(processor::ProcessorArgs),
    /// Run a stand-in control plane; one line per second with the ready servers
    Control(control::ControlArgs),
    /// Run a stand-in registry with Eureka's API; one line per second with its contents
    Registry(registry::RegistryArgs),
    /// Query a registry, or change an instance there
    Ask(ask::AskArgs),
    /// Run benchmarks that compare alternatives
    Bench(bench::BenchArgs),
    /// Run open-loop load on running servers: Poisson arrivals, with times counted from the schedule
    Load(load::LoadArgs),
    /// Run a minimal forwarder for benchmarks: a thread and a processor link per connection
    Forward(forward::ForwardArgs),
    /// Run a proxy before a processor that breaks the link; prints its address
    FaultProxy(fault_proxy::FaultProxyArgs),
    /// Simulate the fleet in virtual time: single days, sweeps and plots
    Model {
        #[command(subcommand)]
        command: ModelCommand,
    },
    /// Run fault drills against real servers; one line per claim, status 1 if one is not kept, 3 if the machine was too slow
    Drill(drill::DrillArgs),
    /// Measure the cost of a server or fleet by size: figures, fits, and budgets at the planned size
    Scale(ScaleArgs),
}

impl Command {
    /// Runs the command; returns `false` if a claim, check or budget was not kept.
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
            Self::FaultProxy(args) => fault_proxy::run(args),
            Self::Model { command } => model::run(command, &*interrupt::flag()?),
            Self::Drill(args) => drill::run(args),
            Self::Scale(args) => scale::run(args),
        }
    }
}
