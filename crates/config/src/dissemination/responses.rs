//! Builds responses to requests of peers, from the [`CommitHistory`] and from recently served snapshots.

use super::history::CommitHistory;
use super::messages::{CommitRecord, Message};
use super::settings::DisseminationSettings;
use crate::change::Revision;
use crate::configuration::Configuration;
use crate::digest::Version;
use crate::snapshot::{ChunkDigest, Snapshot};
use gradepin_admission::{Span, Time, time_after};
use std::collections::VecDeque;

/// Maximum size of the records in the reply to one request for commits: about a dozen datagrams.
const MAX_REPLY_BYTES: usize = 16_000;
/// Encoded size of a message in addition to its records.
const MESSAGE_OVERHEAD_BYTES: usize = 16;
/// Maximum number of states retained because their manifest was served, so that their chunks can still be fetched. They share
/// all unchanged chunks with the state in force.
const MAX_SERVED_SNAPSHOTS: usize = 16;
/// How long the last manifest is reused, so that servers that join at the same time fetch the same chunks. Afterwards they fetch
/// the commits made in the meantime.
const MANIFEST_REUSE: Span = Span(2_000_000_000);

/// Groups records into batches that each fit into one datagram, unless a single record is larger. Stops at the maximum size of one
/// reply.
pub fn batches(
    settings: &DisseminationSettings,
    records: impl Iterator<Item = CommitRecord>,
) -> Vec<Vec<CommitRecord>> {
    let mut batches: Vec<Vec<CommitRecord>> = Vec::new();
    let (mut batch_bytes, mut reply_bytes) = (usize::MAX, 0);
    for record in records {
        let record_bytes = postcard::to_stdvec(&record).map_or(0, |bytes| bytes.len());
        reply_bytes += record_bytes;
        if reply_bytes > MAX_REPLY_BYTES && !batches.is_empty() {
            break;
        }
        batch_bytes = batch_bytes.saturating_add(record_bytes);
        if batch_bytes > settings.datagram_payload_bytes - MESSAGE_OVERHEAD_BYTES {
            batches.push(Vec::new());
            batch_bytes = record_bytes;
        }
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    batches
}

/// The messages of the response to a request for the commits after the state `theirs`.
pub fn commits(
    settings: &DisseminationSettings,
    history: &CommitHistory,
    own: Version,
    theirs: Version,
) -> Vec<Message> {
    if theirs.revision >= own.revision {
        return vec![Message::Advert(own)];
    }
    // The commits of this server don't apply to a state that is not in its history.
    let is_other_history = history.digest_at(theirs.revision).is_some_and(|digest| digest != theirs.digest);
    if is_other_history && !settings.skip_checks {
        return vec![Message::Compacted];
    }
    let Some(records) = history.after(theirs.revision) else { return vec![Message::Compacted] };
    let batches = batches(settings, records);
    let count = batches.len();
    let message = |(index, records)| Message::Commits { records, last: index + 1 == count };
    batches.into_iter().enumerate().map(message).collect()
}

/// The states whose manifests were served recently, oldest first.
#[derive(Debug, Default)]
pub struct ServedSnapshots {
    snapshots: VecDeque<Snapshot>,
    last_made_at: Time,
}

impl ServedSnapshots {
    /// The response to a request for a manifest; `None` if the state is below `min_revision`.
    pub fn manifest(&mut self, now: Time, state: &Configuration, min_revision: Revision) -> Option<Message> {
        if state.revision() < min_revision {
            return None;
        }
        let is_recent = now < time_after(self.last_made_at, MANIFEST_REUSE);
        let may_reuse = |last: &Snapshot| is_recent && last.version().revision >= min_revision;
        if !self.snapshots.back().is_some_and(may_reuse) {
            self.snapshots.push_back(Snapshot::of(state));
            self.last_made_at = now;
        }
        if self.snapshots.len() > MAX_SERVED_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.back().map(|snapshot| Message::Manifest(snapshot.manifest()))
    }

    /// The response to a request for a chunk, from the state in force or a recently served one.
    pub fn chunk(&self, state: &Configuration, requested: ChunkDigest) -> Message {
        let served = self.snapshots.iter().map(Snapshot::configuration);
        for state in std::iter::once(state).chain(served) {
            let chunk = state.chunk(requested.number).filter(|chunk| chunk.digest == requested.digest);
            if let Some(chunk) = chunk {
                return Message::Chunk { number: requested.number, bytes: chunk.encode() };
            }
        }
        Message::NoChunk(requested.number)
    }

    /// Drops all states, after a snapshot was installed: the states before it may be wrong.
    pub fn clear(&mut self) {
        self.snapshots.clear();
    }
}
