//! Tests of single decisions of the controller, its limits at their boundaries, and one regression test per defect
//! that was found.

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
