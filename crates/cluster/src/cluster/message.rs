//! What a datagram carries: the first byte of its content says which. These bytes are the wire format.

/// The kinds of content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum MessageKind {
    /// Membership, by SWIM.
    Membership = 0,
    /// Gossiped rows of counters.
    Rows = 1,
    /// A message about a lease.
    Lease = 2,
    /// The receiver is known in a greater incarnation, which the header names. Without content.
    KnownIncarnation = 3,
    /// A fragment of a post.
    Fragment = 4,
}

impl MessageKind {
    /// The kind of this byte, if there is one.
    pub fn from_byte(byte: u8) -> Option<Self> {
        [Self::Membership, Self::Rows, Self::Lease, Self::KnownIncarnation, Self::Fragment]
            .into_iter()
            .find(|kind| kind.byte() == byte)
    }

    /// Its byte.
    pub fn byte(self) -> u8 {
        self as u8
    }

    /// The kind as a label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Rows => "rows",
            Self::Lease => "lease",
            Self::KnownIncarnation => "known-incarnation",
            Self::Fragment => "fragment",
        }
    }
}
