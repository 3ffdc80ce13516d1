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
        /// 0 for a new lease, greater with each extension.
        round: u32,
        /// The amount asked for.
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
    /// The lender rejects a request.
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

/// A message and the server that it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingLeaseMessage {
    /// The receiver's name.
    pub to: Arc<str>,
    /// The message.
    pub message: LeaseMessage,
}

/// A member that may lend, with the spare amount that it advertised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LenderOffer {
    /// Its name.
    pub name: Arc<str>,
    /// The spare amount, in thousandths of a slot.
    pub spare: u32,
}
