//! Guards the format of release plans: every golden file must parse to the result of an earlier version.

use super::super::parse;

const FILES: &str = include_str!("../../../../tests/golden/plans.kdl");
const READ: &str = include_str!("../../../../tests/golden/plans.jsonl");

#[test]
fn reads_golden_files_of_plans_with_every_node_and_with_none() {
    let files = FILES.split("---\n").chain([include_str!("../../../../../../deploy/release.kdl")]);
    let plans = files.map(|file| parse(file).expect("a plan"));
    let read: String =
        plans.map(|plan| serde_json::to_string(&plan).expect("it is encoded") + "\n").collect();
    assert_eq!(read, READ);
}
