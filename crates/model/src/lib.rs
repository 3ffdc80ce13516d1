//! The fleet in virtual time, for designs at sizes that sockets don't reach: every server is the real reducer with the real
//! decision module, or one of the policies that a user would pick instead. [`peers`], [`agreed`] and [`config`] are worlds of their own: what servers share,
//! what they agree on, and how changes of the configuration reach them.
//!
//! [`day`] draws what a day is like; [`world`] plays it, an event after another of its [`queue`]; around the servers are
//! [`processor`], [`net`], [`proxy`] and [`roster`]; [`account`] counts service and checks the rules. No I/O and no clock:
//! one seed, one result.

pub mod account;
pub mod agreed;
pub mod config;
pub mod day;
pub mod net;
pub mod peers;
pub mod policies;
pub mod processor;
pub mod proxy;
pub mod queue;
pub mod roster;
pub mod streams;
pub mod world;
