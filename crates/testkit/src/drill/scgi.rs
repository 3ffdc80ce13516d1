//! Mixed traffic past capacity: do both fronts get equal service for their worth, and does Thrift lose by SCGI's company?

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

/// Worth of the classes, in the order of [`classes`], and the part that a late answer earns.
const WORTH: [(f64, f64); 4] = [(1.0, 0.0), (1.0, 0.0), (2.0, 0.0), (4.0, 0.2)];
/// The mean work of a run, on cores of speed 1.
const WORK_MS: u64 = 40;
/// The part of the saves that comes a second time, over the other front.
const REPEATED: f64 = 0.5;
/// Servers in each fleet, and proxies.
const SERVERS: usize = 2;
const PROXIES: usize = 3;

/// What is drilled.
#[derive(Debug, Clone)]
pub struct Drill {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// The first seed; each run has the next.
    pub seed: u64,
    /// Runs.
    pub runs: usize,
    /// Seconds of each.
    pub seconds: u64,
    /// Load as a part of what the cores can do.
    pub load: f64,
    /// Whether the repeats of a save don't share its token.
    pub plain: bool,
}

/// What one run came to.
#[derive(Debug, Default)]
struct Run {
    books: Vec<Records>,
    /// Runs of label-save by their request, for each server.
    saves: HashMap<(SocketAddr, Vec<u8>), usize>,
    began: usize,
}

/// Plays it, prints the claims, and says whether all are kept.
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
    // One after another: two at a time would share this machine's cores unevenly.
    for n in 0..drill.runs {
        let seed = drill.seed + n as u64;
        mixed.push(play(drill, seed, 0.5, folder.join(format!("mixed{n}")))?);
        alone.push(play(drill, seed, 0.0, folder.join(format!("alone{n}")))?);
    }
    let share = |runs: &[Run], scgi: Option<bool>| {
        let (mut got, mut asked) = (0.0, 0.0);
        for one in runs.iter().flat_map(|run| &run.books).flat_map(|books| &books.requests) {
            if scgi.is_none_or(|scgi| scgi == one.scgi) {
                let ((priority_weight, late), aim) =
                    (WORTH[one.class], classes()[one.class].aim.as_millis() as u64);
                asked += priority_weight;
                got += priority_weight * one.took_ms.map_or(0.0, |took| if took <= aim { 1.0 } else { late });
            }
        }
        100.0 * got / f64::max(asked, 1e-9)
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
        mixed.iter().flat_map(|run| &run.books).flat_map(|books| &books.tries).collect();
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

fn play(drill: &Drill, seed: u64, scgi_share: f64, folder: PathBuf) -> io::Result<Run> {
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
    // Half of the saves come a second time over the other front, before, while or after the first runs.
    let share = if scgi_share > 0.0 { REPEATED } else { 0.0 };
    let repeats = Repeats { share, within_ms: 600, separate_keys: drill.plain };
    for n in 0..PROXIES {
        let rate = drill.load * capacity / PROXIES as f64;
        let habit = ProxyBehavior { scgi_share, repeats, ..ProxyBehavior::thrift(rate, 2, true) };
        let list = StaticServers { all: all.clone(), turn: n };
        proxies.push(Proxy::start(n as u64 + 1, 100 * seed + n as u64, habit, Box::new(list))?);
    }
    thread::sleep(Duration::from_secs(drill.seconds));
    let mut run = Run { books: proxies.into_iter().map(Proxy::stop).collect(), ..Run::default() };
    fleet.drain();
    for node in &mut fleet.nodes {
        run.began += node.begun.len();
        for begun in node.begun.iter().filter(|begun| begun.class == "label-save") {
            *run.saves.entry((node.address, begun.body.clone())).or_default() += 1;
        }
    }
    Ok(run)
}
