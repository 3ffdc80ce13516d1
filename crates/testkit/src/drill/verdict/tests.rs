//! What claims come to on a machine in time and on a late one.

use super::*;

fn claims(late: bool, always: bool, timed: bool) -> Claims {
    let mut claims = Claims::on_machine(late.then(|| "612 ms at one beat, 500 allowed".to_string()));
    claims.claim(always, "nothing ran twice", 0);
    claims.timed(timed, "it took no longer than its parts", "22.0 s");
    claims
}

#[test]
fn a_run_that_is_not_scored_never_counts_as_kept() {
    let cases = [
        (false, true, true, Verdict::Kept),
        (false, true, false, Verdict::NotKept),
        (false, false, true, Verdict::NotKept),
        (true, true, true, Verdict::NotScored),
        (true, true, false, Verdict::NotScored),
        // What a late machine can't excuse is not kept.
        (true, false, true, Verdict::NotKept),
        (true, false, false, Verdict::NotKept),
    ];
    for (late, always, timed, verdict) in cases {
        let claims = claims(late, always, timed);
        assert_eq!(claims.verdict(), verdict, "late {late}, always {always}, timed {timed}");
        assert_eq!(claims.all_kept(), verdict == Verdict::Kept);
        assert!(!(late && claims.all_kept()));
    }
}

#[test]
fn the_lines_and_the_status_tell_the_three_apart() {
    let words = |late, always, timed| -> Vec<String> {
        let claims = claims(late, always, timed);
        claims.lines.iter().map(|(_, _, line)| line[..10].trim().to_string()).collect()
    };
    assert_eq!(words(false, true, false), ["kept", "NOT KEPT"]);
    assert_eq!(words(true, true, false), ["kept", "not scored"]);
    assert_eq!(words(true, false, true), ["NOT KEPT", "not scored"]);
    assert_eq!((Verdict::Kept.kept(), Verdict::NotKept.kept()), (Ok(true), Ok(false)));
    assert_eq!(Verdict::NotScored.kept(), Err(NotScored));
    assert!(![0, 1, 2].contains(&NotScored::EXIT_STATUS));
}
