mod golden;

use super::*;

#[test]
fn parses_a_valid_plan_and_reports_the_error_of_an_invalid_one() {
    let text = include_str!("../../../../../deploy/release.kdl");
    let plan = parse(text).unwrap();
    assert_eq!((plan.check(), plan.kind, plan.batches.len()), (Ok(()), ReleaseKind::Program, 3));
    assert!(describe(&plan).contains("wave 0: one server"));
    for (text, expected) in [
        ("", "expected one release"),
        ("release {\n}", "expected release to have one word"),
        ("release \"a\" {\nprogram \"b\"\nsettings \"c\"\n}", "expected one program or one settings"),
        ("release \"a\" {\nwave \"all\"\n}", "expected wave to have one number"),
        ("release \"a\" {\nwaves 3\n}", "an unknown node 'waves'"),
        ("release \"a\" {\nwave 1 pause-ms=-1\n}", "expected pause-ms to be a whole number"),
    ] {
        assert_eq!(parse(text).unwrap_err().to_string(), expected);
    }
}
