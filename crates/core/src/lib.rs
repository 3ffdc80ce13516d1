//! State of one tile server and every change to it, as a reducer `(now, inputs) -> effects` that does no I/O and reads
//! no clock.
//!
//! [`reducer`] hosts the admission module and owns the requests, connections, idempotency keys, timers and the server's
//! registration. [`messages`] defines its inputs and effects independently of any protocol. Shells of threads and
//! sockets deliver the inputs and carry out the effects. Each of the other modules owns a part of the reducer's state
//! and can be tested without the reducer.

#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

pub mod admin;
pub mod buffer_pool;
pub mod classes;
pub mod config;
pub mod configuration;
pub mod idempotency_log;
pub mod idempotency_table;
mod idle_connections;
pub mod keyed_run;
pub mod lifecycle_counters;
pub mod lifecycle_guard;
pub mod messages;
pub mod pending_claims;
pub mod processor_identity;
pub mod reducer;
pub mod registration;
pub mod reload;
pub mod request_metrics;
pub mod request_timeline;
pub mod response;
pub mod shutdown;
pub mod slots;
pub mod started_runs;
pub mod stop_times;
pub mod tenants;
pub mod timer_wheel;
pub mod timestamp;
pub mod wall_clock;
