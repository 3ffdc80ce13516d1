//! Admission control inside one server of a fleet: decides which requests are queued, run, joined to an
//! earlier attempt or rejected, when their upstream calls are made, and what callers are advised.
//!
//! The host creates one [`Controller`] for its server, passes it the [`Event`]s of each batch through
//! [`Controller::handle`], and carries out the returned [`Action`]s. The controller has no clock, does no
//! I/O and has no global state: the same seed, settings and events produce the same actions.
//!
//! - Public interface: `settings`, `specifics`, `class_definition`, `request`, `events`, `actions`, `time`,
//!   `numbers`.
//! - Controller: `controller`, whose submodules follow a request from its arrival to its end.
//! - Capacity: `throttling` and `memory`, `concurrency_limit` and `slow_start`, `wait_queue` and `density`.
//! - Upstream calls: `call_limiter`, `call_latency`, `call_share`.
//! - Estimates: `class_estimates`, `tenant_quota`, `retry_patterns`, `demand`.
//! - Reports to callers and health checkers: `health`, `advice`, `idle_connections`.
//! - Tables and utilities: `open_requests`, `idempotency_keys`, `drain`, `random`.
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
//! assert!(actions.contains(&Action::Run(RequestId::new("r1"))));
//! ```
#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

mod actions;
mod advice;
mod call_latency;
mod call_limiter;
mod call_share;
mod class_definition;
mod class_estimates;
mod concurrency_limit;
mod controller;
mod demand;
mod density;
mod drain;
mod events;
mod health;
mod idempotency_keys;
mod idle_connections;
mod memory;
pub mod numbers;
mod open_requests;
mod random;
mod request;
mod retry_patterns;
mod settings;
mod slow_start;
mod specifics;
mod tenant_quota;
mod throttling;
mod time;
mod wait_queue;

pub use actions::Action;
pub use class_definition::{ClassDefinition, ClassError, ClassProfile, Idempotency};
pub use controller::Controller;
pub use events::{Event, Gauges};
pub use request::{Outcome, Request, RequestId};
pub use settings::{
    AdmissionSettingsError, Callers, Goal, Limits, Prices, Rules, Settings, SplitSettings, Tenant,
    WeightBasis,
};
pub use specifics::{CapacitySignal, Specifics, StopMode, UpstreamKind};
pub use throttling::throttling_percent;
pub use time::{Span, Time, seconds_until, span_from_seconds, span_seconds, time_after, time_before};

/// Compiles the examples of README.md as doc tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct ReadmeExamples;
