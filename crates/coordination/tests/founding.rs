//! Founding the consensus group is idempotent: after a lost response, with a voter that reports late, with differing settings.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{ALL, Fleet, SECOND, name};
use gradepin_admission::Span;
use gradepin_coordination::founding::FoundingError;

/// The response is lost and the request repeated: at once, at another voter, and when the group has been running for long.
#[test]
fn repeated_founding_has_the_same_response() {
    let mut fleet = Fleet::new(&[ALL; 3]);
    fleet.run(SECOND);
    let lost = fleet.found(1).expect("all are heard");
    assert_eq!(lost, "a council of n0, n1, n2 is founded");
    assert_eq!(fleet.found(1), Ok(lost.clone()), "at once");
    fleet.run(SECOND);
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(lost.clone()), "at n{n} before a leader");
    }
    fleet.run(Span(8 * SECOND.0));
    assert!(fleet.leader(0).is_some());
    let index = fleet.agents[0].state().expect("a record").index;
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(lost.clone()), "at n{n} of the group that runs");
    }
    fleet.run(SECOND);
    assert_eq!(fleet.agents[0].state().map(|record| record.index), Some(index), "and nothing began anew");
}

/// A voter that doesn't report is named in the error until it does. Voters are partitioned right after the response, for longer
/// than the founding is sent: another request founds the same group.
#[test]
fn late_voter_is_founded_by_another_request() {
    let mut fleet = Fleet::new(&[ALL; 3]);
    fleet.cut.insert(2);
    fleet.run(SECOND);
    assert_eq!(fleet.found(0), Err(FoundingError::NotHeard(name(2))));
    fleet.cut.clear();
    fleet.run(SECOND);
    let answer = fleet.found(0).expect("all are heard");
    fleet.cut.extend([1, 2]);
    fleet.run(Span(30 * SECOND.0));
    fleet.cut.clear();
    fleet.run(SECOND);
    assert_eq!(fleet.found(1), Err(FoundingError::RunsElsewhere(name(0))), "one that hasn't learned of it");
    assert_eq!(fleet.found(0), Ok(answer.clone()));
    fleet.run(Span(8 * SECOND.0));
    for n in 0..3 {
        assert_eq!(fleet.found(n), Ok(answer.clone()));
        assert!(fleet.leader(n).is_some(), "n{n} knows a leader");
    }
}

/// Other voters, and a server without voter state, get an error with what was expected and what there is.
#[test]
fn founding_with_other_voters_names_the_running_group() {
    let mut fleet = Fleet::new(&[&[0, 1, 2], &[0, 1, 2], &[0, 2, 3], &[0, 1, 2]]);
    fleet.run(SECOND);
    assert_eq!(fleet.found(3), Err(FoundingError::NoFolder));
    assert_eq!(fleet.found(2), Err(FoundingError::NoFolderAt(name(3))));
    fleet.found(0).expect("by its settings");
    // The group takes n2 over by its leader, though its settings name others.
    fleet.run(Span(10 * SECOND.0));
    let why = fleet.found(2).expect_err("its settings name others").to_string();
    assert_eq!(why, "a council of n0, n1, n2 runs already, the settings here name n0, n2, n3");
    assert!(fleet.found(0).is_ok() && fleet.found(1).is_ok());
}
