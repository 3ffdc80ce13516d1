//! Messages between lender and borrower. The order of the variants and of their fields is the wire format.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message about a lease. Amounts are in thousandths of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks the lender for a lease, or for the extension of one.
    Request {
        /// The borrower's number of the lease.
        number: u64,
        /// 0 for a new lease, one more with each extension.
        round: u32,
        /// The requested amount.
        amount: u32,
    },
    /// The lender grants a lease or an extension.
    Grant {
        /// The borrower's number of the lease.
        number: u64,
        /// The round of the request.
        round: u32,
        /// The amount granted.
        amount: u32,
        /// The duration of the lease, counted from the time at which the request was sent.
        duration_ms: u32,
    },
    /// The lender refuses a lease or an extension.
    Refuse {
        /// The borrower's number of the lease.
        number: u64,
    },
    /// The lender needs the slots back.
    Recall {
        /// The borrower's number of the lease.
        number: u64,
    },
    /// The borrower has stopped using the lease.
    Return {
        /// The borrower's number of the lease.
        number: u64,
    },
}

/// A message to send to another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingLeaseMessage {
    /// The name of the receiving server.
    pub to: Arc<str>,
    /// The message to send.
    pub message: LeaseMessage,
}

/// A member that may lend, with the amount to count on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LenderOffer {
    /// The name of the lender.
    pub name: Arc<str>,
    /// The amount that may be requested, in thousandths of a slot: as advertised, or at least a whole slot in
    /// case the advertisement is out of date.
    pub spare: u32,
}
