//! Faults by time, drawn from a seed and printed, so that a seed is a bug report.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::fmt;

/// What a process finds on its disk when it is started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// What it left there.
    Kept,
    /// Nothing.
    Gone,
    /// What was there before the first fault.
    OldCopy,
}

/// Something done to the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// These hear nothing from the others any more.
    Deafen(Vec<usize>),
    /// These and the others hear nothing of each other.
    Cut(Vec<usize>),
    /// All hear each other again.
    Heal,
    /// Datagrams take up to so many ms longer, so many in a hundred are lost, and so many come twice.
    Rough { slow_ms: u64, lost: u32, doubled: u32 },
    /// A process is stopped.
    Stop(usize),
    /// It goes on.
    GoOn(usize),
    /// A process is killed.
    Kill(usize),
    /// It is started again, with what its disk holds then.
    Start { server: usize, disk: Disk },
    /// The ledger's port is closed to these, or open to all.
    CloseLedger(Vec<usize>),
    /// The ledger takes so many times longer.
    SlowLedger(u32),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deafen(some) => write!(f, "{some:?} hear nothing"),
            Self::Cut(some) => write!(f, "{some:?} cut off"),
            Self::Heal => write!(f, "all hear each other"),
            Self::Rough { slow_ms, lost, doubled } => {
                write!(f, "datagrams up to {slow_ms} ms late, {lost}% lost, {doubled}% doubled")
            }
            Self::Stop(n) => write!(f, "n{n} stopped"),
            Self::GoOn(n) => write!(f, "n{n} goes on"),
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

/// Faults in the order of their times, in ms from the begin.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Schedule {
    /// When, and what.
    pub faults: Vec<(u64, Fault)>,
}

/// The first fault, from and to, and how long the end is quiet.
const FIRST_MS: [u64; 2] = [12_000, 16_500];
const QUIET_MS: u64 = 9_000;

impl Schedule {
    /// Draws one for so many servers and so long.
    pub fn draw(seed: u64, servers: usize, length_ms: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = |most: u64| rng.next_u64() % most.max(1);
        // Always first: the zone that has borrowed is cut off while all begin to ask for more than there is.
        let second = (0..servers).filter(|n| n % 3 == 1).collect();
        let mut faults = vec![(FIRST_MS[0], Fault::Cut(second)), (FIRST_MS[1], Fault::Heal)];
        let end = length_ms.saturating_sub(QUIET_MS);
        let mut at = FIRST_MS[1] + 1_000;
        // One trouble after another, some of them two at a time: each is over before the next but one begins.
        while at + 1_500 < end {
            let span = (1_000 + draw(6_000)).min(end - at);
            let over = at + span;
            let first = draw(3) as usize;
            let third: Vec<usize> = (0..servers).filter(|n| n % 3 == first).collect();
            let one = draw(servers as u64) as usize;
            let another = (one + 1 + draw(servers as u64 - 1) as usize) % servers;
            match draw(9) {
                0 => {
                    faults.push((at, Fault::Deafen(third.clone())));
                    faults.push((at + span / 2, Fault::Cut(third)));
                    faults.push((over, Fault::Heal));
                }
                1 => {
                    faults.push((at, Fault::Cut((0..servers / 2).collect())));
                    faults.push((over, Fault::Heal));
                }
                2 | 3 => {
                    faults.push((at, Fault::Stop(one)));
                    faults.push((over, Fault::GoOn(one)));
                }
                4 => {
                    let back = at + 300 + draw(1_200);
                    let disk = [Disk::Gone, Disk::OldCopy, Disk::Kept, Disk::Kept][draw(4) as usize];
                    faults.push((at, Fault::Kill(one)));
                    faults.push((back.min(over), Fault::Start { server: one, disk }));
                }
                5 => {
                    // A borrower that is stopped and a lender that is killed, at the same time.
                    faults.push((at, Fault::Stop(one)));
                    faults.push((at + 50, Fault::Kill(another)));
                    faults.push((at + 400, Fault::Start { server: another, disk: Disk::Kept }));
                    faults.push((over, Fault::GoOn(one)));
                }
                6 => {
                    let (slow_ms, lost, doubled) = (20 + draw(1_500), draw(30) as u32, draw(30) as u32);
                    faults.push((at, Fault::Rough { slow_ms, lost, doubled }));
                    faults.push((over, Fault::Rough { slow_ms: 0, lost: 0, doubled: 0 }));
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

    /// Prints it.
    pub fn print(&self) {
        for (at, fault) in &self.faults {
            println!("  {:>6.2} s  {fault}", *at as f64 / 1e3);
        }
    }

    /// When the last of them is done.
    pub fn last_ms(&self) -> u64 {
        self.faults.last().map_or(0, |(at, _)| *at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards a drill against a fault that nobody ends: each stopped or killed process runs at the end.
    #[test]
    fn every_fault_is_over_at_the_end() {
        for seed in 1..200 {
            let schedule = Schedule::draw(seed, 8, 60_000);
            assert_eq!(schedule, Schedule::draw(seed, 8, 60_000), "seed {seed}");
            let mut down = std::collections::BTreeSet::new();
            let (mut cut, mut closed) = (false, false);
            for (at, fault) in &schedule.faults {
                assert!((FIRST_MS[0]..=60_000 - QUIET_MS).contains(at), "seed {seed}: {at}");
                match fault {
                    Fault::Stop(n) | Fault::Kill(n) => drop(down.insert(*n)),
                    Fault::GoOn(n) | Fault::Start { server: n, .. } => drop(down.remove(n)),
                    Fault::Cut(_) | Fault::Deafen(_) => cut = true,
                    Fault::Heal => cut = false,
                    Fault::CloseLedger(some) => closed = !some.is_empty(),
                    _ => {}
                }
            }
            assert!(down.is_empty() && !cut && !closed, "seed {seed}");
        }
    }
}
