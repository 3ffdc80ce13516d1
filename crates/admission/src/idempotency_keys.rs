//! The table of idempotency keys: requests whose repeats the host must still recognize, and their expiry.
//!
//! The host has its own table, from which it responds to repeats. This one mirrors it, to account for its
//! memory and to know which entries are live. Its size is bounded by the memory account, in which the caller
//! reserves each entry.

use crate::request::RequestId;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Entries by request and by expiry. Invariant: both collections have the same entries.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyKeys {
    expirations: BTreeMap<RequestId, Time>,
    by_expiration: BTreeSet<(Time, RequestId)>,
}

impl IdempotencyKeys {
    /// Adds an entry. The request must not have an entry yet.
    pub(crate) fn insert(&mut self, id: RequestId, expires_at: Time) {
        self.expirations.insert(id.clone(), expires_at);
        self.by_expiration.insert((expires_at, id));
    }

    /// Removes the entry of a request. Returns false if it had none.
    pub(crate) fn remove(&mut self, id: &RequestId) -> bool {
        let Some(expires_at) = self.expirations.remove(id) else { return false };
        self.by_expiration.remove(&(expires_at, id.clone()));
        true
    }

    /// The request whose entry expired first, if it expired at or before the given time.
    pub(crate) fn first_expired(&self, at: Time) -> Option<RequestId> {
        let (expires_at, id) = self.by_expiration.first()?;
        (*expires_at <= at).then(|| id.clone())
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.expirations.len()
    }
}
