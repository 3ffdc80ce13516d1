//! How a proxy behaves: its rate, its retries, its second copies.

/// How a proxy behaves.
#[derive(Debug, Clone)]
pub struct Habit {
    /// First tries a second, Poisson.
    pub rate: f64,
    /// Whether and where it tries again.
    pub retry: Retry,
    /// Whether it stays away from a server as long as a refusal asks.
    pub heeds: bool,
    /// The part of its requests that it sends over SCGI.
    pub scgi_share: f64,
    /// Keyed requests that it sends a second time over the other front, to the same server.
    pub repeats: Repeats,
}

impl Habit {
    /// So many first tries a second over Thrift, each with so many tries at the most.
    pub fn thrift(rate: f64, tries: usize, heeds: bool) -> Self {
        Self { rate, retry: Retry::Listed(tries), heeds, scgi_share: 0.0, repeats: Repeats::default() }
    }
}

/// Whether and where a proxy tries again, for as long as the caller waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// So many tries at the most, each at another server.
    Listed(usize),
    /// At once, down the list and round again, whatever a refusal says.
    Unlimited,
    /// Not before the time that the refusal tells, and somewhat spread.
    Patient,
}

/// Second copies of keyed requests, some time after the first.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Repeats {
    /// The part of the keyed requests.
    pub share: f64,
    /// Milliseconds after the first, at the most.
    pub within_ms: u64,
    /// Without the protection: each has a token of its own, as if the fronts shared no table.
    pub strangers: bool,
}
