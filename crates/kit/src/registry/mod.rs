//! A stand-in for Eureka's server: the rules in [`state`], HTTP in [`server`], faults by script in [`faults`].

pub mod faults;
pub mod server;
pub mod state;
