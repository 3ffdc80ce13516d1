//! Names of the previous version, which this version still accepts.

use super::super::OperatorSettings;

const REQUIRED: &str = "listen \"127.0.0.1:7\"\nseed \"127.0.0.1:7\"\nkey-file \"k\"\n";

fn cluster(more: &str) -> String {
    format!("cluster {{\n{REQUIRED}{more}\n}}")
}

/// Guards fleets whose settings were written for the previous version: each old name keeps its meaning, and causes a
/// warning with its line.
#[test]
fn accepts_old_names_with_a_warning() {
    let old = "probe-ms 2000\nanswer-ms 500\nsuspect-ms 5000\nbytes-a-second 16000\nrepeats 0.5\nprobes-a-second 3\n\
               slots {\nlease-ms 1500\ncall-ms 1000\ndrift 0.02\npart 0.5\ndrill-ignores-ends #true\n}";
    let new = "probe-period-ms 2000\nprobe-timeout-ms 500\nsuspicion-timeout-ms 5000\nmax-bytes-per-second 16000\n\
               retry-ratio 0.5\nprobes-per-second 3\nleases {\nduration-ms 1500\nmax-call-ms 1000\nmax-clock-drift 0.02\n\
               lendable-share 0.5\ndrill-ignore-expiry #true\n}";
    let with_old_names = OperatorSettings::parse(&cluster(old)).expect("old names are accepted");
    let with_new_names = OperatorSettings::parse(&cluster(new)).expect("new names are accepted");
    assert_eq!(with_old_names.cluster, with_new_names.cluster);
    let default = OperatorSettings::parse(&cluster("leases {\n}")).expect("all nodes are optional").cluster;
    assert_ne!(with_new_names.cluster, default, "all nodes are read");
    assert_eq!(with_new_names.warnings, []);
    let warnings: Vec<String> = with_old_names.warnings.iter().map(ToString::to_string).collect();
    assert_eq!(warnings.len(), 12, "{warnings:#?}");
    assert_eq!(
        warnings[0],
        "line 5, column 1: 'probe-ms' was renamed to 'probe-period-ms'; the next version will reject the old name"
    );
    assert!(warnings[6].starts_with("line 11, column 1: 'slots' was renamed to 'leases'"), "{}", warnings[6]);
    assert!(warnings[11].starts_with("line 16, column 1: 'drill-ignores-ends'"), "{}", warnings[11]);
}

/// Guards against a file with two values for the same setting.
#[test]
fn rejects_an_old_name_beside_its_new_one() {
    let both = "probe-period-ms 2000\nprobe-ms 1000";
    let problems = OperatorSettings::parse(&cluster(both)).expect_err("two values");
    let first = problems[0].to_string();
    assert_eq!(
        first,
        "line 6, column 1: 'probe-ms' is the old name of 'probe-period-ms', which is present too"
    );
}

/// Guards against accepting an old name in another block.
#[test]
fn rejects_an_old_name_in_another_block() {
    let problems =
        OperatorSettings::parse(&cluster("leases {\nprobe-ms 1000\n}")).expect_err("an unknown node");
    assert_eq!(problems[0].to_string(), "line 6, column 1: an unknown node 'probe-ms'");
}
