//! Exhaustive exploration of protocols within small bounds. A counterexample is a sequence of events.

pub mod permits;
pub mod shutdown;
