//! What is known of a keyed run: as the table of this life holds it, and as the store of an earlier one told it.

use crate::buffer_pool::Buffer;
use gradepin_admission::{RequestId, Span};
use std::sync::Arc;

/// Tells requests under one token apart: all tries of one request have the same body and class.
pub type Fingerprint = u64;

/// How a run ended, for its repeats.
#[derive(Debug, Clone)]
pub enum RunOutcome {
    /// With this result.
    Served(Arc<Buffer>),
    /// Without one, or it is no longer kept.
    Failed,
    /// It was begun before a crash, and what became of it can't be learned any more.
    Unknown,
}

/// What is known of a keyed run, as the store keeps it.
#[derive(Debug, Clone)]
pub struct KeyedRun {
    /// Its token.
    pub token: Arc<str>,
    /// Of its body and class.
    pub print: Fingerprint,
    /// The try that ran.
    pub id: RequestId,
    /// What is left of its window; nothing where only late readers may still ask.
    pub left: Span,
    /// Its end, if it has one.
    pub end: Option<RunOutcome>,
}

/// A keyed run of an earlier life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SavedRun {
    /// What all tries share.
    pub token: String,
    /// Of body and class.
    pub print: u64,
    /// The try.
    pub id: String,
    /// What is left of its window.
    pub left: Span,
    /// Its end.
    pub end: SavedOutcome,
}

/// How a run of an earlier life ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SavedOutcome {
    /// With this result.
    Served(Vec<u8>),
    /// Without one, or it is not kept.
    Failed,
    /// Nothing tells: it may never have begun, may run still, or has ended.
    Unknown,
}
