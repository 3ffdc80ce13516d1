//! A fleet on loopback addresses: real daemons, each with a stand-in processor, and one control plane.

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

/// Port of every server; each has a loopback address of its own.
const PORT: u16 = 18_443;
static NEXT: AtomicU8 = AtomicU8::new(1);

/// The SCGI address of a server.
pub fn scgi_of(server: SocketAddr) -> SocketAddr {
    SocketAddr::new(server.ip(), PORT + 1)
}

/// Where a server's operators call.
pub fn admin_of(server: SocketAddr) -> SocketAddr {
    SocketAddr::new(server.ip(), PORT + 2)
}

/// An address for a server's datagrams that no other server of this process has.
pub fn peer_address() -> SocketAddr {
    SocketAddr::new(next_address().ip(), PORT + 3)
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Servers.
    pub servers: usize,
    /// What their processors are like.
    pub processor: Spec,
    /// Times of the classes, in quarters of the brief's.
    pub scale: u64,
    /// From SIGTERM to the kill.
    pub stop: Duration,
    /// Client proxies that there will be.
    pub callers: usize,
    /// Service URLs of registries; none for none.
    pub registries: Vec<String>,
    /// Whether the servers take SCGI too, on [`scgi_of`] their addresses and a UNIX socket in the folder.
    pub scgi: bool,
    /// Whether the servers keep keyed runs in folders beside their logs.
    pub store: bool,
    /// More lines for the registry's settings.
    pub registry_more: String,
    /// Servers that talk to each other, if they do.
    pub peers: Option<PeersSpec>,
    /// And agree on who may be out.
    pub council: Option<CouncilSpec>,
    /// Lines of the `config` block beside the folder, where classes, tenants and rules come from committed revisions.
    pub configuration: Option<String>,
    /// Descriptors that each server may have.
    pub sockets: u32,
    /// Classes and tenants of the settings beside those of the brief, which no request names.
    pub unused: Unused,
    /// Where files and logs go.
    pub folder: PathBuf,
}

/// Classes and tenants that make the settings as large as those of a big installation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unused {
    /// Classes.
    pub classes: usize,
    /// Tenants.
    pub tenants: usize,
}

impl Unused {
    /// Adds them to the settings.
    fn add_to(self, settings: &mut Value) {
        const MS: u64 = 1_000_000;
        let class = |n: usize| {
            json!({"name": format!("class-{n:05}"), "promise": 1_600 * MS, "deadline": 4_000 * MS,
                   "effect": "repeatable", "worth": 1.0})
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

/// How servers of a fleet reach each other and the ledger.
#[derive(Debug, Clone)]
pub struct PeersSpec {
    /// Where each takes datagrams, and where the others reach that.
    pub listen: Vec<SocketAddr>,
    /// See `listen`.
    pub advertise: Vec<SocketAddr>,
    /// The zone of each.
    pub zones: Vec<String>,
    /// Where each reaches the ledger.
    pub ledgers: Vec<SocketAddr>,
    /// The ledger's slots of each.
    pub share: f64,
    /// Whether slots are lent, and whether without the rules of time.
    pub lends: bool,
    /// See `lends`.
    pub plain: bool,
}

/// Servers that agree on who may be out.
#[derive(Debug, Clone)]
pub struct CouncilSpec {
    /// The first so many are voters.
    pub voters: usize,
    /// The most that may be out, of the fleet and of a zone.
    pub most: u32,
    /// See `most`.
    pub zone: u32,
    /// A drill's: nothing is ever too many.
    pub plain: bool,
}

impl CouncilSpec {
    /// The block of server `n` in its settings file.
    fn settings(&self, n: usize, folder: &Path) -> String {
        let voters: String = (0..self.voters).map(|n| format!("    voter \"n{n}\"\n")).collect();
        let path = |what: &str| folder.join(format!("n{n}.{what}")).display().to_string();
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

/// The command that daemons run to be replaced: it leaves the version where the stand-in for a supervisor looks.
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

/// The fleet's key in a rig: no secret.
pub const KEY: &str = "a1b2c3d4e5f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8f90";

impl PeersSpec {
    /// The block of server `n` in its settings file, with the key in this folder.
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
    /// One server with the brief's processor and nothing that has to be switched on; daemon and folder are to be named.
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

/// The daemon beside the running program.
pub fn daemon() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("gradepin")).find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, "no program gradepin beside this one: build it first")
    })
}

/// The CPU that a process used so far.
pub fn cpu_of(pid: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * 10))
}

/// A figure of a process's memory in bytes, by its name in the system's table: `VmRSS` now, `VmHWM` at the most.
pub fn memory_of(pid: u32, figure: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(figure)?.strip_prefix(':'))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

/// A folder for a run's files, made new.
pub fn folder(name: &str) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("gradepin-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// The next loopback address that no other server of this process has.
fn next_address() -> SocketAddr {
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, 64 + ((pid >> 8) % 64) as u8, (pid % 256) as u8, n], PORT))
}

/// The settings of the brief's deployment; at a scale of 1 its times are those of [`crate::load::classes`].
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
        "rules": {"answer_slack": 100 * MS, "cold": spec.processor.warms_in.as_nanos() as u64, "cold_share": 0.21,
                  "drain_grace": 1800 * MS, "fall": 1500 * MS, "tip_multiple": 8.0},
        "specifics": {"advert": "threshold", "below": "off", "clients_total": spec.callers,
                      "gauges": ["core_use", "on_cores", "heap_share", "links"], "heeded": 1000 * MS,
                      "idle": 8000 * MS, "kb_per_key": 45.5, "linger": 200 * MS, "list_follows": true,
                      "memory_kb": spec.processor.memory_kb, "n_cores": spec.processor.cores,
                      "passes_deadline": true, "run_factor": 8.0, "share_span": 5000 * MS, "stop_mode": "off",
                      "tells_gone": true}
    })
}

/// A route for each class, as `/sheet-view/7`.
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

/// One server with its processor.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its processor.
    pub processor: Processor,
    /// Every run so far.
    pub begun: Vec<Begun>,
    /// Its process, while there is one.
    child: Option<Child>,
    config: PathBuf,
    /// Its settings file, if it has one.
    pub own: Option<PathBuf>,
    log: PathBuf,
    daemon: PathBuf,
    stop: Duration,
    /// What its program is called in releases, from its next start on.
    pub version: String,
}

impl Node {
    /// Starts the daemon's process.
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

    /// Changes its configuration file, which it reads at its next start or when it is told to.
    pub fn edit(&self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        let mut config = serde_json::from_slice(&std::fs::read(&self.config)?)?;
        change(&mut config);
        std::fs::write(&self.config, config.to_string())
    }

    /// The size of its configuration file in bytes.
    pub fn config_bytes(&self) -> io::Result<u64> {
        Ok(std::fs::metadata(&self.config)?.len())
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        // One that has ended is not there to be told.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// What it has written to its log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// How long its last start took to read the store, in ms.
    pub fn opened(&self) -> Option<u64> {
        let log = self.log();
        let (_, last) = log.rsplit_once("the store was read in ")?;
        last.split_once(" ms")?.0.parse().ok()
    }

    /// The notice to leave.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// It runs no more until it is told to go on.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// It goes on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Where its operators call.
    pub fn admin(&self) -> SocketAddr {
        admin_of(self.address)
    }

    /// Reads its files again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether its process is there, as far as is known.
    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    /// The end, at once.
    pub fn kill(&mut self) {
        self.begun.extend(self.processor.begun());
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether its process has ended though nobody ended it.
    pub fn crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// The CPU that its process used so far.
    pub fn cpu(&self) -> Option<Duration> {
        cpu_of(self.child.as_ref()?.id())
    }

    /// Its process's id, while there is one.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The descriptors that its process has open.
    pub fn descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.child.as_ref()?.id())).ok()?.count())
    }

    /// The memory that its process holds now, in bytes.
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

/// A running fleet; all of its processes end when this is dropped.
pub struct Fleet {
    /// The servers.
    pub nodes: Vec<Node>,
    /// Their control plane.
    pub control: Control,
}

impl Fleet {
    /// Starts all servers, and waits until each takes connections and is reported as ready.
    pub fn start(spec: &FleetSpec) -> io::Result<Self> {
        let control = Control::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut nodes = Vec::new();
        if spec.peers.is_some() {
            // Once, before any server reads it.
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
            let on = spec.scgi || spec.store || spec.peers.is_some() || !spec.registries.is_empty();
            let own = on.then(|| spec.folder.join(format!("{name}.kdl")));
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
                let rest =
                    peers.unwrap_or_default() + &council.unwrap_or_default() + &service.unwrap_or_default();
                std::fs::write(own, registry + &scgi + &store + &rest)?;
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

    fn wait_ready(&mut self, patience: Duration) -> io::Result<()> {
        let start = Instant::now();
        loop {
            let ready = self.control.roster().ready(Instant::now(), Duration::ZERO).len();
            if ready == self.nodes.len() {
                return Ok(());
            }
            if let Some(node) = self.nodes.iter_mut().find_map(|node| node.crashed().then_some(&node.log)) {
                return Err(io::Error::other(format!("a server ended at its start; see {}", node.display())));
            }
            if start.elapsed() > patience {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the fleet did not become ready"));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Takes in what the processors ran.
    pub fn collect(&mut self) {
        for node in &mut self.nodes {
            node.begun.extend(node.processor.begun());
        }
    }

    /// Tells all to leave, waits as long as they may take, and ends them.
    pub fn drain(&mut self) {
        self.nodes.iter().for_each(Node::terminate);
        let stop = self.nodes.iter().map(Node::stop).max().unwrap_or_default();
        thread::sleep(stop);
        self.nodes.iter_mut().for_each(Node::kill);
    }
}

/// Ends what a folder of a run holds, where it may go.
pub fn remove(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
