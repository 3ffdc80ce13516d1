//! Reads a settings file with every node that the server knows, each with a distinct value, to detect nodes that are
//! lost or renamed.

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
    let operator = settings();
    assert_eq!((operator.leave_hold.0, operator.warnings.len()), (1001 * MS, 0));
    let block = operator.registry.expect("a block");
    assert_eq!(block.urls[0].url, "http://10.0.0.2:8761/eureka");
    assert_eq!(block.urls[0].login, Some(("user".to_string(), "word".to_string())));
    assert_eq!((block.urls[1].url.as_str(), &block.urls[1].login), ("http://10.0.0.1:8761/eureka", &None));
    assert_eq!(
        (block.app.as_str(), block.vip.as_str(), block.zone.as_deref()),
        ("TILES-APP", "tiles-vip", Some("z1"))
    );
    assert_eq!(block.instance.as_deref(), Some("tiles-n7"));
    assert_eq!(block.address.expect("an address").to_string(), "10.0.0.3:8443");
    assert_eq!(block.metadata, [("rack".to_string(), "b7".to_string())]);
    assert!(block.format == Format::Xml && block.deregister);
    assert_eq!((block.heartbeat.0, block.lease.0, block.timeout.0), (2002 * MS, 6006 * MS, 303 * MS));
    assert_eq!(
        (block.min_publish_interval.0, block.stabilization.0, block.preferred_url_interval.0),
        (404 * MS, 505 * MS, 606 * MS)
    );
    assert_eq!(block.ready_share, 0.625);
}

#[test]
fn every_node_of_scgi_and_store_is_read() {
    let operator = settings();
    let block = operator.scgi.expect("a block");
    assert_eq!(
        (block.listen[0].to_string().as_str(), block.unix[0].as_path()),
        ("127.0.0.1:9001", Path::new("/run/a.sock"))
    );
    let routes: Vec<_> =
        block.routes.iter().map(|route| [&*route.method, &*route.path, &*route.class]).collect();
    assert_eq!(routes, [["GET", "/sheets/{id}", "view"], ["PUT", "/labels/{id}", "save"]]);
    assert_eq!((block.health.as_deref(), block.memory_kb, block.rank), (Some("/health"), 17.5, 0.375));
    let headers = block.headers;
    let names = [
        headers.tenant,
        headers.caller,
        headers.wait_ms,
        headers.retry,
        headers.rank,
        headers.memory_kb,
        headers.id,
        headers.token,
    ];
    assert_eq!(names, ["H_A", "H_B", "H_C", "H_D", "H_E", "H_F", "H_G", "H_H"]);
    let block = operator.store.expect("a block");
    assert_eq!((block.path.as_path(), block.persist_timeout.0), (Path::new("/d/store"), 251 * MS));
    assert_eq!((block.max_bytes, block.segment_bytes), (510 << 20, 5 << 20));
}

#[test]
fn every_node_of_cluster_is_read() {
    let block = settings().cluster.expect("a block");
    let addresses = [block.listen, block.advertise, block.seeds[0]].map(|address| address.to_string());
    assert_eq!(addresses, ["127.0.0.1:7947", "10.0.0.4:7948", "10.0.0.5:7949"]);
    assert_eq!((block.zone.as_str(), block.key_file.as_path()), ("z1", Path::new("/d/keys")));
    let detection = block.failure_detection;
    assert_eq!((detection.probe_period.0, detection.probe_timeout.0), (1001 * MS, 402 * MS));
    assert_eq!((detection.suspicion_timeout.0, block.max_bytes_per_second), (4003 * MS, 32004));
    assert_eq!((block.retry_ratio, block.probes_per_second), (Some(0.25), 2.5));
    let leases = block.leases.expect("a block");
    assert_eq!((leases.duration.0, leases.max_call.0), (2005 * MS, 1506 * MS));
    assert_eq!((leases.max_drift_ppm, leases.lendable_permille, leases.ignore_expiry), (15_625, 750, true));
}

#[test]
fn every_node_of_council_and_config_is_read() {
    let operator = settings();
    let block = operator.consensus.expect("a block");
    let voters: Vec<&str> = block.voters.iter().map(|name| &**name).collect();
    assert_eq!(voters, ["n1", "n2", "n3"]);
    let paths = [block.folder, block.staging_folder, block.replace_command].map(|path| path.expect("a path"));
    assert_eq!(paths, ["/d/council", "/d/staged", "/bin/replace"].map(Path::new));
    assert_eq!((block.limits.fleet, block.limits.zone, block.limits.zones), (5, 3, 2));
    assert_eq!(block.limits.services.get("ledger"), Some(&4));
    assert_eq!(
        (block.stabilization.0, block.fresh_for.0, block.waits_for_permit, block.ignore_limits),
        (3001 * MS, 2003 * MS, false, true)
    );
    let block = operator.configuration.expect("a block");
    assert_eq!(block.folder.as_deref(), Some(Path::new("/d/config")));
    assert_eq!((block.stale_after.0, block.history), (5005 * MS, 65));
    assert_eq!((block.bytes_per_second, block.snapshot_bytes_per_second), (8001, 9001));
    assert_eq!((block.region("z1"), block.region("z2"), block.region("z3")), ("north", "north", "z3"));
}
