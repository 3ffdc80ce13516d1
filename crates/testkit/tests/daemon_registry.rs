//! The real daemon with a stand-in registry, on loopback sockets. Timeouts are generous upper bounds, so that no result
//! depends on the speed of the machine.

use gradepin_node::registry::Client;
use gradepin_node::settings::ServiceUrl;
use gradepin_registry::instance::{Instance, InstanceStatus};
use gradepin_registry::membership::{RegistryOperation, RegistryReply};
use gradepin_registry::view::Fetch;
use gradepin_registry::wire::Format;
use gradepin_testkit::fleet::{self, Fleet, FleetSpec};
use gradepin_testkit::load::{End, Proxy, ProxyBehavior, StaticServers, classes};
use gradepin_testkit::processor::Spec;
use gradepin_testkit::registry::faults::Fault;
use gradepin_testkit::registry::server::{Server, ServerSettings};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(30);

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn registry(login: Option<(&str, &str)>) -> Server {
    let login = login.map(|(user, password)| (user.to_string(), password.to_string()));
    Server::start(local(), ServerSettings { login, ..ServerSettings::default() }).expect("a registry")
}

fn spec(name: &str, url: String, more: &str) -> FleetSpec {
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(5))).collect();
    FleetSpec {
        daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
        processor: Spec { classes: work, ..Spec::default() },
        registries: vec![url],
        registry_more: format!("heartbeat-ms 300\nlease-ms 1000\nsteady-ms 0\ntell-every-ms 100\n{more}"),
        folder: fleet::folder(name).expect("a folder"),
        ..FleetSpec::default()
    }
}

fn reaches_status(registry: &Server, expected: Option<InstanceStatus>) -> bool {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if registry.instance("TILE-SERVER", "n0").map(|i| i.status) == expected {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Guards against a server that waits for its registry before it serves, or that can't use XML or a password.
#[test]
fn server_serves_without_its_registry_and_registers_later() {
    let login = ("tiles", "secret");
    let registry = registry(Some(login));
    registry.fail(Fault::Refuse);
    // Time for the listener to close.
    thread::sleep(Duration::from_millis(100));
    let url = format!("http://{}:{}@{}/eureka", login.0, login.1, registry.address());
    let spec = spec("away", url, "format \"xml\"\nzone \"lahti-1\"\nmetadata { rack \"b7\"; }");
    let fleet = Fleet::start(&spec).expect("it is ready without a registry");
    let behavior = ProxyBehavior::thrift(50.0, 1, false);
    let proxy =
        Proxy::start(1, 5, behavior, Box::new(StaticServers { all: vec![fleet.nodes[0].address], turn: 0 }));
    thread::sleep(Duration::from_millis(500));
    let records = proxy.expect("a proxy").stop();
    assert!(records.tries.iter().any(|t| t.end == End::Served && t.correct_result), "{:?}", records.tries);
    assert_eq!(registry.instance("TILE-SERVER", "n0"), None);
    registry.fail(Fault::None);
    assert!(reaches_status(&registry, Some(InstanceStatus::Up)), "{}", registry.summary());
    let record = registry.instance("tile-server", "n0").expect("it is registered");
    assert_eq!(
        (record.zone(), record.metadata["rack"].as_str(), record.vip.as_str()),
        (Some("lahti-1"), "b7", "tiles")
    );
    assert_eq!(SocketAddr::new(record.ip.expect("an address"), record.port.number), fleet.nodes[0].address);
    // A registry that lost its data gets the registration again.
    registry.fail(Fault::RestartEmpty);
    assert!(reaches_status(&registry, Some(InstanceStatus::Up)));
    drop(fleet);
    fleet::remove(&spec.folder);
}

/// A drain answers all received requests regardless of registry faults, and the leave arrives once the registry works.
#[test]
fn drain_answers_everything_despite_registry_faults() {
    for fault in [Fault::Hang, Fault::Garbage, Fault::Cut, Fault::Status(500)] {
        let registry = registry(None);
        let spec = spec(&format!("drain-{}", fault.to_string().replace(' ', "-")), registry.url(), "");
        let mut fleet = Fleet::start(&spec).expect("a fleet");
        assert!(reaches_status(&registry, Some(InstanceStatus::Up)));
        let behavior = ProxyBehavior::thrift(100.0, 1, false);
        let proxy = Proxy::start(
            1,
            5,
            behavior,
            Box::new(StaticServers { all: vec![fleet.nodes[0].address], turn: 0 }),
        );
        thread::sleep(Duration::from_millis(300));
        registry.fail(fault.clone());
        fleet.nodes[0].terminate();
        thread::sleep(Duration::from_millis(300));
        let records = proxy.expect("a proxy").stop();
        let unanswered: Vec<_> =
            records.tries.iter().filter(|t| matches!(t.end, End::Lost | End::TimedOut)).collect();
        assert!(records.tries.len() > 10 && unanswered.is_empty(), "{fault}: {unanswered:?}");
        registry.fail(Fault::None);
        assert!(
            reaches_status(&registry, Some(InstanceStatus::OutOfService)),
            "{fault}: {}",
            registry.summary()
        );
        fleet.nodes[0].kill();
        fleet::remove(&spec.folder);
    }
}

/// All API calls through client and stand-in, in both formats, with an ID that needs escaping.
#[test]
fn every_api_call_works_in_both_formats() {
    for format in [Format::Json, Format::Xml] {
        let registry = registry(None);
        let client = Client::new(&ServiceUrl { url: registry.url(), login: None }, format);
        let (app, id) = ("TILES", "n 1/ä:8443");
        let ask = |op: RegistryOperation| client.ask(app, id, &op, TIMEOUT);
        let (up, out) = (InstanceStatus::Up, InstanceStatus::OutOfService);
        assert_eq!(ask(RegistryOperation::FetchOwnRecord), RegistryReply::NotFound);
        assert_eq!(ask(RegistryOperation::Heartbeat { status: up, dirty_ms: 1 }), RegistryReply::NotFound);
        let known = Instance {
            id: id.into(),
            app: app.into(),
            vip: "tiles".into(),
            status: up,
            ..Instance::default()
        };
        assert_eq!(
            ask(RegistryOperation::Register(Box::new(Instance { dirty_ms: 5, ..known }))),
            RegistryReply::Done
        );
        assert_eq!(ask(RegistryOperation::Heartbeat { status: up, dirty_ms: 5 }), RegistryReply::Done);
        assert_eq!(ask(RegistryOperation::Override { status: out, dirty_ms: 6 }), RegistryReply::Done);
        let RegistryReply::Record(record) = ask(RegistryOperation::FetchOwnRecord) else {
            panic!("no record")
        };
        assert_eq!((record.id.as_str(), record.status, record.overridden), (id, out, out));
        assert_eq!(ask(RegistryOperation::ClearOverride { status: up, dirty_ms: 7 }), RegistryReply::Done);
        client.metadata(app, id, "zone", "lahti 1", TIMEOUT).expect("metadata");
        let fetches = [
            client.fetch(Fetch::Full, TIMEOUT),
            client.fetch(Fetch::Delta, TIMEOUT),
            client.application(app, TIMEOUT),
            client.vip("tiles", TIMEOUT),
        ];
        for applications in fetches {
            let applications = applications.expect("applications");
            assert_eq!(
                (applications.instances.len(), applications.instances[0].status),
                (1, up),
                "{format:?}"
            );
            assert_eq!(applications.instances[0].zone(), Some("lahti 1"));
        }
        assert!(client.application("NOTHING", TIMEOUT).is_err());
        assert_eq!(ask(RegistryOperation::Cancel), RegistryReply::Done);
        assert_eq!(ask(RegistryOperation::Cancel), RegistryReply::NotFound);
    }
}
