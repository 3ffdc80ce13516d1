//! What is needed to try designs at sizes that sockets don't reach. So far the [`account`], how service is counted and
//! whether the four rules are kept, and the engine's [`queue`] of events. No I/O, no clock.

pub mod account;
pub mod queue;
