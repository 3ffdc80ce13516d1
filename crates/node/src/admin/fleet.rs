//! The fleet as one server sees it, as JSON: what `GET /fleet` answers.
//!
//! ```text
//! {"name": "n3", "life": "18c5..", "members": [{"name", "zone", "life", "up", "for_ms"}, ..],
//!  "heard": 8, "oldest_s": 1.2, "slots": {"kept", "lent", "borrowed", "taken"}, "ledger_open": true,
//!  "dropped": {"late": 3, ..}}
//! ```

use gradepin_cluster::cluster::FleetView;
use serde_json::{Map, Value, json};

/// The text of an answer.
pub fn text(view: &FleetView) -> String {
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| {
            json!({"name": &*member.name, "zone": &*member.zone, "life": format!("{:x}", member.incarnation.0),
                   "up": member.up, "for_ms": member.for_ms})
        })
        .collect();
    let status = &view.status;
    let dropped: Map<String, Value> =
        status.dropped.iter().map(|(why, times)| (why.label().to_string(), json!(times))).collect();
    let value = json!({
        "name": &*view.name, "life": format!("{:x}", view.incarnation.0), "members": members,
        "heard": status.reporting, "oldest_s": status.oldest_report_s,
        "slots": {"kept": status.retained_slots, "lent": status.lent_slots, "borrowed": status.borrowed_slots, "taken": status.taken_slots},
        "ledger_open": status.circuit_closed, "dropped": dropped,
    });
    format!("{value}\n")
}
