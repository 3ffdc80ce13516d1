//! A client's view of a fleet, with a registry that is unavailable, empty, late or inconsistent.

use gradepin_admission::Time;
use gradepin_registry::instance::{ActionType, Applications, Instance, InstanceStatus, Port, hash_code};
use gradepin_registry::view::{Fetch, View, ViewSettings};
use proptest::prelude::*;

const S: u64 = 1_000_000_000;

fn at(s: u64) -> Time {
    Time(s * S)
}

fn instance(n: u16, zone: &str, status: InstanceStatus) -> Instance {
    Instance {
        id: format!("n{n}"),
        app: "TILES".into(),
        ip: Some([127, 0, (n >> 8) as u8, n as u8].into()),
        port: Port { number: 8443, enabled: true },
        vip: "tiles".into(),
        status,
        metadata: [("zone".to_string(), zone.to_string())].into(),
        updated_ms: 1,
        ..Instance::default()
    }
}

fn applications(instances: Vec<Instance>) -> Applications {
    let hash_code = hash_code(instances.iter().map(|i| i.status));
    Applications { version: "1".into(), hash_code, instances }
}

fn up_instances(ids: std::ops::Range<u16>) -> Vec<Instance> {
    ids.map(|n| instance(n, "tampere-1", InstanceStatus::Up)).collect()
}

/// A view that has just fetched these instances in full.
fn view(settings: ViewSettings, instances: Vec<Instance>) -> View {
    let mut view = View::new(settings, 7, at(0));
    assert_eq!(view.poll(at(0)), Some(Fetch::Full));
    view.fetched(at(0), Fetch::Full, Some(&applications(instances)));
    view
}

fn fetch_next(view: &mut View, s: u64, reply: Option<&Applications>) -> Fetch {
    let fetch = view.poll(at(s)).expect("a fetch is due");
    view.fetched(at(s), fetch, reply);
    fetch
}

fn statuses(view: &View, ids: std::ops::Range<u16>) -> Vec<Option<InstanceStatus>> {
    ids.map(|n| view.status("TILES", &format!("n{n}"))).collect()
}

#[test]
fn a_delta_with_another_hash_code_causes_a_full_fetch_at_once() {
    let mut view = view(ViewSettings::default(), up_instances(0..3));
    let mut delta = applications(vec![Instance {
        action: ActionType::Modified,
        updated_ms: 2,
        ..instance(1, "lahti-1", InstanceStatus::Down)
    }]);
    delta.hash_code = "UP_9_".into();
    assert_eq!(fetch_next(&mut view, 30, Some(&delta)), Fetch::Delta);
    assert_eq!((view.mismatches(), view.poll(at(30))), (1, Some(Fetch::Full)));
    view.fetched(at(30), Fetch::Full, Some(&applications(up_instances(0..4))));
    assert_eq!((view.len(), view.hash_code()), (4, "UP_4_".into()));
}

#[test]
fn a_repeated_or_outdated_delta_changes_nothing() {
    let mut view = view(ViewSettings::default(), up_instances(0..3));
    let changed =
        |updated_ms, status, action| Instance { action, updated_ms, ..instance(1, "lahti-1", status) };
    let mut delta = applications(vec![
        changed(3, InstanceStatus::OutOfService, ActionType::Modified),
        Instance {
            action: ActionType::Deleted,
            updated_ms: 3,
            ..instance(2, "tampere-1", InstanceStatus::Up)
        },
        // An older change that is still in the registry's queue.
        changed(2, InstanceStatus::Down, ActionType::Modified),
    ]);
    delta.hash_code = "OUT_OF_SERVICE_1_UP_1_".into();
    for s in [30, 60] {
        assert_eq!(fetch_next(&mut view, s, Some(&delta)), Fetch::Delta);
        assert_eq!(
            statuses(&view, 0..3),
            [Some(InstanceStatus::Up), Some(InstanceStatus::OutOfService), None]
        );
    }
    assert_eq!(view.mismatches(), 0);
    assert_eq!(view.pick("tiles", |_| false).unwrap().id, "n0");
}

#[test]
fn an_instance_that_moves_to_the_own_zone_is_preferred() {
    let own_zone_settings = ViewSettings { zone: Some("lahti-1".into()), ..ViewSettings::default() };
    let mut view = view(own_zone_settings, up_instances(0..3));
    assert!(
        !view.pick("tiles", |_| false).unwrap().in_own_zone,
        "no instance is in the own zone, so any is picked"
    );
    let moved = Instance {
        action: ActionType::Modified,
        updated_ms: 2,
        ..instance(1, "lahti-1", InstanceStatus::Up)
    };
    let delta = Applications { hash_code: "UP_3_".into(), ..applications(vec![moved]) };
    fetch_next(&mut view, 30, Some(&delta));
    for _ in 0..50 {
        let picked = view.pick("tiles", |_| false).unwrap();
        assert_eq!((picked.id, picked.in_own_zone), ("n1", true));
    }
    assert_eq!(view.len(), 3);
}

#[test]
fn the_last_instance_of_a_zone_does_not_get_the_load_of_the_zone() {
    let own_zone_settings = ViewSettings { zone: Some("lahti-1".into()), ..ViewSettings::default() };
    let mut instances = up_instances(0..20);
    instances.push(instance(20, "lahti-1", InstanceStatus::Up));
    let mut view = view(own_zone_settings, instances);
    let in_own_zone = (0..1000).filter(|_| view.pick("tiles", |_| false).unwrap().in_own_zone).count();
    assert!(in_own_zone < 120, "one of 21 gets {in_own_zone} of 1000");
}

#[test]
fn an_unavailable_or_empty_registry_leaves_the_view_usable() {
    let mut view = view(ViewSettings::default(), up_instances(0..10));
    // The registry is unavailable, then available but empty after its own restart.
    for s in [30, 31, 33] {
        fetch_next(&mut view, s, None);
    }
    assert_eq!(view.len(), 10);
    let mut s = 60;
    for _ in 0..20 {
        s += 30;
        if fetch_next(&mut view, s, Some(&applications(vec![]))) == Fetch::Delta {
            assert_eq!(
                fetch_next(&mut view, s, Some(&applications(vec![]))),
                Fetch::Full,
                "the hash code differs at once"
            );
        }
        assert_eq!(view.poll(at(s)), None, "no further fetch at the same time");
    }
    assert!(view.pick("tiles", |_| false).is_some(), "an empty registry is never trusted");
    // Two instances have registered again: they are picked first, and the others only if these are avoided.
    fetch_next(&mut view, s + 30, Some(&applications(up_instances(3..5))));
    let picked_id = |view: &mut View| view.pick("tiles", |_| false).unwrap().id.to_string();
    assert!((0..50).all(|_| ["n3", "n4"].contains(&picked_id(&mut view).as_str())));
    assert_eq!(view.all_up("tiles").len(), 10);
    let is_confirmed = |a: std::net::SocketAddr| {
        a.ip() == instance(3, "", InstanceStatus::Up).ip.unwrap()
            || a.ip() == instance(4, "", InstanceStatus::Up).ip.unwrap()
    };
    assert!(view.pick("tiles", is_confirmed).is_some_and(|picked| !["n3", "n4"].contains(&picked.id)));
}

#[test]
fn a_sudden_loss_of_most_instances_is_trusted_only_after_confirmation() {
    let mut view = view(ViewSettings::default(), up_instances(0..10));
    // Removals in a delta are trusted one by one; only instances missing from a full fetch need confirmation.
    let mut delta = applications(vec![]);
    delta.hash_code = "UP_2_".into();
    fetch_next(&mut view, 30, Some(&delta));
    for (s, expected_len) in [(30, 10), (60, 10), (90, 10), (125, 2)] {
        assert_eq!(fetch_next(&mut view, s, Some(&applications(up_instances(0..2)))), Fetch::Full);
        assert_eq!(view.len(), expected_len, "after {s} s");
    }
    // The loss of a few instances is trusted at once.
    let mut view = self::view(ViewSettings::default(), up_instances(0..10));
    fetch_next(&mut view, 30, Some(&delta));
    fetch_next(&mut view, 30, Some(&applications(up_instances(0..8))));
    assert_eq!(view.len(), 8);
}

#[test]
fn picks_only_instances_that_are_up_and_avoided_ones_last() {
    let all_statuses = [
        InstanceStatus::Up,
        InstanceStatus::Starting,
        InstanceStatus::Down,
        InstanceStatus::OutOfService,
        InstanceStatus::Unknown,
    ];
    let instances =
        all_statuses.iter().zip(0..).map(|(&status, n)| instance(n, "tampere-1", status)).collect();
    let mut view = view(ViewSettings::default(), instances);
    for _ in 0..100 {
        assert_eq!(view.pick("tiles", |_| true).unwrap().id, "n0");
    }
    assert!(view.pick("nothing", |_| false).is_none());
}

proptest! {
    /// Guards against a view that diverges from its registry: after any mix of deltas, some of them lost, the hash codes are equal
    /// once the full fetch is done that a different code causes.
    #[test]
    fn a_view_follows_its_registry(changes in prop::collection::vec((0_u16..40, 0_usize..4, any::<bool>()), 1..60)) {
        let zones = ["tampere-1", "jyvaskyla-1", "lahti-1"];
        let changed_statuses = [InstanceStatus::Up, InstanceStatus::Down, InstanceStatus::OutOfService];
        let mut registry: std::collections::BTreeMap<u16, Instance> =
            (0..20).map(|n| (n, instance(n, zones[n as usize % 3], InstanceStatus::Up))).collect();
        // Losses that need confirmation have their own tests.
        let settings = ViewSettings { min_remaining_share: 0.0, ..ViewSettings::default() };
        let mut view = view(settings, registry.values().cloned().collect());
        for (step, (n, kind, arrives)) in changes.into_iter().enumerate() {
            let s = 30 * (step as u64 + 1);
            let mut one = instance(n, zones[(step + n as usize) % 3], changed_statuses[kind % 3]);
            one.updated_ms = s;
            one.action = match (kind, registry.contains_key(&n)) {
                (3, _) => ActionType::Deleted,
                (_, true) => ActionType::Modified,
                (_, false) => ActionType::Added,
            };
            if kind == 3 { registry.remove(&n); } else { registry.insert(n, one.clone()); }
            let code = hash_code(registry.values().map(|i| i.status));
            let delta = Applications {
                hash_code: code.clone(),
                instances: if arrives { vec![one] } else { vec![] },
                ..Applications::default()
            };
            let full = applications(registry.values().cloned().collect());
            let fetch = view.poll(at(s)).expect("a fetch is due");
            view.fetched(at(s), fetch, Some(if fetch == Fetch::Full { &full } else { &delta }));
            if view.poll(at(s)) == Some(Fetch::Full) {
                view.fetched(at(s), Fetch::Full, Some(&full));
            }
            prop_assert_eq!(view.hash_code(), code);
        }
        prop_assert_eq!(view.len(), registry.len());
    }
}
