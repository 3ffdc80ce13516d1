//! Snapshots: a state at one revision, in chunks that are checked one by one.
//!
//! A [`Manifest`] names the digest of each chunk. Their sum is the digest of the state, so a manifest is checked
//! against the [`Version`] that servers tell each other, and each chunk against the manifest. A server that has a state
//! already takes over the chunks that are the same there; so does one whose source went on to a later revision.

use crate::change::{Revision, Rule};
use crate::chunk::{CHUNKS, Chunk, ChunkError, ChunkNumber};
use crate::configuration::Configuration;
use crate::digest::{Digest, Version};
use crate::rules::RuleSet;
use crate::well_formed;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The last revision that a state may have: no group of voters gets there, and there is one after each. Nothing but this bound
/// holds a state that comes whole to it, as its digest is of its entries.
const MAX_REVISION: Revision = Revision(1 << 62);

/// The digest of one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDigest {
    /// Which chunk.
    pub number: ChunkNumber,
    /// Of its entries.
    pub digest: Digest,
}

/// What a snapshot consists of: at most 20 KB.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The revision and digest of the whole.
    pub version: Version,
    /// The rules, which are few.
    pub rules: Vec<Rule>,
    /// The chunks that hold anything, by number.
    pub chunks: Vec<ChunkDigest>,
}

/// Why a manifest or a whole snapshot is not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are no snapshot.
    #[error("expected the encoding of a snapshot")]
    Form,
    /// The numbers of chunks are out of range, not ascending, or rules stand twice.
    #[error("expected each chunk and rule once and in order")]
    Order,
    /// A rule that no start file and no change could have set.
    #[error("expected rules whose figures are numbers, got {0}")]
    Rule(&'static str),
    /// No state has this revision.
    #[error("expected a revision that a group of voters gets to, got {0}")]
    Revision(Revision),
    /// The parts do not sum to the whole.
    #[error("expected digest {expected}, got {came}")]
    Digest {
        /// What the whole is said to be.
        expected: Digest,
        /// What the parts sum to.
        came: Digest,
    },
    /// A chunk is wrong.
    #[error("chunk {number}: {why}")]
    Chunk {
        /// Its number.
        number: u16,
        /// What is wrong with it.
        why: ChunkError,
    },
    /// Not all chunks are there.
    #[error("expected all chunks, {0} are missing")]
    Missing(usize),
}

/// A state kept for reading. Making one costs nothing that grows with the state; each chunk is encoded when it is asked
/// for.
#[derive(Debug, Clone)]
pub struct Snapshot {
    state: Configuration,
}

impl Snapshot {
    /// Of a state.
    pub fn of(state: &Configuration) -> Self {
        Self { state: state.clone() }
    }

    /// The state itself.
    pub fn configuration(&self) -> &Configuration {
        &self.state
    }

    /// Its revision and digest.
    pub fn version(&self) -> Version {
        self.state.version()
    }

    /// What it consists of.
    pub fn manifest(&self) -> Manifest {
        let numbered = (0..CHUNKS).map(ChunkNumber).zip(self.state.chunks.iter());
        let chunks = numbered.filter_map(|(number, chunk)| {
            chunk.as_ref().map(|chunk| ChunkDigest { number, digest: chunk.digest })
        });
        Manifest { version: self.version(), rules: self.state.rules().collect(), chunks: chunks.collect() }
    }

    /// The bytes of one chunk; none if it is empty.
    pub fn chunk(&self, number: ChunkNumber) -> Option<Vec<u8>> {
        self.state.chunk(number).map(|chunk| chunk.encode())
    }

    /// The whole in one piece, for files.
    pub fn encode(&self) -> Vec<u8> {
        let manifest = self.manifest();
        let chunks = manifest.chunks.iter().filter_map(|chunk| self.chunk(chunk.number)).collect();
        postcard::to_stdvec(&Whole { manifest, chunks }).unwrap_or_default()
    }

    /// Reads the whole and checks each part of it.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (whole, rest) = postcard::take_from_bytes::<Whole>(bytes).map_err(|_| SnapshotError::Form)?;
        if !rest.is_empty() || whole.chunks.len() != whole.manifest.chunks.len() {
            return Err(SnapshotError::Form);
        }
        let numbers: Vec<ChunkNumber> = whole.manifest.chunks.iter().map(|chunk| chunk.number).collect();
        let mut assembly = Assembly::new(whole.manifest)?;
        for (number, bytes) in numbers.into_iter().zip(&whole.chunks) {
            assembly.add(number, bytes).map_err(|why| SnapshotError::Chunk { number: number.0, why })?;
        }
        assembly.finish()
    }
}

#[derive(Serialize, Deserialize)]
struct Whole {
    manifest: Manifest,
    chunks: Vec<Vec<u8>>,
}

impl Manifest {
    /// The revision of the snapshot.
    pub fn revision(&self) -> Revision {
        self.version.revision
    }

    /// Whether its parts make up the whole that it names.
    pub fn check(&self) -> Result<(), SnapshotError> {
        let ascending = self.chunks.windows(2).all(|pair| pair[0].number < pair[1].number);
        let in_range = self.chunks.last().is_none_or(|last| last.number.0 < CHUNKS);
        let rules = self.rule_set();
        if !ascending || !in_range || rules.iter().count() != self.rules.len() {
            return Err(SnapshotError::Order);
        }
        if let Some(rule) = self.rules.iter().find(|rule| !well_formed::is_well_formed_rule(rule)) {
            return Err(SnapshotError::Rule(rule.name()));
        }
        if self.version.revision > MAX_REVISION {
            return Err(SnapshotError::Revision(self.version.revision));
        }
        let came = self.chunks.iter().fold(rules.digest(), |sum, chunk| sum.plus(chunk.digest));
        let expected = self.version.digest;
        if came == expected { Ok(()) } else { Err(SnapshotError::Digest { expected, came }) }
    }

    fn rule_set(&self) -> RuleSet {
        let mut set = RuleSet::default();
        for rule in &self.rules {
            set.put(*rule);
        }
        set
    }
}

/// A snapshot that is being put together, from any sources and in any order.
#[derive(Debug, Clone)]
pub struct Assembly {
    manifest: Manifest,
    /// By place in the manifest.
    there: Vec<Option<Arc<Chunk>>>,
    missing: usize,
}

impl Assembly {
    /// Nothing yet of a snapshot whose manifest is consistent.
    pub fn new(manifest: Manifest) -> Result<Self, SnapshotError> {
        manifest.check()?;
        let missing = manifest.chunks.len();
        Ok(Self { manifest, there: vec![None; missing], missing })
    }

    /// What is put together.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Its revision and digest.
    pub fn version(&self) -> Version {
        self.manifest.version
    }

    /// Takes over the chunks that a state has already.
    pub fn adopt(&mut self, state: &Configuration) {
        for place in 0..self.there.len() {
            let wanted = self.manifest.chunks[place];
            let same = state.chunk(wanted.number).filter(|chunk| chunk.digest == wanted.digest);
            self.set(place, same.cloned());
        }
    }

    /// Takes over the chunks of an assembly of another revision that are the same here.
    pub fn adopt_from(&mut self, other: &Assembly) {
        for place in 0..self.there.len() {
            let wanted = self.manifest.chunks[place];
            let found = other.manifest.chunks.binary_search_by_key(&wanted.number, |chunk| chunk.number);
            let same = found.ok().filter(|found| other.manifest.chunks[*found].digest == wanted.digest);
            self.set(place, same.and_then(|found| other.there[found].clone()));
        }
    }

    fn set(&mut self, place: usize, chunk: Option<Arc<Chunk>>) {
        if self.there[place].is_none() && chunk.is_some() {
            self.there[place] = chunk;
            self.missing -= 1;
        }
    }

    /// Checks and takes a chunk. One that is there already is not looked at again.
    pub fn add(&mut self, number: ChunkNumber, bytes: &[u8]) -> Result<(), ChunkError> {
        let place = self.manifest.chunks.binary_search_by_key(&number, |chunk| chunk.number);
        let place = place.map_err(|_| ChunkError::Unknown(number.0))?;
        if self.there[place].is_some() {
            return Ok(());
        }
        let chunk = Chunk::decode(number, bytes)?;
        let expected = self.manifest.chunks[place].digest;
        if chunk.digest != expected {
            return Err(ChunkError::Digest { expected, came: chunk.digest });
        }
        self.set(place, Some(Arc::new(chunk)));
        Ok(())
    }

    /// How many chunks are not there yet.
    pub fn missing_count(&self) -> usize {
        self.missing
    }

    /// The chunks that are not there yet, by number.
    pub fn missing(&self) -> impl Iterator<Item = ChunkNumber> + '_ {
        let places = self.there.iter().zip(&self.manifest.chunks);
        places.filter(|(there, _)| there.is_none()).map(|(_, chunk)| chunk.number)
    }

    /// The snapshot, once all chunks are there.
    pub fn finish(self) -> Result<Snapshot, SnapshotError> {
        if self.missing > 0 {
            return Err(SnapshotError::Missing(self.missing));
        }
        let mut chunks = vec![None; usize::from(CHUNKS)];
        for (named, chunk) in self.manifest.chunks.iter().zip(self.there) {
            chunks[usize::from(named.number.0)] = chunk;
        }
        let rules = self.manifest.rule_set();
        let state = Configuration::assembled(self.manifest.revision(), rules, chunks);
        let (expected, came) = (self.manifest.version.digest, state.digest());
        if came == expected { Ok(Snapshot { state }) } else { Err(SnapshotError::Digest { expected, came }) }
    }
}
