//! The admin endpoint: an HTTP listener for operators, apart from the clients' front ends, with a small thread for each
//! connection, so that neither load on the front ends nor a slow caller delays another caller's response.
//!
//! A request becomes an input of the reducer on the urgent queue, which no client fills, and is answered in its next
//! step; if that takes too long, the endpoint answers 503 itself. `server` accepts and bounds the connections,
//! `reducer_client` waits for the reducer, `connection` reads and answers one request, [`routes`] maps paths to requests, [`http`] is the wire, and
//! `responses` maps the reducer's responses to it, with a module for each kind that is JSON or metrics. The meaning of requests is in `gradepin_core::admin`.

mod agreements;
mod configuration;
mod connection;
mod exposition;
mod fleet;
pub mod http;
mod reducer_client;
mod responses;
pub mod routes;
mod server;

pub use responses::response;
pub use server::{Admin, MAX_CONNECTIONS};
