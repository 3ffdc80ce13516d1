//! Messages that are longer than a datagram: split into fragments, and reassembled where all of them came.
//!
//! A message whose fragments don't all come is lost, as a datagram may be; its sender sends it again. What is incomplete
//! here is bounded in number, bytes and time, for each sender and in all.
//!
//! ```text
//! number of the message | index of the fragment | fragments in all | bytes
//!           4           |           1           |        1         |         big-endian
//! ```

use crate::MS;
use crate::authentication::{DropReason, MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_after};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Arc;

/// What one fragment carries at the most, beside its index.
const FRAGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - 1 - FRAGMENT_HEADER_BYTES;
/// Number of the message, index of the fragment, fragments in all.
const FRAGMENT_HEADER_BYTES: usize = 4 + 1 + 1;
/// The longest message, in bytes: 200 kB.
pub const MAX_MESSAGE_BYTES: usize = 200 * FRAGMENT_BYTES;
/// Messages of one sender that are incomplete here.
const MAX_PARTIAL_PER_SENDER: usize = 4;
/// Bytes of all that is incomplete here.
const MAX_PARTIAL_BYTES: usize = 4 << 20;
/// Messages that are incomplete here in all: each is looked at with every fragment that comes.
const MAX_PARTIAL_MESSAGES: usize = 2_048;
/// Time after which a message that lacks fragments is dropped.
const REASSEMBLY_TIMEOUT: Span = Span(3_000 * MS);

/// Splits a message; none if it is too long.
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
    /// How many fragments it is said to have; those that came are kept, and no place for the others.
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

/// A sender's numbers begin anew with each of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SenderKey {
    name: Arc<str>,
    incarnation: Incarnation,
}

/// Messages that are incomplete here.
#[derive(Debug, Default)]
pub struct Reassembly {
    partial: BTreeMap<SenderKey, Vec<PartialMessage>>,
    /// Of all of them.
    bytes: usize,
    /// How many they are.
    messages: usize,
}

impl Reassembly {
    /// Takes a received fragment; returns the message if it is complete now.
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
        self.forget(now);
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

    /// A message of which nothing came before.
    fn begin(&mut self, now: Time, key: SenderKey, fragment: &Fragment<'_>) {
        let partials = self.partial.entry(key).or_default();
        if partials.len() >= MAX_PARTIAL_PER_SENDER {
            // The oldest gives way: it waits for what was lost, most likely.
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
        if let Entry::Vacant(place) = partial.parts.entry(fragment.index) {
            place.insert(fragment.bytes.to_vec());
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

    fn forget(&mut self, now: Time) {
        let Self { partial, bytes, messages } = self;
        partial.retain(|_, partials| {
            partials.retain(|partial| {
                let stays = now < time_after(partial.since, REASSEMBLY_TIMEOUT);
                if !stays {
                    *bytes -= partial.bytes();
                    *messages -= 1;
                }
                stays
            });
            !partials.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
