//! Drains under load while the registry fails. Checks that the server still answers everything and runs nothing late
//! or twice, and that callers that follow the registry notice the drain in time.

use super::{Claims, quantile};
use crate::fleet::{self, Fleet, FleetSpec};
use crate::load::{Attempt, End, Proxy, ProxyBehavior, Records, Servers, StaticServers, classes};
use crate::processor::{Begun, Spec};
use crate::registry::faults::Fault;
use crate::registry::server::{Server, ServerSettings, unix_ms};
use crate::registry::state::RegistrySettings;
use crate::watch::Watcher;
use gradepin_admission::Span;
use gradepin_node::settings::ServiceUrl;
use gradepin_registry::instance::InstanceStatus;
use gradepin_registry::view::ViewSettings;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of the drain rule, and the slack for transmission over sockets.
const GRACE_MS: u64 = 1_800;
const SLACK_MS: u64 = 50;
/// Time that a caller grants beyond the due time by the rules on sockets.
const ANSWER_SLACK_MS: u64 = 150;
/// A request written this shortly before the kill may never have been read.
const UNREAD_MS: u64 = 100;

/// Parameters of a drill.
#[derive(Debug, Clone)]
pub struct Drill {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of drains over all fleets.
    pub drains: usize,
    /// Number of fleets that run in parallel.
    pub fleets: usize,
    /// Number of servers per fleet.
    pub servers: usize,
    /// First attempts per second and fleet.
    pub rate: f64,
    /// Runs without a registry: servers don't register and callers use a fixed list.
    pub plain: bool,
}

/// The course of one drain; times in Unix milliseconds.
#[derive(Debug, Clone)]
struct Drain {
    fault: Fault,
    server: SocketAddr,
    sigterm_ms: u64,
    killed_ms: u64,
    back_ms: u64,
    out_after: Option<u64>,
    up_after: Option<u64>,
}

#[derive(Debug, Default)]
struct FleetRun {
    clients: Vec<Records>,
    drains: Vec<Drain>,
    begun: BTreeMap<SocketAddr, Vec<Begun>>,
    cpu_ms: u64,
    calls: u64,
    seconds: f64,
}

/// Runs the drill, prints the claims and returns whether all are kept.
pub fn run(drill: &Drill) -> io::Result<bool> {
    let folder = fleet::folder("drill-registry")?;
    println!(
        "seed {}, {} drains over {} fleets of {} servers",
        drill.seed, drill.drains, drill.fleets, drill.servers
    );
    let each = drill.drains.div_ceil(drill.fleets.max(1));
    let start_fleet = |n: usize, with: bool, drains: usize| {
        let (drill, folder) = (drill.clone(), folder.join(format!("fleet{n}")));
        thread::spawn(move || -> io::Result<FleetRun> {
            std::fs::create_dir_all(&folder)?;
            run_fleet(&drill, drill.seed + 1000 * n as u64, with, drains, folder)
        })
    };
    // The same drains without a registry run in parallel, to count the failed attempts of callers with a fixed list.
    let plain = start_fleet(drill.fleets, false, each.min(20));
    let fleets: Vec<_> = (0..drill.fleets).map(|n| start_fleet(n, !drill.plain, each)).collect();
    let join = |handle: thread::JoinHandle<io::Result<FleetRun>>| {
        handle.join().map_err(|_| io::Error::other("a fleet's thread has panicked"))?
    };
    let runs = fleets.into_iter().map(join).collect::<io::Result<Vec<FleetRun>>>()?;
    let plain = join(plain)?;
    let kept = make_claims(drill, &runs, &plain);
    if kept {
        fleet::remove(&folder);
    } else {
        println!("logs are in {}", folder.display());
    }
    Ok(kept)
}

fn url(server: &Server) -> ServiceUrl {
    ServiceUrl { url: server.url(), login: None }
}

fn run_fleet(drill: &Drill, seed: u64, with: bool, drains: usize, folder: PathBuf) -> io::Result<FleetRun> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rules = RegistrySettings { cache_ms: 50, evict_every_ms: 500, ..RegistrySettings::default() };
    let set = ServerSettings { rules, peer_delay: Duration::from_millis(30), ..ServerSettings::default() };
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let registries = [Server::start(local, set.clone())?, Server::start(local, set)?];
    registries[0].follows(&registries[1]);
    registries[1].follows(&registries[0]);
    let spec = FleetSpec {
        daemon: drill.daemon.clone(),
        servers: drill.servers,
        processor: Spec {
            classes: classes().iter().map(|class| (class.name.clone(), Duration::from_millis(40))).collect(),
            warms_in: Duration::from_secs(2),
            seed,
            ..Spec::default()
        },
        callers: 2,
        registries: if with { registries.iter().map(Server::url).collect() } else { Vec::new() },
        registry_more: "    heartbeat-ms 1000\n    lease-ms 3000\n    timeout-ms 500\n    steady-ms 100\n    tell-every-ms 200\n    prefer-every-ms 2000".into(),
        folder,
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&spec)?;
    let urls: Vec<ServiceUrl> = registries.iter().map(url).collect();
    let set = ViewSettings { refresh: Span(200_000_000), retry: Span(50_000_000), ..ViewSettings::default() };
    let mut watchers = Vec::new();
    let mut proxies = Vec::new();
    let all: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
    if with {
        wait_until(Duration::from_secs(20), || {
            fleet.nodes.iter().all(|node| listed_status(&registries, &node.name) == Some(InstanceStatus::Up))
        });
    }
    for n in 0..2 {
        let servers: Box<dyn Servers> = if with {
            let watcher = Watcher::start(&urls, set.clone(), Duration::from_millis(300), seed + n)?;
            wait_until(Duration::from_secs(10), || watcher.view().len() == drill.servers);
            let servers = watcher.servers("tiles");
            watchers.push(watcher);
            servers
        } else {
            Box::new(StaticServers { all: all.clone(), turn: n as usize })
        };
        let habit = ProxyBehavior::thrift(drill.rate / 2.0, 4, false);
        proxies.push(Proxy::start(n + 1, seed + 7 * n, habit, servers)?);
    }
    let mut run = FleetRun::default();
    let start = Instant::now();
    let kinds = Fault::kinds();
    for k in 0..drains {
        thread::sleep(Duration::from_millis(200 + rng.next_u64() % 200));
        let which = k % fleet.nodes.len();
        let fault = kinds[(seed as usize + k) % kinds.len()].clone();
        // The fault begins up to 300 ms before or after SIGTERM.
        let offset = rng.next_u64() % 600;
        let faulty = &registries[0];
        if offset < 300 {
            faulty.fail(fault.clone());
            thread::sleep(Duration::from_millis(300 - offset));
        }
        let node = &mut fleet.nodes[which];
        let cpu = node.cpu();
        node.terminate();
        let (sigterm_ms, at) = (unix_ms(), Instant::now());
        let mut late = (offset >= 300).then(|| Duration::from_millis(offset - 300));
        let mut out_after = None;
        while at.elapsed() < spec.stop {
            if late.is_some_and(|late| at.elapsed() >= late) {
                late = None;
                faulty.fail(fault.clone());
            }
            if out_after.is_none()
                && listed_status(&registries, &node.name) == Some(InstanceStatus::OutOfService)
            {
                out_after = Some(at.elapsed().as_millis() as u64);
            }
            thread::sleep(Duration::from_millis(2));
        }
        run.cpu_ms += node.cpu().zip(cpu).map_or(0, |(after, before)| (after - before).as_millis() as u64);
        let killed_ms = unix_ms();
        node.kill();
        faulty.fail(Fault::None);
        node.processor.restart(0.21);
        let again = Instant::now();
        node.spawn()?;
        let name = node.name.clone();
        let up = || {
            if with {
                listed_status(&registries, &name) == Some(InstanceStatus::Up)
            } else {
                fleet.control.roster().ready(Instant::now(), Duration::ZERO).contains(&name)
            }
        };
        let is_up = wait_until(Duration::from_secs(15), up);
        let up_after = is_up.then(|| again.elapsed().as_millis() as u64);
        let back_ms = unix_ms();
        run.drains.push(Drain {
            fault,
            server: all[which],
            sigterm_ms,
            killed_ms,
            back_ms,
            out_after,
            up_after,
        });
    }
    run.seconds = start.elapsed().as_secs_f64();
    run.calls = registries.iter().map(Server::requests).sum();
    run.clients = proxies.into_iter().map(Proxy::stop).collect();
    fleet.drain();
    for node in &mut fleet.nodes {
        run.begun.insert(node.address, std::mem::take(&mut node.begun));
    }
    Ok(run)
}

/// The status of an instance over both registries, since callers may ask either; out of service takes precedence.
fn listed_status(registries: &[Server; 2], id: &str) -> Option<InstanceStatus> {
    let of = |registry: &Server| registry.instance("TILE-SERVER", id).map(|i| i.status);
    let states = registries.iter().filter_map(of);
    states.clone().find(|status| *status == InstanceStatus::OutOfService).or_else(|| states.clone().next())
}

fn wait_until(timeout: Duration, done: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    false
}

/// Number of failed attempts at a drained server that a notice in time would have avoided.
fn failed_attempts(run: &FleetRun, drain: &Drain) -> usize {
    let avoidable = |t: &&Attempt| {
        let at = (drain.sigterm_ms..drain.back_ms).contains(&t.t0_ms) && t.server == drain.server;
        at && matches!(t.end, End::Refused | End::NoConnection | End::Lost | End::Failed)
    };
    run.clients.iter().flat_map(|client| &client.tries).filter(avoidable).count()
}

fn make_claims(drill: &Drill, runs: &[FleetRun], plain: &FleetRun) -> bool {
    let mut claims = Claims::default();
    let drains: Vec<&Drain> = runs.iter().flat_map(|run| &run.drains).collect();
    let tries: Vec<&Attempt> =
        runs.iter().flat_map(|run| &run.clients).flat_map(|client| &client.tries).collect();
    let requests = || runs.iter().flat_map(|run| &run.clients).flat_map(|client| &client.requests);
    let served = requests().filter(|asked| asked.took_ms.is_some()).count();
    println!("{} requests, {served} served, {} tries", requests().count(), tries.len());

    // Attempts written to a server that could still read them.
    let read = |t: &&&Attempt| {
        let killed =
            |d: &&&Drain| d.server == t.server && (d.killed_ms - UNREAD_MS..d.back_ms).contains(&t.t0_ms);
        t.end != End::NoConnection && !drains.iter().any(|d| killed(&d))
    };
    let owed: Vec<&&Attempt> = tries.iter().filter(read).collect();
    let unanswered = owed.iter().filter(|t| matches!(t.end, End::Lost | End::TimedOut));
    let late = owed.iter().filter(|t| t.end_ms > t.t0_ms + t.budget_ms + ANSWER_SLACK_MS);
    let (unanswered, late) = (unanswered.count(), late.count());
    claims.claim(
        unanswered + late == 0 && !owed.is_empty(),
        "answered by the due time",
        format!("{} of {}, {unanswered} never, {late} late", owed.len() - unanswered - late, owed.len()),
    );
    let false_answers = tries.iter().filter(|t| t.end == End::Served && !t.correct_result).count();
    claims.claim(false_answers == 0, "served with what no run made", false_answers);

    let written: BTreeMap<&str, &Attempt> = tries.iter().map(|t| (t.rid.as_str(), *t)).collect();
    let (mut late_runs, mut twice, mut began, mut keyed) = (0, 0, 0, 0);
    for run in runs {
        for (server, begun) in &run.begun {
            began += begun.len();
            let drained: Vec<&Drain> = run.drains.iter().filter(|d| d.server == *server).collect();
            for b in begun {
                let Some(t) = written.get(b.id.as_str()) else { continue };
                let after = |d: &&&Drain| {
                    t.t0_ms > d.sigterm_ms + GRACE_MS + SLACK_MS
                        && t.t0_ms < d.killed_ms
                        && b.at_ms < d.killed_ms
                };
                late_runs += usize::from(drained.iter().any(|d| after(&d)));
            }
            // A killed server doesn't know what ran before, so runs are counted separately for each start of the
            // process.
            let generation = |b: &Begun| drained.iter().filter(|d| d.killed_ms <= b.at_ms).count();
            let saves = begun.iter().filter(|b| b.class == "label-save");
            let mut counts = BTreeMap::<(usize, &[u8]), usize>::new();
            for b in saves {
                keyed += 1;
                *counts.entry((generation(b), &b.body)).or_default() += 1;
            }
            twice += counts.values().filter(|count| **count > 1).count();
        }
    }
    claims.claim(
        late_runs == 0 && began > 0,
        "runs past 1.8 s after the notice",
        format!("{late_runs} of {began} runs"),
    );
    claims.claim(twice == 0 && keyed > 0, "label-save run twice", format!("{twice} of {keyed} runs"));

    let failed_count: usize =
        runs.iter().map(|run| run.drains.iter().map(|d| failed_attempts(run, d)).sum::<usize>()).sum();
    let plain_failed: usize = plain.drains.iter().map(|d| failed_attempts(plain, d)).sum();
    let each = failed_count as f64 / drains.len().max(1) as f64;
    let plain_each = plain_failed as f64 / plain.drains.len().max(1) as f64;
    claims.claim(
        plain_each > 0.0 && each < 0.01 * plain_each,
        "tries in vain at a server that left, under 1% of those by a fixed list",
        format!("{each:.2} a drain against {plain_each:.2}"),
    );
    if !drill.plain {
        let unseen = drains.iter().filter(|d| d.out_after.is_none()).count();
        claims.claim(
            unseen == 0,
            "out of service seen at a registry before the stop",
            format!("not in {unseen} of {} drains", drains.len()),
        );
        let not_up = drains.iter().filter(|d| d.up_after.is_none()).count();
        claims.claim(not_up == 0, "up again within 15 s of a cold return", format!("not in {not_up}"));
        let sorted = |of: fn(&Drain) -> Option<u64>| {
            let mut all: Vec<u64> = drains.iter().filter_map(|d| of(d)).collect();
            all.sort_unstable();
            all
        };
        let (out, up) = (sorted(|d| d.out_after), sorted(|d| d.up_after));
        println!(
            "from SIGTERM to OUT_OF_SERVICE: p50 {} ms, p99 {} ms",
            quantile(&out, 0.5),
            quantile(&out, 0.99)
        );
        println!("from a cold return to UP: p50 {} ms, p99 {} ms", quantile(&up, 0.5), quantile(&up, 0.99));
        let mut by_fault = BTreeMap::<String, (usize, usize, Vec<u64>)>::new();
        for run in runs {
            for d in &run.drains {
                let entry = by_fault.entry(d.fault.to_string()).or_default();
                entry.0 += 1;
                entry.1 += failed_attempts(run, d);
                entry.2.extend(d.out_after);
            }
        }
        for (fault, (count, failed_count, mut out)) in by_fault {
            out.sort_unstable();
            println!(
                "  {fault:<22} {count:>3} drains, {failed_count:>3} in vain, out after p50 {} ms, most {} ms",
                quantile(&out, 0.5),
                quantile(&out, 1.0)
            );
        }
        let calls: u64 = runs.iter().map(|run| run.calls).sum();
        let seconds: f64 = runs.iter().map(|run| run.seconds).sum();
        println!(
            "registry requests a second and fleet, callers' fetches among them: {:.1}",
            calls as f64 / seconds.max(1e-9)
        );
    }
    claims.all_kept()
}
