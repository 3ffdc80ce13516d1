//! Datagrams by what they carry, so that each part of the talk between servers is charged with its own bytes.

/// What a datagram carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Membership: SWIM, and a life told to one that is mistaken about it.
    Membership,
    /// Counter rows.
    Rows,
    /// Messages about leases.
    Leases,
    /// Pieces of longer messages: consensus, configuration.
    Posts,
    /// Nothing that is known here.
    Unknown,
}

impl Kind {
    /// All kinds, in the order of [`Traffic`]'s counts.
    pub const ALL: [Self; 5] = [Self::Membership, Self::Rows, Self::Leases, Self::Posts, Self::Unknown];

    /// Of a datagram as it leaves: its kind is the byte behind the envelope's head, which is a version, a name with its length, and
    /// four numbers of eight bytes.
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
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, without what UDP and IP add.
    pub bytes: u64,
}

/// What all servers sent, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic([Sent; Kind::ALL.len()]);

impl Traffic {
    /// A datagram left.
    pub fn add(&mut self, datagram: &[u8]) {
        let sent = &mut self.0[Kind::of(datagram) as usize];
        sent.datagrams += 1;
        sent.bytes += datagram.len() as u64;
    }

    /// What was sent of a kind.
    pub fn of(&self, kind: Kind) -> Sent {
        self.0[kind as usize]
    }

    /// What was sent in all.
    pub fn all(&self) -> Sent {
        self.0.iter().fold(Sent::default(), |sum, sent| Sent {
            datagrams: sum.datagrams + sent.datagrams,
            bytes: sum.bytes + sent.bytes,
        })
    }
}

#[cfg(test)]
mod tests;
