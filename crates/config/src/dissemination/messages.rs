//! Messages between servers, encoded as postcard.
//!
//! A message carries no time and no session state: it is a fact about a revision, or an idempotent request. So a message that
//! is lost, duplicated, reordered or delayed is harmless.

use crate::change::{Commit, Revision};
use crate::chunk::ChunkNumber;
use crate::digest::{Digest, Version};
use crate::snapshot::{ChunkDigest, Manifest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A commit as servers send it to each other: with the digest of the state after it, computed by the server that applied it
/// first. Peers forward it unchanged.
///
/// The receiver checks both fields before the commit takes effect: the checksum when the record is received, the digest when
/// the commit is applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommitRecord {
    /// The commit; its revision is the one after the state that it applies to.
    pub commit: Arc<Commit>,
    /// The digest of the state after the commit.
    pub digest: Digest,
    /// The first 8 bytes of the BLAKE3 hash of the encoded commit, little-endian. It covers author, reason and time, which the
    /// digest of the state does not.
    pub checksum: u64,
}

impl CommitRecord {
    /// The record of a commit that was applied here; `digest` is that of the state after it.
    pub fn new(commit: Arc<Commit>, digest: Digest) -> Self {
        let checksum = checksum(&commit);
        Self { commit, digest, checksum }
    }

    /// Whether the commit matches its checksum.
    pub fn is_intact(&self) -> bool {
        self.checksum == checksum(&self.commit)
    }

    /// Revision and digest of the state after the commit.
    pub fn version(&self) -> Version {
        Version { revision: self.commit.revision, digest: self.digest }
    }
}

fn checksum(commit: &Commit) -> u64 {
    let bytes = postcard::to_stdvec(commit).unwrap_or_default();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// A message between two servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state that the sender is in.
    Advert(Version),
    /// New commits, to be applied and forwarded.
    Push(Vec<CommitRecord>),
    /// Requests the commits after the sender's state. Replies: [`Message::Commits`], [`Message::Compacted`],
    /// [`Message::Busy`], or [`Message::Advert`] if the receiver is not ahead.
    Fetch(Version),
    /// Requested commits; one reply may take several messages.
    Commits {
        /// In the order of their revisions.
        records: Vec<CommitRecord>,
        /// Whether this is the last message of the reply.
        last: bool,
    },
    /// The requested commits are no longer retained: the receiver needs a snapshot.
    Compacted,
    /// The request is rejected because the sender's bytes per second are used up.
    Busy,
    /// Requests the manifest of the receiver's state, if that is at this revision or a later one.
    FetchManifest(Revision),
    /// The manifest of the sender's state.
    Manifest(Manifest),
    /// Requests the digest of the state at a revision.
    FetchVersion(Revision),
    /// The requested digest of the state at a revision; `None` if the sender does not know it.
    Version(Revision, Option<Digest>),
    /// Requests a chunk with this digest.
    FetchChunk(ChunkDigest),
    /// A requested chunk.
    Chunk {
        /// Which chunk.
        number: ChunkNumber,
        /// Its encoding.
        bytes: Vec<u8>,
    },
    /// The sender has no chunk with the requested digest.
    NoChunk(ChunkNumber),
}

impl Message {
    /// The encoding as postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a message; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
