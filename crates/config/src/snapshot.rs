//! Snapshots: a state at one revision, in chunks that are checked one by one.
//!
//! A [`Manifest`] lists the digest of each chunk. Their sum is the digest of the state, so a manifest is checked against the
//! [`Version`] that servers exchange, and each chunk against the manifest. An [`Assembly`] reuses the chunks of another state or
//! of an earlier, incomplete assembly that are the same.

use crate::change::{Revision, Rule};
use crate::chunk::{CHUNKS, Chunk, ChunkError, ChunkNumber};
use crate::configuration::Configuration;
use crate::digest::{Digest, Version};
use crate::rules::RuleSet;
use crate::well_formed;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The highest revision of a snapshot. No consensus group reaches it. The digest does not cover the revision, so without this
/// bound a forged manifest could set a revision after which there is no next one.
const MAX_REVISION: Revision = Revision(1 << 62);

/// The number and digest of one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDigest {
    /// The chunk.
    pub number: ChunkNumber,
    /// The digest of its entries.
    pub digest: Digest,
}

/// The parts of a snapshot, 20 KB at most.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Revision and digest of the state.
    pub version: Version,
    /// All rules, each kind once.
    pub rules: Vec<Rule>,
    /// The chunks that are not empty, by number.
    pub chunks: Vec<ChunkDigest>,
}

/// Why a manifest or a snapshot is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a snapshot.
    #[error("expected the encoding of a snapshot")]
    InvalidEncoding,
    /// The chunk numbers are out of range or not ascending, or a rule is there twice.
    #[error("expected each chunk and rule once and in order")]
    NotCanonical,
    /// A rule is not well-formed, so neither a start file nor a commit can have set it.
    #[error("expected rules whose figures are numbers, got {0}")]
    MalformedRule(&'static str),
    /// No state can have this revision.
    #[error("expected a revision that a group of voters gets to, got {0}")]
    RevisionTooHigh(Revision),
    /// The digests of the parts do not sum to the digest of the state.
    #[error("expected digest {expected}, got {actual}")]
    DigestMismatch {
        /// The digest in the manifest.
        expected: Digest,
        /// The sum over the parts.
        actual: Digest,
    },
    /// A chunk is rejected.
    #[error("chunk {number}: {reason}")]
    InvalidChunk {
        /// Its number.
        number: u16,
        /// The reason.
        reason: ChunkError,
    },
    /// Some chunks were not added yet.
    #[error("expected all chunks, {missing} are missing")]
    Incomplete {
        /// Chunks that are missing.
        missing: usize,
    },
}

/// A state at one revision, for reading. It is made without copying entries; a chunk is encoded when it is requested.
#[derive(Debug, Clone)]
pub struct Snapshot {
    state: Configuration,
}

impl Snapshot {
    /// The snapshot of a state.
    pub fn of(state: &Configuration) -> Self {
        Self { state: state.clone() }
    }

    /// The state.
    pub fn configuration(&self) -> &Configuration {
        &self.state
    }

    /// Its revision and digest.
    pub fn version(&self) -> Version {
        self.state.version()
    }

    /// Its manifest.
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

    /// The encoding of manifest and chunks together, for files.
    pub fn encode(&self) -> Vec<u8> {
        let manifest = self.manifest();
        let chunks = manifest.chunks.iter().filter_map(|chunk| self.chunk(chunk.number)).collect();
        postcard::to_stdvec(&EncodedSnapshot { manifest, chunks }).unwrap_or_default()
    }

    /// Reads an encoded snapshot and checks each part of it.
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

/// The encoding of a snapshot in a file; the chunks are in the order of the manifest.
#[derive(Serialize, Deserialize)]
struct EncodedSnapshot {
    manifest: Manifest,
    chunks: Vec<Vec<u8>>,
}

impl Manifest {
    /// The revision of the snapshot.
    pub fn revision(&self) -> Revision {
        self.version.revision
    }

    /// Checks order, rules and revision, and that the digests of the parts sum to the digest of the state.
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

/// A snapshot that is put together from chunks of any sources, in any order.
#[derive(Debug, Clone)]
pub struct Assembly {
    manifest: Manifest,
    /// By index in the manifest; `None` where the chunk is missing.
    chunks: Vec<Option<Arc<Chunk>>>,
    missing: usize,
}

impl Assembly {
    /// An assembly without chunks. An error if the manifest is inconsistent.
    pub fn new(manifest: Manifest) -> Result<Self, SnapshotError> {
        manifest.check()?;
        let missing = manifest.chunks.len();
        Ok(Self { manifest, chunks: vec![None; missing], missing })
    }

    /// The manifest of the snapshot.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Revision and digest of the snapshot.
    pub fn version(&self) -> Version {
        self.manifest.version
    }

    /// Reuses the chunks of a state that are the same.
    pub fn reuse_chunks_of_state(&mut self, state: &Configuration) {
        for index in 0..self.chunks.len() {
            let wanted = self.manifest.chunks[index];
            let same = state.chunk(wanted.number).filter(|chunk| chunk.digest == wanted.digest);
            self.set(index, same.cloned());
        }
    }

    /// Reuses the chunks of another assembly that are the same.
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

    /// Checks a chunk and adds it. Bytes for a chunk that is there already are ignored.
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

    /// How many chunks are missing.
    pub fn missing_count(&self) -> usize {
        self.missing
    }

    /// The missing chunks, by number.
    pub fn missing(&self) -> impl Iterator<Item = ChunkNumber> + '_ {
        let slots = self.chunks.iter().zip(&self.manifest.chunks);
        slots.filter(|(chunk, _)| chunk.is_none()).map(|(_, chunk)| chunk.number)
    }

    /// The snapshot. An error if chunks are missing.
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
