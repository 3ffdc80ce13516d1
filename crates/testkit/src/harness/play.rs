//! Runs a fault schedule against a fleet of real daemons under load and collects the observations.

use super::history::{History, HistoryEntry, Observation};
use super::ledger::Ledger;
use super::relay::Net;
use super::schedule::{Disk, Fault, Schedule};
use crate::fleet::{self, Fleet, FleetSpec, PeersSpec};
use crate::load::{End, Proxy, ProxyBehavior, Records, StaticServers, classes};
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

/// Interval between polls of each server's membership list.
const MEMBERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Mean time of a ledger call.
const LEDGER_CALL_TIME: Duration = Duration::from_millis(60);
/// CPU time of a run beside its ledger call.
const RUN_CPU_TIME: Duration = Duration::from_millis(20);
/// Length of a load phase.
const PHASE_LENGTH: Duration = Duration::from_millis(4_500);
/// Total demand in every second phase, as a fraction of the ledger's capacity.
const OVERLOAD_DEMAND: f64 = 1.2;
/// Factor on the times of [`classes`]; 4 gives the full times.
const CLASS_TIME_SCALE: u32 = 4;
/// Start-up allowance of a restarted process, in microseconds; attempts in this time need no answer.
const STARTUP_ALLOWANCE_US: u64 = 3_000_000;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of servers, spread over three zones.
    pub servers: usize,
    /// Length of the run.
    pub length: Duration,
    /// Ledger slots of each server.
    pub share: f64,
    /// Whether servers lend slots to each other.
    pub lends: bool,
    /// Whether lenders ignore the expiry of leases, to show that the checks catch it.
    pub plain: bool,
    /// Total demand while one zone is busier than the others, as a fraction of the ledger's capacity.
    pub load: f64,
    /// Weight of a server of the busy zone in phases of partial demand; servers of other zones have weight 1.
    pub busy_zone_weight: f64,
    /// Faults to inject.
    pub schedule: Schedule,
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct Played {
    /// Observations of the stand-ins, the relays and the fault injector.
    pub history: Vec<HistoryEntry>,
    /// Total number of ledger slots.
    pub bound: usize,
    /// Requests that arrived.
    pub asked: usize,
    /// Requests that were served.
    pub served: usize,
    /// Attempts that got no answer although their server ran all the while.
    pub unanswered: usize,
    /// Attempts at servers that ran all the while.
    pub answerable: usize,
    /// Attempts served with a result that no run produced.
    pub false_answers: usize,
    /// Saves that ran more than once on a server that never lost its store.
    pub repeated_saves: usize,
    /// Distinct saves that ran.
    pub saves: usize,
    /// Names of servers whose process ended by itself.
    pub crashed: Vec<String>,
    /// Whether the run was stopped early.
    pub cut_short: bool,
}

/// State of a server as known to the fault injector.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ServerState {
    up: bool,
    stopped: bool,
    undisturbed: bool,
    lost_store: bool,
}

/// Runs the plan; `stop` ends it early. No process is left behind either way.
pub fn play(plan: &Plan, folder: &Path, history: &Arc<History>, stop: &AtomicBool) -> io::Result<Played> {
    let listen: Vec<SocketAddr> = (0..plan.servers).map(|_| fleet::peer_address()).collect();
    let keys = AuthenticationKeys::parse(fleet::KEY).map_err(io::Error::other)?;
    let net = Net::start(&listen, plan.seed, &keys, history)?;
    let ledger = Ledger::start(plan.servers, LEDGER_CALL_TIME, plan.seed, history)?;
    let peers = PeersSpec {
        listen,
        advertise: net.advertise.clone(),
        zones: (0..plan.servers).map(|n| format!("z{}", n % 3)).collect(),
        ledgers: ledger.addresses.clone(),
        share: plan.share,
        lends: plan.lends,
        plain: plan.plain,
    };
    let work = classes().into_iter().map(|class| (class.name, RUN_CPU_TIME)).collect();
    let spec = FleetSpec {
        daemon: plan.daemon.clone(),
        servers: plan.servers,
        processor: Spec { classes: work, cores: 12, calls: 1.0, seed: plan.seed, ..Spec::default() },
        scale: u64::from(CLASS_TIME_SCALE),
        store: true,
        peers: Some(peers),
        folder: folder.to_path_buf(),
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&spec)?;
    let begin_ms = unix_ms();
    let begin_us = history.elapsed_us();
    let stop_polling = Arc::<AtomicBool>::default();
    let polls: Vec<_> = fleet
        .nodes
        .iter()
        .enumerate()
        .map(|(n, node)| {
            let (admin, stop_polling, history) =
                (node.admin(), Arc::clone(&stop_polling), Arc::clone(history));
            thread::spawn(move || poll_membership(n, admin, &stop_polling, &history))
        })
        .collect();
    let mut clients = ClientPhases::start(plan, &fleet)?;
    let mut injector = FaultInjector {
        state: vec![
            ServerState { up: true, stopped: false, undisturbed: true, lost_store: false };
            plan.servers
        ],
        cut: false,
        disturbed: false,
        copied: false,
        crashed: Vec::new(),
        history,
    };
    for n in 0..plan.servers {
        history.write(n, Observation::Started);
    }
    let begin = Instant::now();
    let mut wait = |until: Duration| -> io::Result<()> {
        while begin.elapsed() < until && !stop.load(Ordering::Relaxed) {
            clients.advance(begin.elapsed())?;
            thread::sleep(Duration::from_millis(5).min(until.saturating_sub(begin.elapsed())));
        }
        Ok(())
    };
    for (at, fault) in &plan.schedule.faults {
        wait(Duration::from_millis(*at))?;
        if stop.load(Ordering::Relaxed) {
            break;
        }
        injector.apply(fault, &mut fleet, &net, &ledger, folder)?;
    }
    wait(plan.length)?;
    let cut_short = stop.load(Ordering::Relaxed);
    injector.record_crashes(&mut fleet);
    let books = clients.stop();
    stop_polling.store(true, Ordering::Relaxed);
    polls.into_iter().for_each(|poll| drop(poll.join()));
    fleet.collect();
    let mut played = Played {
        bound: (plan.share * plan.servers as f64 + 1e-9) as usize,
        crashed: std::mem::take(&mut injector.crashed),
        cut_short,
        ..Played::default()
    };
    for (node, state) in fleet.nodes.iter().zip(&injector.state) {
        let mut runs = HashMap::<&[u8], usize>::new();
        for run in node.begun.iter().filter(|run| run.class == "label-save") {
            *runs.entry(&run.body).or_default() += 1;
        }
        played.saves += runs.len();
        if !state.lost_store {
            played.repeated_saves += runs.values().filter(|count| **count > 1).count();
        }
    }
    fleet.nodes.iter_mut().for_each(fleet::Node::kill);
    let servers: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
    played.history = history.read();
    played.count(&books, &servers, begin_ms, begin_us);
    Ok(played)
}

/// Client proxies in phases. First one zone demands more than its quota while the others lend; then all together demand more
/// than the capacity, so that lenders need their slots back; then the next zone follows.
struct ClientPhases<'p> {
    plan: &'p Plan,
    servers: Vec<SocketAddr>,
    phase: usize,
    now: Vec<Proxy>,
    /// Proxies of past phases that wait for their open requests.
    over: Vec<thread::JoinHandle<Records>>,
}

impl<'p> ClientPhases<'p> {
    fn start(plan: &'p Plan, fleet: &Fleet) -> io::Result<Self> {
        let servers = fleet.nodes.iter().map(|node| node.address).collect();
        let mut clients = Self { plan, servers, phase: 0, now: Vec::new(), over: Vec::new() };
        clients.now = clients.proxies()?;
        Ok(clients)
    }

    fn proxies(&self) -> io::Result<Vec<Proxy>> {
        let plan = self.plan;
        let capacity = plan.share * plan.servers as f64 / LEDGER_CALL_TIME.as_secs_f64();
        let zone = self.phase / 2 % 3;
        let overloaded = self.phase % 2 == 1;
        let weight = |n: usize| if n % 3 == zone && !overloaded { plan.busy_zone_weight } else { 1.0 };
        let weights: f64 = (0..plan.servers).map(weight).sum();
        let load = if overloaded { OVERLOAD_DEMAND } else { plan.load };
        let all = self.servers.iter().enumerate().map(|(n, server)| {
            let habit = ProxyBehavior::thrift(capacity * load * weight(n) / weights, 1, true);
            let list = StaticServers { all: vec![*server], turn: 0 };
            let number = (self.phase * self.plan.servers + n) as u64 + 1;
            let seed = plan.seed * 100_000 + number;
            Proxy::start_with(number, seed, habit, Box::new(list), &HashMap::new(), CLASS_TIME_SCALE)
        });
        all.collect()
    }

    /// Starts the proxies of the next phase once its time has come.
    fn advance(&mut self, at: Duration) -> io::Result<()> {
        let phase = (at.as_millis() / PHASE_LENGTH.as_millis()) as usize;
        if phase != self.phase {
            self.phase = phase;
            let next = self.proxies()?;
            let old = std::mem::replace(&mut self.now, next);
            // Stopped in parallel, because each waits for its open requests.
            self.over.extend(old.into_iter().map(|proxy| thread::spawn(move || proxy.stop())));
        }
        Ok(())
    }

    fn stop(mut self) -> Vec<Records> {
        let now = std::mem::take(&mut self.now);
        self.over.extend(now.into_iter().map(|proxy| thread::spawn(move || proxy.stop())));
        self.over.into_iter().filter_map(|over| over.join().ok()).collect()
    }
}

struct FaultInjector<'h> {
    state: Vec<ServerState>,
    cut: bool,
    disturbed: bool,
    /// Whether the stores were copied, as needed for `Disk::OldCopy`.
    copied: bool,
    crashed: Vec<String>,
    history: &'h History,
}

fn old_copy(store: &Path) -> PathBuf {
    store.with_extension("old")
}

/// Copies the files of a folder. If a server writes to them meanwhile, the copy ends in a torn write, as on a real disk.
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

impl FaultInjector<'_> {
    fn apply(
        &mut self,
        fault: &Fault,
        fleet: &mut Fleet,
        net: &Net,
        ledger: &Ledger,
        folder: &Path,
    ) -> io::Result<()> {
        self.record_crashes(fleet);
        if !std::mem::replace(&mut self.copied, true) {
            for node in &fleet.nodes {
                let store = folder.join(format!("{}.store", node.name));
                copy(&store, &old_copy(&store))?;
            }
        }
        match fault {
            Fault::CutInbound(some) => {
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
            Fault::Disturb { slow_ms, lost, doubled } => {
                net.rough(*slow_ms, *lost, *doubled);
                self.disturbed = *slow_ms > 0 || *lost > 0;
            }
            Fault::Stop(n) => {
                fleet.nodes[*n].pause();
                self.state[*n].stopped = true;
                self.history.write(*n, Observation::Stopped);
            }
            Fault::Resume(n) => {
                fleet.nodes[*n].go_on();
                self.state[*n].stopped = false;
                self.history.write(*n, Observation::WentOn);
            }
            Fault::Kill(n) => {
                fleet.nodes[*n].kill();
                self.state[*n] = ServerState { up: false, stopped: false, ..self.state[*n] };
                self.history.write(*n, Observation::Killed);
            }
            Fault::Start { server, disk } => {
                let store = folder.join(format!("{}.store", fleet.nodes[*server].name));
                if *disk != Disk::Kept {
                    let _ = std::fs::remove_dir_all(&store);
                    self.state[*server].lost_store = true;
                }
                if *disk == Disk::OldCopy {
                    copy(&old_copy(&store), &store)?;
                }
                if !fleet.nodes[*server].is_up() {
                    fleet.nodes[*server].spawn()?;
                }
                self.state[*server].up = true;
                self.history.write(*server, Observation::Started);
            }
            Fault::CloseLedger(some) => ledger.close(some),
            Fault::SlowLedger(times) => ledger.slow(*times),
        }
        for (n, state) in self.state.iter_mut().enumerate() {
            let undisturbed = state.up && !state.stopped && !self.cut && !self.disturbed;
            if undisturbed != state.undisturbed {
                state.undisturbed = undisturbed;
                self.history.write(n, Observation::Net(undisturbed));
            }
        }
        Ok(())
    }

    /// Records processes that have ended by themselves.
    fn record_crashes(&mut self, fleet: &mut Fleet) {
        for (n, node) in fleet.nodes.iter_mut().enumerate() {
            if self.state[n].up && node.crashed() && !self.crashed.contains(&node.name) {
                self.crashed.push(node.name.clone());
            }
        }
    }
}

impl Played {
    /// Evaluates the proxies' records. An attempt must be answered if its server ran all the while.
    fn count(&mut self, books: &[Records], servers: &[SocketAddr], begin_ms: u64, begin_us: u64) {
        let mut outages: Vec<Vec<(u64, u64)>> = vec![Vec::new(); servers.len()];
        let mut since: Vec<Option<u64>> = vec![None; servers.len()];
        for entry in &self.history {
            match entry.observation {
                Observation::Stopped | Observation::Killed => {
                    since[entry.server].get_or_insert(entry.at_us);
                }
                Observation::WentOn | Observation::Started => {
                    if let Some(from) = since[entry.server].take() {
                        outages[entry.server].push((from, entry.at_us + STARTUP_ALLOWANCE_US));
                    }
                }
                _ => {}
            }
        }
        let at_us = |unix_ms: u64| begin_us + unix_ms.saturating_sub(begin_ms) * 1_000;
        for one in books.iter().flat_map(|books| &books.tries) {
            let Some(server) = servers.iter().position(|address| *address == one.server) else { continue };
            let (from, to) = (at_us(one.t0_ms), at_us(one.end_ms) + 1_000);
            self.false_answers += usize::from(one.end == End::Served && !one.correct_result);
            if !outages[server].iter().any(|(begin, end)| *begin <= to && from <= *end) {
                self.answerable += 1;
                self.unanswered += usize::from(matches!(one.end, End::TimedOut | End::Lost));
            }
        }
        for asked in books.iter().flat_map(|books| &books.requests) {
            self.asked += 1;
            self.served += usize::from(asked.took_ms.is_some());
        }
    }
}

/// Polls a server's membership list and records it.
fn poll_membership(n: usize, admin: SocketAddr, stop_polling: &AtomicBool, history: &History) {
    while !stop_polling.load(Ordering::Relaxed) {
        if let Some(view) = ask(admin, "/fleet") {
            for member in view["members"].as_array().into_iter().flatten() {
                let other = member["name"].as_str().and_then(|name| name.get(1..)?.parse::<usize>().ok());
                if let (Some(other), Some(up)) = (other, member["up"].as_bool()) {
                    history.write(n, Observation::Believes { other, up });
                }
            }
        }
        thread::sleep(MEMBERSHIP_POLL_INTERVAL);
    }
}

/// Calls a server's admin endpoint with `GET` and parses the JSON answer.
pub fn ask(admin: SocketAddr, path: &str) -> Option<Value> {
    serde_json::from_str(&ask_text(admin, path)?).ok()
}

/// Calls a server's admin endpoint with `GET`; returns the trimmed body if the status is 200.
pub fn ask_text(admin: SocketAddr, path: &str) -> Option<String> {
    let (status, body) = call(admin, "GET", path, "")?;
    (status == 200).then_some(body)
}

/// Calls a server's admin endpoint; returns the status and the trimmed body.
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
