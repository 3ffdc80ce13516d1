//! The SCGI front of the real daemon, beside Thrift, on loopback sockets. Waits are upper bounds; nothing passes or fails by
//! how long anything takes.

use gradepin_node::frontend::scgi::codec::{ScgiResponse, encode};
use gradepin_testkit::fleet::{self, Fleet, FleetSpec, scgi_of};
use gradepin_testkit::load::classes;
use gradepin_testkit::processor::Spec;
use gradepin_testkit::registry::server::unix_ms;
use gradepin_testkit::thrift::{self, Answer, Message};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

struct Stage {
    fleet: Fleet,
    folder: PathBuf,
}

impl Stage {
    fn up(name: &str, work_ms: u64) -> Self {
        let folder = fleet::folder(name).expect("a folder");
        let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(work_ms))).collect();
        let spec = FleetSpec {
            daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
            servers: 1,
            processor: Spec { classes: work, ..Spec::default() },
            // What a slow machine takes must not be what ends requests.
            scale: 10,
            scgi: true,
            folder: folder.clone(),
            ..FleetSpec::default()
        };
        Self { fleet: Fleet::start(&spec).expect("a fleet"), folder }
    }

    fn server(&self) -> SocketAddr {
        self.fleet.nodes[0].address
    }

    fn tcp(&self) -> TcpStream {
        let stream = TcpStream::connect(scgi_of(self.server())).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream
    }

    fn unix(&self) -> UnixStream {
        let stream = UnixStream::connect(self.folder.join("n0.sock")).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream
    }

    /// Sends bytes and reads what comes until the end.
    fn raw(&self, bytes: &[u8]) -> Option<ScgiResponse> {
        let mut stream = self.tcp();
        stream.write_all(bytes).expect("it takes bytes");
        end(stream)
    }

    fn save(&self, token: &str, body: &str) -> Vec<u8> {
        let token = format!("\"{token}\"");
        let headers =
            [("REQUEST_METHOD", "PUT"), ("DOCUMENT_URI", "/label-save/7"), ("HTTP_IDEMPOTENCY_KEY", &token)];
        encode(&headers, body.as_bytes())
    }

    fn view(&self) -> Vec<u8> {
        encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", "/sheet-view/7")], b"sheet")
    }

    /// A label-save over Thrift, on a connection of its own.
    fn thrift_save(&self, rid: u64, token: &str, body: &str) -> Answer {
        let mut stream = TcpStream::connect(self.server()).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let (rid, t0) = (format!("{rid:016x}"), unix_ms().to_string());
        let fields = [
            ("method", "label-save"),
            ("rid", &rid),
            ("t0", &t0),
            ("peer", "1"),
            ("budget", "9000"),
            ("mem", "8.0"),
            ("token", token),
        ];
        stream.write_all(&thrift::call(1, &fields, body.as_bytes())).expect("it takes a call");
        let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
        loop {
            while let Some(len) = thrift::frame(&bytes).expect("a frame") {
                let message = thrift::decode(&bytes[4..len]).expect("a message");
                bytes.drain(..len);
                if let Message::Answer(1, answer) = message {
                    return answer;
                }
            }
            let len = stream.read(&mut chunk).expect("an answer");
            assert!(len > 0, "closed without an answer");
            bytes.extend_from_slice(&chunk[..len]);
        }
    }

    fn runs_of(&mut self, body: &str) -> usize {
        self.fleet.collect();
        self.fleet.nodes[0].begun.iter().filter(|begun| begun.body == body.as_bytes()).count()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the server's log:\n{}", self.fleet.nodes[0].log());
        }
        self.fleet.nodes[0].kill();
        fleet::remove(&self.folder);
    }
}

fn end(mut stream: impl Read) -> Option<ScgiResponse> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    ScgiResponse::read(&bytes)
}

/// Hard case 1: guards against a second run where one try comes over Thrift and one over SCGI.
#[test]
fn a_label_save_runs_once_whichever_way_its_tries_come() {
    let mut stage = Stage::up("once", 60);
    let expected = |body: &str| format!("result of {body}").into_bytes();
    let served =
        |answer: Answer| if let Answer::Served(result, _) = answer { result } else { panic!("{answer:?}") };
    // Thrift first, and after it ended.
    assert_eq!(served(stage.thrift_save(1, "t1", "one")), expected("one"));
    let again = stage.raw(&stage.save("t1", "one")).expect("an answer");
    assert_eq!((again.status, again.body), (200, expected("one")));
    // SCGI first, and after it ended.
    let first = stage.raw(&stage.save("t2", "two")).expect("an answer");
    assert_eq!((first.status, first.body), (200, expected("two")));
    assert_eq!(served(stage.thrift_save(2, "t2", "two")), expected("two"));
    // Both at once, or the second while the first runs: which of these a machine makes of it doesn't matter.
    for n in 3..9 {
        let (token, body) = (format!("t{n}"), format!("body{n}"));
        let mut scgi = stage.tcp();
        scgi.write_all(&stage.save(&token, &body)).expect("it takes bytes");
        thread::sleep(Duration::from_millis(n % 3 * 10));
        // A held try gives way to its repeat and is refused as never run. Of two that are read together, in the other
        // order than they were stamped in, the one stamped first fails: it may belong to an older run. What is served is
        // the one run's result.
        let over_thrift = match stage.thrift_save(n, &token, &body) {
            Answer::Refused { .. } | Answer::Failed(_) => false,
            answer => {
                assert_eq!(served(answer), expected(&body));
                true
            }
        };
        let response = end(scgi).expect("an answer");
        let over_scgi = (response.status, &response.body) == (200, &expected(&body));
        assert!(over_scgi || matches!(response.status, 502 | 503), "{response:?}");
        assert!(over_thrift || over_scgi, "one of the two is served");
        // And then both ways give that result.
        assert_eq!(served(stage.thrift_save(n + 100, &token, &body)), expected(&body));
        assert_eq!(stage.raw(&stage.save(&token, &body)).expect("an answer").body, expected(&body));
        assert_eq!(stage.runs_of(&body), 1);
    }
    // While draining: answered from the run, or refused; never run again.
    stage.fleet.nodes[0].terminate();
    let late = stage.raw(&stage.save("t1", "one"));
    assert!(late.is_none_or(|late| late.status == 200 || late.status == 503));
    assert_eq!((stage.runs_of("one"), stage.runs_of("two")), (1, 1));
}

/// Hard case 2: the same token with another body over the other front, either way round.
#[test]
fn a_token_with_another_body_is_a_conflict_and_the_first_is_unharmed() {
    let mut stage = Stage::up("conflict", 20);
    assert!(matches!(stage.thrift_save(1, "t1", "mine"), Answer::Served(..)));
    assert_eq!(stage.raw(&stage.save("t1", "theirs")).expect("an answer").status, 409);
    assert_eq!(stage.raw(&stage.save("t2", "mine2")).expect("an answer").status, 200);
    assert_eq!(stage.thrift_save(2, "t2", "theirs"), Answer::Failed(None));
    assert_eq!(stage.raw(&stage.save("t1", "mine")).expect("an answer").status, 200);
    assert_eq!((stage.runs_of("mine"), stage.runs_of("mine2"), stage.runs_of("theirs")), (1, 1, 0));
}

/// Hard case 3: each is told what is wrong, or ended in its time, and usual clients of both fronts lose nothing.
#[test]
fn what_is_malformed_or_silent_harms_only_itself() {
    let stage = Stage::up("malformed", 5);
    let silent: Vec<TcpStream> = (0..300).map(|_| stage.tcp()).collect();
    let mut half = stage.tcp();
    let whole = stage.view();
    half.write_all(&whole[..whole.len() / 2]).expect("it takes bytes");
    let get = |path: &str| encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", path)], b"");
    let blocks = |text: &str| {
        [format!("{}:", text.len()).as_bytes(), text.replace('|', "\0").as_bytes(), b","].concat()
    };
    for (bytes, status) in [
        (b"-1:".to_vec(), 400),
        (b"012:".to_vec(), 400),
        (b"99999999999999999999".to_vec(), 431),
        (blocks("SCGI|1|CONTENT_LENGTH|0|"), 411),
        (blocks("CONTENT_LENGTH|0|CONTENT_LENGTH|0|SCGI|1|"), 400),
        (blocks("CONTENT_LENGTH|9999|SCGI|1|"), 413),
        (
            blocks(
                "CONTENT_LENGTH|0|SCGI|1|REQUEST_METHOD|GET|DOCUMENT_URI|/sheet-view/1|HTTP_X_TENANT|a\r\nb|",
            ),
            400,
        ),
        (get("/nothing"), 404),
        (encode(&[("REQUEST_METHOD", "DELETE"), ("DOCUMENT_URI", "/sheet-view/1")], b""), 405),
        (encode(&[("REQUEST_METHOD", "PUT"), ("DOCUMENT_URI", "/label-save/1")], b""), 400),
        (get("/health"), 200),
        (whole, 200),
    ] {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        assert_eq!(stage.raw(&bytes).map(|response| response.status), Some(status), "{text}");
    }
    assert!(matches!(stage.thrift_save(1, "t", "b"), Answer::Served(..)));
    // All of them end by themselves.
    let start = Instant::now();
    for mut stream in silent.into_iter().chain([half]) {
        let mut byte = [0];
        let ended = matches!(stream.read(&mut byte), Ok(0)) || start.elapsed() < PATIENCE;
        assert!(ended, "a connection that says nothing stays open");
    }
}

/// Hard case 4: guards against an answer that is lost because its caller has shut its half, and against a server that a
/// caller's close or reset disturbs.
#[test]
fn half_a_close_still_waits_and_a_whole_one_has_given_up() {
    let mut stage = Stage::up("close", 30);
    let mut tcp = stage.tcp();
    tcp.write_all(&stage.view()).expect("it takes bytes");
    tcp.shutdown(Shutdown::Write).expect("half a close");
    assert_eq!(end(tcp).expect("an answer").status, 200);
    let mut unix = stage.unix();
    unix.write_all(&stage.view()).expect("it takes bytes");
    unix.shutdown(Shutdown::Write).expect("half a close");
    assert_eq!(end(unix).expect("an answer").status, 200);
    for n in 0..50 {
        let mut gone = stage.unix();
        gone.write_all(&stage.save(&format!("gone{n}"), "gone")).expect("it takes bytes");
        drop(gone);
        let mut gone = stage.tcp();
        gone.write_all(&stage.view()).expect("it takes bytes");
        drop(gone);
    }
    assert_eq!(stage.raw(&stage.view()).expect("an answer").status, 200);
    assert!(!stage.fleet.nodes[0].crashed());
}

/// Hard case 6: routes change with SIGHUP, and a bad file changes nothing.
#[test]
fn a_reload_changes_routes_and_a_bad_file_changes_nothing() {
    let stage = Stage::up("reload", 5);
    let own = stage.fleet.nodes[0].own.clone().expect("a settings file");
    let text = std::fs::read_to_string(&own).expect("it is there");
    let status = |path: &str| {
        let bytes = encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", path)], b"x");
        stage.raw(&bytes).map(|response| response.status)
    };
    let becomes = |path: &str, expected: u16| {
        let start = Instant::now();
        while status(path) != Some(expected) {
            assert!(start.elapsed() < PATIENCE, "{path} is never {expected}");
            thread::sleep(Duration::from_millis(20));
        }
    };
    assert_eq!(status("/views/1"), Some(404));
    std::fs::write(&own, text.replace("/sheet-view/{id}", "/views/{id}")).expect("written");
    stage.fleet.nodes[0].reload();
    becomes("/views/1", 200);
    assert_eq!(status("/sheet-view/1"), Some(404));
    for bad in [
        "route \"/views/{other}\" class=\"sheet-view\"\n}",
        "route \"/x\" class=\"nothing\"\n}",
        "nonsense 1\n}",
    ] {
        let broken = text.trim_end().trim_end_matches('}').to_string() + bad;
        std::fs::write(&own, broken.replace("/sheet-view/{id}", "/views/{id}")).expect("written");
        stage.fleet.nodes[0].reload();
        thread::sleep(Duration::from_millis(50));
        assert_eq!(status("/views/1"), Some(200), "{bad}");
    }
}

/// Hard case 7 in the small: one connection a request takes no connection from a Thrift client that uses its own.
#[test]
fn a_connection_for_each_request_closes_no_thrift_connection() {
    let stage = Stage::up("many", 2);
    let mut thrift_conn = TcpStream::connect(stage.server()).expect("a connection");
    thrift_conn.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let mut chunk = [0; 8192];
    for n in 0..600 {
        assert_eq!(stage.raw(&stage.view()).map(|response| response.status), Some(200), "request {n}");
        if n % 100 == 0 {
            thrift_conn.write_all(&thrift::health(n + 1)).expect("it stands");
            assert!(thrift_conn.read(&mut chunk).expect("an answer") > 0, "closed");
        }
    }
}

/// Hard case 3 during a drain: guards against a server that waits for the rest of a request that never comes, and is
/// killed with answers owed. What it has read whole is answered, and the process has ended before its stop.
#[test]
fn half_a_request_holds_no_drain_up() {
    let mut stage = Stage::up("half", 300);
    let mut halves = Vec::new();
    for n in 0..20 {
        let mut half = stage.tcp();
        let whole = if n % 2 == 0 { stage.view() } else { stage.save(&format!("half{n}"), "half") };
        half.write_all(&whole[..whole.len() - 1 - n]).expect("it takes bytes");
        halves.push(half);
    }
    let owed: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = stage.tcp();
            stream.write_all(&stage.view()).expect("it takes bytes");
            stream
        })
        .collect();
    // Read before the notice: a health check that came later is answered.
    assert_eq!(
        stage
            .raw(&encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", "/health")], b""))
            .map(|health| health.status),
        Some(200)
    );
    stage.fleet.nodes[0].terminate();
    for stream in owed {
        let status = end(stream).expect("what was read is answered").status;
        assert!(status == 200 || status == 503, "{status}");
    }
    // The half requests end with the process at the latest, which nobody kills here: it goes 2 s past its stop.
    let start = Instant::now();
    while !stage.fleet.nodes[0].crashed() {
        assert!(start.elapsed() < PATIENCE, "the server never ends");
        thread::sleep(Duration::from_millis(20));
    }
    // Not as what came of it either.
    for came in ["h", "ha", "hal", "half"] {
        assert_eq!(stage.runs_of(came), 0, "half a save must not run");
    }
}

/// Hard case 7 at a rate: several clients open a connection for each request as fast as they can. Guards against descriptors
/// that run out, and against a Thrift connection in use that is closed for them.
#[test]
fn thousands_of_connections_in_a_row_stay_under_the_descriptors() {
    let stage = Stage::up("rate", 1);
    let mut thrift_conn = TcpStream::connect(stage.server()).expect("a connection");
    thrift_conn.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let (request, address) = (stage.view(), scgi_of(stage.server()));
    let (mut most, mut chunk, mut seq) = (0, [0; 8192], 0);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    let ask = || {
                        let mut stream = TcpStream::connect(address).ok()?;
                        stream.set_read_timeout(Some(PATIENCE)).ok()?;
                        stream.write_all(&request).ok()?;
                        end(stream).map(|response| response.status)
                    };
                    (0..500).filter(|_| matches!(ask(), Some(200 | 503))).count()
                })
            })
            .collect();
        while !clients.iter().all(|client| client.is_finished()) {
            seq += 1;
            thrift_conn.write_all(&thrift::health(seq)).expect("it stands");
            assert!(thrift_conn.read(&mut chunk).expect("an answer") > 0, "closed");
            most = most.max(stage.fleet.nodes[0].descriptors().unwrap_or(0));
        }
        let answered: usize = clients.into_iter().map(|client| client.join().expect("a client")).sum();
        assert_eq!(answered, 4_000);
    });
    assert!((1..=1024).contains(&most), "{most} descriptors");
}
