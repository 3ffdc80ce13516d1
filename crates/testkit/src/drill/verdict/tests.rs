//! Verdicts on a punctual and on a late machine.

use super::*;

fn claims(late: bool, always: bool, timed: bool) -> Claims {
    let mut claims = Claims::on_machine(late.then(|| "612 ms at one beat, 500 allowed".to_string()));
    claims.claim(always, "nothing ran twice", 0);
    claims.timed(timed, "it took no longer than its parts", "22.0 s");
    claims
}

#[test]
fn late_machine_is_not_scored_and_never_counts_as_kept() {
    let cases = [
        (false, true, true, Verdict::Kept),
        (false, true, false, Verdict::NotKept),
        (false, false, true, Verdict::NotKept),
        (true, true, true, Verdict::NotScored),
        (true, true, false, Verdict::NotScored),
        // A claim that holds on any machine is not excused by lag.
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
fn lines_and_exit_status_distinguish_kept_not_kept_and_not_scored() {
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
