//! The admin endpoint: an HTTP listener for operators, separate from the clients' front ends, with a small thread for
//! each connection, so that neither load on the front ends nor a slow operator connection delays other responses.
//!
//! A request becomes an input of the reducer on the urgent queue, which no client can fill, and is answered in the next
//! step of the reducer; if that takes too long, the endpoint itself answers 503. `server` accepts connections and
//! limits their number, `reducer_client` waits for the reducer, `connection` reads and answers one request, [`routes`]
//! maps paths to requests, [`http`] is the wire format, and `responses` maps the reducer's responses to HTTP, with a
//! module for each kind of JSON or metrics. `gradepin_core::admin` defines the meaning of requests.

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
