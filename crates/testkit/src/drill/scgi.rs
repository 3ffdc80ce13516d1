//! Mixed Thrift and SCGI traffic beyond capacity. Checks that both frontends get equal service per unit of priority
//! weight, and that Thrift clients are served no worse than without SCGI.

use super::Claims;
use crate::fleet::{self, Fleet, FleetSpec};
use crate::load::{Attempt, End, Proxy, ProxyBehavior, Records, Repeats, StaticServers, classes, tally};
use crate::processor::Spec;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// Priority weights of the classes in the order of [`classes`], and the fraction of it that a late answer earns.
const CLASS_WEIGHTS: [(f64, f64); 4] = [(1.0, 0.0), (1.0, 0.0), (2.0, 0.0), (4.0, 0.2)];
/// Mean work of a run in milliseconds, on cores of speed 1.
const WORK_MS: u64 = 40;
/// Fraction of the saves that is repeated over the other frontend.
const REPEATED_SHARE: f64 = 0.5;
/// Number of servers per fleet, and of proxies.
const SERVERS: usize = 2;
const PROXIES: usize = 3;

/// Parameters of a drill.
#[derive(Debug, Clone)]
pub struct Drill {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of the first run; each further run uses the next one.
    pub seed: u64,
    /// Number of runs.
    pub runs: usize,
    /// Duration of each run, in seconds.
    pub seconds: u64,
    /// Offered load, as a fraction of the capacity of the cores.
    pub load: f64,
    /// Whether the repeats of a save use another token.
    pub plain: bool,
}

/// Observations of one run.
#[derive(Debug, Default)]
struct Run {
    clients: Vec<Records>,
    /// Number of runs of label-save by server and request body.
    saves: HashMap<(SocketAddr, Vec<u8>), usize>,
    began: usize,
}

/// Runs the drill, prints the claims and returns whether all are kept.
pub fn run(drill: &Drill) -> io::Result<bool> {
    let folder = fleet::folder("drill-scgi")?;
    println!(
        "seeds {} to {}, {} s each at {:.0}% of capacity",
        drill.seed,
        drill.seed + drill.runs as u64 - 1,
        drill.seconds,
        100.0 * drill.load
    );
    let mut claims = Claims::default();
    let (mut mixed, mut alone) = (Vec::new(), Vec::new());
    // Runs follow one another: in parallel they would share this machine's cores unevenly.
    for n in 0..drill.runs {
        let seed = drill.seed + n as u64;
        mixed.push(run_traffic(drill, seed, 0.5, folder.join(format!("mixed{n}")))?);
        alone.push(run_traffic(drill, seed, 0.0, folder.join(format!("alone{n}")))?);
    }
    let share = |runs: &[Run], scgi: Option<bool>| {
        let (mut earned, mut offered) = (0.0, 0.0);
        for one in runs.iter().flat_map(|run| &run.clients).flat_map(|client| &client.requests) {
            if scgi.is_none_or(|scgi| scgi == one.scgi) {
                let ((priority_weight, late), aim) =
                    (CLASS_WEIGHTS[one.class], classes()[one.class].aim.as_millis() as u64);
                offered += priority_weight;
                earned +=
                    priority_weight * one.took_ms.map_or(0.0, |took| if took <= aim { 1.0 } else { late });
            }
        }
        100.0 * earned / f64::max(offered, 1e-9)
    };
    let (thrift, scgi) = (share(&mixed, Some(false)), share(&mixed, Some(true)));
    let without = share(&alone, None);
    claims.claim(
        (thrift - scgi).abs() <= 2.0,
        "service per unit of worth equal within 2 points",
        format!("Thrift {thrift:.1}, SCGI {scgi:.1}"),
    );
    claims.claim(
        thrift >= without - 1.0,
        "Thrift's service not under that without SCGI by more than 1 point",
        format!("{thrift:.1} against {without:.1}"),
    );
    let twice = mixed.iter().flat_map(|run| run.saves.values()).filter(|count| **count > 1).count();
    let saves: usize = mixed.iter().flat_map(|run| run.saves.values()).sum();
    claims.claim(
        twice == 0 && saves > 0,
        "label-save run twice at a server",
        format!("{twice} of {saves} runs"),
    );
    let tries: Vec<&Attempt> =
        mixed.iter().flat_map(|run| &run.clients).flat_map(|client| &client.tries).collect();
    let silent =
        tries.iter().filter(|t| matches!(t.end, End::Lost | End::TimedOut | End::NoConnection)).count();
    let false_answers = tries.iter().filter(|t| t.end == End::Served && !t.correct_result).count();
    claims.claim(silent == 0, "without a final answer in its time", format!("{silent} of {}", tries.len()));
    claims.claim(false_answers == 0, "served with what no run made", false_answers);
    tally(tries.iter().copied());
    let began: usize = mixed.iter().map(|run| run.began).sum();
    println!("{began} runs in all");
    if claims.all_kept() {
        fleet::remove(&folder);
    } else {
        println!("logs are in {}", folder.display());
    }
    Ok(claims.all_kept())
}

fn run_traffic(drill: &Drill, seed: u64, scgi_share: f64, folder: PathBuf) -> io::Result<Run> {
    std::fs::create_dir_all(&folder)?;
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(WORK_MS))).collect();
    let spec = FleetSpec {
        daemon: drill.daemon.clone(),
        servers: SERVERS,
        processor: Spec { classes: work, seed, ..Spec::default() },
        callers: PROXIES,
        scgi: true,
        folder,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&spec)?;
    let all: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
    let capacity = SERVERS as f64 * f64::from(spec.processor.cores) * 1e3 / WORK_MS as f64;
    let mut proxies = Vec::new();
    // Half of the saves are repeated over the other frontend before, during or after the first run.
    let share = if scgi_share > 0.0 { REPEATED_SHARE } else { 0.0 };
    let repeats = Repeats { share, within_ms: 600, separate_keys: drill.plain };
    for n in 0..PROXIES {
        let rate = drill.load * capacity / PROXIES as f64;
        let habit = ProxyBehavior { scgi_share, repeats, ..ProxyBehavior::thrift(rate, 2, true) };
        let list = StaticServers { all: all.clone(), turn: n };
        proxies.push(Proxy::start(n as u64 + 1, 100 * seed + n as u64, habit, Box::new(list))?);
    }
    thread::sleep(Duration::from_secs(drill.seconds));
    let mut run = Run { clients: proxies.into_iter().map(Proxy::stop).collect(), ..Run::default() };
    fleet.drain();
    for node in &mut fleet.nodes {
        run.began += node.begun.len();
        for begun in node.begun.iter().filter(|begun| begun.class == "label-save") {
            *run.saves.entry((node.address, begun.body.clone())).or_default() += 1;
        }
    }
    Ok(run)
}
