//! Test kit: stand-ins for everything that a tile server talks to (registry, processors, control plane, client proxies), and
//! tools that use them: fleets of real daemons, load, benchmarks, drills and models.

pub mod bench;
pub mod cli;
mod commands;
pub mod control;
pub mod drill;
pub mod explore;
pub mod fault_proxy;
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
