//! Words that are longer than a datagram: cut into pieces, and put together again where all of them came.
//!
//! A word whose pieces don't all come is lost, as a datagram may be; whoever said it says it again. What is half here is
//! bounded in number, bytes and time, for each sender and in all.

use crate::MS;
use crate::peer::Life;
use crate::seal::{Dropped, ENVELOPE, MOST};
use gradepin_decisions::{Span, Time, after};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What one piece carries at the most, beside its place.
const PIECE: usize = MOST - ENVELOPE - 1 - HEAD;
/// Number of the word, place of the piece, pieces in all.
const HEAD: usize = 4 + 1 + 1;
/// The longest word, in bytes: 200 kB.
pub const MOST_WORD: usize = 200 * PIECE;
/// Words of one sender that are half here, and bytes of all.
const MOST_HALF: usize = 4;
const MOST_BYTES: usize = 4 << 20;
/// What isn't whole by then won't be.
const PATIENCE: Span = Span(3_000 * MS);

/// Cuts a word.
pub fn cut(number: u32, word: &[u8]) -> Vec<Vec<u8>> {
    if word.len() > MOST_WORD {
        return Vec::new();
    }
    let chunks: Vec<&[u8]> = if word.is_empty() { vec![&[]] } else { word.chunks(PIECE).collect() };
    let all = chunks.len() as u8;
    let piece = |(place, chunk): (usize, &&[u8])| {
        let mut bytes = number.to_be_bytes().to_vec();
        bytes.extend([place as u8, all]);
        bytes.extend(*chunk);
        bytes
    };
    chunks.iter().enumerate().map(piece).collect()
}

#[derive(Debug)]
struct Half {
    since: Time,
    number: u32,
    parts: Vec<Option<Vec<u8>>>,
}

impl Half {
    fn bytes(&self) -> usize {
        self.parts.iter().flatten().map(Vec::len).sum()
    }
}

/// Words that are half here.
#[derive(Debug, Default)]
pub struct Pieces {
    half: BTreeMap<(Arc<str>, Life), Vec<Half>>,
    bytes: usize,
}

impl Pieces {
    /// A piece came; the word, if it is whole now.
    pub fn take(
        &mut self,
        now: Time,
        from: &str,
        life: Life,
        piece: &[u8],
    ) -> Result<Option<Vec<u8>>, Dropped> {
        let (head, chunk) = piece.split_first_chunk::<HEAD>().ok_or(Dropped::Content)?;
        let [a, b, c, d, place, all] = *head;
        let (number, place, all) = (u32::from_be_bytes([a, b, c, d]), usize::from(place), usize::from(all));
        if place >= all || chunk.len() > PIECE {
            return Err(Dropped::Content);
        }
        if all == 1 {
            return Ok(Some(chunk.to_vec()));
        }
        self.forget(now);
        if self.bytes + chunk.len() > MOST_BYTES {
            return Ok(None);
        }
        let halves = self.half.entry((Arc::from(from), life)).or_default();
        let known = halves.iter().position(|half| half.number == number);
        let at = known.unwrap_or_else(|| {
            if halves.len() >= MOST_HALF {
                // The oldest gives way: it waits for what was lost, most likely.
                self.bytes -= halves.remove(0).bytes();
            }
            halves.push(Half { since: now, number, parts: vec![None; all] });
            halves.len() - 1
        });
        let half = &mut halves[at];
        if half.parts.len() != all {
            return Err(Dropped::Content);
        }
        if half.parts[place].is_none() {
            half.parts[place] = Some(chunk.to_vec());
            self.bytes += chunk.len();
        }
        if half.parts.iter().any(Option::is_none) {
            return Ok(None);
        }
        let whole = halves.remove(at);
        self.bytes -= whole.bytes();
        Ok(Some(whole.parts.into_iter().flatten().flatten().collect()))
    }

    fn forget(&mut self, now: Time) {
        let bytes = &mut self.bytes;
        self.half.retain(|_, halves| {
            halves.retain(|half| {
                let stays = now < after(half.since, PATIENCE);
                *bytes -= if stays { 0 } else { half.bytes() };
                stays
            });
            !halves.is_empty()
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn word(len: usize) -> Vec<u8> {
        (0..len).map(|n| n as u8).collect()
    }

    /// Guards words against pieces that come in any order, twice, or of two words at a time.
    #[test]
    fn words_are_whole_in_whatever_order_their_pieces_come() {
        let mut pieces = Pieces::default();
        for len in [0, 1, PIECE, PIECE + 1, 7 * PIECE + 3] {
            let (mut a, b) = (cut(1, &word(len)), cut(2, &word(len + 1)));
            a.reverse();
            let mut whole = Vec::new();
            for piece in a.iter().chain(&a).take(if a.len() == 1 { 1 } else { a.len() }).zip(b.iter().cycle())
            {
                for piece in [piece.0, piece.1] {
                    whole.extend(pieces.take(Time(0), "n1", Life(1), piece).unwrap());
                }
            }
            assert!(whole.contains(&word(len)), "{len}");
        }
        assert!(cut(1, &word(MOST_WORD + 1)).is_empty());
    }

    /// Guards memory against words that never become whole, and against pieces that are none.
    #[test]
    fn what_is_half_here_is_bounded() {
        let mut pieces = Pieces::default();
        for number in 0..10_000 {
            let from = format!("n{}", number % 50);
            let first = &cut(number, &word(20 * PIECE))[0];
            assert_eq!(pieces.take(Time(u64::from(number)), &from, Life(1), first), Ok(None));
        }
        assert!(pieces.half.len() == 50 && pieces.half.values().all(|halves| halves.len() <= MOST_HALF));
        assert_eq!(pieces.bytes, 50 * MOST_HALF * PIECE);
        assert_eq!(pieces.take(Time(9_000 * MS), "x", Life(1), &cut(1, &word(2 * PIECE))[0]), Ok(None));
        assert!(pieces.half.len() == 1 && pieces.bytes == PIECE);
        for bad in [&[][..], &[0, 0, 0, 1, 5, 5, 1], &[0, 0, 0, 1, 0, 0]] {
            assert_eq!(pieces.take(Time(9_000 * MS), "x", Life(1), bad), Err(Dropped::Content));
        }
    }
}
