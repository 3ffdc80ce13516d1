//! The configuration of the servers under fault injection, and the changes made to it by reloads.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

const MS: u64 = 1_000_000;
/// A class whose requests are safe to repeat.
pub const READ: &str = "read";
/// A class whose requests have an idempotency key.
pub const CLAIM: &str = "claim";
/// A class whose requests run at most once.
pub const PAY: &str = "pay";
/// The classes that clients name.
pub const CLASSES: [&str; 3] = [READ, CLAIM, PAY];
/// Time budget that a client states in its requests; below the deadline of the classes.
pub const BUDGET: Duration = Duration::from_millis(3_000);
const DEADLINE_MS: u64 = 4_000;
/// Permitted delay of an answer: the slack of the settings plus that of the protocol page.
pub const SLACK: Duration = Duration::from_millis(60 + 50);
/// Time from SIGTERM to the kill, as stated in the configuration.
pub const STOP: Duration = Duration::from_millis(800);
/// Descriptor limit of a server that idle clients shall exhaust.
pub const FEW_DESCRIPTORS: usize = 192;

/// The addresses of a server and of its stand-ins.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for operators' calls.
    pub admin: SocketAddr,
    /// Address of the processor.
    pub processor: SocketAddr,
    /// Address of the control plane.
    pub control: SocketAddr,
}

/// Whether a second run for the same request violates the class's effect.
pub fn runs_once(class: &str) -> bool {
    class != READ
}

fn class(name: &str, effect: &str, priority_weight: f64) -> Value {
    json!({"name": name, "promise": 1_000 * MS, "deadline": DEADLINE_MS * MS, "effect": effect, "late_value": 0.2,
           "window": 9_000 * MS, "worth": priority_weight})
}

/// The settings of the site, with the classes [`READ`], [`CLAIM`] and [`PAY`].
pub fn site() -> Value {
    json!({
        "granularity": 5 * MS,
        "servers": 4,
        "tier": 0,
        "worth_by": "request",
        "over_share_worth": 1.0,
        "prices": {"connection": 0.0, "handshake": 0.0, "late_fail": 0.0, "origin": 0.0, "waste": 0.0},
        "profiles": [class(READ, "repeatable", 1.0), class(CLAIM, "by_key", 3.0), class(PAY, "once", 2.0)],
        "callers": {"marks_retry": true},
        "customers": [{"name": "acme", "quota_rps": 10_000.0, "portion": 1.0}],
        "limits": {"max_retry_after": 1_000 * MS, "retry_after": true},
        "goal": {"whole": 0.7, "worst_class": 0.1, "worst_window": 0.2, "worst_tenant": 0.0},
        "rules": {"answer_slack": 60 * MS, "cold": 10_000 * MS, "cold_share": 0.25, "drain_grace": 1_000 * MS,
                  "fall": 1_500 * MS, "tip_multiple": 8.0},
        "specifics": {"n_cores": 16, "memory_kb": 400_000.0, "run_factor": 4.0, "kb_per_key": 10.0, "below": "off",
                      "share_span": 5_000 * MS, "linger": 200 * MS, "clients_total": 8, "passes_deadline": true,
                      "gauges": ["core_use", "on_cores", "heap_share", "links"], "idle": 60_000 * MS,
                      "heeded": 1_000 * MS, "tells_gone": true, "stop_mode": "off", "advert": "off",
                      "calls_by_class": [], "class_skip_worth": [], "calls_out": 0.0, "fresh_for": 0,
                      "full_checks": false, "just_started": false, "list_follows": false}
    })
}

/// A complete configuration.
pub fn configuration(name: &str, addresses: &Addresses, sockets: usize, seed: u64) -> Value {
    json!({"name": name, "listen": addresses.listen, "processor": addresses.processor, "control": addresses.control,
           "admin_addr": addresses.admin, "seed": format!("{seed:016x}"), "stop_ms": STOP.as_millis() as u64,
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "settings": site()})
}

/// Adds a shared dependency that all runs call.
pub fn with_dependency(configuration: &Value, dependency: SocketAddr) -> Value {
    let mut changed = configuration.clone();
    changed["ledger"] = json!(dependency);
    let specifics = &mut changed["settings"]["specifics"];
    specifics["below"] = json!("shared");
    specifics["calls_out"] = json!(8.0);
    specifics["calls_by_class"] = json!([true, true, true]);
    specifics["class_skip_worth"] = json!([0.5, 0.0, 0.0]);
    changed
}

/// Reorders the classes, replaces one and changes weights.
pub fn retuned(configuration: &Value) -> Value {
    let mut changed = configuration.clone();
    changed["settings"]["profiles"] = json!([
        class("view", "repeatable", 1.0),
        class(CLAIM, "by_key", 2.0),
        class(READ, "repeatable", 2.0)
    ]);
    changed
}

/// Replaces all classes and tenants.
pub fn other_site(configuration: &Value) -> Value {
    let mut changed = configuration.clone();
    changed["settings"]["profiles"] =
        json!([class("paivystys/1", "repeatable", 1.0), class("b", "once", 2.0), class("c", "by_key", 1.0)]);
    changed["settings"]["customers"] = json!([{"name": "etelä", "quota_rps": 5.0, "portion": 1.0}]);
    changed
}
