//! Settings of other deployments, and values out of any sensible range: each is either rejected with a reason or
//! served with.

mod scenario;
use gradepin_core::config::Config;
use scenario::virtual_stage::VirtualStage;
use scenario::{config, play};
use serde_json::{Value, json};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Collects the paths of all numbers of a configuration.
fn numbers(value: &Value, path: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, value)| numbers(value, &format!("{path}/{key}"), found))
        }
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(n, value)| numbers(value, &format!("{path}/{n}"), found))
        }
        Value::Number(_) => found.push(path.to_string()),
        _ => {}
    }
}

/// Plays requests of each class, retries, elapsed time, a failed run and a drain. Results are not checked, but
/// nothing may panic, and the health check must be answered.
fn play_traffic(stage: &mut VirtualStage) {
    let calls: String = (1..=12)
        .map(|n| {
            let class = if n % 2 == 0 { "read" } else { "claim" };
            format!("send a + call {n} method={class} token=t{} rid={n} mem=1 budget=400\n", n / 3)
        })
        .collect();
    play(
        stage,
        &format!(
            "send processor hi COLD 0
             {calls}
             send a health 13
             expect a 13
             wait 100
             send processor complete 1 1 OK out
             send processor complete 2 2 ERROR
             wait 900
             send b call 1 method=claim token=t0 rid=20 again=1 mem=1 budget=400
             wait 500
             send server TERM
             send c call 1 rid=30 mem=1 budget=400
             wait 5000"
        ),
    );
}

/// Collects the paths of all keys of objects.
fn keys(value: &Value, path: &str, found: &mut Vec<(String, String)>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| {
            found.push((path.to_string(), key.clone()));
            keys(value, &format!("{path}/{key}"), found);
        }),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(n, value)| keys(value, &format!("{path}/{n}"), found))
        }
        _ => {}
    }
}

/// The fault of a configuration that is rejected without a stated reason or cannot be served with.
fn fault_of(what: &str, changed: Value) -> Option<String> {
    match Config::parse(&changed.to_string()) {
        Err(why) => (!why.to_string().starts_with("expected")).then(|| format!("{what}: {why}")),
        Ok(_) => {
            let played = catch_unwind(AssertUnwindSafe(|| {
                play_traffic(&mut VirtualStage::with(|config| *config = changed));
            }));
            played.err().map(|_| format!("{what}: a panic"))
        }
    }
}

/// Guards against a server that panics, at startup or later, on a value that its settings allow.
#[test]
fn extreme_values_are_rejected_or_served_with() {
    let good = config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
    let mut paths = Vec::new();
    numbers(&good, "", &mut paths);
    assert!(paths.len() > 30, "{paths:?}");
    let values = [
        json!(0),
        json!(1),
        json!(-1),
        json!(u32::MAX),
        json!(u64::MAX),
        json!(i64::MAX),
        json!(1e-300),
        json!(1e300),
        json!(0.5),
        json!("many"),
        json!(null),
    ];
    let mut broken = Vec::new();
    for path in &paths {
        for value in &values {
            let mut changed = good.clone();
            *changed.pointer_mut(path).expect("a number") = value.clone();
            broken.extend(fault_of(&format!("{path} = {value}"), changed));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a required key whose absence is not reported, and against rejecting unknown keys of a newer
/// platform.
#[test]
fn missing_keys_are_rejected_or_optional_and_unknown_keys_ignored() {
    let good = config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
    let mut paths = Vec::new();
    keys(&good, "", &mut paths);
    let mut broken = Vec::new();
    for (object, key) in &paths {
        let mut changed = good.clone();
        changed.pointer_mut(object).and_then(Value::as_object_mut).expect("an object").remove(key);
        // The traffic refers to names.
        if !matches!(key.as_str(), "customers" | "name") {
            broken.extend(fault_of(&format!("{object} without {key}"), changed));
        }
        let mut changed = good.clone();
        let map = changed.pointer_mut(object).and_then(Value::as_object_mut).expect("an object");
        map.insert("zones".into(), json!([{"name": "z", "share": 0.5}]));
        assert!(Config::parse(&changed.to_string()).is_ok(), "an unknown key in {object}");
        broken.extend(fault_of(&format!("{object} with more"), changed));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards features that differ between deployments: no keyed class, a single class, no tenants, no value of late
/// answers, a window shorter than the deadline, a class that runs once, little memory and few descriptors.
#[test]
fn settings_of_other_deployments_are_served_with() {
    let calls = |class: &str, extra: &str| {
        format!(
            "send processor hi WARM 0
             send a call 1 method={class} rid=1 {extra}
             expect processor begin 1
             send processor complete 1 1 OK out
             expect a 1 served out
             send server TERM
             expect a draining"
        )
    };
    let played = |change: &dyn Fn(&mut Value), class: &str, extra: &str| {
        play(&mut VirtualStage::with(|config| change(config)), &calls(class, extra));
    };
    let profiles = |config: &mut Value| config["settings"]["profiles"].clone();
    let one = |config: &mut Value, n: usize| {
        config["settings"]["profiles"] = json!([profiles(config)[n]]);
        config["settings"]["specifics"]["class_skip_worth"] = json!([]);
    };
    played(&|config| one(config, 0), "read", "");
    played(&|config| one(config, 1), "claim", "token=t");
    played(
        &|config| {
            one(config, 0);
            config["settings"]["profiles"][0]["name"] = json!("night/watch");
            config["settings"]["profiles"][0]["effect"] = json!("once");
            config["settings"]["profiles"][0]["late_value"] = json!(0);
        },
        "night/watch",
        "",
    );
    played(
        &|config| {
            config["settings"]["profiles"][1]["window"] = json!(50_000_000);
            config["settings"]["profiles"][1]["deadline"] = json!(300_000_000);
            config["settings"]["profiles"][1]["promise"] = json!(200_000_000);
            config["limits"] = json!({"sockets": 128, "memory_mb": 16});
        },
        "claim",
        "token=t budget=300",
    );
    // Without tenants, a request that names one is rejected with a reason, and others are served.
    let tenantless = |config: &mut Value| config["settings"]["customers"] = json!([]);
    play(
        &mut VirtualStage::with(tenantless),
        "send processor hi WARM 0
         send a call 1 rid=1
         expect a 1 invalid unknown tenant
         send a call 2 rid=2 acct=-
         expect processor begin 2
         send processor complete 1 2 OK out
         expect a 2 served out",
    );
}
