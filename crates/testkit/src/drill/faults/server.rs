//! One real server with its stand-ins: started, signalled, killed, and its end.

use super::client::{PATIENCE, Target};
use super::control::ControlPlane;
use super::dependency::Dependency;
use super::oracles::Life;
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

/// Ports below those that the system gives away, of which each process of a test has its own.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;
/// Between looks at a process.
const LOOK: Duration = Duration::from_millis(5);
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// A loopback address and port that nothing else of this process has, and most likely nothing else at all.
pub fn next_address() -> SocketAddr {
    let n = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let port = (FIRST_PORT + std::process::id() % PORTS) as u16;
    let [_, high, middle, low] = n.to_be_bytes();
    SocketAddr::from(([127, 140 + high, middle, low], port))
}

/// The files of a process.
pub struct Files<'a> {
    /// Its configuration.
    pub config: &'a Path,
    /// The settings that are the daemon's own.
    pub own: Option<&'a Path>,
    /// Its standard error.
    pub log: &'a Path,
}

/// Starts the daemon's program with so many descriptors.
pub fn spawn(daemon: &Path, files: &Files<'_>, sockets: usize) -> io::Result<Child> {
    let stderr = File::options().create(true).append(true).open(files.log)?;
    // The shell sets the limit, and becomes the program.
    let script = format!("ulimit -n {sockets} && exec \"$0\" serve \"$@\"");
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &script]).arg(daemon).arg("--config").arg(files.config);
    if let Some(own) = files.own {
        command.arg("--settings").arg(own);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr).spawn()
}

/// Waits until a process has ended.
pub fn wait(child: &mut Child, patience: Duration) -> Option<ExitStatus> {
    let start = Instant::now();
    loop {
        match child.try_wait() {
            Ok(Some(status)) => return Some(status),
            _ if start.elapsed() > patience => return None,
            _ => thread::sleep(LOOK),
        }
    }
}

/// A server under test.
pub struct Server {
    /// As clients see it.
    pub target: Target,
    /// Its processor.
    pub processor: Processor,
    /// The dependency that its runs call, if they do.
    pub dependency: Option<Dependency>,
    /// What it takes for a peer, if it has any.
    pub peer: Option<Arc<Peer>>,
    /// Its configuration in force.
    pub configuration: Value,
    /// Where that is read from.
    pub config: PathBuf,
    /// The file of the settings that are the daemon's own, if it has one.
    own: Option<PathBuf>,
    daemon: PathBuf,
    log: PathBuf,
    sockets: usize,
    child: Option<Child>,
    threads: BTreeSet<String>,
    life: Life,
    /// Of all its starts.
    pub slowest_start: Duration,
}

/// What a server is started with.
pub struct Plan<'a> {
    /// The daemon's program.
    pub daemon: &'a Path,
    /// For its files.
    pub folder: &'a Path,
    /// Its name.
    pub name: &'a str,
    /// For its processor and its own draws.
    pub seed: u64,
    /// Descriptors.
    pub sockets: usize,
    /// Whether runs call a shared dependency.
    pub calls: bool,
    /// Whether it is one of a cluster.
    pub peers: bool,
    /// The seeded defect of provenance.
    pub corrupts: bool,
}

impl Server {
    /// Starts the process and its processor.
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
        let configuration = settings::configuration(plan.name, &addresses, plan.sockets, plan.seed);
        let configuration = match &dependency {
            Some(dependency) => settings::with_dependency(&configuration, dependency.address()),
            None => configuration,
        };
        let peer = plan.peers.then(|| Peer::start(next_address())).transpose()?;
        let own = peer.as_ref().map(|peer| peer.write_settings(plan.folder, plan.name)).transpose()?;
        let config = plan.folder.join(format!("{}.json", plan.name));
        let target = Target {
            name: plan.name.to_string(),
            address: addresses.listen,
            admin: addresses.admin,
            record,
            pid: Arc::default(),
            leaving: Arc::default(),
            quiet: Arc::default(),
            drops_answer: Arc::default(),
        };
        let mut server = Self {
            target,
            processor,
            dependency,
            peer: peer.map(Arc::new),
            configuration,
            config,
            own,
            daemon: plan.daemon.to_path_buf(),
            log: plan.folder.join(format!("{}.log", plan.name)),
            sockets: plan.sockets,
            child: None,
            threads: BTreeSet::new(),
            life: Life { name: plan.name.to_string(), ..Life::default() },
            slowest_start: Duration::ZERO,
        };
        server.write_configuration(&server.configuration.to_string())?;
        server.spawn()?;
        Ok(server)
    }

    /// Writes its file.
    pub fn write_configuration(&self, text: &str) -> io::Result<()> {
        fs::write(&self.config, text)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let files = Files { config: &self.config, own: self.own.as_deref(), log: &self.log };
        let child = spawn(&self.daemon, &files, self.sockets)?;
        self.target.pid.store(child.id(), Ordering::SeqCst);
        self.child = Some(child);
        Ok(())
    }

    /// Waits until it answers a health check well; how long that took from now.
    pub fn wait_ready(&mut self) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if health(&self.target) == Some(true) {
                self.threads = self.thread_names();
                return Some(start.elapsed());
            }
            if self.ended().is_some() {
                return None;
            }
            thread::sleep(LOOK);
        }
        None
    }

    fn thread_names(&self) -> BTreeSet<String> {
        threads::names(self.target.pid.load(Ordering::SeqCst))
    }

    fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        // One that has ended is not there to be told; the oracle sees that.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Kills it and its processor, and starts both again.
    pub fn kill_and_start(&mut self) -> io::Result<()> {
        self.note_early_end();
        if let Some(mut child) = self.child.take() {
            self.target.record.entries().kills.push(Instant::now());
            let _ = child.kill();
            let _ = child.wait();
            // What was written until its end was owed by it, too.
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

    /// Kills it and leaves it so: the seeded defect of the first oracle.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn note_early_end(&mut self) {
        if let Some(status) = self.ended() {
            self.life.ended_early.get_or_insert(status);
        }
    }

    /// Looks at process and threads right before its stop.
    pub fn look_before_stop(&mut self) {
        self.note_early_end();
        if self.life.ended_early.is_none() {
            let now = self.thread_names();
            self.life.missing_threads = self.threads.difference(&now).cloned().collect();
        }
    }

    /// The notice to leave.
    pub fn terminate(&mut self) {
        self.look_before_stop();
        self.target.leaving.store(true, Ordering::SeqCst);
        self.life.was_told = true;
        self.signal(Signal::TERM);
    }

    /// Waits for its end after the notice to leave.
    pub fn end(&mut self) -> &Life {
        if let Some(mut child) = self.child.take() {
            self.life.end = wait(&mut child, PATIENCE);
            if self.life.end.is_none() {
                self.life.hang = self.target.threads();
            }
            let _ = child.kill();
            let _ = child.wait();
        }
        self.life.log = fs::read_to_string(&self.log).unwrap_or_default();
        &self.life
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
