//! A datagram whose tag was checked: what shells pass on to the reducer.

use super::message::MessageKind;
use crate::authentication::{AuthenticationKeys, DropReason, Header};
use crate::leases::LeaseMessage;
use crate::peer::Incarnation;

/// An authenticated datagram: its header and its content.
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
    /// Opens a datagram; the error says why it is dropped.
    pub fn open(keys: &AuthenticationKeys, datagram: &[u8]) -> Result<Self, DropReason> {
        let (header, content) = keys.verify(datagram)?;
        let Header { name, incarnation, to, number, sent_us } = header;
        Ok(Self { name: name.to_string(), incarnation, to, number, sent_us, content: content.to_vec() })
    }

    /// The message about a lease, if that is what it carries; for observers.
    pub fn lease_message(&self) -> Option<LeaseMessage> {
        match self.message()? {
            (MessageKind::Lease, content) => postcard::from_bytes(content).ok(),
            _ => None,
        }
    }

    /// The kind of its content, for those who count; none where no kind has its byte.
    pub fn kind(&self) -> Option<MessageKind> {
        self.message().map(|(kind, _)| kind)
    }

    /// The header, borrowed.
    pub(super) fn header(&self) -> Header<'_> {
        Header {
            name: &self.name,
            incarnation: self.incarnation,
            to: self.to,
            number: self.number,
            sent_us: self.sent_us,
        }
    }

    /// Whether it carries no content.
    pub(super) fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// The kind of its content, and the rest of it.
    pub(super) fn message(&self) -> Option<(MessageKind, &[u8])> {
        let (&kind, content) = self.content.split_first()?;
        Some((MessageKind::from_byte(kind)?, content))
    }
}
