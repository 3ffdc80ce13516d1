//! Faults of a fleet of peers, drawn from a seed or set by hand.

use crate::streams::{Streams, one_of, unit, within};
use rand_pcg::Pcg64Mcg;

/// A fault with its start and end.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Start in seconds.
    pub from_s: f64,
    /// End in seconds.
    pub to_s: f64,
    /// Kind of the fault.
    pub what: FaultKind,
}

/// Kinds of faults; servers are given by number.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// These servers receive nothing from the others, which still receive from them.
    Deaf(Vec<usize>),
    /// These servers are partitioned from the others.
    Cut(Vec<usize>),
    /// Datagrams take up to this many seconds longer.
    Slow(f64),
    /// The processes of these servers are stopped and later continued.
    Stop(Vec<usize>),
    /// These servers are killed and restart at the end of the fault, with their wall clocks set back by this many
    /// seconds.
    Kill(Vec<usize>, f64),
    /// The ledger refuses connections from these servers.
    NoLedger(Vec<usize>),
    /// Calls take this many times longer.
    SlowLedger(f64),
}

/// All faults of a run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Faults(pub Vec<Fault>);

/// Draws one to four faults, which may overlap, for a fleet and a duration in seconds.
pub fn draw(seed: u64, servers: usize, seconds: f64) -> Faults {
    let mut rng = Streams::new(seed).of("peer troubles", 0);
    let count = 1 + one_of(&mut rng, 4);
    let faults = (0..count).map(|_| {
        let from_s = within(&mut rng, [2.0, seconds * 0.6]);
        let duration_s = within(&mut rng, [0.3, seconds * 0.35]);
        let what = match one_of(&mut rng, 9) {
            0 => FaultKind::Deaf(server_sample(&mut rng, servers, 1.0 / 3.0)),
            1 => FaultKind::Cut(server_sample(&mut rng, servers, 1.0 / 3.0)),
            2 => FaultKind::Cut((0..servers / 2).collect()),
            3 => FaultKind::Slow(within(&mut rng, [0.05, 4.0])),
            4 => FaultKind::Stop(server_sample(&mut rng, servers, 0.25)),
            5 => FaultKind::Kill(server_sample(&mut rng, servers, 0.25), 0.0),
            6 => FaultKind::Kill(
                server_sample(&mut rng, servers, 0.6),
                if unit(&mut rng) < 0.3 { 3_600.0 } else { 0.0 },
            ),
            7 => FaultKind::NoLedger(server_sample(&mut rng, servers, 0.3)),
            _ => FaultKind::SlowLedger(within(&mut rng, [2.0, 20.0])),
        };
        // A killed machine may return before or after the others notice.
        let duration_s = match what {
            FaultKind::Kill(..) if unit(&mut rng) < 0.6 => within(&mut rng, [0.25, 1.5]),
            _ => duration_s,
        };
        Fault { from_s, to_s: (from_s + duration_s).min(seconds - 1.0), what }
    });
    Faults(faults.collect())
}

/// Draws at least one server and at most this fraction of them.
fn server_sample(rng: &mut Pcg64Mcg, servers: usize, part: f64) -> Vec<usize> {
    let most = ((servers as f64 * part).round() as usize).max(1);
    let count = 1 + one_of(rng, most);
    let mut all: Vec<usize> = (0..servers).collect();
    for place in 0..count.min(servers) {
        let other = place + one_of(rng, servers - place);
        all.swap(place, other);
    }
    all.truncate(count);
    all.sort_unstable();
    all
}
