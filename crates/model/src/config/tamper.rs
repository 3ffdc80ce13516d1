//! Servers that send bad data: their state is correct, but their messages are not.

use crate::streams::{chance, one_of};
use gradepin_config::change::{Change, Commit};
use gradepin_config::dissemination::{CommitRecord, Message};
use gradepin_config::{Configuration, Digest, Snapshot};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// Fraction of messages that are tampered with.
const TAMPERED_FRACTION: f64 = 0.5;

fn flipped(digest: Digest) -> Digest {
    Digest(digest.0 ^ 1 << 77)
}

fn tamper_record(tamper_record: &mut CommitRecord, rng: &mut Pcg64Mcg) {
    let commit: &mut Commit = Arc::make_mut(&mut tamper_record.commit);
    match one_of(rng, 3) {
        0 => commit.author = Arc::from("somebody else"),
        1 => tamper_record.digest = flipped(tamper_record.digest),
        _ => {
            // A valid checksum of the wrong content, as from a server with faulty memory.
            commit.transaction.changes = vec![Change::RemoveClass(Arc::from("class-0"))];
            *tamper_record = CommitRecord::new(Arc::clone(&tamper_record.commit), tamper_record.digest);
        }
    }
}

/// Returns a message as a bad server sends it. Its snapshots contain an old state under a newer revision.
pub fn tamper(bytes: &[u8], old: &Configuration, rng: &mut Pcg64Mcg) -> Vec<u8> {
    let Some(mut message) = Message::decode(bytes).filter(|_| chance(rng, TAMPERED_FRACTION)) else {
        return bytes.to_vec();
    };
    match &mut message {
        Message::Advert(version) => version.digest = flipped(version.digest),
        Message::Push(records) | Message::Commits { records, .. } => {
            if let Some(first) = records.first_mut() {
                tamper_record(first, rng);
            }
        }
        Message::Manifest(manifest) => {
            let revision = manifest.version.revision;
            *manifest = Snapshot::of(old).manifest();
            manifest.version.revision = revision;
        }
        Message::Version(_, Some(digest)) => *digest = flipped(*digest),
        Message::Chunk { bytes, .. } if !bytes.is_empty() => {
            let place = one_of(rng, bytes.len());
            bytes[place] ^= 1 << one_of(rng, 8);
        }
        _ => {}
    }
    message.encode()
}
