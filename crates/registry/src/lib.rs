//! Eureka's registry API without I/O and without a clock: what its messages mean, what one server tells a registry
//! and when, and what a caller believes of a fleet.
//!
//! - [`instance`]: an instance as the registry knows it, and its states.
//! - [`wire`]: instances and applications as XML and as JSON.
//! - [`membership`]: the state machine of one server's own registration.
//! - [`view`]: the fleet as a caller sees it, kept up by full fetches and deltas.
//! - [`backoff`]: waits between tries.
//!
//! The protocol is that of the public REST operations of Eureka 1.x (`/eureka/v2/apps`, or `/eureka/apps` in other
//! distributions); the fields and their spelling follow what its servers send.

pub mod backoff;
pub mod instance;
pub mod membership;
pub mod view;
pub mod wire;
