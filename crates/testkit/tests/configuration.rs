//! Real daemons whose classes, tenants and rules come from committed revisions, on loopback sockets. Waits are upper bounds;
//! nothing passes or fails by how fast the machine is.

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

const PATIENCE: Duration = Duration::from_secs(40);
const SEED: u64 = 7;
const SERVERS: usize = 4;
/// The last server is no voter.
const VOTERS: usize = 3;
/// The class that is committed.
const CLASS: &str = "heat-map";

/// Servers under test; what they need is held with them.
struct Rig {
    fleet: Fleet,
    folder: PathBuf,
    _net: Net,
    _ledger: Ledger,
}

impl Rig {
    /// With these lines in the `config` block.
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
        let rig = Self { fleet: Fleet::start(&spec).unwrap(), folder, _net: net, _ledger: ledger };
        rig.until("the group is founded", || {
            call(rig.admin(0), "POST", "/fleet/found", "").is_some_and(|(status, _)| status == 200)
        });
        rig
    }

    fn admin(&self, n: usize) -> SocketAddr {
        self.fleet.nodes[n].admin()
    }

    fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            if start.elapsed() >= PATIENCE {
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

    /// Revision and digest at each server.
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

    /// Hands a change in and asks until it is answered: by a status, and a body.
    fn change(&self, n: usize, id: &str, changes: Value) -> (u16, Value) {
        let body = json!({"proposal": {"request_id": id, "author": "ada", "reason": "test", "expected": null,
                          "transaction": {"changes": changes}}});
        let (path, body) = (format!("/config/apply?request-id={id}"), body.to_string());
        let mut last = (0, Value::Null);
        self.until(&format!("an answer to {id}"), || {
            let taken = call(self.admin(n), "POST", "/config/apply", &body);
            if taken.is_none_or(|(status, _)| status != 202) {
                return false;
            }
            let mut answer = None;
            self.until("the end of a request", || {
                answer = call(self.admin(n), "GET", &path, "").filter(|(status, _)| *status != 202);
                answer.is_some()
            });
            let (status, text) = answer.unwrap_or_default();
            last = (status, serde_json::from_str(&text).unwrap_or_default());
            // Without a leader, or where too much is under way, it may be asked again.
            !matches!(status, 429 | 503)
        });
        last
    }

    /// Whether the front of a server knows a class.
    fn knows(&self, n: usize, class: &str) -> bool {
        let mut stream = TcpStream::connect(self.fleet.nodes[n].address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
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
        let (mut came, mut chunk) = (Vec::new(), [0_u8; 1024]);
        while thrift::frame(&came).unwrap().is_none() {
            let length = stream.read(&mut chunk).unwrap();
            assert!(length > 0, "an answer");
            came.extend_from_slice(&chunk[..length]);
        }
        !String::from_utf8_lossy(&came).contains("unknown method")
    }
}

impl Drop for Rig {
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

/// Guards the whole way of a change: handed in at one server, in force at all, whatever files say; refused where it is not
/// valid, and one revision to one request id.
#[test]
fn a_change_handed_in_at_one_server_is_in_force_at_all() {
    let rig = Rig::start("configuration-change", "");
    rig.until_all_have(0);
    assert!((0..SERVERS).all(|n| !rig.knows(n, CLASS) && rig.knows(n, "sheet-view")));
    let (status, answer) = rig.change(VOTERS, "r-1", put_class());
    assert_eq!((status, &answer["revision"]), (200, &json!(1)), "{answer}");
    rig.until_all_have(1);
    rig.until("the class is known at all", || (0..SERVERS).all(|n| rig.knows(n, CLASS)));
    assert_eq!(rig.status(0)["source"], "fleet");

    // A file that names neither the new class nor an old one.
    let node = &rig.fleet.nodes[0];
    let dropped = |config: &mut Value| {
        config["settings"]["profiles"].as_array_mut().unwrap().retain(|class| class["name"] != "deep-zoom");
        for list in ["calls_by_class", "class_skip_worth"] {
            config["settings"]["specifics"][list].as_array_mut().unwrap().pop();
        }
    };
    node.edit(dropped).unwrap();
    node.reload();
    rig.until("the file is taken", || {
        ask_text(node.admin(), "/stats").is_some_and(|text| text.contains("server_cfg_accepted_total 1"))
    });
    assert!(node.log().contains("classes, tenants and rules hold as committed"), "{}", node.log());
    assert!(rig.knows(0, CLASS) && rig.knows(0, "deep-zoom"));

    let before = rig.versions();
    let (status, answer) = rig.change(0, "r-2", put_tenant("osm", 1.2));
    assert_eq!((status, &answer["refused"]), (422, &json!("invalid")), "{answer}");
    assert!(answer["path"].is_string() && answer["expected"].is_string() && answer["came"].is_string());
    let (status, answer) = rig.change(1, "r-1", put_class());
    assert_eq!((status, &answer["revision"]), (200, &json!(1)), "one revision to one id: {answer}");
    assert_eq!(rig.versions(), before);

    let (status, answer) = rig.change(2, "r-3", put_tenant("osm", 0.0));
    assert_eq!((status, &answer["revision"]), (200, &json!(2)), "{answer}");
    rig.until_all_have(2);
    let figures = ask_text(rig.admin(1), "/stats").unwrap();
    assert!(figures.contains("server_config_revision 2\n"), "{figures}");
    assert!(figures.contains("server_config_age_seconds "), "{figures}");
}

/// Guards a server's start: from its own disk at once, and where that is empty and the commits that it lacks are no longer
/// kept, by a whole state from its peers.
#[test]
fn a_server_starts_from_its_disk_and_an_empty_one_gets_the_whole_state() {
    let mut rig = Rig::start("configuration-start", "    history 16");
    let (status, answer) = rig.change(0, "r-1", put_class());
    assert_eq!((status, &answer["revision"]), (200, &json!(1)), "{answer}");
    rig.until_all_have(1);
    rig.until("the last server has written it", || {
        let node = &rig.fleet.nodes[VOTERS];
        std::fs::read_dir(rig.folder.join(format!("{}.configuration", node.name))).is_ok()
    });
    rig.fleet.nodes[VOTERS].terminate();
    rig.until("the last server is out", || TcpStream::connect(rig.fleet.nodes[VOTERS].address).is_err());
    rig.fleet.nodes[VOTERS].kill();
    rig.fleet.nodes[VOTERS].spawn().unwrap();
    rig.until("it is back by its disk", || rig.status(VOTERS)["source"] == "snapshot");
    assert!(rig.status(VOTERS)["revision"] == 1 && rig.knows(VOTERS, CLASS));

    rig.fleet.nodes[VOTERS].kill();
    std::fs::remove_dir_all(rig.folder.join(format!("n{VOTERS}.configuration"))).unwrap();
    for n in 2..=20 {
        let (status, answer) = rig.change(0, &format!("r-{n}"), put_tenant(&format!("t-{n}"), 0.0));
        assert_eq!((status, &answer["revision"]), (200, &json!(n)), "{answer}");
    }
    rig.fleet.nodes[VOTERS].spawn().unwrap();
    rig.until_all_have(20);
    rig.until("the class is known there", || rig.knows(VOTERS, CLASS));
    assert_eq!(rig.status(VOTERS)["source"], "fleet");
}
