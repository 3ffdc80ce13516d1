//! What those who see the truth saw, in the order of its times, and what can be claimed of it. The checker reads the history
//! alone: it knows nothing of the daemon's code, nor of how the history came about.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What a stand-in saw of a server.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// A call of this request came to the ledger.
    CallBegan(String),
    /// The call with this number in the history is over, for the ledger too.
    CallEnded(usize),
    /// It asked a lender, as seen on the way.
    Asked { lender: usize, number: u64, round: u32 },
    /// It granted a borrower so many thousandths of a slot, for so long.
    Granted { borrower: usize, number: u64, round: u32, amount: u32, length_ms: u32 },
    /// It gave back what it had borrowed.
    Returned { lender: usize, number: u64 },
    /// Its process was started, stopped, or ended.
    Started,
    /// See `Started`.
    Stopped,
    /// See `Started`.
    WentOn,
    /// See `Started`.
    Killed,
    /// The net between some of its peers and it changed.
    Net(bool),
    /// It holds another server to be up, or dead.
    Believes { other: usize, up: bool },
}

/// An entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// In microseconds from the begin.
    pub at_us: u64,
    /// Of which server.
    pub server: usize,
    /// What.
    pub what: What,
}

/// A history that is written by many threads.
#[derive(Debug)]
pub struct History {
    begin: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Default for History {
    fn default() -> Self {
        Self { begin: Instant::now(), entries: Mutex::default() }
    }
}

impl History {
    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an entry down, now; its number.
    pub fn write(&self, server: usize, what: What) -> usize {
        let mut entries = self.entries();
        // Under the lock, so that entries are in the order of their times.
        let at_us = self.begin.elapsed().as_micros() as u64;
        entries.push(Entry { at_us, server, what });
        entries.len() - 1
    }

    /// The time since the begin, in microseconds.
    pub fn elapsed_us(&self) -> u64 {
        self.begin.elapsed().as_micros() as u64
    }

    /// All entries so far.
    pub fn read(&self) -> Vec<Entry> {
        self.entries().clone()
    }

    /// Writes all of it into a file, an entry a line.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        for (number, entry) in self.entries().iter().enumerate() {
            writeln!(file, "{number} {:.6} n{} {:?}", entry.at_us as f64 / 1e6, entry.server, entry.what)?;
        }
        file.flush()
    }
}

/// A claim that the history breaks: where and by whom.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    /// When, in seconds from the begin.
    pub at_s: f64,
    /// By which server.
    pub server: usize,
    /// How.
    pub how: String,
}

/// What the calls of a history come to.
#[derive(Debug, Default)]
pub struct Calls {
    /// Calls in all.
    pub count: usize,
    /// The most under way at a time.
    pub most: usize,
    /// Each call that was one too many for the ledger.
    pub over_bound: Vec<Broken>,
    /// Each call that its server had no slot for, by what it was granted.
    pub without_slot: Vec<Broken>,
    /// Calls that went by a borrowed slot.
    pub borrowed: usize,
}

/// What may pass between a look at the clock here and one there, in microseconds: the two ends are seen by threads of one
/// machine that may be busy.
const TOLERANCE_US: u64 = 250_000;

#[derive(Debug)]
struct Lease {
    amount: u32,
    until_us: u64,
}

/// Checks the calls against the bound, and against what each server had the right to: its own slots, and what it was
/// granted, counted from when it asked.
pub fn calls(history: &[Entry], bound: usize, share: f64, drift: f64) -> Calls {
    let mut calls = Calls::default();
    let mut under_way: HashMap<usize, (usize, u64)> = HashMap::new();
    let mut by_server: BTreeMap<usize, usize> = BTreeMap::new();
    let mut asked: HashMap<(usize, usize, u64, u32), u64> = HashMap::new();
    let mut leases: HashMap<(usize, usize, u64), Lease> = HashMap::new();
    for (number, entry) in history.iter().enumerate() {
        let (at, server) = (entry.at_us, entry.server);
        match &entry.what {
            What::CallBegan(id) => {
                calls.count += 1;
                under_way.insert(number, (server, at));
                let own = by_server.entry(server).or_default();
                *own += 1;
                calls.most = calls.most.max(under_way.len());
                let at_s = at as f64 / 1e6;
                if under_way.len() > bound {
                    let how =
                        format!("call of request {id}: {} under way, {bound} are the bound", under_way.len());
                    calls.over_bound.push(Broken { at_s, server, how });
                }
                if *own > share as usize {
                    calls.borrowed += 1;
                    let valid = leases.iter().filter(|((borrower, ..), lease)| {
                        *borrower == server && at <= lease.until_us + TOLERANCE_US
                    });
                    let borrowed: u32 = valid.map(|(_, lease)| lease.amount).sum();
                    let may = (share + f64::from(borrowed) / 1e3 + 1e-9) as usize;
                    if *own > may {
                        let how =
                            format!("call of request {id}: {own} of its own under way, it may have {may}");
                        calls.without_slot.push(Broken { at_s, server, how });
                    }
                }
            }
            What::CallEnded(begun) => {
                if let Some((server, _)) = under_way.remove(begun)
                    && let Some(own) = by_server.get_mut(&server)
                {
                    *own = own.saturating_sub(1);
                }
            }
            What::Asked { lender, number, round } => {
                asked.entry((server, *lender, *number, *round)).or_insert(at);
            }
            What::Granted { borrower, number, round, amount, length_ms } => {
                let since = asked.get(&(*borrower, server, *number, *round)).copied().unwrap_or(at);
                let length = (f64::from(*length_ms) * 1e3 * (1.0 + drift)) as u64;
                let lease =
                    leases.entry((*borrower, server, *number)).or_insert(Lease { amount: 0, until_us: 0 });
                lease.amount = *amount;
                lease.until_us = lease.until_us.max(since + length);
            }
            What::Returned { lender, number } => {
                // Calls that were on their way to the ledger when it was said may still come.
                if let Some(lease) = leases.get_mut(&(server, *lender, *number)) {
                    lease.until_us = lease.until_us.min(at);
                }
            }
            // Another life of it numbers its wishes from one again.
            What::Started => {
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

/// Servers that were believed dead for longer than `patience_us` by one that was well, though they ran and were heard all
/// that while, and for `settled_us` before it.
pub fn wrongly_dead(history: &[Entry], servers: usize, settled_us: u64, patience_us: u64) -> Vec<Broken> {
    // Since when nothing has happened to each.
    let mut well: Vec<Option<u64>> = vec![Some(0); servers];
    let mut dead: HashMap<(usize, usize), u64> = HashMap::new();
    let mut broken = Vec::new();
    let mut told: std::collections::HashSet<(usize, usize)> = std::collections::HashSet::new();
    for entry in history {
        let (at, server) = (entry.at_us, entry.server);
        match entry.what {
            What::Started | What::WentOn | What::Net(true) => well[server] = Some(at),
            What::Stopped | What::Killed | What::Net(false) => well[server] = None,
            What::Believes { other, up } => {
                let pair = (server, other);
                if up {
                    dead.remove(&pair);
                    told.remove(&pair);
                    continue;
                }
                let (Some(own), Some(others)) = (well[server], well[other]) else {
                    dead.remove(&pair);
                    continue;
                };
                let since = (*dead.entry(pair).or_insert(at)).max(own.max(others) + settled_us);
                dead.insert(pair, since);
                if at >= since + patience_us && told.insert(pair) {
                    let how = format!("holds n{other} dead for {:.1} s", (at - since) as f64 / 1e6);
                    broken.push(Broken { at_s: at as f64 / 1e6, server, how });
                }
            }
            _ => {}
        }
    }
    broken
}

/// Who held whom to be dead at the first look after a time, of servers that all run: nobody should.
pub fn disagreements(history: &[Entry], after_us: u64) -> Vec<Broken> {
    let mut last: BTreeMap<(usize, usize), (u64, bool)> = BTreeMap::new();
    for entry in history {
        if let What::Believes { other, up } = entry.what {
            let pair = (entry.server, other);
            // The last look up to the time, and the first one after it.
            if last.get(&pair).is_none_or(|(at, _)| *at < after_us) {
                last.insert(pair, (entry.at_us, up));
            }
        }
    }
    let wrong = last.into_iter().filter(|(_, (_, up))| !up);
    wrong
        .map(|((server, other), (at, _))| Broken {
            at_s: at as f64 / 1e6,
            server,
            how: format!("holds n{other} dead"),
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(at_ms: u64, server: usize, what: What) -> Entry {
        Entry { at_us: at_ms * 1_000, server, what }
    }

    fn began(at_ms: u64, server: usize) -> Entry {
        entry(at_ms, server, What::CallBegan(format!("r{at_ms}")))
    }

    /// Guards the checker itself: a history that breaks a claim is found, with time and server, and one that doesn't is not.
    #[test]
    fn calls_past_the_bound_and_calls_without_a_slot_are_found() {
        let within = [began(0, 0), began(1, 1), entry(2, 0, What::CallEnded(0)), began(3, 0)];
        let found = calls(&within, 2, 1.0, 0.01);
        assert_eq!((found.count, found.most), (3, 2));
        assert!(found.over_bound.is_empty() && found.without_slot.is_empty());
        let past = calls(&[began(0, 0), began(1, 1), began(7, 1)], 2, 1.0, 0.01);
        assert_eq!((past.over_bound.len(), past.without_slot.len()), (1, 1));
        assert_eq!((past.over_bound[0].at_s, past.over_bound[0].server), (0.007, 1));
        assert!(past.over_bound[0].how.contains("request r7"));
    }

    #[test]
    fn a_lease_counts_from_its_asking_and_until_its_return() {
        let granted = |calls_at: u64| {
            vec![
                entry(0, 0, What::Asked { lender: 1, number: 4, round: 0 }),
                entry(
                    900,
                    1,
                    What::Granted { borrower: 0, number: 4, round: 0, amount: 1_000, length_ms: 2_000 },
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
        returned.insert(3, entry(1_500, 0, What::Returned { lender: 1, number: 4 }));
        assert_eq!(calls(&returned, 9, 1.0, 0.01).without_slot.len(), 1);
    }

    /// Guards the checker against a server that started again: its first wishes have the numbers of its last life's.
    #[test]
    fn a_wish_of_another_life_is_another_wish() {
        let asked = |at| entry(at, 0, What::Asked { lender: 1, number: 1, round: 0 });
        let grant = What::Granted { borrower: 0, number: 1, round: 0, amount: 1_000, length_ms: 2_000 };
        let history = [
            asked(0),
            entry(10, 0, What::Killed),
            entry(5_000, 0, What::Started),
            asked(9_000),
            entry(9_010, 1, grant),
            began(9_100, 0),
            began(9_200, 0),
        ];
        assert_eq!(calls(&history, 9, 1.0, 0.01).without_slot, []);
    }

    #[test]
    fn one_that_is_well_and_held_dead_is_found_and_one_that_was_cut_off_is_not() {
        let believes = |at, up| entry(at, 0, What::Believes { other: 1, up });
        let history: Vec<Entry> = (0..30).map(|n| believes(n * 1_000, n > 20)).collect();
        assert_eq!(wrongly_dead(&history, 2, 5_000_000, 10_000_000).len(), 1);
        let mut cut = history.clone();
        cut.insert(8, entry(7_500, 1, What::Net(true)));
        assert_eq!(wrongly_dead(&cut, 2, 5_000_000, 10_000_000), []);
        assert_eq!(disagreements(&history, 10_000_000).len(), 1);
        assert_eq!(disagreements(&history, 25_000_000), []);
    }
}
