//! A chunk: the classes and tenants whose names hash to one number.
//!
//! A configuration is a table of chunks that copies share until one of them changes a chunk. So a state may be kept for
//! a snapshot while later commits are applied, and a chunk that no commit touched is the same in both.

use crate::change::{ClassDefinition, Name};
use crate::digest::{Digest, Entry};
use crate::well_formed;
use gradepin_admission::Tenant;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Chunks of a table. With 10,000 classes and 110,000 tenants one holds about 117 entries, some 6 KB.
pub const CHUNKS: u16 = 1_024;
/// Entries of one chunk at the most, so that its encoding is bounded whatever names are chosen: seven times the mean of
/// a full table, which random names never reach.
pub const MAX_CHUNK_ENTRIES: usize = 1_024;
/// The longest encoding of a chunk: each entry has one name and under 120 bytes of figures.
pub const MAX_CHUNK_BYTES: usize = MAX_CHUNK_ENTRIES * (crate::change::MAX_NAME_BYTES + 120);

/// The number of a chunk, below [`CHUNKS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkNumber(pub u16);

impl ChunkNumber {
    /// The chunk of a name, the same on every server.
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let bytes = hash.as_bytes();
        Self(u16::from_le_bytes([bytes[0], bytes[1]]) % CHUNKS)
    }
}

/// Something that has a name of its own among its kind.
pub(crate) trait Named {
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

/// Entries of one kind in the order of their names.
#[derive(Debug, Clone)]
pub(crate) struct Sorted<T>(Vec<Arc<T>>);

impl<T> Default for Sorted<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T: Named> Sorted<T> {
    fn place(&self, name: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|entry| entry.name().cmp(name))
    }

    pub fn get(&self, name: &str) -> Option<&Arc<T>> {
        self.place(name).ok().map(|place| &self.0[place])
    }

    pub fn put(&mut self, entry: Arc<T>) -> Option<Arc<T>> {
        match self.place(entry.name()) {
            Ok(place) => Some(std::mem::replace(&mut self.0[place], entry)),
            Err(place) => {
                self.0.insert(place, entry);
                None
            }
        }
    }

    pub fn remove(&mut self, name: &str) -> Option<Arc<T>> {
        self.place(name).ok().map(|place| self.0.remove(place))
    }

    pub fn iter(&self) -> std::slice::Iter<'_, Arc<T>> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// The entries of one chunk.
#[derive(Debug, Clone, Default)]
pub(crate) struct Chunk {
    pub digest: Digest,
    pub classes: Sorted<ClassDefinition>,
    pub tenants: Sorted<Tenant>,
}

/// Why the bytes of a chunk are not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// They are no encoding of entries.
    #[error("expected the encoding of entries")]
    Form,
    /// They are longer than any chunk may be.
    #[error("expected at most {MAX_CHUNK_BYTES} bytes, got {0}")]
    Long(usize),
    /// An entry is of another chunk, twice, or not in the canonical order.
    #[error("expected entries of this chunk in canonical order, got '{0}'")]
    Order(Name),
    /// An entry that no start file and no change could have set.
    #[error("expected names of one word and figures that are numbers, got '{0}'")]
    Entry(Name),
    /// The entries are not those that the manifest names.
    #[error("expected digest {expected}, got {came}")]
    Digest {
        /// Of the manifest.
        expected: Digest,
        /// Of the bytes.
        came: Digest,
    },
    /// The manifest has no such chunk.
    #[error("expected the number of a chunk in the manifest, got {0}")]
    Unknown(u16),
}

impl Chunk {
    pub fn len(&self) -> usize {
        self.classes.len() + self.tenants.len()
    }

    /// Classes by name, then tenants by name.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let classes = self.classes.iter().cloned().map(Entry::Class);
        classes.chain(self.tenants.iter().cloned().map(Entry::Tenant))
    }

    pub fn encode(&self) -> Vec<u8> {
        let entries: Vec<Entry> = self.entries().collect();
        postcard::to_stdvec(&entries).unwrap_or_default()
    }

    /// Reads a chunk and checks that each entry stands in its one place.
    pub fn decode(number: ChunkNumber, bytes: &[u8]) -> Result<Self, ChunkError> {
        if bytes.len() > MAX_CHUNK_BYTES {
            return Err(ChunkError::Long(bytes.len()));
        }
        let (entries, rest) = postcard::take_from_bytes::<Vec<Entry>>(bytes).map_err(|_| ChunkError::Form)?;
        if !rest.is_empty() || entries.len() > MAX_CHUNK_ENTRIES {
            return Err(ChunkError::Form);
        }
        let mut chunk = Self::default();
        let mut last: Option<(bool, String)> = None;
        for entry in entries {
            let digest = entry.digest();
            let place = match &entry {
                Entry::Class(class) => (false, class.name().to_string()),
                Entry::Tenant(tenant) => (true, tenant.name().to_string()),
                Entry::Rule(_) => return Err(ChunkError::Form),
            };
            if ChunkNumber::of(&place.1) != number || last.as_ref().is_some_and(|last| *last >= place) {
                return Err(ChunkError::Order(place.1.into()));
            }
            let well_formed = match &entry {
                Entry::Class(class) => well_formed::is_well_formed_class(class),
                Entry::Tenant(tenant) => well_formed::is_well_formed_tenant(tenant),
                Entry::Rule(_) => false,
            };
            if !well_formed {
                return Err(ChunkError::Entry(place.1.into()));
            }
            match entry {
                Entry::Class(class) => chunk.classes.0.push(class),
                Entry::Tenant(tenant) => chunk.tenants.0.push(tenant),
                Entry::Rule(_) => {}
            }
            chunk.digest = chunk.digest.plus(digest);
            last = Some(place);
        }
        Ok(chunk)
    }
}
