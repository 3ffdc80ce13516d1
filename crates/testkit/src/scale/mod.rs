//! Cost of a server and a fleet by size. Each command measures figures at several sizes, fits a form to each, and compares the
//! value at the planned size with a budget. The figures are those of `docs/CAPACITY.md`.

pub mod budgets;
pub mod cli;
pub mod connections;
pub mod consensus;
pub mod counters;
pub mod figure;
pub mod fit;
pub mod fleet;
pub mod gaps;
pub mod gossip;
pub mod load_delay;
pub mod membership;
pub mod options;
pub mod report;
pub mod requests;
pub mod server;
pub mod settings;
