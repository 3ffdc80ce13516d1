//! The kinds of datagrams. The first byte of the content is the kind; these bytes are the wire format.

/// The kind of a datagram's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum MessageKind {
    /// A membership message of SWIM.
    Membership = 0,
    /// Gossiped counter rows.
    Rows = 1,
    /// A message about a lease.
    Lease = 2,
    /// Notifies the receiver that it is known in a greater incarnation, which is in the header. Without
    /// content.
    KnownIncarnation = 3,
    /// A fragment of a post.
    Fragment = 4,
}

impl MessageKind {
    /// The kind with this byte; none if it is unknown.
    pub fn from_byte(byte: u8) -> Option<Self> {
        [Self::Membership, Self::Rows, Self::Lease, Self::KnownIncarnation, Self::Fragment]
            .into_iter()
            .find(|kind| kind.byte() == byte)
    }

    /// The byte of the kind on the wire.
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
