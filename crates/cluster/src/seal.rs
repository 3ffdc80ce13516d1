//! The envelope of a datagram: who sends it, to which life of whom, its number, when it left by the sender's clock, and
//! a tag by a key that the whole fleet has. What lacks the tag is dropped before anything else of it is looked at.
//!
//! The tag is BLAKE3 in its keyed mode, cut to 16 bytes. It says that the sender has the key, and no more: nothing is
//! hidden, and nothing is agreed on. Whether a datagram is a replay or too old is [`crate::fresh`]'s to say.
//!
//! ```text
//! version | length of name | name | life | to | number | sent | what it carries | tag
//!    1    |       1        | 1-48 |  8   | 8  |   8    |  8   |                 |  16     bytes, big-endian
//! ```

use crate::MS;
use crate::peer::{Life, MOST_NAME};
use gradepin_decisions::{Span, Time, after};
use std::fmt;

/// The longest datagram, in bytes: one that no path of 1,500 bytes cuts.
pub const MOST: usize = 1_400;
/// What the envelope takes of it at the most.
pub const ENVELOPE: usize = 2 + MOST_NAME + 4 * 8 + TAG;
const VERSION: u8 = 1;
const TAG: usize = 16;

/// Why a datagram is dropped. Each kind is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// It can't be an envelope.
    #[error("expected a datagram of 52 to 1400 bytes, version 1")]
    Form,
    /// Its tag is by no key of ours.
    #[error("expected a tag by one of the keys in force")]
    Tag,
    /// It was taken before.
    #[error("a datagram that came before")]
    Replay,
    /// It was under way for too long, or waited here unread.
    #[error("a datagram that was under way for too long")]
    Late,
    /// A later life of its sender is known.
    #[error("a datagram of an earlier life of its sender")]
    EarlierLife,
    /// It is for another life of this server, or for another server.
    #[error("a datagram for another life")]
    OtherLife,
    /// What it carries makes no sense.
    #[error("a datagram whose content can't be read")]
    Content,
    /// More came than are taken in a second.
    #[error("more datagrams than are taken in a second")]
    Flood,
}

impl Dropped {
    /// The reason in a word, for figures.
    pub fn word(self) -> &'static str {
        match self {
            Self::Form => "form",
            Self::Tag => "tag",
            Self::Replay => "replay",
            Self::Late => "late",
            Self::EarlierLife => "earlier-life",
            Self::OtherLife => "other-life",
            Self::Content => "content",
            Self::Flood => "flood",
        }
    }
}

/// Holds datagrams to so many in a second before anything of them is looked at: a tag takes a microsecond, and a stranger
/// may send any number.
#[derive(Debug, Default)]
pub struct Flood {
    since: Time,
    taken: u32,
}

/// Datagrams taken in a tenth of a second.
const MOST_TAKEN: u32 = 400;
const TENTH: Span = Span(100 * MS);

impl Flood {
    /// Whether one more is taken now.
    pub fn takes(&mut self, now: Time) -> bool {
        if now >= after(self.since, TENTH) {
            (self.since, self.taken) = (now, 0);
        }
        self.taken += 1;
        self.taken <= MOST_TAKEN
    }
}

/// Why a text holds no keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BadKeys {
    /// A line is no key.
    #[error("line {0}: expected 64 hex digits")]
    Line(usize),
    /// There is none, or there are more than two.
    #[error("expected one key, or two while one is replaced, got {0}")]
    Number(usize),
}

/// The keys of the fleet: the first one tags what is sent, both are accepted.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    keys: Vec<[u8; 32]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Keys don't belong in a log.
        write!(f, "{} keys", self.keys.len())
    }
}

impl Keys {
    /// Reads keys, a line each; blank lines and those that begin with `#` are skipped.
    pub fn parse(text: &str) -> Result<Self, BadKeys> {
        let mut keys = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if !line.is_empty() && !line.starts_with('#') {
                keys.push(key(line).ok_or(BadKeys::Line(n + 1))?);
            }
        }
        if keys.is_empty() || keys.len() > 2 {
            return Err(BadKeys::Number(keys.len()));
        }
        Ok(Self { keys })
    }

    /// One key of these bytes, for a fleet in a model.
    pub fn of(key: [u8; 32]) -> Self {
        Self { keys: vec![key] }
    }

    /// A datagram with its tag.
    pub fn seal(&self, head: &Head<'_>, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(ENVELOPE + body.len());
        bytes.extend([VERSION, head.name.len() as u8]);
        bytes.extend(head.name.as_bytes());
        for number in [head.life.0, head.to.0, head.number, head.sent_us] {
            bytes.extend(number.to_be_bytes());
        }
        bytes.extend(body);
        let tag = tag(&self.keys[0], &bytes);
        bytes.extend(tag);
        bytes
    }

    /// The envelope and what it holds, if its tag is by one of the keys.
    pub fn open<'d>(&self, datagram: &'d [u8]) -> Result<(Head<'d>, &'d [u8]), Dropped> {
        if datagram.len() > MOST || datagram.first() != Some(&VERSION) {
            return Err(Dropped::Form);
        }
        let (sealed, found) = datagram.split_last_chunk::<TAG>().ok_or(Dropped::Form)?;
        // By a comparison whose time doesn't tell how much of the tag was right.
        let good = |key: &[u8; 32]| {
            let tag = tag(key, sealed);
            tag.iter().zip(found).fold(0, |differ, (a, b)| differ | (a ^ b)) == 0
        };
        if !self.keys.iter().any(good) {
            return Err(Dropped::Tag);
        }
        let (&length, rest) = sealed[1..].split_first().ok_or(Dropped::Form)?;
        let (name, rest) = rest.split_at_checked(usize::from(length)).ok_or(Dropped::Form)?;
        let name = std::str::from_utf8(name).map_err(|_| Dropped::Form)?;
        let (numbers, body) = rest.split_first_chunk::<32>().ok_or(Dropped::Form)?;
        if name.is_empty() || name.len() > MOST_NAME {
            return Err(Dropped::Form);
        }
        let number = |n: usize| numbers[n * 8..].first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
        let head =
            Head { name, life: Life(number(0)), to: Life(number(1)), number: number(2), sent_us: number(3) };
        Ok((head, body))
    }
}

/// What an envelope says beside what it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head<'d> {
    /// The sender's name.
    pub name: &'d str,
    /// And its life.
    pub life: Life,
    /// The life of the one that it is for; 0 where that isn't known.
    pub to: Life,
    /// Counts the datagrams of a life.
    pub number: u64,
    /// When it left, in microseconds since the sender's life began, by a clock that nobody sets.
    pub sent_us: u64,
}

fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; TAG] {
    let hash = blake3::keyed_hash(key, bytes);
    let mut tag = [0; TAG];
    tag.copy_from_slice(&hash.as_bytes()[..TAG]);
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
mod tests {
    use super::*;

    fn head(name: &str) -> Head<'_> {
        Head { name, life: Life(7), to: Life(9), number: 3, sent_us: 44 }
    }

    /// Guards the CPU of a server from a stranger's flood, and the fleet from being shut out once it is over.
    #[test]
    fn a_flood_is_held_to_its_rate() {
        let mut flood = Flood::default();
        let taken = (0..100_000_u64).filter(|n| flood.takes(Time(1_000 * MS + n * 10_000))).count();
        assert_eq!(taken, 10 * MOST_TAKEN as usize, "in a second");
        assert!(flood.takes(Time(2_100 * MS)));
    }

    #[test]
    fn what_is_sealed_is_opened_and_any_other_byte_is_not() {
        let keys = Keys::of([5; 32]);
        let sealed = keys.seal(&head("n1"), b"rows");
        assert_eq!(keys.open(&sealed), Ok((head("n1"), &b"rows"[..])));
        for place in 0..sealed.len() {
            let mut changed = sealed.clone();
            changed[place] ^= 1;
            let dropped = keys.open(&changed).unwrap_err();
            assert!(matches!(dropped, Dropped::Tag | Dropped::Form), "{place}");
        }
        for length in 0..sealed.len() {
            assert!(keys.open(&sealed[..length]).is_err());
        }
        assert_eq!(Keys::of([6; 32]).open(&sealed), Err(Dropped::Tag));
    }

    /// Guards the change of a key under load: both are taken while the file has both, and one alone after that.
    #[test]
    fn two_keys_are_accepted_while_one_is_replaced() {
        let (old, new) = ("0a".repeat(32), "0b".repeat(32));
        let before = Keys::parse(&old).unwrap();
        let during = Keys::parse(&format!("# new first\n{new}\n{old}\n")).unwrap();
        let after = Keys::parse(&new).unwrap();
        assert!(during.open(&before.seal(&head("a"), b"")).is_ok());
        assert!(after.open(&during.seal(&head("a"), b"")).is_ok(), "the first one tags");
        assert_eq!(after.open(&before.seal(&head("a"), b"")), Err(Dropped::Tag));
        assert_eq!(Keys::parse(""), Err(BadKeys::Number(0)));
        assert_eq!(Keys::parse(&format!("{old}\nno key")), Err(BadKeys::Line(2)));
        assert_eq!(Keys::parse(&format!("{old}\n{old}\n{new}")), Err(BadKeys::Number(3)));
        assert_eq!(format!("{during:?}"), "2 keys");
    }
}
