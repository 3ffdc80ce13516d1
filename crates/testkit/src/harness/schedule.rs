//! Timed faults drawn from a seed. The schedule is printed, and a failure can be reproduced from its seed.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::fmt;

/// State of the disk at the restart of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// Unchanged since the end of the process.
    Kept,
    /// Empty.
    Gone,
    /// A copy made before the first fault.
    OldCopy,
}

/// A fault, or its end.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Drops datagrams from all other servers to these.
    CutInbound(Vec<usize>),
    /// Partitions these servers from the others, in both directions.
    Cut(Vec<usize>),
    /// Ends all partitions.
    Heal,
    /// Delays datagrams by up to `slow_ms`, loses `lost` percent of them and duplicates `doubled` percent.
    Disturb { slow_ms: u64, lost: u32, doubled: u32 },
    /// Suspends a process.
    Stop(usize),
    /// Resumes a suspended process.
    Resume(usize),
    /// Kills a process.
    Kill(usize),
    /// Restarts a killed process with the given state of its disk.
    Start { server: usize, disk: Disk },
    /// Closes the ledger to these servers; an empty list opens it to all.
    CloseLedger(Vec<usize>),
    /// Multiplies the time of each ledger call.
    SlowLedger(u32),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CutInbound(some) => write!(f, "{some:?} hear nothing"),
            Self::Cut(some) => write!(f, "{some:?} cut off"),
            Self::Heal => write!(f, "all hear each other"),
            Self::Disturb { slow_ms, lost, doubled } => {
                write!(f, "datagrams up to {slow_ms} ms late, {lost}% lost, {doubled}% doubled")
            }
            Self::Stop(n) => write!(f, "n{n} stopped"),
            Self::Resume(n) => write!(f, "n{n} goes on"),
            Self::Kill(n) => write!(f, "n{n} killed"),
            Self::Start { server, disk } => {
                let disk = match disk {
                    Disk::Kept => "with its store",
                    Disk::Gone => "without its store",
                    Disk::OldCopy => "with an old copy of its store",
                };
                write!(f, "n{server} started {disk}")
            }
            Self::CloseLedger(some) if some.is_empty() => write!(f, "the ledger takes all"),
            Self::CloseLedger(some) => write!(f, "the ledger takes none of {some:?}"),
            Self::SlowLedger(times) => write!(f, "the ledger takes {times} times as long"),
        }
    }
}

/// Faults ordered by time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Schedule {
    /// Time in ms from the start of the run, and the fault.
    pub faults: Vec<(u64, Fault)>,
}

/// Start and end of the first fault, and the length of the quiet time at the end, in ms.
const FIRST_FAULT_MS: [u64; 2] = [12_000, 16_500];
const QUIET_END_MS: u64 = 9_000;

impl Schedule {
    /// Draws a schedule for `servers` servers and a run of `length_ms`.
    pub fn draw(seed: u64, servers: usize, length_ms: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = |bound: u64| rng.next_u64() % bound.max(1);
        // Always first: the zone that has borrowed is partitioned while total demand rises above the capacity.
        let second = (0..servers).filter(|n| n % 3 == 1).collect();
        let mut faults = vec![(FIRST_FAULT_MS[0], Fault::Cut(second)), (FIRST_FAULT_MS[1], Fault::Heal)];
        let end = length_ms.saturating_sub(QUIET_END_MS);
        let mut at = FIRST_FAULT_MS[1] + 1_000;
        // Faults follow one another, some in pairs; each ends before the next draw begins.
        while at + 1_500 < end {
            let span = (1_000 + draw(6_000)).min(end - at);
            let over = at + span;
            let first = draw(3) as usize;
            let third: Vec<usize> = (0..servers).filter(|n| n % 3 == first).collect();
            let one = draw(servers as u64) as usize;
            let another = (one + 1 + draw(servers as u64 - 1) as usize) % servers;
            match draw(9) {
                0 => {
                    faults.push((at, Fault::CutInbound(third.clone())));
                    faults.push((at + span / 2, Fault::Cut(third)));
                    faults.push((over, Fault::Heal));
                }
                1 => {
                    faults.push((at, Fault::Cut((0..servers / 2).collect())));
                    faults.push((over, Fault::Heal));
                }
                2 | 3 => {
                    faults.push((at, Fault::Stop(one)));
                    faults.push((over, Fault::Resume(one)));
                }
                4 => {
                    let back = at + 300 + draw(1_200);
                    let disk = [Disk::Gone, Disk::OldCopy, Disk::Kept, Disk::Kept][draw(4) as usize];
                    faults.push((at, Fault::Kill(one)));
                    faults.push((back.min(over), Fault::Start { server: one, disk }));
                }
                5 => {
                    // A borrower is suspended while a lender is killed.
                    faults.push((at, Fault::Stop(one)));
                    faults.push((at + 50, Fault::Kill(another)));
                    faults.push((at + 400, Fault::Start { server: another, disk: Disk::Kept }));
                    faults.push((over, Fault::Resume(one)));
                }
                6 => {
                    let (slow_ms, lost, doubled) = (20 + draw(1_500), draw(30) as u32, draw(30) as u32);
                    faults.push((at, Fault::Disturb { slow_ms, lost, doubled }));
                    faults.push((over, Fault::Disturb { slow_ms: 0, lost: 0, doubled: 0 }));
                }
                7 => {
                    let some =
                        if draw(2) == 0 { vec![one] } else { (0..servers).filter(|n| *n != one).collect() };
                    faults.push((at, Fault::CloseLedger(some)));
                    faults.push((over, Fault::CloseLedger(Vec::new())));
                }
                _ => {
                    faults.push((at, Fault::SlowLedger(2 + draw(6) as u32)));
                    faults.push((over, Fault::SlowLedger(1)));
                }
            }
            at = over + draw(2_500);
        }
        faults.sort_by_key(|(at, _)| *at);
        Self { faults }
    }

    /// Prints one line per fault.
    pub fn print(&self) {
        for (at, fault) in &self.faults {
            println!("  {:>6.2} s  {fault}", *at as f64 / 1e3);
        }
    }

    /// Time of the last entry in ms; 0 if the schedule is empty.
    pub fn last_ms(&self) -> u64 {
        self.faults.last().map_or(0, |(at, _)| *at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards drills against faults that never end: at the end all processes run, and network and ledger are open.
    #[test]
    fn every_fault_ends_before_the_quiet_time() {
        for seed in 1..200 {
            let schedule = Schedule::draw(seed, 8, 60_000);
            assert_eq!(schedule, Schedule::draw(seed, 8, 60_000), "seed {seed}");
            let mut down = std::collections::BTreeSet::new();
            let (mut cut, mut closed) = (false, false);
            for (at, fault) in &schedule.faults {
                assert!((FIRST_FAULT_MS[0]..=60_000 - QUIET_END_MS).contains(at), "seed {seed}: {at}");
                match fault {
                    Fault::Stop(n) | Fault::Kill(n) => drop(down.insert(*n)),
                    Fault::Resume(n) | Fault::Start { server: n, .. } => drop(down.remove(n)),
                    Fault::Cut(_) | Fault::CutInbound(_) => cut = true,
                    Fault::Heal => cut = false,
                    Fault::CloseLedger(some) => closed = !some.is_empty(),
                    _ => {}
                }
            }
            assert!(down.is_empty() && !cut && !closed, "seed {seed}");
        }
    }
}
