//! Messages between servers, encoded as postcard.
//!
//! A message carries no time and no session state: it is either a fact about a revision or an idempotent request. So it is
//! harmless if a message is lost, duplicated, reordered or delayed.

use crate::change::{Commit, Revision};
use crate::chunk::ChunkNumber;
use crate::digest::{Digest, Version};
use crate::snapshot::{ChunkDigest, Manifest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A commit as servers send it to each other, with the digest of the state after it. The digest is computed by the server that
/// applied the commit first; other servers forward the record unchanged.
///
/// The receiver verifies the checksum when it receives the record, and the digest when it applies the commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommitRecord {
    /// The commit. Its revision is one above that of the state that it applies to.
    pub commit: Arc<Commit>,
    /// The digest of the state after the commit.
    pub digest: Digest,
    /// The first 8 bytes of the BLAKE3 hash of the encoded commit, little-endian. It covers author, reason and time, which the
    /// digest of the state does not.
    pub checksum: u64,
}

impl CommitRecord {
    /// The record of a commit that this server applied; `digest` is that of the state after it.
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
    /// The version of the sender's state.
    Advert(Version),
    /// New commits, which the receiver applies and forwards.
    Push(Vec<CommitRecord>),
    /// Requests the commits after the sender's state. Replies: [`Message::Commits`], [`Message::Compacted`],
    /// [`Message::Busy`], or [`Message::Advert`] if the receiver is not ahead.
    Fetch(Version),
    /// Requested commits. A reply may consist of several messages.
    Commits {
        /// The records, in the order of their revisions.
        records: Vec<CommitRecord>,
        /// Whether this is the last message of the reply.
        last: bool,
    },
    /// The sender can't serve the requested commits: they are no longer retained, or the receiver's state is not in the sender's
    /// history. The receiver must fetch a snapshot.
    Compacted,
    /// The request is rejected because the byte budget of the sender is used up.
    Busy,
    /// Requests the manifest of the receiver's state if its revision is this or later.
    FetchManifest(Revision),
    /// A manifest of the sender's state, or of a recent one.
    Manifest(Manifest),
    /// Requests the digest of the state at a revision.
    FetchVersion(Revision),
    /// The digest of the state at the requested revision; `None` if the sender doesn't have it.
    Version(Revision, Option<Digest>),
    /// Requests the chunk with this number and digest.
    FetchChunk(ChunkDigest),
    /// A requested chunk.
    Chunk {
        /// The number of the chunk.
        number: ChunkNumber,
        /// The encoded entries of the chunk.
        bytes: Vec<u8>,
    },
    /// The sender has no chunk of this number with the requested digest.
    NoChunk(ChunkNumber),
}

impl Message {
    /// The encoding as postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are not a valid encoding.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
