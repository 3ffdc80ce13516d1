//! How old a request is, although wall clocks are set: that of this server, and those of its clients.
//!
//! Clients state when a request was sent by their wall clocks. All durations here are measured by the monotonic clock. So
//! the reducer uses a Unix time of its own, the reference time, which starts with the server's wall clock and then runs on
//! with the monotonic one; time stamps of clients are converted to it once, on arrival.
//!
//! A wall clock is an offset from the reference time. The server knows the offset of its own clock, and those that its clock
//! had before it was set, which clients may still have. A client whose stamps prove that its clock differs has one more, which
//! is kept with its connection ([`ClientClock`]): it changes no due time of another client. A stamp is read by the clock that
//! makes the request the least old or new. A request is never taken for older than its sender said by the server's own
//! clock.

use crate::timestamp::Timestamp;
use gradepin_admission::Time;
use std::collections::VecDeque;

const NANOS_PER_MS: u64 = 1_000_000;
/// A change of the wall clock against the monotonic clock between two readings that counts as a step; less is adjustment.
const MIN_STEP_MS: i64 = 50;
/// Maximum number of former settings of the own clock that are known.
const MAX_FORMER_CLOCKS: usize = 4;

/// The clock of the client of one connection, if its stamps proved that it differs from all known ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClientClock {
    offset_ms: Option<i64>,
}

/// The wall clocks that stamps of all clients may refer to.
#[derive(Debug, Default)]
pub struct WallClock {
    /// The first reading, at which the reference time and the wall clock are equal.
    origin: Option<Timestamp>,
    /// Reference time of the latest reading, in Unix milliseconds.
    reference_ms: u64,
    /// Offset of the server's clock from the reference time at the latest reading, in ms.
    own_offset_ms: i64,
    /// Offsets that the server's clock had before it was set, the latest last.
    former_offsets_ms: VecDeque<i64>,
}

impl WallClock {
    /// Takes a reading of the system's clocks. Returns by how many ms the wall clock was set since the reading before.
    pub fn observe(&mut self, reading: Timestamp) -> Option<i64> {
        let origin = *self.origin.get_or_insert(reading);
        let elapsed_ms = Time(reading.now.0.saturating_sub(origin.now.0)).0 / NANOS_PER_MS;
        self.reference_ms = origin.unix_ms.saturating_add(elapsed_ms);
        let offset_ms = difference_ms(reading.unix_ms, self.reference_ms);
        let former_ms = std::mem::replace(&mut self.own_offset_ms, offset_ms);
        let step_ms = offset_ms - former_ms;
        if step_ms.abs() < MIN_STEP_MS {
            return None;
        }
        self.add_former(former_ms);
        Some(step_ms)
    }

    /// Current reference time, in Unix milliseconds.
    pub fn reference_ms(&self) -> u64 {
        self.reference_ms
    }

    /// Converts a client's time stamp to reference time. A stamp in the future counts as now.
    pub fn to_reference(&self, stamp_ms: u64, client: ClientClock) -> u64 {
        let age_ms = u64::try_from(self.age_ms(stamp_ms, client)).unwrap_or(0);
        self.reference_ms.saturating_sub(age_ms)
    }

    /// The clock of a client whose time stamp can't be right by any known clock, as its request had expired before it could
    /// be sent. The request counts as sent now.
    pub fn client_clock(&self, stamp_ms: u64) -> ClientClock {
        ClientClock { offset_ms: Some(difference_ms(stamp_ms, self.reference_ms)) }
    }

    /// Adds the offset that the own clock had before it was set. The oldest one is forgotten if there are too many.
    fn add_former(&mut self, offset_ms: i64) {
        self.former_offsets_ms.retain(|known_ms| (known_ms - offset_ms).abs() >= MIN_STEP_MS);
        if self.former_offsets_ms.len() >= MAX_FORMER_CLOCKS {
            self.former_offsets_ms.pop_front();
        }
        self.former_offsets_ms.push_back(offset_ms);
    }

    /// Age of a stamp by the clock by which it is closest to now.
    fn age_ms(&self, stamp_ms: u64, client: ClientClock) -> i64 {
        let since_reference_ms = difference_ms(self.reference_ms, stamp_ms);
        let offsets = self.former_offsets_ms.iter().chain(&client.offset_ms).chain([&self.own_offset_ms]);
        let ages = offsets.map(|offset_ms| since_reference_ms.saturating_add(*offset_ms));
        ages.min_by_key(|age_ms| age_ms.saturating_abs()).unwrap_or(since_reference_ms)
    }
}

/// Returns `a - b` in ms, limited to the range of its type.
fn difference_ms(a: u64, b: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    signed(a).saturating_sub(signed(b))
}

#[cfg(test)]
mod tests;
