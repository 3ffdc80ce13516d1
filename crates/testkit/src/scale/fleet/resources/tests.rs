use super::*;

const PLENTY: Available = Available { descriptors: 20_000, memory: 64 << 30, processes: 10_000 };
const TARGET: Wanted = Wanted { hollow: 1_097, real: 3, hosts: 8 };

/// Guards a run that can't end well from beginning: each shortage is named with what is needed and what there is.
#[test]
fn what_is_short_is_said_before_anything_starts() {
    assert_eq!(TARGET.check(&PLENTY), Ok(()));
    let few = Available { descriptors: 100, ..PLENTY };
    let short = TARGET.check(&few).unwrap_err();
    assert_eq!(short, Short::Descriptors { needed: 138 + DESCRIPTORS_BESIDE, have: 100 });
    assert!(short.to_string().contains("ulimit -n"), "{short}");
    let little = Available { memory: 1 << 30, ..PLENTY };
    let short = TARGET.check(&little).unwrap_err();
    assert!(matches!(short, Short::Memory { servers: 1_100, have_mb: 1_024, .. }), "{short}");
    let crowd = Wanted { hosts: 400, ..TARGET };
    assert_eq!(crowd.check(&PLENTY), Err(Short::Processes { needed: 404, have: 300 }));
}

/// Guards the bound of a run itself: however much the machine has, it takes no more than 12 GB.
#[test]
fn a_fleet_past_the_bound_on_memory_is_not_begun() {
    let large = Wanted { hollow: 20_000, ..TARGET };
    assert!(matches!(large.check(&PLENTY), Err(Short::Memory { have_mb: 12_288, .. })));
}
