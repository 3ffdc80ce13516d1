//! What servers say to each other about leases. The order of the variants and of their fields is the wire format.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One message about a lease; `number` is the borrower's, and `round` grows with each extension.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Lend me so much, or extend the lease of this number.
    Request { number: u64, round: u32, amount: u32 },
    /// Granted: so much, from when the request was sent and for so long.
    Grant { number: u64, round: u32, amount: u32, duration_ms: u32 },
    /// Not granted.
    Refuse { number: u64 },
    /// The lender needs it back.
    Recall { number: u64 },
    /// The borrower no longer uses it, and won't.
    Return { number: u64 },
}

/// A message and the server that it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingLeaseMessage {
    /// The receiver's name.
    pub to: Arc<str>,
    /// What is said.
    pub message: LeaseMessage,
}

/// A member that may lend, and how much it said that it would.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LenderOffer {
    /// Its name.
    pub name: Arc<str>,
    /// In thousandths of a slot.
    pub spare: u32,
}
