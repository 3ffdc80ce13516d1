//! Budgets for the control cost of a server, and detection of servers that cost more than the others, which the mean of the
//! fleet would hide.

use super::figures::Rates;
use serde::Serialize;

/// CPU budget for control, in ms per second: 4.2% of a core.
pub const CPU_MS: f64 = 42.0;
/// Memory budget of a server, in bytes: 128 MB.
pub const MEMORY: u64 = 128_000_000;
/// Budget of bytes sent per second: 4 kB.
pub const BYTES: f64 = 4_000.0;
/// Minimum tolerated excess over the median of the hollow servers, in bytes per second. This and the limit on CPU time are
/// half of the smallest excess that must be detected: 1 kB per second, and 1 ms in each of ten ticks per second.
const MIN_EXCESS_BYTES: f64 = 512.0;
/// Minimum tolerated excess of CPU time over the median, in ms per second.
const MIN_EXCESS_CPU_MS: f64 = 5.0;
/// Tolerated excess of CPU time as a fraction of the median, if larger, because busy servers differ more.
const MIN_EXCESS_CPU_FRACTION: f64 = 0.25;

/// Datagrams by which equal servers differ by chance: at the ends of a window, and by answering membership requests.
const RANDOM_DATAGRAMS: f64 = 4.0;

/// Kind of cost. The names go into the JSON file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Cost {
    /// Bytes sent per second.
    Bytes,
    /// CPU time in ms per second.
    Cpu,
}

impl Cost {
    /// Description with the unit.
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

    fn min_excess(self) -> f64 {
        match self {
            Self::Bytes => MIN_EXCESS_BYTES,
            Self::Cpu => MIN_EXCESS_CPU_MS,
        }
    }

    /// Tolerated excess over the median. Bytes differ by a few datagrams, the CPU time of busy servers by a fraction.
    fn margin(self, median: &Rates, seconds: f64) -> f64 {
        match self {
            Self::Bytes => {
                let datagram = median.bytes / median.datagrams.max(1.0);
                self.min_excess() + RANDOM_DATAGRAMS * datagram / seconds.max(1e-9)
            }
            Self::Cpu => self.min_excess().max(MIN_EXCESS_CPU_FRACTION * median.cpu_ms),
        }
    }
}

/// Hollow server with excess cost.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Uneven {
    /// Index among the hollow servers.
    pub server: usize,
    /// Kind of cost.
    pub cost: Cost,
    /// Cost of this server.
    pub value: f64,
    /// Median cost of all hollow servers.
    pub median: f64,
}

/// Finds servers whose cost over a window of `seconds` exceeds the median by more than chance explains.
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
        let min_excess = servers.iter().enumerate().filter(|(_, rates)| cost.of(rates) > most);
        found.extend(min_excess.map(|(server, rates)| Uneven {
            server,
            cost,
            value: cost.of(rates),
            median,
        }));
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
