//! Replies of the configuration's admin endpoints as text for a terminal.

use gradepin_admission::span_seconds;
use gradepin_config::admin::{
    CommitSummary, DiffReply, HistoryReply, LaggingServer, RevisionSpread, ShowReply, ShownEntry, Source,
    StatusReply,
};
use gradepin_config::change::{Change, Rule};
use gradepin_config::document::{ClassEntry, TenantEntry};
use std::time::{SystemTime, UNIX_EPOCH};

/// Renders the reply to `status`.
pub(super) fn status(reply: &StatusReply) -> String {
    let source = match reply.source {
        Source::StartFile => "the start file",
        Source::Snapshot => "the snapshot on disk",
        Source::Fleet => "the fleet",
    };
    let mut lines = vec![format!(
        "{}: revision {} (digest {}) from {source}; newest heard of {}; leader {}",
        reply.server.as_deref().unwrap_or("-"),
        reply.revision,
        reply.digest,
        reply.newest,
        reply.leader.as_deref().unwrap_or("not known"),
    )];
    let age = reply.age_s.map_or("never".to_string(), |age| format!("{age:.1} s ago"));
    let stale = if reply.stale { "STALE, serves on by what it has; " } else { "" };
    lines.push(format!("{stale}last heard what the newest revision is: {age}"));
    if let Some(why) = &reply.cannot_apply {
        lines.push(format!("CAN'T APPLY the next revision: {why}"));
    }
    lines.push(format!(
        "{:<10} {:<14} {:<14} {:<10} {:<9} p99",
        "revision", "proposed", "servers", "zones", "p50"
    ));
    lines.extend(reply.revisions.iter().map(spread));
    lines.push(format!("lagging: {} servers", reply.lagging_servers));
    lines.extend(reply.lagging.iter().map(lagging));
    let left_out = (reply.lagging_servers as usize).saturating_sub(reply.lagging.len());
    if left_out > 0 {
        lines.push(format!("  and {left_out} more"));
    }
    lines.join("\n")
}

fn spread(spread: &RevisionSpread) -> String {
    let seconds = |ms: Option<u64>| ms.map_or("-".to_string(), |ms| format!("{:.1} s", ms as f64 / 1e3));
    format!(
        "{:<10} {:<14} {:<14} {:<10} {:<9} {}",
        spread.revision.to_string(),
        ago(spread.proposed_at_ms),
        format!("{}/{}", spread.servers, spread.total_servers),
        format!("{}/{}", spread.zones, spread.total_zones),
        seconds(spread.p50_ms),
        seconds(spread.p99_ms),
    )
}

fn lagging(server: &LaggingServer) -> String {
    let has = server.revision.map_or("never heard".to_string(), |revision| format!("revision {revision}"));
    let heard = if server.reachable { "" } else { ", not heard now" };
    let why = server.cannot_apply.as_ref().map(|why| format!(", can't apply the next: {why}"));
    let (name, zone, since) = (&server.server, &server.zone, server.since_s);
    format!("  {name} in {zone}: {has}, for {since:.0} s{heard}{}", why.unwrap_or_default())
}

/// Renders the reply to `history`.
pub(super) fn history(reply: &HistoryReply) -> String {
    let line = |commit: &CommitSummary| {
        format!(
            "{:<8} {:<14} {:<16} {:>5} changes  {}  ({})",
            commit.revision.to_string(),
            ago(commit.proposed_at_ms),
            commit.author,
            commit.changes,
            commit.reason,
            commit.request_id
        )
    };
    let mut lines: Vec<String> = reply.commits.iter().map(line).collect();
    lines.push(format!("kept: revisions {} to {}", reply.oldest, reply.newest));
    lines.join("\n")
}

/// Renders the reply to `diff`.
pub(super) fn diff(reply: &DiffReply) -> String {
    let mut lines = vec![format!("from revision {} to revision {}:", reply.from, reply.to)];
    lines.extend(reply.changes.iter().map(change));
    if reply.omitted_changes > 0 {
        lines.push(format!("and {} more changes", reply.omitted_changes));
    }
    lines.join("\n")
}

fn change(change: &Change) -> String {
    match change {
        Change::PutClass(class) => format!("put {}", entry(&ShownEntry::Class(class.clone()))),
        Change::RemoveClass(name) => format!("remove class {name}"),
        Change::PutTenant(tenant) => format!("put {}", entry(&ShownEntry::Tenant(tenant.clone()))),
        Change::RemoveTenant(name) => format!("remove tenant {name}"),
        Change::PutRule(new) => format!("set {}", rule(new)),
    }
}

fn rule(rule: &Rule) -> String {
    match rule {
        Rule::AnswerSlack(span) => format!("answer_slack {} s", span_seconds(*span)),
        Rule::Cold(span) => format!("cold {} s", span_seconds(*span)),
        Rule::ColdShare(share) => format!("cold_share {share}"),
        Rule::DrainGrace(span) => format!("drain_grace {} s", span_seconds(*span)),
        Rule::Fall(span) => format!("fall {} s", span_seconds(*span)),
        Rule::TipMultiple(multiple) => format!("tip_multiple {multiple}"),
        Rule::OverShareWorth(part) => format!("over_share_worth {part}"),
    }
}

/// Renders the reply to `show` without a selection.
pub(super) fn summary(reply: &ShowReply) -> String {
    let mut lines = vec![format!(
        "revision {} (digest {}): {} classes, {} tenants",
        reply.revision, reply.digest, reply.classes, reply.tenants
    )];
    lines.extend(reply.rules.iter().map(rule));
    lines.join("\n")
}

/// Renders one page of entries of `show`.
pub(super) fn entries(reply: &ShowReply) -> String {
    reply.entries.iter().map(entry).collect::<Vec<String>>().join("\n")
}

/// Uses the keys of a configuration document, so that the output can be copied into one.
fn entry(entry: &ShownEntry) -> String {
    match entry {
        ShownEntry::Class(class) => format!("class {}", as_json(&ClassEntry::from(&**class))),
        ShownEntry::Tenant(tenant) => format!("tenant {}", as_json(&TenantEntry::from(&**tenant))),
    }
}

fn as_json(entry: &impl serde::Serialize) -> String {
    serde_json::to_string(entry).unwrap_or_else(|why| why.to_string())
}

/// Age of a Unix time in milliseconds by the local clock.
fn ago(at_ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let seconds = now.saturating_sub(at_ms) / 1_000;
    match seconds {
        0..120 => format!("{seconds} s ago"),
        120..7_200 => format!("{} min ago", seconds / 60),
        7_200..172_800 => format!("{} h ago", seconds / 3_600),
        _ => format!("{} days ago", seconds / 86_400),
    }
}
