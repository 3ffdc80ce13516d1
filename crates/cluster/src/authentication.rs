//! Authentication of datagrams: the header holds the sender's name and incarnation, the receiver's
//! incarnation, the sequence number and the send time by the sender's clock. A tag made with a key that all
//! servers of the fleet share covers header and content. A datagram without a valid tag is dropped before
//! anything else of it is read.
//!
//! The tag is BLAKE3 in keyed mode, truncated to 16 bytes. It proves only that the sender has the key:
//! content isn't encrypted, and no session is negotiated. Replays and delayed datagrams are dropped by
//! [`crate::replay_window`].
//!
//! ```text
//! version | length of name | name | incarnation | to | number | sent | content | tag
//!    1    |       1        | 1-48 |      8      | 8  |   8    |  8   |         | 16      bytes, big-endian
//! ```

use crate::peer::{Incarnation, MAX_NAME_BYTES};
use std::fmt;

/// Maximum length of a datagram, in bytes. It fits an MTU of 1,500 bytes without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum length of header and tag, in bytes.
pub const MAX_OVERHEAD_BYTES: usize = 2 + MAX_NAME_BYTES + 4 * 8 + TAG_BYTES;
const VERSION: u8 = 1;
const TAG_BYTES: usize = 16;

/// Why a datagram is dropped. Dropped datagrams are counted by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// The length, version or header is not that of an envelope.
    #[error("expected a datagram of 52 to 1400 bytes, version 1")]
    MalformedEnvelope,
    /// The tag was made with none of the keys in force.
    #[error("datagram with a tag by none of the keys in force")]
    WrongTag,
    /// A datagram with this number was accepted before.
    #[error("replayed datagram")]
    Replay,
    /// It was delayed for longer than [`crate::replay_window::MAX_DELAY`], on the network or unread in the
    /// socket.
    #[error("datagram delayed for too long")]
    Delayed,
    /// A later incarnation of the sender is known.
    #[error("datagram of an earlier incarnation of its sender")]
    EarlierIncarnation,
    /// It is addressed to another incarnation of this server or to another server.
    #[error("datagram for another incarnation of this server")]
    OtherIncarnation,
    /// The content can't be decoded.
    #[error("datagram with malformed content")]
    MalformedContent,
    /// The rate limit for received datagrams was exceeded.
    #[error("rate limit for received datagrams exceeded")]
    RateLimited,
}

impl DropReason {
    /// The reason as a label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::MalformedEnvelope => "form",
            Self::WrongTag => "tag",
            Self::Replay => "replay",
            Self::Delayed => "late",
            Self::EarlierIncarnation => "earlier-life",
            Self::OtherIncarnation => "other-life",
            Self::MalformedContent => "content",
            Self::RateLimited => "flood",
        }
    }
}

/// Why a text can't be parsed as keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidKeys {
    /// The line of this number, counted from 1, is no key.
    #[error("line {0}: expected 64 hex digits")]
    Line(usize),
    /// The text holds this number of keys: none or more than two.
    #[error("expected one key, or two while one is replaced, got {0}")]
    Number(usize),
}

/// One or two keys that the servers of the fleet share: the first one tags sent datagrams, all are accepted
/// on receipt.
#[derive(Clone, PartialEq, Eq)]
pub struct AuthenticationKeys {
    keys: Vec<[u8; 32]>,
}

impl fmt::Debug for AuthenticationKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Keys must not appear in a log.
        write!(f, "{} keys", self.keys.len())
    }
}

impl AuthenticationKeys {
    /// Parses keys of 64 hex digits, one per line; blank lines and lines that start with `#` are skipped.
    pub fn parse(text: &str) -> Result<Self, InvalidKeys> {
        let mut keys = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if !line.is_empty() && !line.starts_with('#') {
                keys.push(key(line).ok_or(InvalidKeys::Line(n + 1))?);
            }
        }
        if keys.is_empty() || keys.len() > 2 {
            return Err(InvalidKeys::Number(keys.len()));
        }
        Ok(Self { keys })
    }

    /// A single key, for tests and simulations.
    pub fn of(key: [u8; 32]) -> Self {
        Self { keys: vec![key] }
    }

    /// Encodes header and body, and appends the tag.
    pub fn authenticate(&self, header: &Header<'_>, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_OVERHEAD_BYTES + body.len());
        bytes.extend([VERSION, header.name.len() as u8]);
        bytes.extend(header.name.as_bytes());
        for number in [header.incarnation.0, header.to.0, header.number, header.sent_us] {
            bytes.extend(number.to_be_bytes());
        }
        bytes.extend(body);
        let tag = tag(&self.keys[0], &bytes);
        bytes.extend(tag);
        bytes
    }

    /// Checks the tag of a datagram; returns its header and body.
    pub fn verify<'d>(&self, datagram: &'d [u8]) -> Result<(Header<'d>, &'d [u8]), DropReason> {
        if datagram.len() > MAX_DATAGRAM_BYTES || datagram.first() != Some(&VERSION) {
            return Err(DropReason::MalformedEnvelope);
        }
        let (tagged, found) =
            datagram.split_last_chunk::<TAG_BYTES>().ok_or(DropReason::MalformedEnvelope)?;
        // Constant-time comparison: its duration must not reveal how many bytes of the tag were right.
        let has_valid_tag = |key: &[u8; 32]| {
            let tag = tag(key, tagged);
            tag.iter().zip(found).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
        };
        if !self.keys.iter().any(has_valid_tag) {
            return Err(DropReason::WrongTag);
        }
        let (&length, rest) = tagged[1..].split_first().ok_or(DropReason::MalformedEnvelope)?;
        let (name, rest) = rest.split_at_checked(usize::from(length)).ok_or(DropReason::MalformedEnvelope)?;
        let name = std::str::from_utf8(name).map_err(|_| DropReason::MalformedEnvelope)?;
        let (numbers, body) = rest.split_first_chunk::<32>().ok_or(DropReason::MalformedEnvelope)?;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(DropReason::MalformedEnvelope);
        }
        let number = |n: usize| numbers[n * 8..].first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
        let header = Header {
            name,
            incarnation: Incarnation(number(0)),
            to: Incarnation(number(1)),
            number: number(2),
            sent_us: number(3),
        };
        Ok((header, body))
    }
}

/// The header of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header<'d> {
    /// The sender's name.
    pub name: &'d str,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The receiver's incarnation; 0 if the sender doesn't know it.
    pub to: Incarnation,
    /// Sequence number of the datagram, greater with each datagram of an incarnation of the sender.
    pub number: u64,
    /// Send time in microseconds since the sender's incarnation started, by its monotonic clock.
    pub sent_us: u64,
}

fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, bytes);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

fn key(line: &str) -> Option<[u8; 32]> {
    let mut key = [0; 32];
    if line.len() != 64 || !line.is_ascii() {
        return None;
    }
    for (n, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&line[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(key)
}

#[cfg(test)]
mod tests;
