//! Stand-ins of the platform for the cases of the second review: the processor, the control plane, client proxies and the
//! process of the tile server. They follow PROTOCOL, DEPLOY and DAYS; where those are silent they do what a sound peer does.
//! Standard library only; loopback addresses, free ports, a temporary folder.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case whose platform can't be set up: exit status 2.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("can't run: {reason}");
    end_processes();
    std::process::exit(2);
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Process ids of the tile servers that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this test started and that have not ended.
pub fn end_processes() {
    for pid in lock(&STARTED).drain(..) {
        signal(pid, "KILL");
    }
}

/// A shell that carries out a command when this process ends without [`Guard::dismiss`], whatever ends it.
struct Guard(Option<ChildStdin>);

impl Guard {
    fn start(command: &str, argument: &str) -> Self {
        // The pipe is closed by the system at the end of this process; no child inherits it.
        let script = format!("trap '' HUP INT TERM; read -r line || {{ {command}; }}");
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &script, "guard", argument]).stdin(Stdio::piped());
        let shell = shell.stdout(Stdio::null()).stderr(Stdio::null()).spawn();
        Self(shell.unwrap_or_else(|e| cannot_run(&e.to_string())).stdin)
    }

    fn dismiss(&mut self) {
        if let Some(mut pipe) = self.0.take() {
            let _ = pipe.write_all(b"done\n");
        }
    }
}

/// Ends the test with status 2 if it takes too long.
pub fn watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run("the time limit of the test has passed");
    });
}

pub fn signal(pid: u32, name: &str) {
    let _ =
        Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).stderr(Stdio::null()).status();
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Self(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let ms = self.1.elapsed().as_millis();
        let _ = writeln!(lock(&self.0), "{ms:>7} ms  {}", text.as_ref());
    }
}

/// A request as the processor knows it: what came to the machine.
#[derive(Clone)]
struct Known {
    class: String,
    body: Vec<u8>,
    /// Answered, cancelled or given up.
    over: bool,
}

/// What all processors and clients of one machine share.
#[derive(Clone, Default)]
pub struct Machine {
    known: Arc<Mutex<HashMap<String, Known>>>,
    tokens: Arc<Mutex<HashMap<String, String>>>,
    /// The token of each run that began, in their order.
    runs: Arc<Mutex<Vec<String>>>,
    /// The ids of the requests whose runs began.
    begun: Arc<Mutex<Vec<String>>>,
}

impl Machine {
    fn request(&self, call: &Call) {
        let known = Known { class: call.class.clone(), body: call.body.clone(), over: false };
        lock(&self.known).insert(call.rid.clone(), known);
        lock(&self.tokens).insert(call.rid.clone(), call.token.clone());
    }

    fn end(&self, rid: &str) {
        if let Some(known) = lock(&self.known).get_mut(rid) {
            known.over = true;
        }
    }

    /// How many runs of the requests with this token began.
    pub fn runs_of(&self, token: &str) -> usize {
        lock(&self.runs).iter().filter(|run| *run == token).count()
    }
}

/// One address of a processor: its links, and the notices that are numbered for it.
#[derive(Clone)]
pub struct Processor {
    pub address: SocketAddr,
    shared: Arc<ProcessorState>,
}

struct ProcessorState {
    machine: Machine,
    record: Record,
    run_ms: Mutex<u64>,
    /// When the processor came up.
    started: Mutex<Option<Instant>>,
    notices: Mutex<Notices>,
    running: Mutex<Vec<String>>,
}

#[derive(Default)]
struct Notices {
    /// Kept notices; the first has number 1.
    kept: Vec<Vec<u8>>,
    link: Option<TcpStream>,
}

impl Processor {
    /// Listens at a free port; runs take `run_ms`.
    pub fn start(machine: &Machine, record: &Record, run_ms: u64) -> Self {
        let processor = Self::start_later(machine, record, run_ms);
        processor.come_up();
        processor
    }

    /// The same, but the processor is up only from [`Processor::come_up`] on; a link is accepted before.
    pub fn start_later(machine: &Machine, record: &Record, run_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(ProcessorState {
            machine: machine.clone(),
            record: record.clone(),
            run_ms: Mutex::new(run_ms),
            started: Mutex::default(),
            notices: Mutex::default(),
            running: Mutex::default(),
        });
        let state = Arc::clone(&shared);
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                thread::spawn(move || state.serve(link));
            }
        });
        Self { address, shared }
    }

    /// The processor comes up.
    pub fn come_up(&self) {
        *lock(&self.shared.started) = Some(Instant::now());
    }

    /// How long runs that begin from now on take.
    pub fn set_run_ms(&self, run_ms: u64) {
        *lock(&self.shared.run_ms) = run_ms;
    }
}

impl ProcessorState {
    fn serve(self: &Arc<Self>, link: TcpStream) {
        let _ = link.set_nodelay(true);
        let Ok(clone) = link.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
            let words: Vec<String> = line.split_whitespace().map(String::from).collect();
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            match words[..] {
                ["hello", last] => self.greet(&link, last.parse().unwrap_or(0)),
                ["usage", tag] => self.tell_gauges(&link, tag),
                ["begin", id, class, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    body.truncate(body.len() - 2);
                    self.begin(&link, id, class, &body);
                }
                ["interrupt" | "goon", ..] => {}
                _ => return,
            }
            line.clear();
        }
    }

    fn greet(&self, link: &TcpStream, last: usize) {
        let age = loop {
            if let Some(started) = *lock(&self.started) {
                break started.elapsed().as_millis();
            }
            sleep_ms(5);
        };
        let Ok(mut new) = link.try_clone() else { return };
        let mut notices = lock(&self.notices);
        if let Some(former) = notices.link.take() {
            let _ = former.shutdown(std::net::Shutdown::Both);
        }
        let _ = new.write_all(format!("hi WARM {age}\r\n").as_bytes());
        for notice in notices.kept.iter().skip(last) {
            let _ = new.write_all(notice);
        }
        notices.link = Some(new);
    }

    fn write(&self, link: &TcpStream, bytes: &[u8]) {
        // Under the lock of the notices, so that no line is written into another.
        let _notices = lock(&self.notices);
        let _ = (&*link).write_all(bytes);
    }

    fn tell_gauges(&self, link: &TcpStream, tag: &str) {
        let running = lock(&self.running).len() as f64;
        let (busy, memory) = ((running / 6.0).min(1.0), (running * 8.0 * 24.0 / 8346.0).min(1.0));
        self.write(link, format!("used {tag} {busy:.3} {running} {memory:.3} 4\r\n").as_bytes());
    }

    fn begin(self: &Arc<Self>, link: &TcpStream, id: &str, class: &str, body: &[u8]) {
        let known = lock(&self.machine.known).get(id).cloned();
        let Some(known) = known.filter(|known| known.class == class && known.body == body) else {
            self.record.note(format!("processor: begin {id} {class}: rejected, no such request came"));
            return self.write(link, format!("reject begin {id}\r\n").as_bytes());
        };
        {
            let mut running = lock(&self.running);
            if running.iter().any(|running| running == id) {
                return;
            }
            if known.over {
                drop(running);
                self.record.note(format!("processor: begin {id} {class}: MOOT, the request is over"));
                return self.notice(id, "MOOT", 0, b"");
            }
            running.push(id.to_string());
        }
        let token = lock(&self.machine.tokens).get(id).cloned().unwrap_or_default();
        let number = {
            let mut runs = lock(&self.machine.runs);
            runs.push(token.clone());
            lock(&self.machine.begun).push(id.to_string());
            runs.len()
        };
        let result = format!("result of run {number}, id {id}").into_bytes();
        self.record.note(format!("processor: run {number} begins: id {id}, class {class}, token {token}"));
        let (state, id, run_ms) = (Arc::clone(self), id.to_string(), *lock(&self.run_ms));
        thread::spawn(move || {
            sleep_ms(run_ms);
            lock(&state.running).retain(|running| *running != id);
            state.record.note(format!("processor: run {number} ends OK: id {id}"));
            state.notice(&id, "OK", run_ms, &result);
        });
    }

    fn notice(&self, id: &str, end: &str, ms: u64, result: &[u8]) {
        let mut notices = lock(&self.notices);
        let number = notices.kept.len() + 1;
        let head = format!("complete {number} {id} {end} {ms} {}\r\n", result.len());
        let notice = [head.as_bytes(), result, b"\r\n"].concat();
        if let Some(link) = &mut notices.link {
            let _ = link.write_all(&notice);
        }
        notices.kept.push(notice);
    }
}

/// The control plane: takes reports.
pub struct Control {
    pub address: SocketAddr,
}

impl Control {
    pub fn start(record: &Record) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = socket.local_addr().expect("an address");
        let record = record.clone();
        thread::spawn(move || {
            let (mut bytes, mut last) = ([0; 512], String::new());
            while let Ok(length) = socket.recv(&mut bytes) {
                let report = String::from_utf8_lossy(&bytes[..length]).into_owned();
                if report != last {
                    record.note(format!("control plane: report '{report}'"));
                    last = report;
                }
            }
        });
        Self { address }
    }
}

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub deadline_ms: u64,
    /// `None`: the key is missing from the file.
    pub window_ms: Option<u64>,
}

/// The configuration of a tile server, with settings like those of the example in WIRE.
pub struct Config {
    pub listen: SocketAddr,
    pub processor: SocketAddr,
    pub control: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    pub stop_ms: u64,
    pub drain_grace_ms: u64,
    pub classes: Vec<Class>,
}

impl Config {
    pub fn text(&self) -> String {
        let profiles: Vec<String> = self.classes.iter().map(profile).collect();
        let zeros = vec!["0.0"; self.classes.len()].join(",");
        let falses = vec!["false"; self.classes.len()].join(",");
        let admin = self.admin.map(|address| format!("\"admin_addr\":\"{address}\",")).unwrap_or_default();
        format!(
            r#"{{"name":"n3","listen":"{}","processor":"{}","control":"{}",{admin}
"seed":"{:016x}","stop_ms":{},"limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},
"settings":{{"callers":{{"marks_retry":true}},
"customers":[{{"name":"etela-kasvio","portion":0.42,"quota_rps":66.0}},{{"name":"lansi-kasvio","portion":0.58,"quota_rps":91.0}}],
"family":"server","goal":{{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.3}},"granularity":2000000,
"limits":{{"cpu_us_per_request":0.0,"cpu_us_per_s":64255,"max_retry_after":1000000000,"retry_after":true}},
"me":7,"over_share_worth":0.05,"prices":{{"connection":0.0,"handshake":0.0,"late_fail":0.083,"origin":0.0,"waste":0.08}},
"profiles":[{}],"report":{{"how":"inline","names":["latency_ms"]}},
"rules":{{"answer_slack":100000000,"cold":18000000000,"cold_share":0.21,"drain_grace":{},"fall":1500000000,"tip_multiple":8.0}},
"servers":10,"specifics":{{"advert":"threshold","below":"off","calls_by_class":[{falses}],"calls_out":0.0,"class_skip_worth":[{zeros}],
"clients_total":3,"fresh_for":0,"full_checks":false,"gauges":["core_use","on_cores","heap_share","links"],"heeded":1000000000,
"idle":15000000000,"just_started":false,"kb_per_key":45.47,"linger":200000000,"list_follows":true,"memory_kb":8346.0,"n_cores":6,
"passes_deadline":true,"run_factor":8.0,"share_span":5000000000,"stop_mode":"off","tells_gone":true}},
"stages":["tile-servers"],"tier":0,"worth_by":"request","zone":"lahti-1","zones":["tampere-1","jyvaskyla-1","lahti-1"]}}}}
"#,
            self.listen,
            self.processor,
            self.control,
            self.seed,
            self.stop_ms,
            profiles.join(","),
            self.drain_grace_ms * 1_000_000,
        )
    }
}

fn profile(class: &Class) -> String {
    let window = class.window_ms.map(|ms| format!("\"window\":{},", ms * 1_000_000)).unwrap_or_default();
    format!(
        r#"{{"deadline":{},"effect":"{}","late_value":0.0,"name":"{}","promise":{},{window}"worth":1.0}}"#,
        class.deadline_ms * 1_000_000,
        class.effect,
        class.name,
        class.deadline_ms * 400_000,
    )
}

/// The classes of the site that the cases use: a read and the keyed write, with the site's deadline and window.
pub fn classes() -> Vec<Class> {
    vec![
        Class { name: "sheet-view", effect: "repeatable", deadline_ms: 4_000, window_ms: Some(5_000) },
        Class { name: "label-save", effect: "by_key", deadline_ms: 4_000, window_ms: Some(12_075) },
    ]
}

/// A free port. The listener that found it is closed.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().expect("an address")
}

/// A temporary folder, removed on drop.
pub struct Folder(pub PathBuf, Guard);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("gradepin-review-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let guard = Guard::start("sleep 1; rm -rf \"$1\"", &path.display().to_string());
        Self(path, guard)
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        let new = self.0.join(format!("{name}.new"));
        // Replaced as a whole, as a platform replaces a file.
        let written = fs::write(&new, text).and_then(|()| fs::rename(&new, &path));
        written.unwrap_or_else(|e| cannot_run(&e.to_string()));
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if fs::remove_dir_all(&self.0).is_ok() {
            self.1.dismiss();
        }
    }
}

/// How a tile server is started.
pub struct Start<'a> {
    pub config: &'a Path,
    /// A file of the operators' settings.
    pub settings: Option<&'a Path>,
    pub tmpdir: &'a Path,
    /// The clients' listening socket, if the platform holds it.
    pub listener: Option<&'a TcpListener>,
    pub log: &'a Path,
}

/// A tile server.
pub struct Server {
    child: Child,
    /// Kills the process if this one ends before it.
    guard: Guard,
    pub pid: u32,
}

/// The value of a key of `deploy/balancer.toml`.
fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim().strip_prefix('='));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or_else(|| cannot_run("no command in deploy/balancer.toml")).to_string()
}

impl Server {
    pub fn start(start: &Start<'_>) -> Self {
        let mut command = deploy_command("run ");
        if let Some(settings) = start.settings {
            command = format!("{command} --settings {}", settings.display());
        }
        let log = File::create(start.log).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut shell = Command::new("/bin/sh");
        if let Some(listener) = start.listener {
            // The listening socket becomes descriptor 3.
            let inherited: OwnedFd =
                listener.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string())).into();
            shell.stdin(Stdio::from(inherited)).env("GW_ACCEPT_FD", "3");
            command = format!("exec 3<&0 0</dev/null; {command}");
        } else {
            shell.stdin(Stdio::null());
        }
        shell.arg("-c").arg(&command).env("GW_CONFIG", start.config).env("GW_NAME", "n3");
        shell.env("TMPDIR", start.tmpdir).env_remove("GW_ADMIN_ADDR");
        shell.stdout(Stdio::null()).stderr(log);
        let child = shell.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let pid = child.id();
        lock(&STARTED).push(pid);
        let guard = Guard::start("kill -KILL \"$1\"", &pid.to_string());
        Self { child, guard, pid }
    }

    /// The exit status as text; `None` while the process runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        self.guard.dismiss();
        lock(&STARTED).retain(|pid| *pid != self.pid);
        Some(status.to_string())
    }

    pub fn end(&mut self) {
        if self.ended().is_none() {
            signal(self.pid, "KILL");
            let _ = self.child.wait();
            self.guard.dismiss();
            lock(&STARTED).retain(|pid| *pid != self.pid);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

/// A call of a client.
#[derive(Clone)]
pub struct Call {
    pub class: String,
    pub rid: String,
    pub token: String,
    pub body: Vec<u8>,
    pub budget_ms: u64,
    pub again: bool,
    pub t0: u64,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that was not used before: 16 hex digits.
pub fn new_rid() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", (unix_ms() << 20) ^ (u64::from(std::process::id()) << 40) ^ number)
}

impl Call {
    pub fn new(class: &str, body: &str, budget_ms: u64) -> Self {
        let token = if class == "label-save" { format!("{}{}", new_rid(), new_rid()) } else { String::new() };
        Self { class: class.into(), rid: new_rid(), token, body: body.into(), budget_ms, again: false, t0: 0 }
    }

    /// A further try of the same request.
    pub fn retry(&self) -> Self {
        Self { rid: new_rid(), again: true, t0: 0, ..self.clone() }
    }

    fn frame(&self, sequence: i32) -> Vec<u8> {
        let t0 = self.t0.to_string();
        let budget = self.budget_ms.to_string();
        let mut fields: Vec<(&str, &str)> = vec![
            ("method", &self.class),
            ("rid", &self.rid),
            ("t0", &t0),
            ("peer", "4"),
            ("acct", "etela-kasvio"),
            ("budget", &budget),
            ("mem", "24.0"),
            ("prio", "0.5000"),
        ];
        if self.again {
            fields.push(("again", "1"));
        }
        if !self.token.is_empty() {
            fields.push(("token", &self.token));
        }
        let mut message = header(1, "call", sequence);
        message.extend([13, 0, 1, 11, 11]);
        message.extend((fields.len() as i32).to_be_bytes());
        for (name, value) in fields {
            string(&mut message, name.as_bytes());
            string(&mut message, value.as_bytes());
        }
        message.extend([11, 0, 2]);
        string(&mut message, &self.body);
        message.push(0);
        framed(message)
    }
}

fn header(kind: u8, name: &str, sequence: i32) -> Vec<u8> {
    let mut message = vec![0x80, 0x01, 0, kind];
    string(&mut message, name.as_bytes());
    message.extend(sequence.to_be_bytes());
    message
}

fn string(message: &mut Vec<u8>, bytes: &[u8]) {
    message.extend((bytes.len() as i32).to_be_bytes());
    message.extend(bytes);
}

fn framed(message: Vec<u8>) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// A final answer, as a client proxy tells them apart.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// `Trylater`: this try never ran.
    Refused,
    /// `Aborted` or an application exception.
    Failed(String),
    Health(bool),
    /// The connection ended with no whole answer.
    Lost,
    /// Nothing came for as long as the client looked.
    None,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Self::Served(result) => format!("served '{}'", String::from_utf8_lossy(result)),
            other => format!("{other:?}"),
        }
    }
}

type Answers = Arc<Mutex<HashMap<i32, (Answer, u64)>>>;

/// A connection of a client proxy.
pub struct Client {
    stream: TcpStream,
    machine: Machine,
    record: Record,
    answers: Answers,
    closed: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    next_sequence: i32,
    sent: HashMap<i32, String>,
}

impl Client {
    pub fn connect(address: SocketAddr, machine: &Machine, record: &Record) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let (answers, closed) = (Answers::default(), Arc::new(AtomicBool::new(false)));
        let reader = stream.try_clone().ok()?;
        let draining = Arc::new(AtomicBool::new(false));
        let (all, ended, drains) = (Arc::clone(&answers), Arc::clone(&closed), Arc::clone(&draining));
        thread::spawn(move || {
            read_answers(reader, &all, &drains);
            ended.store(true, Ordering::SeqCst);
        });
        let (machine, record) = (machine.clone(), record.clone());
        let sent = HashMap::new();
        Some(Self { stream, machine, record, answers, closed, draining, next_sequence: 1, sent })
    }

    /// Whether the server asked for no more requests on this connection, or it has ended.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst) || self.closed.load(Ordering::SeqCst)
    }

    /// Sends a call whose `t0` is now, unless it is set. Returns its sequence number.
    pub fn send(&mut self, call: &mut Call) -> i32 {
        self.send_slowly(call, 0)
    }

    /// Like [`Client::send`], with the frame written in pieces over `write_ms`.
    pub fn send_slowly(&mut self, call: &mut Call, write_ms: u64) -> i32 {
        if call.t0 == 0 {
            call.t0 = unix_ms();
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.machine.request(call);
        self.sent.insert(sequence, call.rid.clone());
        let frame = call.frame(sequence);
        let pieces: Vec<&[u8]> =
            if write_ms == 0 { vec![&frame] } else { frame.chunks(frame.len().div_ceil(10)).collect() };
        for (index, piece) in pieces.iter().enumerate() {
            if index > 0 {
                sleep_ms(write_ms / (pieces.len() as u64 - 1));
            }
            let _ = self.stream.write_all(piece);
        }
        let Call { class, rid, token, budget_ms, again, .. } = &*call;
        self.record.note(format!(
            "client: written: {class} {rid} again {again} token {token} budget {budget_ms} ms, {} ms after t0",
            unix_ms().saturating_sub(call.t0)
        ));
        sequence
    }

    /// Waits until `deadline_unix_ms` for the answer. Returns it with the time at which it came.
    pub fn answer(&mut self, sequence: i32, deadline_unix_ms: u64) -> (Answer, u64) {
        let rid = self.sent.get(&sequence).cloned().unwrap_or_default();
        let (answer, at) = loop {
            if let Some(found) = lock(&self.answers).get(&sequence).cloned() {
                break found;
            }
            if self.closed.load(Ordering::SeqCst) {
                // The last answer may have come just before the end.
                break lock(&self.answers).get(&sequence).cloned().unwrap_or((Answer::Lost, unix_ms()));
            }
            if unix_ms() >= deadline_unix_ms {
                break (Answer::None, unix_ms());
            }
            sleep_ms(1);
        };
        self.machine.end(&rid);
        self.record.note(format!("client: answer to {rid}: {}", answer.text()));
        (answer, at)
    }

    /// Withdraws a request: its caller has stopped waiting.
    pub fn cancel(&mut self, sequence: i32) {
        let rid = self.sent.get(&sequence).cloned().unwrap_or_default();
        self.machine.end(&rid);
        let mut message = header(4, "cancel", self.next_sequence);
        self.next_sequence += 1;
        message.extend([8, 0, 1]);
        message.extend(sequence.to_be_bytes());
        message.push(0);
        let _ = self.stream.write_all(&framed(message));
        self.record.note(format!("client: cancel of {rid}"));
    }

    /// Sends a call and waits for its answer, 500 ms past its budget at the most.
    pub fn call(&mut self, call: &mut Call) -> (Answer, u64) {
        let sequence = self.send(call);
        self.answer(sequence, call.t0 + call.budget_ms + 500)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// A health check on its own connection.
pub fn health(address: SocketAddr) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::Lost;
    };
    let mut message = header(1, "health", 1);
    message.extend([2, 0, 1, 0, 0]);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(&framed(message));
    let answers = Answers::default();
    let Ok(clone) = stream.try_clone() else { return Answer::Lost };
    read_one(&mut BufReader::new(clone), &answers, &AtomicBool::new(false));
    let answer = lock(&answers).get(&1).cloned();
    answer.map_or(Answer::Lost, |(answer, _)| answer)
}

/// Waits until a health check is answered as good.
pub fn wait_until_good(address: SocketAddr) {
    let started = Instant::now();
    while health(address) != Answer::Health(true) {
        if started.elapsed() > Duration::from_secs(20) {
            cannot_run("the tile server doesn't become healthy");
        }
        sleep_ms(20);
    }
}

fn read_answers(stream: TcpStream, answers: &Answers, draining: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    while read_one(&mut reader, answers, draining) {}
}

/// Reads one message; false at the end of the connection.
fn read_one(reader: &mut impl Read, answers: &Answers, draining: &AtomicBool) -> bool {
    let mut length = [0; 4];
    if reader.read_exact(&mut length).is_err() {
        return false;
    }
    let mut message = vec![0; u32::from_be_bytes(length) as usize];
    if reader.read_exact(&mut message).is_err() {
        return false;
    }
    if message.get(3) == Some(&4) {
        draining.store(true, Ordering::SeqCst);
    }
    if let Some((sequence, answer)) = Reader(&message).answer() {
        lock(answers).insert(sequence, (answer, unix_ms()));
    }
    true
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn i32(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn string(&mut self) -> Option<&'a [u8]> {
        let length = self.i32()?;
        self.take(usize::try_from(length).ok()?)
    }

    /// Type and id of the next field; `None` at the end of the struct.
    fn field(&mut self) -> Option<(u8, i16)> {
        let kind = self.take(1)?[0];
        if kind == 0 {
            return None;
        }
        Some((kind, i16::from_be_bytes(self.take(2)?.try_into().ok()?)))
    }

    fn map(&mut self) -> Option<String> {
        self.take(2)?;
        let count = self.i32()?;
        let mut text = String::new();
        for _ in 0..count {
            let (name, value) = (self.string()?, self.string()?);
            text += &format!("{}={} ", String::from_utf8_lossy(name), String::from_utf8_lossy(value));
        }
        Some(text)
    }

    /// The answer in a message; `None` for `draining` and for what is no answer.
    fn answer(&mut self) -> Option<(i32, Answer)> {
        let kind = self.take(4)?[3];
        let name = self.string()?;
        let sequence = self.i32()?;
        match kind {
            3 => Some((sequence, Answer::Failed("application exception".into()))),
            2 => Some((sequence, self.result(name == b"health")?)),
            _ => None,
        }
    }

    fn result(&mut self, is_health: bool) -> Option<Answer> {
        match self.field()? {
            (12, 0) => self.success(is_health),
            (12, 1) => Some(Answer::Refused),
            (12, _) => {
                self.field()?;
                Some(Answer::Failed(format!("Aborted {}", self.map()?)))
            }
            _ => None,
        }
    }

    fn success(&mut self, is_health: bool) -> Option<Answer> {
        let (mut body, mut good) = (Vec::new(), false);
        while let Some(field) = self.field() {
            match field {
                (11, _) => body = self.string()?.to_vec(),
                (13, _) => drop(self.map()?),
                (2, _) => good = self.take(1)?[0] == 1,
                _ => return None,
            }
        }
        Some(if is_health { Answer::Health(good) } else { Answer::Served(body) })
    }
}

/// A call at the admin endpoint: its status; 0 if there was none.
pub fn admin(address: SocketAddr, method: &str, path: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n");
    let _ = stream.write_all(request.as_bytes());
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}
