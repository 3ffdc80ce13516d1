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

/// Guards open requests and counts across changes: slots are stable, new classes get further ones, and requests of
/// dropped classes are accepted only during the grace period, those of restored classes again.
#[test]
fn classes_keep_slots_and_dropped_ones_are_rejected_after_the_grace() {
    let mut classes = Classes::new([plain("view", 4), plain("save", 4)]);
    assert_eq!(classes.remove(Time(100), "save"), Some(1));
    assert_eq!(classes.put(Time(100), plain("save-v2", 5)), (2, PutResult::Added));
    assert_eq!(classes.put(Time(100), plain("view", 9)), (0, PutResult::Changed));
    assert_eq!(classes.put(Time(100), plain("view", 9)), (0, PutResult::Unchanged));
    assert_eq!(names(&classes), vec![("view", 9), ("save", 4), ("save-v2", 5)]);
    assert!(classes.accepts_requests(0, Time(100)) && classes.accepts_requests(2, Time(100)));
    assert!(
        classes.accepts_requests(1, Time(grace(100, 0).0 - 1)) && !classes.accepts_requests(1, grace(100, 0))
    );
    assert!(!classes.accepts_requests(3, Time(100)), "no class has this slot");
    assert_eq!((classes.in_force(), classes.is_in_force("save"), classes.has_slot("save")), (2, false, true));
    assert_eq!(classes.put(Time(200), plain("save", 7)), (1, PutResult::Restored));
    assert!(classes.accepts_requests(1, Time(u64::MAX)));
    assert!(
        classes.expire_slots(Time(u64::MAX), 9).is_empty(),
        "the earlier drop must not free a restored class"
    );
}

/// Guards against slots that are reused while something refers to them, and against slots that are never reused.
#[test]
fn slot_is_freed_after_its_grace_windows_and_requests() {
    let mut classes = Classes::new([plain("view", 4), class("save", Idempotency::Keyed, 700, 4)]);
    for slot in 0..2 {
        classes.acquire(slot);
    }
    let old = classes.handle(0);
    assert_eq!((classes.remove(Time(100), "view"), classes.remove(Time(100), "save")), (Some(0), Some(1)));
    assert!(classes.expire_slots(Time(u64::MAX / 2), 9).is_empty(), "requests are still open");
    classes.release(0);
    assert!(classes.expire_slots(Time(grace(100, 0).0 - 1), 9).is_empty(), "the grace period is not over");
    assert_eq!(classes.expire_slots(grace(100, 0), 9), [SlotExpiry::Freed(0, plain("view", 4))]);
    assert_eq!((classes.resolve(old), classes.get(0).profile.name.as_str()), (None, ""));
    classes.release(1);
    assert!(classes.expire_slots(grace(100, 699), 9).is_empty(), "the window is not over");
    assert_eq!(classes.put(grace(100, 699), plain("other", 1)), (0, PutResult::Added));
    assert_ne!(classes.handle(0), old);
    assert_eq!(classes.expire_slots(grace(100, 700), 9).len(), 1);
    assert_eq!((names(&classes), classes.longest_window()), (vec![("other", 1)], Span(0)));
}

/// Guards against a table that grows with the number of names that a process has ever had.
#[test]
fn slots_of_forgotten_names_are_reused() {
    let mut classes = Classes::new([plain("stays", 1)]);
    for n in 0..3 * MAX_CLASSES as u64 {
        let now = Time(n * DROP_GRACE.0);
        let name = format!("class-{n}");
        classes.put(now, plain(&name, 1));
        assert!(classes.remove(now, &name).is_some());
        classes.expire_slots(now, 4);
    }
    assert!(classes.free_slots() >= MAX_CLASS_SLOTS - 4, "{}", classes.free_slots());
    let mut many = Settings { profiles: vec![plain("a", 1).profile.clone(); 2], ..Settings::default() };
    assert_eq!(check(&many), Err(NamesError::Duplicate { list: "profiles", name: "a".into() }));
    let profile = |n: usize| ClassProfile { name: n.to_string(), ..many.profiles[0].clone() };
    many.profiles = (0..=MAX_CLASSES).map(profile).collect();
    let got = MAX_CLASSES + 1;
    assert_eq!(check(&many), Err(NamesError::TooMany { list: "profiles", max: MAX_CLASSES, got }));
    many.profiles.pop();
    assert_eq!(check(&many), Ok(()));
}

/// Guards the window of a run under a key while its class stops being keyed and becomes keyed again.
#[test]
fn class_stays_keyed_until_its_last_window_is_over() {
    let of = |effect| class("save", effect, if effect == Idempotency::Keyed { 700 } else { 0 }, 4);
    let holds = |classes: &Classes| (classes.profile(0).effect, classes.profile(0).window);
    let mut classes = Classes::new([of(Idempotency::Keyed)]);
    classes.put(Time(100), of(Idempotency::NonIdempotent));
    assert_eq!(classes.configured(0).profile.effect, Idempotency::NonIdempotent);
    assert_eq!(holds(&classes), (Idempotency::Keyed, Span(700)));
    // Further changes neither extend nor shorten it.
    classes.put(Time(200), of(Idempotency::Idempotent));
    let until = grace(800, 0);
    assert!(classes.expire_slots(Time(until.0 - 1), 9).is_empty());
    assert_eq!(holds(&classes), (Idempotency::Keyed, Span(700)));
    assert_eq!(classes.expire_slots(until, 9), [SlotExpiry::Unkeyed(0)]);
    assert!(classes.expire_slots(until, 9).is_empty());
    assert_eq!(holds(&classes), (Idempotency::Idempotent, Span(0)));
    for (at, effect) in
        [(300, Idempotency::Keyed), (400, Idempotency::NonIdempotent), (500, Idempotency::Keyed)]
    {
        classes.put(time_after(until, Span(at)), of(effect));
    }
    assert!(classes.expire_slots(Time(u64::MAX), 9).is_empty());
    assert_eq!(holds(&classes), (Idempotency::Keyed, Span(700)));
}

/// Guards a run that started under a long window against changes to a short window and then to none: the long one
/// applies.
#[test]
fn longest_window_of_former_definitions_applies() {
    let mut classes = Classes::new([class("save", Idempotency::Keyed, 9_000, 4)]);
    classes.put(Time(100), class("save", Idempotency::Keyed, 10, 4));
    assert_eq!(classes.longest_window(), Span(10));
    classes.put(Time(200), plain("save", 4));
    assert!(classes.expire_slots(Time(grace(9_200, 0).0 - 1), 9).is_empty());
    assert_eq!(classes.profile(0).window, Span(9_000));
    assert_eq!(classes.expire_slots(grace(9_200, 0), 9), [SlotExpiry::Unkeyed(0)]);
}
