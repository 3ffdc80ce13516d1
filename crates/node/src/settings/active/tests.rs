#[path = "../../../../admission/tests/common/mod.rs"]
#[allow(unreachable_pub, reason = "shared with the integration tests")]
mod common;

use super::*;
use serde_json::json;

fn config(classes: &[(&str, u64)], tenants: &[(&str, f64)]) -> Config {
    let class = |(name, deadline): &(&str, u64)| json!({"name": name, "promise": 1, "deadline": deadline, "effect": "once", "late_value": 0.0, "worth": 1.0});
    let tenant = |(name, quota): &(&str, f64)| json!({"name": name, "quota_rps": quota, "portion": 0.0});
    let address = "127.0.0.1:1";
    let mut settings = common::base();
    settings["specifics"]["below"] = json!("off");
    settings["profiles"] = classes.iter().map(class).collect();
    settings["customers"] = tenants.iter().map(tenant).collect();
    let text = json!({"name": "n1", "listen": address, "processor": address, "control": address, "seed": "7",
        "stop_ms": 2000, "limits": {"memory_mb": 192, "sockets": 128}, "settings": settings});
    Config::parse(&text.to_string()).expect("a valid configuration")
}

fn summary(changes: &[Change]) -> Vec<String> {
    let name = |change: &Change| match change {
        Change::PutClass(class) => format!("+{}", class.profile.name),
        Change::RemoveClass(name) => format!("-{name}"),
        Change::PutTenant(tenant) => format!("+@{}", tenant.name),
        Change::RemoveTenant(name) => format!("-@{name}"),
        Change::PutRule(_) => "rule".to_string(),
    };
    changes.iter().map(name).collect()
}

/// Guards against a reload that changes equal definitions, keeps absent ones, or removes names twice.
#[test]
fn compares_a_file_with_the_definitions_in_force() {
    let active =
        ActiveSettings::new(&config(&[("view", 4), ("save", 4)], &[("a", 1.0), ("b", 1.0)]).settings);
    let new = config(&[("view", 4), ("save", 9), ("tag", 1)], &[("b", 2.0), ("c", 1.0)]);
    let reload = active.compare(new.clone());
    assert_eq!(summary(&reload.changes), ["-@a", "+save", "+tag", "+@b", "+@c"]);
    assert_eq!((reload.new_classes, reload.new_tenants, reload.compared_edition), (1, 1, 0));
    assert!(reload.config.settings.profiles.is_empty() && reload.config.settings.tenants.is_empty());
    let (_, tenants) = (active.tenant("b"), new.settings.split().tenants);
    active.publish(
        5,
        vec![
            NameChange::TenantRemoved(Arc::new(Tenant { name: "a".into(), quota_rps: 1.0, portion: 0.0 })),
            NameChange::Tenant { handle: 1.into(), tenant: Arc::clone(&tenants[0]) },
        ],
    );
    let again = active.compare(config(&[("view", 4), ("save", 4)], &[("b", 2.0)]));
    assert_eq!(
        (summary(&again.changes), again.compared_edition),
        (Vec::new(), 5),
        "a is already removed, b is unchanged"
    );
    assert!(active.tenant("a").is_some(), "requests may still use the name");
}
