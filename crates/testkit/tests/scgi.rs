//! The SCGI front end of the real daemon beside Thrift, on loopback sockets. Timeouts are generous upper bounds, so that no
//! result depends on the speed of the machine.

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

const TIMEOUT: Duration = Duration::from_secs(20);

struct ScgiServer {
    fleet: Fleet,
    folder: PathBuf,
}

impl ScgiServer {
    fn up(name: &str, work_ms: u64) -> Self {
        let folder = fleet::folder(name).expect("a folder");
        let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(work_ms))).collect();
        let spec = FleetSpec {
            daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
            servers: 1,
            processor: Spec { classes: work, ..Spec::default() },
            // Long deadlines, so that a slow machine doesn't end requests.
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
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        stream
    }

    fn unix(&self) -> UnixStream {
        let stream = UnixStream::connect(self.folder.join("n0.sock")).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        stream
    }

    /// Sends bytes over a new connection and reads the response until the end.
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

    /// Sends a label-save over a new Thrift connection.
    fn thrift_save(&self, rid: u64, token: &str, body: &str) -> Answer {
        let mut stream = TcpStream::connect(self.server()).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
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

impl Drop for ScgiServer {
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

/// Guards against a second run if one attempt comes over Thrift and another over SCGI.
#[test]
fn save_runs_once_across_both_protocols() {
    let mut fixture = ScgiServer::up("once", 60);
    let expected = |body: &str| format!("result of {body}").into_bytes();
    let served =
        |answer: Answer| if let Answer::Served(result, _) = answer { result } else { panic!("{answer:?}") };
    // First over Thrift, then over SCGI after the run ended.
    assert_eq!(served(fixture.thrift_save(1, "t1", "one")), expected("one"));
    let again = fixture.raw(&fixture.save("t1", "one")).expect("an answer");
    assert_eq!((again.status, again.body), (200, expected("one")));
    // First over SCGI, then over Thrift after the run ended.
    let first = fixture.raw(&fixture.save("t2", "two")).expect("an answer");
    assert_eq!((first.status, first.body), (200, expected("two")));
    assert_eq!(served(fixture.thrift_save(2, "t2", "two")), expected("two"));
    // Both at once, or the second while the first runs, depending on the machine.
    for n in 3..9 {
        let (token, body) = (format!("t{n}"), format!("body{n}"));
        let mut scgi = fixture.tcp();
        scgi.write_all(&fixture.save(&token, &body)).expect("it takes bytes");
        thread::sleep(Duration::from_millis(n % 3 * 10));
        // A waiting attempt gives way to its repeat and is rejected as never run. If two attempts are read together in
        // the opposite order of their timestamps, the older one fails, since it may belong to an older run. A served
        // attempt always has the result of the single run.
        let over_thrift = match fixture.thrift_save(n, &token, &body) {
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
        // Afterwards both protocols return that result.
        assert_eq!(served(fixture.thrift_save(n + 100, &token, &body)), expected(&body));
        assert_eq!(fixture.raw(&fixture.save(&token, &body)).expect("an answer").body, expected(&body));
        assert_eq!(fixture.runs_of(&body), 1);
    }
    // While draining, a repeat gets the stored result or is rejected, but never runs again.
    fixture.fleet.nodes[0].terminate();
    let late = fixture.raw(&fixture.save("t1", "one"));
    assert!(late.is_none_or(|late| late.status == 200 || late.status == 503));
    assert_eq!((fixture.runs_of("one"), fixture.runs_of("two")), (1, 1));
}

/// The same key with another body over the other protocol, in both directions.
#[test]
fn key_with_another_body_is_a_conflict_and_the_first_run_stays() {
    let mut fixture = ScgiServer::up("conflict", 20);
    assert!(matches!(fixture.thrift_save(1, "t1", "mine"), Answer::Served(..)));
    assert_eq!(fixture.raw(&fixture.save("t1", "theirs")).expect("an answer").status, 409);
    assert_eq!(fixture.raw(&fixture.save("t2", "mine2")).expect("an answer").status, 200);
    assert_eq!(fixture.thrift_save(2, "t2", "theirs"), Answer::Failed(None));
    assert_eq!(fixture.raw(&fixture.save("t1", "mine")).expect("an answer").status, 200);
    assert_eq!((fixture.runs_of("mine"), fixture.runs_of("mine2"), fixture.runs_of("theirs")), (1, 1, 0));
}

/// Malformed requests get an error and silent connections are closed, without effect on other clients.
#[test]
fn malformed_and_silent_connections_affect_no_others() {
    let fixture = ScgiServer::up("malformed", 5);
    let silent: Vec<TcpStream> = (0..300).map(|_| fixture.tcp()).collect();
    let mut half = fixture.tcp();
    let complete = fixture.view();
    half.write_all(&complete[..complete.len() / 2]).expect("it takes bytes");
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
        (complete, 200),
    ] {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        assert_eq!(fixture.raw(&bytes).map(|response| response.status), Some(status), "{text}");
    }
    assert!(matches!(fixture.thrift_save(1, "t", "b"), Answer::Served(..)));
    // The server closes all of them.
    let start = Instant::now();
    for mut stream in silent.into_iter().chain([half]) {
        let mut byte = [0];
        let ended = matches!(stream.read(&mut byte), Ok(0)) || start.elapsed() < TIMEOUT;
        assert!(ended, "a connection that says nothing stays open");
    }
}

/// Guards against answers that are lost after a half-close by the client, and against disturbance of the server by clients
/// that close or reset their connections.
#[test]
fn half_closed_connection_is_answered_and_closed_one_is_dropped() {
    let mut fixture = ScgiServer::up("close", 30);
    let mut tcp = fixture.tcp();
    tcp.write_all(&fixture.view()).expect("it takes bytes");
    tcp.shutdown(Shutdown::Write).expect("half a close");
    assert_eq!(end(tcp).expect("an answer").status, 200);
    let mut unix = fixture.unix();
    unix.write_all(&fixture.view()).expect("it takes bytes");
    unix.shutdown(Shutdown::Write).expect("half a close");
    assert_eq!(end(unix).expect("an answer").status, 200);
    for n in 0..50 {
        let mut closing = fixture.unix();
        closing.write_all(&fixture.save(&format!("gone{n}"), "gone")).expect("it takes bytes");
        drop(closing);
        let mut closing = fixture.tcp();
        closing.write_all(&fixture.view()).expect("it takes bytes");
        drop(closing);
    }
    assert_eq!(fixture.raw(&fixture.view()).expect("an answer").status, 200);
    assert!(!fixture.fleet.nodes[0].crashed());
}

/// SIGHUP reloads the routes; an invalid file changes nothing.
#[test]
fn reload_changes_routes_and_an_invalid_file_is_ignored() {
    let fixture = ScgiServer::up("reload", 5);
    let own = fixture.fleet.nodes[0].own.clone().expect("a settings file");
    let text = std::fs::read_to_string(&own).expect("it is there");
    let status = |path: &str| {
        let bytes = encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", path)], b"x");
        fixture.raw(&bytes).map(|response| response.status)
    };
    let becomes = |path: &str, expected: u16| {
        let start = Instant::now();
        while status(path) != Some(expected) {
            assert!(start.elapsed() < TIMEOUT, "{path} is never {expected}");
            thread::sleep(Duration::from_millis(20));
        }
    };
    assert_eq!(status("/views/1"), Some(404));
    std::fs::write(&own, text.replace("/sheet-view/{id}", "/views/{id}")).expect("written");
    fixture.fleet.nodes[0].reload();
    becomes("/views/1", 200);
    assert_eq!(status("/sheet-view/1"), Some(404));
    for bad in [
        "route \"/views/{other}\" class=\"sheet-view\"\n}",
        "route \"/x\" class=\"nothing\"\n}",
        "nonsense 1\n}",
    ] {
        let broken = text.trim_end().trim_end_matches('}').to_string() + bad;
        std::fs::write(&own, broken.replace("/sheet-view/{id}", "/views/{id}")).expect("written");
        fixture.fleet.nodes[0].reload();
        thread::sleep(Duration::from_millis(50));
        assert_eq!(status("/views/1"), Some(200), "{bad}");
    }
}

/// Guards against closing a Thrift connection in use for the many short SCGI connections.
#[test]
fn many_scgi_connections_close_no_thrift_connection() {
    let fixture = ScgiServer::up("many", 2);
    let mut thrift_conn = TcpStream::connect(fixture.server()).expect("a connection");
    thrift_conn.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let mut chunk = [0; 8192];
    for n in 0..600 {
        assert_eq!(fixture.raw(&fixture.view()).map(|response| response.status), Some(200), "request {n}");
        if n % 100 == 0 {
            thrift_conn.write_all(&thrift::health(n + 1)).expect("it stands");
            assert!(thrift_conn.read(&mut chunk).expect("an answer") > 0, "closed");
        }
    }
}

/// Guards against a drain that waits for the rest of incomplete requests until the server is killed with unsent answers.
/// Complete requests are answered, and the process ends before its stop time.
#[test]
fn incomplete_requests_do_not_delay_a_drain() {
    let mut fixture = ScgiServer::up("half", 300);
    let mut halves = Vec::new();
    for n in 0..20 {
        let mut half = fixture.tcp();
        let complete = if n % 2 == 0 { fixture.view() } else { fixture.save(&format!("half{n}"), "half") };
        half.write_all(&complete[..complete.len() - 1 - n]).expect("it takes bytes");
        halves.push(half);
    }
    let complete_requests: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = fixture.tcp();
            stream.write_all(&fixture.view()).expect("it takes bytes");
            stream
        })
        .collect();
    // The answered health check shows that the earlier requests were read before SIGTERM.
    assert_eq!(
        fixture
            .raw(&encode(&[("REQUEST_METHOD", "GET"), ("DOCUMENT_URI", "/health")], b""))
            .map(|health| health.status),
        Some(200)
    );
    fixture.fleet.nodes[0].terminate();
    for stream in complete_requests {
        let status = end(stream).expect("what was read is answered").status;
        assert!(status == 200 || status == 503, "{status}");
    }
    // Incomplete requests end with the process at the latest. It isn't killed here and ends within 2 s after its stop time.
    let start = Instant::now();
    while !fixture.fleet.nodes[0].crashed() {
        assert!(start.elapsed() < TIMEOUT, "the server never ends");
        thread::sleep(Duration::from_millis(20));
    }
    // Incomplete bodies must not run either.
    for body in ["h", "ha", "hal", "half"] {
        assert_eq!(fixture.runs_of(body), 0, "half a save must not run");
    }
}

/// Several clients open a connection per request as fast as they can. Guards against running out of descriptors, and against
/// closing a Thrift connection in use.
#[test]
fn thousands_of_connections_stay_below_the_descriptor_limit() {
    let fixture = ScgiServer::up("rate", 1);
    let mut thrift_conn = TcpStream::connect(fixture.server()).expect("a connection");
    thrift_conn.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let (request, address) = (fixture.view(), scgi_of(fixture.server()));
    let (mut max_descriptors, mut chunk, mut seq) = (0, [0; 8192], 0);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    let ask = || {
                        let mut stream = TcpStream::connect(address).ok()?;
                        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
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
            max_descriptors = max_descriptors.max(fixture.fleet.nodes[0].descriptors().unwrap_or(0));
        }
        let answered: usize = clients.into_iter().map(|client| client.join().expect("a client")).sum();
        assert_eq!(answered, 4_000);
    });
    assert!((1..=1024).contains(&max_descriptors), "{max_descriptors} descriptors");
}
