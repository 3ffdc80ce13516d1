//! Real daemons with classes, tenants and rules from committed revisions, on loopback sockets. Timeouts are generous upper
//! bounds, so that no result depends on the speed of the machine.

use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_testkit::fleet::{self, CouncilSpec, Fleet, FleetSpec, PeersSpec};
use gradepin_testkit::harness::history::History;
use gradepin_testkit::harness::ledger::Ledger;
use gradepin_testkit::harness::play::{ask, ask_text, call};
use gradepin_testkit::harness::relay::Net;
use gradepin_testkit::load::classes;
use gradepin_testkit::processor::Spec;
use gradepin_testkit::thrift;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const TIMEOUT: Duration = Duration::from_secs(40);
const SEED: u64 = 7;
const SERVERS: usize = 4;
/// The last server is not a voter.
const VOTERS: usize = 3;
/// Class that the tests commit.
const CLASS: &str = "heat-map";

/// Fleet under test with its relays, ledger and folder.
struct ConfiguredFleet {
    fleet: Fleet,
    folder: PathBuf,
    _net: Net,
    _ledger: Ledger,
}

impl ConfiguredFleet {
    /// Starts a fleet with additional lines in the `config` block and founds the consensus group.
    fn start(name: &str, more: &str) -> Self {
        println!("seed {SEED}");
        let folder = fleet::folder(name).unwrap();
        let listen: Vec<_> = (0..SERVERS).map(|_| fleet::peer_address()).collect();
        let history = Arc::<History>::default();
        let net =
            Net::start(&listen, SEED, &AuthenticationKeys::parse(fleet::KEY).unwrap(), &history).unwrap();
        let ledger = Ledger::start(SERVERS, Duration::from_millis(20), SEED, &history).unwrap();
        let mut work: Vec<_> =
            classes().into_iter().map(|class| (class.name, Duration::from_millis(20))).collect();
        work.push((CLASS.to_string(), Duration::from_millis(20)));
        let spec = FleetSpec {
            daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
            servers: SERVERS,
            processor: Spec { classes: work, seed: SEED, ..Spec::default() },
            scale: 4,
            peers: Some(PeersSpec {
                listen,
                advertise: net.advertise.clone(),
                zones: (0..SERVERS).map(|n| format!("z{}", n % 2)).collect(),
                ledgers: ledger.addresses.clone(),
                share: 2.0,
                lends: false,
                plain: false,
            }),
            council: Some(CouncilSpec { voters: VOTERS, most: 1, zone: 1, plain: false }),
            configuration: Some(more.into()),
            folder: folder.clone(),
            ..FleetSpec::default()
        };
        let fleet = Self { fleet: Fleet::start(&spec).unwrap(), folder, _net: net, _ledger: ledger };
        fleet.until("the group is founded", || {
            call(fleet.admin(0), "POST", "/fleet/found", "").is_some_and(|(status, _)| status == 200)
        });
        fleet
    }

    fn admin(&self, n: usize) -> SocketAddr {
        self.fleet.nodes[n].admin()
    }

    fn until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() >= TIMEOUT {
                for node in &self.fleet.nodes {
                    println!("--- {}\n{}", node.name, node.log());
                }
                panic!("waited in vain for: {what}");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn status(&self, n: usize) -> Value {
        ask(self.admin(n), "/config/status").unwrap_or_default()
    }

    /// Revision and digest in force at each server.
    fn versions(&self) -> Vec<(u64, String)> {
        let version = |n| {
            let status = self.status(n);
            (status["revision"].as_u64().unwrap_or(u64::MAX), status["digest"].to_string())
        };
        (0..SERVERS).map(version).collect()
    }

    fn until_all_have(&self, revision: u64) {
        self.until(&format!("revision {revision} is in force everywhere"), || {
            let versions = self.versions();
            versions.iter().all(|version| version.0 == revision && version == &versions[0])
        });
    }

    /// Submits a change and polls for its result; returns the status and the body.
    fn change(&self, n: usize, id: &str, changes: Value) -> (u16, Value) {
        let body = json!({"proposal": {"request_id": id, "author": "ada", "reason": "test", "expected": null,
                          "transaction": {"changes": changes}}});
        let (path, body) = (format!("/config/apply?request-id={id}"), body.to_string());
        let mut last = (0, Value::Null);
        self.until(&format!("an answer to {id}"), || {
            let submitted = call(self.admin(n), "POST", "/config/apply", &body);
            if submitted.is_none_or(|(status, _)| status != 202) {
                return false;
            }
            let mut answer = None;
            self.until("the end of a request", || {
                answer = call(self.admin(n), "GET", &path, "").filter(|(status, _)| *status != 202);
                answer.is_some()
            });
            let (status, text) = answer.unwrap_or_default();
            last = (status, serde_json::from_str(&text).unwrap_or_default());
            // Retried while there is no leader or too much is in progress.
            !matches!(status, 429 | 503)
        });
        last
    }

    /// Whether a server accepts requests of a class.
    fn accepts_class(&self, n: usize, class: &str) -> bool {
        let mut stream = TcpStream::connect(self.fleet.nodes[n].address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let t0 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string();
        let fields = [
            ("method", class),
            ("rid", "00000000000000ff"),
            ("t0", &t0),
            ("peer", "1"),
            ("acct", "ita-kasvio"),
            ("budget", "4000"),
            ("mem", "1.0"),
            ("prio", "0.5"),
        ];
        stream.write_all(&thrift::call(1, &fields, b"1")).unwrap();
        let (mut bytes, mut chunk) = (Vec::new(), [0_u8; 1024]);
        while thrift::frame(&bytes).unwrap().is_none() {
            let length = stream.read(&mut chunk).unwrap();
            assert!(length > 0, "an answer");
            bytes.extend_from_slice(&chunk[..length]);
        }
        !String::from_utf8_lossy(&bytes).contains("unknown method")
    }
}

impl Drop for ConfiguredFleet {
    fn drop(&mut self) {
        for node in &mut self.fleet.nodes {
            node.kill();
        }
        fleet::remove(&self.folder);
    }
}

fn put_class() -> Value {
    json!([{"PutClass": {"profile": {"name": CLASS, "promise": 1_600_000_000_u64, "deadline": 4_000_000_000_u64,
            "effect": "repeatable", "late_value": 0.0, "window": 0, "worth": 1.0, "aim_stretch": 0.0},
            "calls": false, "skip_worth": 0.0}}])
}

fn put_tenant(name: &str, portion: f64) -> Value {
    json!([{"PutTenant": {"name": name, "quota_rps": 1.0, "portion": portion}}])
}

/// A change submitted at one server comes into force at all servers, regardless of their files. Invalid changes are rejected,
/// and a repeated request ID gives the same revision.
#[test]
fn change_submitted_at_one_server_comes_into_force_everywhere() {
    let fleet = ConfiguredFleet::start("configuration-change", "");
    fleet.until_all_have(0);
    assert!((0..SERVERS).all(|n| !fleet.accepts_class(n, CLASS) && fleet.accepts_class(n, "sheet-view")));
    let (status, answer) = fleet.change(VOTERS, "r-1", put_class());
    assert_eq!((status, &answer["revision"]), (200, &json!(1)), "{answer}");
    fleet.until_all_have(1);
    fleet.until("the class is accepted by all servers", || {
        (0..SERVERS).all(|n| fleet.accepts_class(n, CLASS))
    });
    assert_eq!(fleet.status(0)["source"], "fleet");

    // A file without the new class and without one of the old ones.
    let node = &fleet.fleet.nodes[0];
    let drop_class = |config: &mut Value| {
        config["settings"]["profiles"].as_array_mut().unwrap().retain(|class| class["name"] != "deep-zoom");
        for list in ["calls_by_class", "class_skip_worth"] {
            config["settings"]["specifics"][list].as_array_mut().unwrap().pop();
        }
    };
    node.edit(drop_class).unwrap();
    node.reload();
    fleet.until("the reloaded file is accepted", || {
        ask_text(node.admin(), "/stats").is_some_and(|text| text.contains("server_cfg_accepted_total 1"))
    });
    assert!(node.log().contains("classes, tenants and rules hold as committed"), "{}", node.log());
    assert!(fleet.accepts_class(0, CLASS) && fleet.accepts_class(0, "deep-zoom"));

    let before = fleet.versions();
    let (status, answer) = fleet.change(0, "r-2", put_tenant("osm", 1.2));
    assert_eq!((status, &answer["refused"]), (422, &json!("invalid")), "{answer}");
    assert!(answer["path"].is_string() && answer["expected"].is_string() && answer["came"].is_string());
    let (status, answer) = fleet.change(1, "r-1", put_class());
    assert_eq!((status, &answer["revision"]), (200, &json!(1)), "one revision to one id: {answer}");
    assert_eq!(fleet.versions(), before);

    let (status, answer) = fleet.change(2, "r-3", put_tenant("osm", 0.0));
    assert_eq!((status, &answer["revision"]), (200, &json!(2)), "{answer}");
    fleet.until_all_have(2);
    let figures = ask_text(fleet.admin(1), "/stats").unwrap();
    assert!(figures.contains("server_config_revision 2\n"), "{figures}");
    assert!(figures.contains("server_config_age_seconds "), "{figures}");
}

/// A restarted server starts from the snapshot on its disk. With an empty disk, and with the missing commits no longer
/// available, it fetches a snapshot from its peers.
#[test]
fn restart_uses_the_disk_snapshot_or_fetches_one_from_peers() {
    let mut fleet = ConfiguredFleet::start("configuration-start", "    history 16");
    let (status, answer) = fleet.change(0, "r-1", put_class());
    assert_eq!((status, &answer["revision"]), (200, &json!(1)), "{answer}");
    fleet.until_all_have(1);
    fleet.until("the last server has written it", || {
        let node = &fleet.fleet.nodes[VOTERS];
        std::fs::read_dir(fleet.folder.join(format!("{}.configuration", node.name))).is_ok()
    });
    fleet.fleet.nodes[VOTERS].terminate();
    fleet.until("the last server is out", || TcpStream::connect(fleet.fleet.nodes[VOTERS].address).is_err());
    fleet.fleet.nodes[VOTERS].kill();
    fleet.fleet.nodes[VOTERS].spawn().unwrap();
    fleet.until("it has restarted from its disk", || fleet.status(VOTERS)["source"] == "snapshot");
    assert!(fleet.status(VOTERS)["revision"] == 1 && fleet.accepts_class(VOTERS, CLASS));

    fleet.fleet.nodes[VOTERS].kill();
    std::fs::remove_dir_all(fleet.folder.join(format!("n{VOTERS}.configuration"))).unwrap();
    for n in 2..=20 {
        let (status, answer) = fleet.change(0, &format!("r-{n}"), put_tenant(&format!("t-{n}"), 0.0));
        assert_eq!((status, &answer["revision"]), (200, &json!(n)), "{answer}");
    }
    fleet.fleet.nodes[VOTERS].spawn().unwrap();
    fleet.until_all_have(20);
    fleet.until("the class is accepted there", || fleet.accepts_class(VOTERS, CLASS));
    assert_eq!(fleet.status(VOTERS)["source"], "fleet");
}
