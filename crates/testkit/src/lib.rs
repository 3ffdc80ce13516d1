//! Stand-ins for everything that a tile server talks to, and tools that play with them: a registry, processors, a
//! control plane, client proxies, fleets of real daemons, and drills.

pub mod bench;
pub mod cli;
mod commands;
pub mod control;
pub mod drill;
pub mod explore;
pub mod fleet;
pub mod forward;
pub mod harness;
pub mod interrupt;
pub mod load;
pub mod measure;
pub mod model;
pub mod processor;
pub mod registry;
pub mod saver;
pub mod scale;
pub mod thrift;
pub mod watch;
