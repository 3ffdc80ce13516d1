//! The drill of faults in its small form, and a seeded defect for each oracle: it must be seen by that one and by no other.
//! Waits are upper bounds; what a late machine changes is not scored.

use gradepin_kit::drill::Verdict;
use gradepin_kit::drill::faults::oracles::Oracle;
use gradepin_kit::drill::faults::plan::Size;
use gradepin_kit::drill::faults::{Defect, Drill, Report, run};
use gradepin_kit::fleet;

fn play(seed: u64, defect: Option<Defect>) -> Report {
    let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
    let drill = Drill { daemon, seed, size: Size::SMALL, only: None, beside: 3, defect };
    run(&drill).expect("it is played")
}

#[test]
fn the_small_form_holds_all_oracles() {
    for seed in [1, 2] {
        let report = play(seed, None);
        assert_ne!(report.verdict, Verdict::NotKept, "seed {seed}: {:#?}", report.failures);
    }
}

fn only_one_sees(defect: Defect, by: Oracle) {
    let report = play(3, Some(defect));
    assert_eq!(report.verdict, Verdict::NotKept);
    for oracle in Oracle::ALL {
        assert_eq!(report.held(oracle), oracle != by, "{oracle:?}: {:#?}", report.failures);
    }
}

#[test]
fn a_server_that_ends_before_its_stop_is_seen() {
    only_one_sees(Defect::Alive, Oracle::Alive);
}

#[test]
fn an_answer_that_is_dropped_is_seen() {
    only_one_sees(Defect::Answers, Oracle::Answers);
}

#[test]
fn a_valid_configuration_that_never_serves_is_seen() {
    only_one_sees(Defect::Starts, Oracle::Starts);
}

#[test]
fn a_result_that_no_run_made_is_seen() {
    only_one_sees(Defect::Provenance, Oracle::Provenance);
}
