//! Revisions of the fleet's configuration, without I/O and without a clock.
//!
//! - [`admin`]: what the admin endpoints take and give.
//! - [`change`]: typed changes of classes, tenants and rules, and the commit that carries them under one revision.
//!
//! A configuration is the result of applying a prefix of the committed log to an empty configuration. Every server of
//! the fleet holds such a prefix, and never anything else.

pub mod admin;
pub mod change;
