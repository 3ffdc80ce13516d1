//! A stand-in for Eureka's server: the rules are the model's ([`state`]), HTTP in [`server`], faults by script in
//! [`faults`].

pub mod faults;
pub mod server;
pub use gradepin_model::roster::registry as state;
