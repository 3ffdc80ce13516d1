//! `gradepin-testkit scale counters`: gossiped counter rows and leases by the number of servers, split by message kind.

use super::budgets::{BYTES_S, SERVERS};
use super::figure::{Budget, Claim, Figure};
use super::gossip::{GossipArgs, fleets};
use super::report::Report;
use gradepin_model::peers::Kind;
use std::error::Error;

/// Minimum fraction of the fleet whose counts a server should know; fleet-wide quotas are divided by the known counts.
const MIN_HEARD: f64 = 0.95;

/// Runs the measurements; returns `false` if a budget that is claimed to hold doesn't.
pub fn run(args: &GossipArgs) -> Result<bool, Box<dyn Error>> {
    let mut rows = Figure::new("counters.bytes", "counter rows, sent by a server", "B/s")
        .within(Budget::at_most(BYTES_S, Claim::Fails));
    let mut datagrams =
        Figure::new("counters.messages", "datagrams of counter rows, sent by a server", "1/s");
    let mut heard = Figure::new("counters.heard", "part of the fleet that a server's counts are of", "of 1")
        .within(Budget::at_least(MIN_HEARD, Claim::Fails));
    let mut leases = Figure::new("leases.bytes", "messages about leases, sent by a server", "B/s")
        .within(Budget::at_most(BYTES_S, Claim::Holds));
    let mut lease_datagrams =
        Figure::new("leases.messages", "datagrams about leases, sent by a server", "1/s");
    let mut all = Figure::new("gossip.bytes", "membership, rows and leases, sent by a server", "B/s")
        .within(Budget::at_most(BYTES_S, Claim::Fails));
    for fleet in fleets(args)? {
        rows.add(fleet.size, fleet.bytes_s(Kind::Rows));
        datagrams.add(fleet.size, fleet.datagrams_s(Kind::Rows));
        heard.add(fleet.size, fleet.heard());
        leases.add(fleet.size, fleet.bytes_s(Kind::Leases));
        lease_datagrams.add(fleet.size, fleet.datagrams_s(Kind::Leases));
        all.add(fleet.size, fleet.all_bytes_s());
    }
    args.options.finish(&Report {
        command: "counters",
        sizes_of: "servers",
        target: args.options.target_or(SERVERS),
        seed: args.options.seed,
        figures: vec![rows, datagrams, heard, leases, lease_datagrams, all],
        not_scored: None,
    })
}
