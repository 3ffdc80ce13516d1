//! Upgrades with two real processes on one inherited listener.

mod scenario;

use rustix::io::{FdFlags, fcntl_setfd};
use scenario::{call, config, thrift};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Far above what each step takes; no test passes or fails by speed.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Duration of a run at the stand-in processor, so that requests are in flight at SIGTERM.
const RUN_DURATION: Duration = Duration::from_millis(150);
/// Time from SIGTERM to SIGKILL.
const STOP: Duration = Duration::from_secs(3);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Starts a processor that greets, answers gauge queries and ends every run after `run_duration` with its body
/// as the result. It counts the keyed runs that it begins.
fn processor(run_duration: Duration, keyed_runs: &Arc<AtomicU64>) -> SocketAddr {
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

fn serve_link(link: TcpStream, run_duration: Duration, keyed_runs: &AtomicU64) {
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
struct Process(Child);

impl Process {
    /// Waits for the exit. Returns how long it took from now and the status.
    fn wait_for_exit(&mut self) -> (Duration, ExitStatus) {
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

fn ready(admin: SocketAddr) -> bool {
    let Ok(mut socket) = TcpStream::connect(admin) else { return false };
    let _ = socket.write_all(b"GET /healthcheck HTTP/1.1\r\n\r\n");
    let mut response = String::new();
    let _ = socket.read_to_string(&mut response);
    response.starts_with("HTTP/1.1 200 ")
}

fn wait_ready(admin: SocketAddr) {
    let start = Instant::now();
    while !ready(admin) {
        assert!(start.elapsed() < TIMEOUT, "{admin} never became ready");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Counters of a client proxy: requests sent, answers received, and answers still owed when a connection ended.
#[derive(Default, Debug)]
struct ProxyCounts {
    sent: u64,
    answered: u64,
    lost: u64,
    connections: u64,
}

/// Sends requests on a connection until the server asks it to drain, then waits for the answers and opens another
/// connection.
fn proxy(address: SocketAddr, first_rid: u64, stop: &AtomicBool) -> ProxyCounts {
    let mut counts = ProxyCounts::default();
    let mut rid = first_rid;
    while !stop.load(Ordering::SeqCst) {
        let mut socket = TcpStream::connect(address).expect("the test keeps the listener open");
        counts.connections += 1;
        let (mut open, mut seq, mut draining) = (0_u64, 0, false);
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
        let mut frames = Vec::new();
        loop {
            if !draining && !stop.load(Ordering::SeqCst) && open < 4 {
                (seq, rid) = (seq + 1, rid + 1);
                let words = [seq.to_string(), format!("rid={rid}"), "body=tile".to_string()];
                let words: Vec<&str> = words.iter().map(String::as_str).collect();
                if socket.write_all(&call(&words, unix_ms())).is_err() {
                    counts.lost += open;
                    break;
                }
                (open, counts.sent) = (open + 1, counts.sent + 1);
            }
            let mut chunk = [0; 4096];
            match socket.read(&mut chunk) {
                Ok(0) => {
                    counts.lost += open;
                    break;
                }
                Ok(n) => frames.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => {
                    counts.lost += open;
                    break;
                }
            }
            while frames.len() >= 4 {
                let len = u32::from_be_bytes(frames[..4].try_into().expect("four bytes")) as usize;
                let Some(frame) = frames.get(4..4 + len) else { break };
                let event = thrift::event(frame);
                frames.drain(..4 + len);
                if event == "draining" {
                    draining = true;
                } else {
                    (open, counts.answered) = (open - 1, counts.answered + 1);
                }
            }
            if (draining || stop.load(Ordering::SeqCst)) && open == 0 {
                break;
            }
        }
    }
    counts
}

/// What the platform holds during an upgrade: a listener that child processes inherit, an address for the admin endpoint
/// of each process, and a folder that both share.
struct Platform {
    listener: TcpListener,
    address: SocketAddr,
    admin_addresses: [SocketAddr; 2],
    folder: PathBuf,
    /// Duration of a run at the processors.
    run_duration: Duration,
    /// Number of keyed runs begun at the processors.
    keyed_runs: Arc<AtomicU64>,
}

impl Platform {
    fn new(name: &str, run_duration: Duration) -> Self {
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
        }
    }

    fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).expect("the test keeps the listener open");
        socket.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        socket
    }

    fn start_old(&self) -> Process {
        self.start("old", self.admin_addresses[0])
    }

    fn start_new(&self) -> Process {
        self.start("new", self.admin_addresses[1])
    }

    /// Starts a process on the inherited listener, with its own processor, and waits until it is ready.
    fn start(&self, name: &str, admin: SocketAddr) -> Process {
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
        child.arg("serve").env("GW_CONFIG", &file).env("GW_ACCEPT_FD", fd).stderr(Stdio::null());
        let process = Process(child.env("TMPDIR", &self.folder).spawn().expect("the program starts"));
        wait_ready(admin);
        process
    }

    /// Sends SIGTERM to the old process and waits until it no longer reports ready.
    fn hand_over(&self, old: &Process) {
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

fn terminate(process: &Process) {
    let term = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {}", process.0.id())).status();
    assert!(term.expect("a shell").success());
}

/// Sends one request on an otherwise idle connection and returns the answer.
fn request(socket: &mut TcpStream, seq: u64, words: &str) -> String {
    let words = format!("{seq} {words}");
    socket.write_all(&call(&words.split(' ').collect::<Vec<_>>(), unix_ms())).expect("it takes bytes");
    answer(socket)
}

/// Reads the next answer.
fn answer(socket: &mut TcpStream) -> String {
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

#[test]
fn a_keyed_request_that_ran_in_the_old_process_is_answered_by_the_new_one_without_a_run() {
    // Guards idempotency across an upgrade, where both processes count as one server. The stand-in processors
    // count the runs they begin, which would reveal a second run.
    let platform = Platform::new("shared", RUN_DURATION);
    let old = platform.start_old();
    let mut before = platform.connect();
    assert_eq!(request(&mut before, 1, "rid=1 method=claim token=t body=mine"), "1 served mine");
    let _new = platform.start_new();
    // A request that is still running in the old process when the new one receives its retry.
    let running = call(&["2", "rid=2", "method=claim", "token=u", "body=yours"], unix_ms());
    before.write_all(&running).expect("it takes bytes");
    platform.hand_over(&old);
    const CONFLICT: &str = "3 invalid the token came before with another body or class";
    let mut after = platform.connect();
    let runs = platform.keyed_runs.load(Ordering::SeqCst);
    assert_eq!(request(&mut after, 1, "rid=3 method=claim token=u body=yours"), "1 served yours");
    assert_eq!(request(&mut after, 2, "rid=4 method=claim token=t body=mine"), "2 served mine");
    assert_eq!(request(&mut after, 3, "rid=5 method=claim token=t body=other"), CONFLICT);
    assert_eq!(platform.keyed_runs.load(Ordering::SeqCst), runs, "a request ran a second time");
    assert_eq!(request(&mut after, 4, "rid=6 method=claim token=new body=new"), "4 served new");
    assert_eq!(platform.keyed_runs.load(Ordering::SeqCst), runs + 1);
}

#[test]
fn a_try_without_time_left_is_not_refused_by_the_new_process_if_the_old_one_ran_it() {
    // Guards against a caller that takes a request which ran to another server: the new process would refuse a try
    // that has too little time to run, without having asked whether the old one ran the request.
    let platform = Platform::new("refusal", RUN_DURATION);
    let old = platform.start_old();
    let mut before = platform.connect();
    assert_eq!(request(&mut before, 1, "rid=1 method=claim token=t body=mine"), "1 served mine");
    let _new = platform.start_new();
    platform.hand_over(&old);
    let mut after = platform.connect();
    let retry = request(&mut after, 1, "rid=2 method=claim token=t body=mine budget=1 again=1");
    // A slow look-up may fail the try, which promises nothing.
    assert!(["1 served mine", "1 failed"].contains(&retry.as_str()), "{retry}");
    let new = request(&mut after, 2, "rid=3 method=claim token=new body=new budget=1");
    assert!(["2 refused", "2 failed"].iter().any(|answer| new.starts_with(answer)), "{new}");
}

#[test]
fn an_upgrade_on_an_inherited_listener_loses_no_request_in_flight() {
    // Guards the hand-over: the new process reports ready once it can serve, the old one stops accepting at
    // SIGTERM, answers everything it has read and exits before SIGKILL; no request goes unanswered.
    let platform = Platform::new("upgrade", RUN_DURATION);
    let mut old = platform.start_old();
    let stop = Arc::new(AtomicBool::new(false));
    let proxies: Vec<_> = (0..4)
        .map(|n| {
            let (address, stop) = (platform.address, Arc::clone(&stop));
            thread::spawn(move || proxy(address, n * 1_000_000, &stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let _new = platform.start_new();
    terminate(&old);
    let (took, status) = old.wait_for_exit();
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let counts: Vec<ProxyCounts> = proxies.into_iter().map(|proxy| proxy.join().expect("a proxy")).collect();
    assert!(status.success(), "the old process exited with {status:?}");
    assert!(took < STOP, "the old process took {took:?}");
    let (sent, answered, lost) =
        counts.iter().fold((0, 0, 0), |(s, a, l), p| (s + p.sent, a + p.answered, l + p.lost));
    assert!(counts.iter().all(|proxy| proxy.connections >= 2), "some proxy did not reconnect: {counts:?}");
    assert_eq!((lost, answered), (0, sent), "{counts:?}");
}

#[test]
fn the_old_process_answers_a_run_that_outlasts_the_stop() {
    // Guards against a connection that ends without an answer: the old process would exit before its admission module
    // had given up on what still runs.
    let platform = Platform::new("outlasting", STOP * 2);
    let mut old = platform.start_old();
    let mut before = platform.connect();
    before.write_all(&call(&["1", "rid=1", "body=tile"], unix_ms())).expect("it takes bytes");
    let _new = platform.start_new();
    terminate(&old);
    assert_eq!(answer(&mut before), "1 failed");
    let (took, status) = old.wait_for_exit();
    assert!(status.success(), "the old process exited with {status:?}");
    assert!(took < STOP, "the old process took {took:?} after its answer");
}
