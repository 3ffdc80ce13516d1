//! Plays one case: fresh processes, steady load, faults at the same time, an ending, and then the oracles.

use super::client::Target;
use super::control::ControlPlane;
use super::inject::{self, Victim};
use super::misuse::HalfSent;
use super::oracles::{self, Failure, Late, Oracle};
use super::plan::{Case, ClientFault, Ending, Fault, SignalFault};
use super::random::Random;
use super::server::{Plan, Server};
use super::settings::FEW_SOCKETS;
use super::traffic::{admin, health, serves_again, steady};
use super::{Defect, Drill};
use rustix::process::Signal;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Steady clients of each server.
const CLIENTS: u64 = 3;
/// Descriptors where no fault is about them.
const SOCKETS: usize = 1_024;
/// Load before the first fault, and after the last.
const BEFORE: Duration = Duration::from_millis(60);
const AFTER: Duration = Duration::from_millis(100);

/// What a case came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Oracles that were not held.
    pub failures: Vec<Failure>,
    /// Answers after they were due.
    pub late: Late,
    /// Requests that were owed an answer, and runs.
    pub requests: usize,
    /// See `requests`.
    pub runs: usize,
    /// The slowest start.
    pub slowest_start: Duration,
}

/// Plays it.
pub fn play(case: &Case, drill: &Drill, folder: &Path, defect: Option<Defect>) -> io::Result<Outcome> {
    std::fs::create_dir_all(folder)?;
    let (control, other_control) = (ControlPlane::start()?, ControlPlane::start()?);
    let fills = case.faults.contains(&Fault::Client(ClientFault::IdleToTheLimit));
    let mut servers = Vec::new();
    for n in 0..case.servers {
        let name = format!("n{n}");
        let plan = Plan {
            daemon: &drill.daemon,
            folder,
            name: &name,
            seed: case.seed.wrapping_add(n as u64),
            sockets: if fills { FEW_SOCKETS } else { SOCKETS },
            calls: case.calls_dependency(),
            peers: case.has_peers(),
            corrupts: defect == Some(Defect::Provenance),
        };
        let server = Server::start(&plan, &control)?;
        other_control.expect(&name, &server.target.record);
        servers.push(Mutex::new(server));
    }
    let mut outcome = Outcome::default();
    for server in &servers {
        let mut server = lock(server);
        if let Some(took) = server.wait_ready() {
            outcome.slowest_start = outcome.slowest_start.max(took);
            continue;
        }
        let seen = format!("{} doesn't serve; threads\n{}", server.target.name, server.target.threads());
        outcome.failures.push(Failure { oracle: Oracle::Starts, seen });
    }
    if outcome.failures.is_empty() {
        let targets: Vec<Target> = servers.iter().map(|server| lock(server).target.clone()).collect();
        thread::scope(|scope| {
            for (n, target) in targets.iter().enumerate() {
                for client in 0..CLIENTS {
                    let seed = case.seed ^ (n as u64 * CLIENTS + client + 1);
                    scope.spawn(move || steady(target, seed));
                }
            }
            thread::sleep(BEFORE);
            let played = course(case, &servers, &targets, [&control, &other_control], defect);
            targets.iter().for_each(|target| target.quiet.store(true, Ordering::SeqCst));
            played
        })?;
    }
    if defect == Some(Defect::Alive) {
        // With nothing open: only its end is to be seen.
        lock(&servers[0]).kill();
    }
    // All are told before any is waited for: else their drains would follow one another.
    for server in &servers {
        let mut server = lock(server);
        if !server.target.is_leaving() {
            server.terminate();
        }
    }
    for server in &servers {
        judge(&mut lock(server), &mut outcome);
    }
    Ok(outcome)
}

fn lock(server: &Mutex<Server>) -> std::sync::MutexGuard<'_, Server> {
    server.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The faults, and the ending.
fn course(
    case: &Case,
    servers: &[Mutex<Server>],
    targets: &[Target],
    [control, other_control]: [&ControlPlane; 2],
    defect: Option<Defect>,
) -> io::Result<()> {
    if defect == Some(Defect::Answers) {
        targets[0].drops_answer.store(true, Ordering::SeqCst);
    }
    thread::scope(|scope| {
        let mut played = Vec::new();
        for (n, server) in servers.iter().enumerate() {
            for (which, fault) in case.faults.iter().enumerate() {
                let target = targets[n].clone();
                let seed = case.seed ^ ((n as u64) << 8) ^ which as u64;
                let injects = move || {
                    let victim = Victim { server, target, control, other_control };
                    inject::play(*fault, &victim, &mut Random::new(seed, 4))
                };
                played.push(scope.spawn(injects));
            }
        }
        if ends_under_load(case) {
            thread::sleep(Duration::from_millis(case.ends_after_ms));
            for (server, target) in servers.iter().zip(targets) {
                end(case, server, target);
            }
        }
        for fault in played {
            fault.join().map_err(|_| io::Error::other("a fault's thread has panicked"))??;
        }
        io::Result::Ok(())
    })?;
    if ends_under_load(case) {
        return Ok(());
    }
    thread::sleep(AFTER);
    for target in targets {
        health(target);
        serves_again(target, case.seed);
        admin(target, "/healthcheck");
        admin(target, "/stats");
    }
    Ok(())
}

/// A server that is killed and started anew in the case can't be told to leave meanwhile: nobody would know of which life.
fn ends_under_load(case: &Case) -> bool {
    case.ending != Ending::Quiet && !case.faults.contains(&Fault::Signal(SignalFault::Kill))
}

fn end(case: &Case, server: &Mutex<Server>, target: &Target) {
    match case.ending {
        Ending::Quiet | Ending::Serving => lock(server).terminate(),
        Ending::Twice => {
            lock(server).terminate();
            lock(server).signal(Signal::TERM);
        }
        Ending::BehindReload => {
            let mut server = lock(server);
            server.signal(Signal::HUP);
            server.terminate();
        }
        Ending::HalfFrame => {
            let half = HalfSent::begin(target, &mut Random::new(case.seed, 5));
            lock(server).terminate();
            half.into_iter().for_each(HalfSent::rest);
        }
    }
}

fn judge(server: &mut Server, outcome: &mut Outcome) {
    let life = server.end().clone();
    outcome.failures.extend(oracles::alive(&life));
    outcome.slowest_start = outcome.slowest_start.max(server.slowest_start);
    let entries = server.target.record.entries();
    let (failures, late) = oracles::answers(&server.target.name, &entries);
    outcome.failures.extend(failures);
    outcome.late.count += late.count;
    outcome.late.most = outcome.late.most.max(late.most);
    outcome.failures.extend(oracles::provenance(&server.target.name, &entries));
    outcome.requests += entries.requests.iter().filter(|r| r.owed && r.written.is_some()).count();
    outcome.runs += entries.commands.len();
}
