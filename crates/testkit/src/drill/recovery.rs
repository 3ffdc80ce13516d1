//! Kills under load: checks that each save runs once although its server is killed repeatedly, and that every station
//! that keeps retrying gets an answer produced by a run.

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

/// Number of stations, and how long each retries a save; within the window of the kit's settings.
const STATIONS: u64 = 12;
const RETRY_DURATION: Duration = Duration::from_secs(6);
/// Minimum and maximum time between kills, in milliseconds.
const KILL_INTERVAL_MS: [u64; 2] = [250, 900];
/// Records in the store of the timed start, and the maximum time to read them.
const RECORDS: usize = 100_000;
const MAX_READ_MS: u64 = 500;

/// Parameters of a drill.
#[derive(Debug, Clone)]
pub struct Drill {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of kills with the store; half as many are made without it.
    pub kills: usize,
    /// Checks a server without a store against the claims for one with a store. The drill must fail then.
    pub plain: bool,
}

/// Totals of one series of kills.
#[derive(Debug, Default)]
struct Totals {
    asked: usize,
    unanswered: usize,
    served: usize,
    /// Number of saves that failed with an unknown outcome.
    unknown: usize,
    failed: usize,
    false_answers: usize,
    attempts: usize,
    refused: usize,
    twice: usize,
    runs: usize,
    /// Time to read the store at each start, in ms.
    opened: Vec<u64>,
}

/// Runs the drill, prints the claims and returns whether all are kept.
pub fn run(drill: &Drill) -> io::Result<bool> {
    println!("seed {}, {} kills with {STATIONS} stations that insist", drill.seed, drill.kills);
    let mut claims = Claims::default();
    let with = run_kills(drill, !drill.plain, drill.kills)?;
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
    let refused = 100.0 * with.refused as f64 / with.attempts.max(1) as f64;
    claims.claim(
        refused < 1.0,
        "tries refused for the store under 1%",
        format!("{refused:.2}% of {} (load is far below capacity: no other cause)", with.attempts),
    );
    println!(
        "  {} saves: {} served, {} failed, {} with an unknown outcome; {} tries",
        with.asked, with.served, with.failed, with.unknown, with.attempts
    );
    let mut opened = with.opened.clone();
    opened.sort_unstable();
    println!("  the store was read in p50 {} ms, most {} ms", quantile(&opened, 0.5), quantile(&opened, 1.0));
    if !drill.plain {
        let without = run_kills(drill, false, (drill.kills / 2).max(1))?;
        claims.claim(
            without.twice > 0,
            "without the store saves do run twice, or this proves nothing",
            format!("{} of {} runs", without.twice, without.runs),
        );
        let (read, answered) = start_with_records(drill, RECORDS)?;
        claims.claim(
            read <= MAX_READ_MS,
            &format!("{RECORDS} records read within {MAX_READ_MS} ms"),
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

fn run_kills(drill: &Drill, store: bool, kills: usize) -> io::Result<Totals> {
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
    let mut totals = Totals::default();
    let [min_ms, max_ms] = KILL_INTERVAL_MS;
    for _ in 0..kills {
        thread::sleep(Duration::from_millis(min_ms + rng.next_u64() % (max_ms - min_ms)));
        fleet.nodes[0].kill();
        fleet.nodes[0].spawn()?;
    }
    thread::sleep(Duration::from_millis(max_ms));
    stop.store(true, Ordering::Relaxed);
    for station in stations {
        let one = station.join().map_err(|_| io::Error::other("a station's thread panicked"))?;
        totals.asked += one.asked;
        totals.unanswered += one.unanswered;
        totals.served += one.served;
        totals.unknown += one.unknown;
        totals.failed += one.failed;
        totals.false_answers += one.false_answers;
        totals.attempts += one.attempts;
        totals.refused += one.refused;
    }
    let log = fleet.nodes[0].log();
    let read = log.split("the store was read in ").skip(1);
    totals.opened = read.filter_map(|text| text.split_once(" ms")?.0.parse().ok()).collect();
    fleet.collect();
    fleet.nodes[0].kill();
    let mut runs = HashMap::<Vec<u8>, usize>::new();
    for begun in &fleet.nodes[0].begun {
        *runs.entry(begun.body.clone()).or_default() += 1;
    }
    totals.runs = runs.values().sum();
    totals.twice = runs.values().filter(|count| **count > 1).count();
    drop(fleet);
    fleet::remove(&folder);
    Ok(totals)
}

/// Makes one save after another and retries each until it has a final answer.
fn station(server: std::net::SocketAddr, number: u64, stop: &AtomicBool) -> Totals {
    let (mut saver, mut totals) = (Saver::new(server, number), Totals::default());
    let mut n = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let (token, body) = (format!("{number:016x}{n:016x}"), format!("{number}-{n}"));
        let (mut attempts, mut refused) = (0, 0);
        let end = saver.insist(&token, &body, RETRY_DURATION, |tried| {
            attempts += usize::from(*tried != Tried::NoConnection);
            refused += usize::from(matches!(tried, Tried::Refused(_)));
        });
        totals.asked += 1;
        totals.attempts += attempts;
        totals.refused += refused;
        match end {
            None => totals.unanswered += 1,
            Some(Tried::Served(result)) => {
                totals.served += 1;
                totals.false_answers += usize::from(result != format!("result of {body}").into_bytes());
            }
            Some(Tried::Failed(Some(_))) => totals.unknown += 1,
            Some(_) => totals.failed += 1,
        }
        thread::sleep(Duration::from_millis(5));
    }
    totals
}

/// Starts a server with `records` stored records; returns the milliseconds until the store was read, and until the
/// first save was answered.
fn start_with_records(drill: &Drill, records: usize) -> io::Result<(u64, u64)> {
    let folder = fleet::folder("drill-start")?;
    fill(&folder.join("n0.store"), records, 100)?;
    let mut fleet = Fleet::start(&spec(drill, true, folder.clone()))?;
    fleet.nodes[0].kill();
    let (start, mut saver) = (Instant::now(), Saver::new(fleet.nodes[0].address, 77));
    fleet.nodes[0].spawn()?;
    let end = saver.insist("start", "start", RETRY_DURATION, |_| {});
    let answered = start.elapsed().as_millis() as u64;
    let read = fleet.nodes[0].opened().unwrap_or(u64::MAX);
    drop(fleet);
    fleet::remove(&folder);
    match end {
        Some(Tried::Served(_)) => Ok((read, answered)),
        other => Err(io::Error::other(format!("expected the first save to be served, got {other:?}"))),
    }
}
