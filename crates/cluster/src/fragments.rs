//! Messages that are longer than a datagram: cut into fragments, and put together again where all of them came.
//!
//! A message whose fragments don't all come is lost, as a datagram may be; whoever said it says it again. What is incomplete here is
//! bounded in number, bytes and time, for each sender and in all.

use crate::MS;
use crate::authentication::{DropReason, MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::peer::Incarnation;
use gradepin_decisions::{Span, Time, after};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What one fragment carries at the most, beside its index.
const FRAGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - 1 - FRAGMENT_HEADER_BYTES;
/// Number of the message, index of the fragment, fragments in all.
const FRAGMENT_HEADER_BYTES: usize = 4 + 1 + 1;
/// The longest message, in bytes: 200 kB.
pub const MAX_MESSAGE_BYTES: usize = 200 * FRAGMENT_BYTES;
/// Messages of one sender that are incomplete here, and bytes of all.
const MAX_PARTIAL_PER_SENDER: usize = 4;
const MAX_PARTIAL_BYTES: usize = 4 << 20;
/// What isn't whole by then won't be.
const REASSEMBLY_TIMEOUT: Span = Span(3_000 * MS);

/// Cuts a message.
pub fn split(number: u32, message: &[u8]) -> Vec<Vec<u8>> {
    if message.len() > MAX_MESSAGE_BYTES {
        return Vec::new();
    }
    let chunks: Vec<&[u8]> =
        if message.is_empty() { vec![&[]] } else { message.chunks(FRAGMENT_BYTES).collect() };
    let all = chunks.len() as u8;
    let fragment = |(index, chunk): (usize, &&[u8])| {
        let mut bytes = number.to_be_bytes().to_vec();
        bytes.extend([index as u8, all]);
        bytes.extend(*chunk);
        bytes
    };
    chunks.iter().enumerate().map(fragment).collect()
}

#[derive(Debug)]
struct PartialMessage {
    since: Time,
    number: u32,
    parts: Vec<Option<Vec<u8>>>,
}

impl PartialMessage {
    fn bytes(&self) -> usize {
        self.parts.iter().flatten().map(Vec::len).sum()
    }
}

/// Messages that are incomplete here.
#[derive(Debug, Default)]
pub struct Reassembly {
    partial: BTreeMap<(Arc<str>, Incarnation), Vec<PartialMessage>>,
    bytes: usize,
}

impl Reassembly {
    /// A fragment came; the message, if it is whole now.
    pub fn take(
        &mut self,
        now: Time,
        from: &str,
        incarnation: Incarnation,
        fragment: &[u8],
    ) -> Result<Option<Vec<u8>>, DropReason> {
        let (header, chunk) =
            fragment.split_first_chunk::<FRAGMENT_HEADER_BYTES>().ok_or(DropReason::Content)?;
        let [a, b, c, d, index, all] = *header;
        let (number, index, all) = (u32::from_be_bytes([a, b, c, d]), usize::from(index), usize::from(all));
        if index >= all || chunk.len() > FRAGMENT_BYTES {
            return Err(DropReason::Content);
        }
        if all == 1 {
            return Ok(Some(chunk.to_vec()));
        }
        self.forget(now);
        if self.bytes + chunk.len() > MAX_PARTIAL_BYTES {
            return Ok(None);
        }
        let partials = self.partial.entry((Arc::from(from), incarnation)).or_default();
        let known = partials.iter().position(|partial| partial.number == number);
        let at = known.unwrap_or_else(|| {
            if partials.len() >= MAX_PARTIAL_PER_SENDER {
                // The oldest gives way: it waits for what was lost, most likely.
                self.bytes -= partials.remove(0).bytes();
            }
            partials.push(PartialMessage { since: now, number, parts: vec![None; all] });
            partials.len() - 1
        });
        let partial = &mut partials[at];
        if partial.parts.len() != all {
            return Err(DropReason::Content);
        }
        if partial.parts[index].is_none() {
            partial.parts[index] = Some(chunk.to_vec());
            self.bytes += chunk.len();
        }
        if partial.parts.iter().any(Option::is_none) {
            return Ok(None);
        }
        let whole = partials.remove(at);
        self.bytes -= whole.bytes();
        Ok(Some(whole.parts.into_iter().flatten().flatten().collect()))
    }

    fn forget(&mut self, now: Time) {
        let bytes = &mut self.bytes;
        self.partial.retain(|_, partials| {
            partials.retain(|partial| {
                let stays = now < after(partial.since, REASSEMBLY_TIMEOUT);
                *bytes -= if stays { 0 } else { partial.bytes() };
                stays
            });
            !partials.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
