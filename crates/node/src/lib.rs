//! The shell of one tile server: its sockets, files, threads and clocks round `gradepin-core`, which decides.
//!
//! [`frontend`], [`processor`], [`control`] and [`registry`] each speak with one kind of peer and know nothing of the
//! others; [`settings`] and [`config`] read what the server is told; [`serve`] joins them.

pub mod admin;
pub mod claims;
pub mod clock;
pub mod config;
pub mod configuration_service;
pub mod configuration_writer;
pub mod control;
mod descriptors;
mod effects;
pub mod frontend;
pub mod inherited_listener;
pub mod log;
mod outgoing;
pub mod peer_datagrams;
pub mod processor;
pub mod registry;
pub mod reload;
pub mod serve;
pub mod settings;
pub mod signals;
pub mod staging;
mod startup;
pub mod store;
pub mod upstream_client;
pub mod voter_storage;
