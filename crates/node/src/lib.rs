//! The shell of one tile server: sockets, files, threads and clocks around the reducer of `gradepin-core`, which makes
//! all decisions.
//!
//! [`serve`] is the entry point: `startup` starts all parts in a fixed order, `main_loop` steps the reducer, and
//! `effects` executes the effects that the reducer returns. [`frontend`], [`processor`], [`control`], [`registry`],
//! [`upstream_client`] and [`peer_datagrams`] each communicate with one kind of peer and don't depend on each other;
//! [`store`], [`claims`], [`voter_storage`], [`staging`] and [`configuration_writer`] each own one folder. [`settings`]
//! and [`config`] read the files that a server is started with. Threads send [`gradepin_core::messages::Input`]s to the
//! main thread and never call it.

#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

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
mod main_loop;
mod outgoing;
pub mod peer_datagrams;
pub mod processor;
mod queues;
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
