//! The tile server: sockets, threads and state around the decision module.
//!
//! [`reducer`] owns all state and turns inputs into effects; [`clients`], [`processor`] and [`control`] each
//! speak with one kind of peer and know nothing of the others; [`serve`] joins them.

pub mod clients;
pub mod clock;
pub mod config;
pub mod control;
mod keys;
pub mod log;
pub mod messages;
pub mod pool;
pub mod processor;
pub mod reducer;
pub mod serve;
