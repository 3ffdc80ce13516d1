//! What a door before the module goes by, so that one office's flood leaves the others their service: [`heavy`], the clients
//! that matter in bounded memory, and [`turns`], whose turn it is. No I/O, no clock.
//!
//! Begun: nothing hosts it yet. What is to come stands in `docs/design/doors.md`.

pub mod heavy;
pub mod turns;
