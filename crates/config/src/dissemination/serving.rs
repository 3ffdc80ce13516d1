//! Answers to peers' requests.

use super::history::History;
use super::messages::{CommitRecord, Message};
use super::settings::DisseminationSettings;
use crate::change::Revision;
use crate::configuration::Configuration;
use crate::digest::Version;
use crate::snapshot::{ChunkDigest, Snapshot};
use gradepin_admission::{Span, Time, time_after};
use std::collections::VecDeque;

/// The longest answer to one request for commits, in bytes: about a dozen datagrams.
const ANSWER_BYTES: usize = 16_000;
/// Room of the message around its records, in bytes.
const HEAD_BYTES: usize = 16;
/// States whose manifest was served that are kept, so that their chunks can still be had; they share what they have in
/// common with the state in force.
const MOST_SERVED: usize = 16;
/// The manifest that was served last is served again for so long, so that newcomers who come together share chunks. The
/// commits that came since are fetched after.
const SERVE_AGAIN: Span = Span(2_000_000_000);

/// Records by messages, each of one datagram if its records are small.
pub fn batches(
    settings: &DisseminationSettings,
    records: impl Iterator<Item = CommitRecord>,
) -> Vec<Vec<CommitRecord>> {
    let mut batches: Vec<Vec<CommitRecord>> = Vec::new();
    let (mut batch_bytes, mut all_bytes) = (usize::MAX, 0);
    for record in records {
        let bytes = postcard::to_stdvec(&record).map_or(0, |bytes| bytes.len());
        all_bytes += bytes;
        if all_bytes > ANSWER_BYTES && !batches.is_empty() {
            break;
        }
        batch_bytes = batch_bytes.saturating_add(bytes);
        if batch_bytes > settings.piece_bytes - HEAD_BYTES {
            batches.push(Vec::new());
            batch_bytes = bytes;
        }
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    batches
}

/// The answer to a request for the commits after a state.
pub fn commits(
    settings: &DisseminationSettings,
    history: &History,
    own: Version,
    theirs: Version,
) -> Vec<Message> {
    if theirs.revision >= own.revision {
        return vec![Message::Advert(own)];
    }
    // A state that is not in the own history can't be continued by commits.
    if history.digest_at(theirs.revision).is_some_and(|digest| digest != theirs.digest) && !settings.plain {
        return vec![Message::Compacted];
    }
    let Some(records) = history.after(theirs.revision) else { return vec![Message::Compacted] };
    let batches = batches(settings, records);
    let count = batches.len();
    let message = |(place, records)| Message::Commits { records, last: place + 1 == count };
    batches.into_iter().enumerate().map(message).collect()
}

/// The states that snapshots are served of.
#[derive(Debug, Default)]
pub struct Snapshots {
    served: VecDeque<Snapshot>,
    served_at: Time,
}

impl Snapshots {
    /// The answer to a request for a manifest; none where the own revision is too old.
    pub fn manifest(&mut self, now: Time, state: &Configuration, least: Revision) -> Option<Message> {
        if state.revision() < least {
            return None;
        }
        let young = now < time_after(self.served_at, SERVE_AGAIN);
        let again = |last: &Snapshot| young && last.version().revision >= least;
        if !self.served.back().is_some_and(again) {
            self.served.push_back(Snapshot::of(state));
            self.served_at = now;
        }
        if self.served.len() > MOST_SERVED {
            self.served.pop_front();
        }
        self.served.back().map(|snapshot| Message::Manifest(snapshot.manifest()))
    }

    /// The answer to a request for a chunk: of the state in force, or of one that was served lately.
    pub fn chunk(&self, state: &Configuration, wanted: ChunkDigest) -> Message {
        let current = std::iter::once(state);
        let states = current.chain(self.served.iter().map(Snapshot::configuration));
        for state in states {
            let chunk = state.chunk(wanted.number).filter(|chunk| chunk.digest == wanted.digest);
            if let Some(chunk) = chunk {
                return Message::Chunk { number: wanted.number, bytes: chunk.encode() };
            }
        }
        Message::NoChunk(wanted.number)
    }

    /// Lets go of all: another state is in force, and the old ones may be wrong.
    pub fn clear(&mut self) {
        self.served.clear();
    }
}
