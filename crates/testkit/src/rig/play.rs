//! Plays a schedule against a fleet of real daemons under load, and gives what was seen.

use super::history::{Entry, History, What};
use super::ledger::Ledger;
use super::relay::Net;
use super::schedule::{Disk, Fault, Schedule};
use crate::fleet::{self, Fleet, FleetSpec, PeersSpec};
use crate::load::{Books, End, Fixed, Habit, Proxy, classes};
use crate::processor::Spec;
use crate::registry::server::unix_ms;
use gradepin_cluster::authentication::AuthenticationKeys;
use serde_json::Value;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Between looks at what each server believes.
const LOOK: Duration = Duration::from_millis(250);
/// What the ledger takes for a call, and what a run takes of a core beside it.
const CALL: Duration = Duration::from_millis(60);
const WORK: Duration = Duration::from_millis(20);
/// How long a phase of the callers lasts, and what all ask for in every second one, as a part of the ledger's capacity.
const PHASE: Duration = Duration::from_millis(4_500);
const ALL_ASK: f64 = 1.2;
/// Times of the classes: the brief's own.
const SCALE: u32 = 4;
/// A process that was started is given so long before its tries count as owed an answer.
const STARTS_US: u64 = 3_000_000;

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Servers, in three zones.
    pub servers: usize,
    /// How long.
    pub length: Duration,
    /// The ledger's slots of each.
    pub share: f64,
    /// Whether they are lent, and whether without the rules of time.
    pub lends: bool,
    /// See `lends`.
    pub plain: bool,
    /// The part of the ledger's capacity that is asked for while one zone asks for more than the others, and how much more.
    pub load: f64,
    /// See `load`.
    pub lean: f64,
    /// What happens.
    pub schedule: Schedule,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Played {
    /// By the stand-ins, the relays and those who did it.
    pub history: Vec<Entry>,
    /// Slots in all.
    pub bound: usize,
    /// Requests that came, and those that were served.
    pub asked: usize,
    /// See `asked`.
    pub served: usize,
    /// Tries that a server which ran all the while did not answer, of all of those.
    pub unanswered: usize,
    /// See `unanswered`.
    pub owed: usize,
    /// Served with what no run made.
    pub false_answers: usize,
    /// Saves that ran twice on a server that never lost its store, of all saves.
    pub twice: usize,
    /// See `twice`.
    pub saves: usize,
    /// Processes that ended though nobody ended them.
    pub crashed: Vec<String>,
    /// Whether it was ended before its time.
    pub cut_short: bool,
}

/// One server's standing, as those know who do things to it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Standing {
    up: bool,
    stopped: bool,
    well: bool,
    lost_store: bool,
}

/// Plays it; `stop` ends it early, and no process is left behind either way.
pub fn play(plan: &Plan, folder: &Path, history: &Arc<History>, stop: &AtomicBool) -> io::Result<Played> {
    let listen: Vec<SocketAddr> = (0..plan.servers).map(|_| fleet::peer_address()).collect();
    let keys = AuthenticationKeys::parse(fleet::KEY).map_err(io::Error::other)?;
    let net = Net::start(&listen, plan.seed, &keys, history)?;
    let ledger = Ledger::start(plan.servers, CALL, plan.seed, history)?;
    let peers = PeersSpec {
        listen,
        advertise: net.advertise.clone(),
        zones: (0..plan.servers).map(|n| format!("z{}", n % 3)).collect(),
        ledgers: ledger.addresses.clone(),
        share: plan.share,
        lends: plan.lends,
        plain: plan.plain,
    };
    let work = classes().into_iter().map(|class| (class.name, WORK)).collect();
    let spec = FleetSpec {
        daemon: plan.daemon.clone(),
        servers: plan.servers,
        processor: Spec { classes: work, cores: 12, calls: 1.0, seed: plan.seed, ..Spec::default() },
        scale: u64::from(SCALE),
        store: true,
        peers: Some(peers),
        folder: folder.to_path_buf(),
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&spec)?;
    let begin_ms = unix_ms();
    let begin_us = history.elapsed_us();
    let ends = Arc::<AtomicBool>::default();
    let looks: Vec<_> = fleet
        .nodes
        .iter()
        .enumerate()
        .map(|(n, node)| {
            let (admin, ends, history) = (node.admin(), Arc::clone(&ends), Arc::clone(history));
            thread::spawn(move || look(n, admin, &ends, &history))
        })
        .collect();
    let mut callers = Callers::start(plan, &fleet)?;
    let mut player = Player {
        standing: vec![Standing { up: true, stopped: false, well: true, lost_store: false }; plan.servers],
        cut: false,
        rough: false,
        copied: false,
        crashed: Vec::new(),
        history,
    };
    for n in 0..plan.servers {
        history.write(n, What::Started);
    }
    let begin = Instant::now();
    let mut wait = |until: Duration| -> io::Result<()> {
        while begin.elapsed() < until && !stop.load(Ordering::Relaxed) {
            callers.look(begin.elapsed())?;
            thread::sleep(Duration::from_millis(5).min(until.saturating_sub(begin.elapsed())));
        }
        Ok(())
    };
    for (at, fault) in &plan.schedule.faults {
        wait(Duration::from_millis(*at))?;
        if stop.load(Ordering::Relaxed) {
            break;
        }
        player.act(fault, &mut fleet, &net, &ledger, folder)?;
    }
    wait(plan.length)?;
    let cut_short = stop.load(Ordering::Relaxed);
    player.watch(&mut fleet);
    let books = callers.stop();
    ends.store(true, Ordering::Relaxed);
    looks.into_iter().for_each(|look| drop(look.join()));
    fleet.collect();
    let mut played = Played {
        bound: (plan.share * plan.servers as f64 + 1e-9) as usize,
        crashed: std::mem::take(&mut player.crashed),
        cut_short,
        ..Played::default()
    };
    for (node, standing) in fleet.nodes.iter().zip(&player.standing) {
        let mut runs = HashMap::<&[u8], usize>::new();
        for begun in node.begun.iter().filter(|begun| begun.class == "label-save") {
            *runs.entry(&begun.body).or_default() += 1;
        }
        played.saves += runs.len();
        if !standing.lost_store {
            played.twice += runs.values().filter(|count| **count > 1).count();
        }
    }
    fleet.nodes.iter_mut().for_each(fleet::Node::kill);
    let servers: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
    played.history = history.read();
    played.count(&books, &servers, begin_ms, begin_us);
    Ok(played)
}

/// Callers by phases: one zone asks for more than its share while the others lend, then all ask for more than there is, so
/// that whatever is lent is missed, then another zone.
struct Callers<'p> {
    plan: &'p Plan,
    servers: Vec<SocketAddr>,
    phase: usize,
    now: Vec<Proxy>,
    /// Those of phases that are over, while they wait for what is open.
    over: Vec<thread::JoinHandle<Books>>,
}

impl<'p> Callers<'p> {
    fn start(plan: &'p Plan, fleet: &Fleet) -> io::Result<Self> {
        let servers = fleet.nodes.iter().map(|node| node.address).collect();
        let mut callers = Self { plan, servers, phase: 0, now: Vec::new(), over: Vec::new() };
        callers.now = callers.proxies()?;
        Ok(callers)
    }

    fn proxies(&self) -> io::Result<Vec<Proxy>> {
        let plan = self.plan;
        let capacity = plan.share * plan.servers as f64 / CALL.as_secs_f64();
        let zone = self.phase / 2 % 3;
        let all_ask = self.phase % 2 == 1;
        let weight = |n: usize| if n % 3 == zone && !all_ask { plan.lean } else { 1.0 };
        let weights: f64 = (0..plan.servers).map(weight).sum();
        let load = if all_ask { ALL_ASK } else { plan.load };
        let all = self.servers.iter().enumerate().map(|(n, server)| {
            let habit = Habit::thrift(capacity * load * weight(n) / weights, 1, true);
            let list = Fixed { all: vec![*server], turn: 0 };
            let number = (self.phase * self.plan.servers + n) as u64 + 1;
            let seed = plan.seed * 100_000 + number;
            Proxy::start_with(number, seed, habit, Box::new(list), &HashMap::new(), SCALE)
        });
        all.collect()
    }

    /// Moves on to the phase of this time.
    fn look(&mut self, at: Duration) -> io::Result<()> {
        let phase = (at.as_millis() / PHASE.as_millis()) as usize;
        if phase != self.phase {
            self.phase = phase;
            let next = self.proxies()?;
            let old = std::mem::replace(&mut self.now, next);
            // Each waits for what it has open; all send nothing more at once.
            self.over.extend(old.into_iter().map(|proxy| thread::spawn(move || proxy.stop())));
        }
        Ok(())
    }

    fn stop(mut self) -> Vec<Books> {
        let now = std::mem::take(&mut self.now);
        self.over.extend(now.into_iter().map(|proxy| thread::spawn(move || proxy.stop())));
        self.over.into_iter().filter_map(|over| over.join().ok()).collect()
    }
}

struct Player<'h> {
    standing: Vec<Standing>,
    cut: bool,
    rough: bool,
    /// Whether the stores were copied, for a server that finds an old one.
    copied: bool,
    crashed: Vec<String>,
    history: &'h History,
}

fn old_copy(store: &Path) -> PathBuf {
    store.with_extension("old")
}

/// Copies the files of a folder. A server may write to them meanwhile: then the copy's tail is torn, as a disk's may be.
fn copy(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

impl Player<'_> {
    fn act(
        &mut self,
        fault: &Fault,
        fleet: &mut Fleet,
        net: &Net,
        ledger: &Ledger,
        folder: &Path,
    ) -> io::Result<()> {
        self.watch(fleet);
        if !std::mem::replace(&mut self.copied, true) {
            for node in &fleet.nodes {
                let store = folder.join(format!("{}.store", node.name));
                copy(&store, &old_copy(&store))?;
            }
        }
        match fault {
            Fault::Deafen(some) => {
                net.cut(some, false);
                self.cut = true;
            }
            Fault::Cut(some) => {
                net.cut(some, true);
                self.cut = true;
            }
            Fault::Heal => {
                net.heal();
                self.cut = false;
            }
            Fault::Rough { slow_ms, lost, doubled } => {
                net.rough(*slow_ms, *lost, *doubled);
                self.rough = *slow_ms > 0 || *lost > 0;
            }
            Fault::Stop(n) => {
                fleet.nodes[*n].pause();
                self.standing[*n].stopped = true;
                self.history.write(*n, What::Stopped);
            }
            Fault::GoOn(n) => {
                fleet.nodes[*n].go_on();
                self.standing[*n].stopped = false;
                self.history.write(*n, What::WentOn);
            }
            Fault::Kill(n) => {
                fleet.nodes[*n].kill();
                self.standing[*n] = Standing { up: false, stopped: false, ..self.standing[*n] };
                self.history.write(*n, What::Killed);
            }
            Fault::Start { server, disk } => {
                let store = folder.join(format!("{}.store", fleet.nodes[*server].name));
                if *disk != Disk::Kept {
                    let _ = std::fs::remove_dir_all(&store);
                    self.standing[*server].lost_store = true;
                }
                if *disk == Disk::OldCopy {
                    copy(&old_copy(&store), &store)?;
                }
                if !fleet.nodes[*server].is_up() {
                    fleet.nodes[*server].spawn()?;
                }
                self.standing[*server].up = true;
                self.history.write(*server, What::Started);
            }
            Fault::CloseLedger(some) => ledger.close(some),
            Fault::SlowLedger(times) => ledger.slow(*times),
        }
        for (n, standing) in self.standing.iter_mut().enumerate() {
            let well = standing.up && !standing.stopped && !self.cut && !self.rough;
            if well != standing.well {
                standing.well = well;
                self.history.write(n, What::Net(well));
            }
        }
        Ok(())
    }

    /// Whether a process has ended by itself.
    fn watch(&mut self, fleet: &mut Fleet) {
        for (n, node) in fleet.nodes.iter_mut().enumerate() {
            if self.standing[n].up && node.crashed() && !self.crashed.contains(&node.name) {
                self.crashed.push(node.name.clone());
            }
        }
    }
}

impl Played {
    /// Takes in the proxies' books; a try counts as owed an answer if its server ran all the while.
    fn count(&mut self, books: &[Books], servers: &[SocketAddr], begin_ms: u64, begin_us: u64) {
        let mut away: Vec<Vec<(u64, u64)>> = vec![Vec::new(); servers.len()];
        let mut since: Vec<Option<u64>> = vec![None; servers.len()];
        for entry in &self.history {
            match entry.what {
                What::Stopped | What::Killed => {
                    since[entry.server].get_or_insert(entry.at_us);
                }
                What::WentOn | What::Started => {
                    if let Some(from) = since[entry.server].take() {
                        away[entry.server].push((from, entry.at_us + STARTS_US));
                    }
                }
                _ => {}
            }
        }
        let at_us = |unix_ms: u64| begin_us + unix_ms.saturating_sub(begin_ms) * 1_000;
        for one in books.iter().flat_map(|books| &books.tries) {
            let Some(server) = servers.iter().position(|address| *address == one.server) else { continue };
            let (from, to) = (at_us(one.t0_ms), at_us(one.end_ms) + 1_000);
            self.false_answers += usize::from(one.end == End::Served && !one.genuine);
            if !away[server].iter().any(|(begin, end)| *begin <= to && from <= *end) {
                self.owed += 1;
                self.unanswered += usize::from(matches!(one.end, End::TimedOut | End::Lost));
            }
        }
        for asked in books.iter().flat_map(|books| &books.requests) {
            self.asked += 1;
            self.served += usize::from(asked.took_ms.is_some());
        }
    }
}

/// Asks a server again and again what it believes of the others.
fn look(n: usize, admin: SocketAddr, ends: &AtomicBool, history: &History) {
    while !ends.load(Ordering::Relaxed) {
        if let Some(view) = ask(admin, "/fleet") {
            for member in view["members"].as_array().into_iter().flatten() {
                let other = member["name"].as_str().and_then(|name| name.get(1..)?.parse::<usize>().ok());
                if let (Some(other), Some(up)) = (other, member["up"].as_bool()) {
                    history.write(n, What::Believes { other, up });
                }
            }
        }
        thread::sleep(LOOK);
    }
}

/// What a server's door answers, if it does.
pub fn ask(admin: SocketAddr, path: &str) -> Option<Value> {
    serde_json::from_str(&ask_text(admin, path)?).ok()
}

/// The same as text, without the end of its line.
pub fn ask_text(admin: SocketAddr, path: &str) -> Option<String> {
    let (status, body) = call(admin, "GET", path, "")?;
    (status == 200).then_some(body)
}

/// A call at a server's door: the status and the body.
pub fn call(admin: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let patience = Duration::from_millis(900);
    let mut stream = TcpStream::connect_timeout(&admin, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.trim().to_string()))
}
