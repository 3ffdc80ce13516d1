//! Messages that are longer than a datagram are split into fragments and reassembled by the receiver.
//!
//! A message is lost if any of its fragments is lost, and its sender must send it again. The incomplete
//! messages of a receiver are bounded in number, bytes and time, and in number also for each sender.
//!
//! ```text
//! number of the message | index of the fragment | number of fragments | bytes
//!           4           |           1           |          1          |        big-endian
//! ```

use crate::MS;
use crate::authentication::{DropReason, MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Arc;

/// Maximum content of a fragment, in bytes.
const FRAGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - 1 - FRAGMENT_HEADER_BYTES;
/// Length of a fragment's header: number of the message, index of the fragment and number of fragments.
const FRAGMENT_HEADER_BYTES: usize = 4 + 1 + 1;
/// Maximum length of a message, in bytes: 259 kB.
pub const MAX_MESSAGE_BYTES: usize = 200 * FRAGMENT_BYTES;
/// Maximum number of incomplete messages of one sender.
const MAX_PARTIAL_PER_SENDER: usize = 4;
/// Maximum total length of the fragments of incomplete messages, in bytes.
const MAX_PARTIAL_BYTES: usize = 4 << 20;
/// Maximum number of incomplete messages of all senders. It bounds CPU time, as all of them are checked for
/// expiry with every received fragment.
const MAX_PARTIAL_MESSAGES: usize = 2_048;
/// Time after which an incomplete message is dropped.
const REASSEMBLY_TIMEOUT: Span = Span(3_000 * MS);

/// Splits a message into encoded fragments; none if it is longer than [`MAX_MESSAGE_BYTES`].
pub fn split(number: u32, message: &[u8]) -> Vec<Vec<u8>> {
    if message.len() > MAX_MESSAGE_BYTES {
        return Vec::new();
    }
    let chunks: Vec<&[u8]> =
        if message.is_empty() { vec![&[]] } else { message.chunks(FRAGMENT_BYTES).collect() };
    let count = chunks.len() as u8;
    let fragment = |(index, chunk): (usize, &&[u8])| {
        let mut bytes = number.to_be_bytes().to_vec();
        bytes.extend([index as u8, count]);
        bytes.extend(*chunk);
        bytes
    };
    chunks.iter().enumerate().map(fragment).collect()
}

struct Fragment<'d> {
    number: u32,
    index: usize,
    count: usize,
    bytes: &'d [u8],
}

impl<'d> Fragment<'d> {
    fn parse(datagram: &'d [u8]) -> Option<Self> {
        let (header, bytes) = datagram.split_first_chunk::<FRAGMENT_HEADER_BYTES>()?;
        let [a, b, c, d, index, count] = *header;
        let fragment = Self {
            number: u32::from_be_bytes([a, b, c, d]),
            index: usize::from(index),
            count: usize::from(count),
            bytes,
        };
        (fragment.index < fragment.count && bytes.len() <= FRAGMENT_BYTES).then_some(fragment)
    }
}

#[derive(Debug)]
struct PartialMessage {
    since: Time,
    number: u32,
    /// The number of fragments according to their headers. Memory is used only for those that were received.
    count: usize,
    parts: BTreeMap<usize, Vec<u8>>,
}

impl PartialMessage {
    fn bytes(&self) -> usize {
        self.parts.values().map(Vec::len).sum()
    }

    fn is_complete(&self) -> bool {
        self.parts.len() == self.count
    }
}

/// A sender of messages. Each incarnation numbers its messages anew.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SenderKey {
    name: Arc<str>,
    incarnation: Incarnation,
}

/// The incomplete messages of all senders.
#[derive(Debug, Default)]
pub struct Reassembly {
    partial: BTreeMap<SenderKey, Vec<PartialMessage>>,
    /// Total length of the received fragments, in bytes.
    bytes: usize,
    /// Number of incomplete messages.
    messages: usize,
}

impl Reassembly {
    /// Handles a received fragment; returns the message if it is complete now.
    pub fn take(
        &mut self,
        now: Time,
        from: &str,
        incarnation: Incarnation,
        datagram: &[u8],
    ) -> Result<Option<Vec<u8>>, DropReason> {
        let fragment = Fragment::parse(datagram).ok_or(DropReason::MalformedContent)?;
        if fragment.count == 1 {
            return Ok(Some(fragment.bytes.to_vec()));
        }
        self.drop_expired(now);
        if self.bytes + fragment.bytes.len() > MAX_PARTIAL_BYTES {
            return Ok(None);
        }
        let key = SenderKey { name: Arc::from(from), incarnation };
        let known = |partial: &PartialMessage| partial.number == fragment.number;
        if !self.partial.get(&key).is_some_and(|partials| partials.iter().any(known)) {
            if self.messages >= MAX_PARTIAL_MESSAGES {
                return Ok(None);
            }
            self.begin(now, key.clone(), &fragment);
        }
        self.add(&key, &fragment)
    }

    /// Starts to reassemble a message with its first received fragment.
    fn begin(&mut self, now: Time, key: SenderKey, fragment: &Fragment<'_>) {
        let partials = self.partial.entry(key).or_default();
        if partials.len() >= MAX_PARTIAL_PER_SENDER {
            // The oldest message is dropped: most likely it waits for a lost fragment.
            self.bytes -= partials.remove(0).bytes();
            self.messages -= 1;
        }
        let Fragment { number, count, .. } = *fragment;
        partials.push(PartialMessage { since: now, number, count, parts: BTreeMap::new() });
        self.messages += 1;
    }

    /// Adds a fragment to a partial message; returns the message if it is complete now.
    fn add(&mut self, key: &SenderKey, fragment: &Fragment<'_>) -> Result<Option<Vec<u8>>, DropReason> {
        let Some(partials) = self.partial.get_mut(key) else { return Ok(None) };
        let at = partials.iter().position(|partial| partial.number == fragment.number);
        let Some(at) = at else { return Ok(None) };
        let partial = &mut partials[at];
        if partial.count != fragment.count {
            return Err(DropReason::MalformedContent);
        }
        if let Entry::Vacant(vacant) = partial.parts.entry(fragment.index) {
            vacant.insert(fragment.bytes.to_vec());
            self.bytes += fragment.bytes.len();
        }
        if !partial.is_complete() {
            return Ok(None);
        }
        let complete = partials.remove(at);
        self.bytes -= complete.bytes();
        self.messages -= 1;
        Ok(Some(complete.parts.into_values().flatten().collect()))
    }

    fn drop_expired(&mut self, now: Time) {
        let Self { partial, bytes, messages } = self;
        partial.retain(|_, partials| {
            partials.retain(|partial| {
                let is_recent = now < time_after(partial.since, REASSEMBLY_TIMEOUT);
                if !is_recent {
                    *bytes -= partial.bytes();
                    *messages -= 1;
                }
                is_recent
            });
            !partials.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
