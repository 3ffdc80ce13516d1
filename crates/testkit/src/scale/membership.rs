//! `gradepin-testkit scale membership`: cost of the SWIM membership by the number of servers.

use super::budgets::{BYTES_S, CPU_PERCENT, MEMORY_MB, SERVERS};
use super::figure::{Budget, Claim, Figure};
use super::gossip::{GossipArgs, fleets};
use super::report::Report;
use gradepin_model::peers::Kind;
use std::error::Error;

/// Runs the measurements; returns `false` if a budget that is claimed to hold doesn't.
pub fn run(args: &GossipArgs) -> Result<bool, Box<dyn Error>> {
    let mut bytes = Figure::new("membership.bytes", "SWIM, sent by a server", "B/s")
        .within(Budget::at_most(BYTES_S, Claim::Holds));
    let mut messages = Figure::new("membership.messages", "SWIM datagrams, sent by a server", "1/s");
    let mut cpu =
        Figure::new("membership.cpu", "all gossip of a server, the model round it included", "% of a core")
            .within(Budget::at_most(CPU_PERCENT, Claim::Holds));
    let mut memory =
        Figure::new("membership.memory", "all gossip of a server, the model round it included", "MB")
            .within(Budget::at_most(MEMORY_MB, Claim::Holds));
    for fleet in fleets(args)? {
        bytes.add(fleet.size, fleet.bytes_s(Kind::Membership));
        messages.add(fleet.size, fleet.datagrams_s(Kind::Membership));
        cpu.add(fleet.size, fleet.cpu_percent());
        memory.add(fleet.size, fleet.memory_mb());
    }
    args.options.finish(&Report {
        command: "membership",
        sizes_of: "servers",
        target: args.options.target_or(SERVERS),
        seed: args.options.seed,
        figures: vec![bytes, messages, cpu, memory],
        not_scored: None,
    })
}
