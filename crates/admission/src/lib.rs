//! gradepin decides, inside one server of a fleet, what that server takes, holds, runs, calls and turns away.
//! A worker makes one [`Controller`] at its start, hands it what happened with [`Controller::handle`], and
//! carries out the [`Action`]s that come back. The controller has no clock, does no I/O and keeps no globals:
//! the same events give the same actions.
//!
//! ```
//! use gradepin_admission::{Action, Controller, Event, Request, RequestId, Settings, Span, Time};
//!
//! let settings: Settings = serde_json::from_str(r#"{
//!     "granularity": 1000000,
//!     "profiles": [{"name": "read", "promise": 500000000, "deadline": 1000000000,
//!                   "effect": "repeatable", "worth": 1.0}],
//!     "rules": {"fall": 1500000000, "tip_multiple": 4.0, "drain_grace": 1000000000},
//!     "specifics": {"n_cores": 2, "memory_kb": 4096.0, "run_factor": 4.0}
//! }"#).unwrap();
//! let mut controller = Controller::new(settings, 7, Time(0));
//! let mut actions = Vec::new();
//! let request = Request {
//!     id: RequestId::new("r1"), class: 0, expires_in: Some(Span(1_000_000_000)), caller: 1,
//!     size_kb: 16.0, ..Request::default()
//! };
//! controller.handle(Time(1_000_000), &[Event::Arrived(request)], &mut actions);
//! assert!(actions.contains(&Action::Process(RequestId::new("r1"))));
//! ```
#![warn(missing_docs)]

mod choice;
mod interface;
pub mod numbers;

pub use choice::{Controller, throttling};
pub use interface::*;

/// The examples of README.md, compiled as doc tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct ReadmeExamples;
