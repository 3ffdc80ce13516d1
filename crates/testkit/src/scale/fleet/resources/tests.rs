use super::*;

const PLENTY: Available = Available { descriptors: 20_000, memory: 64 << 30, processes: 10_000 };
const TARGET: RequiredResources = RequiredResources { hollow: 1_097, real: 3, hosts: 8 };

/// Each shortage is reported with the required and the available amount.
#[test]
fn insufficient_resources_are_reported_before_the_start() {
    assert_eq!(TARGET.check(&PLENTY), Ok(()));
    let few = Available { descriptors: 100, ..PLENTY };
    let short = TARGET.check(&few).unwrap_err();
    assert_eq!(short, InsufficientResources::Descriptors { needed: 138 + HOST_DESCRIPTORS, have: 100 });
    assert!(short.to_string().contains("ulimit -n"), "{short}");
    let little = Available { memory: 1 << 30, ..PLENTY };
    let short = TARGET.check(&little).unwrap_err();
    assert!(matches!(short, InsufficientResources::Memory { servers: 1_100, have_mb: 1_024, .. }), "{short}");
    let crowd = RequiredResources { hosts: 400, ..TARGET };
    assert_eq!(crowd.check(&PLENTY), Err(InsufficientResources::Processes { needed: 404, have: 300 }));
}

/// The limit of 12 GiB applies however much memory the machine has.
#[test]
fn fleet_beyond_the_memory_limit_is_rejected() {
    let large = RequiredResources { hollow: 20_000, ..TARGET };
    assert!(matches!(large.check(&PLENTY), Err(InsufficientResources::Memory { have_mb: 12_288, .. })));
}
