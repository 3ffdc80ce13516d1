//! The faults as types, and the seeded schedule: each fault alone, then drawn pairs, each in a case of its own with
//! fresh processes.

use super::random::Random;
use std::fmt::{self, Display};

/// Maximum frame length that a server reads, in bytes.
pub const MAX_FRAME_BYTES: usize = 4_604;
/// Maximum length of a request body by the protocol page, in bytes.
pub const MAX_BODY_BYTES: usize = 2_048;
/// Maximum length of a result by the protocol page, in bytes.
pub const MAX_RESULT_BYTES: usize = 4_096;

/// Misbehaviour of a client, in addition to the steady clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientFault {
    /// Opens this many connections and closes each without sending a byte.
    ConnectAndClose(usize),
    /// Opens this many connections and resets each at once.
    ResetAfterAccept(usize),
    /// Sends requests cut after a growing number of bytes (first cut, step); each connection is reset.
    ResetAtBytes(usize, usize),
    /// Like `ResetAtBytes`, but the client closes its sending half in order.
    CloseAtBytes(usize, usize),
    /// Sends this many requests one byte at a time.
    ByteByByte(usize),
    /// Sends this many requests in one write.
    OneSegment(usize),
    /// Sends this many pairs of requests, each pair split into two writes at a drawn byte.
    SplitRequests(usize),
    /// Sends this many requests and reads no answer until all runs are over.
    StopReading(usize),
    /// Sends an invalid frame after a valid request.
    BadFrame(BadFrame),
    /// Sends a request with the maximum frame length.
    LargestFrame,
    /// Sends this many pairs of requests with an urgent (out-of-band) byte in between.
    Urgent(usize),
    /// Opens idle connections up to the descriptor limit while the control plane is away.
    IdleToTheLimit,
    /// Sends this many requests and cancels each at once.
    Cancels(usize),
    /// Sends this many health checks, each on its own connection.
    HealthChecks(usize),
    /// Sends requests with invalid field values.
    OddFields,
    /// Opens this many connections and closes the sending half of each while requests are open.
    HalfClose(usize),
}

/// A frame that a server must reject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadFrame {
    /// Length 0.
    Empty,
    /// One byte longer than the maximum.
    TooLarge,
    /// A negative length.
    Negative,
    /// The largest length that the field can hold.
    Huge,
}

/// Misbehaviour of the processor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessorFault {
    /// Refuses connections for this many milliseconds.
    Refused(u64),
    /// Restarts, accepts the link and sends its greeting this many milliseconds late.
    HiLate(u64),
    /// Closes the link after reading this many bytes of commands (bytes, number of links).
    CutCommand(usize, usize),
    /// Closes the link after writing this many bytes of a notice (bytes, number of notices).
    CutNotice(usize, usize),
    /// Like `CutNotice`, with a reset.
    ResetNotice(usize, usize),
    /// Reads nothing for this many milliseconds.
    SlowReader(u64),
    /// Restarts this many times: its runs are lost and its notices are numbered from 1 again.
    Restart(usize),
    /// Sends all stored notices again on each new link.
    RepeatNotices,
    /// Swaps each pair of consecutive notices.
    OutOfOrder,
    /// Sends a remark of this length, in bytes, before the end of each run.
    LongRemark(usize),
    /// All results have this length, in bytes.
    ResultLength(usize),
    /// Rejects instead of running, after a run has ended, or for an id that no client sent.
    Reject(Rejected),
    /// All runs end with this status instead of `OK`.
    EndsAs(&'static str),
    /// Writes one byte at a time.
    ByteByByte,
}

/// The request ids that the processor rejects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// A request that it was commanded to run.
    InsteadOfRun,
    /// A request whose run has ended.
    Finished,
    /// An id that no client sent.
    Unknown,
}

/// Misbehaviour of the shared dependency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyFault {
    /// Refuses connections.
    Refused,
    /// Closes the connection after this many bytes of a reply.
    CutReply(usize),
    /// Closes the connection without a reply.
    CloseUnanswered,
    /// Announces a length larger than the reply.
    LengthTooLarge,
    /// Announces a length smaller than the reply.
    LengthTooSmall,
    /// Answers with random bytes that are not HTTP.
    Garbage,
    /// Never answers a call.
    Silent,
    /// Answers with this HTTP status.
    Status(u16),
    /// All replies have this length, in bytes.
    ReplyLength(usize),
    /// Writes its replies one byte at a time.
    ByteByByte,
}

/// Datagrams sent to the server's gossip address; the value is their number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramFault {
    /// Random bytes.
    Garbage(usize),
    /// Datagrams of the server, truncated to varying lengths.
    Cut(usize),
    /// Datagrams of the server with one bit flipped.
    Flipped(usize),
    /// Datagrams of the server, sent back unchanged.
    Replayed(usize),
}

/// Misbehaviour of the control plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlFault {
    /// Its socket is closed for this many milliseconds, so that the system answers each report with an error.
    Refused(u64),
    /// The server is reloaded with another control plane's address.
    Moved,
    /// The processor moves and the server is reloaded with its new address.
    ProcessorMoved,
}

/// Signals to the server, and changes of its configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalFault {
    /// Sends this many SIGHUP while the file alternates between two configurations.
    HangupStorm(usize),
    /// Sends SIGHUP with a changed file.
    BadFile(BadFile),
    /// Stops the process (SIGSTOP) for this many milliseconds.
    Pause(u64),
    /// Stops and continues the process this many times, which interrupts its system calls.
    Interrupts(usize),
    /// Kills server and processor and starts both again.
    Kill,
}

/// A replaced configuration file; all but `OtherSite` are unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadFile {
    /// The file is missing.
    Missing,
    /// The file is empty.
    Empty,
    /// The first half of a valid file.
    Half,
    /// A text in place of a number.
    Word,
    /// A valid configuration with other classes and other tenants.
    OtherSite,
}

/// How the servers of a case are stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// SIGTERM once all faults are reverted and the load has stopped.
    Quiet,
    /// SIGTERM under load.
    Serving,
    /// SIGTERM twice, under load.
    Twice,
    /// SIGTERM right after SIGHUP.
    BehindReload,
    /// SIGTERM after half a request was written; the rest is written afterwards.
    HalfFrame,
}

/// A fault, by its origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A misbehaving client.
    Client(ClientFault),
    /// A misbehaving processor.
    Processor(ProcessorFault),
    /// A misbehaving dependency; the settings then include one.
    Dependency(DependencyFault),
    /// Invalid datagrams; the settings then include a cluster.
    Datagrams(DatagramFault),
    /// A misbehaving control plane.
    Control(ControlFault),
    /// A signal or a file change.
    Signal(SignalFault),
}

impl Fault {
    /// The family under which the drill counts the fault.
    pub fn family(self) -> &'static str {
        match self {
            Self::Client(_) => "clients",
            Self::Processor(_) => "processor link",
            Self::Dependency(_) => "shared dependency",
            Self::Datagrams(_) => "peers' datagrams",
            Self::Control(_) => "control plane",
            Self::Signal(_) => "signals and files",
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Client(fault) => write!(f, "client {fault:?}"),
            Self::Processor(fault) => write!(f, "processor {fault:?}"),
            Self::Dependency(fault) => write!(f, "dependency {fault:?}"),
            Self::Datagrams(fault) => write!(f, "datagrams {fault:?}"),
            Self::Control(fault) => write!(f, "control {fault:?}"),
            Self::Signal(fault) => write!(f, "signal {fault:?}"),
        }
    }
}

/// One case: fresh processes with the faults injected into them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Case {
    /// Position in the schedule, from 0.
    pub number: usize,
    /// Seed of the draws within the case.
    pub seed: u64,
    /// Number of servers, each with its own stand-ins.
    pub servers: usize,
    /// Faults that are injected at the same time.
    pub faults: Vec<Fault>,
    /// How the servers are stopped.
    pub ending: Ending,
    /// Milliseconds from the start of the faults to an ending under load.
    pub ends_after_ms: u64,
}

impl Case {
    /// Whether the runs of this case call the shared dependency.
    pub fn calls_dependency(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault, Fault::Dependency(_)))
    }

    /// Whether the servers of this case belong to a cluster.
    pub fn has_peers(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault, Fault::Datagrams(_)))
    }
}

impl Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { number, servers, ending, ends_after_ms, .. } = self;
        let faults: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        let faults = if faults.is_empty() { "no fault".to_string() } else { faults.join(" + ") };
        write!(f, "case {number}: {faults}; {servers} server(s), ends {ending:?}")?;
        if *ending == Ending::Quiet { Ok(()) } else { write!(f, " after {ends_after_ms} ms") }
    }
}

/// The size of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Step over the list of single faults; 1 takes all of them.
    pub alone_step: usize,
    /// Number of drawn pairs.
    pub pairs: usize,
    /// Number of drawn pairs that run with several servers.
    pub fleets: usize,
}

impl Size {
    /// All single faults and 24 pairs.
    pub const FULL: Self = Self { alone_step: 1, pairs: 24, fleets: 2 };
    /// A sixth of the single faults, chosen by the seed, and few pairs; for tests.
    pub const SMALL: Self = Self { alone_step: 6, pairs: 3, fleets: 0 };
}

/// Number of servers in a case with several servers.
const LARGE_CASE_SERVERS: usize = 5;
/// Maximum milliseconds until an ending under load.
const MAX_ENDING_DELAY_MS: u64 = 400;

/// Draws the schedule of a seed: all endings without a fault, single faults, pairs, and cases with several servers.
pub fn schedule(seed: u64, size: Size) -> Vec<Case> {
    let mut random = Random::new(seed, 1);
    let all = faults(&mut random);
    let first = random.count(0..=size.alone_step - 1);
    let mut cases = Vec::new();
    let mut add = |random: &mut Random, faults: Vec<Fault>, ending: Ending, servers: usize| {
        let number = cases.len();
        let (seed, ends_after_ms) = (random.number(), random.within(0..=MAX_ENDING_DELAY_MS));
        cases.push(Case { number, seed, servers, faults, ending, ends_after_ms });
    };
    for ending in ENDINGS {
        add(&mut random, Vec::new(), ending, 1);
    }
    for fault in all.iter().skip(first).step_by(size.alone_step) {
        add(&mut random, vec![*fault], Ending::Quiet, 1);
    }
    for _ in 0..size.pairs {
        let pair = pair(&all, &mut random);
        let ending = random.one_of(&ENDINGS);
        add(&mut random, pair, ending, 1);
    }
    // A combination from operation: idle clients exhaust the descriptors while the control plane is away, and
    // processes restart.
    let idle = vec![Fault::Client(ClientFault::IdleToTheLimit), Fault::Signal(SignalFault::Kill)];
    add(&mut random, idle, Ending::Quiet, LARGE_CASE_SERVERS);
    for _ in 0..size.fleets {
        let pair = pair(&all, &mut random);
        add(&mut random, pair, Ending::Quiet, LARGE_CASE_SERVERS);
    }
    cases
}

const ENDINGS: [Ending; 5] =
    [Ending::Quiet, Ending::Serving, Ending::Twice, Ending::BehindReload, Ending::HalfFrame];

/// Draws two different faults.
fn pair(all: &[Fault], random: &mut Random) -> Vec<Fault> {
    let first = random.count(0..=all.len() - 1);
    let second = (first + random.count(1..=all.len() - 1)) % all.len();
    vec![all[first], all[second]]
}

/// One fault of each kind, with drawn parameters.
fn faults(random: &mut Random) -> Vec<Fault> {
    use ClientFault as C;
    use ProcessorFault as P;
    let mut all = Vec::new();
    let clients = [
        C::ConnectAndClose(random.count(20..=60)),
        C::ResetAfterAccept(random.count(20..=60)),
        C::ResetAtBytes(random.count(1..=5), random.count(3..=9)),
        C::CloseAtBytes(random.count(1..=5), random.count(3..=9)),
        C::ByteByByte(random.count(2..=4)),
        C::OneSegment(random.count(8..=32)),
        C::SplitRequests(random.count(20..=40)),
        C::StopReading(32),
        C::BadFrame(BadFrame::Empty),
        C::BadFrame(BadFrame::TooLarge),
        C::BadFrame(BadFrame::Negative),
        C::BadFrame(BadFrame::Huge),
        C::LargestFrame,
        C::Urgent(random.count(10..=20)),
        C::IdleToTheLimit,
        C::Cancels(random.count(16..=64)),
        C::HealthChecks(random.count(20..=60)),
        C::OddFields,
        C::HalfClose(random.count(2..=6)),
    ];
    all.extend(clients.map(Fault::Client));
    let (times, remark) = (random.count(3..=6), random.one_of(&[200, 4_000, 4_590, 4_608, 9_000]));
    let processors = [
        P::Refused(random.within(200..=900)),
        P::HiLate(random.within(300..=2_500)),
        P::CutCommand(random.count(1..=1_200), times),
        P::CutNotice(random.count(1..=40), times),
        P::CutNotice(random.count(40..=4_000), times),
        P::ResetNotice(random.count(1..=400), times),
        P::SlowReader(random.within(200..=1_500)),
        P::Restart(random.count(1..=3)),
        P::RepeatNotices,
        P::OutOfOrder,
        P::LongRemark(remark),
        P::LongRemark(random.count(4_609..=70_000)),
        P::ResultLength(0),
        P::ResultLength(MAX_RESULT_BYTES),
        P::Reject(Rejected::InsteadOfRun),
        P::Reject(Rejected::Finished),
        P::Reject(Rejected::Unknown),
        P::EndsAs("ERROR"),
        P::EndsAs("STOPPED"),
        P::EndsAs("MOOT"),
        P::ByteByByte,
    ];
    all.extend(processors.map(Fault::Processor));
    let dependencies = [
        DependencyFault::Refused,
        DependencyFault::CutReply(random.count(1..=60)),
        DependencyFault::CloseUnanswered,
        DependencyFault::LengthTooLarge,
        DependencyFault::LengthTooSmall,
        DependencyFault::Garbage,
        DependencyFault::Silent,
        DependencyFault::Status(random.one_of(&[204, 301, 409, 500, 503, 504])),
        DependencyFault::ReplyLength(0),
        DependencyFault::ReplyLength(MAX_RESULT_BYTES),
        DependencyFault::ReplyLength(random.count(MAX_RESULT_BYTES + 1..=4_560)),
        DependencyFault::ReplyLength(random.count(4_561..=MAX_FRAME_BYTES + 4)),
        DependencyFault::ReplyLength(random.count(MAX_FRAME_BYTES + 5..=70_000)),
        DependencyFault::ByteByByte,
    ];
    all.extend(dependencies.map(Fault::Dependency));
    let datagrams = [
        DatagramFault::Garbage(random.count(200..=600)),
        DatagramFault::Cut(random.count(200..=600)),
        DatagramFault::Flipped(random.count(200..=600)),
        DatagramFault::Replayed(random.count(200..=600)),
    ];
    all.extend(datagrams.map(Fault::Datagrams));
    let controls =
        [ControlFault::Refused(random.within(200..=900)), ControlFault::Moved, ControlFault::ProcessorMoved];
    all.extend(controls.map(Fault::Control));
    let signals = [
        SignalFault::HangupStorm(random.count(10..=60)),
        SignalFault::BadFile(BadFile::Missing),
        SignalFault::BadFile(BadFile::Empty),
        SignalFault::BadFile(BadFile::Half),
        SignalFault::BadFile(BadFile::Word),
        SignalFault::BadFile(BadFile::OtherSite),
        SignalFault::Pause(random.within(200..=1_200)),
        SignalFault::Interrupts(random.count(50..=200)),
        SignalFault::Kill,
    ];
    all.extend(signals.map(Fault::Signal));
    all
}
