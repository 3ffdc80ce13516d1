use super::*;
use serde_json::json;

fn settings(classes: &[(&str, u64)], tenants: &[&str]) -> Settings {
    let profiles: Vec<_> = classes
        .iter()
        .map(|(name, deadline)| {
            json!({"name": name, "promise": 1, "deadline": deadline, "effect": "repeatable", "worth": 1.0})
        })
        .collect();
    let customers: Vec<_> = tenants.iter().map(|name| json!({"name": name, "portion": 0.5})).collect();
    serde_json::from_value(json!({"granularity": 1, "profiles": profiles, "customers": customers,
        "rules": {"fall": 1, "tip_multiple": 1.0, "drain_grace": 1},
        "specifics": {"n_cores": 1, "memory_kb": 1.0, "run_factor": 1.0}}))
    .unwrap()
}

fn names(classes: &Classes) -> Vec<(&str, u64)> {
    classes.settings().profiles.iter().map(|profile| (profile.name.as_str(), profile.deadline.0)).collect()
}

/// Guards open requests and counts across a reload: places stay, new classes come after, dropped ones stay
/// taken for the grace and not after, and one that comes back is taken again.
#[test]
fn classes_keep_their_places_and_dropped_ones_lapse() {
    let mut classes = Classes::new(Arc::new(settings(&[("view", 4), ("save", 4)], &["a"])));
    let retuned = classes.retune(Time(100), &settings(&[("save-v2", 5), ("view", 9)], &["b"])).unwrap();
    assert_eq!(retuned.added, vec!["save-v2"]);
    assert_eq!(retuned.dropped, vec!["save"]);
    assert_eq!(names(&classes), vec![("view", 9), ("save", 4), ("save-v2", 5)]);
    let tenants: Vec<&str> = classes.settings().customers.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(tenants, vec!["a", "b"]);
    assert!(classes.takes(0, Time(100)) && classes.takes(2, Time(100)));
    assert!(classes.takes(1, after(Time(100), Span(DROP_GRACE.0 - 1))));
    assert!(!classes.takes(1, after(Time(100), DROP_GRACE)));
    assert!(!classes.takes(3, Time(100)), "no class has that place");
    let retuned = classes.retune(Time(200), &settings(&[("save", 7)], &["a"])).unwrap();
    assert_eq!(
        (retuned.back, retuned.dropped),
        (vec!["save".to_string()], vec!["view".into(), "save-v2".into()])
    );
    assert_eq!(names(&classes), vec![("view", 9), ("save", 7), ("save-v2", 5)]);
    assert!(classes.takes(1, Time(u64::MAX)));
}

/// Guards against a file that names a class twice, and a table that grows without bound: both change nothing.
#[test]
fn a_bad_retune_changes_nothing() {
    let mut classes = Classes::new(Arc::new(settings(&[("view", 4)], &[])));
    let twice = classes.retune(Time(1), &settings(&[("a", 1), ("a", 2)], &[])).unwrap_err();
    assert_eq!(twice, RetuneError::Twice { what: "profiles", name: "a".into() });
    for n in 1..MOST_CLASSES {
        classes.retune(Time(n as u64), &settings(&[(&format!("c{n}"), 1)], &[])).unwrap();
    }
    let full = classes.retune(Time(99), &settings(&[("one-too-many", 1)], &[])).unwrap_err();
    assert_eq!(full, RetuneError::TooMany { what: "classes", most: MOST_CLASSES });
    assert_eq!(classes.settings().profiles.len(), MOST_CLASSES);
}

/// Guards the window of a run under a token across reloads that make its class keyed no more, and keyed again.
#[test]
fn a_class_stays_keyed_for_the_module_until_its_last_window_is_past() {
    let of = |effect: &str| {
        let mut set = settings(&[("save", 4)], &[]);
        set.profiles[0].effect = serde_json::from_value(json!(effect)).unwrap();
        set.profiles[0].window = if effect == "by_key" { Span(700) } else { Span(0) };
        set
    };
    let in_force =
        |classes: &Classes| (classes.in_force().profiles[0].effect, classes.in_force().profiles[0].window);
    let mut classes = Classes::new(Arc::new(of("by_key")));
    classes.retune(Time(100), &of("once")).unwrap();
    assert_eq!(classes.settings().profiles[0].effect, Effect::Once);
    assert_eq!(in_force(&classes), (Effect::ByKey, Span(700)));
    let until = after(Time(800), DROP_GRACE);
    // Other reloads meanwhile don't lengthen it, nor cut it short.
    classes.retune(Time(200), &of("repeatable")).unwrap();
    assert!(!classes.lapsed(Time(until.0 - 1)));
    assert_eq!(in_force(&classes), (Effect::ByKey, Span(700)));
    assert!(classes.lapsed(until) && !classes.lapsed(until));
    assert_eq!(in_force(&classes), (Effect::Repeatable, Span(0)));
    classes.retune(Time(300), &of("by_key")).unwrap();
    classes.retune(Time(400), &of("once")).unwrap();
    classes.retune(Time(500), &of("by_key")).unwrap();
    assert!(!classes.lapsed(Time(u64::MAX)));
    assert_eq!(in_force(&classes), (Effect::ByKey, Span(700)));
}
