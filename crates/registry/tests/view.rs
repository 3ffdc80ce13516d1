//! What a caller believes of a fleet, whatever its registry tells.

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

fn all(instances: Vec<Instance>) -> Applications {
    let hash_code = hash_code(instances.iter().map(|i| i.status));
    Applications { version: "1".into(), hash_code, instances }
}

fn up(ids: std::ops::Range<u16>) -> Vec<Instance> {
    ids.map(|n| instance(n, "tampere-1", InstanceStatus::Up)).collect()
}

/// A view that has just fetched these in full.
fn view(set: ViewSettings, instances: Vec<Instance>) -> View {
    let mut view = View::new(set, 7, at(0));
    assert_eq!(view.poll(at(0)), Some(Fetch::Full));
    view.fetched(at(0), Fetch::Full, Some(&all(instances)));
    view
}

fn next(view: &mut View, s: u64, came: Option<&Applications>) -> Fetch {
    let fetch = view.poll(at(s)).expect("a fetch is due");
    view.fetched(at(s), fetch, came);
    fetch
}

fn statuses(view: &View, ids: std::ops::Range<u16>) -> Vec<Option<InstanceStatus>> {
    ids.map(|n| view.status("TILES", &format!("n{n}"))).collect()
}

#[test]
fn a_delta_with_a_wrong_code_is_answered_with_a_full_fetch_at_once() {
    let mut view = view(ViewSettings::default(), up(0..3));
    let mut delta = all(vec![Instance {
        action: ActionType::Modified,
        updated_ms: 2,
        ..instance(1, "lahti-1", InstanceStatus::Down)
    }]);
    delta.hash_code = "UP_9_".into();
    assert_eq!(next(&mut view, 30, Some(&delta)), Fetch::Delta);
    assert_eq!((view.mismatches(), view.poll(at(30))), (1, Some(Fetch::Full)));
    view.fetched(at(30), Fetch::Full, Some(&all(up(0..4))));
    assert_eq!((view.len(), view.hash_code()), (4, "UP_4_".into()));
}

#[test]
fn a_delta_applied_twice_or_late_changes_nothing_more() {
    let mut view = view(ViewSettings::default(), up(0..3));
    let changed =
        |updated_ms, status, action| Instance { action, updated_ms, ..instance(1, "lahti-1", status) };
    let mut delta = all(vec![
        changed(3, InstanceStatus::OutOfService, ActionType::Modified),
        Instance {
            action: ActionType::Deleted,
            updated_ms: 3,
            ..instance(2, "tampere-1", InstanceStatus::Up)
        },
        // Of before, still in the registry's queue.
        changed(2, InstanceStatus::Down, ActionType::Modified),
    ]);
    delta.hash_code = "OUT_OF_SERVICE_1_UP_1_".into();
    for s in [30, 60] {
        assert_eq!(next(&mut view, s, Some(&delta)), Fetch::Delta);
        assert_eq!(
            statuses(&view, 0..3),
            [Some(InstanceStatus::Up), Some(InstanceStatus::OutOfService), None]
        );
    }
    assert_eq!(view.mismatches(), 0);
    assert_eq!(view.pick("tiles", |_| false).unwrap().id, "n0");
}

#[test]
fn an_instance_that_moves_between_zones_is_chosen_where_it_is() {
    let near = ViewSettings { zone: Some("lahti-1".into()), ..ViewSettings::default() };
    let mut view = view(near, up(0..3));
    assert!(!view.pick("tiles", |_| false).unwrap().in_own_zone, "none is there: any other will do");
    let moved = Instance {
        action: ActionType::Modified,
        updated_ms: 2,
        ..instance(1, "lahti-1", InstanceStatus::Up)
    };
    let delta = Applications { hash_code: "UP_3_".into(), ..all(vec![moved]) };
    next(&mut view, 30, Some(&delta));
    for _ in 0..50 {
        let picked = view.pick("tiles", |_| false).unwrap();
        assert_eq!((picked.id, picked.in_own_zone), ("n1", true));
    }
    assert_eq!(view.len(), 3);
}

#[test]
fn the_last_instance_of_a_zone_does_not_get_what_the_zone_took() {
    let near = ViewSettings { zone: Some("lahti-1".into()), ..ViewSettings::default() };
    let mut fleet = up(0..20);
    fleet.push(instance(20, "lahti-1", InstanceStatus::Up));
    let mut view = view(near, fleet);
    let near = (0..1000).filter(|_| view.pick("tiles", |_| false).unwrap().in_own_zone).count();
    assert!(near < 120, "one of 21 gets {near} of 1000");
}

#[test]
fn an_old_view_is_better_than_none() {
    let mut view = view(ViewSettings::default(), up(0..10));
    // The registry is away, then back and empty after its own restart.
    for s in [30, 31, 33] {
        next(&mut view, s, None);
    }
    assert_eq!(view.len(), 10);
    let mut s = 60;
    for _ in 0..20 {
        s += 30;
        if next(&mut view, s, Some(&all(vec![]))) == Fetch::Delta {
            assert_eq!(next(&mut view, s, Some(&all(vec![]))), Fetch::Full, "the code tells at once");
        }
        assert_eq!(view.poll(at(s)), None, "no storm of fetches");
    }
    assert!(view.pick("tiles", |_| false).is_some(), "an empty registry is never believed");
    // Two have registered again: they come first, the others are left for want of better.
    next(&mut view, s + 30, Some(&all(up(3..5))));
    let first = |view: &mut View| view.pick("tiles", |_| false).unwrap().id.to_string();
    assert!((0..50).all(|_| ["n3", "n4"].contains(&first(&mut view).as_str())));
    assert_eq!(view.all_up("tiles").len(), 10);
    let both = |a: std::net::SocketAddr| {
        a.ip() == instance(3, "", InstanceStatus::Up).ip.unwrap()
            || a.ip() == instance(4, "", InstanceStatus::Up).ip.unwrap()
    };
    assert!(view.pick("tiles", both).is_some_and(|picked| !["n3", "n4"].contains(&picked.id)));
}

#[test]
fn a_sudden_loss_of_most_is_believed_only_when_it_lasts() {
    let mut view = view(ViewSettings::default(), up(0..10));
    // What came by a delta is known one by one; only what a full fetch lacks is doubted.
    let mut delta = all(vec![]);
    delta.hash_code = "UP_2_".into();
    next(&mut view, 30, Some(&delta));
    for (s, held) in [(30, 10), (60, 10), (90, 10), (125, 2)] {
        assert_eq!(next(&mut view, s, Some(&all(up(0..2)))), Fetch::Full);
        assert_eq!(view.len(), held, "after {s} s");
    }
    // A loss of few is believed at once.
    let mut view = self::view(ViewSettings::default(), up(0..10));
    next(&mut view, 30, Some(&delta));
    next(&mut view, 30, Some(&all(up(0..8))));
    assert_eq!(view.len(), 8);
}

#[test]
fn what_is_not_up_is_never_chosen_and_what_is_avoided_comes_last() {
    let states = [
        InstanceStatus::Up,
        InstanceStatus::Starting,
        InstanceStatus::Down,
        InstanceStatus::OutOfService,
        InstanceStatus::Unknown,
    ];
    let fleet = states.iter().zip(0..).map(|(&status, n)| instance(n, "tampere-1", status)).collect();
    let mut view = view(ViewSettings::default(), fleet);
    for _ in 0..100 {
        assert_eq!(view.pick("tiles", |_| true).unwrap().id, "n0");
    }
    assert!(view.pick("nothing", |_| false).is_none());
}

proptest! {
    /// Any mix of changes by deltas, some of them lost: the view's code is the registry's after the full fetch that
    /// the wrong code brings, and never before a fetch says so.
    #[test]
    fn a_view_follows_its_registry(changes in prop::collection::vec((0_u16..40, 0_usize..4, any::<bool>()), 1..60)) {
        let zones = ["tampere-1", "jyvaskyla-1", "lahti-1"];
        let states = [InstanceStatus::Up, InstanceStatus::Down, InstanceStatus::OutOfService];
        let mut truth: std::collections::BTreeMap<u16, Instance> =
            (0..20).map(|n| (n, instance(n, zones[n as usize % 3], InstanceStatus::Up))).collect();
        // Doubts have tests of their own.
        let set = ViewSettings { min_remaining_share: 0.0, ..ViewSettings::default() };
        let mut view = view(set, truth.values().cloned().collect());
        for (step, (n, what, arrives)) in changes.into_iter().enumerate() {
            let s = 30 * (step as u64 + 1);
            let mut one = instance(n, zones[(step + n as usize) % 3], states[what % 3]);
            one.updated_ms = s;
            one.action = match (what, truth.contains_key(&n)) {
                (3, _) => ActionType::Deleted,
                (_, true) => ActionType::Modified,
                (_, false) => ActionType::Added,
            };
            if what == 3 { truth.remove(&n); } else { truth.insert(n, one.clone()); }
            let code = hash_code(truth.values().map(|i| i.status));
            let delta = Applications {
                hash_code: code.clone(),
                instances: if arrives { vec![one] } else { vec![] },
                ..Applications::default()
            };
            let full = all(truth.values().cloned().collect());
            let fetch = view.poll(at(s)).expect("a fetch is due");
            view.fetched(at(s), fetch, Some(if fetch == Fetch::Full { &full } else { &delta }));
            if view.poll(at(s)) == Some(Fetch::Full) {
                view.fetched(at(s), Fetch::Full, Some(&full));
            }
            prop_assert_eq!(view.hash_code(), code);
        }
        prop_assert_eq!(view.len(), truth.len());
    }
}
