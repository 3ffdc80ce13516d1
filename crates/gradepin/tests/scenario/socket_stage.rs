//! A stage on loopback sockets: the real program, with the test as its client proxies, processor and control plane.
//! All waits are upper bounds; no test passes or fails by elapsed time.

use super::{Stage, changed_config, config, matches_words, thrift};
use gradepin_core::admin::AdminRequest;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
const TIMEOUT: Duration = Duration::from_secs(20);

/// The processor's end of the current link.
type CurrentLink = Arc<Mutex<Option<TcpStream>>>;

pub struct SocketStage {
    program: Child,
    file: PathBuf,
    /// The last valid configuration written.
    last_valid_config: String,
    address: String,
    conns: HashMap<String, TcpStream>,
    /// Connections that read nothing until their gate is dropped.
    gates: HashMap<String, Sender<()>>,
    buffered: Vec<u8>,
    /// Unsent halves of requests, by connection.
    unsent_halves: HashMap<String, Vec<u8>>,
    /// True while the control plane receives no reports.
    control_plane_down: Arc<AtomicBool>,
    notices: u64,
    link: CurrentLink,
    started: Instant,
    sender: Sender<String>,
    receiver: Receiver<String>,
    events: Vec<String>,
}

impl SocketStage {
    /// Starts the program. Its processor greets each link as warm.
    pub fn start(name: &str) -> Self {
        Self::with(name, 1024, |_| ())
    }

    /// Starts the program with a limit on file descriptors and a modified configuration.
    pub fn with(name: &str, descriptors: usize, change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let limit = format!("ulimit -n {descriptors}");
        Self::launch(name, &unique_address(), descriptors, &limit, &[], change)
    }

    /// Starts the program under the limits that a shell command sets, whatever the configuration says.
    pub fn with_limits(
        name: &str,
        descriptors: usize,
        limits: &str,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        Self::launch(name, &unique_address(), descriptors, limits, &[], change)
    }

    /// Starts the program on an inherited listener, whose address comes from [`unique_address`], with `folder` as
    /// `$TMPDIR`.
    pub fn with_inherited_listener(name: &str, listener: &TcpListener, folder: &Path) -> Self {
        let address = listener.local_addr().expect("an address").to_string();
        let fd = listener.as_raw_fd().to_string();
        let variables = [("GW_ACCEPT_FD", fd.as_str()), ("TMPDIR", folder.to_str().expect("a path"))];
        Self::launch(name, &address, 1024, "ulimit -n 1024", &variables, |_| ())
    }

    fn launch(
        name: &str,
        address: &str,
        descriptors: usize,
        limits: &str,
        variables: &[(&str, &str)],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let address = address.to_string();
        let (sender, receiver) = channel();
        let link = Arc::new(Mutex::new(None));
        let started = Instant::now();
        let control_plane_down = Arc::<AtomicBool>::default();
        let text = start_peers("", &address, &link, started, &sender, &control_plane_down);
        let mut text: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        text["limits"]["sockets"] = serde_json::json!(descriptors);
        change(&mut text);
        let text = text.to_string();
        let file = std::env::temp_dir().join(format!("gradepin-{}-{name}.json", std::process::id()));
        std::fs::write(&file, &text).expect("a file for the configuration");
        // The shell sets the limits and then `exec`s the program.
        let limited = format!("{limits} && exec \"$0\" serve");
        let mut program = Command::new("/bin/sh");
        let program = program.args(["-c", &limited, env!("CARGO_BIN_EXE_gradepin")]);
        let program = program.env("GW_CONFIG", &file).envs(variables.iter().copied()).stderr(Stdio::null());
        let program = program.spawn().expect("the program starts");
        let (conns, gates, buffered) = (HashMap::new(), HashMap::new(), Vec::new());
        let events = Vec::new();
        Self {
            program,
            file,
            last_valid_config: text,
            address,
            conns,
            gates,
            buffered,
            unsent_halves: HashMap::new(),
            control_plane_down,
            notices: 0,
            link,
            started,
            sender,
            receiver,
            events,
        }
    }

    fn signal(&self, name: &str) {
        send_signal(&self.program, name);
    }

    fn conn(&mut self, name: &str) -> TcpStream {
        if !self.conns.contains_key(name) {
            let start = Instant::now();
            let socket = loop {
                match TcpStream::connect(&self.address) {
                    Ok(socket) => break socket,
                    Err(e) => assert!(start.elapsed() < TIMEOUT, "the program doesn't listen: {e}"),
                }
                thread::sleep(Duration::from_millis(5));
            };
            // As client proxies do: a message is sent when it was written, so messages written later on another
            // connection arrive later.
            socket.set_nodelay(true).expect("a socket");
            let (mut reads, events) = (socket.try_clone().expect("a clone"), self.sender.clone());
            let conn = name.to_string();
            let (gate, held) = channel::<()>();
            if let Some(slot) = self.gates.get_mut(name) {
                *slot = gate;
            }
            thread::spawn(move || {
                // Blocks until the gate is dropped; without `hold` that happens at once.
                let _ = held.recv();
                let mut frame = || {
                    let mut prefix = [0; 4];
                    reads.read_exact(&mut prefix)?;
                    let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
                    reads.read_exact(&mut frame).map(|()| frame)
                };
                let end = loop {
                    match frame() {
                        Ok(frame) => drop(events.send(format!("{conn} {}", thrift::event(&frame)))),
                        Err(end) => break end,
                    }
                };
                let reset = if end.kind() == ErrorKind::ConnectionReset { " reset" } else { "" };
                let _ = events.send(format!("{conn} closed{reset}"));
            });
            self.conns.insert(name.to_string(), socket);
        }
        self.conns[name].try_clone().expect("a clone")
    }

    /// Number of threads of the program.
    pub fn thread_count(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.program.id())).expect("it runs");
        let threads = status.lines().find_map(|line| line.strip_prefix("Threads:")).expect("a count");
        threads.trim().parse().expect("a number")
    }

    /// Waits for the next event that begins with any of these phrases and removes it.
    pub fn take_any_event(&mut self, words: &[&str]) -> String {
        let start = Instant::now();
        loop {
            let wanted = |event: &String| words.iter().any(|words| matches_words(event, words));
            if let Some(index) = self.events.iter().position(wanted) {
                return self.events.remove(index);
            }
            let next = self.receiver.recv_timeout(TIMEOUT.saturating_sub(start.elapsed()));
            self.events.push(next.unwrap_or_else(|_| panic!("no {words:?} in {:?}", self.events)));
        }
    }

    /// Discards pending events that begin with these words.
    pub fn discard_events(&mut self, words: &str) {
        self.events.extend(self.receiver.try_iter());
        self.events.retain(|event| !matches_words(event, words));
    }

    /// Number for the processor's next notice, for tests that don't count notices themselves.
    pub fn next_notice_number(&mut self) -> u64 {
        self.notices += 1;
        self.notices
    }

    /// Starts a processor at this address.
    pub fn start_processor_at(&self, address: &str) {
        let listener = TcpListener::bind(address).expect("the address is free");
        accept_links(listener, &self.link, self.started, "processor".into(), &self.sender);
    }

    /// Number of open file descriptors of the program.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.program.id())).expect("it runs").count()
    }

    /// CPU time of the program in clock ticks, 100 per second.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.program.id())).expect("it runs");
        let (_, after_name) = stat.rsplit_once(") ").expect("a name in brackets");
        let ticks = after_name.split(' ').skip(11).take(2);
        ticks.map(|ticks| ticks.parse::<u64>().expect("a number")).sum()
    }

    /// Waits for the program to exit; returns its exit status.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.program.wait().expect("a program").code()
    }

    pub fn address(&self) -> &str {
        &self.address
    }

    /// Runs the program with this configuration until it exits; returns its exit status and standard error.
    pub fn run_to_exit(text: &str) -> (Option<i32>, String) {
        let file = std::env::temp_dir().join(format!("gradepin-{}-bad.json", std::process::id()));
        std::fs::write(&file, text).expect("a file for the configuration");
        let out = Command::new(env!("CARGO_BIN_EXE_gradepin")).arg("serve").env("GW_CONFIG", &file).output();
        let out = out.expect("the program starts");
        let _ = std::fs::remove_file(file);
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    }
}

/// A loopback address that is unique to each program, since an ephemeral port that was just released may be taken
/// again. The next port is free too.
pub fn unique_address() -> String {
    let (pid, n) = (std::process::id(), NEXT_HOST.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{n}:18443", 64 + (pid >> 8) % 64, pid % 256)
}

/// Starts a processor and a control plane, whose events carry a suffix, and returns the configuration that names
/// them.
fn start_peers(
    suffix: &str,
    address: &str,
    link: &CurrentLink,
    started: Instant,
    events: &Sender<String>,
    control_plane_down: &Arc<AtomicBool>,
) -> String {
    let (processor, control) = (TcpListener::bind("127.0.0.1:0"), UdpSocket::bind("127.0.0.1:0"));
    let (processor, control) = (processor.expect("a port"), control.expect("a port"));
    let of = |address: std::io::Result<std::net::SocketAddr>| address.expect("an address").to_string();
    let mut config = config(address, &of(processor.local_addr()), &of(control.local_addr()));
    config["admin_addr"] = serde_json::json!(admin_address(address));
    // The idle limit must not close connections in these tests.
    config["settings"]["specifics"]["idle"] = serde_json::json!(600_000_000_000_u64);
    accept_links(processor, link, started, format!("processor{suffix}"), events);
    let (events, name, down) = (events.clone(), format!("control{suffix}"), Arc::clone(control_plane_down));
    thread::spawn(move || {
        let address = control.local_addr().expect("an address");
        let mut socket = Some(control);
        loop {
            if down.load(Ordering::SeqCst) {
                socket = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let control = socket.get_or_insert_with(|| UdpSocket::bind(address).expect("the port is free"));
            control.set_read_timeout(Some(Duration::from_millis(20))).expect("a socket");
            let mut datagram = [0; 64];
            let Ok(len) = control.recv(&mut datagram) else { continue };
            let text = String::from_utf8_lossy(&datagram[..len]).into_owned();
            let lease = text.strip_prefix("lease n1 ").expect("a lease");
            if events.send(format!("{name} {lease}")).is_err() {
                return;
            }
        }
    });
    // A slow machine must not let requests expire.
    config["settings"]["profiles"][0]["deadline"] = serde_json::json!(60_000_000_000_u64);
    config.to_string()
}

/// Accepts the links of a processor with this name; the last one accepted is the current link.
fn accept_links(
    listener: TcpListener,
    link: &CurrentLink,
    started: Instant,
    name: String,
    events: &Sender<String>,
) {
    let (events, slot) = (events.clone(), Arc::clone(link));
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            *slot.lock().expect("whole") = Some(socket.try_clone().expect("a clone"));
            serve_link(socket, started, &name, &events);
        }
    });
}

/// Starts only the program; returns it with the lines of its log.
pub fn start(name: &str, config: &str) -> (Child, std::io::Lines<BufReader<std::process::ChildStderr>>) {
    let file = std::env::temp_dir().join(format!("gradepin-{}-{name}.json", std::process::id()));
    std::fs::write(&file, config).expect("a file for the configuration");
    let mut program = Command::new(env!("CARGO_BIN_EXE_gradepin"));
    let program = program.arg("serve").env("GW_CONFIG", &file).stderr(Stdio::piped()).spawn();
    let mut program = program.expect("the program starts");
    let lines = BufReader::new(program.stderr.take().expect("a pipe")).lines();
    (program, lines)
}

/// Sends a signal to a program started by the test.
pub fn send_signal(program: &Child, signal: &str) {
    let kill = format!("kill -{signal} {}", program.id());
    assert!(Command::new("/bin/sh").arg("-c").arg(kill).status().expect("a shell").success());
}

/// Address of the admin endpoint: the host of the client address, the next port.
fn admin_address(address: &str) -> String {
    let address: std::net::SocketAddr = address.parse().expect("an address");
    std::net::SocketAddr::new(address.ip(), address.port() + 1).to_string()
}

/// Reads the server's commands on one link and answers those that scenarios need not name.
fn serve_link(socket: TcpStream, started: Instant, name: &str, events: &Sender<String>) {
    let mut writes = socket.try_clone().expect("a clone");
    let mut reads = BufReader::new(socket);
    let mut line = String::new();
    while reads.read_line(&mut line).is_ok_and(|len| len > 0) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let _ = match words[..] {
            ["hello", n] => {
                let _ = events.send(format!("{name} hello {n}"));
                writes.write_all(format!("hi WARM {}.500\r\n", started.elapsed().as_millis()).as_bytes())
            }
            ["usage", tag] => writes.write_all(format!("used {tag} 0.5 2 0.1 9\r\n").as_bytes()),
            ["begin", id, class, len] => {
                let mut body = vec![0; len.parse::<usize>().expect("a length") + 2];
                reads.read_exact(&mut body).expect("a body");
                let id = u64::from_str_radix(id, 16).expect("hex");
                let body = String::from_utf8_lossy(&body[..body.len() - 2]).into_owned();
                drop(events.send(format!("{name} begin {id} {class} {body}")));
                Ok(())
            }
            ["answer", id, len] => {
                let mut reply = vec![0; len.parse::<usize>().expect("a length") + 2];
                reads.read_exact(&mut reply).expect("a reply");
                let id = u64::from_str_radix(id, 16).expect("hex");
                let reply = String::from_utf8_lossy(&reply[..reply.len() - 2]).into_owned();
                drop(events.send(format!("{name} answer {id} {reply}")));
                Ok(())
            }
            _ => panic!("not a command: {line}"),
        };
        line.clear();
    }
}

impl Stage for SocketStage {
    fn send_frame(&mut self, conn: &str, bytes: &[u8], more: bool) {
        self.buffered.extend_from_slice(bytes);
        if !more {
            let bytes = std::mem::take(&mut self.buffered);
            // Split so that no piece ends at a message boundary.
            for piece in bytes.chunks(bytes.len() / 3 + 1) {
                let _ = self.conn(conn).write_all(piece);
                thread::sleep(Duration::from_millis(1));
            }
        }
    }

    fn send_processor_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let text = match words[..] {
            ["complete", n, id, end, ref result @ ..] => {
                let (id, result) = (id.parse::<u64>().expect("a number"), result.join(" "));
                format!("complete {n} {id:016x} {end} 5.125 {}\r\n{result}\r\n", result.len())
            }
            _ => format!("{line}\r\n"),
        };
        let link = self.link.lock().expect("whole");
        let text = match text.strip_prefix("half ") {
            Some(whole) => &whole[..whole.len() / 2],
            None => &text,
        };
        link.as_ref().expect("a link").write_all(text.as_bytes()).expect("the link takes lines");
    }

    fn terminate(&mut self) {
        self.signal("TERM");
    }

    fn set_out_of_service(&mut self, out: bool) {
        self.signal(if out { "USR1" } else { "USR2" });
    }

    fn reload(&mut self, how: &str) {
        let text = match how {
            "moved" => {
                start_peers("2", &self.address, &self.link, self.started, &self.sender, &Arc::default())
            }
            _ => changed_config(&serde_json::from_str(&self.last_valid_config).expect("JSON in force"), how),
        };
        if serde_json::from_str::<serde_json::Value>(&text).is_ok() {
            self.last_valid_config.clone_from(&text);
        }
        std::fs::write(&self.file, text).expect("a file for the configuration");
        self.signal("HUP");
    }

    fn send_admin_request(&mut self, call: AdminRequest) {
        let request = match call {
            AdminRequest::Health => "GET /healthcheck",
            AdminRequest::Stats => "GET /stats",
            AdminRequest::Fleet => "GET /fleet",
            AdminRequest::Agreement(_) => "GET /fleet/status",
            AdminRequest::Configuration(_) => "GET /config/status",
            AdminRequest::StartDrain => "POST /healthcheck/fail",
            AdminRequest::EndDrain => "POST /healthcheck/ok",
        };
        let start = Instant::now();
        let mut socket = loop {
            match TcpStream::connect(admin_address(&self.address)) {
                Ok(socket) => break socket,
                Err(e) => assert!(start.elapsed() < TIMEOUT, "the admin endpoint doesn't listen: {e}"),
            }
            thread::sleep(Duration::from_millis(5));
        };
        let text = format!("{request} HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n\r\n");
        socket.write_all(text.as_bytes()).expect("the admin endpoint reads");
        let mut response = String::new();
        socket.read_to_string(&mut response).expect("a response");
        let (head, body) = response.split_once("\r\n\r\n").expect("a head and a body");
        let status = head.split(' ').nth(1).expect("a status");
        let lines = body.lines().filter(|line| !line.starts_with('#'));
        self.events.extend(lines.map(|line| format!("admin {status} {line}")));
    }

    fn open(&mut self, conn: &str) {
        drop(self.conn(conn));
    }

    fn close(&mut self, peer: &str) {
        let socket = if peer == "processor" {
            self.link.lock().expect("whole").take()
        } else {
            self.conns.remove(peer)
        };
        socket.expect("a connection").shutdown(Shutdown::Both).expect("it stood");
    }

    fn half_close(&mut self, conn: &str) {
        self.conn(conn).shutdown(Shutdown::Write).expect("it stood");
    }

    fn reset(&mut self, conn: &str) {
        // Closing a socket with a linger time of zero resets the connection.
        let socket = self.conns.remove(conn).expect("a connection");
        rustix::net::sockopt::set_socket_linger(&socket, Some(Duration::ZERO)).expect("a socket");
        socket.shutdown(Shutdown::Read).expect("the reader stops");
        self.take_event(&format!("{conn} closed")).expect("the reader reports the close");
    }

    fn set_reading_paused(&mut self, conn: &str, paused: bool) {
        if paused {
            self.gates.insert(conn.to_string(), channel().0);
            drop(self.conn(conn));
        } else {
            self.gates.remove(conn).expect("a connection whose reading is paused");
        }
    }

    fn flood(&mut self, conn: &str, bytes: &[u8]) {
        let (mut socket, bytes) = (self.conn(conn), bytes.to_vec());
        // The server may stop reading or close the connection; the scenario continues.
        thread::spawn(move || drop(socket.write_all(&bytes)));
    }

    fn trickle(&mut self, conn: &str, bytes: &[u8]) {
        let mut socket = self.conn(conn);
        socket.set_nodelay(true).expect("a socket");
        bytes.iter().for_each(|byte| socket.write_all(&[*byte]).expect("it stands"));
    }

    fn set_frozen(&mut self, frozen: bool) {
        self.signal(if frozen { "STOP" } else { "CONT" });
    }

    fn set_control_plane_up(&mut self, up: bool) {
        self.control_plane_down.store(!up, Ordering::SeqCst);
    }

    fn unsent_half(&mut self, conn: &str) -> &mut Vec<u8> {
        self.unsent_halves.entry(conn.to_string()).or_default()
    }

    fn wait(&mut self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
    }

    fn take_event(&mut self, words: &str) -> Result<String, Vec<String>> {
        let start = Instant::now();
        loop {
            if let Some(index) = self.events.iter().position(|event| matches_words(event, words)) {
                return Ok(self.events.remove(index));
            }
            match self.receiver.recv_timeout(TIMEOUT.saturating_sub(start.elapsed())) {
                Ok(event) => self.events.push(event),
                Err(_) => return Err(self.events.clone()),
            }
        }
    }

    fn pending_events(&mut self) -> Vec<String> {
        self.events.extend(self.receiver.try_iter());
        self.events.clone()
    }
}

impl Drop for SocketStage {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
