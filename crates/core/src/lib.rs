//! All state of one tile server and all changes to it, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! [`reducer`] hosts the decision module and owns the requests, connections, keys, timers and the server's registration;
//! [`messages`] is what crosses its border, in terms of no protocol; [`ledger`] says what of the keyed requests must be
//! durable, and when. Shells of threads and sockets carry that out.

pub mod admin;
pub mod answer;
pub mod claims;
pub mod classes;
pub mod config;
pub mod configuration;
pub mod handover;
pub mod keys;
pub mod known_processor;
pub mod ledger;
pub mod messages;
pub mod moment;
pub mod pool;
pub mod records;
pub mod reducer;
pub mod registration;
pub mod reload;
mod resting;
pub mod slots;
pub mod tally;
pub mod tenants;
pub mod wheel;
