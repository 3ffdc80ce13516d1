//! The fleet as one server sees it, as JSON: what `GET /fleet` answers.
//!
//! ```text
//! {"name": "n3", "life": "18c5..", "members": [{"name", "zone", "life", "up", "for_ms"}, ..],
//!  "heard": 8, "oldest_s": 1.2, "slots": {"kept", "lent", "borrowed", "taken"}, "ledger_open": true,
//!  "dropped": {"late": 3, ..}}
//! ```

use gradepin_cluster::cluster::View;
use serde_json::{Map, Value, json};

/// The text of an answer.
pub fn text(view: &View) -> String {
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| {
            json!({"name": &*member.name, "zone": &*member.zone, "life": format!("{:x}", member.life.0),
                   "up": member.up, "for_ms": member.for_ms})
        })
        .collect();
    let status = &view.status;
    let dropped: Map<String, Value> =
        status.dropped.iter().map(|(why, times)| (why.word().to_string(), json!(times))).collect();
    let value = json!({
        "name": &*view.name, "life": format!("{:x}", view.life.0), "members": members,
        "heard": status.heard, "oldest_s": status.oldest_s,
        "slots": {"kept": status.kept, "lent": status.lent, "borrowed": status.borrowed, "taken": status.calls},
        "ledger_open": status.open, "dropped": dropped,
    });
    format!("{value}\n")
}
