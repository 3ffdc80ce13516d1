use super::*;

fn tenant(name: &str, quota_rps: f64) -> Arc<Tenant> {
    Arc::new(Tenant { name: name.to_string(), quota_rps, portion: 0.0 })
}

/// Guards the slots of open requests across changes: a tenant keeps its slot, and a removed one stays known while there
/// are free slots, and gets its slot back if it is restored.
#[test]
fn tenants_keep_slots_and_get_them_back_after_removal() {
    let mut tenants = Tenants::new([tenant("a", 1.0), tenant("b", 1.0)]);
    assert_eq!((tenants.remove("a"), tenants.remove("a"), tenants.remove("none")), (Some(0), None, None));
    assert_eq!((tenants.in_force(), tenants.is_in_force("a"), tenants.name(0)), (1, false, Some("a")));
    let placed = tenants.put(tenant("c", 1.0));
    assert_eq!((placed.slot, placed.put, placed.evicted), (2, PutResult::Added, None));
    let back = tenants.put(tenant("a", 2.0));
    assert_eq!((back.slot, back.put, tenants.in_force()), (0, PutResult::Restored, 3));
    assert_eq!(tenants.put(tenant("a", 2.0)).put, PutResult::Unchanged);
    assert_eq!(tenants.put(tenant("a", 3.0)).put, PutResult::Changed);
}

/// Guards against a table that grows with the age of a process, and against slots that are reused while a request
/// refers to them.
#[test]
fn tenant_removed_longest_ago_is_evicted_unless_it_has_a_request() {
    let mut tenants = Tenants::new((0..MAX_TENANTS).map(|n| tenant(&format!("t{n}"), 1.0)));
    let (first, second) = (tenants.handle(0), tenants.handle(1));
    tenants.acquire(0);
    for n in 0..3 {
        assert_eq!(tenants.remove(&format!("t{n}")), Some(n));
    }
    let placed = tenants.put(tenant("new", 1.0));
    assert_eq!(
        (placed.slot, placed.evicted.map(|evicted| evicted.name.clone())),
        (1, Some("t1".to_string()))
    );
    assert_eq!((tenants.resolve(first), tenants.resolve(second)), (Some(0), None));
    assert_eq!(tenants.put(tenant("newer", 1.0)).slot, 2);
    // The only removed tenant left has an open request, so the table grows, within its limit.
    assert_eq!(tenants.put(tenant("newest", 1.0)).slot, MAX_TENANTS);
    tenants.release(0);
    tenants.remove("t9");
    assert_eq!(tenants.put(tenant("last", 1.0)).slot, 0);
    assert_eq!(tenants.free_slots(), MAX_TENANT_SLOTS - MAX_TENANTS - 1);
}
