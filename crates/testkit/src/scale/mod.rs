//! What a server and a fleet cost by size: each command measures a figure at several sizes, fits a form to it, and holds what the
//! form says of the planned size against a budget. The figures are those of `docs/CAPACITY.md`.

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
pub mod lag;
pub mod membership;
pub mod options;
pub mod report;
pub mod requests;
pub mod server;
pub mod settings;
