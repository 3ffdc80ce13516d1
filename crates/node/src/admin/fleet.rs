//! Encodes this server's view of the fleet as JSON: the response to `GET /fleet`.
//!
//! ```text
//! {"name": "n3", "life": "18c5..", "members": [{"name", "zone", "life", "up", "for_ms"}, ..],
//!  "heard": 8, "oldest_s": 1.2, "slots": {"kept", "lent", "borrowed", "taken"}, "ledger_open": true,
//!  "dropped": {"late": 3, ..}}
//! ```
//!
//! `life` is the incarnation of a server in hexadecimal; `heard` is the number of servers with recent reports and
//! `oldest_s` the age of the oldest of these reports; `slots` are those of the shared upstream, and `ledger_open` is
//! true while its circuit breaker is closed; `dropped` counts dropped datagrams by reason.

use gradepin_cluster::cluster::{FleetView, MemberView};
use serde_json::{Map, Value, json};

/// Encodes the view as one line of JSON.
pub(super) fn view_json(view: &FleetView) -> String {
    let status = &view.status;
    let members: Vec<Value> = view.members.iter().map(member).collect();
    let dropped: Map<String, Value> =
        status.dropped.iter().map(|(reason, count)| (reason.label().to_string(), json!(count))).collect();
    let value = json!({
        "name": &*view.name,
        "life": format!("{:x}", view.incarnation.0),
        "members": members,
        "heard": status.reporting,
        "oldest_s": status.oldest_report_s,
        "slots": {
            "kept": status.retained_slots,
            "lent": status.lent_slots,
            "borrowed": status.borrowed_slots,
            "taken": status.taken_slots,
        },
        "ledger_open": status.circuit_closed,
        "dropped": dropped,
    });
    format!("{value}\n")
}

fn member(member: &MemberView) -> Value {
    json!({
        "name": &*member.name,
        "zone": &*member.zone,
        "life": format!("{:x}", member.incarnation.0),
        "up": member.up,
        "for_ms": member.for_ms,
    })
}
