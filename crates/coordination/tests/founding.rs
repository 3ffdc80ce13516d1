//! Founding the consensus group is idempotent: after a lost response, with a voter that reports late, with differing settings.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{ALL_VOTERS, Fleet, SECOND, name};
use gradepin_admission::Span;
use gradepin_coordination::founding::FoundingError;

/// The first response is lost and the request repeated: at once, at other voters, and when the group has been running for a
/// while.
#[test]
fn repeated_founding_has_the_same_response() {
    let mut fleet = Fleet::new(&[ALL_VOTERS; 3]);
    fleet.run(SECOND);
    let response = fleet.found(1).expect("all voters report");
    assert_eq!(response, "a council of n0, n1, n2 is founded");
    assert_eq!(fleet.found(1), Ok(response.clone()), "at once");
    fleet.run(SECOND);
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(response.clone()), "at n{n} before there is a leader");
    }
    fleet.run(Span(8 * SECOND.0));
    assert!(fleet.leader(0).is_some());
    let index = fleet.agents[0].state().expect("a voter has the state").index;
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(response.clone()), "at n{n} of the running group");
    }
    fleet.run(SECOND);
    assert_eq!(
        fleet.agents[0].state().map(|state| state.index),
        Some(index),
        "the group is not founded again"
    );
}

/// The error names a voter that doesn't report. Voters that are partitioned right after the response, for longer than the
/// founding is sent, are founded by another request at the same voter.
#[test]
fn late_voter_is_founded_by_another_request() {
    let mut fleet = Fleet::new(&[ALL_VOTERS; 3]);
    fleet.partitioned.insert(2);
    fleet.run(SECOND);
    assert_eq!(fleet.found(0), Err(FoundingError::NotHeard(name(2))));
    fleet.partitioned.clear();
    fleet.run(SECOND);
    let response = fleet.found(0).expect("all voters report");
    fleet.partitioned.extend([1, 2]);
    fleet.run(Span(30 * SECOND.0));
    fleet.partitioned.clear();
    fleet.run(SECOND);
    assert_eq!(fleet.found(1), Err(FoundingError::RunsElsewhere(name(0))), "n1 missed the founding");
    assert_eq!(fleet.found(0), Ok(response.clone()));
    fleet.run(Span(8 * SECOND.0));
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(response.clone()));
        assert!(fleet.leader(n).is_some(), "n{n} knows a leader");
    }
}

/// A server whose settings name other voters, or that has no voter state, gets an error that says what it has and what is
/// expected.
#[test]
fn founding_with_other_voters_names_the_running_group() {
    let mut fleet = Fleet::new(&[&[0, 1, 2], &[0, 1, 2], &[0, 2, 3], &[0, 1, 2]]);
    fleet.run(SECOND);
    assert_eq!(fleet.found(3), Err(FoundingError::NoFolder));
    assert_eq!(fleet.found(2), Err(FoundingError::NoFolderAt(name(3))));
    fleet.found(0).expect("the settings of n0 name voters that report");
    // The leader adds n2 to the group, although the settings of n2 name other voters.
    fleet.run(Span(10 * SECOND.0));
    let error = fleet.found(2).expect_err("the settings of n2 name other voters").to_string();
    assert_eq!(error, "a council of n0, n1, n2 runs already, the settings here name n0, n2, n3");
    assert!(fleet.found(0).is_ok() && fleet.found(1).is_ok());
}
