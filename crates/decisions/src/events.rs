//! Events: what the host reports to the controller.

use crate::request::{Outcome, Request, RequestId};
use crate::time::Span;

/// The worker's gauges; absent ones are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Gauges {
    /// Share of the cores busy in the last half second.
    pub core_use: Option<f64>,
    /// All that needs a core now.
    pub on_cores: Option<f64>,
    /// Share of the memory in use.
    pub heap_share: Option<f64>,
    /// Open connections.
    pub links: Option<f64>,
}

impl Gauges {
    /// Sets the gauge of a name; other names, and values that are no numbers, change nothing.
    pub fn set(&mut self, name: &str, value: f64) {
        let value = Some(value).filter(|value| value.is_finite());
        match name {
            "core_use" => self.core_use = value,
            "on_cores" => self.on_cores = value,
            "heap_share" => self.heap_share = value,
            "links" => self.links = value,
            _ => {}
        }
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was read.
    Arrived(Request),
    /// A run or join is over.
    Completed {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the action that started it.
        took: Span,
    },
    /// The caller has gone.
    Left(RequestId),
    /// A running request needs a call.
    ReadyToCall(RequestId),
    /// A call is over.
    CallResult {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was made.
        took: Span,
    },
    /// Notice to leave: the process is stopped this long from now.
    Sigterm(Span),
    /// A timer set with [`Action::Remind`].
    Timer(Gauges),
}
