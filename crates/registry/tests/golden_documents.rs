//! The documents of the registry API, byte by byte, in files beside this one: registries and clients in other languages read them.

use gradepin_registry::instance::{
    ActionType, Applications, Instance, InstanceStatus, Lease, Port, hash_code,
};
use gradepin_registry::wire::{
    Format, read_applications, read_instance, write_application, write_applications, write_instance,
};

fn lines(bytes: &[u8]) -> String {
    let text = std::str::from_utf8(bytes).expect("text");
    assert!(!text.contains(char::is_control), "one line: {text}");
    // An element or a member a line, so that a difference can be read.
    text.replace("><", ">\n<").replace(",\"", ",\n\"") + "\n"
}

fn assert_golden(name: &str, golden: &str, bytes: &[u8]) {
    let got = lines(bytes);
    let (ours, theirs): (Vec<&str>, Vec<&str>) = (got.lines().collect(), golden.lines().collect());
    for at in 0..ours.len().max(theirs.len()) {
        assert_eq!(ours.get(at), theirs.get(at), "{name}, line {}: got, expected", at + 1);
    }
    assert_eq!(got, golden, "{name}");
}

/// Everything told, and each field with another content.
fn full() -> Instance {
    let metadata = [("zone", "lahti-1"), ("odd", "a<b & \"c\"")];
    Instance {
        id: "n3:8443".into(),
        app: "TILE-SERVER".into(),
        host: "n3".into(),
        ip: Some("127.0.0.3".parse().expect("an address")),
        status: InstanceStatus::Up,
        overridden: InstanceStatus::OutOfService,
        port: Port { number: 8080, enabled: true },
        secure_port: Port { number: 8443, enabled: false },
        vip: "tiles".into(),
        secure_vip: "tiles-secure".into(),
        health_url: "http://n3/health".into(),
        status_url: "http://n3/status".into(),
        lease: Lease {
            renewal_s: 10,
            duration_s: 31,
            registered_ms: 5,
            renewed_ms: 6,
            evicted_ms: 7,
            up_ms: 8,
        },
        metadata: metadata.map(|(key, value)| (key.to_string(), value.to_string())).into(),
        updated_ms: 1_764_576_000_123,
        dirty_ms: 1_764_576_000_456,
        action: ActionType::Modified,
    }
}

/// The rest of the words, and as little as may be told.
fn sparse(status: InstanceStatus, action: ActionType) -> Instance {
    Instance {
        id: status.wire_name().into(),
        app: "OTHER".into(),
        host: "n4".into(),
        status,
        action,
        ..Instance::default()
    }
}

fn all() -> Applications {
    let instances = vec![
        full(),
        sparse(InstanceStatus::Down, ActionType::Added),
        sparse(InstanceStatus::Starting, ActionType::Deleted),
        sparse(InstanceStatus::OutOfService, ActionType::Modified),
        sparse(InstanceStatus::Unknown, ActionType::Added),
    ];
    let hash_code = hash_code(instances.iter().map(|instance| instance.status));
    Applications { version: "3".into(), hash_code, instances }
}

#[test]
fn writes_an_instance_as_golden_documents_and_reads_it() {
    let files = [
        ("instance.json", include_str!("golden/instance.json"), Format::Json),
        ("instance.xml", include_str!("golden/instance.xml"), Format::Xml),
    ];
    for (name, golden, format) in files {
        assert_golden(name, golden, &write_instance(&full(), format));
        assert_eq!(read_instance(golden.as_bytes(), format), Ok(full()), "{name}");
    }
}

#[test]
fn writes_applications_as_golden_documents_and_reads_them() {
    let files = [
        ("applications.json", include_str!("golden/applications.json"), Format::Json),
        ("applications.xml", include_str!("golden/applications.xml"), Format::Xml),
    ];
    for (name, golden, format) in files {
        assert_golden(name, golden, &write_applications(&all(), format));
        let read = read_applications(golden.as_bytes(), format).expect("applications");
        assert_golden(name, golden, &write_applications(&read, format));
    }
}

#[test]
fn writes_one_application_as_golden_documents() {
    let files = [
        ("application.json", include_str!("golden/application.json"), Format::Json),
        ("application.xml", include_str!("golden/application.xml"), Format::Xml),
    ];
    for (name, golden, format) in files {
        let bytes = write_application("TILE-SERVER", &[full()], format).expect("one instance");
        assert_golden(name, golden, &bytes);
    }
}
