//! What happens to a fleet of peers, drawn from a seed or set by hand.

use crate::streams::{Streams, one_of, unit, within};
use rand_pcg::Pcg64Mcg;

/// Something that begins and ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
    /// What it is.
    pub what: FaultKind,
}

/// Kinds of trouble; servers are told by their numbers.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// These hear nothing of the others.
    Deaf(Vec<usize>),
    /// These and the others hear nothing of each other.
    Cut(Vec<usize>),
    /// Datagrams take so many seconds longer at the most.
    Slow(f64),
    /// These are stopped, and go on.
    Stop(Vec<usize>),
    /// These are killed, and start again at its end; their wall clocks are set back by so many seconds.
    Kill(Vec<usize>, f64),
    /// For these the ledger's port is closed.
    NoLedger(Vec<usize>),
    /// Calls take so many times longer.
    SlowLedger(f64),
}

/// All troubles of a day.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Faults(pub Vec<Fault>);

/// A day's troubles for so many servers and seconds: one to four, that may overlap.
pub fn draw(seed: u64, servers: usize, seconds: f64) -> Faults {
    let mut rng = Streams::new(seed).of("peer troubles", 0);
    let count = 1 + one_of(&mut rng, 4);
    let faults = (0..count).map(|_| {
        let from_s = within(&mut rng, [2.0, seconds * 0.6]);
        let long = within(&mut rng, [0.3, seconds * 0.35]);
        let what = match one_of(&mut rng, 9) {
            0 => FaultKind::Deaf(some(&mut rng, servers, 1.0 / 3.0)),
            1 => FaultKind::Cut(some(&mut rng, servers, 1.0 / 3.0)),
            2 => FaultKind::Cut((0..servers / 2).collect()),
            3 => FaultKind::Slow(within(&mut rng, [0.05, 4.0])),
            4 => FaultKind::Stop(some(&mut rng, servers, 0.25)),
            5 => FaultKind::Kill(some(&mut rng, servers, 0.25), 0.0),
            6 => FaultKind::Kill(
                some(&mut rng, servers, 0.6),
                if unit(&mut rng) < 0.3 { 3_600.0 } else { 0.0 },
            ),
            7 => FaultKind::NoLedger(some(&mut rng, servers, 0.3)),
            _ => FaultKind::SlowLedger(within(&mut rng, [2.0, 20.0])),
        };
        // A machine that is killed is back sooner than it would be noticed, or later.
        let long = match what {
            FaultKind::Kill(..) if unit(&mut rng) < 0.6 => within(&mut rng, [0.25, 1.5]),
            _ => long,
        };
        Fault { from_s, to_s: (from_s + long).min(seconds - 1.0), what }
    });
    Faults(faults.collect())
}

/// At least one, and up to this part of them.
fn some(rng: &mut Pcg64Mcg, servers: usize, part: f64) -> Vec<usize> {
    let most = ((servers as f64 * part).round() as usize).max(1);
    let count = 1 + one_of(rng, most);
    let mut all: Vec<usize> = (0..servers).collect();
    for place in 0..count.min(servers) {
        let with = place + one_of(rng, servers - place);
        all.swap(place, with);
    }
    all.truncate(count);
    all.sort_unstable();
    all
}
