//! Simulates the fleet in virtual time, to evaluate designs at sizes that can't be reached with sockets. Every server is
//! the real reducer with the real decision module, or one of the comparison policies. [`peers`] (state shared between
//! servers), [`consensus`] (drains and rollouts) and [`config`] (dissemination of configuration changes) are separate
//! simulations.
//!
//!
//! [`scenario`] draws the parameters of a run; [`world`] plays it, one event of its [`queue`] after another. The
//! surroundings of the servers are in [`processor`], [`net`], [`proxy`] and [`discovery`]; [`service_report`] counts
//! service and checks the rules. There is no I/O and no clock: the same seed gives the same result.

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
