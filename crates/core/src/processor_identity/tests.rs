use super::*;

const MS: u64 = 1_000_000;

fn at(ms: u64) -> Time {
    Time(ms * MS)
}

fn for_ms(ms: u64) -> Span {
    Span(ms * MS)
}

/// The identity of a processor that started at 100 s, greeted at 110 s and sent its latest message at 115 s.
fn known() -> ProcessorIdentity {
    let mut known = ProcessorIdentity::default();
    assert!(!known.greeted(at(110_000), at(110_003), for_ms(10_000)), "there was no processor before");
    known.message_read(at(115_000));
    known
}

/// Guards against a processor that is taken for a new one because its greeting or earlier messages were read late: runs
/// would fail and notices would be applied again.
#[test]
fn late_reads_do_not_change_the_processor_identity() {
    // The greeting is written after the shell began to connect and before it is read; either interval may be long.
    for written in [115_100, 115_101, 120_000, 129_999] {
        for read in [written, 130_000] {
            let age = for_ms(written - 100_000);
            assert!(!known().greeted(at(115_100), at(read), age), "{written} {read}");
        }
    }
}

/// Guards against a new processor that is taken for the previous one: its notices would count as already read.
#[test]
fn detects_a_processor_that_started_since_the_last_greeting() {
    for (started, last_message) in [(115_100, 115_000), (115_100, 130_000), (102_000, 130_000)] {
        let mut known = known();
        known.message_read(at(last_message));
        assert!(
            known.greeted(at(130_001), at(130_050), for_ms(130_020 - started)),
            "{started} {last_message}"
        );
        // From then on it is the known processor.
        assert!(
            !known.greeted(at(131_000), at(131_050), for_ms(131_020 - started)),
            "{started} {last_message}"
        );
        assert!(known.greeted(at(141_000), at(141_050), for_ms(5)), "{started} {last_message}");
    }
    // The shell connected before the processor had started.
    assert!(known().greeted(at(115_100), at(145_000), for_ms(10)));
}
