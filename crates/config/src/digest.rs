//! Digests of entries and of states.
//!
//! The digest of a state is the sum modulo 2^128 of keyed BLAKE3 hashes of its entries. The sum does not depend on the order of
//! the entries, and adding or removing one entry costs one hash. It detects faults and a forged single entry. It is not secure
//! against a peer that constructs a colliding state from many entries; for this, messages between servers are authenticated.

use crate::change::{ClassDefinition, Revision, Rule};
use gradepin_admission::Tenant;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, LazyLock};

/// Key derivation context, which separates these hashes from other uses of BLAKE3. Changing it changes every digest.
const KEY_CONTEXT: &str = "gradepin configuration entry, version 1";
static KEY: LazyLock<[u8; 32]> = LazyLock::new(|| blake3::derive_key(KEY_CONTEXT, &[]));

/// The sum modulo 2^128 of the hashes of a set of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest of both sets of entries together.
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.wrapping_add(other.0))
    }

    /// The digest without the entries of `other`, which must be part of it.
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.wrapping_sub(other.0))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Identifies the state of a server. Two servers at the same revision with different digests have different states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Version {
    /// The revision of the last applied commit.
    pub revision: Revision,
    /// The sum of the digests of all entries in force.
    pub digest: Digest,
}

impl std::fmt::Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} ({})", self.revision, self.digest)
    }
}

/// One entry of a state, in the form that is hashed and stored in snapshots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StateEntry {
    /// A class with its profile.
    Class(Arc<ClassDefinition>),
    /// A tenant with its quota.
    Tenant(Arc<Tenant>),
    /// A rule with its value. Chunks contain no rules; a manifest lists them.
    Rule(Rule),
}

impl StateEntry {
    /// The digest of this single entry: the first 128 bits of the keyed hash of its encoding.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new_keyed(&KEY);
        // Postcard can encode every entry, so this branch is always taken.
        if let Ok(bytes) = postcard::to_stdvec(self) {
            hasher.update(&bytes);
        }
        let mut prefix = [0; 16];
        hasher.finalize_xof().fill(&mut prefix);
        Digest(u128::from_le_bytes(prefix))
    }
}
