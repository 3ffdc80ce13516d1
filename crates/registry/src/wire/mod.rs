//! The messages of the registry API as bytes. Both formats are read into one tree and mapped once.

mod json;
mod tree;
mod xml;

use crate::instance::{ActionType, Applications, Instance, InstanceStatus, Lease, Port};
use std::collections::BTreeMap;
use tree::Node;

/// Maximum nesting that is read, against input made to exhaust the stack.
const MAX_DEPTH: usize = 32;

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
        /// The parser's message.
        why: String,
    },
    /// The bytes are of the format, but a required value is missing or out of range.
    #[error("expected {expected} in {place}, got {got}")]
    Meaning {
        /// The expected value.
        expected: &'static str,
        /// The element.
        place: &'static str,
        /// The value found.
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
    // Registrations of old clients have no id of their own: the host name replaces it.
    let id = first_filled([text("instanceId"), text("hostName")], "an instanceId")?;
    let app = first_filled([text("app"), app.to_string()], "an app")?;
    let lease = lease(node.child("leaseInfo"))?;
    let default_secure_port = Port { number: 443, enabled: false };
    Ok(Instance {
        host: text("hostName"),
        ip: text("ipAddr").parse().ok(),
        status: status(node, &["status"]),
        overridden: status(node, &["overriddenStatus", "overriddenstatus"]),
        port: port(node, "port")?.unwrap_or_default(),
        secure_port: port(node, "securePort")?.unwrap_or(default_secure_port),
        vip: text("vipAddress"),
        secure_vip: text("secureVipAddress"),
        health_url: text("healthCheckUrl"),
        status_url: text("statusPageUrl"),
        lease,
        metadata: metadata(node.child("metadata")),
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

/// The first text that isn't empty.
fn first_filled(texts: [String; 2], expected: &'static str) -> Result<String, WireError> {
    let filled = texts.into_iter().find(|text| !text.is_empty());
    filled.ok_or(WireError::Meaning { expected, place: "instance", got: "none".into() })
}

/// The status under the first of these names.
fn status(node: &Node, names: &[&str]) -> InstanceStatus {
    let name = names.iter().find_map(|name| node.text_of(name)).unwrap_or_default();
    name.parse().unwrap_or_default()
}

fn port(node: &Node, name: &'static str) -> Result<Option<Port>, WireError> {
    let Some(port) = node.child(name) else { return Ok(None) };
    let number = number_of(&port.text, name)?;
    let number = u16::try_from(number).map_err(|_| WireError::Meaning {
        expected: "a port",
        place: name,
        got: number.to_string(),
    })?;
    let enabled = port.attribute("enabled").is_none_or(|enabled| enabled != "false");
    Ok(Some(Port { number, enabled }))
}

/// A lease; its missing or zero durations are Eureka's defaults.
fn lease(node: Option<&Node>) -> Result<Lease, WireError> {
    const DEFAULT_RENEWAL_S: u64 = 30;
    const DEFAULT_DURATION_S: u64 = 90;
    let Some(node) = node else {
        return Ok(Lease {
            renewal_s: DEFAULT_RENEWAL_S,
            duration_s: DEFAULT_DURATION_S,
            ..Lease::default()
        });
    };
    let number = |name: &'static str| number(node.text_of(name), name);
    let or_default = |value: u64, default: u64| if value == 0 { default } else { value };
    Ok(Lease {
        renewal_s: or_default(number("renewalIntervalInSecs")?, DEFAULT_RENEWAL_S),
        duration_s: or_default(number("durationInSecs")?, DEFAULT_DURATION_S),
        registered_ms: number("registrationTimestamp")?,
        renewed_ms: number("lastRenewalTimestamp")?,
        evicted_ms: number("evictionTimestamp")?,
        up_ms: number("serviceUpTimestamp")?,
    })
}

fn metadata(node: Option<&Node>) -> BTreeMap<String, String> {
    let entries = node.map(|node| &node.children[..]).unwrap_or_default();
    entries.iter().map(|entry| (entry.name.clone(), entry.text.clone())).collect()
}

/// A number that may be missing; 0 then.
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

/// Writes one instance, as a registration or as the reply to a fetch of it.
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
mod tests;
