//! Events: what the host reports to the controller.

use crate::request::{Outcome, Request, RequestId};
use crate::time::Span;

/// The worker's gauges; absent ones are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Gauges {
    /// Share of the cores busy in the last half second.
    pub cpu_utilization: Option<f64>,
    /// What needs a core now: runs, reading, health checks and new connections.
    pub runnable: Option<f64>,
    /// Share of the memory in use, from 0 up.
    pub memory_utilization: Option<f64>,
    /// Open connections.
    pub links: Option<f64>,
}

impl Gauges {
    /// Sets the gauge with a name; other names change nothing, and a value that is not finite counts as
    /// absent.
    pub fn set(&mut self, name: &str, value: f64) {
        let value = Some(value).filter(|value| value.is_finite());
        match name {
            "core_use" => self.cpu_utilization = value,
            "on_cores" => self.runnable = value,
            "heap_share" => self.memory_utilization = value,
            "links" => self.links = value,
            _ => {}
        }
    }
}

/// What happened on the server.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was read.
    Arrived(Request),
    /// A run is over, or the wait of a joined request.
    Completed {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the action that started it, waits for disk and calls included.
        took: Span,
    },
    /// The caller no longer waits.
    CallerGone(RequestId),
    /// A run cannot go on without an upstream call; it waits off the cores.
    UpstreamCallNeeded(RequestId),
    /// An upstream call is over.
    UpstreamCallEnded {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was made.
        took: Span,
    },
    /// A graceful shutdown begins: the process is stopped this long from now.
    ShutdownNotice(Span),
    /// A timer set with [`Action::SetTimer`].
    Timer(Gauges),
}
