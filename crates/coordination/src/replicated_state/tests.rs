//! Permits, limits and the roster, and the bounds on the size of the replicated state.

use super::operator_actions::MAX_OPERATOR_ACTIONS;
use super::*;
use std::collections::BTreeSet;
use std::sync::Arc;

fn name(text: &str) -> Name {
    Arc::from(text)
}

fn server(text: &str) -> Target {
    Target::Server(name(text))
}

/// Nine servers in three zones. Limits: two servers in all, one per zone, two replicas of the ledger.
fn state() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let services = [(name("ledger"), 2)].into();
    state.apply(1, Command::Limits(Limits { fleet: 2, zone: 1, zones: 0, services }));
    for n in 0..9 {
        let zone = name(&format!("z{}", n % 3));
        state.apply(2 + n, Command::AddServer { name: name(&format!("n{n}")), zone });
    }
    state
}

fn reserve(state: &mut ReplicatedState, index: u64, target: Target) -> CommandOutcome {
    let holder = name(&format!("by {target}"));
    state.apply(index, Command::Reserve { target, holder, incarnation: 1, purpose: Purpose::Drain })
}

/// Covers the limits of the fleet, of a zone and of a service; a denial lists the servers that are out.
#[test]
fn denies_permits_beyond_the_limits() {
    let mut state = state();
    assert_eq!(
        reserve(&mut state, 20, server("n0")),
        CommandOutcome::Permit { epoch: 20, stage: PermitStage::Reserved }
    );
    let CommandOutcome::Denied(reason) = reserve(&mut state, 21, server("n3")) else {
        panic!("expected a denial for the second server of zone z0")
    };
    assert_eq!(
        reason.to_string(),
        "2 servers of zone z0 would be out of service, the limit is 1; out already: n0"
    );
    assert_eq!(
        reserve(&mut state, 22, server("n1")),
        CommandOutcome::Permit { epoch: 22, stage: PermitStage::Reserved }
    );
    let CommandOutcome::Denied(reason) = reserve(&mut state, 23, server("n2")) else {
        panic!("expected a denial for the third server of the fleet")
    };
    assert_eq!(
        reason.to_string(),
        "3 servers of the fleet would be out of service, the limit is 2; out already: n0, n1"
    );
    assert!(matches!(
        reserve(&mut state, 24, server("stranger")),
        CommandOutcome::Denied(DenialReason::Unknown(_))
    ));
    assert!(matches!(
        reserve(&mut state, 24, Target::Zone(name("z2"))),
        CommandOutcome::Denied(DenialReason::Fleet { .. })
    ));
    let replica = |n: &str| Target::Service { service: name("ledger"), member: name(n) };
    assert_eq!(
        reserve(&mut state, 25, replica("a")),
        CommandOutcome::Permit { epoch: 25, stage: PermitStage::Reserved }
    );
    assert_eq!(
        reserve(&mut state, 26, replica("b")),
        CommandOutcome::Permit { epoch: 26, stage: PermitStage::Reserved }
    );
    assert!(matches!(
        reserve(&mut state, 27, replica("c")),
        CommandOutcome::Denied(DenialReason::Service { .. })
    ));
    let limits = state.limits.clone();
    assert!(state.is_within(&limits) && !state.is_within(&Limits { fleet: 1, ..limits }));
}

/// Servers that are out without a permit (killed, partitioned, stopped by the platform) count against the limits, but not twice
/// if they have a permit too.
#[test]
fn servers_out_without_a_permit_count_once() {
    let mut state = state();
    let unplanned = |names: &[&str]| names.iter().map(|n| name(n)).collect::<BTreeSet<Name>>();
    assert!(state.fits(&server("n0"), &unplanned(&["n1"])).is_ok());
    assert!(matches!(state.fits(&server("n0"), &unplanned(&["n3"])), Err(DenialReason::Zone { .. })));
    assert!(matches!(state.fits(&server("n0"), &unplanned(&["n1", "n2"])), Err(DenialReason::Fleet { .. })));
    // A server that has a permit and doesn't report counts once, and its request may be repeated.
    reserve(&mut state, 20, server("n1"));
    assert!(state.fits(&server("n0"), &unplanned(&["n1"])).is_ok());
    assert!(state.fits(&server("n1"), &unplanned(&["n1", "n2"])).is_ok());
    // Servers outside the roster don't count.
    assert!(state.fits(&server("n0"), &unplanned(&["stranger", "other"])).is_ok());
}

/// A repeated request gets the same permit, and another holder is denied. A released permit counts until it expires and isn't
/// granted meanwhile; its epoch is never used again.
#[test]
fn repeated_requests_get_the_same_permit() {
    let mut state = state();
    reserve(&mut state, 20, server("n0"));
    assert_eq!(
        reserve(&mut state, 21, server("n0")),
        CommandOutcome::Permit { epoch: 20, stage: PermitStage::Reserved }
    );
    let holder = name("by n0");
    let begin = |state: &mut ReplicatedState, at, epoch, holder: &Name| {
        state.apply(at, Command::Begin { epoch, holder: Arc::clone(holder), incarnation: 1 })
    };
    assert!(matches!(
        begin(&mut state, 22, 20, &name("x")),
        CommandOutcome::Denied(DenialReason::OtherHolder { .. })
    ));
    assert_eq!(
        begin(&mut state, 23, 20, &holder),
        CommandOutcome::Permit { epoch: 20, stage: PermitStage::Begun }
    );
    assert_eq!(
        begin(&mut state, 24, 20, &holder),
        CommandOutcome::Permit { epoch: 20, stage: PermitStage::Begun },
        "a repeated grant keeps the stage"
    );
    state.apply(
        25,
        Command::ReleasePermit { epoch: 20, operator: name("kaisa"), reason: "its board is dead".into() },
    );
    assert_eq!(begin(&mut state, 26, 20, &holder), CommandOutcome::Denied(DenialReason::Stale(20)));
    assert_eq!(reserve(&mut state, 27, server("n0")), CommandOutcome::Denied(DenialReason::Stale(20)));
    assert!(
        matches!(state.fits(&server("n3"), &BTreeSet::new()), Err(DenialReason::Zone { .. })),
        "the released permit still counts"
    );
    state.apply(28, Command::PermitExpired { epoch: 20 });
    assert!(state.fits(&server("n3"), &BTreeSet::new()).is_ok());
    assert_eq!(begin(&mut state, 29, 20, &holder), CommandOutcome::Denied(DenialReason::Stale(20)));
    let action = state.operator_actions.back().unwrap();
    assert_eq!((action.index, &*action.operator, &*action.reason), (25, "kaisa", "its board is dead"));
    assert_eq!(
        reserve(&mut state, 30, server("n0")),
        CommandOutcome::Permit { epoch: 30, stage: PermitStage::Reserved }
    );
}

/// Guards against an end that revokes a grant committed after the end was observed, and against a late cancellation by an
/// earlier incarnation that revokes the right of a later one. Found by the model checker (`gradepin-testkit`).
#[test]
fn denies_an_end_after_another_grant() {
    let mut state = state();
    reserve(&mut state, 20, server("n0"));
    let holder = name("by n0");
    let begin = |incarnation_number| Command::Begin {
        epoch: 20,
        holder: Arc::clone(&holder),
        incarnation: incarnation_number,
    };
    state.apply(21, begin(1));
    state.apply(22, begin(1));
    let end = |by| Command::End { epoch: 20, observed: by };
    assert!(
        matches!(state.apply(23, end(PermitEnd::Stable(1))), CommandOutcome::Denied(_)),
        "another grant to begin is committed"
    );
    state.apply(24, begin(2));
    assert!(
        matches!(state.apply(25, end(PermitEnd::HolderCancelled(1))), CommandOutcome::Denied(_)),
        "a later incarnation has the permit"
    );
    assert!(matches!(state.fits(&server("n3"), &BTreeSet::new()), Err(DenialReason::Zone { .. })));
    assert_eq!(state.apply(26, end(PermitEnd::Stable(3))), CommandOutcome::Done);
    assert!(matches!(
        state.apply(27, end(PermitEnd::HolderCancelled(2))),
        CommandOutcome::Denied(DenialReason::Stale(20))
    ));
}

/// Guards against unbounded growth of the state by operator actions, long reasons or added servers.
#[test]
fn operator_actions_reasons_and_roster_are_bounded() {
    let mut state = state();
    for n in 0..500 {
        let why = "x".repeat(1_000);
        state
            .apply(100 + n, Command::RemoveServer { name: name("n0"), operator: name("kaisa"), reason: why });
        state.apply(100 + n, Command::AddServer { name: name("n0"), zone: name("z0") });
    }
    assert!(
        state.operator_actions.len() == MAX_OPERATOR_ACTIONS
            && state.operator_actions[0].reason.len() == MAX_TEXT_BYTES
    );
    for n in 0..MAX_SERVERS as u64 + 10 {
        state.apply(1_000 + n, Command::AddServer { name: name(&format!("m{n}")), zone: name("z0") });
    }
    assert_eq!(state.roster.len(), MAX_SERVERS);
}
