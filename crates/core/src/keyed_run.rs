//! Representations of a keyed run: in the idempotency table of this process, and as saved to the store by an earlier
//! process.

use crate::buffer_pool::Buffer;
use gradepin_admission::{RequestId, Span};
use std::sync::Arc;

/// Fingerprint of the body and class of a keyed request. All its attempts share it; it distinguishes different requests
/// that use the same key.
pub type Fingerprint = u64;

/// The outcome of a run, as repeats of its request get it.
#[derive(Debug, Clone)]
pub enum RunOutcome {
    /// The run ended with this result.
    Served(Arc<Buffer>),
    /// The run ended without a result, or the result is no longer retained.
    Failed,
    /// The run was started before a crash, and its outcome can no longer be determined.
    Unknown,
}

/// A keyed run, as it is written to the store.
#[derive(Debug, Clone)]
pub struct KeyedRun {
    /// Idempotency key of the run.
    pub key: Arc<str>,
    /// Fingerprint of the request's body and class.
    pub fingerprint: Fingerprint,
    /// Id of the attempt that runs or ran.
    pub id: RequestId,
    /// Remaining time of the window; 0 once it is over, when only attempts that were sent before its end may still ask
    /// for the run.
    pub window_left: Span,
    /// Outcome of the run; `None` while it runs.
    pub outcome: Option<RunOutcome>,
}

/// A keyed run of an earlier process, as recovered from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavedRun {
    /// Idempotency key of the run.
    pub key: String,
    /// Fingerprint of the request's body and class.
    pub fingerprint: u64,
    /// Id of the attempt that ran.
    pub id: String,
    /// Remaining time of the window.
    pub window_left: Span,
    /// Outcome of the run.
    pub outcome: SavedOutcome,
}

/// The recovered outcome of an earlier process's run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SavedOutcome {
    /// The run ended with this result.
    Served(Vec<u8>),
    /// The run ended without a result, or the result was no longer retained.
    Failed,
    /// No outcome was recorded: the run may never have started, may still run, or may have ended.
    Unknown,
}
