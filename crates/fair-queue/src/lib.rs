//! Fair queueing between tenants, so that a flood of one tenant leaves the others their share of the service:
//! [`heavy_hitters`] finds the clients that cause the most work, in bounded memory, and [`queue`] decides which request is
//! served next. No I/O and no clock.
//!
//! No server uses this crate yet. The remaining work is described in `docs/design/doors.md`.

pub mod heavy_hitters;
pub mod queue;
