//! The JSON format of the registry API. Attributes are members whose names start with `@`; text beside them is the member `$`.

use super::tree::Node;
use super::{MAX_DEPTH, WireError};
use crate::instance::{Applications, Instance, InstanceStatus, Port};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Parses a JSON message into a tree.
pub(super) fn parse(bytes: &[u8]) -> Result<Node, WireError> {
    let syntax = |why: String| WireError::Syntax { format: "JSON", why };
    // `serde_json` itself bounds the nesting at 128 levels.
    let value: Value = serde_json::from_slice(bytes).map_err(|e| syntax(e.to_string()))?;
    let mut root = Node::new("");
    fill(&mut root, &value, 0).map_err(|()| syntax(format!("nested more than {MAX_DEPTH} levels deep")))?;
    Ok(root)
}

fn fill(node: &mut Node, value: &Value, depth: usize) -> Result<(), ()> {
    if depth > MAX_DEPTH {
        return Err(());
    }
    match value {
        Value::Object(members) => {
            for (key, value) in members {
                if let Some(name) = key.strip_prefix('@') {
                    node.set_attribute(name, text(value));
                } else if key == "$" {
                    node.text = text(value);
                } else {
                    // A JSON array stands for several elements of the same name.
                    let each = if let Value::Array(values) = value {
                        &values[..]
                    } else {
                        std::slice::from_ref(value)
                    };
                    for value in each {
                        let mut child = Node::new(key);
                        fill(&mut child, value, depth + 1)?;
                        node.children.push(child);
                    }
                }
            }
        }
        Value::Array(_) => {}
        plain => node.text = text(plain),
    }
    Ok(())
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => number.to_string(),
        Value::Bool(flag) => flag.to_string(),
        _ => String::new(),
    }
}

fn port(port: Port) -> Value {
    json!({"$": port.number, "@enabled": port.enabled.to_string()})
}

fn instance_value(i: &Instance) -> Value {
    let mut metadata: Map<String, Value> = i.metadata.iter().map(|(k, v)| (k.clone(), json!(v))).collect();
    if metadata.is_empty() {
        metadata.insert("@class".into(), json!("java.util.Collections$EmptyMap"));
    }
    let mut out = json!({
        "instanceId": i.id,
        "hostName": i.host,
        "app": i.app,
        "ipAddr": i.ip.map(|ip| ip.to_string()).unwrap_or_default(),
        "status": i.status.wire_name(),
        "overriddenStatus": i.overridden.wire_name(),
        "port": port(i.port),
        "securePort": port(i.secure_port),
        "countryId": 1,
        "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        "leaseInfo": {
            "renewalIntervalInSecs": i.lease.renewal_s,
            "durationInSecs": i.lease.duration_s,
            "registrationTimestamp": i.lease.registered_ms,
            "lastRenewalTimestamp": i.lease.renewed_ms,
            "evictionTimestamp": i.lease.evicted_ms,
            "serviceUpTimestamp": i.lease.up_ms,
        },
        "metadata": metadata,
        "vipAddress": i.vip,
        "secureVipAddress": i.secure_vip,
        "isCoordinatingDiscoveryServer": "false",
        "lastUpdatedTimestamp": i.updated_ms.to_string(),
        "lastDirtyTimestamp": i.dirty_ms.to_string(),
        "actionType": i.action.wire_name(),
    });
    for (name, url) in [("healthCheckUrl", &i.health_url), ("statusPageUrl", &i.status_url)] {
        if !url.is_empty() {
            out[name] = json!(url);
        }
    }
    if i.overridden == InstanceStatus::Unknown {
        // Older clients read only this spelling.
        out["overriddenstatus"] = json!(InstanceStatus::Unknown.wire_name());
    }
    out
}

/// Encodes one instance.
pub(super) fn instance(instance: &Instance) -> Vec<u8> {
    json!({"instance": instance_value(instance)}).to_string().into_bytes()
}

fn application_value(name: &str, instances: &[&Instance]) -> Value {
    json!({"name": name, "instance": instances.iter().map(|i| instance_value(i)).collect::<Vec<_>>()})
}

/// Encodes one application.
pub(super) fn application(name: &str, instances: &[&Instance]) -> Vec<u8> {
    json!({"application": application_value(name, instances)}).to_string().into_bytes()
}

/// Encodes all applications, each with its instances.
pub(super) fn applications(all: &Applications, apps: &BTreeMap<&str, Vec<&Instance>>) -> Vec<u8> {
    let apps: Vec<Value> = apps.iter().map(|(name, instances)| application_value(name, instances)).collect();
    json!({"applications": {
        "versions__delta": all.version, "apps__hashcode": all.hash_code, "application": apps
    }})
    .to_string()
    .into_bytes()
}
