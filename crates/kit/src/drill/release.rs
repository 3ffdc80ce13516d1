//! Real daemons that agree on who may be out: each is replaced under load, by a release and by a bad one that is to stop and go
//! back, with faults drawn between them. How many are out is counted by those who see it: the list of the stand-in control
//! plane and the stand-in supervisor.

use super::Claims;
use crate::fleet::{self, CouncilSpec, Fleet, FleetSpec, PeersSpec};
use crate::load::{Books, End, Fixed, Habit, Proxy, classes};
use crate::processor::{Spec, runs_by};
use crate::registry::server::unix_ms;
use crate::rig::history::History;
use crate::rig::ledger::Ledger;
use crate::rig::play::{ask, call};
use crate::rig::relay::Net;
use crate::rig::supervisor::{NO_SAVES, Supervisor};
use gradepin_cluster::authentication::Keys;
use gradepin_releases::messages::Order;
use gradepin_releases::release::{Kind, Plan, ReleaseOrder, Wave};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::Value;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What a run takes of a core, and cores of a processor.
const WORK: Duration = Duration::from_millis(20);
const CORES: u32 = 1;
/// Callers, their tries of a request, and how much later than the control plane they learn.
const CALLERS: usize = 6;
const TRIES: usize = 4;
const LATE: Duration = Duration::from_millis(300);
/// From SIGTERM to the kill.
const STOP: Duration = Duration::from_millis(900);
/// What a step takes by the plan: the stop, a start, steady as the council and as the plan say, and the looks between.
const STEP: Duration = Duration::from_millis(900 + 500 + 1_000 + 1_200);
/// Between the leader's eye on the first server with the bad version and the halt.
const SEEN: Duration = Duration::from_secs(10);
/// Service with a release beside the same load without one.
const KEEPS: f64 = 0.97;
/// A release that nothing disturbs takes at most so many times what its parts take.
const LONGER: f64 = 1.3;

/// What is drilled.
#[derive(Debug, Clone)]
pub struct Drill {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Servers, in three zones; three of them are voters.
    pub servers: usize,
    /// Whether faults are drawn between them.
    pub faults: bool,
    /// Without limits on what may be out. Must fail.
    pub plain: bool,
    /// Whether claims are made that hang on the machine's speed: how long a release takes, how soon a bad one is stopped, and service.
    pub timed: bool,
    /// The part of all cores that is asked for.
    pub load: f64,
    /// Seconds of load without a release, to hold the others against.
    pub quiet_s: u64,
}

impl Drill {
    fn most(&self) -> (u32, u32) {
        if self.servers >= 9 { (2, 1) } else { (1, 1) }
    }
}

/// A plan of one server first, then shares. After the first server of what is bad it is looked for as long as it may take to see.
fn plan(version: &str) -> Plan {
    let looks = if version == NO_SAVES { SEEN.as_millis() as u64 } else { 3_000 };
    let waves = [(0.0, looks), (0.5, 1_000), (1.0, 0)].map(|(share, pause_ms)| Wave { share, pause_ms });
    Plan {
        name: format!("to {version}"),
        kind: Kind::Program,
        version: version.into(),
        waves: waves.into(),
        zone_by_zone: false,
        ready_ms: 15_000,
        steady_ms: 1_000,
        worse: 0.05,
        goes_back: true,
    }
}

/// Callers whose list somebody keeps up.
struct Callers {
    list: Arc<Mutex<Fixed>>,
    proxies: Vec<Proxy>,
}

impl Callers {
    fn start(drill: &Drill, fleet: &Fleet) -> io::Result<Self> {
        let all = fleet.nodes.iter().map(|node| node.address).collect();
        let list = Arc::new(Mutex::new(Fixed { all, turn: 0 }));
        let rate = drill.load * f64::from(CORES) * drill.servers as f64 / WORK.as_secs_f64();
        let start = |n: usize| {
            let habit = Habit::thrift(rate / CALLERS as f64, TRIES, true);
            let servers = Box::new(Arc::clone(&list));
            Proxy::start_with(n as u64 + 1, drill.seed * 100 + n as u64, habit, servers, &HashMap::new(), 4)
        };
        let proxies = (0..CALLERS).map(start).collect::<io::Result<Vec<Proxy>>>()?;
        Ok(Self { list, proxies })
    }

    fn look(&self, fleet: &Fleet) {
        let ready = fleet.control.roster().ready(Instant::now(), LATE);
        let all: Vec<SocketAddr> =
            fleet.nodes.iter().filter(|node| ready.contains(&node.name)).map(|node| node.address).collect();
        if !all.is_empty() {
            self.list.lock().unwrap_or_else(PoisonError::into_inner).all = all;
        }
    }

    fn stop(self) -> Vec<Books> {
        let stops: Vec<_> =
            self.proxies.into_iter().map(|proxy| thread::spawn(move || proxy.stop())).collect();
        stops.into_iter().filter_map(|stop| stop.join().ok()).collect()
    }
}

/// A fault that is drawn while a release goes.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Stop,
    Cut,
}

struct Stage<'d> {
    drill: &'d Drill,
    fleet: Fleet,
    net: Net,
    supervisor: Supervisor,
    callers: Option<Callers>,
    rng: Pcg64Mcg,
    stop: &'d AtomicBool,
    /// When the next fault is, and what ends then.
    next_fault: Instant,
    under_way: Option<(Fault, usize, Instant)>,
    /// Servers that a fault took, and when: what they were asked then is owed nothing.
    hurt: Vec<(usize, u64, u64)>,
    /// Releases that were started.
    starts: u32,
}

impl Stage<'_> {
    /// Lets time pass until something holds; whether it did before the time was up.
    fn until(&mut self, patience: Duration, mut holds: impl FnMut(&mut Self) -> bool) -> io::Result<bool> {
        let begin = Instant::now();
        while !self.stop.load(Ordering::Relaxed) {
            if holds(self) {
                return Ok(true);
            }
            if begin.elapsed() > patience {
                return Ok(false);
            }
            self.supervisor.look(&mut self.fleet)?;
            if let Some(callers) = &self.callers {
                callers.look(&self.fleet);
            }
            self.faults()?;
            thread::sleep(Duration::from_millis(15));
        }
        Ok(false)
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most
    }

    /// Ends the fault that is over, and begins another now and then.
    fn faults(&mut self) -> io::Result<()> {
        let now = Instant::now();
        if let Some((fault, n, over)) = self.under_way {
            if now >= over {
                match fault {
                    Fault::Kill => self.supervisor.held[n] = false,
                    Fault::Stop => self.fleet.nodes[n].go_on(),
                    Fault::Cut => self.net.heal(),
                }
                if let Some(hurt) = self.hurt.last_mut() {
                    hurt.2 = unix_ms() + 4_000;
                }
                self.under_way = None;
                self.next_fault = now + Duration::from_millis(1_500 + self.draw(3_000));
            }
            return Ok(());
        }
        if !self.drill.faults || now < self.next_fault {
            return Ok(());
        }
        let n = self.draw(self.drill.servers as u64) as usize;
        let fault = [Fault::Kill, Fault::Stop, Fault::Cut][self.draw(3) as usize];
        let lasts = Duration::from_millis(500 + self.draw(2_500));
        match fault {
            Fault::Kill => {
                self.supervisor.held[n] = true;
                self.fleet.nodes[n].kill();
            }
            Fault::Stop => self.fleet.nodes[n].pause(),
            Fault::Cut => self.net.cut(&[n], true),
        }
        println!("  n{n}: {fault:?} for {:.1} s", lasts.as_secs_f64());
        if !matches!(fault, Fault::Cut) {
            self.hurt.push((n, unix_ms(), u64::MAX));
        }
        self.under_way = Some((fault, n, now + lasts));
        Ok(())
    }

    fn quiet(&mut self) {
        self.next_fault = Instant::now() + Duration::from_secs(3_600);
    }

    fn status(&self) -> Option<Value> {
        let order = (0..self.drill.servers).map(|n| self.fleet.nodes[n].admin());
        let all = order.filter_map(|door| ask(door, "/fleet/status"));
        all.filter(|status| status["index"].is_u64()).max_by_key(|status| status["index"].as_u64())
    }

    fn release_state(&self) -> String {
        let status = self.status().unwrap_or_default();
        status["release"]["state"].as_str().unwrap_or_default().to_string()
    }

    /// Gives an order at some door until one takes it, and waits for what came of it.
    fn order(&mut self, order: &Order) -> io::Result<Result<String, String>> {
        let text = serde_json::to_string(order).map_err(io::Error::other)?;
        let mut last = Err("no door took it".to_string());
        for n in (0..self.drill.servers).cycle().take(2 * self.drill.servers) {
            let door = self.fleet.nodes[n].admin();
            let Some((202, ticket)) = call(door, "POST", "/fleet/order", &text) else {
                self.until(Duration::from_millis(50), |_| false)?;
                continue;
            };
            let mut answer = None;
            self.until(Duration::from_secs(10), |_| {
                answer = call(door, "GET", &format!("/fleet/order?ticket={ticket}"), "")
                    .filter(|(s, _)| *s != 202);
                answer.is_some()
            })?;
            match answer {
                Some((200, text)) => return Ok(Ok(text)),
                Some((_, why)) => last = Err(why),
                None => {}
            }
        }
        Ok(last)
    }

    /// Starts a release; each under a name of its own.
    fn start(&mut self, version: &str) -> io::Result<Result<String, String>> {
        self.starts += 1;
        let mut plan = plan(version);
        plan.name = format!("{}: to {version}", self.starts);
        self.order(&Order::Start { plan: Box::new(plan), by: Arc::from("the drill") })
    }

    /// Sees a release through to its end; one that stood still for a fault is resumed, one that went back is started again.
    fn through(&mut self, version: &str, patience: Duration) -> io::Result<bool> {
        let begin = Instant::now();
        while begin.elapsed() < patience && !self.stop.load(Ordering::Relaxed) {
            let version = version.to_string();
            self.until(Duration::from_secs(2), |stage| stage.release_state() == "done")?;
            let status = self.status().unwrap_or_default();
            let state = self.release_state();
            let is_it = status["release"]["version"].as_str() == Some(&version);
            if state == "done" && is_it {
                return Ok(true);
            }
            if state.starts_with("halted") {
                let name = status["release"]["name"].as_str().unwrap_or_default().to_string();
                let by = Arc::from("the drill");
                let halts = status["release"]["halts"].as_u64().unwrap_or(0) as u32;
                println!("  {state}; resumed");
                let _ = self.order(&Order::Release(ReleaseOrder::Resume { name, halts, by }))?;
            } else if state.starts_with("undone") || !is_it {
                println!("  {state}; started again");
                let _ = self.start(&version)?;
            }
        }
        Ok(false)
    }
}

/// Plays it, prints the claims, and says whether all are kept.
pub fn run(drill: &Drill) -> io::Result<bool> {
    let stop = Arc::<AtomicBool>::default();
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let (most, zone) = drill.most();
    println!(
        "seed {}, {} servers in 3 zones, {most} may be out, {zone} of a zone{}",
        drill.seed,
        drill.servers,
        if drill.plain { ", and nothing holds them to it" } else { "" }
    );
    let folder = fleet::folder(if drill.plain { "drill-release-plain" } else { "drill-release" })?;
    let listen: Vec<SocketAddr> = (0..drill.servers).map(|_| fleet::peer_address()).collect();
    let history = Arc::<History>::default();
    let keys = Keys::parse(fleet::KEY).map_err(io::Error::other)?;
    let net = Net::start(&listen, drill.seed, &keys, &history)?;
    let ledger = Ledger::start(drill.servers, Duration::from_millis(20), drill.seed, &history)?;
    let spec = FleetSpec {
        daemon: drill.daemon.clone(),
        servers: drill.servers,
        processor: Spec {
            classes: classes().into_iter().map(|class| (class.name, WORK)).collect(),
            cores: CORES,
            seed: drill.seed,
            ..Spec::default()
        },
        scale: 4,
        stop: STOP,
        store: true,
        peers: Some(PeersSpec {
            listen,
            advertise: net.advertise.clone(),
            zones: (0..drill.servers).map(|n| format!("z{}", n % 3)).collect(),
            ledgers: ledger.addresses.clone(),
            share: 4.0,
            lends: false,
            plain: false,
        }),
        council: Some(CouncilSpec { voters: 3, most, zone, plain: drill.plain }),
        folder: folder.clone(),
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&spec)?;
    let begin = Instant::now();
    let supervisor = Supervisor::new(&fleet, &folder, begin);
    let mut stage = Stage {
        drill,
        fleet,
        net,
        supervisor,
        callers: None,
        rng: Pcg64Mcg::seed_from_u64(drill.seed),
        stop: &stop,
        next_fault: begin + Duration::from_secs(3_600),
        under_way: None,
        hurt: Vec::new(),
        starts: 0,
    };
    let mut claims = Claims::default();
    let result = play(&mut stage, &mut claims);
    if let Err(why) = &result {
        println!("NOT KEPT  it could not be played: {why}");
    }
    let cut_short = stop.load(Ordering::Relaxed);
    drop(stage);
    fleet::remove(&folder);
    if cut_short {
        println!("ended before its time");
    }
    Ok(result.is_ok() && claims.all_kept() && !cut_short)
}

fn play(stage: &mut Stage<'_>, claims: &mut Claims) -> io::Result<()> {
    let drill = stage.drill;
    // The council is founded once all hear each other.
    let founded = stage.until(Duration::from_secs(20), |stage| {
        call(stage.fleet.nodes[0].admin(), "POST", "/fleet/found", "")
            .is_some_and(|(status, _)| status == 200)
    })?;
    let whole = stage.until(Duration::from_secs(20), |stage| {
        let status = stage.status().unwrap_or_default();
        let servers = status["servers"].as_array().cloned().unwrap_or_default();
        servers.len() == drill.servers && servers.iter().all(|server| server["ready"] == true)
    })?;
    if !founded || !whole {
        return Err(io::Error::other("the council was not founded, or not all servers were heard"));
    }
    stage.callers = Some(Callers::start(drill, &stage.fleet)?);
    let loaded_ms = unix_ms();
    stage.until(Duration::from_secs(drill.quiet_s), |_| false)?;
    // A release that is sound.
    let (begin, begin_ms) = (Instant::now(), unix_ms());
    let before: Vec<String> = stage.fleet.nodes.iter().map(|node| node.version.clone()).collect();
    stage.next_fault = Instant::now() + Duration::from_secs(2);
    let started = stage.start("v2")?;
    println!("  the release of v2: {started:?}");
    let patience =
        STEP * (2 * drill.servers as u32) + Duration::from_secs(if drill.faults { 90 } else { 30 });
    let through = stage.through("v2", patience)?;
    stage.quiet();
    let whole =
        stage.until(Duration::from_secs(15), |stage| stage.supervisor.all_have(&stage.fleet, Some("v2")))?;
    let (took, done_ms) = (begin.elapsed(), unix_ms());
    // One that turns saves away: it is to stop and go back by itself.
    stage.until(Duration::from_secs(2), |_| false)?;
    let began = stage.supervisor.began.len();
    let bad_ms = unix_ms();
    let bad = stage.start(NO_SAVES)?;
    println!("  the release of {NO_SAVES}: {bad:?}");
    let first = stage.until(Duration::from_secs(15), |stage| {
        stage.fleet.nodes.iter().any(|node| node.version == NO_SAVES)
    })?;
    let seen = Instant::now();
    let stopped = stage.until(if drill.timed { 2 * SEEN } else { 6 * SEEN }, |stage| {
        let state = stage.release_state();
        state.starts_with("going back") || state.starts_with("undone") || state.starts_with("halted")
    })?;
    let halted_after = seen.elapsed();
    let why = stage.release_state();
    let gone = stage.until(STEP * 4 + Duration::from_secs(10), |stage| {
        stage.release_state().starts_with("undone") && stage.supervisor.all_have(&stage.fleet, Some("v2"))
    })?;
    let had: Vec<usize> =
        stage.supervisor.began[began..].iter().filter(|b| b.version == NO_SAVES).map(|b| b.server).collect();
    stage.until(Duration::from_secs(2), |_| false)?;
    let books = stage.callers.take().map(Callers::stop).unwrap_or_default();
    stage.fleet.collect();

    let (most, zone) = drill.most();
    let over: Vec<String> = stage
        .supervisor
        .began
        .iter()
        .filter(|began| {
            let all: Vec<usize> = began.agreed.iter().chain(&began.unplanned).copied().collect();
            let of_zone = all.iter().filter(|n| *n % 3 == began.server % 3).count();
            all.len() > most as usize || of_zone > zone as usize
        })
        .map(|began| {
            let at_s = began.at.as_secs_f64();
            format!(
                "at {at_s:.2} s n{} beside {:?}, unplanned {:?}",
                began.server, began.agreed, began.unplanned
            )
        })
        .collect();
    claims.claim(
        over.is_empty() && stage.supervisor.began.len() >= drill.servers,
        "never more out than allowed when one began, by list and supervisor",
        format!("{} of {} began past it{}", over.len(), stage.supervisor.began.len(), first_of(&over)),
    );
    claims.claim(
        through && whole && before.iter().all(|version| version == "v1"),
        "the release is everywhere in the end, and all that ran before runs after",
        format!("{:.1} s", took.as_secs_f64()),
    );
    if drill.timed && !drill.faults && !drill.plain {
        // One first, then as many at a time as may be out.
        let rest = (drill.servers as u32 - 1).div_ceil(most);
        let parts = STEP * (1 + rest) + Duration::from_millis(3_000 + 1_000);
        let times = took.as_secs_f64() / parts.as_secs_f64();
        claims.claim(
            times <= LONGER,
            "undisturbed it takes no more than 1.3 times what its parts take",
            format!("{:.1} s of {:.1} s, {times:.2} times", took.as_secs_f64(), parts.as_secs_f64()),
        );
    }
    claims.claim(
        first && stopped && (!drill.timed || halted_after <= SEEN && had.len() == 1),
        "a version that turns saves away is stopped, within 10 s of its first server",
        format!("{:.1} s, {} servers had it: {why}", halted_after.as_secs_f64(), had.len()),
    );
    claims.claim(gone, "and is gone everywhere, with nobody's help", stage.release_state());
    let share = |from: u64, to: u64| {
        let of = books.iter().flat_map(|b| &b.requests).filter(|r| (from..to).contains(&r.arrived_ms));
        let of: Vec<bool> = of.map(|request| request.took_ms.is_some()).collect();
        (of.iter().filter(|served| **served).count() as f64 / of.len().max(1) as f64, of.len())
    };
    let (quiet, quiet_of) = share(loaded_ms + 1_000, begin_ms);
    let (during, during_of) = share(begin_ms, done_ms);
    let kept = during / quiet.max(1e-9);
    let least = match (drill.timed, drill.faults) {
        (false, _) => 0.5,
        (true, true) => 0.9,
        (true, false) => KEEPS,
    };
    claims.claim(
        kept >= least && quiet_of > 0 && during_of > 0,
        &format!("service during the release at least {least} of that without one"),
        format!("{during:.3} of {during_of}, {quiet:.3} of {quiet_of} before: {kept:.3}"),
    );
    let (bad_share, bad_of) = share(bad_ms, unix_ms());
    println!("  served {bad_share:.3} of {bad_of} while the bad version came and went");
    let hurt = |one: &crate::load::Try| {
        let n = stage.fleet.nodes.iter().position(|node| node.address == one.server);
        let of = |&&(server, from, to): &&(usize, u64, u64)| {
            Some(server) == n && one.end_ms >= from && one.t0_ms <= to
        };
        stage.hurt.iter().any(|hurt| of(&hurt))
    };
    let tries: Vec<&crate::load::Try> = books.iter().flat_map(|books| &books.tries).collect();
    let owed: Vec<&&crate::load::Try> = tries.iter().filter(|one| !hurt(one)).collect();
    let lost = owed.iter().filter(|one| matches!(one.end, End::Lost | End::TimedOut)).count();
    let false_ones = tries.iter().filter(|one| one.end == End::Served && !one.genuine).count();
    claims.claim(
        lost * 1_000 < 3 * owed.len().max(1) && false_ones == 0,
        "tries answered, all but 3 in 1,000, and none falsely",
        format!("{lost} of {} without an answer, {false_ones} false", owed.len()),
    );
    let (mut saves, mut twice) = (0, 0);
    for node in &stage.fleet.nodes {
        let begun: Vec<_> = node.begun.iter().filter(|begun| begun.class == "label-save").cloned().collect();
        let runs = runs_by(&begun, |begun| Some(begun.body.clone()));
        saves += runs.len();
        twice += runs.values().filter(|count| **count > 1).count();
    }
    claims.claim(twice == 0 && saves > 0, "saves run twice by one server", format!("{twice} of {saves}"));
    Ok(())
}

fn first_of(all: &[String]) -> String {
    all.first().map(|first| format!("; the first {first}")).unwrap_or_default()
}
