//! Ordered history of what the stand-ins, the relays and the fault injector observed, and the checks on it. The checks use
//! the history alone and share no code with the daemon.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Something observed about a server. The variants are written to the history file under their own names.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// The ledger received a call for the request with this ID.
    CallBegan(String),
    /// The call that began at this index of the history has ended at the ledger too.
    CallEnded(usize),
    /// A relay saw the server request a lease from a lender.
    Asked { lender: usize, number: u64, round: u32 },
    /// A relay saw the server grant `amount` thousandths of a slot to a borrower.
    Granted { borrower: usize, number: u64, round: u32, amount: u32, length_ms: u32 },
    /// A relay saw the server return a lease.
    Returned { lender: usize, number: u64 },
    /// The process was started.
    Started,
    /// The process was suspended.
    Stopped,
    /// The process was resumed.
    WentOn,
    /// The process was killed.
    Killed,
    /// Whether the server runs and the network delivers all datagrams; recorded at each change.
    Net(bool),
    /// The server considers another server alive, or dead.
    Believes { other: usize, up: bool },
}

/// One observation with its time and server.
#[derive(Debug, Clone, PartialEq)]
pub struct HistoryEntry {
    /// Time since the start of the history, in microseconds.
    pub at_us: u64,
    /// Index of the observed server.
    pub server: usize,
    /// The observation.
    pub observation: Observation,
}

/// History that many threads append to.
#[derive(Debug)]
pub struct History {
    begin: Instant,
    entries: Mutex<Vec<HistoryEntry>>,
}

impl Default for History {
    fn default() -> Self {
        Self { begin: Instant::now(), entries: Mutex::default() }
    }
}

impl History {
    fn entries(&self) -> MutexGuard<'_, Vec<HistoryEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends an entry with the current time and returns its index.
    pub fn write(&self, server: usize, observation: Observation) -> usize {
        let mut entries = self.entries();
        // Taken under the lock, so that entries are ordered by time.
        let at_us = self.begin.elapsed().as_micros() as u64;
        entries.push(HistoryEntry { at_us, server, observation });
        entries.len() - 1
    }

    /// Time since the start of the history, in microseconds.
    pub fn elapsed_us(&self) -> u64 {
        self.begin.elapsed().as_micros() as u64
    }

    /// Copies all entries so far.
    pub fn read(&self) -> Vec<HistoryEntry> {
        self.entries().clone()
    }

    /// Saves the history to a file, one entry per line.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        for (number, entry) in self.entries().iter().enumerate() {
            writeln!(
                file,
                "{number} {:.6} n{} {:?}",
                entry.at_us as f64 / 1e6,
                entry.server,
                entry.observation
            )?;
        }
        file.flush()
    }
}

/// One violation of a check.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Time since the start of the history, in seconds.
    pub at_s: f64,
    /// Index of the violating server.
    pub server: usize,
    /// Description for the report.
    pub how: String,
}

/// Result of checking the ledger calls of a history.
#[derive(Debug, Default)]
pub struct Calls {
    /// Number of calls.
    pub count: usize,
    /// Largest number of calls in flight at once.
    pub max_in_flight: usize,
    /// Calls that exceeded the total bound of the ledger.
    pub over_bound: Vec<Violation>,
    /// Calls beyond the own and leased slots of their server.
    pub without_slot: Vec<Violation>,
    /// Number of calls that used a borrowed slot.
    pub borrowed: usize,
}

/// Allowed clock difference between observations, in microseconds: different threads of a possibly busy machine record
/// the two ends of a call.
const TOLERANCE_US: u64 = 250_000;

#[derive(Debug)]
struct Lease {
    amount: u32,
    until_us: u64,
}

/// Checks the calls against the total bound and against the slots of each server: its own `share`, and what it was
/// granted, valid from the time of its request.
pub fn calls(history: &[HistoryEntry], bound: usize, share: f64, drift: f64) -> Calls {
    let mut calls = Calls::default();
    let mut in_flight: HashMap<usize, (usize, u64)> = HashMap::new();
    let mut by_server: BTreeMap<usize, usize> = BTreeMap::new();
    let mut asked: HashMap<(usize, usize, u64, u32), u64> = HashMap::new();
    let mut leases: HashMap<(usize, usize, u64), Lease> = HashMap::new();
    for (number, entry) in history.iter().enumerate() {
        let (at, server) = (entry.at_us, entry.server);
        match &entry.observation {
            Observation::CallBegan(id) => {
                calls.count += 1;
                in_flight.insert(number, (server, at));
                let own = by_server.entry(server).or_default();
                *own += 1;
                calls.max_in_flight = calls.max_in_flight.max(in_flight.len());
                let at_s = at as f64 / 1e6;
                if in_flight.len() > bound {
                    let how =
                        format!("call of request {id}: {} in flight, the bound is {bound}", in_flight.len());
                    calls.over_bound.push(Violation { at_s, server, how });
                }
                if *own > share as usize {
                    calls.borrowed += 1;
                    let valid = leases.iter().filter(|((borrower, ..), lease)| {
                        *borrower == server && at <= lease.until_us + TOLERANCE_US
                    });
                    let borrowed: u32 = valid.map(|(_, lease)| lease.amount).sum();
                    let slots = (share + f64::from(borrowed) / 1e3 + 1e-9) as usize;
                    if *own > slots {
                        let how = format!(
                            "call of request {id}: {own} in flight from this server, which holds {slots} slots"
                        );
                        calls.without_slot.push(Violation { at_s, server, how });
                    }
                }
            }
            Observation::CallEnded(call) => {
                if let Some((server, _)) = in_flight.remove(call)
                    && let Some(own) = by_server.get_mut(&server)
                {
                    *own = own.saturating_sub(1);
                }
            }
            Observation::Asked { lender, number, round } => {
                asked.entry((server, *lender, *number, *round)).or_insert(at);
            }
            Observation::Granted { borrower, number, round, amount, length_ms } => {
                let since = asked.get(&(*borrower, server, *number, *round)).copied().unwrap_or(at);
                let length = (f64::from(*length_ms) * 1e3 * (1.0 + drift)) as u64;
                let lease =
                    leases.entry((*borrower, server, *number)).or_insert(Lease { amount: 0, until_us: 0 });
                lease.amount = *amount;
                lease.until_us = lease.until_us.max(since + length);
            }
            Observation::Returned { lender, number } => {
                // Calls that were on their way to the ledger at the return may still arrive.
                if let Some(lease) = leases.get_mut(&(server, *lender, *number)) {
                    lease.until_us = lease.until_us.min(at);
                }
            }
            // A restarted process numbers its lease requests from one again.
            Observation::Started => {
                asked.retain(|(borrower, ..), _| *borrower != server);
                leases.retain(|(borrower, ..), _| *borrower != server);
            }
            _ => {}
        }
        if number % 4_096 == 0 {
            leases.retain(|_, lease| lease.until_us + 10 * TOLERANCE_US > at);
        }
    }
    calls
}

/// Finds servers that a healthy server considered dead for longer than `patience_us` although both ran and were connected
/// all that time, and for `settled_us` before it.
pub fn wrongly_dead(
    history: &[HistoryEntry],
    servers: usize,
    settled_us: u64,
    patience_us: u64,
) -> Vec<Violation> {
    // Time since which each server has run without a fault.
    let mut healthy_since: Vec<Option<u64>> = vec![Some(0); servers];
    let mut dead: HashMap<(usize, usize), u64> = HashMap::new();
    let mut broken = Vec::new();
    let mut reported: std::collections::HashSet<(usize, usize)> = std::collections::HashSet::new();
    for entry in history {
        let (at, server) = (entry.at_us, entry.server);
        match entry.observation {
            Observation::Started | Observation::WentOn | Observation::Net(true) => {
                healthy_since[server] = Some(at)
            }
            Observation::Stopped | Observation::Killed | Observation::Net(false) => {
                healthy_since[server] = None
            }
            Observation::Believes { other, up } => {
                let pair = (server, other);
                if up {
                    dead.remove(&pair);
                    reported.remove(&pair);
                    continue;
                }
                let (Some(own), Some(others)) = (healthy_since[server], healthy_since[other]) else {
                    dead.remove(&pair);
                    continue;
                };
                let since = (*dead.entry(pair).or_insert(at)).max(own.max(others) + settled_us);
                dead.insert(pair, since);
                if at >= since + patience_us && reported.insert(pair) {
                    let how = format!("considers n{other} dead for {:.1} s", (at - since) as f64 / 1e6);
                    broken.push(Violation { at_s: at as f64 / 1e6, server, how });
                }
            }
            _ => {}
        }
    }
    broken
}

/// Finds servers considered dead at the first poll after `after_us`, when all servers run.
pub fn disagreements(history: &[HistoryEntry], after_us: u64) -> Vec<Violation> {
    let mut last: BTreeMap<(usize, usize), (u64, bool)> = BTreeMap::new();
    for entry in history {
        if let Observation::Believes { other, up } = entry.observation {
            let pair = (entry.server, other);
            // Keeps the last poll up to `after_us`, then the first one after it.
            if last.get(&pair).is_none_or(|(at, _)| *at < after_us) {
                last.insert(pair, (entry.at_us, up));
            }
        }
    }
    let dead = last.into_iter().filter(|(_, (_, up))| !up);
    dead.map(|((server, other), (at, _))| Violation {
        at_s: at as f64 / 1e6,
        server,
        how: format!("considers n{other} dead"),
    })
    .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(at_ms: u64, server: usize, observation: Observation) -> HistoryEntry {
        HistoryEntry { at_us: at_ms * 1_000, server, observation }
    }

    fn began(at_ms: u64, server: usize) -> HistoryEntry {
        entry(at_ms, server, Observation::CallBegan(format!("r{at_ms}")))
    }

    /// Guards the checker itself: it reports a violation with time and server, and accepts a correct history.
    #[test]
    fn calls_beyond_the_bound_or_without_a_slot_are_reported() {
        let within = [began(0, 0), began(1, 1), entry(2, 0, Observation::CallEnded(0)), began(3, 0)];
        let found = calls(&within, 2, 1.0, 0.01);
        assert_eq!((found.count, found.max_in_flight), (3, 2));
        assert!(found.over_bound.is_empty() && found.without_slot.is_empty());
        let exceeding = calls(&[began(0, 0), began(1, 1), began(7, 1)], 2, 1.0, 0.01);
        assert_eq!((exceeding.over_bound.len(), exceeding.without_slot.len()), (1, 1));
        assert_eq!((exceeding.over_bound[0].at_s, exceeding.over_bound[0].server), (0.007, 1));
        assert!(exceeding.over_bound[0].how.contains("request r7"));
    }

    #[test]
    fn lease_is_valid_from_its_request_until_its_return() {
        let granted = |calls_at: u64| {
            vec![
                entry(0, 0, Observation::Asked { lender: 1, number: 4, round: 0 }),
                entry(
                    900,
                    1,
                    Observation::Granted {
                        borrower: 0,
                        number: 4,
                        round: 0,
                        amount: 1_000,
                        length_ms: 2_000,
                    },
                ),
                began(1_000, 0),
                began(calls_at, 0),
            ]
        };
        assert_eq!(calls(&granted(1_900), 9, 1.0, 0.01).without_slot, []);
        let late = calls(&granted(2_800), 9, 1.0, 0.01);
        assert_eq!(
            (late.without_slot.len(), late.borrowed),
            (1, 1),
            "2 s from the asking, not from the grant"
        );
        let mut returned = granted(1_900);
        returned.insert(3, entry(1_500, 0, Observation::Returned { lender: 1, number: 4 }));
        assert_eq!(calls(&returned, 9, 1.0, 0.01).without_slot.len(), 1);
    }

    /// Guards the checker against a restarted server, whose first lease requests reuse the numbers of its previous process.
    #[test]
    fn lease_requests_of_a_restarted_server_are_distinct() {
        let asked = |at| entry(at, 0, Observation::Asked { lender: 1, number: 1, round: 0 });
        let grant =
            Observation::Granted { borrower: 0, number: 1, round: 0, amount: 1_000, length_ms: 2_000 };
        let history = [
            asked(0),
            entry(10, 0, Observation::Killed),
            entry(5_000, 0, Observation::Started),
            asked(9_000),
            entry(9_010, 1, grant),
            began(9_100, 0),
            began(9_200, 0),
        ];
        assert_eq!(calls(&history, 9, 1.0, 0.01).without_slot, []);
    }

    #[test]
    fn only_connected_servers_considered_dead_are_reported() {
        let believes = |at, up| entry(at, 0, Observation::Believes { other: 1, up });
        let history: Vec<HistoryEntry> = (0..30).map(|n| believes(n * 1_000, n > 20)).collect();
        assert_eq!(wrongly_dead(&history, 2, 5_000_000, 10_000_000).len(), 1);
        let mut cut = history.clone();
        cut.insert(8, entry(7_500, 1, Observation::Net(true)));
        assert_eq!(wrongly_dead(&cut, 2, 5_000_000, 10_000_000), []);
        assert_eq!(disagreements(&history, 10_000_000).len(), 1);
        assert_eq!(disagreements(&history, 25_000_000), []);
    }
}
