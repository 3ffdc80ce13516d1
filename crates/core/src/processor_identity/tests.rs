use super::*;

const MS: u64 = 1_000_000;

fn at(ms: u64) -> Time {
    Time(ms * MS)
}

fn for_ms(ms: u64) -> Span {
    Span(ms * MS)
}

/// A processor that started at 100 s, greeted at 110 s and sent its last message at 115 s.
fn known() -> ProcessorIdentity {
    let mut known = ProcessorIdentity::default();
    assert!(!known.greeted(at(110_000), at(110_003), for_ms(10_000)), "there was none before");
    known.message_read(at(115_000));
    known
}

/// Guards against runs that fail, and notices that are applied again, because a greeting or messages before it were read late.
#[test]
fn messages_read_late_make_no_other_processor() {
    // Its greeting is written after the shell began to connect and before it is read, whichever takes long.
    for written in [115_100, 115_101, 120_000, 129_999] {
        for read in [written, 130_000] {
            let age = for_ms(written - 100_000);
            assert!(!known().greeted(at(115_100), at(read), age), "{written} {read}");
        }
    }
}

/// Guards against another processor that is taken for the one before: its notices would count as read.
#[test]
fn recognizes_a_processor_that_started_since_the_last_greeting() {
    for (started, last_message) in [(115_100, 115_000), (115_100, 130_000), (102_000, 130_000)] {
        let mut known = known();
        known.message_read(at(last_message));
        assert!(
            known.greeted(at(130_001), at(130_050), for_ms(130_020 - started)),
            "{started} {last_message}"
        );
        // It is the known processor from then on.
        assert!(
            !known.greeted(at(131_000), at(131_050), for_ms(131_020 - started)),
            "{started} {last_message}"
        );
        assert!(known.greeted(at(141_000), at(141_050), for_ms(5)), "{started} {last_message}");
    }
    // The shell connected before the processor had started.
    assert!(known().greeted(at(115_100), at(145_000), for_ms(10)));
}
