//! One server process between a stand-in for its processor and one for its clients, on loopback sockets.

use crate::generated_settings::text;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper bound of a wait for what must come.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long a start may take.
const START: Duration = Duration::from_secs(10);

/// A server process, and its files.
pub struct Process {
    program: Child,
    file: PathBuf,
    log: PathBuf,
    listen: String,
    parties: [String; 2],
    seq: i32,
}

/// Serves a link as a processor does: each run ends with its own body as the result.
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
            _ => panic!("no command: {line:?}"),
        }
        line.clear();
    }
    Ok(())
}

impl Process {
    /// Starts the program with a drawn configuration, its addresses apart; it serves within its time.
    pub fn start(name: &str, config: &Value, exponents: bool) -> Self {
        let links = TcpListener::bind("127.0.0.1:0").expect("a port");
        let processor = links.local_addr().expect("bound").to_string();
        thread::spawn(move || {
            for socket in links.incoming().flatten() {
                thread::spawn(move || drop(serve_link(socket)));
            }
        });
        let control = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let parties = [processor, control.local_addr().expect("bound").to_string()];
        // An address of its own for each program: a port that was only free a moment ago may be taken.
        let pid = std::process::id();
        let listen = format!("127.{}.{}.77:18443", 64 + (pid >> 8) % 64, pid % 256);
        let files = std::env::temp_dir();
        let file = files.join(format!("gradepin-{pid}-{name}.json"));
        let log = files.join(format!("gradepin-{pid}-{name}.log"));
        let mut process = Self { program: idle(), file, log, listen, parties, seq: 0 };
        process.write(config, exponents);
        process.checks();
        let mut program = Command::new(env!("CARGO_BIN_EXE_gradepin"));
        let log = std::fs::File::create(&process.log).expect("a log");
        let program = program.arg("serve").env("GW_CONFIG", &process.file).stderr(Stdio::from(log));
        process.program = program.spawn().expect("the program starts");
        let start = Instant::now();
        while TcpStream::connect(&process.listen).is_err() {
            assert!(start.elapsed() < START, "it doesn't serve: {}", process.told());
            thread::sleep(Duration::from_millis(5));
        }
        process
    }

    fn write(&self, config: &Value, exponents: bool) {
        let mut config = config.clone();
        config["listen"] = json!(self.listen);
        config["processor"] = json!(self.parties[0]);
        config["control"] = json!(self.parties[1]);
        config["stop_ms"] = json!(1_000);
        // Whole or not at all: the server may read it at any instant.
        let draft = self.file.with_extension("draft");
        std::fs::write(&draft, text(&config, exponents)).expect("a file for the configuration");
        std::fs::rename(draft, &self.file).expect("a file for the configuration");
    }

    /// `gradepin check` takes the file too.
    fn checks(&self) {
        let check =
            Command::new(env!("CARGO_BIN_EXE_gradepin")).args(["check", "--config"]).arg(&self.file).output();
        let check = check.expect("the program starts");
        assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stderr));
    }

    fn told(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.program.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(kill).status().expect("a shell").success());
    }

    /// The file is another one from now on; the server is told, and goes on meanwhile.
    pub fn reload(&self, config: &Value, exponents: bool) {
        self.write(config, exponents);
        self.signal("HUP");
    }

    /// Waits until so many files are in force.
    pub fn reloaded(&self, files: usize) {
        let start = Instant::now();
        loop {
            let told = self.told();
            assert!(!told.contains("turned down"), "{told}");
            if told.matches("reloaded: ").count() >= files {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "no reload: {told}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// A health check and some requests on a connection of their own: of classes and tenants of this configuration. Each
    /// gets one answer, whatever it says; a result is its own.
    pub fn requests(&mut self, config: &Value) {
        let mut socket = TcpStream::connect(&self.listen).expect("it listens");
        socket.set_read_timeout(Some(PATIENCE)).expect("a socket");
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
            assert!(read.is_ok(), "no answers to {owed:?}: {read:?}, {}", self.told());
            let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
            socket.read_exact(&mut frame).expect("a whole frame");
            if frame[3] == 4 {
                continue; // It asks to drain.
            }
            let name = u32::from_be_bytes(frame[4..8].try_into().expect("four bytes")) as usize;
            let seq = i32::from_be_bytes(frame[8 + name..12 + name].try_into().expect("four bytes"));
            let place = owed.iter().position(|owed| *owed == seq);
            owed.swap_remove(place.expect("one answer to what was sent"));
            // A reply that serves: a struct as field 0, whose first field is the result.
            if let (Some(body), [12, 0, 0, 11, 0, 1, len @ ..]) = (bodies.get(&seq), &frame[12 + name..]) {
                let (len, rest) = len.split_at(4);
                let len = u32::from_be_bytes(len.try_into().expect("four bytes")) as usize;
                assert_eq!(&rest[..len], body.as_bytes(), "another's result");
            }
        }
    }

    /// Tells it to leave; it ends in time, with status 0 and nothing said of a panic.
    pub fn leave(mut self) {
        self.signal("TERM");
        let start = Instant::now();
        let status = loop {
            if let Some(status) = self.program.try_wait().expect("a program") {
                break status;
            }
            assert!(start.elapsed() < PATIENCE, "it doesn't end: {}", self.told());
            thread::sleep(Duration::from_millis(5));
        };
        let told = self.told();
        assert!(status.success() && !told.contains("panicked"), "{status}: {told}");
        assert!(!told.contains("turned down"), "{told}");
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

/// A program that has ended already, until the real one is started.
fn idle() -> Child {
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
