//! The real daemon with a store, killed and started again on loopback sockets. Waits are upper bounds; nothing passes or
//! fails by how long anything takes.

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

const PATIENCE: Duration = Duration::from_secs(20);
/// How long a station insists; the kit's window is 8 s.
const INSISTS: Duration = Duration::from_secs(6);

struct Stage {
    fleet: Fleet,
    folder: PathBuf,
}

fn spec(name: &str, work_ms: u64) -> FleetSpec {
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(work_ms))).collect();
    FleetSpec {
        daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
        processor: Spec { classes: work, ..Spec::default() },
        // What a slow machine takes must not be what ends requests.
        scale: 10,
        store: true,
        folder: fleet::folder(name).expect("a folder"),
        ..FleetSpec::default()
    }
}

impl Stage {
    fn up(spec: &FleetSpec) -> Self {
        Self { fleet: Fleet::start(spec).expect("a fleet"), folder: spec.folder.clone() }
    }

    fn saver(&self, number: u64) -> Saver {
        Saver::new(self.fleet.nodes[0].address, number)
    }

    fn store(&self) -> PathBuf {
        self.folder.join("n0.store")
    }

    /// Waits until all ends told so far are durable. An answer waits for its run's intent alone, and its end follows: a
    /// server killed between the two knows the run as unknown, as it should. A later save is begun behind them.
    fn settled(&self, number: u64) {
        let name = format!("settled{number}");
        served(self.saver(number).insist(&name, &name, INSISTS, |_| {}), &name);
    }

    fn runs_of(&mut self, body: &str) -> usize {
        self.fleet.collect();
        self.fleet.nodes[0].begun.iter().filter(|begun| begun.body == body.as_bytes()).count()
    }

    /// Waits until the log says something.
    fn logs(&self, text: &str) {
        let start = Instant::now();
        while !self.fleet.nodes[0].log().contains(text) {
            assert!(start.elapsed() < PATIENCE, "never '{text}' in {}", self.fleet.nodes[0].log());
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// What a health check's answer says of the store.
    fn health(&self) -> Option<String> {
        let mut stream = TcpStream::connect(self.fleet.nodes[0].address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.write_all(&thrift::health(1)).expect("it takes bytes");
        let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
        loop {
            if let Some(len) = thrift::frame(&bytes).expect("a frame") {
                let message = thrift::decode(&bytes[4..len]).expect("a message");
                let Message::Answer(1, Answer::Served(_, fields)) = message else { panic!("{message:?}") };
                return fields.get("store").cloned();
            }
            let len = stream.read(&mut chunk).expect("an answer");
            assert!(len > 0, "closed without an answer");
            bytes.extend_from_slice(&chunk[..len]);
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.fleet.nodes.iter_mut().for_each(fleet::Node::kill);
        fleet::remove(&self.folder);
    }
}

fn served(tried: Option<Tried>, body: &str) {
    assert_eq!(tried, Some(Tried::Served(format!("result of {body}").into_bytes())));
}

/// Hard cases 2 and 3: guards against a second run after a kill, whether the save had ended or still ran, and against a
/// repeat in the first milliseconds that finds an empty table.
#[test]
fn a_save_runs_once_though_its_server_is_killed() {
    let mut stage = Stage::up(&spec("store-kill", 150));
    let mut saver = stage.saver(1);
    served(saver.insist("t1", "one", INSISTS, |_| {}), "one");
    stage.settled(2);
    for n in 0..6 {
        let body = format!("running{n}");
        let address = stage.fleet.nodes[0].address;
        let (token, text) = (body.clone(), body.clone());
        let first = thread::spawn(move || Saver::new(address, 50 + n).save(&token, &text, false));
        // Killed at any moment of the save's life, most while it runs.
        thread::sleep(Duration::from_millis(20 * n));
        stage.fleet.nodes[0].kill();
        stage.fleet.nodes[0].spawn().expect("it starts");
        // At once, over and over, until it listens.
        let end = stage.saver(100 + n).insist(&body, &body, INSISTS, |_| {});
        match end {
            Some(Tried::Failed(Some(why))) => assert!(why.contains("outcome unknown"), "{why}"),
            end => served(end, &body),
        }
        drop(first.join());
        assert!(stage.runs_of(&body) <= 1, "{body} ran twice");
    }
    served(stage.saver(9).insist("t1", "one", INSISTS, |_| {}), "one");
    assert_eq!(stage.runs_of("one"), 1);
    assert_eq!(stage.health().as_deref(), Some("good"));
}

/// Guards against a token that is served another's result because the prints of two lives differ, or are the same.
#[test]
fn a_token_with_another_body_is_a_conflict_across_lives_too() {
    let mut stage = Stage::up(&spec("store-conflict", 5));
    served(stage.saver(1).insist("t1", "mine", INSISTS, |_| {}), "mine");
    stage.settled(9);
    stage.fleet.nodes[0].kill();
    stage.fleet.nodes[0].spawn().expect("it starts");
    let mut saver = stage.saver(2);
    assert_eq!(saver.insist("t1", "theirs", INSISTS, |_| {}), Some(Tried::Failed(None)));
    served(saver.insist("t1", "mine", INSISTS, |_| {}), "mine");
    assert_eq!((stage.runs_of("mine"), stage.runs_of("theirs")), (1, 0));
}

/// Guards against two servers that write one folder. The second serves all but saves, and takes the folder over once the
/// first is gone.
#[test]
fn a_second_server_on_one_folder_serves_all_but_saves_until_the_first_is_gone() {
    let mut first = Stage::up(&spec("store-lock", 5));
    let second_spec = spec("store-lock2", 5);
    std::os::unix::fs::symlink(first.store(), second_spec.folder.join("n0.store")).expect("a link");
    let second = Stage::up(&second_spec);
    second.logs("another server uses this folder");
    let mut saver = second.saver(1);
    assert!(matches!(saver.read(), Tried::Served(_)));
    assert!(matches!(saver.save("t1", "one", false), Tried::Refused(1..)));
    assert_ne!(second.health().as_deref(), Some("good"));
    first.fleet.nodes[0].kill();
    served(saver.insist("t1", "one", INSISTS, |_| {}), "one");
}

/// Guards against a server that doesn't start, or serves nothing, because its folder can't be had; and against a registry
/// that isn't told.
#[test]
fn without_its_folder_a_server_serves_all_but_saves_and_says_so() {
    let registry = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), ServerSettings::default());
    let registry = registry.expect("a registry");
    let spec = FleetSpec {
        registries: vec![registry.url()],
        registry_more: "heartbeat-ms 300\nlease-ms 1000\nsteady-ms 0\ntell-every-ms 100".into(),
        ..spec("store-none", 5)
    };
    // A file stands where the folder should be.
    std::fs::write(spec.folder.join("n0.store"), "").expect("a file");
    let stage = Stage::up(&spec);
    let mut saver = stage.saver(1);
    assert!(matches!(saver.read(), Tried::Served(_)));
    assert!(matches!(saver.save("t1", "one", false), Tried::Refused(1..)));
    stage.logs("the store can't be opened");
    let says = |word: &str| {
        let start = Instant::now();
        let told = || registry.instance("TILE-SERVER", "n0").and_then(|i| i.metadata.get("store").cloned());
        while told().as_deref() != Some(word) {
            assert!(start.elapsed() < PATIENCE, "the registry says {:?}, not {word}", told());
            thread::sleep(Duration::from_millis(10));
        }
    };
    says("opening");
    std::fs::remove_file(stage.store()).expect("removed");
    served(saver.insist("t1", "one", INSISTS, |_| {}), "one");
    says("good");
}

/// Guards against a tool that changes what it looks at, misses damage, or loses records when it makes room.
#[test]
fn the_tool_checks_dumps_and_compacts_a_folder() {
    let mut stage = Stage::up(&spec("store-tool", 5));
    for n in 0..5 {
        let name = format!("s{n}");
        served(stage.saver(n).insist(&name, &name, INSISTS, |_| {}), &name);
    }
    let store = stage.store();
    let tool = |what: &str| {
        let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
        let out = Command::new(daemon).arg("store").arg(what).arg(&store).output().expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    // Beside the running server: an end is written after its answer, which waits for the intent alone.
    let start = Instant::now();
    loop {
        let (whole, text) = tool("check");
        if whole && text.contains("5 runs may still be asked for: 5 with a result") {
            break;
        }
        assert!(start.elapsed() < PATIENCE, "{text}");
        thread::sleep(Duration::from_millis(10));
    }
    stage.fleet.nodes[0].kill();
    let (whole, text) = tool("dump");
    assert!(whole && text.matches("intent ").count() == 5 && text.matches("served ").count() == 5, "{text}");
    let (whole, text) = tool("compact");
    assert!(whole && text.contains("5 runs written anew"), "{text}");
    let (whole, text) = tool("check");
    assert!(whole && text.contains("5 with a result"), "{text}");
    // The server reads what the tool wrote.
    stage.fleet.nodes[0].spawn().expect("it starts");
    served(stage.saver(9).insist("s3", "s3", INSISTS, |_| {}), "s3");
    assert_eq!(stage.runs_of("s3"), 1);
    let (whole, text) = tool("compact");
    assert!(!whole && text.is_empty(), "a folder in use is left alone: {text}");
    stage.fleet.nodes[0].kill();
    // A flipped bit is found, and the server doubts.
    let file = std::fs::read_dir(&store)
        .expect("a folder")
        .flatten()
        .find(|file| file.path().extension().is_some_and(|end| end == "log"));
    let file = file.expect("a segment").path();
    let mut bytes = std::fs::read(&file).expect("it is there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&file, bytes).expect("written");
    let (whole, text) = tool("check");
    assert!(!whole && text.contains("DAMAGED"), "{text}");
    stage.fleet.nodes[0].spawn().expect("it starts");
    stage.logs("any token may have run");
    let tried = stage.saver(10).save("new", "new", false);
    assert!(matches!(tried, Tried::Refused(_) | Tried::NoConnection), "{tried:?}");
}
