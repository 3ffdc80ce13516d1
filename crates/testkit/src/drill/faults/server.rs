//! One real server with its stand-ins: start, signals, kill and stop.

use super::client::{HANG_TIMEOUT, Target};
use super::control::ControlPlane;
use super::dependency::Dependency;
use super::oracles::ProcessOutcome;
use super::peer::Peer;
use super::processor::Processor;
use super::record::Record;
use super::settings::{self, Addresses};
use super::threads;
use super::traffic::health;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// First and number of ports, below the system's ephemeral range; each test process uses a port of its own.
const FIRST_PORT: u32 = 20_000;
const PORT_COUNT: u32 = 12_000;
/// Interval between checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Returns a loopback address and port that nothing else in this process uses, and most likely no other process.
pub fn next_address() -> SocketAddr {
    let n = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let port = (FIRST_PORT + std::process::id() % PORT_COUNT) as u16;
    let [_, high, middle, low] = n.to_be_bytes();
    SocketAddr::from(([127, 140 + high, middle, low], port))
}

/// The files of a server process.
pub struct Files<'a> {
    /// The configuration file.
    pub config: &'a Path,
    /// The file with settings of the daemon itself, if it has one.
    pub daemon_settings: Option<&'a Path>,
    /// The file that receives standard error.
    pub log: &'a Path,
}

/// Starts the daemon with a limit of `sockets` descriptors.
pub fn spawn(daemon: &Path, files: &Files<'_>, descriptors: usize) -> io::Result<Child> {
    let stderr = File::options().create(true).append(true).open(files.log)?;
    // The shell sets the limit and replaces itself with the daemon.
    let script = format!("ulimit -n {descriptors} && exec \"$0\" serve \"$@\"");
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &script]).arg(daemon).arg("--config").arg(files.config);
    if let Some(daemon_settings) = files.daemon_settings {
        command.arg("--settings").arg(daemon_settings);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr).spawn()
}

/// Waits for the exit of a process; `None` after `patience`.
pub fn wait(child: &mut Child, timeout: Duration) -> Option<ExitStatus> {
    let start = Instant::now();
    loop {
        match child.try_wait() {
            Ok(Some(status)) => return Some(status),
            _ if start.elapsed() > timeout => return None,
            _ => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// A server under test with its stand-ins; the process is killed on drop.
pub struct Server {
    /// The server's addresses and record, as its clients use them.
    pub target: Target,
    /// The processor that the server is linked to.
    pub processor: Processor,
    /// The dependency that its runs call, if the settings have one.
    pub dependency: Option<Dependency>,
    /// The stand-in for a peer, if the server belongs to a cluster.
    pub peer: Option<Arc<Peer>>,
    /// The configuration in force.
    pub configuration: Value,
    /// The file from which the server reads the configuration.
    pub config: PathBuf,
    /// The file with settings of the daemon itself, if it has one.
    daemon_settings: Option<PathBuf>,
    daemon: PathBuf,
    log: PathBuf,
    descriptors: usize,
    child: Option<Child>,
    threads: BTreeSet<String>,
    outcome: ProcessOutcome,
    /// Duration of the slowest start so far.
    pub slowest_start: Duration,
}

/// Parameters of a server.
pub struct Plan<'a> {
    /// Path of the daemon's executable.
    pub daemon: &'a Path,
    /// Folder for configuration and log.
    pub folder: &'a Path,
    /// The server's name, also used in file names.
    pub name: &'a str,
    /// Seed of its stand-ins and of the server.
    pub seed: u64,
    /// Limit on open descriptors.
    pub descriptors: usize,
    /// Whether runs call a shared dependency.
    pub calls: bool,
    /// Whether the server belongs to a cluster.
    pub peers: bool,
    /// Whether the processor corrupts one result: the seeded defect of provenance.
    pub corrupts: bool,
}

impl Server {
    /// Starts the processor, the other stand-ins and the server process.
    pub fn start(plan: &Plan<'_>, control: &ControlPlane) -> io::Result<Self> {
        let record = Arc::<Record>::default();
        control.expect(plan.name, &record);
        let processor = Processor::start(&record, plan.seed, plan.calls, plan.corrupts)?;
        let dependency = plan.calls.then(|| Dependency::start(&record, plan.seed)).transpose()?;
        let addresses = Addresses {
            listen: next_address(),
            admin: next_address(),
            processor: processor.address(),
            control: control.address(),
        };
        let configuration = settings::configuration(plan.name, &addresses, plan.descriptors, plan.seed);
        let configuration = match &dependency {
            Some(dependency) => settings::with_dependency(&configuration, dependency.address()),
            None => configuration,
        };
        let peer = plan.peers.then(|| Peer::start(next_address())).transpose()?;
        let daemon_settings =
            peer.as_ref().map(|peer| peer.write_settings(plan.folder, plan.name)).transpose()?;
        let config = plan.folder.join(format!("{}.json", plan.name));
        let target = Target {
            name: plan.name.to_string(),
            address: addresses.listen,
            admin: addresses.admin,
            record,
            pid: Arc::default(),
            stopping: Arc::default(),
            load_stopped: Arc::default(),
            drops_answer: Arc::default(),
        };
        let mut server = Self {
            target,
            processor,
            dependency,
            peer: peer.map(Arc::new),
            configuration,
            config,
            daemon_settings,
            daemon: plan.daemon.to_path_buf(),
            log: plan.folder.join(format!("{}.log", plan.name)),
            descriptors: plan.descriptors,
            child: None,
            threads: BTreeSet::new(),
            outcome: ProcessOutcome { name: plan.name.to_string(), ..ProcessOutcome::default() },
            slowest_start: Duration::ZERO,
        };
        server.write_configuration(&server.configuration.to_string())?;
        server.spawn()?;
        Ok(server)
    }

    /// Writes the server's configuration file.
    pub fn write_configuration(&self, text: &str) -> io::Result<()> {
        fs::write(&self.config, text)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let files =
            Files { config: &self.config, daemon_settings: self.daemon_settings.as_deref(), log: &self.log };
        let child = spawn(&self.daemon, &files, self.descriptors)?;
        self.target.pid.store(child.id(), Ordering::SeqCst);
        self.child = Some(child);
        Ok(())
    }

    /// Waits for the first positive health check; returns the time since the call, or `None` if the process ended or
    /// the wait timed out.
    pub fn wait_ready(&mut self) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < HANG_TIMEOUT {
            if health(&self.target) == Some(true) {
                self.threads = self.thread_names();
                return Some(start.elapsed());
            }
            if self.ended().is_some() {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    fn thread_names(&self) -> BTreeSet<String> {
        threads::names(self.target.pid.load(Ordering::SeqCst))
    }

    fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        // A process that has ended can't be signalled; the oracle reports its end.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Kills server and processor, starts both again and waits until the server is ready.
    pub fn kill_and_start(&mut self) -> io::Result<()> {
        self.note_early_end();
        if let Some(mut child) = self.child.take() {
            self.target.record.entries().kills.push(Instant::now());
            let _ = child.kill();
            let _ = child.wait();
            // Whatever was written before the process ended is owed no answer either.
            self.target.record.entries().kills.push(Instant::now());
        }
        self.processor.restart_with_server();
        self.spawn()?;
        let what = "a health check after a new start";
        match self.wait_ready() {
            Some(took) => {
                self.slowest_start = self.slowest_start.max(took);
                self.target.record.check(what, Ok("answered".into()));
            }
            None => {
                self.target.record.check(what, Err(format!("it doesn't serve\n{}", self.target.threads())))
            }
        }
        Ok(())
    }

    /// Kills the process without a restart: the seeded defect of [`Oracle::Alive`](super::oracles::Oracle::Alive).
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn note_early_end(&mut self) {
        if let Some(status) = self.ended() {
            self.outcome.ended_early.get_or_insert(status);
        }
    }

    /// Records an early end and missing threads right before the stop.
    pub fn look_before_stop(&mut self) {
        self.note_early_end();
        if self.outcome.ended_early.is_none() {
            let now = self.thread_names();
            self.outcome.missing_threads = self.threads.difference(&now).cloned().collect();
        }
    }

    /// Sends SIGTERM, after the checks of [`Server::look_before_stop`].
    pub fn terminate(&mut self) {
        self.look_before_stop();
        self.target.stopping.store(true, Ordering::SeqCst);
        self.outcome.was_stopped = true;
        self.signal(Signal::TERM);
    }

    /// Waits for the exit after SIGTERM, kills the process after the timeout and reads the log.
    pub fn end(&mut self) -> &ProcessOutcome {
        if let Some(mut child) = self.child.take() {
            self.outcome.end = wait(&mut child, HANG_TIMEOUT);
            if self.outcome.end.is_none() {
                self.outcome.hang = self.target.threads();
            }
            let _ = child.kill();
            let _ = child.wait();
        }
        self.outcome.log = fs::read_to_string(&self.log).unwrap_or_default();
        &self.outcome
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
