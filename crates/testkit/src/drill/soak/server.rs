//! A server that is upgraded again and again: processes of the daemon on one inherited listener, each with its own
//! processor, and one record of everything that its clients and processors sent and read.

use super::system_faults::SystemFaults;
use crate::drill::faults::client::{RequestOptions, Target};
use crate::drill::faults::control::ControlPlane;
use crate::drill::faults::oracles::ProcessOutcome;
use crate::drill::faults::processor::{Cut, Processor};
use crate::drill::faults::random::Random;
use crate::drill::faults::record::Record;
use crate::drill::faults::server::next_address;
use crate::drill::faults::settings::{self, Addresses, CLAIM};
use crate::fault_proxy::{FaultProxy, LinkFault};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
const MS: u64 = 1_000_000;
/// The configured time from SIGTERM to SIGKILL of every other process; the platform stops it earlier if its deadlines are
/// shorter.
const LATE_STOP_MS: u64 = 3_700;
/// Time after SIGTERM in which requests still run; long, so that some run until the stop.
const DRAIN_GRACE_MS: u64 = 2_500;
/// The platform stops a process this long after its notice, plus its longest deadline.
pub const STOP_GRACE: Duration = Duration::from_millis(700);

/// Parameters of a server.
pub struct Plan<'a> {
    /// Path of the daemon's program.
    pub daemon: &'a Path,
    /// Folder of the server, which its processes share.
    pub folder: PathBuf,
    /// The server's name.
    pub name: String,
    /// Seed of its stand-ins and processes.
    pub seed: u64,
    /// Descriptor limit of a process.
    pub descriptors: usize,
    /// Whether the first processor corrupts one result: the seeded defect of provenance.
    pub corrupts: bool,
}

/// One process of a server.
pub struct Process {
    child: Child,
    admin: SocketAddr,
    config: PathBuf,
    configuration: Value,
    log: PathBuf,
    /// The processor of this process alone.
    pub processor: Processor,
    /// The proxy before it.
    pub proxy: FaultProxy,
    /// Longest deadline of its settings.
    pub deadline: Duration,
    /// When SIGTERM was sent.
    pub terminated_at: Option<Instant>,
    /// Whether it was killed on purpose, or stopped by SIGKILL when its time was up.
    killed: bool,
    name: String,
}

impl Process {
    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        if let (Ok(None), Some(pid)) = (self.child.try_wait(), Pid::from_raw(self.child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM, for the first time or again.
    pub fn terminate(&mut self) {
        self.terminated_at.get_or_insert_with(Instant::now);
        self.signal(Signal::TERM);
    }

    /// When the platform sends SIGKILL at the earliest.
    pub fn stop_at(&self) -> Option<Instant> {
        self.terminated_at.map(|at| at + self.deadline.min(Duration::from_secs(3)) + STOP_GRACE)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.killed = true;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Ends the process by SIGKILL as if it had crashed: the seeded defect of the oracle `Alive`.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether its admin endpoint says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.admin_call("GET /healthcheck").is_ok_and(|text| text.starts_with("HTTP/1.1 200 "))
    }

    /// Makes an operators' call.
    pub fn admin_call(&self, request: &str) -> io::Result<String> {
        let mut socket = TcpStream::connect_timeout(&self.admin, ADMIN_TIMEOUT)?;
        socket.set_read_timeout(Some(ADMIN_TIMEOUT))?;
        socket.write_all(format!("{request} HTTP/1.1\r\n\r\n").as_bytes())?;
        let mut text = String::new();
        socket.read_to_string(&mut text)?;
        Ok(text)
    }

    /// Writes another configuration and has the process read it. A broken text changes nothing.
    pub fn reload(&mut self, deadline: Option<Duration>) -> io::Result<()> {
        let text = match deadline {
            Some(deadline) => {
                self.configuration = with_deadline(&self.configuration, deadline);
                if self.terminated_at.is_none() || deadline < self.deadline {
                    self.deadline = deadline;
                }
                self.configuration.to_string()
            }
            None => "{\"name\":".to_string(),
        };
        fs::write(&self.config, text)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// What is known of the process for the oracles.
    pub fn outcome(&mut self) -> ProcessOutcome {
        let ended = self.child.try_wait().ok().flatten();
        let was_stopped = self.terminated_at.is_some();
        ProcessOutcome {
            name: self.name.clone(),
            ended_early: ended.filter(|_| !was_stopped && !self.killed),
            end: ended,
            was_stopped: was_stopped && !self.killed,
            hang: String::new(),
            log: fs::read_to_string(&self.log).unwrap_or_default(),
            ..ProcessOutcome::default()
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A server and its processes, the newest last.
pub struct Server<'a> {
    plan: Plan<'a>,
    listener: TcpListener,
    control: SocketAddr,
    /// The server as its clients see it.
    pub target: Target,
    /// Faults of system calls, in all its processes.
    pub system_faults: SystemFaults,
    /// Its processes, the newest last.
    pub processes: Vec<Process>,
    /// Processes that were killed before they took over.
    pub ended: Vec<Process>,
}

impl<'a> Server<'a> {
    /// Opens the listener that all processes inherit.
    pub fn create(plan: Plan<'a>, control: &ControlPlane) -> io::Result<Self> {
        fs::create_dir_all(&plan.folder)?;
        let record = Arc::<Record>::default();
        control.expect(&plan.name, &record);
        let listener = TcpListener::bind(next_address())?;
        let target = Target {
            name: plan.name.clone(),
            address: listener.local_addr()?,
            admin: next_address(),
            record,
            pid: Arc::default(),
            stopping: Arc::default(),
            load_stopped: Arc::default(),
            drops_answer: Arc::default(),
        };
        let system_faults = SystemFaults::create(plan.folder.join("faults"))?;
        let control = control.address();
        Ok(Self { plan, listener, control, target, system_faults, processes: Vec::new(), ended: Vec::new() })
    }

    /// Starts another process with this longest deadline.
    pub fn start(&mut self, deadline: Duration) -> io::Result<()> {
        let number = self.processes.len();
        let seed = self.plan.seed.wrapping_mul(31).wrapping_add(number as u64 + 1);
        let corrupts = self.plan.corrupts && number == 0;
        let processor = Processor::start(&self.target.record, seed, false, corrupts)?;
        let proxy = FaultProxy::start(processor.address(), LinkFault::Whole, seed)?;
        let name = format!("{}.{number}", self.plan.name);
        let addresses = Addresses {
            listen: self.target.address,
            admin: next_address(),
            processor: proxy.address(),
            control: self.control,
        };
        let configuration = settings::configuration(&self.plan.name, &addresses, self.plan.descriptors, seed);
        let mut configuration = with_deadline(&configuration, deadline);
        let exact_stop_ms = (deadline + STOP_GRACE).as_millis() as u64;
        let stop_ms = if seed.is_multiple_of(2) { exact_stop_ms } else { LATE_STOP_MS };
        configuration["stop_ms"] = json!(stop_ms);
        configuration["settings"]["rules"]["drain_grace"] = json!(DRAIN_GRACE_MS * MS);
        let config = self.plan.folder.join(format!("{name}.json"));
        fs::write(&config, configuration.to_string())?;
        let log = self.plan.folder.join(format!("{name}.log"));
        let child = self.spawn(&config, &log)?;
        self.target.pid.store(child.id(), Ordering::SeqCst);
        self.processes.push(Process {
            child,
            admin: addresses.admin,
            config,
            configuration,
            log,
            processor,
            proxy,
            deadline,
            terminated_at: None,
            killed: false,
            name,
        });
        Ok(())
    }

    /// Sends a keyed request with a new key; its answer is recorded.
    pub fn serve_keyed(&self) {
        let Some(mut connection) = self.target.connect() else { return };
        let options = RequestOptions { class: Some(CLAIM), ..super::clients::read_options() };
        let number = self.target.record.entries().requests.len() as u64;
        let prepared = connection.prepare(&mut Random::new(number, 13), &options);
        if connection.send(std::slice::from_ref(&prepared)).is_ok() {
            connection.wait_for_answers();
        }
        connection.finish();
    }

    /// Has the newest process lose its link to the processor.
    pub fn cut_link(&self) {
        let cut = Cut { after: 0, resets: false, times: 1 };
        if let Some(process) = self.processes.last() {
            process.processor.script(|script| script.cut_notices = Some(cut));
        }
    }

    /// Starts the program. The listener reaches it as standard input; the shell makes it descriptor 3, and no other
    /// process inherits it.
    fn spawn(&self, config: &Path, log: &Path) -> io::Result<Child> {
        let descriptors = self.plan.descriptors;
        let script = format!("ulimit -n {descriptors} && exec \"$0\" serve --config \"$1\" 3<&0 </dev/null");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &script]).arg(self.plan.daemon).arg(config);
        command.env("GW_ACCEPT_FD", "3").env("TMPDIR", &self.plan.folder);
        self.system_faults.preload(&mut command);
        let listener = Stdio::from(OwnedFd::from(self.listener.try_clone()?));
        command.stdin(listener).stdout(Stdio::null()).stderr(File::create(log)?).spawn()
    }

    /// Waits until the newest process is ready; returns false if it ends or the time is over.
    pub fn wait_ready(&mut self, timeout: Duration) -> bool {
        let start = Instant::now();
        let Some(process) = self.processes.last_mut() else { return false };
        while start.elapsed() < timeout {
            if process.is_ready() {
                return true;
            }
            if process.has_ended() {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

/// Sets the deadline of all classes.
fn with_deadline(configuration: &Value, deadline: Duration) -> Value {
    let mut changed = configuration.clone();
    for class in changed["settings"]["profiles"].as_array_mut().into_iter().flatten() {
        class["deadline"] = json!(deadline.as_millis() as u64 * MS);
    }
    changed
}
