//! What a proxy counts: every try, every request, and what is new since the last look.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What became of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Served.
    Served,
    /// Turned away.
    Refused,
    /// Answered with a failure.
    Failed,
    /// No connection could be had.
    NoConnection,
    /// The connection ended without an answer.
    Lost,
    /// No answer by its time.
    TimedOut,
}

/// One try in the books.
#[derive(Debug, Clone)]
pub struct Try {
    /// Its id on the wire.
    pub rid: String,
    /// What all tries of its request share; also its body.
    pub request: u64,
    /// Index of its class.
    pub class: usize,
    /// Where it went.
    pub server: SocketAddr,
    /// Whether over SCGI.
    pub scgi: bool,
    /// When it was written, in Unix milliseconds.
    pub t0_ms: u64,
    /// How long its caller waits.
    pub budget_ms: u64,
    /// When its end was known.
    pub end_ms: u64,
    /// Its end.
    pub end: End,
    /// Whether what was served is what a run makes of its body.
    pub genuine: bool,
}

/// Counts tries by whether they went over SCGI and by their ends, and prints a line for each.
pub fn tally<'a>(tries: impl Iterator<Item = &'a Try>) -> BTreeMap<(bool, End), usize> {
    let mut ends = BTreeMap::new();
    for one in tries {
        *ends.entry((one.scgi, one.end)).or_default() += 1;
    }
    for ((scgi, end), count) in &ends {
        println!("  {} {:<12} {count:>7} tries", if *scgi { "SCGI  " } else { "Thrift" }, format!("{end:?}"));
    }
    ends
}

/// A request in the books, its tries folded into one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// Index of its class.
    pub class: usize,
    /// Whether over SCGI.
    pub scgi: bool,
    /// When it came, in Unix milliseconds.
    pub arrived_ms: u64,
    /// Milliseconds until it was served, if it was.
    pub took_ms: Option<u64>,
}

/// What one proxy counted.
#[derive(Debug, Default)]
pub struct Books {
    /// Every try that ended.
    pub tries: Vec<Try>,
    /// Every request that ended.
    pub requests: Vec<Asked>,
}

/// Counts since the last look.
#[derive(Debug, Default, Clone)]
pub struct Live {
    /// Requests that came.
    pub arrived: u64,
    /// Served within their aim, and after it.
    pub served: u64,
    /// See `served`.
    pub late: u64,
    /// Given up: no try was served.
    pub unserved: u64,
    /// Tries turned away.
    pub refused: u64,
    /// Microseconds until served, from the moment at which the schedule has the request come: what the sender itself
    /// is late by counts.
    pub times_us: Vec<u64>,
    /// The same from the first write: what a client that waits for answers would measure.
    pub writes_us: Vec<u64>,
}

impl Live {
    /// Adds another's.
    pub fn add(&mut self, other: Live) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.late += other.late;
        self.unserved += other.unserved;
        self.refused += other.refused;
        self.times_us.extend(other.times_us);
        self.writes_us.extend(other.writes_us);
    }
}
