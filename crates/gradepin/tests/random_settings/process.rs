//! One server process between stand-ins for its processor and its clients, on loopback sockets.

use crate::generated_settings::text;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper bound of every wait.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Upper bound of the time to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A server process with its configuration and log files.
pub struct Process {
    program: Child,
    file: PathBuf,
    log: PathBuf,
    listen: String,
    peer_addresses: [String; 2],
    seq: i32,
}

/// Serves a link as a processor whose runs end with their own body as the result.
fn serve_link(socket: TcpStream) -> std::io::Result<()> {
    let mut writes = socket.try_clone()?;
    let mut reads = BufReader::new(socket);
    let (mut line, mut notice) = (String::new(), 0);
    while reads.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["hello", _] => writes.write_all(b"hi COLD 60000\r\n")?,
            ["usage", tag] => writes.write_all(format!("used {tag} 0.5 1e0 0 9\r\n").as_bytes())?,
            ["begin", id, _, len] => {
                let mut body = vec![0; len.parse::<usize>().expect("a length") + 2];
                reads.read_exact(&mut body)?;
                notice += 1;
                let len = body.len() - 2;
                writes.write_all(format!("complete {notice} {id} OK 1.5 {len}\r\n").as_bytes())?;
                writes.write_all(&body)?;
            }
            ["interrupt", _] => {}
            _ => panic!("not a command: {line:?}"),
        }
        line.clear();
    }
    Ok(())
}

impl Process {
    /// Starts the program with a generated configuration, whose addresses are replaced, and waits until it listens.
    pub fn start(name: &str, config: &Value, exponents: bool) -> Self {
        let links = TcpListener::bind("127.0.0.1:0").expect("a port");
        let processor = links.local_addr().expect("bound").to_string();
        thread::spawn(move || {
            for socket in links.incoming().flatten() {
                thread::spawn(move || drop(serve_link(socket)));
            }
        });
        let control = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let peer_addresses = [processor, control.local_addr().expect("bound").to_string()];
        // A loopback address that is unique to each program, since an ephemeral port that was just released may be
        // taken again.
        let pid = std::process::id();
        let listen = format!("127.{}.{}.77:18443", 64 + (pid >> 8) % 64, pid % 256);
        let files = std::env::temp_dir();
        let file = files.join(format!("gradepin-{pid}-{name}.json"));
        let log = files.join(format!("gradepin-{pid}-{name}.log"));
        let mut process = Self { program: placeholder(), file, log, listen, peer_addresses, seq: 0 };
        process.write(config, exponents);
        process.check_configuration();
        let mut program = Command::new(env!("CARGO_BIN_EXE_gradepin"));
        let log = std::fs::File::create(&process.log).expect("a log");
        let program = program.arg("serve").env("GW_CONFIG", &process.file).stderr(Stdio::from(log));
        process.program = program.spawn().expect("the program starts");
        let start = Instant::now();
        while TcpStream::connect(&process.listen).is_err() {
            assert!(start.elapsed() < START_TIMEOUT, "the server doesn't listen: {}", process.log_text());
            thread::sleep(Duration::from_millis(5));
        }
        process
    }

    fn write(&self, config: &Value, exponents: bool) {
        let mut config = config.clone();
        config["listen"] = json!(self.listen);
        config["processor"] = json!(self.peer_addresses[0]);
        config["control"] = json!(self.peer_addresses[1]);
        config["stop_ms"] = json!(1_000);
        // Replaced atomically, because the server may read the file at any time.
        let draft = self.file.with_extension("draft");
        std::fs::write(&draft, text(&config, exponents)).expect("a file for the configuration");
        std::fs::rename(draft, &self.file).expect("a file for the configuration");
    }

    /// Checks that `gradepin check` accepts the file.
    fn check_configuration(&self) {
        let check =
            Command::new(env!("CARGO_BIN_EXE_gradepin")).args(["check", "--config"]).arg(&self.file).output();
        let check = check.expect("the program starts");
        assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stderr));
    }

    fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.program.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(kill).status().expect("a shell").success());
    }

    /// Replaces the configuration and signals a reload, without waiting for it.
    pub fn reload(&self, config: &Value, exponents: bool) {
        self.write(config, exponents);
        self.signal("HUP");
    }

    /// Waits until this many reloads have completed.
    pub fn wait_until_reloaded(&self, reloads: usize) {
        let start = Instant::now();
        loop {
            let log_text = self.log_text();
            assert!(!log_text.contains("turned down"), "{log_text}");
            if log_text.matches("reloaded: ").count() >= reloads {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "reload not completed: {log_text}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends a health check and some requests on a new connection, for classes and tenants of this configuration.
    /// Each must get one answer of any kind, and a result must be its own.
    pub fn send_requests(&mut self, config: &Value) {
        let mut socket = TcpStream::connect(&self.listen).expect("it listens");
        socket.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        let name = |entry: &Value| entry["name"].as_str().expect("a name").to_string();
        let list = |key: &str| config["settings"][key].as_array().cloned().unwrap_or_default();
        let (classes, tenants) = (list("profiles"), list("customers"));
        let mut bodies = HashMap::new();
        let first = self.seq;
        let mut frames = health(first);
        for n in 1..=20 {
            let class = &classes[n as usize % classes.len().min(7)];
            let seq = first + n;
            let body = format!("{seq}-{}", "x".repeat((n as usize % 3) * 1_000));
            let deadline = class["deadline"].as_f64().expect("a time") / 1e6;
            let mut fields = vec![
                ("method", name(class)),
                ("rid", format!("{seq:016x}")),
                ("t0", unix_ms().to_string()),
                ("peer", "4".to_string()),
                ("budget", format!("{}", deadline.min(3_000.0) as u64)),
                ("mem", "0.5".to_string()),
                ("prio", "0.6250".to_string()),
                ("token", format!("token {seq}")),
            ];
            let acct =
                (!tenants.is_empty()).then(|| ("acct", name(&tenants[n as usize % tenants.len().min(5)])));
            fields.extend(acct);
            frames.extend(call(seq, &fields, body.as_bytes()));
            bodies.insert(seq, body);
        }
        self.seq += 21;
        socket.write_all(&frames).expect("it reads");
        let mut owed: Vec<i32> = bodies.keys().copied().chain([first]).collect();
        while !owed.is_empty() {
            let mut prefix = [0; 4];
            let read = socket.read_exact(&mut prefix);
            assert!(read.is_ok(), "no answers to {owed:?}: {read:?}, {}", self.log_text());
            let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
            socket.read_exact(&mut frame).expect("a whole frame");
            if frame[3] == 4 {
                continue; // A drain request.
            }
            let name = u32::from_be_bytes(frame[4..8].try_into().expect("four bytes")) as usize;
            let seq = i32::from_be_bytes(frame[8 + name..12 + name].try_into().expect("four bytes"));
            let position = owed.iter().position(|owed| *owed == seq);
            owed.swap_remove(position.expect("one answer per request"));
            // A successful reply: field 0 is a struct whose first field is the result.
            if let (Some(body), [12, 0, 0, 11, 0, 1, len @ ..]) = (bodies.get(&seq), &frame[12 + name..]) {
                let (len, rest) = len.split_at(4);
                let len = u32::from_be_bytes(len.try_into().expect("four bytes")) as usize;
                assert_eq!(&rest[..len], body.as_bytes(), "the result of another request");
            }
        }
    }

    /// Sends SIGTERM; the program must exit in time, with status 0 and no panic in its log.
    pub fn terminate(mut self) {
        self.signal("TERM");
        let start = Instant::now();
        let status = loop {
            if let Some(status) = self.program.try_wait().expect("a program") {
                break status;
            }
            assert!(start.elapsed() < TIMEOUT, "the server doesn't exit: {}", self.log_text());
            thread::sleep(Duration::from_millis(5));
        };
        let log_text = self.log_text();
        assert!(status.success() && !log_text.contains("panicked"), "{status}: {log_text}");
        assert!(!log_text.contains("turned down"), "{log_text}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(&self.log);
    }
}

/// A program that exits at once, as a placeholder until the server is started.
fn placeholder() -> Child {
    Command::new("/bin/true").spawn().expect("a program")
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
}

fn string(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat()
}

fn message(name: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let head = [&[0x80, 1, 0, 1][..], &string(name.as_bytes()), &seq.to_be_bytes()].concat();
    string(&[&head[..], arguments, &[0]].concat())
}

fn call(seq: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let pairs = fields.iter().flat_map(|(k, v)| [string(k.as_bytes()), string(v.as_bytes())].concat());
    let map =
        [&[13, 0, 1, 11, 11][..], &(fields.len() as u32).to_be_bytes(), &pairs.collect::<Vec<_>>()].concat();
    message("call", seq, &[&map[..], &[11, 0, 2], &string(body)].concat())
}

fn health(seq: i32) -> Vec<u8> {
    message("health", seq, &[2, 0, 1, 0])
}
