//! Records of a client proxy: every attempt, every request, and counts per interval.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Answered with a result.
    Served,
    /// Rejected by the server.
    Refused,
    /// Answered with a failure that is no rejection.
    Failed,
    /// No connection could be established.
    NoConnection,
    /// The connection closed before an answer.
    Lost,
    /// No answer by the deadline of the attempt.
    TimedOut,
}

/// Record of one attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Request ID on the wire; differs between the attempts of a request.
    pub rid: String,
    /// Number of the request, common to all its attempts; also the request body.
    pub request: u64,
    /// Index of the class in the list of [`super::classes`].
    pub class: usize,
    /// Thrift address of the server, also for attempts over SCGI.
    pub server: SocketAddr,
    /// Whether sent over SCGI rather than Thrift.
    pub scgi: bool,
    /// Send time in Unix milliseconds.
    pub t0_ms: u64,
    /// Time that the caller waits, in ms.
    pub budget_ms: u64,
    /// Time of the outcome, in Unix milliseconds.
    pub end_ms: u64,
    /// Outcome.
    pub end: End,
    /// Whether the served result is the one that a run makes of this request body.
    pub correct_result: bool,
}

/// Counts attempts by protocol (`true` for SCGI) and outcome, and prints one line per count.
pub fn tally<'a>(tries: impl Iterator<Item = &'a Attempt>) -> BTreeMap<(bool, End), usize> {
    let mut ends = BTreeMap::new();
    for one in tries {
        *ends.entry((one.scgi, one.end)).or_default() += 1;
    }
    for ((scgi, end), count) in &ends {
        println!("  {} {:<12} {count:>7} tries", if *scgi { "SCGI  " } else { "Thrift" }, format!("{end:?}"));
    }
    ends
}

/// Record of one request over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRecord {
    /// Index of the class in the list of [`super::classes`].
    pub class: usize,
    /// Whether sent over SCGI rather than Thrift.
    pub scgi: bool,
    /// Arrival time in Unix milliseconds.
    pub arrived_ms: u64,
    /// Milliseconds from arrival to the served result; `None` if no attempt was served.
    pub took_ms: Option<u64>,
}

/// All records of one proxy.
#[derive(Debug, Default)]
pub struct Records {
    /// Every attempt that ended.
    pub tries: Vec<Attempt>,
    /// Every request that ended, in order of completion.
    pub requests: Vec<RequestRecord>,
}

/// Counts of one interval.
#[derive(Debug, Default, Clone)]
pub struct IntervalCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests served within their latency objective.
    pub served: u64,
    /// Requests served after their latency objective.
    pub late: u64,
    /// Requests given up without a served attempt.
    pub unserved: u64,
    /// Rejected attempts.
    pub refused: u64,
    /// Microseconds from the scheduled arrival to the served result. This includes delays of the sender itself, which
    /// would otherwise hide waiting time.
    pub times_us: Vec<u64>,
    /// Microseconds from the first write to the served result, as a closed-loop client would measure.
    pub writes_us: Vec<u64>,
}

impl IntervalCounts {
    /// Adds the counts and times of another interval or proxy.
    pub fn add(&mut self, other: IntervalCounts) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.late += other.late;
        self.unserved += other.unserved;
        self.refused += other.refused;
        self.times_us.extend(other.times_us);
        self.writes_us.extend(other.writes_us);
    }
}
