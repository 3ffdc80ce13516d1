//! Kills under load: does a save run once though its server dies again and again, and does every station that insists get
//! an answer that a run made?

use super::{Claims, quantile};
use crate::bench::store::fill;
use crate::fleet::{self, Fleet, FleetSpec};
use crate::load::classes;
use crate::processor::Spec;
use crate::saver::{Saver, Tried};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Stations, and how long each insists: within the window of the kit's settings.
const STATIONS: u64 = 12;
const INSISTS: Duration = Duration::from_secs(6);
/// Between kills, from and to.
const LIVES_MS: [u64; 2] = [250, 900];
/// Records in the folder of the start that is timed, and what that may take.
const RECORDS: usize = 100_000;
const START_MS: u64 = 500;

/// What is drilled.
#[derive(Debug, Clone)]
pub struct Drill {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Kills with the store; half as many without it.
    pub kills: usize,
    /// Without the protection: claim of a server with no store what is claimed of one with it. Must fail.
    pub plain: bool,
}

/// What one series of kills came to.
#[derive(Debug, Default)]
struct Played {
    asked: usize,
    unanswered: usize,
    served: usize,
    /// Failed because nobody can know whether it ran, and for another reason.
    unknown: usize,
    failed: usize,
    false_answers: usize,
    tries: usize,
    refused: usize,
    twice: usize,
    runs: usize,
    /// From each start to the store's word, in ms.
    opened: Vec<u64>,
}

/// Plays it, prints the claims, and says whether all are kept.
pub fn run(drill: &Drill) -> io::Result<bool> {
    println!("seed {}, {} kills with {STATIONS} stations that insist", drill.seed, drill.kills);
    let mut claims = Claims::default();
    let with = play(drill, !drill.plain, drill.kills)?;
    claims.claim(
        with.twice == 0 && with.runs > 0,
        "saves run twice",
        format!("{} of {} runs", with.twice, with.runs),
    );
    claims.claim(
        with.unanswered == 0 && with.asked > 0,
        "saves without a final answer",
        format!("{} of {}", with.unanswered, with.asked),
    );
    claims.claim(with.false_answers == 0, "served with what no run made", with.false_answers);
    let refused = 100.0 * with.refused as f64 / with.tries.max(1) as f64;
    claims.claim(
        refused < 1.0,
        "tries refused for the store under 1%",
        format!("{refused:.2}% of {} (load is far below capacity: no other cause)", with.tries),
    );
    println!(
        "  {} saves: {} served, {} failed, {} with an unknown outcome; {} tries",
        with.asked, with.served, with.failed, with.unknown, with.tries
    );
    let mut opened = with.opened.clone();
    opened.sort_unstable();
    println!("  the store was read in p50 {} ms, most {} ms", quantile(&opened, 0.5), quantile(&opened, 1.0));
    if !drill.plain {
        let without = play(drill, false, (drill.kills / 2).max(1))?;
        claims.claim(
            without.twice > 0,
            "without the store saves do run twice, or this proves nothing",
            format!("{} of {} runs", without.twice, without.runs),
        );
        let (read, answered) = start_with(drill, RECORDS)?;
        claims.claim(
            read <= START_MS,
            &format!("{RECORDS} records read within {START_MS} ms"),
            format!("{read} ms; first save answered {answered} ms after the start of the process"),
        );
    }
    Ok(claims.all_kept())
}

fn spec(drill: &Drill, store: bool, folder: PathBuf) -> FleetSpec {
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(20))).collect();
    FleetSpec {
        daemon: drill.daemon.clone(),
        processor: Spec { classes: work, cores: 12, seed: drill.seed, ..Spec::default() },
        store,
        folder,
        ..FleetSpec::default()
    }
}

fn play(drill: &Drill, store: bool, kills: usize) -> io::Result<Played> {
    let folder = fleet::folder(if store { "drill-store" } else { "drill-no-store" })?;
    let mut fleet = Fleet::start(&spec(drill, store, folder.clone()))?;
    let server = fleet.nodes[0].address;
    let stop = Arc::<AtomicBool>::default();
    let stations: Vec<_> = (0..STATIONS)
        .map(|number| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || station(server, number + 1, &stop))
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(drill.seed);
    let mut played = Played::default();
    let [least, most] = LIVES_MS;
    for _ in 0..kills {
        thread::sleep(Duration::from_millis(least + rng.next_u64() % (most - least)));
        fleet.nodes[0].kill();
        fleet.nodes[0].spawn()?;
    }
    thread::sleep(Duration::from_millis(most));
    stop.store(true, Ordering::Relaxed);
    for station in stations {
        let one = station.join().map_err(|_| io::Error::other("a station's thread has panicked"))?;
        played.asked += one.asked;
        played.unanswered += one.unanswered;
        played.served += one.served;
        played.unknown += one.unknown;
        played.failed += one.failed;
        played.false_answers += one.false_answers;
        played.tries += one.tries;
        played.refused += one.refused;
    }
    let log = fleet.nodes[0].log();
    let read = log.split("the store was read in ").skip(1);
    played.opened = read.filter_map(|text| text.split_once(" ms")?.0.parse().ok()).collect();
    fleet.collect();
    fleet.nodes[0].kill();
    let mut runs = HashMap::<Vec<u8>, usize>::new();
    for begun in &fleet.nodes[0].begun {
        *runs.entry(begun.body.clone()).or_default() += 1;
    }
    played.runs = runs.values().sum();
    played.twice = runs.values().filter(|count| **count > 1).count();
    drop(fleet);
    fleet::remove(&folder);
    Ok(played)
}

/// Saves one thing after another, and insists on each.
fn station(server: std::net::SocketAddr, number: u64, stop: &AtomicBool) -> Played {
    let (mut saver, mut played) = (Saver::new(server, number), Played::default());
    let mut n = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let (token, body) = (format!("{number:016x}{n:016x}"), format!("{number}-{n}"));
        let (mut tries, mut refused) = (0, 0);
        let end = saver.insist(&token, &body, INSISTS, |tried| {
            tries += usize::from(*tried != Tried::NoConnection);
            refused += usize::from(matches!(tried, Tried::Refused(_)));
        });
        played.asked += 1;
        played.tries += tries;
        played.refused += refused;
        match end {
            None => played.unanswered += 1,
            Some(Tried::Served(result)) => {
                played.served += 1;
                played.false_answers += usize::from(result != format!("result of {body}").into_bytes());
            }
            Some(Tried::Failed(Some(_))) => played.unknown += 1,
            Some(_) => played.failed += 1,
        }
        thread::sleep(Duration::from_millis(5));
    }
    played
}

/// A start with so many records: milliseconds until the store was read, and until the first save was answered.
fn start_with(drill: &Drill, records: usize) -> io::Result<(u64, u64)> {
    let folder = fleet::folder("drill-start")?;
    fill(&folder.join("n0.store"), records, 100)?;
    let mut fleet = Fleet::start(&spec(drill, true, folder.clone()))?;
    fleet.nodes[0].kill();
    let (start, mut saver) = (Instant::now(), Saver::new(fleet.nodes[0].address, 77));
    fleet.nodes[0].spawn()?;
    let end = saver.insist("start", "start", INSISTS, |_| {});
    let answered = start.elapsed().as_millis() as u64;
    let read = fleet.nodes[0].opened().unwrap_or(u64::MAX);
    drop(fleet);
    fleet::remove(&folder);
    match end {
        Some(Tried::Served(_)) => Ok((read, answered)),
        other => Err(io::Error::other(format!("expected the first save to be served, got {other:?}"))),
    }
}
