//! Rollouts in a real fleet under load: a good release, and a bad one that must stop and roll back, with faults drawn
//! in between. The fleet limits how many servers are out at a time; the drill counts them independently by the list
//! of the stand-in control plane and by the stand-in supervisor.

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

/// CPU time of a run, and cores of each processor.
const RUN_WORK: Duration = Duration::from_millis(20);
const CORES: u32 = 1;
/// Time from SIGTERM to the kill.
const STOP_TIMEOUT: Duration = Duration::from_millis(900);
/// Planned duration of a rollout step: stop, start, the stable periods of the consensus group and of the plan, and
/// the polls in between.
const STEP_DURATION: Duration = Duration::from_millis(900 + 500 + 1_000 + 1_200);
/// Maximum time from the first server with the bad version to the halt.
const REGRESSION_DETECTION_TIME: Duration = Duration::from_secs(10);
/// Minimum service during a release, relative to the same load without one.
const MIN_SERVICE_RATIO: f64 = 0.97;
/// Maximum duration of an undisturbed release, relative to the sum of its steps.
const OVERRUN_LIMIT: f64 = 1.3;

/// Bounds on the machine's scheduling lag; past them, timed claims are not scored. They lie between two runs on a
/// busy machine: with beats late by 0.10 ms on average and 24 ms at most, and 6.4% of the time spent waiting, all
/// went as planned; with 0.85 ms, 255 ms and 19.9%, a good release was rolled back because a class was served late.
const LAG_BOUNDS: Bounds = Bounds {
    mean_wakeup_delay: Duration::from_micros(500),
    max_wakeup_delay: Duration::from_millis(150),
    run_delay_fraction: 0.12,
};

/// Parameters of a drill.
#[derive(Debug, Clone)]
pub struct Drill {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of servers, in three zones; three of them are voters.
    pub servers: usize,
    /// Whether faults are injected during the good release.
    pub faults: bool,
    /// Runs the fleet without limits on servers that are out. The drill must fail then.
    pub plain: bool,
    /// Whether claims that depend on the machine's speed are made: the duration of a release, the time to stop a bad
    /// one, and service.
    pub timed: bool,
    /// Offered load, as a fraction of the capacity of all cores.
    pub load: f64,
    /// Seconds of load without a release, for comparison.
    pub quiet_s: u64,
}

impl Drill {
    fn max_out(&self) -> (u32, u32) {
        if self.servers >= 9 { (2, 1) } else { (1, 1) }
    }
}

/// Plans a batch of one server, then of half and of all. After the first server with the bad version the pause is as
/// long as its detection may take.
fn plan(version: &str) -> RolloutPlan {
    let pause_ms = if version == NO_SAVES { REGRESSION_DETECTION_TIME.as_millis() as u64 } else { 3_000 };
    let batches =
        [(0.0, pause_ms), (0.5, 1_000), (1.0, 0)].map(|(share, pause_ms)| Batch { share, pause_ms });
    RolloutPlan {
        name: format!("to {version}"),
        kind: ReleaseKind::Program,
        version: version.into(),
        batches: batches.into(),
        zone_by_zone: false,
        ready_timeout_ms: 15_000,
        stabilization_ms: 1_000,
        tolerated_regression: 0.05,
        rolls_back: true,
    }
}

/// Runs the drill, prints the claims and returns their verdict.
pub fn run(drill: &Drill) -> io::Result<Verdict> {
    let stop = Arc::<AtomicBool>::default();
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let (max_out, max_zone_out) = drill.max_out();
    println!(
        "seed {}, {} servers in 3 zones, {max_out} may be out, {max_zone_out} of a zone{}",
        drill.seed,
        drill.servers,
        if drill.plain { ", and nothing holds them to it" } else { "" }
    );
    let folder = fleet::folder(if drill.plain { "drill-release-plain" } else { "drill-release" })?;
    let mut session = set_up(drill, &folder, &stop)?;
    let observed = scenario::run(&mut session);
    let lag = session.lag.measured();
    println!("  the machine: {}", lag.summary());
    // The lag of the machine matters only if claims depend on its speed.
    let late = if drill.timed { lag.exceeded(&LAG_BOUNDS) } else { None };
    let mut claims = Claims::on_machine(late);
    match &observed {
        Ok(observations) => claims::claim(&mut claims, &session, observations),
        Err(why) => claims.timed(false, "it could be played", why),
    }
    let cut_short = stop.load(Ordering::Relaxed);
    drop(session);
    fleet::remove(&folder);
    if cut_short {
        println!("stopped before its end");
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
    let (most, zone) = drill.max_out();
    FleetSpec {
        daemon: drill.daemon.clone(),
        servers: drill.servers,
        processor: Spec {
            classes: classes().into_iter().map(|class| (class.name, RUN_WORK)).collect(),
            cores: CORES,
            seed: drill.seed,
            ..Spec::default()
        },
        scale: 4,
        stop: STOP_TIMEOUT,
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
