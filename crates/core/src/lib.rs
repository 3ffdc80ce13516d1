//! All state of one tile server and all changes to it, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! [`reducer`] hosts the decision module and owns the requests, connections, keys, timers and the server's registration;
//! [`messages`] is what crosses its border, in terms of no protocol; [`idempotency_log`] says what of the keyed requests must be
//! durable, and when. Shells of threads and sockets carry that out.

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
