//! Real daemons that share the ledger's slots, and faults between them: do calls keep to the bound by the ledger's own count,
//! does each go by a slot of its own or one that was lent and isn't over, and do all agree again who is there?

use super::Claims;
use crate::fleet;
use crate::harness::history::{self, History, Violation};
use crate::harness::play::{Plan, Played, play};
use crate::harness::schedule::Schedule;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Slots of each server; the load leans so that some need more and some less.
const SHARE: f64 = 3.0;
const LOAD: f64 = 0.85;
const LEAN: f64 = 4.0;
/// How far the clocks of one machine are apart in their rate: nothing to speak of, but the settings allow so much.
const DRIFT: f64 = 0.01;
/// A server is well after so long, and nobody may hold it dead for so long then.
const SETTLED_US: u64 = 5_000_000;
const WRONG_US: u64 = 10_000_000;
/// After the last fault all agree within this.
const AGREE_US: u64 = 5_000_000;

/// What is drilled.
#[derive(Debug, Clone)]
pub struct Drill {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Servers.
    pub servers: usize,
    /// How long.
    pub seconds: u64,
    /// Leases without their rules of time. Must fail.
    pub plain: bool,
    /// Where the history goes, if it is wanted.
    pub history: Option<PathBuf>,
}

/// Plays it, prints the claims, and says whether all are kept.
pub fn run(drill: &Drill) -> io::Result<bool> {
    let schedule = Schedule::draw(drill.seed, drill.servers, drill.seconds * 1_000);
    println!("seed {}, {} servers with {SHARE} slots each, {} s:", drill.seed, drill.servers, drill.seconds);
    schedule.print();
    let stop = Arc::<AtomicBool>::default();
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let plan = Plan {
        daemon: drill.daemon.clone(),
        seed: drill.seed,
        servers: drill.servers,
        length: Duration::from_secs(drill.seconds),
        share: SHARE,
        lends: true,
        plain: drill.plain,
        load: LOAD,
        busy_zone_weight: LEAN,
        schedule,
    };
    let folder = fleet::folder(if drill.plain { "drill-shared-plain" } else { "drill-shared" })?;
    let history = Arc::<History>::default();
    let played = play(&plan, &folder, &history, &stop)?;
    if let Some(path) = &drill.history {
        history.save(path)?;
    }
    fleet::remove(&folder);
    let mut claims = Claims::default();
    claim(&mut claims, &plan, &played);
    if played.cut_short {
        println!("ended before its time: the claims are of what was played");
    }
    Ok(claims.all_kept() && !played.cut_short)
}

/// The claims of what was played.
pub fn claim(claims: &mut Claims, plan: &Plan, played: &Played) {
    let calls = history::calls(&played.history, played.bound, plan.share, DRIFT);
    claims.claim(
        calls.over_bound.is_empty() && calls.count > 0,
        "calls under way never past the bound, by the ledger's own count",
        format!(
            "{} at the most of {}, {} calls{}",
            calls.max_in_flight,
            played.bound,
            calls.count,
            first(&calls.over_bound)
        ),
    );
    claims.claim(
        calls.without_slot.is_empty() && calls.borrowed > 0,
        "no call by a lease that was over, and some by one that wasn't",
        format!("{} past a server's own slots{}", calls.borrowed, first(&calls.without_slot)),
    );
    let wrong = history::wrongly_dead(&played.history, plan.servers, SETTLED_US, WRONG_US);
    claims.claim(
        wrong.is_empty(),
        "no server that was there all along held dead for 10 s",
        format!("{}{}", wrong.len(), first(&wrong)),
    );
    let healed =
        played.history.iter().filter(|entry| fault(&entry.observation)).map(|entry| entry.at_us).max();
    let apart = history::disagreements(&played.history, healed.unwrap_or(0) + AGREE_US);
    claims.claim(
        apart.is_empty(),
        "5 s after the last fault all agree who is there",
        format!("{} disagree{}", apart.len(), first(&apart)),
    );
    let unanswered = 1_000.0 * played.unanswered as f64 / played.answerable.max(1) as f64;
    claims.claim(
        unanswered < 3.0 && played.answerable > 0 && played.false_answers == 0,
        "tries answered by servers that ran, all but 3 in 1,000, and none falsely",
        format!(
            "{} of {} without an answer, {} false",
            played.unanswered, played.answerable, played.false_answers
        ),
    );
    claims.claim(
        played.repeated_saves == 0 && played.saves > 0,
        "saves run twice",
        format!("{} of {}", played.repeated_saves, played.saves),
    );
    claims.claim(played.crashed.is_empty(), "no process ended by itself", format!("{:?}", played.crashed));
    let service = 100.0 * played.served as f64 / played.asked.max(1) as f64;
    println!("  served {service:.1}% of {} requests", played.asked);
}

fn fault(what: &history::Observation) -> bool {
    use history::Observation;
    matches!(
        what,
        Observation::Stopped
            | Observation::WentOn
            | Observation::Killed
            | Observation::Started
            | Observation::Net(_)
    )
}

/// The first of what breaks a claim, and how many there are.
fn first(broken: &[Violation]) -> String {
    match broken.first() {
        None => String::new(),
        Some(one) => format!(
            "; {} broken, the first at {:.3} s by n{}: {}",
            broken.len(),
            one.at_s,
            one.server,
            one.how
        ),
    }
}
