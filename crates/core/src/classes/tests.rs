use super::*;

fn class(name: &str, effect: Idempotency, window: u64, deadline: u64) -> Arc<ClassDefinition> {
    let mut class = ClassDefinition::default();
    (class.profile.name, class.profile.effect) = (name.to_string(), effect);
    (class.profile.window, class.profile.deadline) = (Span(window), Span(deadline));
    Arc::new(class)
}

fn plain(name: &str, deadline: u64) -> Arc<ClassDefinition> {
    class(name, Idempotency::Idempotent, 0, deadline)
}

fn names(classes: &Classes) -> Vec<(&str, u64)> {
    classes.iter().map(|(_, class)| (class.profile.name.as_str(), class.profile.deadline.0)).collect()
}

fn grace(since: u64, more: u64) -> Time {
    time_after(time_after(Time(since), DROP_GRACE), Span(more))
}

/// Guards open requests and counts across a change: slots stay, new classes get further ones, requests of dropped classes are
/// accepted for the grace and not after, and those of a restored class again.
#[test]
fn classes_keep_slots_and_dropped_ones_are_rejected_after_the_grace() {
    let mut classes = Classes::new([plain("view", 4), plain("save", 4)]);
    assert_eq!(classes.remove(Time(100), "save"), Some(1));
    assert_eq!(classes.put(Time(100), plain("save-v2", 5)), (2, Put::Added));
    assert_eq!(classes.put(Time(100), plain("view", 9)), (0, Put::Changed));
    assert_eq!(classes.put(Time(100), plain("view", 9)), (0, Put::Same));
    assert_eq!(names(&classes), vec![("view", 9), ("save", 4), ("save-v2", 5)]);
    assert!(classes.accepts_requests(0, Time(100)) && classes.accepts_requests(2, Time(100)));
    assert!(
        classes.accepts_requests(1, Time(grace(100, 0).0 - 1)) && !classes.accepts_requests(1, grace(100, 0))
    );
    assert!(!classes.accepts_requests(3, Time(100)), "no class has that slot");
    assert_eq!((classes.in_force(), classes.is_in_force("save"), classes.has_slot("save")), (2, false, true));
    assert_eq!(classes.put(Time(200), plain("save", 7)), (1, Put::Back));
    assert!(classes.accepts_requests(1, Time(u64::MAX)));
    assert!(classes.settle(Time(u64::MAX), 9).is_empty(), "what got back is not freed by its drop");
}

/// Guards against a slot that is reused while something refers to it, and one that is never reused.
#[test]
fn slot_is_freed_after_its_grace_windows_and_requests() {
    let mut classes = Classes::new([plain("view", 4), class("save", Idempotency::Keyed, 700, 4)]);
    for slot in 0..2 {
        classes.acquire(slot);
    }
    let old = classes.handle(0);
    assert_eq!((classes.remove(Time(100), "view"), classes.remove(Time(100), "save")), (Some(0), Some(1)));
    assert!(classes.settle(Time(u64::MAX / 2), 9).is_empty(), "requests are open");
    classes.release(0);
    assert!(classes.settle(Time(grace(100, 0).0 - 1), 9).is_empty(), "the grace");
    assert_eq!(classes.settle(grace(100, 0), 9), [Settled::Freed(0, plain("view", 4))]);
    assert_eq!((classes.resolve(old), classes.get(0).profile.name.as_str()), (None, ""));
    classes.release(1);
    assert!(classes.settle(grace(100, 699), 9).is_empty(), "the window");
    assert_eq!(classes.put(grace(100, 699), plain("other", 1)), (0, Put::Added));
    assert_ne!(classes.handle(0), old);
    assert_eq!(classes.settle(grace(100, 700), 9).len(), 1);
    assert_eq!((names(&classes), classes.longest_window()), (vec![("other", 1)], Span(0)));
}

/// Guards against a table that grows with the age of a process, whatever number of names it has had.
#[test]
fn many_names_over_time_take_few_slots() {
    let mut classes = Classes::new([plain("stays", 1)]);
    for n in 0..3 * MAX_CLASSES as u64 {
        let now = Time(n * DROP_GRACE.0);
        let name = format!("class-{n}");
        classes.put(now, plain(&name, 1));
        assert!(classes.remove(now, &name).is_some());
        classes.settle(now, 4);
    }
    assert!(classes.free_slots() >= MAX_CLASS_SLOTS - 4, "{}", classes.free_slots());
    let mut many = Settings { profiles: vec![plain("a", 1).profile.clone(); 2], ..Settings::default() };
    assert_eq!(check(&many), Err(NamesError::Twice { what: "profiles", name: "a".into() }));
    let profile = |n: usize| ClassProfile { name: n.to_string(), ..many.profiles[0].clone() };
    many.profiles = (0..=MAX_CLASSES).map(profile).collect();
    let got = MAX_CLASSES + 1;
    assert_eq!(check(&many), Err(NamesError::TooMany { what: "profiles", max: MAX_CLASSES, got }));
    many.profiles.pop();
    assert_eq!(check(&many), Ok(()));
}

/// Guards the window of a run under a key across changes that make its class no longer keyed, and keyed again.
#[test]
fn class_stays_keyed_until_its_last_window_is_over() {
    let of = |effect| class("save", effect, if effect == Idempotency::Keyed { 700 } else { 0 }, 4);
    let holds = |classes: &Classes| (classes.profile(0).effect, classes.profile(0).window);
    let mut classes = Classes::new([of(Idempotency::Keyed)]);
    classes.put(Time(100), of(Idempotency::NonIdempotent));
    assert_eq!(classes.defined(0).profile.effect, Idempotency::NonIdempotent);
    assert_eq!(holds(&classes), (Idempotency::Keyed, Span(700)));
    // Other changes meanwhile neither lengthen nor shorten it.
    classes.put(Time(200), of(Idempotency::Idempotent));
    let until = grace(800, 0);
    assert!(classes.settle(Time(until.0 - 1), 9).is_empty());
    assert_eq!(holds(&classes), (Idempotency::Keyed, Span(700)));
    assert_eq!(classes.settle(until, 9), [Settled::Unkeyed(0)]);
    assert!(classes.settle(until, 9).is_empty());
    assert_eq!(holds(&classes), (Idempotency::Idempotent, Span(0)));
    for (at, effect) in
        [(300, Idempotency::Keyed), (400, Idempotency::NonIdempotent), (500, Idempotency::Keyed)]
    {
        classes.put(time_after(until, Span(at)), of(effect));
    }
    assert!(classes.settle(Time(u64::MAX), 9).is_empty());
    assert_eq!(holds(&classes), (Idempotency::Keyed, Span(700)));
}

/// Guards a run that started under a long window against a change to a short one and then to none: the long one counts.
#[test]
fn longest_window_of_former_definitions_counts() {
    let mut classes = Classes::new([class("save", Idempotency::Keyed, 9_000, 4)]);
    classes.put(Time(100), class("save", Idempotency::Keyed, 10, 4));
    assert_eq!(classes.longest_window(), Span(10));
    classes.put(Time(200), plain("save", 4));
    assert!(classes.settle(Time(grace(9_200, 0).0 - 1), 9).is_empty());
    assert_eq!(classes.profile(0).window, Span(9_000));
    assert_eq!(classes.settle(grace(9_200, 0), 9), [Settled::Unkeyed(0)]);
}
