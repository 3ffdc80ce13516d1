//! The fleet in virtual time, for designs at sizes that sockets don't reach: every server is the real reducer with the real
//! decision module, or one of the policies that a user would pick instead. [`peers`], [`consensus`] and [`config`] are worlds of their own: what servers share,
//! what they agree on, and how changes of the configuration reach them.
//!
//! [`scenario`] draws what a day is like; [`world`] plays it, an event after another of its [`queue`]; around the servers are
//! [`processor`], [`net`], [`proxy`] and [`discovery`]; [`service_report`] counts service and checks the rules. No I/O and no clock:
//! one seed, one result.

pub mod config;
pub mod consensus;
pub mod discovery;
pub mod net;
pub mod peers;
pub mod policies;
pub mod processor;
pub mod proxy;
pub mod queue;
pub mod scenario;
pub mod service_report;
pub mod streams;
pub mod world;
