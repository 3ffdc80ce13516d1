//! What control may cost a server, and which servers cost more than the others: one that spends beside its work must be
//! caught, also where the fleet's mean hides it.

use super::figures::Rates;
use serde::Serialize;

/// CPU of control in ms a second: 4.2% of a core.
pub const CPU_MS: f64 = 42.0;
/// Memory of a server, in bytes: 128 MB.
pub const MEMORY: u64 = 128_000_000;
/// Bytes sent in a second: 4 KB.
pub const BYTES: f64 = 4_000.0;
/// How far over the median of the hollow servers one of them may be, at least: half of the smallest expenses that must be
/// caught, a kilobyte a second and a millisecond in each of ten ticks a second.
const BYTES_OVER: f64 = 512.0;
const CPU_MS_OVER: f64 = 5.0;
/// And as a part of the median, where that is more: busy servers differ by more.
const PART_OVER: f64 = 0.25;

/// Datagrams by which two servers alike differ by chance: at the ends of a span, and by who is asked for all members.
const CHANCE: f64 = 4.0;

/// What is held against its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Cost {
    /// Bytes sent in a second.
    Bytes,
    /// CPU in ms a second.
    Cpu,
}

impl Cost {
    /// In words, with the unit.
    pub fn words(self) -> &'static str {
        match self {
            Self::Bytes => "bytes/s sent",
            Self::Cpu => "ms/s of CPU",
        }
    }

    fn of(self, rates: &Rates) -> f64 {
        match self {
            Self::Bytes => rates.bytes,
            Self::Cpu => rates.cpu_ms,
        }
    }

    fn over(self) -> f64 {
        match self {
            Self::Bytes => BYTES_OVER,
            Self::Cpu => CPU_MS_OVER,
        }
    }

    /// How far over the median one may be, where the median is of these. Bytes differ by a few datagrams; the CPU of busy servers differs by a part of it.
    fn margin(self, median: &Rates, seconds: f64) -> f64 {
        match self {
            Self::Bytes => {
                let datagram = median.bytes / median.datagrams.max(1.0);
                self.over() + CHANCE * datagram / seconds.max(1e-9)
            }
            Self::Cpu => self.over().max(PART_OVER * median.cpu_ms),
        }
    }
}

/// A hollow server that costs more than the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Uneven {
    /// Its place among the hollow servers.
    pub server: usize,
    /// What it spends too much of.
    pub cost: Cost,
    /// How much.
    pub value: f64,
    /// What half of the servers stay under.
    pub median: f64,
}

/// The servers that cost more than the others by more than chance explains, over a span of so many seconds.
pub fn uneven(servers: &[Rates], seconds: f64) -> Vec<Uneven> {
    let of = |value: fn(&Rates) -> f64| median(servers.iter().map(value));
    let usual = Rates {
        datagrams: of(|one| one.datagrams),
        bytes: of(|one| one.bytes),
        cpu_ms: of(|one| one.cpu_ms),
        asked: of(|one| one.asked),
    };
    let mut found = Vec::new();
    for cost in [Cost::Bytes, Cost::Cpu] {
        let median = cost.of(&usual);
        let most = median + cost.margin(&usual, seconds);
        let over = servers.iter().enumerate().filter(|(_, rates)| cost.of(rates) > most);
        found.extend(over.map(|(server, rates)| Uneven { server, cost, value: cost.of(rates), median }));
    }
    found
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
