//! Events: what happened on the server, as the host reports it to the controller.

use crate::request::{Outcome, Request, RequestId};
use crate::time::Span;

/// Gauges of the server; `None` where a gauge is absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Gauges {
    /// Fraction of the cores that was busy in the last half second.
    pub cpu_utilization: Option<f64>,
    /// Number of tasks that need a core now: runs, readings, health checks and new connections.
    pub runnable: Option<f64>,
    /// Fraction of the memory in use; may exceed 1.
    pub memory_utilization: Option<f64>,
    /// Number of open connections.
    pub links: Option<f64>,
}

impl Gauges {
    /// Sets a gauge by its name in the settings. Unknown names are ignored, and a value that is not finite
    /// marks the gauge as absent.
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

/// Something that happened on the server.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was read from its connection.
    Arrived(Request),
    /// A run ended, or the wait of a joined request.
    Completed {
        /// The request whose run or wait ended.
        id: RequestId,
        /// The outcome of the run.
        outcome: Outcome,
        /// Time since the action that started it, including waits for the disk and for upstream calls.
        took: Span,
    },
    /// The caller of a request disconnected and no longer waits for the response.
    CallerGone(RequestId),
    /// A run needs an upstream call to continue, and is paused off the cores.
    UpstreamCallNeeded(RequestId),
    /// An upstream call ended.
    UpstreamCallEnded {
        /// The request whose run made the call.
        id: RequestId,
        /// The outcome of the call.
        outcome: Outcome,
        /// Time since the call was made.
        took: Span,
    },
    /// A graceful shutdown begins: the process is stopped this long from now.
    ShutdownNotice(Span),
    /// A timer that [`Action::SetTimer`](crate::Action::SetTimer) set is due; carries the present gauges.
    Timer(Gauges),
}
