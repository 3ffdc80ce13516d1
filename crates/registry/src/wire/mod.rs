//! The messages of the registry API as bytes. Both formats are read into one tree and mapped once.

mod json;
mod tree;
mod xml;

use crate::instance::{ActionType, Applications, Instance, InstanceStatus, Lease, Port};
use std::collections::BTreeMap;
use tree::Node;

/// Most nesting that is read. Guards the stack against bytes made to exhaust it.
const MOST_DEPTH: usize = 32;

/// The two formats of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// `application/json`
    #[default]
    Json,
    /// `application/xml`
    Xml,
}

impl Format {
    /// The value for `Accept` and `Content-Type`.
    pub fn media_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Xml => "application/xml",
        }
    }

    /// The format that a header names; the registry's own default, XML, for anything else.
    pub fn of(media_type: &str) -> Self {
        if media_type.to_ascii_lowercase().contains("json") { Self::Json } else { Self::Xml }
    }
}

/// Why bytes are no message of the API.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The bytes are not of the format.
    #[error("expected {format}: {why}")]
    Syntax {
        /// The format they should be of.
        format: &'static str,
        /// What its parser says.
        why: String,
    },
    /// They are, but what must be told is missing or makes no sense.
    #[error("expected {expected} in {place}, got {got}")]
    Meaning {
        /// What should stand there.
        expected: &'static str,
        /// The element.
        place: &'static str,
        /// What stands there.
        got: String,
    },
}

fn parse(bytes: &[u8], format: Format) -> Result<Node, WireError> {
    match format {
        Format::Json => json::parse(bytes),
        Format::Xml => xml::parse(bytes),
    }
}

/// Reads one instance.
pub fn read_instance(bytes: &[u8], format: Format) -> Result<Instance, WireError> {
    let root = parse(bytes, format)?;
    let node = if root.name == "instance" { &root } else { root.child("instance").unwrap_or(&root) };
    instance(node, "")
}

/// Reads applications, or one application, or the answer to a delta.
pub fn read_applications(bytes: &[u8], format: Format) -> Result<Applications, WireError> {
    let root = parse(bytes, format)?;
    let all = root.within("applications");
    let one = root.within("application");
    let (all, apps): (&Node, Vec<&Node>) = match (all, one) {
        (Some(all), _) => (all, all.children("application").collect()),
        (None, Some(one)) => (one, vec![one]),
        (None, None) => {
            let (expected, got) = ("applications or application", root.name.clone());
            return Err(WireError::Meaning { expected, place: "the document", got });
        }
    };
    let mut instances = Vec::new();
    for app in apps {
        let name = app.text_of("name").unwrap_or_default();
        for node in app.children("instance") {
            instances.push(instance(node, name)?);
        }
    }
    let text = |name: &str| all.text_of(name).unwrap_or_default().to_string();
    Ok(Applications { version: text("versions__delta"), hash_code: text("apps__hashcode"), instances })
}

/// An instance from its element; `app` is the name of the application around it.
fn instance(node: &Node, app: &str) -> Result<Instance, WireError> {
    let text = |name: &str| node.text_of(name).unwrap_or_default().to_string();
    let number = |name: &'static str| number(node.text_of(name), name);
    // Registrations of old clients have no id of their own: the host name stands in.
    let id = [text("instanceId"), text("hostName")].into_iter().find(|id| !id.is_empty());
    let id =
        id.ok_or(WireError::Meaning { expected: "an instanceId", place: "instance", got: "none".into() })?;
    let app = [text("app"), app.to_string()].into_iter().find(|app| !app.is_empty());
    let app = app.ok_or(WireError::Meaning { expected: "an app", place: "instance", got: "none".into() })?;
    let status = |names: &[&str]| {
        let word = names.iter().find_map(|name| node.text_of(name)).unwrap_or_default();
        word.parse::<InstanceStatus>().unwrap_or_default()
    };
    let port = |name: &'static str| -> Result<Option<Port>, WireError> {
        let Some(port) = node.child(name) else { return Ok(None) };
        let number = number_of(&port.text, name)?;
        let number = u16::try_from(number).map_err(|_| WireError::Meaning {
            expected: "a port",
            place: name,
            got: number.to_string(),
        })?;
        Ok(Some(Port { number, enabled: port.attribute("enabled").is_none_or(|word| word != "false") }))
    };
    let lease = match node.child("leaseInfo") {
        None => Lease { renewal_s: 30, duration_s: 90, ..Lease::default() },
        Some(lease) => {
            let of = |name: &'static str| self::number(lease.text_of(name), name);
            let or = |value: u64, default: u64| if value == 0 { default } else { value };
            Lease {
                renewal_s: or(of("renewalIntervalInSecs")?, 30),
                duration_s: or(of("durationInSecs")?, 90),
                registered_ms: of("registrationTimestamp")?,
                renewed_ms: of("lastRenewalTimestamp")?,
                evicted_ms: of("evictionTimestamp")?,
                up_ms: of("serviceUpTimestamp")?,
            }
        }
    };
    let metadata = node.child("metadata").map(|data| {
        data.children.iter().map(|child| (child.name.clone(), child.text.clone())).collect::<BTreeMap<_, _>>()
    });
    Ok(Instance {
        host: text("hostName"),
        ip: text("ipAddr").parse().ok(),
        status: status(&["status"]),
        overridden: status(&["overriddenStatus", "overriddenstatus"]),
        port: port("port")?.unwrap_or_default(),
        secure_port: port("securePort")?.unwrap_or(Port { number: 443, enabled: false }),
        vip: text("vipAddress"),
        secure_vip: text("secureVipAddress"),
        health_url: text("healthCheckUrl"),
        status_url: text("statusPageUrl"),
        lease,
        metadata: metadata.unwrap_or_default(),
        updated_ms: number("lastUpdatedTimestamp")?,
        dirty_ms: number("lastDirtyTimestamp")?,
        action: match node.text_of("actionType") {
            Some("MODIFIED") => ActionType::Modified,
            Some("DELETED") => ActionType::Deleted,
            _ => ActionType::Added,
        },
        id,
        app: app.to_uppercase(),
    })
}

/// A number that may be left out.
fn number(text: Option<&str>, place: &'static str) -> Result<u64, WireError> {
    text.map_or(Ok(0), |text| number_of(text, place))
}

fn number_of(text: &str, place: &'static str) -> Result<u64, WireError> {
    let text = text.trim();
    // Some servers leave a time out by sending -1 or an empty element.
    if text.is_empty() || text.starts_with('-') {
        return Ok(0);
    }
    text.parse().map_err(|_| WireError::Meaning {
        expected: "a whole number",
        place,
        got: text.chars().take(40).collect(),
    })
}

/// Writes one instance, as a registration or as the answer to a question for it.
pub fn write_instance(instance: &Instance, format: Format) -> Vec<u8> {
    match format {
        Format::Json => json::instance(instance),
        Format::Xml => xml::instance(instance),
    }
}

/// Writes all applications, the instances of each in the order given.
pub fn write_applications(applications: &Applications, format: Format) -> Vec<u8> {
    let mut apps = BTreeMap::<&str, Vec<&Instance>>::new();
    for instance in &applications.instances {
        apps.entry(&instance.app).or_default().push(instance);
    }
    match format {
        Format::Json => json::applications(applications, &apps),
        Format::Xml => xml::applications(applications, &apps),
    }
}

/// Writes one application; none if it has no instance.
pub fn write_application(name: &str, instances: &[Instance], format: Format) -> Option<Vec<u8>> {
    let instances: Vec<&Instance> = instances.iter().collect();
    (!instances.is_empty()).then(|| match format {
        Format::Json => json::application(name, &instances),
        Format::Xml => xml::application(name, &instances),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn some() -> Instance {
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
    fn what_is_written_is_read_again_in_both_formats() {
        let other = Instance { id: "n4".into(), app: "OTHER".into(), ..some() };
        let all =
            Applications { version: "3".into(), hash_code: "UP_2_".into(), instances: vec![other, some()] };
        for format in [Format::Json, Format::Xml] {
            let bytes = write_instance(&some(), format);
            assert_eq!(read_instance(&bytes, format), Ok(some()), "{}", String::from_utf8_lossy(&bytes));
            assert_eq!(read_applications(&write_applications(&all, format), format), Ok(all.clone()));
            let one = write_application("TILE-SERVER", &[some()], format).unwrap();
            assert_eq!(read_applications(&one, format).unwrap().instances, [some()]);
        }
    }

    /// As servers and clients in other languages send it: single objects for lists, numbers as strings, the odd
    /// spelling of the override, no lease, no id.
    #[test]
    fn the_spellings_of_other_implementations_are_read() {
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
    fn what_makes_no_sense_is_an_error_that_says_what() {
        let bad: [(&[u8], Format, &str); 7] = [
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
        for (bytes, format, message) in bad {
            let error = read_applications(bytes, format).unwrap_err().to_string();
            assert!(error.contains(message), "{error} should hold {message}");
        }
        // Guards the stack: nesting without end.
        let deep = "<a>".repeat(100_000);
        assert!(read_applications(deep.as_bytes(), Format::Xml).is_err());
        assert!(read_applications("[".repeat(100_000).as_bytes(), Format::Json).is_err());
    }
}
