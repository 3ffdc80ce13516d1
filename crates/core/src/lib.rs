//! All state of one tile server and all changes to it, without I/O and without a clock: `(now, inputs) -> effects`.
//!
//! [`reducer`] hosts the decision module and owns the requests, connections, keys, timers and the server's registration;
//! [`messages`] is what crosses its border, in terms of no protocol. Shells of threads and sockets carry that out.

pub mod config;
mod keys;
pub mod messages;
pub mod moment;
pub mod pool;
pub mod reducer;
pub mod registration;
