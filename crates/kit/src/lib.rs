//! Stand-ins for everything that a tile server talks to, and tools that play with them.

pub mod registry;
