//! From two snapshots of a fleet to what a server does in a second, for hollow and real servers alike.

use super::messages::{KindFigures, Lateness, Report, ServerFigures};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Instant;

/// A fleet at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// When.
    pub at: Instant,
    /// Hollow servers, host by host.
    pub hollow: Vec<ServerFigures>,
    /// Real daemons; none for one that didn't answer.
    pub real: Vec<Option<ServerFigures>>,
    /// CPU of the host processes in nanoseconds, without looks and reports, and of those.
    pub hosts_cpu_ns: u64,
    /// See `hosts_cpu_ns`.
    pub beside_ns: u64,
    /// The latest of the hosts' lateness since the snapshot before.
    pub late: Lateness,
    /// What hollow servers received.
    pub kinds: Vec<KindFigures>,
}

impl Snapshot {
    /// Of these reports and daemons, now.
    pub fn new(reports: &[Report], real: Vec<Option<ServerFigures>>) -> Self {
        let worst = |a: Lateness, b: &Lateness| Lateness {
            p50_ms: a.p50_ms.max(b.p50_ms),
            p99_ms: a.p99_ms.max(b.p99_ms),
            most_ms: a.most_ms.max(b.most_ms),
        };
        Self {
            at: Instant::now(),
            hollow: reports.iter().flat_map(|report| report.servers.iter().cloned()).collect(),
            real,
            hosts_cpu_ns: reports.iter().map(|report| report.cpu_ns).sum(),
            beside_ns: reports.iter().map(|report| report.beside_ns).sum(),
            late: reports.iter().map(|report| &report.late).fold(Lateness::default(), worst),
            kinds: add_kinds(reports.iter().flat_map(|report| &report.kinds)),
        }
    }
}

fn add_kinds<'a>(kinds: impl Iterator<Item = &'a KindFigures>) -> Vec<KindFigures> {
    let mut sums: BTreeMap<(bool, &str), (u64, u64)> = BTreeMap::new();
    for kind in kinds {
        let sum = sums.entry((kind.from_real, kind.kind.as_str())).or_default();
        *sum = (sum.0 + kind.datagrams, sum.1 + kind.bytes);
    }
    let figures = |((from_real, kind), (datagrams, bytes)): ((bool, &str), (u64, u64))| KindFigures {
        kind: kind.to_string(),
        from_real,
        datagrams,
        bytes,
    };
    sums.into_iter().map(figures).collect()
}

/// What one server does in a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Rates {
    /// Datagrams sent.
    pub datagrams: f64,
    /// Bytes sent.
    pub bytes: f64,
    /// CPU in ms.
    pub cpu_ms: f64,
    /// Requests that came.
    pub asked: f64,
}

impl Rates {
    /// Between two states of one server.
    pub fn between(from: &ServerFigures, to: &ServerFigures, seconds: f64) -> Self {
        let each = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds.max(1e-9);
        Self {
            datagrams: each(from.sent, to.sent),
            bytes: each(from.sent_bytes, to.sent_bytes),
            cpu_ms: each(from.cpu_ns, to.cpu_ns) / 1e6,
            asked: each(from.asked, to.asked),
        }
    }

    /// The mean of some; nothing of none.
    pub fn mean(all: &[Self]) -> Self {
        let mean = |of: fn(&Self) -> f64| all.iter().map(of).sum::<f64>() / all.len().max(1) as f64;
        Self {
            datagrams: mean(|one| one.datagrams),
            bytes: mean(|one| one.bytes),
            cpu_ms: mean(|one| one.cpu_ms),
            asked: mean(|one| one.asked),
        }
    }

    /// With the CPU of control: what its process uses with others less what the same uses under the same load without.
    pub fn of_control(self, process_ms: f64, alone_ms: f64) -> Self {
        Self { cpu_ms: (process_ms - alone_ms).max(0.0), ..self }
    }
}

/// A span between two snapshots.
#[derive(Debug, Clone)]
pub struct Window {
    /// Its length in seconds.
    pub seconds: f64,
    /// Each hollow server.
    pub hollow: Vec<Rates>,
    /// Each real daemon that answered at both ends.
    pub real: Vec<Rates>,
    /// CPU of the hosts by hollow server, in ms a second: with their waits for sockets, as a real process has them too.
    pub host_cpu_ms: f64,
    /// CPU of looks and reports, of all hosts, in ms a second.
    pub beside_cpu_ms: f64,
    /// Messages a second that a sender sent to hollow servers, by kind.
    pub kinds: Vec<KindRate>,
    /// Of all datagrams sent, the part that nobody took or dropped for a reason.
    pub lost: f64,
    /// How late the hosts were in it.
    pub late: Lateness,
}

/// How much of one kind a server sends.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KindRate {
    /// The kind.
    pub kind: String,
    /// Whether real daemons sent them.
    pub from_real: bool,
    /// Datagrams a second of each sender, to hollow servers.
    pub datagrams: f64,
    /// Their bytes.
    pub bytes: f64,
}

impl Window {
    /// Between two snapshots of the same fleet.
    pub fn between(from: &Snapshot, to: &Snapshot) -> Self {
        let seconds = (to.at - from.at).as_secs_f64();
        let rates = |(from, to): (&ServerFigures, &ServerFigures)| Rates::between(from, to, seconds);
        let hollow: Vec<Rates> = from.hollow.iter().zip(&to.hollow).map(rates).collect();
        let real: Vec<Rates> = from
            .real
            .iter()
            .zip(&to.real)
            .filter_map(|(from, to)| Some(Rates::between(from.as_ref()?, to.as_ref()?, seconds)))
            .collect();
        let cpu_ms = to.hosts_cpu_ns.saturating_sub(from.hosts_cpu_ns) as f64 / 1e6;
        let beside_ms = to.beside_ns.saturating_sub(from.beside_ns) as f64 / 1e6;
        let senders = |from_real: bool| if from_real { to.real.len() } else { to.hollow.len() };
        let kind = |kind: &KindFigures| {
            let before = from.kinds.iter().find(|k| k.kind == kind.kind && k.from_real == kind.from_real);
            let (datagrams, bytes) = before.map_or((0, 0), |before| (before.datagrams, before.bytes));
            let each = seconds * senders(kind.from_real).max(1) as f64;
            KindRate {
                kind: kind.kind.clone(),
                from_real: kind.from_real,
                datagrams: (kind.datagrams - datagrams) as f64 / each,
                bytes: (kind.bytes - bytes) as f64 / each,
            }
        };
        Self {
            seconds,
            host_cpu_ms: cpu_ms / seconds / hollow.len().max(1) as f64,
            beside_cpu_ms: beside_ms / seconds,
            hollow,
            real,
            kinds: to.kinds.iter().map(kind).collect(),
            lost: lost(from, to),
            late: to.late,
        }
    }
}

/// Of what all sent, the part that none took and none dropped for a reason that it counts.
fn lost(from: &Snapshot, to: &Snapshot) -> f64 {
    let sum = |snapshot: &Snapshot, of: fn(&ServerFigures) -> u64| -> u64 {
        snapshot.hollow.iter().chain(snapshot.real.iter().flatten()).map(of).sum()
    };
    let moved = |of: fn(&ServerFigures) -> u64| sum(to, of).saturating_sub(sum(from, of)) as f64;
    let (sent, arrived) = (moved(|one| one.sent), moved(|one| one.taken + one.dropped));
    if sent > 0.0 { ((sent - arrived) / sent).max(0.0) } else { 0.0 }
}

/// One hollow server beside one real one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Compared {
    /// The hollow one's figures as parts of the real one's: messages, bytes, CPU of control.
    pub datagrams: f64,
    /// See `datagrams`.
    pub bytes: f64,
    /// See `datagrams`.
    pub cpu: f64,
}

/// How far a hollow server's figures may be from a real one's before the difference is told.
pub const WITHIN: f64 = 0.15;

impl Compared {
    /// Of both means. None where there is nothing to compare with.
    pub fn of(hollow: &Rates, real: &Rates) -> Option<Self> {
        let part = |hollow: f64, real: f64| (real > 0.0).then(|| hollow / real);
        Some(Self {
            datagrams: part(hollow.datagrams, real.datagrams)?,
            bytes: part(hollow.bytes, real.bytes)?,
            cpu: part(hollow.cpu_ms, real.cpu_ms)?,
        })
    }

    /// The figures that differ by more than [`WITHIN`], each with the part.
    pub fn differences(&self) -> Vec<(&'static str, f64)> {
        [("messages", self.datagrams), ("bytes", self.bytes), ("CPU of control", self.cpu)]
            .into_iter()
            .filter(|(_, part)| (part - 1.0).abs() > WITHIN)
            .collect()
    }
}

#[cfg(test)]
mod tests;
