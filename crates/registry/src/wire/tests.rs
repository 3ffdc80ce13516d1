use super::*;

fn sample_instance() -> Instance {
    Instance {
        id: "n3:8443".into(),
        app: "TILE-SERVER".into(),
        host: "n3".into(),
        ip: Some("127.0.0.3".parse().unwrap()),
        status: InstanceStatus::Up,
        overridden: InstanceStatus::OutOfService,
        port: Port { number: 8443, enabled: true },
        vip: "tiles".into(),
        lease: Lease {
            renewal_s: 10,
            duration_s: 30,
            registered_ms: 5,
            renewed_ms: 6,
            evicted_ms: 0,
            up_ms: 7,
        },
        metadata: [("zone", "lahti-1"), ("odd", "a<b & \"c\"")]
            .map(|(key, value)| (key.to_string(), value.to_string()))
            .into(),
        updated_ms: 1_764_576_000_123,
        dirty_ms: 1_764_576_000_456,
        action: ActionType::Modified,
        ..Instance::default()
    }
}

#[test]
fn reads_what_it_writes_in_both_formats() {
    let other = Instance { id: "n4".into(), app: "OTHER".into(), ..sample_instance() };
    let all = Applications {
        version: "3".into(),
        hash_code: "UP_2_".into(),
        instances: vec![other, sample_instance()],
    };
    for format in [Format::Json, Format::Xml] {
        let bytes = write_instance(&sample_instance(), format);
        assert_eq!(
            read_instance(&bytes, format),
            Ok(sample_instance()),
            "{}",
            String::from_utf8_lossy(&bytes)
        );
        assert_eq!(read_applications(&write_applications(&all, format), format), Ok(all.clone()));
        let one = write_application("TILE-SERVER", &[sample_instance()], format).unwrap();
        assert_eq!(read_applications(&one, format).unwrap().instances, [sample_instance()]);
    }
}

/// Guards against messages of other implementations that can't be read: single objects in place of arrays, numbers as strings,
/// the alternative spelling of the override, no lease and no instance id.
#[test]
fn reads_spellings_of_other_implementations() {
    let json = br#"{"applications":{"versions__delta":1,"apps__hashcode":"UP_1_","application":
        {"name":"TILES","instance":{"hostName":"n1","app":"tiles","ipAddr":"10.0.0.4","status":"UP",
         "overriddenstatus":"UNKNOWN","port":{"$":"8080","@enabled":"true"},"metadata":
         {"@class":"java.util.Collections$EmptyMap"},"lastDirtyTimestamp":"17","actionType":"ADDED"}}}}"#;
    let all = read_applications(json, Format::Json).unwrap();
    let one = &all.instances[0];
    assert_eq!((one.id.as_str(), one.app.as_str(), one.status), ("n1", "TILES", InstanceStatus::Up));
    assert_eq!((one.port.number, one.port.enabled, one.dirty_ms), (8080, true, 17));
    assert_eq!((one.lease.renewal_s, one.metadata.len()), (30, 0));
    let xml =
        br#"<?xml version="1.0"?><application><name>TILES</name><instance><instanceId>n&#49;</instanceId>
        <hostName>h&amp;1</hostName><status> UP </status><port enabled="false">9</port>
        <leaseInfo><renewalIntervalInSecs>5</renewalIntervalInSecs></leaseInfo>
        <metadata class="java.util.Collections$EmptyMap"/></instance></application>"#;
    let one = read_applications(xml, Format::Xml).unwrap().instances.remove(0);
    assert_eq!((one.id.as_str(), one.host.as_str(), one.app.as_str()), ("n1", "h&1", "TILES"));
    assert_eq!((one.port.enabled, one.lease.renewal_s, one.lease.duration_s), (false, 5, 90));
}

#[test]
fn rejects_malformed_messages_and_names_the_expected_value() {
    let malformed: [(&[u8], Format, &str); 7] = [
        (b"{", Format::Json, "expected JSON"),
        (b"<a><b></a>", Format::Xml, "expected XML"),
        (b"<instance>", Format::Xml, "expected XML"),
        (b"[]", Format::Json, "applications or application"),
        (b"{\"application\":{\"name\":\"A\",\"instance\":[{}]}}", Format::Json, "an instanceId"),
        (
            b"<application><name>A</name><instance><hostName>h</hostName><port>70000</port></instance></application>",
            Format::Xml,
            "a port",
        ),
        (
            b"{\"application\":{\"name\":\"A\",\"instance\":{\"hostName\":\"h\",\"lastDirtyTimestamp\":\"x\"}}}",
            Format::Json,
            "a whole number",
        ),
    ];
    for (bytes, format, message) in malformed {
        let error = read_applications(bytes, format).unwrap_err().to_string();
        assert!(error.contains(message), "{error} should contain {message}");
    }
    // Deep nesting must not overflow the stack.
    let deeply_nested = "<a>".repeat(100_000);
    assert!(read_applications(deeply_nested.as_bytes(), Format::Xml).is_err());
    assert!(read_applications("[".repeat(100_000).as_bytes(), Format::Json).is_err());
}
