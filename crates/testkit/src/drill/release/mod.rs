//! Real daemons that agree on who may be out: each is replaced under load, by a release and by a bad one that is to stop and go
//! back, with faults drawn between them. How many are out is counted by those who see it: the list of the stand-in control
//! plane and the stand-in supervisor.

mod claims;
mod clients;
mod faults;
mod founding;
mod scenario;
mod session;

use super::{Claims, Verdict};
use crate::fleet::{self, CouncilSpec, Fleet, FleetSpec, PeersSpec};
use crate::harness::history::History;
use crate::harness::ledger::Ledger;
use crate::harness::machine_delay::{Bounds, MachineDelayMonitor};
use crate::harness::relay::Net;
use crate::harness::supervisor::{NO_SAVES, Supervisor};
use crate::load::classes;
use crate::processor::Spec;
use faults::Faults;
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutPlan};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use session::Session;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What a run takes of a core, and cores of a processor.
const WORK: Duration = Duration::from_millis(20);
const CORES: u32 = 1;
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

/// Past this the machine was too late for claims on times. Between two trials on a busy machine: with beats late by 0.10 ms in the
/// mean, 24 ms at the most and 6.4% of the time waited all went as planned; with 0.85 ms, 255 ms and 19.9% a sound release was
/// undone for a class that was served late.
const IN_TIME: Bounds = Bounds {
    mean_wakeup_delay: Duration::from_micros(500),
    max_wakeup_delay: Duration::from_millis(150),
    run_delay_fraction: 0.12,
};

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
fn plan(version: &str) -> RolloutPlan {
    let looks = if version == NO_SAVES { SEEN.as_millis() as u64 } else { 3_000 };
    let waves = [(0.0, looks), (0.5, 1_000), (1.0, 0)].map(|(share, pause_ms)| Batch { share, pause_ms });
    RolloutPlan {
        name: format!("to {version}"),
        kind: ReleaseKind::Program,
        version: version.into(),
        batches: waves.into(),
        zone_by_zone: false,
        ready_timeout_ms: 15_000,
        stabilization_ms: 1_000,
        tolerated_regression: 0.05,
        rolls_back: true,
    }
}

/// Plays it, prints the claims, and says what they come to.
pub fn run(drill: &Drill) -> io::Result<Verdict> {
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
    let mut session = set_up(drill, &folder, &stop)?;
    let played = scenario::play(&mut session);
    let lag = session.lag.measured();
    println!("  the machine: {}", lag.summary());
    // Claims that don't rest on times are made of every run.
    let late = if drill.timed { lag.exceeded(&IN_TIME) } else { None };
    let mut claims = Claims::on_machine(late);
    match &played {
        Ok(seen) => claims::claim(&mut claims, &session, seen),
        Err(why) => claims.timed(false, "it could be played", why),
    }
    let cut_short = stop.load(Ordering::Relaxed);
    drop(session);
    fleet::remove(&folder);
    if cut_short {
        println!("ended before its time");
        return Ok(Verdict::NotKept);
    }
    Ok(claims.verdict())
}

/// Starts the fleet with its relays, its ledger and its supervisor.
fn set_up<'d>(drill: &'d Drill, folder: &Path, stop: &'d AtomicBool) -> io::Result<Session<'d>> {
    let lag = MachineDelayMonitor::start()?;
    let listen: Vec<SocketAddr> = (0..drill.servers).map(|_| fleet::peer_address()).collect();
    let history = Arc::<History>::default();
    let keys = AuthenticationKeys::parse(fleet::KEY).map_err(io::Error::other)?;
    let net = Net::start(&listen, drill.seed, &keys, &history)?;
    let ledger = Ledger::start(drill.servers, Duration::from_millis(20), drill.seed, &history)?;
    let fleet = Fleet::start(&spec(drill, folder, listen, &net, &ledger))?;
    let begin = Instant::now();
    let supervisor = Supervisor::new(&fleet, folder, begin);
    Ok(Session {
        drill,
        fleet,
        net,
        _ledger: ledger,
        supervisor,
        clients: None,
        rng: Pcg64Mcg::seed_from_u64(drill.seed),
        stop,
        faults: Faults::none(begin),
        lag,
        starts: 0,
    })
}

fn spec(drill: &Drill, folder: &Path, listen: Vec<SocketAddr>, net: &Net, ledger: &Ledger) -> FleetSpec {
    let (most, zone) = drill.most();
    FleetSpec {
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
        folder: folder.into(),
        ..FleetSpec::default()
    }
}
