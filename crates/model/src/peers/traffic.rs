//! Counts datagrams by kind, so that each protocol is charged for its own bytes.

/// Content of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Membership: SWIM, including the correction of a server that has an outdated incarnation.
    Membership,
    /// Counter rows.
    Rows,
    /// Lease messages.
    Leases,
    /// Fragments of longer messages: consensus and configuration.
    Posts,
    /// None of the known kinds.
    Unknown,
}

impl Kind {
    /// All kinds, in the order of [`Traffic`]'s counters.
    pub const ALL: [Self; 5] = [Self::Membership, Self::Rows, Self::Leases, Self::Posts, Self::Unknown];

    /// Kind of an outgoing datagram: the byte after the envelope header, which is a version, a length-prefixed name
    /// and four 8-byte numbers.
    pub fn of(datagram: &[u8]) -> Self {
        const NUMBERS: usize = 4 * 8;
        let Some(&name) = datagram.get(1) else { return Self::Unknown };
        match datagram.get(2 + usize::from(name) + NUMBERS) {
            Some(0 | 3) => Self::Membership,
            Some(1) => Self::Rows,
            Some(2) => Self::Leases,
            Some(4) => Self::Posts,
            _ => Self::Unknown,
        }
    }
}

/// Datagrams and bytes of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sent {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Number of bytes without UDP and IP headers.
    pub bytes: u64,
}

/// Datagrams sent by all servers, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic([Sent; Kind::ALL.len()]);

impl Traffic {
    /// Counts a datagram.
    pub fn add(&mut self, datagram: &[u8]) {
        let sent = &mut self.0[Kind::of(datagram) as usize];
        sent.datagrams += 1;
        sent.bytes += datagram.len() as u64;
    }

    /// Sum of a kind.
    pub fn of(&self, kind: Kind) -> Sent {
        self.0[kind as usize]
    }

    /// Sum of all kinds.
    pub fn all(&self) -> Sent {
        self.0.iter().fold(Sent::default(), |sum, sent| Sent {
            datagrams: sum.datagrams + sent.datagrams,
            bytes: sum.bytes + sent.bytes,
        })
    }
}

#[cfg(test)]
mod tests;
