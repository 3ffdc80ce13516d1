//! Fault-injection harness for real daemon processes. All gossip passes through relays, the stand-in ledger counts calls
//! in flight, faults come from a seeded schedule, and a checker that shares no code with the daemon judges the recorded
//! history.
//!
//! - [`relay`]: partitions, delays, losses and duplicates between any two servers.
//! - [`ledger`]: stand-in ledger with a separate address for each server.
//! - [`schedule`]: seeded fault schedule.
//! - [`history`]: recorded observations, and the checks on them.
//! - [`supervisor`]: stand-in process supervisor that restarts and upgrades servers.
//! - [`machine_delay`]: scheduling delays of the machine during a run.
//! - [`play`]: runs a schedule against a fleet under load.

pub mod history;
pub mod ledger;
pub mod machine_delay;
pub mod play;
pub mod relay;
pub mod schedule;
pub mod supervisor;
