//! Protocols explored in the small, all that can happen: a counterexample is a course of events.

pub mod permits;
