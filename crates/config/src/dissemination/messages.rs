//! Messages between servers. They carry no time and no state of a conversation, so one that is lost, doubled, reordered or
//! late is harmless: each is a fact about a revision, or a request that may be answered again.

use crate::change::{Commit, Revision};
use crate::chunk::ChunkNumber;
use crate::digest::{Digest, Version};
use crate::snapshot::{ChunkDigest, Manifest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A commit with the digest of the state after it, as the voter that applied it first computed it. Peers pass it on
/// unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommitRecord {
    /// The commit.
    pub commit: Arc<Commit>,
    /// The digest of the state after it.
    pub digest: Digest,
    /// Of the whole commit: the digest of the state says nothing of its author and reason.
    pub checksum: u64,
}

impl CommitRecord {
    /// Of a commit that was applied here.
    pub fn new(commit: Arc<Commit>, digest: Digest) -> Self {
        let checksum = checksum(&commit);
        Self { commit, digest, checksum }
    }

    /// Whether the commit is as it was when the checksum was made.
    pub fn is_intact(&self) -> bool {
        self.checksum == checksum(&self.commit)
    }

    /// The state after the commit.
    pub fn version(&self) -> Version {
        Version { revision: self.commit.revision, digest: self.digest }
    }
}

fn checksum(commit: &Commit) -> u64 {
    let bytes = postcard::to_stdvec(commit).unwrap_or_default();
    let mut short = [0; 8];
    short.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
    u64::from_le_bytes(short)
}

/// A message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state that the sender is in.
    Advert(Version),
    /// Fresh commits, to be passed on.
    Push(Vec<CommitRecord>),
    /// Asks for the commits after the sender's state.
    Fetch(Version),
    /// Commits that were asked for; the last message of the answer says so.
    Commits {
        /// In the order of their revisions.
        records: Vec<CommitRecord>,
        /// Whether the answer ends here.
        last: bool,
    },
    /// The commits that were asked for are compacted: a snapshot is needed.
    Compacted,
    /// Not now: the bytes of this second are spent.
    Busy,
    /// Asks for the parts of the receiver's state, if its revision is this one at the least.
    FetchManifest(Revision),
    /// The parts of the sender's state.
    Manifest(Manifest),
    /// Asks for the digest of the state at a revision.
    FetchVersion(Revision),
    /// The state at the revision that was asked for; none if the sender doesn't know it.
    Version(Revision, Option<Digest>),
    /// Asks for a chunk with this content.
    FetchChunk(ChunkDigest),
    /// A chunk.
    Chunk {
        /// Which one.
        number: ChunkNumber,
        /// Its encoding.
        bytes: Vec<u8>,
    },
    /// The chunk has another content at the sender.
    NoChunk(ChunkNumber),
}

impl Message {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From bytes; none if they are no message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
