//! Renders the fleet status as text for a terminal.

use serde_json::Value;

/// Renders all sections: consensus group and age of the view, servers, limits, permits, release, recent operator
/// actions.
pub(crate) fn render(status: &Value) -> String {
    let mut lines = consensus(status);
    lines.extend(servers(status));
    lines.push(limits(&status["limits"]));
    lines.extend(entries(&status["permits"]).map(permit));
    if !status["release"].is_null() {
        lines.push(release(&status["release"]));
    }
    lines.extend(entries(&status["acts"]).map(operator_action));
    lines.join("\n")
}

/// Formats a value; `-` stands for an absent or empty one.
fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) if text.is_empty() => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn entries(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Leader, age of this view, and what this server is waiting for.
fn consensus(status: &Value) -> Vec<String> {
    let age = match status["age_s"].as_f64() {
        Some(age) => format!("{age:.1} s old"),
        None if status["servers"].is_null() => "never heard".into(),
        None => "of unknown age: no leader was heard".into(),
    };
    let voter = if status["voter"] == true { "a voter's" } else { "a copy of a voter's" };
    let leader = text(&status["leader"]);
    let mut lines = vec![format!("council: led by {leader}, this view is {voter}, {age}")];
    if let Some(lost) = status["lost"].as_str() {
        lines.push(format!("this server is out of the council until it is replaced: {lost}"));
    }
    if let Some(why) = status["waits"]["why"].as_str() {
        let seconds = status["waits"]["for_s"].as_f64().unwrap_or(0.0);
        lines.push(format!("this server waits for {seconds:.1} s: {why}"));
    }
    lines
}

/// Table of servers: a header and one line per server.
fn servers(status: &Value) -> Vec<String> {
    let header = format!(
        "{:<16} {:<10} {:<8} {:<8} {:<18} {:<18} step",
        "server", "zone", "ready", "permit", "program", "settings"
    );
    std::iter::once(header).chain(entries(&status["servers"]).map(server)).collect()
}

fn server(server: &Value) -> String {
    let ready = match server["ready"].as_bool() {
        Some(true) => "yes",
        Some(false) => "no",
        None => "?",
    };
    format!(
        "{:<16} {:<10} {ready:<8} {:<8} {:<18} {:<18} {}",
        text(&server["name"]),
        text(&server["zone"]),
        text(&server["permit"]),
        text(&server["program"]),
        text(&server["settings"]),
        text(&server["step"])
    )
}

fn limits(limits: &Value) -> String {
    format!(
        "may be out: {} of the fleet, {} of a zone, {} whole zones; services {}",
        text(&limits["fleet"]),
        text(&limits["zone"]),
        text(&limits["zones"]),
        text(&limits["services"])
    )
}

fn permit(permit: &Value) -> String {
    format!(
        "permit {} of {} for {}: {}, {}",
        text(&permit["epoch"]),
        text(&permit["holder"]),
        text(&permit["target"]),
        text(&permit["for"]),
        text(&permit["stage"])
    )
}

fn release(release: &Value) -> String {
    format!(
        "release {} to {}: {}, wave {} of {}",
        text(&release["name"]),
        text(&release["version"]),
        text(&release["state"]),
        release["wave"].as_u64().unwrap_or(0) + 1,
        text(&release["waves"])
    )
}

/// Operator, action and, if given, the reason.
fn operator_action(act: &Value) -> String {
    let reason = act["why"].as_str().filter(|why| !why.is_empty());
    let reason = reason.map(|why| format!(" ({why})")).unwrap_or_default();
    format!("{}: {}{reason}", text(&act["by"]), text(&act["what"]))
}
