//! A settings file with every node that the server reads, each with a value of its own: a node that is lost or renamed shows here.

use gradepin_node::settings::OperatorSettings;
use gradepin_registry::wire::Format;
use std::path::Path;

const KDL: &str = include_str!("../golden/settings.kdl");
const MS: u64 = 1_000_000;

fn settings() -> OperatorSettings {
    OperatorSettings::parse(KDL).expect("settings")
}

#[test]
fn every_node_of_leave_and_registry_is_read() {
    let own = settings();
    assert_eq!((own.leave_hold.0, own.warnings.len()), (1001 * MS, 0));
    let set = own.registry.expect("a block");
    assert_eq!(set.urls[0].url, "http://10.0.0.2:8761/eureka");
    assert_eq!(set.urls[0].login, Some(("user".to_string(), "word".to_string())));
    assert_eq!((set.urls[1].url.as_str(), &set.urls[1].login), ("http://10.0.0.1:8761/eureka", &None));
    assert_eq!(
        (set.app.as_str(), set.vip.as_str(), set.zone.as_deref()),
        ("TILES-APP", "tiles-vip", Some("z1"))
    );
    assert_eq!(set.instance.as_deref(), Some("tiles-n7"));
    assert_eq!(set.address.expect("an address").to_string(), "10.0.0.3:8443");
    assert_eq!(set.metadata, [("rack".to_string(), "b7".to_string())]);
    assert!(set.format == Format::Xml && set.deregister);
    assert_eq!((set.heartbeat.0, set.lease.0, set.timeout.0), (2002 * MS, 6006 * MS, 303 * MS));
    assert_eq!(
        (set.min_publish_interval.0, set.stabilization.0, set.preferred_url_interval.0),
        (404 * MS, 505 * MS, 606 * MS)
    );
    assert_eq!(set.ready_share, 0.625);
}

#[test]
fn every_node_of_scgi_and_store_is_read() {
    let own = settings();
    let set = own.scgi.expect("a block");
    assert_eq!(
        (set.listen[0].to_string().as_str(), set.unix[0].as_path()),
        ("127.0.0.1:9001", Path::new("/run/a.sock"))
    );
    let routes: Vec<_> =
        set.routes.iter().map(|route| [&*route.method, &*route.path, &*route.class]).collect();
    assert_eq!(routes, [["GET", "/sheets/{id}", "view"], ["PUT", "/labels/{id}", "save"]]);
    assert_eq!((set.health.as_deref(), set.memory_kb, set.rank), (Some("/health"), 17.5, 0.375));
    let of = set.headers;
    let names = [of.tenant, of.caller, of.wait_ms, of.retry, of.rank, of.memory_kb, of.id, of.token];
    assert_eq!(names, ["H_A", "H_B", "H_C", "H_D", "H_E", "H_F", "H_G", "H_H"]);
    let set = own.store.expect("a block");
    assert_eq!((set.path.as_path(), set.persist_timeout.0), (Path::new("/d/store"), 251 * MS));
    assert_eq!((set.max_bytes, set.segment_bytes), (510 << 20, 5 << 20));
}

#[test]
fn every_node_of_cluster_is_read() {
    let set = settings().cluster.expect("a block");
    let addresses = [set.listen, set.advertise, set.seeds[0]].map(|address| address.to_string());
    assert_eq!(addresses, ["127.0.0.1:7947", "10.0.0.4:7948", "10.0.0.5:7949"]);
    assert_eq!((set.zone.as_str(), set.key_file.as_path()), ("z1", Path::new("/d/keys")));
    let detection = set.failure_detection;
    assert_eq!((detection.probe_period.0, detection.probe_timeout.0), (1001 * MS, 402 * MS));
    assert_eq!((detection.suspicion_timeout.0, set.max_bytes_per_second), (4003 * MS, 32004));
    assert_eq!((set.retry_ratio, set.probes_per_second), (Some(0.25), 2.5));
    let leases = set.leases.expect("a block");
    assert_eq!((leases.duration.0, leases.max_call.0), (2005 * MS, 1506 * MS));
    assert_eq!((leases.max_drift_ppm, leases.lendable_permille, leases.ignore_expiry), (15_625, 750, true));
}

#[test]
fn every_node_of_council_and_config_is_read() {
    let own = settings();
    let set = own.consensus.expect("a block");
    let voters: Vec<&str> = set.voters.iter().map(|name| &**name).collect();
    assert_eq!(voters, ["n1", "n2", "n3"]);
    let paths = [set.folder, set.staging_folder, set.replace_command].map(|path| path.expect("a path"));
    assert_eq!(paths, ["/d/council", "/d/staged", "/bin/replace"].map(Path::new));
    assert_eq!((set.limits.fleet, set.limits.zone, set.limits.zones), (5, 3, 2));
    assert_eq!(set.limits.services.get("ledger"), Some(&4));
    assert_eq!(
        (set.stabilization.0, set.fresh_for.0, set.waits_for_permit, set.ignore_limits),
        (3001 * MS, 2003 * MS, false, true)
    );
    let set = own.configuration.expect("a block");
    assert_eq!(set.folder.as_deref(), Some(Path::new("/d/config")));
    assert_eq!((set.stale_after.0, set.history), (5005 * MS, 65));
    assert_eq!((set.bytes_per_second, set.snapshot_bytes_per_second), (8001, 9001));
    assert_eq!((set.region("z1"), set.region("z2"), set.region("z3")), ("north", "north", "z3"));
}
