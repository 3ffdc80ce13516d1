//! Servers that serve bad data: their state is right, what they say of it is not.

use crate::streams::{chance, one_of};
use gradepin_config::change::{Change, Commit};
use gradepin_config::dissemination::{CommitRecord, Message};
use gradepin_config::{Configuration, Digest, Snapshot};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// The part of their messages that is tampered with.
const PART: f64 = 0.5;

fn other(digest: Digest) -> Digest {
    Digest(digest.0 ^ 1 << 77)
}

fn record(record: &mut CommitRecord, rng: &mut Pcg64Mcg) {
    let commit: &mut Commit = Arc::make_mut(&mut record.commit);
    match one_of(rng, 3) {
        0 => commit.author = Arc::from("somebody else"),
        1 => record.digest = other(record.digest),
        _ => {
            // A checksum over the wrong content, as of a server whose memory is bad.
            commit.transaction.changes = vec![Change::RemoveClass(Arc::from("class-0"))];
            *record = CommitRecord::new(Arc::clone(&record.commit), record.digest);
        }
    }
}

/// A message as a bad server sends it. The snapshots it serves are of an old state, under a newer revision.
pub fn tamper(bytes: &[u8], old: &Configuration, rng: &mut Pcg64Mcg) -> Vec<u8> {
    let Some(mut message) = Message::decode(bytes).filter(|_| chance(rng, PART)) else {
        return bytes.to_vec();
    };
    match &mut message {
        Message::Advert(version) => version.digest = other(version.digest),
        Message::Push(records) | Message::Commits { records, .. } => {
            if let Some(first) = records.first_mut() {
                record(first, rng);
            }
        }
        Message::Manifest(manifest) => {
            let revision = manifest.version.revision;
            *manifest = Snapshot::of(old).manifest();
            manifest.version.revision = revision;
        }
        Message::Version(_, Some(digest)) => *digest = other(*digest),
        Message::Chunk { bytes, .. } if !bytes.is_empty() => {
            let place = one_of(rng, bytes.len());
            bytes[place] ^= 1 << one_of(rng, 8);
        }
        _ => {}
    }
    message.encode()
}
