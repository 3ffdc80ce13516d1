//! What is injected, as types, and the seeded schedule: each fault alone and then drawn pairs, each in a case of its own with
//! fresh processes.

use super::random::Random;
use std::fmt::{self, Display};

/// Bytes of a frame at the most that a server reads.
pub const LARGEST_FRAME: usize = 4_604;
/// Bytes of a body and of a result at the most, by the protocol page.
pub const LARGEST_BODY: usize = 2_048;
/// See [`LARGEST_BODY`].
pub const LARGEST_RESULT: usize = 4_096;

/// What a client does beside the steady ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientFault {
    /// So many connections that end with no byte sent.
    ConnectAndClose(usize),
    /// So many that are reset at once.
    ResetAfterAccept(usize),
    /// A request cut at each byte boundary from this one on, in these steps; by a reset.
    ResetAtBytes(usize, usize),
    /// The same by an orderly end.
    CloseAtBytes(usize, usize),
    /// Requests that come one byte at a time.
    ByteByByte(usize),
    /// So many messages in one segment.
    OneSegment(usize),
    /// Two requests cut into two writes, at each of so many drawn places.
    SplitRequests(usize),
    /// Requests whose answers nobody reads until all were sent.
    StopReading(usize),
    /// A frame that can't be taken, behind a request that can.
    BadFrame(BadFrame),
    /// A request of the largest frame that is taken.
    LargestFrame,
    /// Urgent bytes between and within requests.
    Urgent(usize),
    /// Idle connections up to the descriptor limit, while nobody takes reports.
    IdleToTheLimit,
    /// Requests that are cancelled at once.
    Cancels(usize),
    /// Health checks, each on its own connection.
    HealthChecks(usize),
    /// Requests with fields that can't be taken.
    OddFields,
    /// Connections that end their half with requests open.
    HalfClose(usize),
}

/// A frame that no server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadFrame {
    /// Of no bytes.
    Empty,
    /// One byte past the largest.
    TooLarge,
    /// With a length below 0.
    Negative,
    /// With a length of the largest that can be said.
    Huge,
}

/// What the processor does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessorFault {
    /// Takes no connection for so many milliseconds.
    Refused(u64),
    /// Takes the link, and greets so many milliseconds late.
    HiLate(u64),
    /// Ends the link within a command, after so many bytes of what comes, so many times.
    CutCommand(usize, usize),
    /// Ends the link within a notice, after so many of its bytes, so many times.
    CutNotice(usize, usize),
    /// The same by a reset.
    ResetNotice(usize, usize),
    /// Reads nothing for so many milliseconds.
    SlowReader(u64),
    /// Starts anew: runs are lost, notices begin at 1.
    Restart(usize),
    /// Tells all kept notices again at each link.
    RepeatNotices,
    /// Tells each two notices in the wrong order.
    OutOfOrder,
    /// Tells remarks of this length.
    LongRemark(usize),
    /// Results of this length.
    ResultLength(usize),
    /// Rejects instead of running, after the end of a run, or for an id that nobody sent.
    Reject(Rejected),
    /// Runs end otherwise than well.
    EndsAs(&'static str),
    /// Sends its lines byte by byte.
    ByteByByte,
}

/// For which ids the processor rejects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// One that it was told to run.
    InsteadOfRun,
    /// One whose run is over.
    Finished,
    /// One that no client sent.
    Unknown,
}

/// What the shared dependency does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyFault {
    /// Takes no connection.
    Refused,
    /// Ends the connection within a reply, after so many bytes.
    CutReply(usize),
    /// Ends it with no reply.
    CloseUnanswered,
    /// Tells a length that is larger than the reply.
    LengthTooLarge,
    /// Or smaller.
    LengthTooSmall,
    /// Answers with bytes that are no HTTP.
    Garbage,
    /// Never answers.
    Silent,
    /// Answers with this status.
    Status(u16),
    /// Replies of this length.
    ReplyLength(usize),
    /// Replies one byte at a time.
    ByteByByte,
}

/// Datagrams to the address that the server's peers use; so many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramFault {
    /// Any bytes.
    Garbage(usize),
    /// Real ones cut at each length.
    Cut(usize),
    /// Real ones with one bit changed.
    Flipped(usize),
    /// Real ones sent back.
    Replayed(usize),
}

/// What the control plane does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlFault {
    /// Its address is closed: the system says so to each report.
    Refused(u64),
    /// It moves, and a reload names the new address.
    Moved,
    /// The processor does so.
    ProcessorMoved,
}

/// Signals and files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalFault {
    /// So many SIGHUP, with files that change between them.
    HangupStorm(usize),
    /// SIGHUP with a file that can't be used.
    BadFile(BadFile),
    /// The process stands still for so many milliseconds.
    Pause(u64),
    /// It stands still and goes on, so many times: its waits are interrupted.
    Interrupts(usize),
    /// SIGKILL of server and processor, and a new start.
    Kill,
}

/// A file that holds no usable configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadFile {
    /// There is none.
    Missing,
    /// Of no bytes.
    Empty,
    /// The first half of one.
    Half,
    /// With a text where a number belongs.
    Word,
    /// Of a site with other classes and other tenants: this one can be used.
    OtherSite,
}

/// How the case ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// SIGTERM once all is quiet.
    Quiet,
    /// SIGTERM under load.
    Serving,
    /// SIGTERM twice.
    Twice,
    /// SIGTERM right behind SIGHUP.
    BehindReload,
    /// SIGTERM with half a request on a connection; the rest follows it.
    HalfFrame,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Of a client.
    Client(ClientFault),
    /// Of the processor.
    Processor(ProcessorFault),
    /// Of the shared dependency; the settings have it then.
    Dependency(DependencyFault),
    /// Of peers' datagrams; the settings have a cluster then.
    Datagrams(DatagramFault),
    /// Of the control plane.
    Control(ControlFault),
    /// Of a signal or a file.
    Signal(SignalFault),
}

impl Fault {
    /// The family that it is counted under.
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

/// Fresh processes, and what is done to them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Case {
    /// Its place in the schedule.
    pub number: usize,
    /// For what is drawn within it.
    pub seed: u64,
    /// Servers beside each other.
    pub servers: usize,
    /// What is injected at the same time.
    pub faults: Vec<Fault>,
    /// How it ends.
    pub ending: Ending,
    /// Milliseconds from the begin of the faults to the ending where that doesn't wait for quiet.
    pub ends_after_ms: u64,
}

impl Case {
    /// Whether runs of this case call the shared dependency.
    pub fn calls_dependency(&self) -> bool {
        self.faults.iter().any(|fault| matches!(fault, Fault::Dependency(_)))
    }

    /// Whether servers of this case have peers.
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

/// How large a schedule is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Every so many of the faults alone; 1 is all of them.
    pub alone_step: usize,
    /// Drawn pairs.
    pub pairs: usize,
    /// Cases with a handful of servers.
    pub fleets: usize,
}

impl Size {
    /// All faults alone, and pairs.
    pub const FULL: Self = Self { alone_step: 1, pairs: 24, fleets: 2 };
    /// For a test: some of the faults, by the seed, and some pairs.
    pub const SMALL: Self = Self { alone_step: 6, pairs: 3, fleets: 0 };
}

/// Servers of a case with a handful of them.
const HANDFUL: usize = 5;
/// Until an ending that doesn't wait for quiet.
const LATEST_ENDING_MS: u64 = 400;

/// The schedule of a seed.
pub fn schedule(seed: u64, size: Size) -> Vec<Case> {
    let mut random = Random::new(seed, 1);
    let all = faults(&mut random);
    let first = random.count(0..=size.alone_step - 1);
    let mut cases = Vec::new();
    let mut add = |random: &mut Random, faults: Vec<Fault>, ending: Ending, servers: usize| {
        let number = cases.len();
        let (seed, ends_after_ms) = (random.number(), random.within(0..=LATEST_ENDING_MS));
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
    // The operators' own: idle clients fill the descriptors while nobody takes reports, and processes start again.
    let idle = vec![Fault::Client(ClientFault::IdleToTheLimit), Fault::Signal(SignalFault::Kill)];
    add(&mut random, idle, Ending::Quiet, HANDFUL);
    for _ in 0..size.fleets {
        let pair = pair(&all, &mut random);
        add(&mut random, pair, Ending::Quiet, HANDFUL);
    }
    cases
}

const ENDINGS: [Ending; 5] =
    [Ending::Quiet, Ending::Serving, Ending::Twice, Ending::BehindReload, Ending::HalfFrame];

/// Two different kinds of faults.
fn pair(all: &[Fault], random: &mut Random) -> Vec<Fault> {
    let first = random.count(0..=all.len() - 1);
    let second = (first + random.count(1..=all.len() - 1)) % all.len();
    vec![all[first], all[second]]
}

/// Each kind of fault once, with drawn figures.
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
        P::ResultLength(LARGEST_RESULT),
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
        DependencyFault::ReplyLength(LARGEST_RESULT),
        DependencyFault::ReplyLength(random.count(LARGEST_RESULT + 1..=4_560)),
        DependencyFault::ReplyLength(random.count(4_561..=LARGEST_FRAME + 4)),
        DependencyFault::ReplyLength(random.count(LARGEST_FRAME + 5..=70_000)),
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
