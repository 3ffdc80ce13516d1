//! The fault drill with the small schedule, and one injected defect per oracle, which only that oracle must detect. Timeouts
//! are upper bounds, and runs on an overloaded machine are not scored.

use gradepin_testkit::drill::Verdict;
use gradepin_testkit::drill::faults::oracles::Oracle;
use gradepin_testkit::drill::faults::plan::{Size, schedule};
use gradepin_testkit::drill::faults::{Defect, Drill, Report, run};
use gradepin_testkit::fleet;
use std::collections::BTreeSet;

/// Concurrent cases; each mostly waits for the end of its drain.
const CONCURRENT_CASES: usize = 6;

fn play(seed: u64, defect: Option<Defect>) -> Report {
    let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
    let drill = Drill { daemon, seed, size: Size::SMALL, only: None, beside: CONCURRENT_CASES, defect };
    run(&drill).expect("it is played")
}

/// Guards against schedules that a seed doesn't reproduce, and against missing families of faults.
#[test]
fn seed_reproduces_a_schedule_with_every_fault_family() {
    let cases = schedule(7, Size::FULL);
    assert_eq!(cases, schedule(7, Size::FULL));
    assert_ne!(cases, schedule(8, Size::FULL));
    let alone = cases.iter().filter(|case| case.faults.len() == 1);
    let families: BTreeSet<&str> = alone.map(|case| case.faults[0].family()).collect();
    assert_eq!(families.len(), 6, "{families:?}");
    assert!(cases.iter().any(|case| case.faults.len() == 2 && case.servers > 1));
}

#[test]
fn small_schedule_satisfies_all_oracles() {
    for seed in [1, 2] {
        let report = play(seed, None);
        assert_ne!(report.verdict, Verdict::NotKept, "seed {seed}: {:#?}", report.failures);
    }
}

fn assert_only_detected_by(defect: Defect, by: Oracle) {
    let report = play(3, Some(defect));
    assert_eq!(report.verdict, Verdict::NotKept);
    for oracle in Oracle::ALL {
        assert_eq!(report.held(oracle), oracle != by, "{oracle:?}: {:#?}", report.failures);
    }
}

#[test]
fn early_exit_of_a_server_is_detected() {
    assert_only_detected_by(Defect::Alive, Oracle::Alive);
}

#[test]
fn dropped_answer_is_detected() {
    assert_only_detected_by(Defect::Answers, Oracle::Answers);
}

#[test]
fn valid_configuration_that_never_serves_is_detected() {
    assert_only_detected_by(Defect::Starts, Oracle::Starts);
}

#[test]
fn result_without_a_run_is_detected() {
    assert_only_detected_by(Defect::Provenance, Oracle::Provenance);
}
