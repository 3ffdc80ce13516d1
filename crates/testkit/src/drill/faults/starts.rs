//! Starts of servers with valid and invalid configurations.

use super::client::{HANG_TIMEOUT, Target};
use super::oracles::Started;
use super::random::Random;
use super::record::Record;
use super::server::{Files, next_address, spawn, wait};
use super::settings::{self, Addresses};
use super::threads;
use super::traffic::health;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between checks of a starting process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of starts that are stopped, and the latest time of SIGTERM; most of a start takes less.
const STOPPED_STARTS: usize = 8;
const LATEST_STOP_MS: u64 = 30;
/// Longer than the timeout of a start: the address is never released.
const PERMANENTLY: Duration = Duration::from_secs(3_600);
/// Descriptor limit of the processes.
const DESCRIPTORS: usize = 256;

/// A start to try.
pub struct Start {
    /// Description of the case, used in failure messages.
    pub what: String,
    /// Changes the usual configuration.
    pub change: Box<dyn Fn(&mut Value) + Send + Sync>,
    /// Names that the error message must contain if the configuration is invalid.
    pub required_names: Option<Vec<&'static str>>,
    /// How long another process occupies the server's address.
    pub occupied: Option<Duration>,
    /// When SIGTERM is sent, counted from the start.
    pub stop_after: Option<Duration>,
}

fn valid(what: &str, change: impl Fn(&mut Value) + Send + Sync + 'static) -> Start {
    Start {
        what: what.to_string(),
        change: Box::new(change),
        required_names: None,
        occupied: None,
        stop_after: None,
    }
}

fn invalid(what: &str, names: &[&'static str], change: impl Fn(&mut Value) + Send + Sync + 'static) -> Start {
    Start { required_names: Some(names.to_vec()), ..valid(what, change) }
}

fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "promise": 1_000_000, "deadline": 3_000_000, "effect": effect, "late_value": 0.0, "window": 9_000_000_000_u64, "worth": 1.0})
}

/// All starts to try, with drawn parameters.
pub fn starts(random: &mut Random) -> Vec<Start> {
    let mut all = valid_starts(random);
    all.extend(invalid_starts());
    let occupied = Some(Duration::from_millis(random.within(500..=3_000)));
    all.push(Start { occupied, ..valid("an address that another process holds for a while", |_| ()) });
    for _ in 0..STOPPED_STARTS {
        let stop_after = Some(Duration::from_millis(random.within(0..=LATEST_STOP_MS)));
        let what = format!("told to leave {stop_after:?} after its begin");
        all.push(Start { stop_after, ..valid(&what, |_| ()) });
    }
    all
}

/// Configurations that the protocol, deploy and wire pages allow.
fn valid_starts(random: &mut Random) -> Vec<Start> {
    let (classes, tenants) = (random.count(100..=400), random.count(1_000..=3_000));
    let hours = random.within(1..=48) * 3_600 * 1_000_000_000;
    vec![
        valid("the usual settings", |_| ()),
        valid("one class", |c| c["settings"]["profiles"] = json!([class("only", "repeatable")])),
        valid("hundreds of classes", move |c| {
            let all = (0..classes).map(|n| class(&format!("class-{n}"), ["repeatable", "once"][n % 2]));
            c["settings"]["profiles"] = all.collect();
        }),
        valid("no tenants", |c| drop(c["settings"].as_object_mut().map(|s| s.remove("customers")))),
        valid("thousands of tenants", move |c| {
            let tenant = |n: usize| json!({"name": format!("t/{n}"), "portion": 0.0, "quota_rps": 1});
            c["settings"]["customers"] = (0..tenants).map(tenant).collect();
        }),
        valid("names of every kind", |c| {
            c["settings"]["profiles"][0]["name"] = json!("päivä.näkymä/1:%20?");
            c["settings"]["customers"][0]["name"] = json!("etelä kasvio: 100%");
        }),
        valid("a window of hours", move |c| c["settings"]["profiles"][1]["window"] = json!(hours)),
        valid("a target and a deadline of one millisecond", |c| {
            c["settings"]["profiles"][0]["promise"] = json!(1_000_000);
            c["settings"]["profiles"][0]["deadline"] = json!(1_000_000);
        }),
        valid("fall, cold and drain_grace of 0", |c| {
            for key in ["fall", "cold", "drain_grace"] {
                c["settings"]["rules"][key] = json!(0);
            }
        }),
        valid("cold_share 0", |c| c["settings"]["rules"]["cold_share"] = json!(0)),
        valid("cold_share 1", |c| c["settings"]["rules"]["cold_share"] = json!(1)),
        valid("one core", |c| c["settings"]["specifics"]["n_cores"] = json!(1)),
        valid("64 cores", |c| c["settings"]["specifics"]["n_cores"] = json!(64)),
        valid("memory for one run", |c| c["settings"]["specifics"]["memory_kb"] = json!(20)),
        valid("worth, quota and prices of 0", |c| {
            c["settings"]["profiles"][0]["worth"] = json!(0);
            c["settings"]["customers"][0]["quota_rps"] = json!(0);
            for price in ["connection", "handshake", "late_fail", "origin", "waste"] {
                c["settings"]["prices"][price] = json!(0);
            }
        }),
        valid("limits at the smallest", |c| {
            c["limits"] = json!({"cores": 0.1, "memory_mb": 16, "sockets": 128})
        }),
        valid("unknown keys", |c| {
            c["new"] = json!({"a": [1, 2]});
            c["settings"]["new"] = json!(null);
            c["settings"]["specifics"]["new"] = json!("x");
        }),
        valid("integers where floats are usual", |c| {
            c["settings"]["rules"]["tip_multiple"] = json!(8);
            c["settings"]["specifics"]["memory_kb"] = json!(400_000);
            c["settings"]["profiles"][0]["worth"] = json!(2);
        }),
        valid("floats where integers are usual", |c| {
            c["settings"]["specifics"]["n_cores"] = json!(16.0);
            c["settings"]["profiles"][0]["promise"] = json!(1e9);
        }),
    ]
}

fn invalid_starts() -> Vec<Start> {
    vec![
        invalid("no deadline", &["deadline"], |c| {
            drop(c["settings"]["profiles"][0].as_object_mut().map(|p| p.remove("deadline")));
        }),
        invalid("a deadline that is a word", &["deadline"], |c| {
            c["settings"]["profiles"][0]["deadline"] = json!("soon");
        }),
        invalid("a keyed class without a window", &["window"], |c| {
            drop(c["settings"]["profiles"][1].as_object_mut().map(|p| p.remove("window")));
        }),
        invalid("a keyed class with a window of 0", &["window"], |c| {
            c["settings"]["profiles"][1]["window"] = json!(0);
        }),
        invalid("no cost of a key", &["kb_per_key"], |c| {
            drop(c["settings"]["specifics"].as_object_mut().map(|s| s.remove("kb_per_key")));
        }),
        invalid("an unknown effect", &["effect"], |c| {
            c["settings"]["profiles"][0]["effect"] = json!("maybe")
        }),
        invalid("no classes", &["profiles"], |c| c["settings"]["profiles"] = json!([])),
        invalid("a class twice", &["profiles"], |c| {
            c["settings"]["profiles"][1]["name"] = c["settings"]["profiles"][0]["name"].clone();
        }),
        invalid("a class with a line end", &["name"], |c| {
            c["settings"]["profiles"][0]["name"] = json!("a\r\nusage x");
        }),
        invalid("a class with no name", &["name"], |c| c["settings"]["profiles"][0]["name"] = json!("")),
        invalid("no address", &["listen"], |c| c["listen"] = json!("nowhere")),
        invalid("a seed that is no number", &["seed"], |c| c["seed"] = json!("xyz")),
        invalid("too few descriptors", &["limits.sockets"], |c| c["limits"]["sockets"] = json!(3)),
        invalid("too little memory", &["limits.memory_mb"], |c| c["limits"]["memory_mb"] = json!(1)),
        invalid("a name with a line end", &["name"], |c| c["name"] = json!("n1 Ready\n")),
    ]
}

/// Runs one start. With `held`, the address stays occupied (the seeded defect), so the server never serves.
pub fn try_start(
    start: &Start,
    daemon: &Path,
    folder: &Path,
    number: usize,
    occupied: bool,
) -> io::Result<Started> {
    let control = UdpSocket::bind("127.0.0.1:0")?;
    let processor = TcpListener::bind("127.0.0.1:0")?;
    let addresses = Addresses {
        listen: next_address(),
        admin: next_address(),
        processor: processor.local_addr()?,
        control: control.local_addr()?,
    };
    let occupied = if occupied { Some(PERMANENTLY) } else { start.occupied };
    let mut holder = occupied.map(|_| TcpListener::bind(addresses.listen)).transpose()?;
    let mut configuration = settings::configuration("n0", &addresses, DESCRIPTORS, number as u64);
    (start.change)(&mut configuration);
    let config = folder.join(format!("start{number}.json"));
    let log = folder.join(format!("start{number}.log"));
    fs::write(&config, configuration.to_string())?;
    let started_at = Instant::now();
    let mut child = spawn(daemon, &Files { config: &config, daemon_settings: None, log: &log }, DESCRIPTORS)?;
    let target = target(addresses.listen, addresses.admin, child.id());
    let mut started = Started {
        what: format!("start {number}, {}", start.what),
        required_names: start.required_names.as_ref().map(|names| {
            let file = config.display().to_string();
            names.iter().map(ToString::to_string).chain([file]).collect()
        }),
        stopped: start.stop_after.is_some(),
        served: None,
        ended: None,
        log: String::new(),
        hang: String::new(),
    };
    if let Some(stop_after) = start.stop_after {
        thread::sleep(stop_after);
        let _ = Pid::from_raw(child.id() as i32).map(|pid| kill_process(pid, Signal::TERM));
        started.ended = wait(&mut child, HANG_TIMEOUT);
        started.hang = threads::states(child.id());
    } else if start.required_names.is_some() {
        started.ended = wait(&mut child, HANG_TIMEOUT);
    } else {
        while started_at.elapsed() < HANG_TIMEOUT && started.served.is_none() {
            started.ended = child.try_wait()?;
            if started.ended.is_some() {
                break;
            }
            if occupied.is_some_and(|occupied| started_at.elapsed() >= occupied) {
                holder = None;
            }
            // Until then a connection would reach the listener that occupies the address.
            if holder.is_none() && TcpStream::connect(addresses.listen).is_ok() && health(&target).is_some() {
                started.served = Some(started_at.elapsed());
            }
            thread::sleep(POLL_INTERVAL);
        }
        if started.served.is_none() && started.ended.is_none() {
            started.hang = threads::states(child.id());
        }
    }
    let _ = child.kill();
    let _ = child.wait();
    started.log = fs::read_to_string(&log).unwrap_or_default();
    Ok(started)
}

fn target(address: SocketAddr, admin: SocketAddr, pid: u32) -> Target {
    let pid = Arc::new(AtomicU32::new(pid));
    debug_assert!(pid.load(Ordering::SeqCst) > 0);
    Target {
        name: "n0".into(),
        address,
        admin,
        record: Arc::<Record>::default(),
        pid,
        stopping: Arc::default(),
        load_stopped: Arc::default(),
        drops_answer: Arc::default(),
    }
}
