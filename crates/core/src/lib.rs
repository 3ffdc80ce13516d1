//! All state of one tile server and all changes to it, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! [`reducer`] hosts the admission module and owns the requests, connections, idempotency keys, timers and the server's
//! registration. [`messages`] holds its inputs and effects, independent of any protocol; shells of threads and sockets deliver
//! the inputs and carry out the effects. The other modules each own a part of the reducer's state, and can be tested without
//! it.

#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

pub mod admin;
pub mod buffer_pool;
pub mod classes;
pub mod config;
pub mod configuration;
pub mod handover;
pub mod idempotency_log;
pub mod idempotency_table;
mod idle_connections;
pub mod keyed_run;
pub mod messages;
pub mod pending_claims;
pub mod processor_identity;
pub mod reducer;
pub mod registration;
pub mod reload;
pub mod request_metrics;
pub mod response;
pub mod slots;
pub mod tenants;
pub mod timer_wheel;
pub mod timestamp;
