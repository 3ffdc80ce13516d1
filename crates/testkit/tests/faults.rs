//! The drill of faults in its small form, and a seeded defect for each oracle: it must be seen by that one and by no other.
//! Waits are upper bounds; what a late machine changes is not scored.

use gradepin_testkit::drill::Verdict;
use gradepin_testkit::drill::faults::oracles::Oracle;
use gradepin_testkit::drill::faults::plan::{Size, schedule};
use gradepin_testkit::drill::faults::{Defect, Drill, Report, run};
use gradepin_testkit::fleet;
use std::collections::BTreeSet;

/// Cases beside each other: most of each is the wait for the end of its drain.
const BESIDE: usize = 6;

fn play(seed: u64, defect: Option<Defect>) -> Report {
    let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
    let drill = Drill { daemon, seed, size: Size::SMALL, only: None, beside: BESIDE, defect };
    run(&drill).expect("it is played")
}

/// Guards against a seed that doesn't say what was played, and against a family of faults that is left out.
#[test]
fn a_seed_draws_the_same_schedule_each_time_and_every_family() {
    let cases = schedule(7, Size::FULL);
    assert_eq!(cases, schedule(7, Size::FULL));
    assert_ne!(cases, schedule(8, Size::FULL));
    let alone = cases.iter().filter(|case| case.faults.len() == 1);
    let families: BTreeSet<&str> = alone.map(|case| case.faults[0].family()).collect();
    assert_eq!(families.len(), 6, "{families:?}");
    assert!(cases.iter().any(|case| case.faults.len() == 2 && case.servers > 1));
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
