//! The XML format of the registry API.

use super::tree::Node;
use super::{MAX_DEPTH, WireError};
use crate::instance::{Applications, Instance, Port};
use quick_xml::events::{BytesEnd, BytesStart, BytesText, Event};
use quick_xml::{Reader, Writer};
use std::collections::BTreeMap;

fn syntax(why: impl std::fmt::Display) -> WireError {
    WireError::Syntax { format: "XML", why: why.to_string() }
}

/// Parses an XML message into a tree.
pub(super) fn parse(bytes: &[u8]) -> Result<Node, WireError> {
    let mut reader = Reader::from_reader(bytes);
    reader.config_mut().check_end_names = true;
    let mut open_nodes: Vec<Node> = Vec::new();
    let mut root = None;
    let mut buffer = Vec::new();
    loop {
        buffer.clear();
        match reader.read_event_into(&mut buffer).map_err(syntax)? {
            Event::Start(tag) => {
                if open_nodes.len() >= MAX_DEPTH || root.is_some() {
                    return Err(syntax(if root.is_some() {
                        "more than one root"
                    } else {
                        "nested too deep"
                    }));
                }
                open_nodes.push(element(&tag)?);
            }
            Event::Empty(tag) => close(element(&tag)?, &mut open_nodes, &mut root)?,
            Event::End(_) => {
                let node = open_nodes.pop().ok_or_else(|| syntax("an end tag without a start tag"))?;
                close(node, &mut open_nodes, &mut root)?;
            }
            Event::Text(text) => {
                if let Some(node) = open_nodes.last_mut() {
                    node.text.push_str(&text.decode().map_err(syntax)?);
                }
            }
            Event::CData(text) => {
                if let Some(node) = open_nodes.last_mut() {
                    node.text.push_str(&text.decode().map_err(syntax)?);
                }
            }
            Event::GeneralRef(name) => {
                let Some(node) = open_nodes.last_mut() else { continue };
                let character = name.resolve_char_ref().map_err(syntax)?;
                let entity = name.decode().map_err(syntax)?;
                match (character, quick_xml::escape::resolve_predefined_entity(&entity)) {
                    (Some(character), _) => node.text.push(character),
                    (None, Some(text)) => node.text.push_str(text),
                    (None, None) => return Err(syntax(format!("an unknown entity {entity}"))),
                }
            }
            Event::Eof => break,
            // Declarations, comments and processing instructions are ignored. A document type is never loaded.
            _ => {}
        }
    }
    match (root, open_nodes.is_empty()) {
        (Some(root), true) => Ok(root),
        _ => Err(syntax("the document is incomplete")),
    }
}

fn element(tag: &BytesStart<'_>) -> Result<Node, WireError> {
    let mut node = Node::new(std::str::from_utf8(tag.name().as_ref()).map_err(syntax)?);
    for attribute in tag.attributes() {
        let attribute = attribute.map_err(syntax)?;
        let name = std::str::from_utf8(attribute.key.as_ref()).map_err(syntax)?.to_string();
        node.set_attribute(&name, attribute.unescape_value().map_err(syntax)?.into_owned());
    }
    Ok(node)
}

fn close(node: Node, open_nodes: &mut [Node], root: &mut Option<Node>) -> Result<(), WireError> {
    match open_nodes.last_mut() {
        Some(parent) => parent.children.push(node),
        None if root.is_none() => *root = Some(node),
        None => return Err(syntax("more than one root")),
    }
    Ok(())
}

/// Writes XML to memory, so its writes can't fail.
struct XmlWriter(Writer<Vec<u8>>);

impl XmlWriter {
    fn event(&mut self, event: Event<'_>) {
        let _ = self.0.write_event(event);
    }

    fn text(&mut self, name: &str, attributes: &[(&str, &str)], text: &str) {
        let tag = BytesStart::new(name).with_attributes(attributes.iter().copied());
        if text.is_empty() {
            return self.event(Event::Empty(tag));
        }
        self.event(Event::Start(tag));
        self.event(Event::Text(BytesText::new(text)));
        self.event(Event::End(BytesEnd::new(name)));
    }

    fn within(&mut self, name: &str, attributes: &[(&str, &str)], write_content: impl FnOnce(&mut Self)) {
        self.event(Event::Start(BytesStart::new(name).with_attributes(attributes.iter().copied())));
        write_content(self);
        self.event(Event::End(BytesEnd::new(name)));
    }

    fn port(&mut self, name: &str, port: Port) {
        let enabled = port.enabled.to_string();
        self.text(name, &[("enabled", &enabled)], &port.number.to_string());
    }

    fn instance(&mut self, i: &Instance) {
        self.within("instance", &[], |out| {
            let ip = i.ip.map(|ip| ip.to_string()).unwrap_or_default();
            for (name, text) in [
                ("instanceId", i.id.as_str()),
                ("hostName", &i.host),
                ("app", &i.app),
                ("ipAddr", &ip),
                ("status", i.status.wire_name()),
                ("overriddenstatus", i.overridden.wire_name()),
            ] {
                out.text(name, &[], text);
            }
            out.port("port", i.port);
            out.port("securePort", i.secure_port);
            out.text("countryId", &[], "1");
            let class = [("class", "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo")];
            out.within("dataCenterInfo", &class, |out| out.text("name", &[], "MyOwn"));
            out.within("leaseInfo", &[], |out| {
                for (name, number) in [
                    ("renewalIntervalInSecs", i.lease.renewal_s),
                    ("durationInSecs", i.lease.duration_s),
                    ("registrationTimestamp", i.lease.registered_ms),
                    ("lastRenewalTimestamp", i.lease.renewed_ms),
                    ("evictionTimestamp", i.lease.evicted_ms),
                    ("serviceUpTimestamp", i.lease.up_ms),
                ] {
                    out.text(name, &[], &number.to_string());
                }
            });
            if i.metadata.is_empty() {
                out.text("metadata", &[("class", "java.util.Collections$EmptyMap")], "");
            } else {
                out.within("metadata", &[], |out| {
                    for (name, value) in &i.metadata {
                        out.text(name, &[], value);
                    }
                });
            }
            for (name, url) in [("healthCheckUrl", &i.health_url), ("statusPageUrl", &i.status_url)] {
                if !url.is_empty() {
                    out.text(name, &[], url);
                }
            }
            for (name, text) in [
                ("vipAddress", i.vip.as_str()),
                ("secureVipAddress", &i.secure_vip),
                ("isCoordinatingDiscoveryServer", "false"),
                ("lastUpdatedTimestamp", &i.updated_ms.to_string()),
                ("lastDirtyTimestamp", &i.dirty_ms.to_string()),
                ("actionType", i.action.wire_name()),
            ] {
                out.text(name, &[], text);
            }
        });
    }

    fn application(&mut self, name: &str, instances: &[&Instance]) {
        self.within("application", &[], |out| {
            out.text("name", &[], name);
            for instance in instances {
                out.instance(instance);
            }
        });
    }
}

fn document(write_content: impl FnOnce(&mut XmlWriter)) -> Vec<u8> {
    let mut out = XmlWriter(Writer::new(Vec::new()));
    write_content(&mut out);
    out.0.into_inner()
}

/// Encodes one instance.
pub(super) fn instance(instance: &Instance) -> Vec<u8> {
    document(|out| out.instance(instance))
}

/// Encodes one application.
pub(super) fn application(name: &str, instances: &[&Instance]) -> Vec<u8> {
    document(|out| out.application(name, instances))
}

/// Encodes all applications, each with its instances.
pub(super) fn applications(all: &Applications, apps: &BTreeMap<&str, Vec<&Instance>>) -> Vec<u8> {
    document(|out| {
        out.within("applications", &[], |out| {
            out.text("versions__delta", &[], &all.version);
            out.text("apps__hashcode", &[], &all.hash_code);
            for (name, instances) in apps {
                out.application(name, instances);
            }
        });
    })
}
