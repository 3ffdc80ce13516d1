//! Fleets on loopback addresses: real daemons, each with a stand-in processor, and one stand-in control plane.

mod programs;

pub use programs::{daemon, kit};

use crate::control::Control;
use crate::processor::{Begun, Processor, Spec};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Thrift port of every server; each server has its own loopback address.
const PORT: u16 = 18_443;
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// The SCGI address of a server.
pub fn scgi_of(server: SocketAddr) -> SocketAddr {
    SocketAddr::new(server.ip(), PORT + 1)
}

/// The admin address of a server.
pub fn admin_of(server: SocketAddr) -> SocketAddr {
    SocketAddr::new(server.ip(), PORT + 2)
}

/// Reserves a gossip address that no other server of this process uses.
pub fn peer_address() -> SocketAddr {
    SocketAddr::new(next_address().ip(), PORT + 3)
}

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Number of servers.
    pub servers: usize,
    /// Behavior of the stand-in processors.
    pub processor: Spec,
    /// Factor on the times of [`crate::load::classes`]; 4 gives the full times.
    pub scale: u64,
    /// Time from SIGTERM to SIGKILL.
    pub stop: Duration,
    /// Number of client proxies, as announced in the settings.
    pub callers: usize,
    /// Service URLs of registries; empty to run without.
    pub registries: Vec<String>,
    /// Whether servers also accept SCGI, at [`scgi_of`] their address and at a UNIX socket in the folder.
    pub scgi: bool,
    /// Whether servers store keyed runs, in folders beside their logs.
    pub store: bool,
    /// Additional lines for the `registry` block of the settings.
    pub registry_more: String,
    /// Gossip membership and leases, if used.
    pub peers: Option<PeersSpec>,
    /// Consensus group that limits how many servers are out, if used; needs `peers`.
    pub council: Option<CouncilSpec>,
    /// Lines of the `config` block beside `folder`, if classes, tenants and rules come from committed revisions.
    pub configuration: Option<String>,
    /// Limit of sockets in the configuration of each server.
    pub sockets: u32,
    /// Additional classes and tenants in the settings that no request uses.
    pub unused: Unused,
    /// Folder for configuration files, stores and logs.
    pub folder: PathBuf,
}

/// Unused classes and tenants that bring the settings to the size of a large installation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unused {
    /// Number of unused classes.
    pub classes: usize,
    /// Number of unused tenants.
    pub tenants: usize,
}

impl Unused {
    /// Adds the unused classes and tenants to `settings`.
    fn add_to(self, settings: &mut Value) {
        const MS: u64 = 1_000_000;
        let class = |n: usize| {
            json!({"name": format!("class-{n:05}"), "promise": 1_600 * MS, "deadline": 4_000 * MS,
                   "effect": "repeatable", "late_value": 0.0, "worth": 1.0})
        };
        let tenant = |n: usize| json!({"name": format!("tenant-{n:06}"), "portion": 0.0, "quota_rps": 4.0});
        if let Some(profiles) = settings["profiles"].as_array_mut() {
            profiles.extend((0..self.classes).map(class));
        }
        if let Some(customers) = settings["customers"].as_array_mut() {
            customers.extend((0..self.tenants).map(tenant));
        }
    }
}

/// Gossip, lease and ledger settings of a fleet. All lists are indexed by server.
#[derive(Debug, Clone)]
pub struct PeersSpec {
    /// Address that each server receives datagrams at.
    pub listen: Vec<SocketAddr>,
    /// Address that the other servers send datagrams to, by server.
    pub advertise: Vec<SocketAddr>,
    /// Zone of each server.
    pub zones: Vec<String>,
    /// Ledger address of each server.
    pub ledgers: Vec<SocketAddr>,
    /// Ledger slots of each server; may be fractional.
    pub share: f64,
    /// Whether servers lend slots to each other.
    pub lends: bool,
    /// Whether lenders ignore the expiry of leases; only drills use this, to show that their checks catch it.
    pub plain: bool,
}

/// Consensus group that decides which servers may be out.
#[derive(Debug, Clone)]
pub struct CouncilSpec {
    /// Number of voters: the first servers of the fleet.
    pub voters: usize,
    /// Maximum number of servers of the fleet that may be out at once.
    pub most: u32,
    /// Maximum number of servers of one zone that may be out at once.
    pub zone: u32,
    /// Whether the limits are ignored; only drills use this, to show that their checks catch it.
    pub plain: bool,
}

impl CouncilSpec {
    /// The `council` block in the settings file of server `n`.
    fn settings(&self, n: usize, folder: &Path) -> String {
        let voters: String = (0..self.voters).map(|n| format!("    voter \"n{n}\"\n")).collect();
        let path = |suffix: &str| folder.join(format!("n{n}.{suffix}")).display().to_string();
        let own = if n < self.voters { format!("    folder {:?}\n", path("council")) } else { String::new() };
        let plain = if self.plain { "    drill-ignores-limits #true\n" } else { "" };
        let (most, zone) = (self.most, self.zone);
        format!(
            "council {{\n{voters}{own}{plain}    stage {:?}\n    replace-command {:?}\n    most-out {most}\n    \
             most-out-of-a-zone {zone}\n    steady-ms 1000\n}}\n",
            path("stage"),
            folder.join("replace").display().to_string()
        )
    }
}

/// Writes the replace command of the daemons, which leaves the wanted version in a file for the stand-in supervisor.
fn write_replace(folder: &Path) -> io::Result<()> {
    use std::os::unix::fs::PermissionsExt;
    let path = folder.join("replace");
    let folder = folder.display();
    let text = format!(
        "#!/bin/sh\necho \"$1\" > \"{folder}/$2.tmp\" && mv \"{folder}/$2.tmp\" \"{folder}/$2.wanted\"\n"
    );
    std::fs::write(&path, text)?;
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755))
}

/// Gossip authentication key of test fleets; not a secret.
pub const KEY: &str = "a1b2c3d4e5f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8f90";

impl PeersSpec {
    /// The `cluster` block in the settings file of server `n`; the key file is in `folder`.
    fn settings(&self, n: usize, folder: &Path) -> String {
        let seeds: String =
            self.advertise.iter().take(3).map(|seed| format!("    seed \"{seed}\"\n")).collect();
        let plain = if self.plain { "drill-ignore-expiry #true" } else { "" };
        let leases =
            if self.lends { format!("    leases {{\n        {plain}\n    }}\n") } else { String::new() };
        let key = folder.join("fleet.keys").display().to_string();
        format!(
            "cluster {{\n    listen \"{}\"\n    advertise \"{}\"\n    zone {:?}\n{seeds}    key-file {key:?}\n{leases}}}\n",
            self.listen[n], self.advertise[n], self.zones[n]
        )
    }
}

impl Default for FleetSpec {
    /// One server with a default processor and no optional parts; the caller sets `daemon` and `folder`.
    fn default() -> Self {
        Self {
            daemon: PathBuf::new(),
            servers: 1,
            processor: Spec::default(),
            scale: 1,
            stop: Duration::from_millis(2_500),
            callers: 1,
            registries: Vec::new(),
            scgi: false,
            store: false,
            registry_more: String::new(),
            peers: None,
            council: None,
            configuration: None,
            sockets: 1024,
            unused: Unused::default(),
            folder: PathBuf::new(),
        }
    }
}

/// CPU time of a process so far, at 100 ticks per second.
pub fn cpu_of(pid: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * 10))
}

/// Memory of a process in bytes by its field in `/proc/PID/status`: `VmRSS` for the current, `VmHWM` for the peak size.
pub fn memory_of(pid: u32, figure: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(figure)?.strip_prefix(':'))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

/// Creates a temporary folder for the files of a run.
pub fn folder(name: &str) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("gradepin-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Next loopback address that no other server of this process uses.
fn next_address() -> SocketAddr {
    let (pid, n) = (std::process::id(), NEXT_HOST.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, 64 + ((pid >> 8) % 64) as u8, (pid % 256) as u8, n], PORT))
}

/// Settings of the standard deployment; at a scale of 1 its times are those of [`crate::load::classes`].
pub fn settings(spec: &FleetSpec) -> Value {
    const MS: u64 = 1_000_000;
    let profile = |name: &str, aim: u64, deadline: u64, priority_weight: f64, effect: &str, late: f64| {
        json!({"name": name, "promise": aim * spec.scale * MS, "deadline": deadline * spec.scale * MS, "effect": effect, "late_value": late,
               "window": 8_000 * MS, "worth": priority_weight})
    };
    let tenant =
        |name: &str, portion: f64| json!({"name": name, "portion": portion, "quota_rps": 400.0 * portion});
    json!({
        "granularity": MS,
        "servers": spec.servers,
        "profiles": [
            profile("sheet-view", 400, 1000, 1.0, "repeatable", 0.0),
            profile("deep-zoom", 550, 1450, 1.0, "repeatable", 0.0),
            profile("label-read", 400, 1000, 2.0, "repeatable", 0.0),
            profile("label-save", 400, 1000, 4.0, "by_key", 0.2),
        ],
        "callers": {"marks_retry": true},
        "customers": [tenant("etela-kasvio", 0.42), tenant("lansi-kasvio", 0.26), tenant("ita-kasvio", 0.18),
                      tenant("pohjois-kasvio", 0.14)],
        "goal": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
        "limits": {"max_retry_after": 1000 * MS, "retry_after": true},
        "over_share_worth": 0.05,
        "tier": 0,
        "worth_by": "request",
        "prices": {"connection": 0.0, "handshake": 0.0, "late_fail": 0.0, "origin": 0.0, "waste": 0.0},
        "rules": {"answer_slack": 100 * MS, "cold": spec.processor.warms_in.as_nanos() as u64, "cold_share": 0.21,
                  "drain_grace": 1800 * MS, "fall": 1500 * MS, "tip_multiple": 8.0},
        "specifics": {"advert": "threshold", "below": "off", "clients_total": spec.callers,
                      "gauges": ["core_use", "on_cores", "heap_share", "links"], "heeded": 1000 * MS,
                      "idle": 8000 * MS, "kb_per_key": 45.5, "linger": 200 * MS, "list_follows": true,
                      "memory_kb": spec.processor.memory_kb, "n_cores": spec.processor.cores,
                      "passes_deadline": true, "run_factor": 8.0, "share_span": 5000 * MS, "stop_mode": "off",
                      "tells_gone": true, "calls_by_class": [], "class_skip_worth": [], "calls_out": 0.0,
                      "fresh_for": 0, "full_checks": false, "just_started": false}
    })
}

/// The `scgi` block with a route for each class, such as `/sheet-view/7`.
fn scgi_settings(listen: SocketAddr, socket: &Path) -> String {
    let mut text = format!(
        "scgi {{\n    listen \"{listen}\"\n    unix {:?}\n    health \"/health\"\n",
        socket.display().to_string()
    );
    for (class, method) in
        [("sheet-view", "GET"), ("deep-zoom", "GET"), ("label-read", "GET"), ("label-save", "PUT")]
    {
        text.push_str(&format!("    route \"/{class}/{{id}}\" method=\"{method}\" class=\"{class}\"\n"));
    }
    text + "}\n"
}

/// One server process with its stand-in processor.
pub struct Node {
    /// Server name: `n` and its index.
    pub name: String,
    /// Thrift address.
    pub address: SocketAddr,
    /// Stand-in processor, which outlives restarts of the server.
    pub processor: Processor,
    /// Runs collected from the processor so far.
    pub begun: Vec<Begun>,
    /// The server process, unless killed.
    child: Option<Child>,
    config: PathBuf,
    /// Settings file, if the server has one.
    pub own: Option<PathBuf>,
    log: PathBuf,
    daemon: PathBuf,
    stop: Duration,
    /// Program version that the next start announces.
    pub version: String,
}

impl Node {
    /// Starts the server process; its log is appended to.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.daemon);
        command
            .arg("serve")
            .arg("--config")
            .arg(&self.config)
            .arg("--program-version")
            .arg(&self.version)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(own) = &self.own {
            command.arg("--settings").arg(own);
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Edits the configuration file, which takes effect at the next start or reload.
    pub fn edit(&self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        let mut config = serde_json::from_slice(&std::fs::read(&self.config)?)?;
        change(&mut config);
        std::fs::write(&self.config, config.to_string())
    }

    /// Size of the configuration file in bytes.
    pub fn config_bytes(&self) -> io::Result<u64> {
        Ok(std::fs::metadata(&self.config)?.len())
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        // Fails if the process has ended, which is not an error here.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Content of the log over all starts; empty if it can't be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Time that the last start took to read the store, in ms, from the log.
    pub fn opened(&self) -> Option<u64> {
        let log = self.log();
        let (_, last) = log.rsplit_once("the store was read in ")?;
        last.split_once(" ms")?.0.parse().ok()
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Address of the admin endpoint.
    pub fn admin(&self) -> SocketAddr {
        admin_of(self.address)
    }

    /// Sends SIGHUP, which makes the server reload its files.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether the process was started and not killed since; it may have crashed.
    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process and collects the runs of its processor.
    pub fn kill(&mut self) {
        self.begun.extend(self.processor.begun());
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended without [`Node::kill`].
    pub fn crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// CPU time of the process so far.
    pub fn cpu(&self) -> Option<Duration> {
        cpu_of(self.child.as_ref()?.id())
    }

    /// Process ID, unless killed.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.child.as_ref()?.id())).ok()?.count())
    }

    /// Current resident memory of the process in bytes.
    pub fn memory(&self) -> Option<u64> {
        memory_of(self.child.as_ref()?.id(), "VmRSS")
    }

    /// From the notice to the kill.
    pub fn stop(&self) -> Duration {
        self.stop
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Running fleet; its processes are killed when it is dropped.
pub struct Fleet {
    /// Servers by index.
    pub nodes: Vec<Node>,
    /// Stand-in control plane that all servers report to.
    pub control: Control,
}

impl Fleet {
    /// Starts all servers and waits until the control plane lists each as ready.
    pub fn start(spec: &FleetSpec) -> io::Result<Self> {
        let control = Control::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut nodes = Vec::new();
        if spec.peers.is_some() {
            // Written once, before any server reads it.
            std::fs::write(spec.folder.join("fleet.keys"), KEY)?;
            write_replace(&spec.folder)?;
        }
        for n in 0..spec.servers {
            let name = format!("n{n}");
            let address = next_address();
            let local = SocketAddr::from(([127, 0, 0, 1], 0));
            let processor = Processor::start(
                local,
                Spec { seed: spec.processor.seed + n as u64, ..spec.processor.clone() },
            )?;
            let config = spec.folder.join(format!("{name}.json"));
            let mut text = json!({
                "name": name, "listen": address, "processor": processor.address(), "control": control.address(),
                "seed": format!("{:016x}", spec.processor.seed + n as u64), "stop_ms": spec.stop.as_millis() as u64,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": spec.sockets}, "settings": settings(spec)
            });
            if spec.unused != Unused::default() {
                text["admin_addr"] = json!(admin_of(address));
                spec.unused.add_to(&mut text["settings"]);
            }
            if let Some(peers) = &spec.peers {
                text["ledger"] = json!(peers.ledgers[n]);
                text["admin_addr"] = json!(admin_of(address));
                let specifics = &mut text["settings"]["specifics"];
                specifics["below"] = json!("shared");
                specifics["calls_out"] = json!(peers.share);
                specifics["calls_by_class"] = json!([true, true, true, true]);
                specifics["class_skip_worth"] = json!([0.0, 0.0, 0.0, 0.0]);
            }
            std::fs::write(&config, text.to_string())?;
            let needs_settings =
                spec.scgi || spec.store || spec.peers.is_some() || !spec.registries.is_empty();
            let own = needs_settings.then(|| spec.folder.join(format!("{name}.kdl")));
            if let Some(own) = &own {
                let urls: String = spec.registries.iter().map(|url| format!("    url \"{url}\"\n")).collect();
                let more = &spec.registry_more;
                let registry =
                    format!("registry {{\n{urls}    app \"TILE-SERVER\"\n    vip \"tiles\"\n{more}\n}}\n");
                let registry = if spec.registries.is_empty() { String::new() } else { registry };
                let socket = spec.folder.join(format!("{name}.sock"));
                let scgi = if spec.scgi { scgi_settings(scgi_of(address), &socket) } else { String::new() };
                let path = spec.folder.join(format!("{name}.store")).display().to_string();
                let store =
                    if spec.store { format!("store {{\n    path {path:?}\n}}\n") } else { String::new() };
                let peers = spec.peers.as_ref().map(|peers| peers.settings(n, &spec.folder));
                let council = spec.council.as_ref().map(|council| council.settings(n, &spec.folder));
                let folder = spec.folder.join(format!("{name}.configuration")).display().to_string();
                let service = spec.configuration.as_ref();
                let service = service.map(|more| format!("config {{\n    folder {folder:?}\n{more}\n}}\n"));
                let other_blocks =
                    peers.unwrap_or_default() + &council.unwrap_or_default() + &service.unwrap_or_default();
                std::fs::write(own, registry + &scgi + &store + &other_blocks)?;
            }
            let (log, daemon) = (spec.folder.join(format!("{name}.log")), spec.daemon.clone());
            let mut node = Node {
                name,
                address,
                processor,
                begun: Vec::new(),
                child: None,
                config,
                own,
                log,
                daemon,
                stop: spec.stop,
                version: "v1".into(),
            };
            node.spawn()?;
            nodes.push(node);
        }
        let mut fleet = Self { nodes, control };
        fleet.wait_ready(Duration::from_secs(20))?;
        Ok(fleet)
    }

    fn wait_ready(&mut self, timeout: Duration) -> io::Result<()> {
        let start = Instant::now();
        loop {
            let ready = self.control.roster().ready(Instant::now(), Duration::ZERO).len();
            if ready == self.nodes.len() {
                return Ok(());
            }
            if let Some(node) = self.nodes.iter_mut().find_map(|node| node.crashed().then_some(&node.log)) {
                return Err(io::Error::other(format!(
                    "a server exited during start-up; see its log {}",
                    node.display()
                )));
            }
            if start.elapsed() > timeout {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the fleet did not become ready within the start-up timeout",
                ));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Collects the runs of all processors.
    pub fn collect(&mut self) {
        for node in &mut self.nodes {
            node.begun.extend(node.processor.begun());
        }
    }

    /// Shuts all servers down with SIGTERM and kills them after the stop time.
    pub fn drain(&mut self) {
        self.nodes.iter().for_each(Node::terminate);
        let stop = self.nodes.iter().map(Node::stop).max().unwrap_or_default();
        thread::sleep(stop);
        self.nodes.iter_mut().for_each(Node::kill);
    }
}

/// Removes the folder of a run; failures are ignored.
pub fn remove(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
