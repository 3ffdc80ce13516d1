//! Encodes and decodes the messages of the registry API. Both formats are parsed into the same tree, so the mapping from
//! elements to fields exists only once.

mod json;
mod tree;
mod xml;

use crate::instance::{ActionType, Applications, Instance, InstanceStatus, Lease, Port};
use std::collections::BTreeMap;
use tree::Node;

/// Maximum nesting depth of a message, which protects the stack against malicious input.
const MAX_DEPTH: usize = 32;

/// The message formats of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// `application/json`
    #[default]
    Json,
    /// `application/xml`
    Xml,
}

impl Format {
    /// The value of the `Accept` and `Content-Type` headers for this format.
    pub fn media_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Xml => "application/xml",
        }
    }

    /// The format that a `Content-Type` or `Accept` header names; XML, the registry's default, for any other value.
    pub fn of(media_type: &str) -> Self {
        if media_type.to_ascii_lowercase().contains("json") { Self::Json } else { Self::Xml }
    }
}

/// Why bytes could not be decoded as a message of the API.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The bytes violate the syntax of the format.
    #[error("expected {format}: {why}")]
    Syntax {
        /// The expected format, `JSON` or `XML`.
        format: &'static str,
        /// The error from the parser.
        why: String,
    },
    /// The syntax is valid, but a required value is missing or out of range.
    #[error("expected {expected} in {element}, got {got}")]
    InvalidValue {
        /// A description of the expected value.
        expected: &'static str,
        /// The name of the element in which the value was expected.
        element: &'static str,
        /// The value in the message.
        got: String,
    },
}

fn parse(bytes: &[u8], format: Format) -> Result<Node, WireError> {
    match format {
        Format::Json => json::parse(bytes),
        Format::Xml => xml::parse(bytes),
    }
}

/// Decodes one instance, with or without an `instance` element around it.
pub fn read_instance(bytes: &[u8], format: Format) -> Result<Instance, WireError> {
    let root = parse(bytes, format)?;
    let node = if root.name == "instance" { &root } else { root.child("instance").unwrap_or(&root) };
    instance(node, "")
}

/// Decodes all applications, a single application, or the reply to a delta fetch.
pub fn read_applications(bytes: &[u8], format: Format) -> Result<Applications, WireError> {
    let root = parse(bytes, format)?;
    let all = root.within("applications");
    let one = root.within("application");
    let (all, apps): (&Node, Vec<&Node>) = match (all, one) {
        (Some(all), _) => (all, all.children("application").collect()),
        (None, Some(one)) => (one, vec![one]),
        (None, None) => {
            let (expected, got) = ("applications or application", root.name.clone());
            return Err(WireError::InvalidValue { expected, element: "the document", got });
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

/// Decodes an instance element. `app` is the name of the enclosing application, for instances without one.
fn instance(node: &Node, app: &str) -> Result<Instance, WireError> {
    let text = |name: &str| node.text_of(name).unwrap_or_default().to_string();
    let number = |name: &'static str| number(node.text_of(name), name);
    // Old clients register without an instance id; the host name serves as the id.
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

/// The first non-empty text.
fn first_filled(texts: [String; 2], expected: &'static str) -> Result<String, WireError> {
    let filled = texts.into_iter().find(|text| !text.is_empty());
    filled.ok_or(WireError::InvalidValue { expected, element: "instance", got: "none".into() })
}

/// The status in the first of these elements that has text.
fn status(node: &Node, names: &[&str]) -> InstanceStatus {
    let name = names.iter().find_map(|name| node.text_of(name)).unwrap_or_default();
    name.parse().unwrap_or_default()
}

fn port(node: &Node, name: &'static str) -> Result<Option<Port>, WireError> {
    let Some(port) = node.child(name) else { return Ok(None) };
    let number = number_of(&port.text, name)?;
    let number = u16::try_from(number).map_err(|_| WireError::InvalidValue {
        expected: "a port",
        element: name,
        got: number.to_string(),
    })?;
    let enabled = port.attribute("enabled").is_none_or(|enabled| enabled != "false");
    Ok(Some(Port { number, enabled }))
}

/// Decodes a lease. Missing and zero durations become Eureka's defaults.
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

/// Parses a number that may be missing, which counts as 0.
fn number(text: Option<&str>, element: &'static str) -> Result<u64, WireError> {
    text.map_or(Ok(0), |text| number_of(text, element))
}

fn number_of(text: &str, element: &'static str) -> Result<u64, WireError> {
    let text = text.trim();
    // Some servers send -1 or an empty element for a time that is not set.
    if text.is_empty() || text.starts_with('-') {
        return Ok(0);
    }
    text.parse().map_err(|_| WireError::InvalidValue {
        expected: "a whole number",
        element,
        got: text.chars().take(40).collect(),
    })
}

/// Encodes one instance, for a registration or for the reply to a fetch of the instance.
pub fn write_instance(instance: &Instance, format: Format) -> Vec<u8> {
    match format {
        Format::Json => json::instance(instance),
        Format::Xml => xml::instance(instance),
    }
}

/// Encodes all applications in alphabetical order, with the instances of each in the given order.
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

/// Encodes one application; `None` if it has no instances.
pub fn write_application(name: &str, instances: &[Instance], format: Format) -> Option<Vec<u8>> {
    let instances: Vec<&Instance> = instances.iter().collect();
    (!instances.is_empty()).then(|| match format {
        Format::Json => json::application(name, &instances),
        Format::Xml => xml::application(name, &instances),
    })
}

#[cfg(test)]
mod tests;
