//! Runs one case: fresh processes under steady load, concurrent faults, an ending, and the oracles.

use super::client::Target;
use super::control::ControlPlane;
use super::inject::{self, FaultTarget};
use super::misuse::HalfSent;
use super::oracles::{self, Failure, Late, Oracle};
use super::plan::{Case, ClientFault, Ending, Fault, SignalFault};
use super::random::Random;
use super::server::{Plan, Server};
use super::settings::FEW_DESCRIPTORS;
use super::traffic::{admin, health, serves_again, steady};
use super::{Defect, Drill};
use rustix::process::Signal;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Steady clients per server.
const CLIENTS: u64 = 3;
/// Descriptor limit unless a fault exhausts the descriptors.
const DESCRIPTORS: usize = 1_024;
/// Time under load before the first fault and after the last.
const LOAD_BEFORE_FAULTS: Duration = Duration::from_millis(60);
const LOAD_AFTER_FAULTS: Duration = Duration::from_millis(100);

/// The result of a case.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Violations of the oracles.
    pub failures: Vec<Failure>,
    /// Late answers.
    pub late: Late,
    /// Number of requests that were owed an answer.
    pub requests: usize,
    /// Number of runs.
    pub runs: usize,
    /// Duration of the slowest start.
    pub slowest_start: Duration,
}

/// Runs a case in a folder of its own.
pub fn run_case(case: &Case, drill: &Drill, folder: &Path, defect: Option<Defect>) -> io::Result<Outcome> {
    std::fs::create_dir_all(folder)?;
    let (control, other_control) = (ControlPlane::start()?, ControlPlane::start()?);
    let exhausts_descriptors = case.faults.contains(&Fault::Client(ClientFault::IdleToTheLimit));
    let mut servers = Vec::new();
    for n in 0..case.servers {
        let name = format!("n{n}");
        let plan = Plan {
            daemon: &drill.daemon,
            folder,
            name: &name,
            seed: case.seed.wrapping_add(n as u64),
            descriptors: if exhausts_descriptors { FEW_DESCRIPTORS } else { DESCRIPTORS },
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
            thread::sleep(LOAD_BEFORE_FAULTS);
            let played = inject_and_end(case, &servers, &targets, [&control, &other_control], defect);
            targets.iter().for_each(|target| target.load_stopped.store(true, Ordering::SeqCst));
            played
        })?;
    }
    if defect == Some(Defect::Alive) {
        // Killed when no request is open, so that only the early end is visible.
        lock(&servers[0]).kill();
    }
    // All servers are signalled before any is waited for, so that they drain in parallel.
    for server in &servers {
        let mut server = lock(server);
        if !server.target.is_stopping() {
            server.terminate();
        }
    }
    for server in &servers {
        evaluate_oracles(&mut lock(server), &mut outcome);
    }
    Ok(outcome)
}

fn lock(server: &Mutex<Server>) -> std::sync::MutexGuard<'_, Server> {
    server.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Injects the faults and carries out the ending.
fn inject_and_end(
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
                    let fault_target = FaultTarget { server, target, control, other_control };
                    inject::inject(*fault, &fault_target, &mut Random::new(seed, 4))
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
            fault.join().map_err(|_| io::Error::other("a thread that injects a fault panicked"))??;
        }
        io::Result::Ok(())
    })?;
    if ends_under_load(case) {
        return Ok(());
    }
    thread::sleep(LOAD_AFTER_FAULTS);
    for target in targets {
        health(target);
        serves_again(target, case.seed);
        admin(target, "/healthcheck");
        admin(target, "/stats");
    }
    Ok(())
}

/// Whether the case ends under load. Not with [`SignalFault::Kill`]: it would be unclear which process receives the
/// SIGTERM.
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

fn evaluate_oracles(server: &mut Server, outcome: &mut Outcome) {
    let process = server.end().clone();
    outcome.failures.extend(oracles::alive(&process));
    outcome.slowest_start = outcome.slowest_start.max(server.slowest_start);
    let entries = server.target.record.entries();
    let (failures, late) = oracles::answers(&server.target.name, &entries);
    outcome.failures.extend(failures);
    outcome.late.count += late.count;
    outcome.late.max_delay = outcome.late.max_delay.max(late.max_delay);
    outcome.failures.extend(oracles::provenance(&server.target.name, &entries));
    outcome.requests += entries.requests.iter().filter(|r| r.owed && r.written.is_some()).count();
    outcome.runs += entries.commands.len();
}
