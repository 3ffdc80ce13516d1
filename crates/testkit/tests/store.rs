//! The real daemon with a store, killed and restarted on loopback sockets. Timeouts are generous upper bounds, so that no
//! result depends on the speed of the machine.

use gradepin_testkit::fleet::{self, Fleet, FleetSpec};
use gradepin_testkit::load::classes;
use gradepin_testkit::processor::Spec;
use gradepin_testkit::registry::server::{Server, ServerSettings};
use gradepin_testkit::saver::{Saver, Tried};
use gradepin_testkit::thrift::{self, Answer, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a client repeats a save; the idempotency window is 8 s.
const RETRY_TIME: Duration = Duration::from_secs(6);

struct StoreServer {
    fleet: Fleet,
    folder: PathBuf,
}

fn spec(name: &str, work_ms: u64) -> FleetSpec {
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(work_ms))).collect();
    FleetSpec {
        daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
        processor: Spec { classes: work, ..Spec::default() },
        // Long deadlines, so that a slow machine doesn't end requests.
        scale: 10,
        store: true,
        folder: fleet::folder(name).expect("a folder"),
        ..FleetSpec::default()
    }
}

impl StoreServer {
    fn up(spec: &FleetSpec) -> Self {
        Self { fleet: Fleet::start(spec).expect("a fleet"), folder: spec.folder.clone() }
    }

    fn saver(&self, number: u64) -> Saver {
        Saver::new(self.fleet.nodes[0].address, number)
    }

    fn store(&self) -> PathBuf {
        self.folder.join("n0.store")
    }

    /// Waits until all outcomes answered so far are durable. An answer waits only for the intent of its run, and the outcome is
    /// written later; after a kill in between, the outcome is correctly unknown. A later save is written after them.
    fn wait_durable(&self, number: u64) {
        let name = format!("settled{number}");
        served(self.saver(number).insist(&name, &name, RETRY_TIME, |_| {}), &name);
    }

    fn runs_of(&mut self, body: &str) -> usize {
        self.fleet.collect();
        self.fleet.nodes[0].begun.iter().filter(|begun| begun.body == body.as_bytes()).count()
    }

    /// Waits until the server's log contains `text`.
    fn wait_for_log(&self, text: &str) {
        let start = Instant::now();
        while !self.fleet.nodes[0].log().contains(text) {
            assert!(start.elapsed() < TIMEOUT, "never '{text}' in {}", self.fleet.nodes[0].log());
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Store state in the answer to a health check, once health is good: a repeat may be answered from the store before the
    /// processor greets.
    fn health(&self) -> Option<String> {
        let start = Instant::now();
        loop {
            if let Answer::Served(_, fields) = self.health_check() {
                return fields.get("store").cloned();
            }
            assert!(start.elapsed() < TIMEOUT, "health stays bad");
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn health_check(&self) -> Answer {
        let mut stream = TcpStream::connect(self.fleet.nodes[0].address).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        stream.write_all(&thrift::health(1)).expect("it takes bytes");
        let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
        loop {
            if let Some(len) = thrift::frame(&bytes).expect("a frame") {
                let message = thrift::decode(&bytes[4..len]).expect("a message");
                let Message::Answer(1, answer) = message else { panic!("{message:?}") };
                return answer;
            }
            let len = stream.read(&mut chunk).expect("an answer");
            assert!(len > 0, "closed without an answer");
            bytes.extend_from_slice(&chunk[..len]);
        }
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.fleet.nodes.iter_mut().for_each(fleet::Node::kill);
        fleet::remove(&self.folder);
    }
}

fn served(tried: Option<Tried>, body: &str) {
    assert_eq!(tried, Some(Tried::Served(format!("result of {body}").into_bytes())));
}

fn assert_outcome_unknown(tried: &Tried) {
    assert!(matches!(tried, Tried::Failed(Some(why)) if why.contains("outcome unknown")), "{tried:?}");
}

/// Guards against a second run after a kill, whether the save had ended or was still running, and against a repeat in the
/// first milliseconds that finds an empty table.
#[test]
fn save_runs_once_although_its_server_is_killed() {
    let mut server = StoreServer::up(&spec("store-kill", 150));
    let mut saver = server.saver(1);
    served(saver.insist("t1", "one", RETRY_TIME, |_| {}), "one");
    server.wait_durable(2);
    for n in 0..6 {
        let body = format!("running{n}");
        let address = server.fleet.nodes[0].address;
        let (token, text) = (body.clone(), body.clone());
        let first = thread::spawn(move || Saver::new(address, 50 + n).save(&token, &text, false));
        // Killed at different times of the save, mostly while it runs.
        thread::sleep(Duration::from_millis(20 * n));
        server.fleet.nodes[0].kill();
        server.fleet.nodes[0].spawn().expect("it starts");
        // Repeated from the start, before the server listens.
        let end = server.saver(100 + n).insist(&body, &body, RETRY_TIME, |_| {});
        match end {
            Some(Tried::Failed(Some(why))) => assert!(why.contains("outcome unknown"), "{why}"),
            end => served(end, &body),
        }
        drop(first.join());
        assert!(server.runs_of(&body) <= 1, "{body} ran twice");
    }
    served(server.saver(9).insist("t1", "one", RETRY_TIME, |_| {}), "one");
    assert_eq!(server.runs_of("one"), 1);
    assert_eq!(server.health().as_deref(), Some("good"));
}

/// Guards against fingerprints that differ, or are equal, across restarts: a reused key would get the result of another body.
#[test]
fn key_with_another_body_is_a_conflict_across_restarts() {
    let mut server = StoreServer::up(&spec("store-conflict", 5));
    served(server.saver(1).insist("t1", "mine", RETRY_TIME, |_| {}), "mine");
    server.wait_durable(9);
    server.fleet.nodes[0].kill();
    server.fleet.nodes[0].spawn().expect("it starts");
    let mut saver = server.saver(2);
    assert_eq!(saver.insist("t1", "theirs", RETRY_TIME, |_| {}), Some(Tried::Failed(None)));
    served(saver.insist("t1", "mine", RETRY_TIME, |_| {}), "mine");
    assert_eq!((server.runs_of("mine"), server.runs_of("theirs")), (1, 0));
}

/// Guards against two servers that write to one folder. The second serves everything but saves, which the first may have run,
/// and takes the folder over once the first is gone.
#[test]
fn second_server_on_a_folder_fails_saves_until_the_first_is_gone() {
    let mut first = StoreServer::up(&spec("store-lock", 5));
    let second_spec = spec("store-lock2", 5);
    std::os::unix::fs::symlink(first.store(), second_spec.folder.join("n0.store")).expect("a link");
    let second = StoreServer::up(&second_spec);
    second.wait_for_log("another server uses this folder");
    let mut saver = second.saver(1);
    assert!(matches!(saver.read(), Tried::Served(_)));
    assert_outcome_unknown(&saver.save("t1", "one", false));
    assert_ne!(second.health().as_deref(), Some("good"));
    first.fleet.nodes[0].kill();
    second.wait_for_log("the store is open");
    served(saver.insist("t1", "one", RETRY_TIME, |_| {}), "one");
}

/// Guards against a server that doesn't start, or serves nothing, because its folder is unavailable, and against a registry
/// that isn't notified.
#[test]
fn server_without_its_folder_fails_only_saves_and_reports_it() {
    let registry = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), ServerSettings::default());
    let registry = registry.expect("a registry");
    let spec = FleetSpec {
        registries: vec![registry.url()],
        registry_more: "heartbeat-ms 300\nlease-ms 1000\nsteady-ms 0\ntell-every-ms 100".into(),
        ..spec("store-none", 5)
    };
    // A regular file takes the place of the folder.
    std::fs::write(spec.folder.join("n0.store"), "").expect("a file");
    let server = StoreServer::up(&spec);
    let mut saver = server.saver(1);
    assert!(matches!(saver.read(), Tried::Served(_)));
    // An earlier process may have run the save.
    assert_outcome_unknown(&saver.save("t1", "one", false));
    server.wait_for_log("the store can't be opened");
    let wait_for_registry = |word: &str| {
        let start = Instant::now();
        let registered =
            || registry.instance("TILE-SERVER", "n0").and_then(|i| i.metadata.get("store").cloned());
        while registered().as_deref() != Some(word) {
            assert!(start.elapsed() < TIMEOUT, "the registry says {:?}, not {word}", registered());
            thread::sleep(Duration::from_millis(10));
        }
    };
    wait_for_registry("opening");
    std::fs::remove_file(server.store()).expect("removed");
    server.wait_for_log("the store is open");
    served(saver.insist("t1", "one", RETRY_TIME, |_| {}), "one");
    wait_for_registry("good");
}

/// Guards against a tool that modifies a folder while inspecting it, misses damage, or loses records when compacting.
#[test]
fn store_tool_checks_dumps_and_compacts_a_folder() {
    let mut server = StoreServer::up(&spec("store-tool", 5));
    for n in 0..5 {
        let name = format!("s{n}");
        served(server.saver(n).insist(&name, &name, RETRY_TIME, |_| {}), &name);
    }
    let store = server.store();
    let tool = |what: &str| {
        let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
        let out = Command::new(daemon).arg("store").arg(what).arg(&store).output().expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    // While the server runs: an outcome is written after its answer, which waits only for the intent.
    let start = Instant::now();
    loop {
        let (success, text) = tool("check");
        if success && text.contains("5 runs may still be asked for: 5 with a result") {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "{text}");
        thread::sleep(Duration::from_millis(10));
    }
    server.fleet.nodes[0].kill();
    let (success, text) = tool("dump");
    assert!(
        success && text.matches("intent ").count() == 5 && text.matches("served ").count() == 5,
        "{text}"
    );
    let (success, text) = tool("compact");
    assert!(success && text.contains("5 runs written anew"), "{text}");
    let (success, text) = tool("check");
    assert!(success && text.contains("5 with a result"), "{text}");
    // The server reads the compacted folder.
    server.fleet.nodes[0].spawn().expect("it starts");
    served(server.saver(9).insist("s3", "s3", RETRY_TIME, |_| {}), "s3");
    assert_eq!(server.runs_of("s3"), 1);
    let (success, text) = tool("compact");
    assert!(!success && text.is_empty(), "a folder in use is left alone: {text}");
    server.fleet.nodes[0].kill();
    // A flipped bit is detected, and the server neither runs nor refuses keys whose runs may be lost.
    let file = std::fs::read_dir(&store)
        .expect("a folder")
        .flatten()
        .find(|file| file.path().extension().is_some_and(|end| end == "log"));
    let file = file.expect("a segment").path();
    let mut bytes = std::fs::read(&file).expect("it is there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&file, bytes).expect("written");
    let (success, text) = tool("check");
    assert!(!success && text.contains("DAMAGED"), "{text}");
    server.fleet.nodes[0].spawn().expect("it starts");
    server.wait_for_log("any token may have run");
    let tried = server.saver(10).save("new", "new", false);
    if tried != Tried::NoConnection {
        assert_outcome_unknown(&tried);
    }
}
