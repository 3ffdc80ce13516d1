//! Chunks: the classes and tenants whose names hash to the same chunk number.
//!
//! A configuration is a table of chunks, which clones share until one of them changes a chunk. So a snapshot can retain a state
//! while later commits are applied, and both share the chunks that no commit changed.
//!
//! Invariants: the entries of each kind are sorted by name; the digest of a chunk is the sum of the digests of its entries.

use crate::change::{ClassDefinition, Name};
use crate::digest::{Digest, StateEntry};
use crate::well_formed;
use gradepin_admission::Tenant;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of chunks of a configuration. With 10,000 classes and 110,000 tenants, a chunk has about 117 entries, some 6 KB.
pub const CHUNKS: u16 = 1_024;
/// Maximum number of entries of one chunk, so that its encoding is bounded for any choice of names. This is seven times the mean
/// of a full table, which random names don't reach.
pub const MAX_CHUNK_ENTRIES: usize = 1_024;
/// Maximum size of an encoded chunk. Each entry has one name and less than 120 bytes of numbers.
pub const MAX_CHUNK_BYTES: usize = MAX_CHUNK_ENTRIES * (crate::change::MAX_NAME_BYTES + 120);

/// The number of a chunk, from 0 to [`CHUNKS`] - 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkNumber(pub u16);

impl ChunkNumber {
    /// The chunk that contains the classes and tenants of this name. The same on every server.
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let bytes = hash.as_bytes();
        Self(u16::from_le_bytes([bytes[0], bytes[1]]) % CHUNKS)
    }
}

/// An entry whose name is unique among the entries of its kind.
pub(crate) trait Named {
    /// The unique name.
    fn name(&self) -> &str;
}

impl Named for ClassDefinition {
    fn name(&self) -> &str {
        &self.profile.name
    }
}

impl Named for Tenant {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Entries of one kind, sorted by name.
#[derive(Debug, Clone)]
pub(crate) struct SortedEntries<T>(Vec<Arc<T>>);

impl<T> Default for SortedEntries<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T: Named> SortedEntries<T> {
    fn index_of(&self, name: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|entry| entry.name().cmp(name))
    }

    /// The entry with this name, if any.
    pub(crate) fn get(&self, name: &str) -> Option<&Arc<T>> {
        self.index_of(name).ok().map(|index| &self.0[index])
    }

    /// Adds an entry; returns the replaced entry of the same name, if any.
    pub(crate) fn put(&mut self, entry: Arc<T>) -> Option<Arc<T>> {
        match self.index_of(entry.name()) {
            Ok(index) => Some(std::mem::replace(&mut self.0[index], entry)),
            Err(index) => {
                self.0.insert(index, entry);
                None
            }
        }
    }

    /// Removes and returns the entry with this name, if any.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Arc<T>> {
        self.index_of(name).ok().map(|index| self.0.remove(index))
    }

    /// All entries, sorted by name.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Arc<T>> {
        self.0.iter()
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// The entries of one chunk.
#[derive(Debug, Clone, Default)]
pub(crate) struct Chunk {
    /// The sum of the digests of the entries.
    pub digest: Digest,
    /// Classes, sorted by name.
    pub classes: SortedEntries<ClassDefinition>,
    /// Tenants, sorted by name.
    pub tenants: SortedEntries<Tenant>,
}

/// Why the bytes of a chunk are rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// The bytes are not the encoding of a list of entries.
    #[error("expected the postcard encoding of a list of entries")]
    InvalidEncoding,
    /// The bytes exceed [`MAX_CHUNK_BYTES`].
    #[error("expected at most {MAX_CHUNK_BYTES} bytes, got {bytes}")]
    TooLong {
        /// The length of the rejected chunk, in bytes.
        bytes: usize,
    },
    /// An entry belongs to another chunk, is duplicated, or is out of order.
    #[error("expected entries of this chunk in canonical order, got '{0}'")]
    NotCanonical(Name),
    /// An entry is not well-formed, so neither a start file nor a commit can have set it.
    #[error("expected one-word class names, non-zero times and finite numbers, got entry '{0}'")]
    MalformedEntry(Name),
    /// The digest of the entries is not the one in the manifest.
    #[error("expected digest {expected}, got {actual}")]
    DigestMismatch {
        /// The digest in the manifest.
        expected: Digest,
        /// The digest of the received entries.
        actual: Digest,
    },
    /// The manifest does not list a chunk with this number.
    #[error("expected the number of a chunk in the manifest, got {number}")]
    UnknownNumber {
        /// The number of the received chunk.
        number: u16,
    },
}

impl Chunk {
    /// Number of classes and tenants.
    pub(crate) fn len(&self) -> usize {
        self.classes.len() + self.tenants.len()
    }

    /// The entries in canonical order: classes by name, then tenants by name.
    pub(crate) fn entries(&self) -> impl Iterator<Item = StateEntry> + '_ {
        let classes = self.classes.iter().cloned().map(StateEntry::Class);
        classes.chain(self.tenants.iter().cloned().map(StateEntry::Tenant))
    }

    /// The encoding: all entries as postcard, in canonical order.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let entries: Vec<StateEntry> = self.entries().collect();
        postcard::to_stdvec(&entries).unwrap_or_default()
    }

    /// Decodes a chunk. Rejects bytes that are not the canonical encoding of well-formed entries of chunk `number`.
    pub(crate) fn decode(number: ChunkNumber, bytes: &[u8]) -> Result<Self, ChunkError> {
        if bytes.len() > MAX_CHUNK_BYTES {
            return Err(ChunkError::TooLong { bytes: bytes.len() });
        }
        let (entries, rest) =
            postcard::take_from_bytes::<Vec<StateEntry>>(bytes).map_err(|_| ChunkError::InvalidEncoding)?;
        if !rest.is_empty() || entries.len() > MAX_CHUNK_ENTRIES {
            return Err(ChunkError::InvalidEncoding);
        }
        let mut chunk = Self::default();
        let mut last: Option<CanonicalPosition> = None;
        for entry in entries {
            let digest = entry.digest();
            let position = CanonicalPosition::of(&entry).ok_or(ChunkError::InvalidEncoding)?;
            let is_ascending = last.as_ref().is_none_or(|last| *last < position);
            if ChunkNumber::of(&position.name) != number || !is_ascending {
                return Err(ChunkError::NotCanonical(position.name.into()));
            }
            if !is_well_formed(&entry) {
                return Err(ChunkError::MalformedEntry(position.name.into()));
            }
            match entry {
                StateEntry::Class(class) => chunk.classes.0.push(class),
                StateEntry::Tenant(tenant) => chunk.tenants.0.push(tenant),
                StateEntry::Rule(_) => {}
            }
            chunk.digest = chunk.digest.plus(digest);
            last = Some(position);
        }
        Ok(chunk)
    }
}

/// The position of an entry in the canonical order: all classes come before all tenants.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CanonicalPosition {
    is_tenant: bool,
    name: String,
}

impl CanonicalPosition {
    /// `None` for rules, which are not in chunks.
    fn of(entry: &StateEntry) -> Option<Self> {
        match entry {
            StateEntry::Class(class) => Some(Self { is_tenant: false, name: class.name().to_string() }),
            StateEntry::Tenant(tenant) => Some(Self { is_tenant: true, name: tenant.name().to_string() }),
            StateEntry::Rule(_) => None,
        }
    }
}

fn is_well_formed(entry: &StateEntry) -> bool {
    match entry {
        StateEntry::Class(class) => well_formed::is_well_formed_class(class),
        StateEntry::Tenant(tenant) => well_formed::is_well_formed_tenant(tenant),
        StateEntry::Rule(_) => false,
    }
}
