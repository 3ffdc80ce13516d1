//! Whether each answer comes by its due time, at any rate, on few connections and on many, and whatever the link to the
//! processor does.
//!
//! The daemon and the proxy before its processor are processes of their own; the clients are threads of this one and keep to
//! the protocol page: at most 32 open requests on a connection, and no request whose caller has given up. An answer is late
//! if it is read more than the slack of the rules and that of sockets after `t0 + budget`.

mod caller;
mod client;
mod flood;
mod proxy_process;

pub use client::ClientReport;
pub use flood::FloodKind;

use super::{Claims, Verdict, quantile};
use crate::fault_proxy::LinkFault;
use crate::fleet::{self, Fleet, FleetSpec, Node};
use crate::harness::machine_delay::{Bounds, MachineDelayMonitor, MonitoredProcess};
use crate::processor::Spec;
use proxy_process::ProxyProcess;
use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, ScopedJoinHandle};
use std::time::Duration;

/// Slack of the settings, and what the protocol page adds on sockets.
pub const SLACK: Duration = Duration::from_millis(100 + 50);
/// Requests that may be open on a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Stack of a client's thread.
const STACK_BYTES: usize = 256 * 1024;
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from SIGTERM to SIGKILL: the longest deadline counts 3 s at most.
const STOP: Duration = Duration::from_millis(3_700);
/// Bounds on the machine's scheduling lag; past them, a late answer says nothing about the server.
const LAG_BOUNDS: Bounds = Bounds {
    mean_wakeup_delay: Duration::from_millis(6),
    max_wakeup_delay: Duration::from_millis(100),
    run_delay_fraction: 0.35,
};
/// Late answers that are printed.
const SHOWN_LATE: usize = 6;

static DRILLS_STARTED: AtomicUsize = AtomicUsize::new(0);

/// The protocol of the clients.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum ClientProtocol {
    /// Thrift, with up to 32 open requests on a connection.
    #[default]
    Thrift,
    /// SCGI, with a connection for each request.
    Scgi,
}

/// Parameters of the drill.
#[derive(Debug, Clone)]
pub struct Drill {
    /// Path of the daemon's program.
    pub daemon: PathBuf,
    /// Path of the kit's program, which plays the proxy.
    pub kit: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Connections of the clients.
    pub connections: usize,
    /// Requests per second over all connections.
    pub requests_per_second: f64,
    /// Mean work of a run; the processor has six cores.
    pub run_time: Duration,
    /// Shortest and longest budget of a request, in ms.
    pub budget_ms: [u64; 2],
    /// What happens to the link to the processor.
    pub link: LinkFault,
    /// Protocol of the clients.
    pub protocol: ClientProtocol,
    /// Whether nine in ten callers cancel a request when they give up.
    pub cancels: bool,
    /// What other clients send at full speed.
    pub flood: Option<Flood>,
    /// How long the clients send requests.
    pub duration: Duration,
}

/// Clients at full speed beside the others.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    /// What they send.
    pub kind: FloodKind,
    /// How many there are, with a connection each.
    pub clients: usize,
}

/// The result of the drill.
#[derive(Debug)]
pub struct Report {
    /// The verdict over all claims.
    pub verdict: Verdict,
    /// What the clients saw.
    pub clients: ClientReport,
    /// The server's metrics at the end.
    pub metrics: String,
}

impl Report {
    /// Sum of the values of a metric over its labels.
    pub fn metric(&self, name: &str) -> f64 {
        let lines = self.metrics.lines().filter(|line| line.split(['{', ' ']).next() == Some(name));
        lines
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
            .fold(0.0, |sum, value| sum + value)
    }
}

/// Plays the drill and prints its claims.
///
/// # Errors
/// If the processes can't be started.
pub fn run(drill: &Drill) -> io::Result<Report> {
    let number = DRILLS_STARTED.fetch_add(1, Ordering::Relaxed);
    let folder = fleet::folder(&format!("due-times-{}-{number}", drill.seed))?;
    let spec = FleetSpec {
        daemon: drill.daemon.clone(),
        processor: Spec {
            classes: vec![("sheet-view".into(), drill.run_time)],
            seed: drill.seed,
            ..Spec::default()
        },
        scale: 4,
        stop: STOP,
        scgi: true,
        folder: folder.clone(),
        ..FleetSpec::default()
    };
    let mut fleet = Fleet::start(&spec)?;
    let node = &mut fleet.nodes[0];
    let proxy = ProxyProcess::start(&drill.kit, node.processor.address(), drill.link, drill.seed)?;
    restart_behind(node, proxy.address)?;
    let monitor = MachineDelayMonitor::start()?;
    if let Some(pid) = node.pid() {
        monitor.set_processes(vec![MonitoredProcess { name: "server".into(), pid }]);
    }
    let cpu_before = node.cpu().unwrap_or_default();
    let mut clients = play(drill, node.address)?;
    clients.response_ms.sort_unstable();
    let cpu = node.cpu().unwrap_or_default().saturating_sub(cpu_before);
    let lag = monitor.measured();
    drop(monitor);
    let metrics = scrape(node.admin())?;
    let has_crashed = node.crashed();
    println!(
        "{} requests, {:?}, 99 in 100 answered within {} ms, all within {} ms; server: {:.2} s of CPU, {} kB; machine: {}",
        clients.written,
        drill.protocol,
        quantile(&clients.response_ms, 0.99),
        quantile(&clients.response_ms, 1.0),
        cpu.as_secs_f64(),
        node.memory().unwrap_or_default() / 1024,
        lag.summary()
    );
    clients.late.iter().take(SHOWN_LATE).for_each(|late| println!("  {late}"));
    let report = Report { verdict: Verdict::Kept, clients, metrics };
    let claims = claim(&report, has_crashed, Claims::on_machine(lag.exceeded(&LAG_BOUNDS)));
    let late_lines: Vec<String> =
        node.log().lines().filter(|line| line.contains("is late by")).map(str::to_string).collect();
    late_lines.iter().take(SHOWN_LATE).for_each(|line| println!("  {line}"));
    drop(fleet);
    fleet::remove(&folder);
    Ok(Report { verdict: claims.verdict(), ..report })
}

fn claim(report: &Report, has_crashed: bool, mut claims: Claims) -> Claims {
    let clients = &report.clients;
    claims.claim(!has_crashed, "the server runs", "");
    let unanswered = clients.unanswered;
    claims.claim(unanswered == 0, "each request is answered", format!("{unanswered} unanswered"));
    let figure = format!(
        "{} late, the latest answer {} ms after t0 + budget; {} served, {} refused, {} failed, {} cancelled, {} not sent",
        clients.late.len(),
        clients.latest.as_millis(),
        clients.served,
        clients.refused,
        clients.failed,
        clients.cancelled,
        clients.not_sent
    );
    claims.timed(clients.late.is_empty(), "each answer by its due time", figure);
    let longest_wait_s = report.metric("server_longest_read_wait_seconds");
    let figure = format!(
        "{} late responses; longest waits before reading {:.0} ms in all, {} pauses",
        report.metric("server_late_responses_total"),
        longest_wait_s * 1e3,
        report.metric("server_reading_paused_total")
    );
    claims.timed(
        report.metric("server_late_responses_total") == 0.0,
        "the server counts none as late",
        figure,
    );
    claims
}

/// Starts the server again with its processor behind the proxy, and an admin endpoint.
fn restart_behind(node: &mut Node, proxy: SocketAddr) -> io::Result<()> {
    node.kill();
    node.processor.restart(1.0);
    let admin = node.admin();
    node.edit(|config| {
        config["processor"] = json!(proxy);
        config["admin_addr"] = json!(admin);
    })?;
    node.spawn()?;
    for _ in 0..1_000 {
        if scrape_path(admin, "/healthcheck").is_ok_and(|text| text.starts_with("HTTP/1.1 200 ")) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "the server was not ready within 10 s"))
}

fn scrape(admin: SocketAddr) -> io::Result<String> {
    scrape_path(admin, "/stats")
}

fn scrape_path(admin: SocketAddr, path: &str) -> io::Result<String> {
    let mut socket = TcpStream::connect_timeout(&admin, ADMIN_TIMEOUT)?;
    socket.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    socket.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    socket.read_to_string(&mut text)?;
    Ok(text)
}

fn play(drill: &Drill, server: SocketAddr) -> io::Result<ClientReport> {
    let mut total = ClientReport::default();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| -> io::Result<()> {
        if let Some(Flood { kind, clients }) = drill.flood {
            for number in 0..clients {
                let (thread, is_over) = (thread::Builder::new().stack_size(STACK_BYTES), &is_over);
                thread.spawn_scoped(scope, move || flood::play(drill, kind, server, number, is_over))?;
            }
        }
        let clients: Vec<_> = (0..drill.connections)
            .map(|number| {
                let thread = thread::Builder::new().stack_size(STACK_BYTES);
                thread.spawn_scoped(scope, move || client::play(drill, server, number))
            })
            .collect::<io::Result<_>>()?;
        let reports: Vec<_> = clients.into_iter().map(ScopedJoinHandle::join).collect();
        is_over.store(true, Ordering::Relaxed);
        for report in reports {
            total.add(report.map_err(|_| io::Error::other("a client has panicked"))?);
        }
        Ok(())
    })?;
    Ok(total)
}
