//! Digests of entries and of states.
//!
//! The digest of a state is the sum modulo 2^128 of keyed BLAKE3 hashes of its entries. A sum does not depend on the order,
//! and adding or removing one entry costs one hash. It detects faults, and forged bytes of one entry. It does not withstand a
//! peer that constructs a colliding state of many entries; against that messages between servers are authenticated.

use crate::change::{ClassDefinition, Revision, Rule};
use gradepin_admission::Tenant;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, LazyLock};

/// Separates these hashes from all other uses of BLAKE3. A change of it changes every digest.
const CONTEXT: &str = "gradepin configuration entry, version 1";
static KEY: LazyLock<[u8; 32]> = LazyLock::new(|| blake3::derive_key(CONTEXT, &[]));

/// The sum of the hashes of some entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest with the entries of another digest added.
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.wrapping_add(other.0))
    }

    /// The digest with the entries of another digest removed.
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.wrapping_sub(other.0))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// The state of a server. Two servers at the same revision with different digests are not in the same state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Version {
    /// The revision of the last commit applied.
    pub revision: Revision,
    /// The digest of all entries in force.
    pub digest: Digest,
}

impl std::fmt::Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} ({})", self.revision, self.digest)
    }
}

/// One entry of a state, in the form that is hashed and that snapshots contain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StateEntry {
    /// A class.
    Class(Arc<ClassDefinition>),
    /// A tenant.
    Tenant(Arc<Tenant>),
    /// A rule.
    Rule(Rule),
}

impl StateEntry {
    /// The digest of this entry alone.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new_keyed(&KEY);
        // Entries have no part that postcard can't encode, so this is never skipped.
        if let Ok(bytes) = postcard::to_stdvec(self) {
            hasher.update(&bytes);
        }
        let mut prefix = [0; 16];
        hasher.finalize_xof().fill(&mut prefix);
        Digest(u128::from_le_bytes(prefix))
    }
}
