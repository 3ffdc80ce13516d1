//! A rig for faults between real processes: a fleet whose datagrams pass relays that know both ends, a ledger that counts
//! the calls under way, a schedule of faults drawn from a seed, a history of what those who see the truth saw, and a
//! checker that reads that history and knows nothing of the daemon's code.
//!
//! - [`relay`]: cuts, delays, losses and copies between any two servers.
//! - [`ledger`]: the stand-in ledger, an address for each server.
//! - [`schedule`]: what happens when.
//! - [`history`]: what was seen, and the claims about it.
//! - [`supervisor`]: what starts the operators' processes, and replaces them in a release.
//! - [`lag`]: how late the machine was.
//! - [`play`]: all of it together, for a drill.

pub mod history;
pub mod lag;
pub mod ledger;
pub mod play;
pub mod relay;
pub mod schedule;
pub mod supervisor;
