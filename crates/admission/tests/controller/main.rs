//! The controller without the platform's bench: its decisions one by one, the rules at their edges, and one test per
//! failure found.

#[path = "../common/mod.rs"]
mod common;

mod advice;
mod health;
mod memory_and_keys;
mod retry_patterns;
mod robustness;
mod scheduling;
mod throttling;
mod upstream_calls;
