//! Snapshots: a state at one revision, in chunks that are verified one by one.
//!
//! A [`Manifest`] lists the digests of all rules and chunks. They sum to the digest of the state. So a manifest is verified against
//! the [`Version`] that servers exchange, and each chunk against the manifest. An [`Assembly`] builds a snapshot from chunks, and
//! can reuse identical chunks of another state or of an earlier, incomplete assembly.

use crate::change::{Revision, Rule};
use crate::chunk::{CHUNKS, Chunk, ChunkError, ChunkNumber};
use crate::configuration::Configuration;
use crate::digest::{Digest, Version};
use crate::rules::RuleSet;
use crate::well_formed;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum revision of a snapshot, which no consensus group reaches. The digest does not cover the revision, so without this limit
/// a forged manifest could set a revision that has no successor.
const MAX_REVISION: Revision = Revision(1 << 62);

/// The number and digest of one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDigest {
    /// The number of the chunk.
    pub number: ChunkNumber,
    /// The sum of the digests of its entries.
    pub digest: Digest,
}

/// The list of the rules and chunks of a snapshot. At most 20 KB when encoded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Revision and digest of the state.
    pub version: Version,
    /// The rules that are set, each kind at most once.
    pub rules: Vec<Rule>,
    /// The digests of the chunks that are not empty, sorted by chunk number.
    pub chunks: Vec<ChunkDigest>,
}

/// Why a manifest or a snapshot is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not an encoded snapshot.
    #[error("expected the postcard encoding of a snapshot")]
    InvalidEncoding,
    /// The chunk numbers are out of range or not ascending, or a rule is duplicated.
    #[error("expected each chunk and rule once and in order")]
    NotCanonical,
    /// A rule is not well-formed, so neither a start file nor a commit can have set it.
    #[error("expected rules with finite numbers, got rule {0}")]
    MalformedRule(&'static str),
    /// The revision is higher than any consensus group reaches.
    #[error("expected a revision that a consensus group can reach, got {0}")]
    RevisionTooHigh(Revision),
    /// The digests of the rules and chunks don't sum to the digest of the state.
    #[error("expected digest {expected}, got {actual}")]
    DigestMismatch {
        /// The digest in the manifest.
        expected: Digest,
        /// The sum of the digests of the rules and chunks.
        actual: Digest,
    },
    /// A chunk does not match the manifest or is not well-formed.
    #[error("chunk {number}: {reason}")]
    InvalidChunk {
        /// The number of the rejected chunk.
        number: u16,
        /// Why the chunk was rejected.
        reason: ChunkError,
    },
    /// Not all chunks of the manifest were added.
    #[error("expected all chunks, {missing} are missing")]
    Incomplete {
        /// Number of missing chunks.
        missing: usize,
    },
}

/// An immutable state at one revision. Creating it copies no entries; chunks are encoded on request.
#[derive(Debug, Clone)]
pub struct Snapshot {
    state: Configuration,
}

impl Snapshot {
    /// A snapshot of `state`, which shares its chunks.
    pub fn of(state: &Configuration) -> Self {
        Self { state: state.clone() }
    }

    /// The state at the revision of the snapshot.
    pub fn configuration(&self) -> &Configuration {
        &self.state
    }

    /// Revision and digest of the state.
    pub fn version(&self) -> Version {
        self.state.version()
    }

    /// The manifest, computed from the chunk table.
    pub fn manifest(&self) -> Manifest {
        let numbered = (0..CHUNKS).map(ChunkNumber).zip(self.state.chunks.iter());
        let chunks = numbered.filter_map(|(number, chunk)| {
            chunk.as_ref().map(|chunk| ChunkDigest { number, digest: chunk.digest })
        });
        Manifest { version: self.version(), rules: self.state.rules().collect(), chunks: chunks.collect() }
    }

    /// The encoding of one chunk; `None` if it is empty.
    pub fn chunk(&self, number: ChunkNumber) -> Option<Vec<u8>> {
        self.state.chunk(number).map(|chunk| chunk.encode())
    }

    /// The encoding of the manifest and all chunks, for files.
    pub fn encode(&self) -> Vec<u8> {
        let manifest = self.manifest();
        let chunks = manifest.chunks.iter().filter_map(|chunk| self.chunk(chunk.number)).collect();
        postcard::to_stdvec(&EncodedSnapshot { manifest, chunks }).unwrap_or_default()
    }

    /// Decodes a snapshot and verifies the manifest and each chunk.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (encoded, rest) = postcard::take_from_bytes::<EncodedSnapshot>(bytes)
            .map_err(|_| SnapshotError::InvalidEncoding)?;
        if !rest.is_empty() || encoded.chunks.len() != encoded.manifest.chunks.len() {
            return Err(SnapshotError::InvalidEncoding);
        }
        let numbers: Vec<ChunkNumber> = encoded.manifest.chunks.iter().map(|chunk| chunk.number).collect();
        let mut assembly = Assembly::new(encoded.manifest)?;
        for (number, bytes) in numbers.into_iter().zip(&encoded.chunks) {
            assembly
                .add(number, bytes)
                .map_err(|reason| SnapshotError::InvalidChunk { number: number.0, reason })?;
        }
        assembly.finish()
    }
}

/// The file format of a snapshot. The chunks are in the order of the manifest.
#[derive(Serialize, Deserialize)]
struct EncodedSnapshot {
    manifest: Manifest,
    chunks: Vec<Vec<u8>>,
}

impl Manifest {
    /// The revision of the state.
    pub fn revision(&self) -> Revision {
        self.version.revision
    }

    /// Checks the order of the chunks, the rules and the revision, and that the digests sum to the digest of the state.
    pub fn check(&self) -> Result<(), SnapshotError> {
        let ascending = self.chunks.windows(2).all(|pair| pair[0].number < pair[1].number);
        let in_range = self.chunks.last().is_none_or(|last| last.number.0 < CHUNKS);
        let rules = self.rule_set();
        if !ascending || !in_range || rules.iter().count() != self.rules.len() {
            return Err(SnapshotError::NotCanonical);
        }
        if let Some(rule) = self.rules.iter().find(|rule| !well_formed::is_well_formed_rule(rule)) {
            return Err(SnapshotError::MalformedRule(rule.name()));
        }
        if self.version.revision > MAX_REVISION {
            return Err(SnapshotError::RevisionTooHigh(self.version.revision));
        }
        let actual = self.chunks.iter().fold(rules.digest(), |sum, chunk| sum.plus(chunk.digest));
        let expected = self.version.digest;
        if actual == expected { Ok(()) } else { Err(SnapshotError::DigestMismatch { expected, actual }) }
    }

    fn rule_set(&self) -> RuleSet {
        let mut rules = RuleSet::default();
        for rule in &self.rules {
            rules.put(*rule);
        }
        rules
    }
}

/// Builds a snapshot from chunks, which may come from any source and in any order.
#[derive(Debug, Clone)]
pub struct Assembly {
    manifest: Manifest,
    /// In the order of the manifest; `None` for a missing chunk.
    chunks: Vec<Option<Arc<Chunk>>>,
    missing: usize,
}

impl Assembly {
    /// An assembly without chunks. Returns an error if the manifest is inconsistent.
    pub fn new(manifest: Manifest) -> Result<Self, SnapshotError> {
        manifest.check()?;
        let missing = manifest.chunks.len();
        Ok(Self { manifest, chunks: vec![None; missing], missing })
    }

    /// The manifest that the chunks must match.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Revision and digest of the snapshot to build.
    pub fn version(&self) -> Version {
        self.manifest.version
    }

    /// Adds the chunks of a state that have the digest in the manifest.
    pub fn reuse_chunks_of_state(&mut self, state: &Configuration) {
        for index in 0..self.chunks.len() {
            let wanted = self.manifest.chunks[index];
            let same = state.chunk(wanted.number).filter(|chunk| chunk.digest == wanted.digest);
            self.set(index, same.cloned());
        }
    }

    /// Adds the chunks of another assembly that have the same digest in both manifests.
    pub fn reuse_chunks_of_assembly(&mut self, other: &Assembly) {
        for index in 0..self.chunks.len() {
            let wanted = self.manifest.chunks[index];
            let found = other.manifest.chunks.binary_search_by_key(&wanted.number, |chunk| chunk.number);
            let same = found.ok().filter(|found| other.manifest.chunks[*found].digest == wanted.digest);
            self.set(index, same.and_then(|found| other.chunks[found].clone()));
        }
    }

    fn set(&mut self, index: usize, chunk: Option<Arc<Chunk>>) {
        if self.chunks[index].is_none() && chunk.is_some() {
            self.chunks[index] = chunk;
            self.missing -= 1;
        }
    }

    /// Verifies and adds a chunk. The bytes are ignored if the chunk is already present.
    pub fn add(&mut self, number: ChunkNumber, bytes: &[u8]) -> Result<(), ChunkError> {
        let index = self.manifest.chunks.binary_search_by_key(&number, |chunk| chunk.number);
        let index = index.map_err(|_| ChunkError::UnknownNumber { number: number.0 })?;
        if self.chunks[index].is_some() {
            return Ok(());
        }
        let chunk = Chunk::decode(number, bytes)?;
        let expected = self.manifest.chunks[index].digest;
        if chunk.digest != expected {
            return Err(ChunkError::DigestMismatch { expected, actual: chunk.digest });
        }
        self.set(index, Some(Arc::new(chunk)));
        Ok(())
    }

    /// Number of missing chunks.
    pub fn missing_count(&self) -> usize {
        self.missing
    }

    /// The numbers of the missing chunks, ascending.
    pub fn missing(&self) -> impl Iterator<Item = ChunkNumber> + '_ {
        let slots = self.chunks.iter().zip(&self.manifest.chunks);
        slots.filter(|(chunk, _)| chunk.is_none()).map(|(_, chunk)| chunk.number)
    }

    /// Returns the snapshot, or an error if chunks are missing.
    pub fn finish(self) -> Result<Snapshot, SnapshotError> {
        if self.missing > 0 {
            return Err(SnapshotError::Incomplete { missing: self.missing });
        }
        let mut chunks = vec![None; usize::from(CHUNKS)];
        for (listed, chunk) in self.manifest.chunks.iter().zip(self.chunks) {
            chunks[usize::from(listed.number.0)] = chunk;
        }
        let rules = self.manifest.rule_set();
        let state = Configuration::from_chunks(self.manifest.revision(), rules, chunks);
        let (expected, actual) = (self.manifest.version.digest, state.digest());
        if actual == expected {
            Ok(Snapshot { state })
        } else {
            Err(SnapshotError::DigestMismatch { expected, actual })
        }
    }
}
