//! The shell of one tile server: its sockets, files, threads and clocks round `gradepin-core`, which decides.
//!
//! [`fronts`], [`processor`], [`control`] and [`registry`] each speak with one kind of peer and know nothing of the
//! others; [`settings`] and [`config`] read what the server is told; [`serve`] joins them.

pub mod admin;
pub mod change;
pub mod claims;
pub mod clock;
pub mod config;
pub mod configuration_service;
pub mod configuration_writer;
pub mod control;
pub mod council;
mod descriptors;
mod fleet_start;
pub mod fronts;
pub mod handed;
mod held;
pub mod log;
mod outgoing;
pub mod peers;
pub mod processor;
pub mod registry;
pub mod reload;
pub mod serve;
pub mod settings;
pub mod shared_ledger;
pub mod signals;
pub mod store;
