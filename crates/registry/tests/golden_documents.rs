//! Compares the encoded documents of the registry API with golden files, byte for byte: registries and clients in other languages
//! read these documents.

use gradepin_registry::instance::{
    ActionType, Applications, Instance, InstanceStatus, Lease, Port, hash_code,
};
use gradepin_registry::wire::{
    Format, read_applications, read_instance, write_application, write_applications, write_instance,
};

fn split_lines(bytes: &[u8]) -> String {
    let text = std::str::from_utf8(bytes).expect("text");
    assert!(!text.contains(char::is_control), "one line: {text}");
    // One element or member per line makes differences readable.
    text.replace("><", ">\n<").replace(",\"", ",\n\"") + "\n"
}

fn assert_golden(name: &str, golden: &str, bytes: &[u8]) {
    let got = split_lines(bytes);
    let (got_lines, golden_lines): (Vec<&str>, Vec<&str>) = (got.lines().collect(), golden.lines().collect());
    for at in 0..got_lines.len().max(golden_lines.len()) {
        assert_eq!(got_lines.get(at), golden_lines.get(at), "{name}, line {}: got, expected", at + 1);
    }
    assert_eq!(got, golden, "{name}");
}

/// An instance with all fields set, each to a different value.
fn full_instance() -> Instance {
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

/// An instance with as few fields as possible, for the remaining statuses and actions.
fn sparse_instance(status: InstanceStatus, action: ActionType) -> Instance {
    Instance {
        id: status.wire_name().into(),
        app: "OTHER".into(),
        host: "n4".into(),
        status,
        action,
        ..Instance::default()
    }
}

fn all_applications() -> Applications {
    let instances = vec![
        full_instance(),
        sparse_instance(InstanceStatus::Down, ActionType::Added),
        sparse_instance(InstanceStatus::Starting, ActionType::Deleted),
        sparse_instance(InstanceStatus::OutOfService, ActionType::Modified),
        sparse_instance(InstanceStatus::Unknown, ActionType::Added),
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
        assert_golden(name, golden, &write_instance(&full_instance(), format));
        assert_eq!(read_instance(golden.as_bytes(), format), Ok(full_instance()), "{name}");
    }
}

#[test]
fn writes_applications_as_golden_documents_and_reads_them() {
    let files = [
        ("applications.json", include_str!("golden/applications.json"), Format::Json),
        ("applications.xml", include_str!("golden/applications.xml"), Format::Xml),
    ];
    for (name, golden, format) in files {
        assert_golden(name, golden, &write_applications(&all_applications(), format));
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
        let bytes = write_application("TILE-SERVER", &[full_instance()], format).expect("one instance");
        assert_golden(name, golden, &bytes);
    }
}
