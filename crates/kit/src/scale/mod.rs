//! What a server and a fleet cost by size: each command measures a figure at several sizes, fits a form to it, and holds what the
//! form says of the planned size against a budget. The figures are those of `docs/CAPACITY.md`.

pub mod cli;
pub mod fleet;
