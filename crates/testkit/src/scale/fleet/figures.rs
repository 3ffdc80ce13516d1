//! Rates per server from two snapshots of a fleet, for hollow servers and real daemons.

use super::messages::{KindFigures, Lateness, Report, ServerFigures};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Instant;

/// Counters of a fleet at one time.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Time of the snapshot.
    pub at: Instant,
    /// Hollow servers, ordered by host.
    pub hollow: Vec<ServerFigures>,
    /// Real daemons; `None` for one that didn't answer.
    pub real: Vec<Option<ServerFigures>>,
    /// CPU time of the hosts in nanoseconds, without polls and reports.
    pub hosts_cpu_ns: u64,
    /// CPU time of polls and reports in the hosts, in nanoseconds.
    pub beside_ns: u64,
    /// Largest delays of any host since the previous snapshot.
    pub late: Lateness,
    /// Datagrams received by hollow servers, by kind.
    pub kinds: Vec<KindFigures>,
}

impl Snapshot {
    /// Combines the reports of all hosts with the figures of the daemons.
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

/// Rates of one server, per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Rates {
    /// Datagrams sent.
    pub datagrams: f64,
    /// Bytes sent.
    pub bytes: f64,
    /// CPU time in ms.
    pub cpu_ms: f64,
    /// Requests that arrived.
    pub asked: f64,
}

impl Rates {
    /// Rates between two states of a server.
    pub fn between(from: &ServerFigures, to: &ServerFigures, seconds: f64) -> Self {
        let each = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds.max(1e-9);
        Self {
            datagrams: each(from.sent, to.sent),
            bytes: each(from.sent_bytes, to.sent_bytes),
            cpu_ms: each(from.cpu_ns, to.cpu_ns) / 1e6,
            asked: each(from.asked, to.asked),
        }
    }

    /// Mean rates; zero for an empty slice.
    pub fn mean(all: &[Self]) -> Self {
        let mean = |of: fn(&Self) -> f64| all.iter().map(of).sum::<f64>() / all.len().max(1) as f64;
        Self {
            datagrams: mean(|one| one.datagrams),
            bytes: mean(|one| one.bytes),
            cpu_ms: mean(|one| one.cpu_ms),
            asked: mean(|one| one.asked),
        }
    }

    /// Replaces the CPU time by that for control: usage in the fleet less usage of an unconnected server under the same load.
    pub fn of_control(self, process_ms: f64, alone_ms: f64) -> Self {
        Self { cpu_ms: (process_ms - alone_ms).max(0.0), ..self }
    }
}

/// Rates between two snapshots.
#[derive(Debug, Clone)]
pub struct Window {
    /// Length in seconds.
    pub seconds: f64,
    /// Rates of each hollow server.
    pub hollow: Vec<Rates>,
    /// Rates of each real daemon that answered both times.
    pub real: Vec<Rates>,
    /// CPU time of the hosts per hollow server, in ms per second, including waits for sockets as in a real daemon.
    pub host_cpu_ms: f64,
    /// CPU time of polls and reports of all hosts, in ms per second.
    pub beside_cpu_ms: f64,
    /// Datagrams per second and sender to hollow servers, by kind.
    pub kinds: Vec<KindRate>,
    /// Fraction of all sent datagrams that were neither accepted nor dropped for a counted reason.
    pub lost: f64,
    /// Delays of the hosts in the window.
    pub late: Lateness,
}

/// Rate of one message kind.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KindRate {
    /// Message kind.
    pub kind: String,
    /// Whether the senders are real daemons.
    pub from_real: bool,
    /// Datagrams per second and sender to hollow servers.
    pub datagrams: f64,
    /// Bytes per second and sender to hollow servers.
    pub bytes: f64,
}

impl Window {
    /// Rates between two snapshots of the same fleet.
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

/// Fraction of sent datagrams that no server accepted or dropped for a counted reason.
fn lost(from: &Snapshot, to: &Snapshot) -> f64 {
    let sum = |snapshot: &Snapshot, of: fn(&ServerFigures) -> u64| -> u64 {
        snapshot.hollow.iter().chain(snapshot.real.iter().flatten()).map(of).sum()
    };
    let increase = |of: fn(&ServerFigures) -> u64| sum(to, of).saturating_sub(sum(from, of)) as f64;
    let (sent, arrived) = (increase(|one| one.sent), increase(|one| one.taken + one.dropped));
    if sent > 0.0 { ((sent - arrived) / sent).max(0.0) } else { 0.0 }
}

/// Figures of a hollow server relative to those of a real daemon.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Comparison {
    /// Ratio of datagrams.
    pub datagrams: f64,
    /// Ratio of bytes.
    pub bytes: f64,
    /// Ratio of CPU time for control.
    pub cpu: f64,
}

/// Relative difference between hollow servers and real daemons above which it is reported.
pub const MAX_DIFFERENCE: f64 = 0.15;

impl Comparison {
    /// Compares mean rates; `None` if a rate of the real daemons is zero.
    pub fn of(hollow: &Rates, real: &Rates) -> Option<Self> {
        let ratio = |hollow: f64, real: f64| (real > 0.0).then(|| hollow / real);
        Some(Self {
            datagrams: ratio(hollow.datagrams, real.datagrams)?,
            bytes: ratio(hollow.bytes, real.bytes)?,
            cpu: ratio(hollow.cpu_ms, real.cpu_ms)?,
        })
    }

    /// Figures that differ by more than [`MAX_DIFFERENCE`], each with its ratio.
    pub fn differences(&self) -> Vec<(&'static str, f64)> {
        [("messages", self.datagrams), ("bytes", self.bytes), ("CPU of control", self.cpu)]
            .into_iter()
            .filter(|(_, ratio)| (ratio - 1.0).abs() > MAX_DIFFERENCE)
            .collect()
    }
}

#[cfg(test)]
mod tests;
