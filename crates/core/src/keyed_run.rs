//! What is known of a keyed run: as the table of this process holds it, and as the store of an earlier process saved it.

use crate::buffer_pool::Buffer;
use gradepin_admission::{RequestId, Span};
use std::sync::Arc;

/// Fingerprint of the body and class of a keyed request, which all its attempts share. Tells apart requests under one key.
pub type Fingerprint = u64;

/// How a run ended, for its repeats.
#[derive(Debug, Clone)]
pub enum RunOutcome {
    /// With this result.
    Served(Arc<Buffer>),
    /// Without a result, or the result is no longer retained.
    Failed,
    /// It was started before a crash, and its outcome can't be learned any more.
    Unknown,
}

/// A keyed run as the store saves it.
#[derive(Debug, Clone)]
pub struct KeyedRun {
    /// Its idempotency key.
    pub key: Arc<str>,
    /// Fingerprint of its body and class.
    pub fingerprint: Fingerprint,
    /// The attempt that runs, or ran.
    pub id: RequestId,
    /// What is left of its window; 0 where only attempts that were sent before its end may still ask.
    pub window_left: Span,
    /// Its outcome; none while it runs.
    pub outcome: Option<RunOutcome>,
}

/// A keyed run of an earlier process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavedRun {
    /// Its idempotency key.
    pub key: String,
    /// Fingerprint of its body and class.
    pub fingerprint: u64,
    /// The attempt that ran.
    pub id: String,
    /// What is left of its window.
    pub window_left: Span,
    /// Its outcome.
    pub outcome: SavedOutcome,
}

/// How a run of an earlier process ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SavedOutcome {
    /// With this result.
    Served(Vec<u8>),
    /// Without a result, or the result was no longer retained.
    Failed,
    /// Not recorded: it may never have started, may still run, or has ended.
    Unknown,
}
