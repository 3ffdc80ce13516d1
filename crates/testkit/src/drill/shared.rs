//! Real daemons that share the ledger's slots, with faults between them. Checks that the calls under way stay within
//! the bound by the ledger's own count, that each call uses a slot of its server or one with a valid lease, and that
//! all servers agree on the membership again.

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

/// Slots per server. The load is skewed, so that some servers need more slots and some fewer.
const SLOTS_PER_SERVER: f64 = 3.0;
const LOAD: f64 = 0.85;
const LOAD_SKEW: f64 = 4.0;
/// Permitted relative clock drift in the settings; clocks on one machine have practically none.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Time after which a running server counts as stable, and the maximum time for which a stable server may be
/// considered dead.
const SETTLING_TIME_US: u64 = 5_000_000;
const MAX_WRONGLY_DEAD_US: u64 = 10_000_000;
/// Time after the last fault until all servers must agree.
const AGREEMENT_TIME_US: u64 = 5_000_000;

/// Parameters of a drill.
#[derive(Debug, Clone)]
pub struct Drill {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of servers.
    pub servers: usize,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Runs leases without their time rules. The drill must fail then.
    pub plain: bool,
    /// File to write the history to, if wanted.
    pub history: Option<PathBuf>,
}

/// Runs the drill, prints the claims and returns whether all are kept.
pub fn run(drill: &Drill) -> io::Result<bool> {
    let schedule = Schedule::draw(drill.seed, drill.servers, drill.seconds * 1_000);
    println!(
        "seed {}, {} servers with {SLOTS_PER_SERVER} slots each, {} s:",
        drill.seed, drill.servers, drill.seconds
    );
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
        share: SLOTS_PER_SERVER,
        lends: true,
        plain: drill.plain,
        load: LOAD,
        busy_zone_weight: LOAD_SKEW,
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
        println!("stopped before its end: the claims cover what was run");
    }
    Ok(claims.all_kept() && !played.cut_short)
}

/// Makes the claims from the recorded history.
pub fn claim(claims: &mut Claims, plan: &Plan, played: &Played) {
    let calls = history::calls(&played.history, played.bound, plan.share, MAX_CLOCK_DRIFT);
    claims.claim(
        calls.over_bound.is_empty() && calls.count > 0,
        "calls under way never past the bound, by the ledger's own count",
        format!(
            "{} at the most of {}, {} calls{}",
            calls.max_in_flight,
            played.bound,
            calls.count,
            first_violation(&calls.over_bound)
        ),
    );
    claims.claim(
        calls.without_slot.is_empty() && calls.borrowed > 0,
        "no call by a lease that was over, and some by one that wasn't",
        format!("{} past a server's own slots{}", calls.borrowed, first_violation(&calls.without_slot)),
    );
    let wrong = history::wrongly_dead(&played.history, plan.servers, SETTLING_TIME_US, MAX_WRONGLY_DEAD_US);
    claims.claim(
        wrong.is_empty(),
        "no server that was there all along held dead for 10 s",
        format!("{}{}", wrong.len(), first_violation(&wrong)),
    );
    let last_fault =
        played.history.iter().filter(|entry| is_fault(&entry.observation)).map(|entry| entry.at_us).max();
    let disagreements = history::disagreements(&played.history, last_fault.unwrap_or(0) + AGREEMENT_TIME_US);
    claims.claim(
        disagreements.is_empty(),
        "5 s after the last fault all agree who is there",
        format!("{} disagree{}", disagreements.len(), first_violation(&disagreements)),
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

fn is_fault(what: &history::Observation) -> bool {
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

/// Describes the first violation of a claim and the number of violations.
fn first_violation(broken: &[Violation]) -> String {
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
