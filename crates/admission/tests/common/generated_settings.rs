//! Strategies for arbitrary valid settings, as the protocol, deployment and wire documentation define them. A
//! server starts and serves with every generated value.
//!
//! Invalid settings, which are rejected at start, are not generated.
#![allow(dead_code)]

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use serde_json::{Map, Value, json};

pub const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;
const HOUR: u64 = 3_600 * SECOND;
/// Length of the longest generated names, in bytes. A class name and a tenant name of this length fit into one
/// message with the longest body.
const LONG_NAME: usize = 1_000;

/// An integer in either notation that JSON has for it.
fn int(number: u64) -> impl Strategy<Value = Value> {
    // Integers above 2^53 have no exact float.
    let exact = number < (1 << 53);
    prop_oneof![3 => Just(json!(number)), 1 => Just(if exact { json!(number as f64) } else { json!(number) })]
}

/// A float; some integral floats lose their decimal point.
fn float(number: f64) -> Value {
    // Some JSON writers drop the decimal point of an integral float.
    if number.fract() == 0.0 && number.abs() < 1e15 && number.to_bits().is_multiple_of(3) {
        json!(number as i64)
    } else {
        json!(number)
    }
}

/// A time of at least `least` nanoseconds: 0, usual times, hours, and the largest numbers of the format.
fn time(least: u64) -> BoxedStrategy<Value> {
    let usual = prop_oneof![
        2 => Just(0),
        1 => 1..MS,
        4 => MS..SECOND,
        4 => SECOND..(20 * SECOND),
        2 => (20 * SECOND)..(10 * 60 * SECOND),
        1 => HOUR..(30 * HOUR),
        1 => select(vec![u64::from(u32::MAX), i64::MAX as u64, u64::MAX - 1, u64::MAX]),
    ];
    usual.prop_flat_map(move |time| int(time.max(least))).boxed()
}

/// The time, or a second if it is absent or 0.
fn above_zero(time: Option<Value>) -> Value {
    time.filter(|time| time.as_f64().is_some_and(|time| time > 0.0)).unwrap_or(json!(SECOND))
}

/// A number of 0 or more.
fn non_negative() -> BoxedStrategy<f64> {
    let non_negative = prop_oneof![
        3 => Just(0.0),
        3 => Just(1.0),
        6 => 0.0..10.0,
        2 => 10.0..100_000.0,
        1 => select(vec![f64::MIN_POSITIVE, 1e-9, 1e18, 1e300, f64::MAX]),
    ];
    non_negative.boxed()
}

/// A number above 0.
fn positive() -> impl Strategy<Value = f64> {
    non_negative().prop_map(|non_negative| if non_negative > 0.0 { non_negative } else { 1.0 })
}

/// A share from 0 to 1.
fn share() -> BoxedStrategy<f64> {
    prop_oneof![2 => Just(0.0), 2 => Just(1.0), 4 => 0.0..=1.0].boxed()
}

/// The name of a class or tenant, with special characters or of extreme length; the number makes it unique.
fn name(number: usize) -> BoxedStrategy<String> {
    let plain = select(vec![
        "sheet-view",
        "a.b.c",
        "t:1/2/3",
        "100%",
        "it's",
        "\"quoted\"",
        "back\\slash",
        "härkä-määrä",
        "地図",
        "{}",
        "a=b;c,d",
        "0",
        "other",
        "NULL",
        "usage",
        "#",
        "[0]",
        "é\u{301}",
        "🗺️",
    ]);
    let name = prop_oneof![
        8 => plain.prop_map(move |word| if number == 0 { word.to_string() } else { format!("{word}{number}") }),
        1 => Just(format!("{number}{}", "x".repeat(LONG_NAME))),
        1 => Just(format!("{number}{}", "ä".repeat(LONG_NAME / 2))),
    ];
    name.boxed()
}

fn names(count: usize) -> impl Strategy<Value = Vec<String>> {
    (0..count).map(name).collect::<Vec<_>>().prop_map(|mut names| {
        // The name "t1" with number 0 equals the name "t" with number 1.
        let mut seen = std::collections::HashSet::new();
        for (number, name) in names.iter_mut().enumerate() {
            if !seen.insert(name.clone()) {
                *name = format!("{name}~{number}");
                seen.insert(name.clone());
            }
        }
        names
    })
}

fn class() -> BoxedStrategy<Map<String, Value>> {
    let times = (time(1), time(1), option::of(time(0)));
    let effect = select(vec!["repeatable", "by_key", "once"]);
    let class = (times, effect, positive(), option::of(share()), option::of(non_negative())).prop_map(
        |((latency_objective, deadline, window), effect, priority_weight, late, stretch)| {
            let mut class = Map::new();
            class.insert("promise".into(), latency_objective);
            class.insert("deadline".into(), deadline);
            class.insert("effect".into(), json!(effect));
            class.insert("worth".into(), float(priority_weight));
            let window = if effect == "by_key" { Some(above_zero(window)) } else { window };
            window.into_iter().for_each(|window| drop(class.insert("window".into(), window)));
            late.into_iter().for_each(|late| drop(class.insert("late_value".into(), float(late))));
            stretch.into_iter().for_each(|by| drop(class.insert("aim_stretch".into(), float(by))));
            class
        },
    );
    class.boxed()
}

fn count(usual: std::ops::Range<usize>, many: std::ops::Range<usize>) -> impl Strategy<Value = usize> {
    prop_oneof![2 => Just(usual.start), 20 => usual, 1 => many]
}

fn classes() -> BoxedStrategy<Vec<Value>> {
    count(1..6, 65..300)
        .prop_flat_map(|count| (names(count), vec(class(), count)))
        .prop_map(with_names)
        .boxed()
}

fn with_names((names, entries): (Vec<String>, Vec<Map<String, Value>>)) -> Vec<Value> {
    let entries = entries.into_iter().zip(names).map(|(mut entry, name)| {
        entry.insert("name".into(), json!(name));
        Value::Object(entry)
    });
    entries.collect()
}

fn tenant() -> BoxedStrategy<Map<String, Value>> {
    let tenant = (option::of(non_negative()), option::of(share())).prop_map(|(quota, portion)| {
        let mut tenant = Map::new();
        quota.into_iter().for_each(|quota| drop(tenant.insert("quota_rps".into(), float(quota))));
        portion.into_iter().for_each(|portion| drop(tenant.insert("portion".into(), float(portion))));
        tenant
    });
    tenant.boxed()
}

fn tenants() -> BoxedStrategy<Vec<Value>> {
    count(0..8, 1_000..3_000)
        .prop_flat_map(|count| (names(count), vec(tenant(), count)))
        .prop_map(with_names)
        .boxed()
}

/// The `specifics` of the settings; some keys are absent.
fn site() -> BoxedStrategy<Value> {
    let words = (
        select(vec!["threshold", "window", "share_of", "off"]),
        select(vec!["shared", "tier", "off"]),
        select(vec!["off", "abort", "suspend"]),
    );
    let spans = (time(0), time(0), time(0), time(0), time(0));
    let figures = (
        non_negative(),
        prop_oneof![Just(0.0), Just(1e-3), 1.0..1e5, Just(1e300)],
        prop_oneof![2 => Just(1e-3), 2 => 1.0..100.0, 6 => 100.0..1e6, 1 => Just(f64::MAX)],
        prop_oneof![Just(1.0), 1.0..10.0, Just(1e-3), Just(1e6)],
    );
    let counts = (
        prop_oneof![Just(1_u64), Just(64), 1_u64..9],
        prop_oneof![Just(0_u64), 0_u64..40, Just(u64::from(u32::MAX))],
    );
    let counts = counts.prop_flat_map(|(cores, clients)| (int(cores), int(clients)));
    let gauges = vec(select(vec!["core_use", "on_cores", "heap_share", "links", "qps", "warp"]), 0..6);
    let by_class = (vec(any::<bool>(), 0..4), vec(share(), 0..4));
    let flags = vec(any::<bool>(), 4);
    let site = (words, spans, figures, counts, gauges, by_class, flags).prop_map(
        |((advert, below, stop), (share_span, fresh, heeded, idle, linger), (calls, key, memory, run), counts, gauges, by_class, flags)| {
            let is_called = below == "shared";
            let calls = if is_called && calls == 0.0 { 1.0 } else { calls };
            let share_span = if is_called { above_zero(Some(share_span)) } else { share_span };
            json!({"advert": advert, "below": below, "stop_mode": stop, "share_span": share_span, "fresh_for": fresh,
                "heeded": heeded, "idle": idle, "linger": linger, "calls_out": float(calls), "kb_per_key": float(key),
                "memory_kb": float(memory), "run_factor": float(run), "n_cores": counts.0, "clients_total": counts.1,
                "gauges": gauges, "calls_by_class": by_class.0, "class_skip_worth": by_class.1,
                "just_started": flags[0], "full_checks": flags[1], "list_follows": flags[2],
                "passes_deadline": flags[3], "tells_gone": true})
        },
    );
    site.boxed()
}

fn rules() -> BoxedStrategy<Value> {
    let tip = prop_oneof![Just(1.0), 1.0..20.0, Just(1e-3), Just(1e300)];
    let rules = (time(0), time(0), time(0), time(0), share(), tip).prop_map(|(slack, cold, grace, fall, share, tip)| {
        json!({"answer_slack": slack, "cold": cold, "drain_grace": grace, "fall": fall, "cold_share": float(share),
            "tip_multiple": float(tip)})
    });
    rules.boxed()
}

/// Optional keys. Each generated value omits up to three of them.
const OPTIONAL_KEYS: [&str; 18] = [
    "/callers",
    "/customers",
    "/goal",
    "/limits",
    "/prices",
    "/report",
    "/servers",
    "/tier",
    "/worth_by",
    "/over_share_worth",
    "/zone",
    "/zones",
    "/stages",
    "/specifics/passes_deadline",
    "/specifics/calls_by_class",
    "/specifics/class_skip_worth",
    "/specifics/gauges",
    "/specifics/clients_total",
];

fn omit(settings: &mut Value, pointer: &str) {
    let (object, key) = pointer.rsplit_once('/').expect("a pointer");
    settings.pointer_mut(object).and_then(Value::as_object_mut).map(|object| object.remove(key));
}

/// Arbitrary valid settings.
pub fn settings() -> BoxedStrategy<Value> {
    let prices = vec(non_negative(), 6);
    let advice = (time(0), any::<bool>(), any::<bool>());
    let words =
        (select(vec!["inline", "on_probe", "off"]), select(vec!["request", "work"]), option::of(any::<u8>()));
    let fleet =
        (prop_oneof![Just(1_u64), 1_u64..400, Just(u64::from(u32::MAX))], 0_u64..3, non_negative(), time(0));
    let fleet =
        fleet.prop_flat_map(|(servers, tier, over, tick)| (int(servers), int(tier), Just(over), Just(tick)));
    let omitted = vec(any::<Index>(), 0..4);
    let settings = (classes(), tenants(), site(), rules(), prices, advice, words, fleet, omitted).prop_map(
        |(classes, tenants, site, rules, prices, (stay, passes, marks), (how, by, unknown), (servers, tier, over, tick), omitted)| {
            let mut settings = json!({"profiles": classes, "customers": tenants, "specifics": site, "rules": rules,
                "prices": {"connection": float(prices[0]), "handshake": float(prices[1]), "late_fail": float(prices[2]),
                    "origin": float(prices[3]), "waste": float(prices[4]), "fleet": float(prices[5])},
                "limits": {"max_retry_after": stay, "retry_after": passes, "cpu_us_per_s": 0.5},
                "callers": {"marks_retry": marks}, "report": {"how": how, "names": []}, "worth_by": by,
                "goal": {"whole": 1, "worst_class": 0.0}, "servers": servers, "tier": tier, "over_share_worth": float(over),
                "granularity": tick, "family": "server", "me": 0, "zone": "a b", "zones": [], "stages": ["x"]});
            if let Some(unknown) = unknown {
                settings["new key"] = json!({"a": [unknown, {"b": null}]});
                settings["specifics"]["warp"] = json!([[[]]]);
            }
            for place in omitted {
                omit(&mut settings, OPTIONAL_KEYS[place.index(OPTIONAL_KEYS.len())]);
            }
            settings
        },
    );
    settings.boxed()
}

/// Adds the keys that a configuration file must have. The adapter takes settings without them.
fn make_complete(settings: &mut Value) {
    let add = |object: &mut Value, key: &str, default: Value| {
        object.as_object_mut().expect("an object").entry(key).or_insert(default);
    };
    for (key, default) in [
        ("callers", json!({"marks_retry": false})),
        ("goal", json!({"whole": 1})),
        ("limits", json!({"max_retry_after": 0, "retry_after": false})),
        ("prices", json!({"connection": 0, "handshake": 0, "late_fail": 0, "origin": 0, "waste": 0})),
        ("servers", json!(1)),
        ("tier", json!(0)),
        ("worth_by", json!("request")),
        ("over_share_worth", json!(1)),
    ] {
        add(settings, key, default);
    }
    for key in ["worst_class", "worst_tenant", "worst_window"] {
        add(&mut settings["goal"], key, json!(0));
    }
    for (key, default) in [
        ("calls_by_class", json!([])),
        ("class_skip_worth", json!([])),
        ("gauges", json!([])),
        ("clients_total", json!(0)),
    ] {
        add(&mut settings["specifics"], key, default);
    }
    for class in settings["profiles"].as_array_mut().expect("classes") {
        add(class, "late_value", json!(0));
    }
    for tenant in settings.get_mut("customers").and_then(Value::as_array_mut).into_iter().flatten() {
        add(tenant, "quota_rps", json!(0));
        add(tenant, "portion", json!(0));
    }
}

/// The configuration of a server with arbitrary valid settings and the given addresses.
pub fn config(addresses: [&str; 3]) -> BoxedStrategy<Value> {
    let [listen, processor, control] = addresses.map(str::to_string);
    let stop = prop_oneof![Just(0_u64), 1_u64..5_000, Just(u64::MAX)].prop_flat_map(int);
    let limits = (prop_oneof![Just(128_u64), Just(1024), 128_u64..2_000].prop_flat_map(int), 16.0..200.0);
    let config = (settings(), stop, limits).prop_map(move |(mut settings, stop, (sockets, memory_mb))| {
        make_complete(&mut settings);
        json!({"name": "n3", "listen": listen, "processor": processor, "control": control,
            "seed": "8c1f30d27a5be964", "stop_ms": stop,
            "limits": {"cores": 0.5, "sockets": sockets, "memory_mb": memory_mb}, "settings": settings})
    });
    config.boxed()
}

/// The text of a JSON value. With `exponents`, floats are written as in `4e9`.
pub fn text(value: &Value, exponents: bool) -> String {
    match value {
        Value::Object(map) => {
            let entries =
                map.iter().map(|(key, value)| format!("{}: {}", json!(key), text(value, exponents)));
            format!("{{{}}}", entries.collect::<Vec<_>>().join(", "))
        }
        Value::Array(list) => {
            let entries = list.iter().map(|value| text(value, exponents));
            format!("[{}]", entries.collect::<Vec<_>>().join(", "))
        }
        Value::Number(number) if number.is_f64() && exponents => {
            format!("{:e}", number.as_f64().expect("a float"))
        }
        other => other.to_string(),
    }
}
