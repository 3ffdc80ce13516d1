//! The table of idempotency keys: requests whose repeats the host must still recognize, with their
//! expirations.
//!
//! The host answers repeats from its own copy of the table; this one mirrors it, to account for the memory
//! and to know which entries are live. Bounded by the memory account, in which the caller reserves each
//! entry.

use crate::request::RequestId;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Entries by request, and their order of expiration. Invariant: both hold the same entries.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyKeys {
    expirations: BTreeMap<RequestId, Time>,
    by_expiration: BTreeSet<(Time, RequestId)>,
}

impl IdempotencyKeys {
    /// Adds an entry; an earlier one of the same request must have been removed.
    pub(crate) fn insert(&mut self, id: RequestId, expires_at: Time) {
        self.expirations.insert(id.clone(), expires_at);
        self.by_expiration.insert((expires_at, id));
    }

    /// Removes the entry of a request. False if there was none.
    pub(crate) fn remove(&mut self, id: &RequestId) -> bool {
        let Some(expires_at) = self.expirations.remove(id) else { return false };
        self.by_expiration.remove(&(expires_at, id.clone()));
        true
    }

    /// A request whose entry expired at or before a time.
    pub(crate) fn first_expired(&self, at: Time) -> Option<RequestId> {
        let (expires_at, id) = self.by_expiration.first()?;
        (*expires_at <= at).then(|| id.clone())
    }

    /// Entries in the table.
    pub(crate) fn len(&self) -> usize {
        self.expirations.len()
    }
}
