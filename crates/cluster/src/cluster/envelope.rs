//! A datagram whose tag was verified, which the shell passes on to the reducer.

use super::message::MessageKind;
use crate::authentication::{AuthenticationKeys, DropReason, Header};
use crate::leases::LeaseMessage;
use crate::peer::Incarnation;

/// The header and content of an authenticated datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    pub(super) name: String,
    pub(super) incarnation: Incarnation,
    pub(super) to: Incarnation,
    number: u64,
    sent_us: u64,
    content: Vec<u8>,
}

impl Envelope {
    /// Verifies and decodes a datagram; the error is the reason to drop it.
    pub fn open(keys: &AuthenticationKeys, datagram: &[u8]) -> Result<Self, DropReason> {
        let (header, content) = keys.verify(datagram)?;
        let Header { name, incarnation, to, number, sent_us } = header;
        Ok(Self { name: name.to_string(), incarnation, to, number, sent_us, content: content.to_vec() })
    }

    /// The lease message that the datagram carries, if it does; for tests and the test kit.
    pub fn lease_message(&self) -> Option<LeaseMessage> {
        match self.message()? {
            (MessageKind::Lease, content) => postcard::from_bytes(content).ok(),
            _ => None,
        }
    }

    /// The kind of the content, for statistics; none if it is empty or of an unknown kind.
    pub fn kind(&self) -> Option<MessageKind> {
        self.message().map(|(kind, _)| kind)
    }

    /// The header of the datagram.
    pub(super) fn header(&self) -> Header<'_> {
        Header {
            name: &self.name,
            incarnation: self.incarnation,
            to: self.to,
            number: self.number,
            sent_us: self.sent_us,
        }
    }

    /// Whether the datagram carries no content.
    pub(super) fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// The kind of the content, and the content after the byte of the kind.
    pub(super) fn message(&self) -> Option<(MessageKind, &[u8])> {
        let (&kind, content) = self.content.split_first()?;
        Some((MessageKind::from_byte(kind)?, content))
    }
}
