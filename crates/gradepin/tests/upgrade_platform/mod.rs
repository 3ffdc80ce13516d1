//! The platform of an upgrade: an inherited listener, stand-in processors, and two real server processes.
#![allow(dead_code)]

use super::scenario::{call, config, thrift};
use rustix::io::{FdFlags, fcntl_setfd};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Far above what each step takes; no test passes or fails by speed.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Duration of a run at the stand-in processor, so that requests are in flight at SIGTERM.
pub const RUN_DURATION: Duration = Duration::from_millis(150);
/// Time from SIGTERM to SIGKILL.
pub const STOP: Duration = Duration::from_secs(3);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Starts a processor that greets, answers gauge queries and ends every run after `run_duration` with its body
/// as the result. It counts the keyed runs that it begins.
pub fn processor(run_duration: Duration, keyed_runs: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let keyed_runs = Arc::clone(keyed_runs);
    thread::spawn(move || {
        for link in listener.incoming().flatten() {
            let keyed_runs = Arc::clone(&keyed_runs);
            thread::spawn(move || serve_link(link, run_duration, &keyed_runs));
        }
    });
    address
}

pub fn serve_link(link: TcpStream, run_duration: Duration, keyed_runs: &AtomicU64) {
    let writes = Arc::new(Mutex::new(link.try_clone().expect("a clone")));
    let notices = Arc::new(AtomicU64::new(0));
    let mut reads = BufReader::new(link);
    let mut line = String::new();
    while reads.read_line(&mut line).is_ok_and(|len| len > 0) {
        let words: Vec<String> = line.split_whitespace().map(String::from).collect();
        let write = |text: String| drop(writes.lock().expect("whole").write_all(text.as_bytes()));
        match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["hello", _] => write("hi WARM 0\r\n".into()),
            ["usage", tag] => write(format!("used {tag} 0.5 2 0.1 9\r\n")),
            ["begin", id, class, len] => {
                keyed_runs.fetch_add(u64::from(class == "claim"), Ordering::SeqCst);
                let mut body = vec![0; len.parse::<usize>().expect("a length") + 2];
                reads.read_exact(&mut body).expect("a body");
                body.truncate(body.len() - 2);
                let (writes, notices, id) = (Arc::clone(&writes), Arc::clone(&notices), id.to_string());
                thread::spawn(move || {
                    thread::sleep(run_duration);
                    // Numbered under the lock, so that notices are sent in the order of their numbers.
                    let mut writes = writes.lock().expect("whole");
                    let n = notices.fetch_add(1, Ordering::SeqCst) + 1;
                    let head = format!("complete {n} {id} OK 150 {}\r\n", body.len());
                    let _ = writes.write_all(&[head.as_bytes(), &body, b"\r\n"].concat());
                });
            }
            _ => {}
        }
        line.clear();
    }
}

/// A process that is killed on drop.
pub struct Process(pub Child);

impl Process {
    /// Waits for the exit. Returns how long it took from now and the status.
    pub fn wait_for_exit(&mut self) -> (Duration, ExitStatus) {
        let start = Instant::now();
        loop {
            if let Some(status) = self.0.try_wait().expect("a status") {
                return (start.elapsed(), status);
            }
            assert!(start.elapsed() < TIMEOUT, "the process never exited");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn ready(admin: SocketAddr) -> bool {
    let Ok(mut socket) = TcpStream::connect(admin) else { return false };
    let _ = socket.write_all(b"GET /healthcheck HTTP/1.1\r\n\r\n");
    let mut response = String::new();
    let _ = socket.read_to_string(&mut response);
    response.starts_with("HTTP/1.1 200 ")
}

pub fn wait_ready(admin: SocketAddr) {
    let start = Instant::now();
    while !ready(admin) {
        assert!(start.elapsed() < TIMEOUT, "{admin} never became ready");
        thread::sleep(Duration::from_millis(10));
    }
}

/// What the platform holds during an upgrade: a listener that child processes inherit, an address for the admin endpoint
/// of each process, and a folder that both share.
pub struct Platform {
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub admin_addresses: [SocketAddr; 2],
    pub folder: PathBuf,
    /// Duration of a run at the processors.
    pub run_duration: Duration,
    /// Number of keyed runs begun at the processors.
    pub keyed_runs: Arc<AtomicU64>,
    /// Whether keyed runs are kept in a store that both processes are given.
    pub has_store: bool,
}

impl Platform {
    pub fn new(name: &str, run_duration: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        fcntl_setfd(&listener, FdFlags::empty()).expect("inheritable");
        let admin_address =
            || TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
        let folder = std::env::temp_dir().join(format!("gradepin-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self {
            address: listener.local_addr().expect("an address"),
            listener,
            admin_addresses: [admin_address(), admin_address()],
            folder,
            run_duration,
            keyed_runs: Arc::default(),
            has_store: false,
        }
    }

    /// A platform whose processes are given one store.
    pub fn with_store(name: &str, run_duration: Duration) -> Self {
        let mut platform = Self::new(name, run_duration);
        platform.has_store = true;
        platform
    }

    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).expect("the test keeps the listener open");
        socket.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        socket
    }

    pub fn start_old(&self) -> Process {
        self.start("old", self.admin_addresses[0])
    }

    pub fn start_new(&self) -> Process {
        self.start("new", self.admin_addresses[1])
    }

    /// Starts a process on the inherited listener, with its own processor, and waits until it is ready.
    pub fn start(&self, name: &str, admin: SocketAddr) -> Process {
        let control = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let control_address = control.local_addr().expect("an address").to_string();
        thread::spawn(move || while control.recv(&mut [0; 64]).is_ok() {});
        let processor = processor(self.run_duration, &self.keyed_runs).to_string();
        let mut config = config(&self.address.to_string(), &processor, &control_address);
        config["admin_addr"] = serde_json::json!(admin.to_string());
        config["stop_ms"] = serde_json::json!(STOP.as_millis() as u64);
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, config.to_string()).expect("a file for the configuration");
        // The platform passes descriptor 3; here it is the listener's own descriptor, which the program inherits.
        let fd = self.listener.as_raw_fd().to_string();
        let mut child = Command::new(env!("CARGO_BIN_EXE_gradepin"));
        child.arg("serve").env("GW_CONFIG", &file).env("GW_ACCEPT_FD", fd);
        if self.has_store {
            child.arg("--settings").arg(self.store_settings());
        }
        child.stderr(std::fs::File::create(self.log_path(name)).expect("a log"));
        let process = Process(child.env("TMPDIR", &self.folder).spawn().expect("the program starts"));
        wait_ready(admin);
        process
    }

    fn store_settings(&self) -> PathBuf {
        let file = self.folder.join("store.kdl");
        let text = format!("store {{\n    path \"{}\"\n}}\n", self.folder.join("store").display());
        std::fs::write(&file, text).expect("a file for the settings");
        file
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// What the old process has logged.
    pub fn old_log(&self) -> String {
        std::fs::read_to_string(self.log_path("old")).expect("a log")
    }

    /// Waits until this number of keyed runs has begun.
    pub fn wait_for_keyed_runs(&self, count: u64) {
        let start = Instant::now();
        while self.keyed_runs.load(Ordering::SeqCst) < count {
            assert!(start.elapsed() < TIMEOUT, "fewer than {count} keyed runs began");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends SIGTERM to the old process and waits until it no longer reports ready.
    pub fn hand_over(&self, old: &Process) {
        terminate(old);
        let start = Instant::now();
        while ready(self.admin_addresses[0]) {
            assert!(start.elapsed() < TIMEOUT, "the old process ignores SIGTERM");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn terminate(process: &Process) {
    signal(process, Signal::TERM);
}

pub fn signal(process: &Process, signal: Signal) {
    let pid = Pid::from_raw(process.0.id() as i32).expect("a process id");
    kill_process(pid, signal).expect("the process has not been waited for");
}

/// Sends one request on an otherwise idle connection and returns the answer.
pub fn request(socket: &mut TcpStream, seq: u64, words: &str) -> String {
    let words = format!("{seq} {words}");
    socket.write_all(&call(&words.split(' ').collect::<Vec<_>>(), unix_ms())).expect("it takes bytes");
    answer(socket)
}

/// Reads the next answer.
pub fn answer(socket: &mut TcpStream) -> String {
    loop {
        let mut len = [0; 4];
        socket.read_exact(&mut len).expect("a frame");
        let mut frame = vec![0; u32::from_be_bytes(len) as usize];
        socket.read_exact(&mut frame).expect("a whole frame");
        let event = thrift::event(&frame);
        if event != "draining" {
            return event;
        }
    }
}
